"""Demand for model services by the rank of the requests.

Load pattern: in a burst of less urgent requests memory fills within seconds.
How much of it more urgent requests are about to need follows from their
arrivals at all fronts, which the planner adds up.
"""

import collections
from collections.abc import Iterable, Mapping, Sequence
import dataclasses
import heapq

from dotterelgrade import bounded

# A rank counts as active for this time after a request.
SEEN_S = 5.0
# Moves of this time are taken as the size of the next loss of a stage.
MOVED_WINDOW_S = 60.0
MAX_ROWS_PER_SERVICE = 16
MAX_ROWS = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class RankDemand:
    """Demand of one rank for one service.

    Attributes:
        service: Name of the service.
        rank: The rank; 0 is the most urgent.
        load_per_s: Memory that arriving requests ask for, tokens times layers
            per second; 0 if none arrived for `SEEN_S`.
        moved_per_s: Memory of streams that had to move, tokens times layers
            per second, as the mean of `MOVED_WINDOW_S`.
    """

    service: str
    rank: bounded.Count
    load_per_s: bounded.Amount
    moved_per_s: bounded.Amount


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceDemand:
    """Demand for one service at all fronts.

    Attributes:
        load_per_s: Arrivals by rank, tokens times layers per second.
        seen: Ranks of which requests arrived within `SEEN_S`.
        moved: Memory of streams that had to move within `MOVED_WINDOW_S`,
            tokens times layers.
        age_s: Age of the totals, s.
    """

    load_per_s: Mapping[int, float]
    seen: frozenset[int] = frozenset()
    moved: float = 0.0
    age_s: float = 0.0

    def load_above(self, rank: int) -> float:
        """Returns the arrivals of more urgent ranks, per second."""
        return sum(v for r, v in self.load_per_s.items() if r < rank)

    def is_seen_above(self, rank: int) -> bool:
        """Returns whether more urgent requests arrived lately."""
        return any(seen < rank for seen in self.seen)

    def position(self, rank: int) -> float:
        """Returns where a rank stands in the arrivals.

        Args:
            rank: The rank.

        Returns:
            Nearly 0 if nearly all requests are less urgent, nearly 1 if nearly
            all are more urgent, and 0.5 if all have this rank.
        """
        total = sum(self.load_per_s.values())
        if total <= 0:
            return 0.5
        own = self.load_per_s.get(rank, 0.0)
        return (self.load_above(rank) + own / 2) / total


def check(rows: Sequence[RankDemand]) -> None:
    """Checks rows that another front sent.

    Args:
        rows: The rows.

    Raises:
        ValueError: There are too many rows, or two for one rank.
    """
    if len(rows) > MAX_ROWS:
        raise ValueError(f"{len(rows)} rows of demand, at most {MAX_ROWS}")
    if len({(row.service, row.rank) for row in rows}) < len(rows):
        raise ValueError("several rows of demand for one rank")


def limited(rows: Iterable[RankDemand]) -> list[RankDemand]:
    """Returns the largest rows, as many as a frame may hold."""
    by_service: dict[str, list[RankDemand]] = {}
    for row in rows:
        by_service.setdefault(row.service, []).append(row)
    kept = [
        row
        for of_service in by_service.values()
        for row in heapq.nlargest(MAX_ROWS_PER_SERVICE, of_service, key=_size)
    ]
    return heapq.nlargest(MAX_ROWS, kept, key=_size)


def combined(
    reports: Sequence[Sequence[RankDemand] | None],
) -> list[RankDemand] | None:
    """Returns the demand at all fronts from their reports.

    Args:
        reports: Rows of each front; None from one that does not report any,
            such as one of an older build, which counts as the mean of the
            others.

    Returns:
        The rows, or None if no front reports any.
    """
    known = [rows for rows in reports if rows is not None]
    if not known:
        return None
    scale = len(reports) / len(known)
    loads: collections.Counter[tuple[str, int]] = collections.Counter()
    moved: collections.Counter[tuple[str, int]] = collections.Counter()
    for rows in known:
        for row in rows:
            loads[row.service, row.rank] += row.load_per_s
            moved[row.service, row.rank] += row.moved_per_s
    return limited(
        RankDemand(
            service=service,
            rank=rank,
            load_per_s=min(load_per_s * scale, bounded.MAX_AMOUNT),
            moved_per_s=min(moved[service, rank] * scale, bounded.MAX_AMOUNT),
        )
        for (service, rank), load_per_s in loads.items()
    )


def _size(row: RankDemand) -> float:
    return row.load_per_s + row.moved_per_s
