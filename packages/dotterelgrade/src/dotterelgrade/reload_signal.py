"""SIGHUP, held back while a program starts.

Without a handler the signal ends the process. It may come at any time, also in
the second in which the modules are loaded and the settings are read. Imports
only the standard library; see `early_sockets`.
"""

import signal

_RELOAD_SIGNALS = frozenset({signal.SIGHUP})


def hold() -> None:
    """Keeps the signal pending until `release`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, _RELOAD_SIGNALS)


def release() -> None:
    """Delivers the signal from now on, and a pending one at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, _RELOAD_SIGNALS)
