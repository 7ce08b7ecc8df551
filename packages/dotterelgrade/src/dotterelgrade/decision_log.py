"""Decisions of a process, in its journal and as bounded log lines."""

from collections.abc import Callable
import logging
import time
from typing import Any

from dotterelgrade import journal as journal_lib

_LOG = logging.getLogger("decisions")

# Lines of one kind in a second; what lies beyond is counted, not written.
MOST_LINES_PER_S = 100


class DecisionLog:
    """Records decisions with their inputs and outcome."""

    def __init__(
        self,
        *,
        journal: journal_lib.Journal,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the log.

        Args:
            journal: Keeps the latest decisions for `explain`.
            clock: Monotonic time, s.
        """
        self._journal = journal
        self._clock = clock
        self._second = 0
        self._written: dict[str, int] = {}
        self._suppressed = 0

    def __repr__(self) -> str:
        """Shows the lines that were left out in this second."""
        return f"<DecisionLog {self._suppressed} suppressed>"

    @property
    def journal(self) -> journal_lib.Journal:
        """The latest decisions."""
        return self._journal

    def record(
        self,
        decision: str,
        *,
        reason: str,
        request_id: str = "",
        **details: Any,
    ) -> None:
        """Records one decision.

        Args:
            decision: What was decided, such as "chain_chosen".
            reason: Why, in one clause.
            request_id: The request it concerns.
            **details: The inputs, their age or version, and the outcome.
        """
        self._journal.record(
            decision, reason=reason, request_id=request_id, **details
        )
        if not self._allowed(decision):
            return
        extra = {"reason": reason, **details}
        if request_id:
            extra["request_id"] = request_id
        _LOG.info(decision, extra=extra)

    def _allowed(self, decision: str) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written.clear()
            suppressed, self._suppressed = self._suppressed, 0
            if suppressed:
                _LOG.warning("lines_suppressed", extra={"n": suppressed})
        written = self._written.get(decision, 0)
        self._written[decision] = written + 1
        if written >= MOST_LINES_PER_S:
            self._suppressed += 1
            return False
        return True
