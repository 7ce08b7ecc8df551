"""How far a feed was followed, and whether what the planner relays suffices.

Load pattern: every change of the list of backend servers wakes a waiting read
of each front, and each read has a price. One front reads for all and passes
records on; the others read the store themselves as soon as that front falls
silent, is cut off from the store or passes on less than all. An offset means
nothing outside the era of the store in which it was learned.
"""

from dotterelgrade_routing import store_era

# A change of the configuration must be in force within 2 s, also where the
# front that reads for all is lost just after its last message.
RELAY_VALID_S = 1.1


class FeedPosition:
    """The offset behind the last record that was taken in, and its era."""

    def __init__(self) -> None:
        """Initializes a feed of which nothing is known."""
        self._end: int | None = None
        self._era = store_era.UNCOUNTED
        self._relayed_end = -1
        self._relayed_era = store_era.UNCOUNTED
        self._heard_at = float("-inf")

    def __repr__(self) -> str:
        """Shows the offset."""
        return f"<FeedPosition {self._end} in era {self._era}>"

    @property
    def end(self) -> int | None:
        """Offset behind the last record, or None before the first read."""
        return self._end

    @property
    def era(self) -> int:
        """Era of the store to which the offset belongs."""
        return self._era

    def reset(self) -> None:
        """Forgets the offset, such as when its records are deleted."""
        self._end = None

    def enter(self, era: int) -> bool:
        """Takes in an era that was seen, and drops offsets of earlier ones.

        Args:
            era: The era.

        Returns:
            Whether it is a later one than that of the offset.
        """
        if era <= self._era:
            return False
        self._era = era
        self._end = None
        return True

    def advance(self, end: int, *, era: int = store_era.UNCOUNTED) -> bool:
        """Takes in that all records before an offset are known.

        Args:
            end: The offset.
            era: Era of the store to which it belongs.

        Returns:
            Whether it belongs to the known era; else nothing changes.
        """
        if era != self._era:
            return False
        self._end = end if self._end is None else max(self._end, end)
        return True

    def continues(self, start: int, *, era: int = store_era.UNCOUNTED) -> bool:
        """Returns whether records from an offset on leave no gap."""
        if era != self._era or self._end is None:
            return False
        return start <= self._end

    def note_relayed(
        self, *, end: int, heard_at: float, era: int = store_era.UNCOUNTED
    ) -> None:
        """Takes in how far the planner is.

        Args:
            end: Offset behind its last record.
            heard_at: Monotonic time at which it last heard the store, s.
            era: Era of the store to which the offset belongs.
        """
        self._relayed_end = end
        self._relayed_era = era
        self._heard_at = heard_at

    def covered_s(self, *, now: float) -> float:
        """Returns how long what the planner relayed still suffices, s, or 0."""
        if self._end is None or self._relayed_end != self._end:
            return 0.0
        if self._relayed_era != self._era:
            return 0.0
        return max(0.0, self._heard_at + RELAY_VALID_S - now)
