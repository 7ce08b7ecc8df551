"""Bounded in-memory journal of the decisions of one process."""

import collections
import dataclasses
import time
from typing import Any

DEFAULT_CAPACITY = 20_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """Journal entry of one decision.

    Attributes:
        time_s: Wall-clock time, s since the epoch.
        decision: Name of the decision, such as "chain_chosen".
        request_id: Identifier of the request, or empty.
        reason: Reason, in one clause.
        details: Values on which the decision was based.
    """

    time_s: float
    decision: str
    request_id: str
    reason: str
    details: dict[str, Any]


class Journal:
    """Keeps the latest decisions, retrievable by request or by recency."""

    def __init__(self, *, capacity: int = DEFAULT_CAPACITY) -> None:
        """Initializes an empty journal.

        Args:
            capacity: Maximum number of entries kept.
        """
        self._entries: collections.deque[Entry] = collections.deque(
            maxlen=capacity
        )

    def __repr__(self) -> str:
        """Shows the number of entries and the capacity."""
        return f"<Journal {len(self._entries)} of {self._entries.maxlen}>"

    def record(
        self,
        decision: str,
        *,
        reason: str,
        request_id: str = "",
        **details: Any,
    ) -> None:
        """Adds a decision, evicting the oldest one when full.

        Args:
            decision: Name of the decision.
            reason: Reason, in one clause.
            request_id: Identifier of the request.
            **details: Values on which the decision was based.
        """
        self._entries.append(
            Entry(
                time_s=time.time(),
                decision=decision,
                request_id=request_id,
                reason=reason,
                details=details,
            )
        )

    def for_request(self, request_id: str) -> list[Entry]:
        """Returns the decisions about one request, oldest first."""
        return [e for e in self._entries if e.request_id == request_id]

    def latest(self, count: int = 100) -> list[Entry]:
        """Returns the latest decisions, oldest first."""
        return list(self._entries)[-count:]
