"""A bounded record of the decisions of one process."""

import collections
import dataclasses
import time
from typing import Any

DEFAULT_CAPACITY = 20_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One decision.

    Attributes:
        time_s: Wall-clock time, s since the epoch.
        decision: What was decided, such as "chain_chosen".
        request_id: The request it concerns, or empty.
        reason: Why, in one clause.
        details: Figures that the decision was based on.
    """

    time_s: float
    decision: str
    request_id: str
    reason: str
    details: dict[str, Any]


class Journal:
    """Keeps the latest decisions, found by request or by time."""

    def __init__(self, *, capacity: int = DEFAULT_CAPACITY) -> None:
        """Initializes an empty journal.

        Args:
            capacity: The most entries kept.
        """
        self._entries: collections.deque[Entry] = collections.deque(
            maxlen=capacity
        )

    def __repr__(self) -> str:
        """Shows how many entries are kept."""
        return f"<Journal {len(self._entries)} of {self._entries.maxlen}>"

    def record(
        self,
        decision: str,
        *,
        reason: str,
        request_id: str = "",
        **details: Any,
    ) -> None:
        """Adds a decision, dropping the oldest one when full.

        Args:
            decision: What was decided.
            reason: Why, in one clause.
            request_id: The request it concerns.
            **details: Figures that the decision was based on.
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
