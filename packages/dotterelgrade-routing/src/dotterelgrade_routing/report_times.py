"""Dates what the planner states by the report that it had counted before.

Load pattern: the planner's link is full, and its snapshots wait there for
seconds. Clocks of different hosts can't be compared, and the time of arrival
says nothing about the time of sending. A snapshot that counts a report was made
after that report was sent.
"""

# A planner counts a report within a few of them, or not at all.
_MAX_REPORTS = 256


class ReportTimes:
    """When the reports of a connection were sent, and the last counted one."""

    def __init__(self) -> None:
        """Initializes it before the first report."""
        self._sent_at: dict[int, float] = {}
        self._counted_at = float("-inf")

    def __repr__(self) -> str:
        """Shows how many reports have not been counted."""
        return f"<ReportTimes {len(self._sent_at)} pending>"

    @property
    def counted_at(self) -> float:
        """Monotonic time before which no later snapshot was made, s."""
        return self._counted_at

    def note_sent(self, number: int, *, at: float) -> None:
        """Records that a report is sent.

        Args:
            number: Increases with each report.
            at: Monotonic time, s.
        """
        self._sent_at[number] = at
        self._sent_at.pop(number - _MAX_REPORTS, None)

    def note_counted(self, number: int) -> None:
        """Records that the next snapshot includes a report.

        Args:
            number: As the planner states it; an unknown one dates nothing.
        """
        sent_at = self._sent_at.get(number)
        if sent_at is None:
            return
        self._counted_at = sent_at
        for older in [n for n in self._sent_at if n < number]:
            del self._sent_at[older]
