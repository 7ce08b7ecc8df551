"""Counts what requests of each rank ask for at one front."""

import collections
from collections.abc import Callable
import math
import time

from dotterelgrade_routing import rank_demand

# Bursts last a few seconds; the rate must follow them.
_MEAN_OVER_S = 2.0


class _RankCount:
    def __init__(self) -> None:
        self._load = 0.0
        self._arrived_at = float("-inf")
        self._moved: collections.deque[tuple[int, float]] = collections.deque()

    def add_load(self, load: float, now: float) -> None:
        self._load = self._decayed(now) + load
        self._arrived_at = now

    def add_moved(self, load: float, now: float) -> None:
        second = int(now)
        if self._moved and self._moved[-1][0] == second:
            load += self._moved.pop()[1]
        self._moved.append((second, load))
        self._expire(now)

    def _decayed(self, now: float) -> float:
        return self._load * math.exp((self._arrived_at - now) / _MEAN_OVER_S)

    def _expire(self, now: float) -> None:
        oldest = now - rank_demand.MOVED_WINDOW_S
        while self._moved and self._moved[0][0] < oldest:
            self._moved.popleft()

    def load_per_s(self, now: float) -> float:
        if now - self._arrived_at > rank_demand.SEEN_S:
            return 0.0
        return self._decayed(now) / _MEAN_OVER_S

    def moved_per_s(self, now: float) -> float:
        self._expire(now)
        return sum(load for _, load in self._moved) / rank_demand.MOVED_WINDOW_S


class ArrivalCounter:
    """Arrivals and moved streams of one front by service and rank."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Initializes a counter without arrivals.

        Args:
            clock: Monotonic time, s.
        """
        self._clock = clock
        self._counts: dict[tuple[str, int], _RankCount] = {}

    def __repr__(self) -> str:
        """Shows the number of active ranks."""
        return f"<ArrivalCounter {len(self._counts)} ranks>"

    def note_arrival(self, service: str, rank: int, *, load: float) -> None:
        """Counts a request, whether or not it is admitted.

        Args:
            service: Name of the service.
            rank: Rank of the request.
            load: Memory that it asks for, tokens times layers.
        """
        self._count(service, rank).add_load(load, self._clock())

    def note_moved(self, service: str, rank: int, *, load: float) -> None:
        """Counts a stream that moved to another chain.

        Args:
            service: Name of the service.
            rank: Rank of the request.
            load: Memory that it holds, tokens times layers.
        """
        self._count(service, rank).add_moved(load, self._clock())

    def _count(self, service: str, rank: int) -> _RankCount:
        return self._counts.setdefault((service, rank), _RankCount())

    def rows(self) -> list[rank_demand.RankDemand]:
        """Returns the demand of the ranks that are active."""
        now = self._clock()
        rows = []
        for (service, rank), count in list(self._counts.items()):
            load_per_s = count.load_per_s(now)
            moved_per_s = count.moved_per_s(now)
            if not load_per_s and not moved_per_s:
                del self._counts[service, rank]
                continue
            rows.append(
                rank_demand.RankDemand(
                    service=service,
                    rank=rank,
                    load_per_s=load_per_s,
                    moved_per_s=moved_per_s,
                )
            )
        return rank_demand.limited(rows)
