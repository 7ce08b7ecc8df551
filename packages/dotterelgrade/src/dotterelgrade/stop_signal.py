"""The order to stop, as an event."""

import signal

import gevent
from gevent import event


def stop_requested() -> event.Event:
    """Returns an event that SIGTERM and SIGINT set from now on."""
    requested = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, requested.set)
    return requested
