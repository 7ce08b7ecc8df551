"""How far a feed was followed, and whether what the planner relays suffices.

Load pattern: every change of the list of backend servers wakes a waiting read
of each front, and each read has a price. One front reads for all and passes
records on; the others read the store themselves as soon as that front falls
silent, is cut off from the store or passes on less than all.
"""

# A change of the configuration must be in force within 2 s, also where the
# front that reads for all is lost just after its last message.
RELAY_VALID_S = 1.1


class FeedPosition:
    """The offset behind the last record that was taken in."""

    def __init__(self) -> None:
        """Initializes a feed of which nothing is known."""
        self._end: int | None = None
        self._relayed_end = -1
        self._heard_at = float("-inf")

    def __repr__(self) -> str:
        """Shows the offset."""
        return f"<FeedPosition {self._end}>"

    @property
    def end(self) -> int | None:
        """Offset behind the last record, or None before the first read."""
        return self._end

    def reset(self) -> None:
        """Forgets the offset, such as when its records are deleted."""
        self._end = None

    def advance(self, end: int) -> None:
        """Takes in that all records before an offset are known."""
        self._end = end if self._end is None else max(self._end, end)

    def continues(self, start: int) -> bool:
        """Returns whether records from an offset on leave no gap."""
        return self._end is not None and start <= self._end

    def note_relayed(self, *, end: int, heard_at: float) -> None:
        """Takes in how far the planner is.

        Args:
            end: Offset behind its last record.
            heard_at: Monotonic time at which it last heard the store, s.
        """
        self._relayed_end = end
        self._heard_at = heard_at

    def covered_s(self, *, now: float) -> float:
        """Returns how long what the planner relayed still suffices, s, or 0."""
        if self._end is None or self._relayed_end != self._end:
            return 0.0
        return max(0.0, self._heard_at + RELAY_VALID_S - now)
