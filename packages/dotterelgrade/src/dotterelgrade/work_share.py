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
        processor_time: Callable[[], float] = time.thread_time,
        sleep: Callable[[float], None] = gevent.sleep,
    ) -> None:
        """Initializes it without work done.

        Args:
            share: Largest share of processor time, above 0 up to 1.
            clock: Monotonic time, s.
            processor_time: Processor time used so far, s.
            sleep: Waits for a number of seconds.
        """
        self._share = share
        self._clock = clock
        self._processor_time = processor_time
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
            # Other greenlets get a turn also when no pause is left.
            self._sleep(max(self._free_at - self._clock(), 0.0))
            used_s = self._processor_time()
            try:
                yield
            finally:
                spent_s = self._processor_time() - used_s
                pause_s = spent_s * (1 / self._share - 1)
                self._free_at = self._clock() + pause_s
