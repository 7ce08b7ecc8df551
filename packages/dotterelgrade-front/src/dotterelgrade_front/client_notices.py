"""Counts and logs what the limits on clients did."""

from collections.abc import Callable
import enum
import time

from dotterelgrade import client_refusals
from dotterelgrade import decision_log
from dotterelgrade_front import front_metrics


class Reason(enum.Enum):
    """A limit that a client has reached."""

    SLOW_BODY = "body sent too slowly"
    SLOW_READER = "answer read too slowly"
    TINY_CHUNKS = "body waits for its share of the processor"
    FRAMING = "chunk framing too large"
    PIPELINED = "too many pipelined requests"
    EVICTED = "descriptors used up, connection closed"
    REFUSED = "descriptors used up, connection refused"


class ClientNotices:
    """Counts each reason; writes at most one line a second for it."""

    def __init__(
        self,
        *,
        decisions: decision_log.DecisionLog,
        metrics: front_metrics.FrontMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes notices without any.

        Args:
            decisions: Takes the lines.
            metrics: Takes the counts.
            clock: Monotonic time, s.
        """
        self._decisions = decisions
        self._metrics = metrics
        self._lines = client_refusals.BoundedLines(clock)

    def __repr__(self) -> str:
        """Shows the lines left out."""
        return f"<ClientNotices {self._lines!r}>"

    def record(
        self, reason: Reason, *, address: str, **details: object
    ) -> None:
        """Counts a client that has reached a limit.

        Args:
            reason: The limit.
            address: IP address of the client.
            **details: What the decision went by.
        """
        self._metrics.count_limited_client(reason.name.lower())
        left_out = self._lines.admit(reason.name)
        if left_out is None:
            return
        self._decisions.record(
            "client_limited",
            reason=reason.value,
            limit=reason.name.lower(),
            address=address,
            n=left_out + 1,
            **details,
        )
