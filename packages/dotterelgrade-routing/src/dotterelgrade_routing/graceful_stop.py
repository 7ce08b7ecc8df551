"""Decides which requests a front still begins while it stops.

Load pattern: callers keep connections open, or send a request slowly, so that
one arrives whole when a part of the grace period has passed. What the end of
that period would cut is refused, and its caller can ask another front at once.
"""

import dataclasses

# Time before the abort in which a stream that waits for nothing but its end is
# completed; the end is a few bytes.
_FINISH_MARGIN_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class GracefulStop:
    """The times of one stop, as monotonic times.

    Attributes:
        deregistered_at: The load balancer has noticed by then, s.
        aborts_at: Requests in flight are aborted then, s.
    """

    deregistered_at: float
    aborts_at: float

    @property
    def finishes_at(self) -> float:
        """When streams are completed that have nothing left to send, s."""
        return self.aborts_at - _FINISH_MARGIN_S

    def permits(self, *, deadline: float, now: float) -> bool:
        """Returns whether a request is begun that has just been read.

        Until the load balancer has noticed, most of its requests come here, and
        nearly all of them end in time.

        Args:
            deadline: Deadline of the request as monotonic time, s.
            now: Monotonic time, s.
        """
        return now < self.deregistered_at or deadline <= self.aborts_at
