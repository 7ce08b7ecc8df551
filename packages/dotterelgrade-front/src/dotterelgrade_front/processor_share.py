"""Limits the processor time of one kind of work over all greenlets.

Load: bodies in chunks of a few bytes. A chunk costs as much time as a large
piece, so that a few such bodies take all of the processor.
"""

from collections.abc import Iterator
import contextlib
import time

import gevent
from gevent import lock


class ProcessorShare:
    """Gives turns whose work takes at most a fraction of the time."""

    def __init__(self, share: float) -> None:
        """Initializes a share that nobody uses.

        Args:
            share: Fraction of the processor time, above 0 and at most 1.
        """
        self._pause_factor = 1.0 / share - 1.0
        self._turns = lock.BoundedSemaphore(1)
        self._next_at = float("-inf")

    def __repr__(self) -> str:
        """Shows whether somebody has the turn."""
        return f"<ProcessorShare {'busy' if self._turns.locked() else 'free'}>"

    @contextlib.contextmanager
    def turn(self) -> Iterator[None]:
        """Waits for a turn, in order of arrival; the body must not wait."""
        with self._turns:
            gevent.sleep(max(self._next_at - time.monotonic(), 0.0))
            began_s = time.thread_time()
            try:
                yield
            finally:
                spent_s = time.thread_time() - began_s
                self._next_at = time.monotonic() + spent_s * self._pause_factor
