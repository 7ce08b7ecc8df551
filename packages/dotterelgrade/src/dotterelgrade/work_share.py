"""Bounds the share of processor time that some kind of work takes.

Load pattern: clients send much that is costly to handle for its size, or ask
again and again for what is costly to compute. One piece of such work runs at a
time, in order of arrival, and is followed by a pause in proportion.
"""

from collections.abc import Callable, Iterator
import contextlib
import time

import gevent
from gevent import lock


class WorkShare:
    """Turns at one kind of work, which together keep to a share of the time."""

    def __init__(
        self,
        share: float = 0.25,
        *,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        """Initializes it without work done.

        Args:
            share: Largest share of processor time, above 0 up to 1.
            clock: Monotonic time, s.
            sleep: Waits for a number of seconds.
        """
        self._share = share
        self._clock = clock
        self._sleep = sleep
        self._lock = lock.BoundedSemaphore(1)
        self._free_at = float("-inf")

    def __repr__(self) -> str:
        """Shows the share."""
        return f"<WorkShare {self._share:g}>"

    @contextlib.contextmanager
    def turn(self) -> Iterator[None]:
        """Waits for a turn, which lasts until the context ends.

        The work must not wait for a client.
        """
        with self._lock:
            wait_s = self._free_at - self._clock()
            if wait_s > 0:
                self._sleep(wait_s)
            began_at = self._clock()
            try:
                yield
            finally:
                ended_at = self._clock()
                pause_s = (ended_at - began_at) * (1 / self._share - 1)
                self._free_at = ended_at + pause_s
