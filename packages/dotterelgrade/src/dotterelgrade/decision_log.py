"""Decision recording in the journal and in rate-limited log lines."""

from collections.abc import Callable
import logging
import time
from typing import Any

from dotterelgrade import journal as journal_lib

_LOG = logging.getLogger("decisions")

# Per kind of decision; lines beyond the limit are only counted.
MAX_LINES_PER_S = 100


class DecisionLog:
    """Records decisions with their inputs and outcome."""

    def __init__(
        self,
        *,
        journal: journal_lib.Journal,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes a decision log.

        Args:
            journal: Journal that `explain` reads.
            clock: Monotonic time, s.
        """
        self._journal = journal
        self._clock = clock
        self._current_s = 0
        self._lines_this_second: dict[str, int] = {}
        self._suppressed = 0

    def __repr__(self) -> str:
        """Shows the number of lines suppressed in this interval."""
        return f"<DecisionLog {self._suppressed} suppressed>"

    @property
    def journal(self) -> journal_lib.Journal:
        """Journal of the latest decisions."""
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
            decision: Name of the decision, such as "chain_chosen".
            reason: Reason, in one clause.
            request_id: Identifier of the request.
            **details: The inputs, their age or version, and the outcome.
        """
        self._journal.record(
            decision, reason=reason, request_id=request_id, **details
        )
        if not self._is_within_rate_limit(decision):
            return
        extra = {"reason": reason, **details}
        if request_id:
            extra["request_id"] = request_id
        _LOG.info(decision, extra=extra)

    def _is_within_rate_limit(self, decision: str) -> bool:
        current_s = int(self._clock())
        if current_s != self._current_s:
            self._current_s = current_s
            self._lines_this_second.clear()
            suppressed, self._suppressed = self._suppressed, 0
            if suppressed:
                _LOG.warning("lines_suppressed", extra={"n": suppressed})
        line_count = self._lines_this_second.get(decision, 0)
        self._lines_this_second[decision] = line_count + 1
        if line_count >= MAX_LINES_PER_S:
            self._suppressed += 1
            return False
        return True
