"""SIGTERM and SIGINT as an event."""

import signal

import gevent
from gevent import event


def stop_requested() -> event.Event:
    """Returns an event that SIGTERM and SIGINT set from this call on."""
    requested = event.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, requested.set)
    return requested
