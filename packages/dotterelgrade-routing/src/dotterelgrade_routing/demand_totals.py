"""Demand at all fronts, as the planner reported it or as it is assumed.

Without a planner the totals no longer follow the demand; they approach what
this front observes itself, taken times the number of fronts.
"""

from collections.abc import Callable, Sequence
import time

from dotterelgrade_routing import arrival_counter
from dotterelgrade_routing import rank_demand

# Snapshots arrive four times a second; older totals lose their weight.
FRESH_S = 1.5
HALF_LIFE_S = 2.0
# A front that was suspended takes no decision from totals of this age.
MAX_AGE_S = 10.0


class DemandTotals:
    """Totals of all fronts beside the arrivals at this one."""

    def __init__(
        self,
        own: arrival_counter.ArrivalCounter,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes totals without demand.

        Args:
            own: Arrivals at this front.
            clock: Monotonic time, s.
        """
        self._own = own
        self._clock = clock
        self._totals: Sequence[rank_demand.RankDemand] = ()
        self._set_at = clock()

    def __repr__(self) -> str:
        """Shows the number of rows."""
        return f"<DemandTotals {len(self._totals)} rows>"

    @property
    def age_s(self) -> float:
        """Time since the totals were set, s."""
        return self._clock() - self._set_at

    def set_totals(self, rows: Sequence[rank_demand.RankDemand]) -> None:
        """Sets the totals of all fronts.

        Args:
            rows: Rows of the planner's snapshot.

        Raises:
            ValueError: The rows are not valid; the totals stay as they are.
        """
        rank_demand.check(rows)
        self._totals = tuple(rows)
        self._set_at = self._clock()

    def demand_for(
        self, service: str, *, fronts: int
    ) -> rank_demand.ServiceDemand:
        """Returns the demand for a service.

        Args:
            service: Name of the service.
            fronts: Number of known fronts, this one included.
        """
        age_s = self.age_s
        totals = _by_rank(self._totals if age_s <= MAX_AGE_S else (), service)
        own = _by_rank(self._own.rows(), service)
        weight = 0.5 ** (max(age_s - FRESH_S, 0.0) / HALF_LIFE_S)
        ranks = {*totals, *own}

        def estimated(field: str) -> dict[int, float]:
            return {
                rank: _estimate(
                    getattr(totals.get(rank), field, 0.0),
                    getattr(own.get(rank), field, 0.0),
                    weight=weight,
                    fronts=fronts,
                )
                for rank in ranks
            }

        seen = {rank for rank, row in own.items() if row.load_per_s}
        if age_s <= rank_demand.SEEN_S:
            seen |= {rank for rank, row in totals.items() if row.load_per_s}
        moved_per_s = sum(estimated("moved_per_s").values())
        return rank_demand.ServiceDemand(
            load_per_s=estimated("load_per_s"),
            seen=frozenset(seen),
            moved=moved_per_s * rank_demand.MOVED_WINDOW_S,
            age_s=age_s,
        )


def _by_rank(
    rows: Sequence[rank_demand.RankDemand], service: str
) -> dict[int, rank_demand.RankDemand]:
    return {row.rank: row for row in rows if row.service == service}


def _estimate(total: float, own: float, *, weight: float, fronts: int) -> float:
    """Returns the total, less certain ones closer to the front's own part."""
    assumed = own * max(fronts, 1)
    return max(assumed + (total - assumed) * weight, own)
