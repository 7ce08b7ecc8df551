"""Policies that say under which terms a request is admitted.

Load pattern: demand for a model service exceeds what it can start within the
objective, for seconds.
"""

import dataclasses
from typing import Protocol

from dotterelgrade import registry
from dotterelgrade_routing import admission
from dotterelgrade_routing import admission_shares
from dotterelgrade_routing import priority_headroom
from dotterelgrade_routing import rank_demand

# Above this utilization of the best chain a workspace over its share is
# deferred.
PRESSURE_UTILIZATION = 0.7
# Requests with more than this many times the mean tokens find free memory
# least often.
LARGE_SIZE = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conditions:
    """State of a service when a request asks to be admitted.

    Attributes:
        utilization: Utilization of the emptiest chain with the request.
        capacity: Memory of the service for requests, tokens times layers.
        turnover_s: Time for whose more urgent arrivals memory is kept, s.
        demand: Demand for the service.
        shares: What ranks and workspaces were given.
        chance: Random number from 0 to 1.
    """

    utilization: float
    capacity: float
    turnover_s: float
    demand: rank_demand.ServiceDemand
    shares: admission_shares.AdmissionShares
    chance: float


class AdmissionPolicy(Protocol):
    """Says under which terms a request is admitted."""

    @property
    def uses_ranks(self) -> bool:
        """Whether the terms depend on the rank."""

    def terms(
        self, ask: admission_shares.Ask, conditions: Conditions
    ) -> admission.Terms:
        """Returns the terms for a request that has not begun.

        Args:
            ask: The request.
            conditions: State of its service.
        """


POLICIES = registry.Registry[AdmissionPolicy]("admission")


@POLICIES.register("uniform")
class Uniform:
    """The same terms for all requests."""

    uses_ranks = False

    def __repr__(self) -> str:
        """Shows the class."""
        return "<Uniform>"

    def terms(
        self, ask: admission_shares.Ask, conditions: Conditions
    ) -> admission.Terms:
        """See `AdmissionPolicy`."""
        del ask, conditions
        return admission.Terms()


@POLICIES.register("priority")
class Priority:
    """Headroom for more urgent requests, with a guaranteed part for others."""

    uses_ranks = True

    def __repr__(self) -> str:
        """Shows the class."""
        return "<Priority>"

    def terms(
        self, ask: admission_shares.Ask, conditions: Conditions
    ) -> admission.Terms:
        """See `AdmissionPolicy`."""
        demand = conditions.demand
        over = (
            conditions.utilization > PRESSURE_UTILIZATION
            and conditions.shares.is_over(ask)
        )
        rank = ask.rank + over
        if ask.size > LARGE_SIZE:
            rank = max(rank - 1, 0)
        limit = priority_headroom.limit(
            rank,
            demand=demand,
            capacity=conditions.capacity,
            turnover_s=conditions.turnover_s,
        )
        guaranteed = (
            not over and conditions.chance < conditions.shares.guarantee(ask)
        )
        lent = guaranteed or not demand.is_seen_above(rank)
        return admission.Terms(
            limit=limit,
            max_utilization=admission.MAX_UTILIZATION if lent else limit,
            cost_exponent=priority_headroom.cost_exponent(rank, demand=demand),
            workspace_over=over,
        )
