"""When a call is sent to another backend server while an attempt is open.

Load pattern: a backend server is slow or silent, the others may be as slow, and
retries come out of a small shared budget. The open attempt is kept until its
answer, since giving it up first can leave the caller with nothing.
"""

import dataclasses

# An open attempt is late after this fraction of the latency objective.
LATE_FRACTION = 0.9
# Bounds how often a call with a tiny objective looks for another server.
_MIN_LATE_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class OpenAttempts:
    """The attempts of one call that wait for an answer.

    Attributes:
        started_at: Monotonic time at which each of them started, s.
        idempotent: Whether the call may run more than once.
        objective_s: Target latency of the answer, s.
        has_server_error: Whether another attempt ended with a server error,
            which is passed on if no open attempt does better.
    """

    started_at: tuple[float, ...]
    idempotent: bool
    objective_s: float
    has_server_error: bool = False

    def next_start_at(self) -> float:
        """Returns when the next attempt may start, monotonic time, s.

        Returns:
            Minus infinity for at once, infinity for not before an open attempt
            has ended.
        """
        if not self.started_at:
            return float("-inf")
        if not self.idempotent or self.has_server_error:
            return float("inf")
        return max(self.started_at) + late_after_s(self.objective_s)


def late_after_s(objective_s: float) -> float:
    """Returns the age at which an attempt is late, s.

    Args:
        objective_s: Target latency of the answer, s.
    """
    return max(objective_s * LATE_FRACTION, _MIN_LATE_S)
