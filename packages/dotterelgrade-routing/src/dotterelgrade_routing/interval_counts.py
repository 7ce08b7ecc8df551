"""Counts of events by rank in intervals of time, within a fixed size."""

# Ranks from this one on are counted together.
MAX_RANKS = 10
MAX_INTERVALS = 64
INTERVALS_PER_S = 10
INTERVAL_S = 1.0 / INTERVALS_PER_S


def interval_of(at: float) -> int:
    """Returns the number of the interval that contains a time.

    Args:
        at: Monotonic time, s.
    """
    return int(at * INTERVALS_PER_S)


class IntervalCounts:
    """Counts for at most 10 ranks and 64 intervals of 0.1 s."""

    def __init__(self) -> None:
        """Initializes it without events."""
        self._counts: dict[int, list[int]] = {}

    def __repr__(self) -> str:
        """Shows the number of events."""
        return f"<IntervalCounts {self.total()}>"

    @property
    def first(self) -> int | None:
        """The earliest interval with an event, or None."""
        return min(self._counts, default=None)

    @property
    def last(self) -> int | None:
        """The latest interval with an event, or None."""
        return max(self._counts, default=None)

    def add(self, interval: int, *, rank: int = 0) -> None:
        """Counts an event.

        Args:
            interval: The interval.
            rank: 0 is the most urgent.
        """
        if interval not in self._counts:
            if len(self._counts) >= MAX_INTERVALS:
                del self._counts[min(self._counts)]
            self._counts[interval] = [0] * MAX_RANKS
        self._counts[interval][min(rank, MAX_RANKS - 1)] += 1

    def at(self, interval: int, *, most_rank: int = MAX_RANKS) -> int:
        """Returns the events of an interval.

        Args:
            interval: The interval.
            most_rank: Events of less urgent ranks are left out.
        """
        return sum(self._counts.get(interval, ())[: most_rank + 1])

    def total(
        self,
        *,
        start: int | None = None,
        end: int | None = None,
        most_rank: int = MAX_RANKS,
    ) -> int:
        """Returns the events in a range of intervals.

        Args:
            start: The first interval; None for no bound.
            end: The first interval behind the range; None for no bound.
            most_rank: Events of less urgent ranks are left out.
        """
        return sum(
            sum(counts[: most_rank + 1])
            for interval, counts in self._counts.items()
            if (start is None or interval >= start)
            and (end is None or interval < end)
        )

    def drop_before(self, interval: int) -> None:
        """Drops the events before an interval."""
        for old in [i for i in self._counts if i < interval]:
            del self._counts[old]
