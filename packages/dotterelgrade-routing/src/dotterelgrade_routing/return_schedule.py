"""Spreads the retries of refused requests over the time to start them.

Load pattern: hundreds of requests to a service are refused in one second, and
all would be retried in the same second. The schedule counts the retries that
are expected, and gives a new one the first time at which the service, at its
recent rate of starts, has started those of the same or a more urgent rank.
"""

import math

from dotterelgrade_routing import interval_counts

_INTERVAL_S = interval_counts.INTERVAL_S
_HORIZON = interval_counts.MAX_INTERVALS
_PER_S = interval_counts.INTERVALS_PER_S
_MIN_RATE_PER_S = 1.0
# Refusals in the last second that count as a burst.
MASS_REFUSALS = 20


class ReturnSchedule:
    """Starts, refusals and expected retries of one service at one front."""

    def __init__(self) -> None:
        """Initializes it without requests."""
        self._starts = interval_counts.IntervalCounts()
        self._refusals = interval_counts.IntervalCounts()
        self._returns = interval_counts.IntervalCounts()

    def __repr__(self) -> str:
        """Shows the number of expected retries."""
        return f"<ReturnSchedule {self._returns.total()} expected>"

    def note_start(self, *, now: float) -> None:
        """Counts a request that was started.

        Args:
            now: Monotonic time, s.
        """
        self._starts.add(interval_counts.interval_of(now))

    def note_refusal(self, rank: int, *, now: float) -> None:
        """Counts a request that is refused.

        Args:
            rank: 0 is the most urgent.
            now: Monotonic time, s.
        """
        self._refusals.add(interval_counts.interval_of(now), rank=rank)

    def note_return(self, wait_s: float, rank: int, *, now: float) -> None:
        """Counts an expected retry.

        Args:
            wait_s: Time until the retry, s; a later one than the schedule's
                end counts there.
            rank: 0 is the most urgent.
            now: Monotonic time, s.
        """
        current = interval_counts.interval_of(now)
        at = interval_counts.interval_of(now + wait_s)
        self._returns.add(min(at, current + _HORIZON - 1), rank=rank)

    def expected(self, wait_s: float, rank: int, *, now: float) -> int:
        """Returns the retries expected before one that is about to be told.

        Args:
            wait_s: Its time, s.
            rank: Less urgent ones are left out.
            now: Monotonic time, s.
        """
        return self._returns.total(
            start=interval_counts.interval_of(now),
            end=interval_counts.interval_of(now + wait_s) + 1,
            most_rank=rank,
        )

    def starts_per_s(self, *, now: float) -> float:
        """Returns the mean rate of starts while there were any, 1/s.

        Args:
            now: Monotonic time, s.
        """
        self._starts.drop_before(interval_counts.interval_of(now) - _HORIZON)
        if self._starts.first is None:
            return 0.0
        intervals = self._starts.last - self._starts.first + 1
        return self._starts.total() * _PER_S / max(intervals, _PER_S)

    def wait_s(self, earliest_s: float, rank: int, *, now: float) -> float:
        """Returns when a refused request should be retried, s.

        Args:
            earliest_s: Time until the service can start it, if no others are
                waiting, s.
            rank: 0 is the most urgent.
            now: Monotonic time, s.
        """
        self._drop_old(now)
        rate_per_s = self._rate_per_s(now)
        begin_s = earliest_s + self._urgent_refusals(rank, now) / rate_per_s
        first = interval_counts.interval_of(now + begin_s)
        end = interval_counts.interval_of(now) + _HORIZON
        per_interval = rate_per_s * _INTERVAL_S
        ahead = 0
        for interval in range(first, end):
            ahead += self._returns.at(interval, most_rank=rank)
            if ahead + 1 <= math.ceil(per_interval * (interval - first + 1)):
                return begin_s + (interval - first) * _INTERVAL_S
        return begin_s + (ahead + 1) / rate_per_s

    def wait_within_s(self, limit_s: float, rank: int, *, now: float) -> float:
        """Returns a late time up to a limit with the fewest expected retries.

        Otherwise all that would wait for longer came back at the limit.

        Args:
            limit_s: The longest wait, s; half of it is the shortest.
            rank: Less urgent retries are left out.
            now: Monotonic time, s.
        """
        self._drop_old(now)
        room = math.ceil(self._rate_per_s(now) * _INTERVAL_S)
        waits_s = [
            limit_s - step * _INTERVAL_S
            for step in range(_HORIZON)
            if step * _INTERVAL_S <= limit_s / 2
        ]

        def excess(wait_s: float) -> int:
            interval = interval_counts.interval_of(now + wait_s)
            expected = self._returns.at(interval, most_rank=rank)
            return max(expected + 1 - room, 0)

        return min(waits_s, key=excess)

    def _drop_old(self, now: float) -> None:
        current = interval_counts.interval_of(now)
        self._returns.drop_before(current)
        self._refusals.drop_before(current - _PER_S + 1)

    def _rate_per_s(self, now: float) -> float:
        """Returns how many retries can be started per second.

        Without a start they may come back as fast as they came.
        """
        starts_per_s = self.starts_per_s(now=now)
        return max(starts_per_s or self._refusals.total(), _MIN_RATE_PER_S)

    def _urgent_refusals(self, rank: int, now: float) -> float:
        """Returns how many more urgent refusals the next second may bring."""
        urgent = self._refusals.total(most_rank=rank - 1) if rank else 0
        if not urgent or self._refusals.total() < MASS_REFUSALS:
            return urgent
        current = interval_counts.interval_of(now)
        return urgent * _PER_S / (current - self._refusals.first + 1)
