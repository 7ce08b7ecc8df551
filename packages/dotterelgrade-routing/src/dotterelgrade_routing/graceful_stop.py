"""Decides which requests a front still begins while it stops.

Load pattern: callers keep connections open, or send a request slowly, so that
one arrives whole when a part of the grace period has passed. What the end of
that period would cut is refused, and its caller can ask another front at once.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class GracefulStop:
    """The times of one stop, as monotonic times.

    Attributes:
        deregistered_at: The load balancer has noticed by then, s.
        aborts_at: Requests in flight are aborted then, s.
    """

    deregistered_at: float
    aborts_at: float

    def permits(self, *, deadline: float, now: float) -> bool:
        """Returns whether a request is begun that has just been read.

        Until the load balancer has noticed, most of its requests come here, and
        nearly all of them end in time.

        Args:
            deadline: Deadline of the request as monotonic time, s.
            now: Monotonic time, s.
        """
        return now < self.deregistered_at or deadline <= self.aborts_at
