"""Position in a feed, and how long the planner's relayed records suffice.

Load pattern: each change of the list of backend servers completes a long poll
of every front, and each read costs. One front, the planner, reads the store and
relays the records; the others read the store themselves as soon as the planner
goes silent, loses the store or relays an incomplete sequence. An offset is
valid only in the era of the store in which it was read.
"""

from dotterelgrade_routing import feed_timing
from dotterelgrade_routing import store_era


class FeedPosition:
    """The offset after the last applied record, and the era of that offset."""

    def __init__(self) -> None:
        """Initializes the position before the first read."""
        self._end: int | None = None
        self._era = store_era.UNCOUNTED
        self._planner_end = -1
        self._planner_era = store_era.UNCOUNTED
        self._planner_current_at = float("-inf")

    def __repr__(self) -> str:
        """Shows the offset."""
        return f"<FeedPosition {self._end} in era {self._era}>"

    @property
    def end(self) -> int | None:
        """Offset after the last record, or None before the first read."""
        return self._end

    @property
    def era(self) -> int:
        """Era of the store to which the offset belongs."""
        return self._era

    @property
    def is_behind_planner(self) -> bool:
        """Whether the planner has records of this era that are missing here."""
        if self._end is None:
            return True
        same_era = self._planner_era == self._era
        return same_era and self._planner_end > self._end

    def reset(self) -> None:
        """Discards the offset, for example when its records have expired."""
        self._end = None

    def start_era(self, era: int) -> bool:
        """Moves to an era if it is newer, and discards the older offset.

        Args:
            era: The era that was seen.

        Returns:
            Whether it is newer than the current one.
        """
        if era <= self._era:
            return False
        self._era = era
        self._end = None
        return True

    def advance(self, end: int, *, era: int = store_era.UNCOUNTED) -> bool:
        """Records that all records before an offset are known.

        Args:
            end: The offset.
            era: Era of the store to which it belongs.

        Returns:
            Whether it belongs to the current era; otherwise nothing changes.
        """
        if era != self._era:
            return False
        self._end = end if self._end is None else max(self._end, end)
        return True

    def is_contiguous(
        self, start: int, *, era: int = store_era.UNCOUNTED
    ) -> bool:
        """Returns whether records from an offset on follow without a gap."""
        if era != self._era or self._end is None:
            return False
        return start <= self._end

    def note_planner_position(
        self, *, end: int, current_at: float, era: int = store_era.UNCOUNTED
    ) -> None:
        """Records the planner's position in the feed.

        Args:
            end: Offset after its last record.
            current_at: Monotonic time, s; it certainly had all records
                acknowledged by then.
            era: Era of the store to which the offset belongs.
        """
        self._planner_end = end
        self._planner_era = era
        self._planner_current_at = current_at

    def note_gap(self, end: int) -> None:
        """Records that the planner relayed a page which could not be applied.

        The position that it stated before no longer tells that nothing is
        missing, even if a read reaches exactly that offset.

        Args:
            end: Offset after the page.
        """
        self._planner_end = max(self._planner_end, end)

    def relay_valid_for_s(self, *, now: float) -> float:
        """Returns for how long no read of the store is needed, s, or 0."""
        if self._end is None or self._planner_end != self._end:
            return 0.0
        if self._planner_era != self._era:
            return 0.0
        valid_until = self._planner_current_at + feed_timing.RELAY_VALID_S
        return max(0.0, valid_until - now)
