"""Terms for requests of ranked services, and what they are computed from."""

from collections.abc import Mapping, Sequence

from dotterelgrade_front import call as call_lib
from dotterelgrade_front import front_metrics
from dotterelgrade_routing import admission
from dotterelgrade_routing import admission_policies
from dotterelgrade_routing import admission_shares
from dotterelgrade_routing import arrival_counter
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import demand_totals
from dotterelgrade_routing import priority_headroom
from dotterelgrade_routing import rank_demand
from dotterelgrade_routing import reservations

# Bounds the state if names of services change without end.
_MAX_SERVICES = 256


class RankAdmission:
    """Demand and shares of all ranked services, and the policy in force."""

    def __init__(
        self,
        *,
        policy: str,
        load: reservations.Reservations,
        metrics: front_metrics.FrontMetrics,
    ) -> None:
        """Initializes it without demand.

        Args:
            policy: Name of the policy.
            load: Reservations at the backend servers.
            metrics: Counts the decisions.
        """
        self._load = load
        self._metrics = metrics
        self._arrivals = arrival_counter.ArrivalCounter()
        self._totals = demand_totals.DemandTotals(self._arrivals)
        self._shares: dict[str, admission_shares.AdmissionShares] = {}
        self.set_policy(policy)

    def __repr__(self) -> str:
        """Shows the policy."""
        return f"<RankAdmission {self._policy!r}>"

    @property
    def uses_ranks(self) -> bool:
        """Whether the policy in force depends on ranks."""
        return self._policy.uses_ranks

    @property
    def own_rows(self) -> list[rank_demand.RankDemand] | None:
        """Demand at this front, or None if the policy does not use it."""
        return self._arrivals.rows() if self.uses_ranks else None

    def set_policy(self, policy: str) -> None:
        """Sets the policy in force by its name."""
        self._policy = admission_policies.POLICIES.make(policy)

    def set_totals(self, rows: Sequence[rank_demand.RankDemand]) -> None:
        """Sets the demand at all fronts.

        Raises:
            ValueError: The rows are not valid; the totals stay as they are.
        """
        self._totals.set_totals(rows)

    def ask_for(
        self, call: call_lib.Call, *, tokens: float
    ) -> admission_shares.Ask | None:
        """Returns the ask of a call, or None if its rank plays no part.

        Args:
            call: The call.
            tokens: Maximum tokens of the prompt and the answer.
        """
        if call.rank is None or not self._policy.uses_ranks:
            return None
        engine = call.service.engine
        return admission_shares.Ask(
            service=call.service.name,
            rank=call.rank,
            workspace=call.workspace,
            size=tokens / engine.mean_tokens,
            load=tokens * engine.layers,
        )

    def note_asked(self, ask: admission_shares.Ask) -> None:
        """Counts a request that arrived."""
        self._arrivals.note_arrival(ask.service, ask.rank, load=ask.load)
        self._shares_of(ask.service).note_asked(ask)

    def note_decided(
        self,
        ask: admission_shares.Ask,
        decision: admission.Admitted | admission.Refused,
        terms: admission.Terms,
    ) -> None:
        """Counts the first decision on a request.

        Args:
            ask: The request.
            decision: Whether it was admitted.
            terms: The terms that applied.
        """
        outcome = "refused"
        if isinstance(decision, admission.Admitted):
            self._shares_of(ask.service).note_given(ask)
            outcome = "admitted"
            if decision.utilization > terms.limit:
                outcome = "lent"
        self._metrics.count_admission(ask.rank, outcome)
        self._metrics.set_rank_limit(ask.rank, terms.limit)

    def note_moved(self, call: call_lib.Call, *, tokens: float) -> None:
        """Counts a stream that moved to another chain.

        Args:
            call: Its call.
            tokens: Maximum tokens of the prompt and the answer.
        """
        ask = self.ask_for(call, tokens=tokens)
        if ask is not None:
            self._arrivals.note_moved(ask.service, ask.rank, load=ask.load)

    def demand_for(
        self, service: str, *, fronts: int
    ) -> rank_demand.ServiceDemand:
        """Returns the demand for a service at all fronts.

        Args:
            service: Name of the service.
            fronts: Number of known fronts.
        """
        return self._totals.demand_for(service, fronts=fronts)

    def terms(
        self,
        ask: admission_shares.Ask,
        *,
        call: call_lib.Call,
        chains: Sequence[chain_choice.Chain],
        memory: Mapping[str, float],
        demand: rank_demand.ServiceDemand,
        chance: float,
    ) -> admission.Terms:
        """Returns the terms for a request that has not begun.

        Args:
            ask: The request.
            call: Its call.
            chains: The chains to choose from.
            memory: Memory for requests by backend server, tokens times layers.
            demand: Demand for its service.
            chance: Random number from 0 to 1.
        """
        if not chains:
            return admission.UNIFORM_TERMS
        engine = call.service.engine
        tokens = ask.size * engine.mean_tokens
        mean_step_s = sum(chain.step_s for chain in chains) / len(chains)
        return self._policy.terms(
            ask,
            admission_policies.Conditions(
                utilization=min(
                    admission.utilization_with(
                        chain, tokens, self._load, memory
                    )
                    for chain in chains
                ),
                capacity=sum(memory.values()),
                turnover_s=(
                    priority_headroom.TURNOVER_ANSWERS
                    * engine.mean_answer_tokens
                    * mean_step_s
                ),
                demand=demand,
                shares=self._shares_of(ask.service),
                chance=chance,
            ),
        )

    def _shares_of(self, service: str) -> admission_shares.AdmissionShares:
        if service not in self._shares:
            if len(self._shares) >= _MAX_SERVICES:
                self._shares.pop(next(iter(self._shares)))
            self._shares[service] = admission_shares.AdmissionShares()
        return self._shares[service]
