"""Counts and logs what the limits on clients did."""

from collections.abc import Callable
import enum
import time

from dotterelgrade import decision_log
from dotterelgrade_front import front_metrics

_LINE_INTERVAL_S = 1.0


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
        self._clock = clock
        self._unlogged: dict[Reason, int] = dict.fromkeys(Reason, 0)
        self._logged_at: dict[Reason, float] = {}

    def __repr__(self) -> str:
        """Shows how many wait for their line."""
        return f"<ClientNotices {sum(self._unlogged.values())} unlogged>"

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
        self._unlogged[reason] += 1
        now = self._clock()
        if now - self._logged_at.get(reason, float("-inf")) < _LINE_INTERVAL_S:
            return
        self._logged_at[reason] = now
        count, self._unlogged[reason] = self._unlogged[reason], 0
        self._decisions.record(
            "client_limited",
            reason=reason.value,
            limit=reason.name.lower(),
            address=address,
            n=count,
            **details,
        )
