"""Chooses the chains on which a streamed request is attempted."""

from collections.abc import Collection
import dataclasses
import time
from typing import Any

from dotterelgrade_front import call as call_lib
from dotterelgrade_front import chain_directory
from dotterelgrade_front import front_state
from dotterelgrade_front import refusal_times
from dotterelgrade_front import stream_repair
from dotterelgrade_routing import admission
from dotterelgrade_routing import admission_shares
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import rank_demand
from dotterelgrade_routing import retry_budget
from dotterelgrade_routing import return_forecast
from dotterelgrade_routing import spillover
from dotterelgrade_routing import stall_actions

# Refusals of a begun stream after which it waits before it asks again.
_MAX_QUICK_REFUSALS = 4


def answer_tokens(call: call_lib.Call) -> float:
    """Returns how many tokens the answer to a call is expected to have."""
    facts = call.facts
    usual = call.service.engine.mean_answer_tokens
    expected = facts.expected_answer_tokens or usual
    if facts.max_answer_tokens:
        expected = min(expected, facts.max_answer_tokens)
    return max(expected, 1.0)


def total_tokens(call: call_lib.Call) -> float:
    """Returns how many tokens a call is expected to hold in memory."""
    return call.facts.prompt_tokens + answer_tokens(call)


@dataclasses.dataclass(frozen=True, kw_only=True)
class OpenAttempts:
    """Attempts of the request that go on while another one is considered.

    Attributes:
        server_ids: First backend servers of their chains.
        left_out: Backend servers at which no further attempt may start.
        faulty: Addresses of stages that are known to be faulty.
    """

    server_ids: frozenset[str]
    left_out: frozenset[str]
    faulty: frozenset[str]


class StreamAdmission:
    """Admits the attempts of one streamed request."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        call: call_lib.Call,
        repair: stream_repair.StreamRepair,
    ) -> None:
        """Initializes the admission of one request.

        Args:
            state: Shared by the front's greenlets.
            call: The call.
            repair: Knows the budget of the links between failure domains.
        """
        self._state = state
        self._call = call
        self._repair = repair
        self._recorded_refusal = ""
        self._ask = state.rank_admission.ask_for(
            call, tokens=total_tokens(call)
        )
        self._asked = False
        self._told: refusal_times.ToldTime | None = None

    def __repr__(self) -> str:
        """Shows the request."""
        return f"<StreamAdmission {self._call.request_id}>"

    @property
    def retries_left(self) -> float:
        """Number of retries left in the retry budget."""
        return self._budget.left

    def may_retry(self, *, begun: bool) -> bool:
        """Returns whether the retry budget has a retry for the request.

        Args:
            begun: Whether the caller has received events already.
        """
        return self._budget.may_spend(reserve=self._reserve(begun=begun))

    def _reserve(self, *, begun: bool) -> float:
        """Returns the share of the retry budget that is left to others."""
        if begun or self._ask is None:
            return 0.0
        return retry_budget.reserve_above(self._ask.rank)

    @property
    def told(self) -> refusal_times.ToldTime | None:
        """When the caller should retry, if the last decision refused it."""
        return self._told

    @property
    def _budget(self) -> retry_budget.RetryBudget:
        return self._state.retry_budget_for(self._call.service.name)

    def admit(
        self,
        *,
        begun: bool,
        is_retry: bool,
        beside: OpenAttempts | None = None,
    ) -> admission.Admitted | admission.Refused:
        """Chooses a chain and pays for it, or refuses.

        Nothing is paid for an attempt that is refused.

        Args:
            begun: Whether the caller has received events already.
            is_retry: Whether the attempt counts as a retry.
            beside: Attempts that go on beside this one, if any.
        """
        offer = self._state.chains.offer(self._call.service)
        chains = self._usable_chains(offer, beside)
        demand = self._demand()
        terms = self._terms(offer, chains, demand, begun=begun)
        decision = self._decide(offer, chains, begun=begun, terms=terms)
        if begun and self._was_just_refused(chains):
            decision = admission.Refused(
                reason="refused a moment ago",
                retry_after_s=stall_actions.MIN_RETRY_S,
            )
        inputs = {
            "fleet_version": offer.fleet_version,
            "age_s": round(time.monotonic() - offer.computed_at, 2),
            "chains": len(chains),
            "tokens": round(total_tokens(self._call)),
        }
        if demand is not None:
            inputs |= _rank_inputs(self._ask, demand, terms)
        admitted = isinstance(decision, admission.Admitted)
        reserve = self._reserve(begun=begun)
        if admitted and is_retry and not self._budget.spend(reserve=reserve):
            decision = admission.Refused(
                reason="retry budget empty",
                retry_after_s=return_forecast.DEFAULT_RETRY_AFTER_S,
            )
        self._note_decided(decision, terms, moved=begun and beside is None)
        if isinstance(decision, admission.Refused):
            kind = "refused"
            if beside is not None:
                kind = "standby_refused"
            elif begun:
                kind = "capacity_awaited"
            else:
                inputs |= self._tell_time(decision)
            self._record_refusal(kind, decision, inputs)
            return decision
        self._recorded_refusal = ""
        self._told = None
        if not begun and beside is None and not self._call.attempts:
            self._state.refusals.note_start(self._call)
        self._state.spillover.note_sent(
            self._call.service.name, decision.chain.first.failure_domain
        )
        self._repair.charge_link_budget(
            decision.chain, tokens=self._call.facts.prompt_tokens
        )
        self._state.decisions.record(
            "chain_chosen",
            reason="weighted random choice by cost",
            request_id=self._call.request_id,
            chain=[
                f"{s.server_id}={s.layers!r}" for s in decision.chain.stages
            ],
            fill=round(decision.utilization, 2),
            **inputs,
        )
        return decision

    def _demand(self) -> rank_demand.ServiceDemand | None:
        """Returns the demand for the service, or None without ranks."""
        if self._ask is None:
            return None
        state = self._state
        if not self._asked:
            state.rank_admission.note_asked(self._ask)
        return state.rank_admission.demand_for(
            self._ask.service, fronts=len(state.fronts)
        )

    def _terms(
        self,
        offer: chain_directory.Offer,
        chains: list[chain_choice.Chain],
        demand: rank_demand.ServiceDemand | None,
        *,
        begun: bool,
    ) -> admission.Terms:
        if demand is None or begun:
            return admission.UNIFORM_TERMS
        return self._state.rank_admission.terms(
            self._ask,
            call=self._call,
            chains=chains,
            memory=offer.memory,
            demand=demand,
            chance=self._state.rng.random(),
        )

    def _note_decided(
        self,
        decision: admission.Admitted | admission.Refused,
        terms: admission.Terms,
        *,
        moved: bool,
    ) -> None:
        """Counts the first decision, and a begun stream that moves."""
        admissions = self._state.rank_admission
        if moved and isinstance(decision, admission.Admitted):
            admissions.note_moved(self._call, tokens=total_tokens(self._call))
        if self._ask is not None and not self._asked:
            self._asked = True
            admissions.note_decided(self._ask, decision, terms)

    def _usable_chains(
        self, offer: chain_directory.Offer, beside: OpenAttempts | None
    ) -> list[chain_choice.Chain]:
        call = self._call
        pending = beside.server_ids if beside is not None else ()
        chains = [
            chain
            for chain in offer.chains
            if call.may_send_to(chain.first.server_id, pending=pending)
            and chain.first.server_id not in call.unreachable
            and self._repair.has_link_budget(
                chain, tokens=call.facts.prompt_tokens
            )
        ]
        if beside is not None:
            chains = _beside(chains, beside)
        # Prefers chains without a stage that refused for lack of capacity.
        preferred = [c for c in chains if not call.refused_by & c.addresses]
        return preferred or chains

    def _was_just_refused(self, chains: Collection[chain_choice.Chain]) -> bool:
        """Returns whether all chains have a stage that refused again just now.

        It is asked again, but not at once: each time uses up a retry.
        """
        call = self._call
        if call.refusals < _MAX_QUICK_REFUSALS:
            return False
        refused_s = time.monotonic() - call.refused_at
        if not chains or refused_s >= stall_actions.MIN_RETRY_S:
            return False
        return all(call.refused_by & chain.addresses for chain in chains)

    def _decide(
        self,
        offer: chain_directory.Offer,
        chains: list[chain_choice.Chain],
        *,
        begun: bool,
        terms: admission.Terms,
    ) -> admission.Admitted | admission.Refused:
        """Decides on the chains that the request may use.

        If they are full, it decides on all chains at the fixed costs, unless
        others need the links.
        """
        crossing = self._crossing_terms(offer, begun=begun)
        permitted = [
            chain
            for chain in chains
            if self._state.spillover.permits(
                crossing, chain.first.failure_domain
            )
        ]
        decision = self._decide_on(
            permitted or chains,
            offer,
            begun=begun,
            terms=terms,
            crossing=crossing,
        )
        refused = isinstance(decision, admission.Refused)
        if refused and len(permitted) < len(chains) and not crossing.home_only:
            return self._decide_on(
                chains,
                offer,
                begun=begun,
                terms=terms,
                crossing=spillover.Terms(),
            )
        return decision

    def _crossing_terms(
        self, offer: chain_directory.Offer, *, begun: bool
    ) -> spillover.Terms:
        state, call = self._state, self._call
        return state.spillover.chain_terms(
            call.service.name,
            offer,
            engine=call.service.engine,
            may_leave=lambda: spillover.may_leave(
                rank=call.rank or 0,
                begun=begun,
                link_share=state.link_budget_for(call.service).share_left,
            ),
        )

    def _decide_on(
        self,
        chains: list[chain_choice.Chain],
        offer: chain_directory.Offer,
        *,
        begun: bool,
        terms: admission.Terms,
        crossing: spillover.Terms,
    ) -> admission.Admitted | admission.Refused:
        state, call = self._state, self._call
        return admission.decide(
            chains,
            tokens=total_tokens(call),
            answer_tokens=answer_tokens(call),
            load=state.load,
            memory=offer.memory,
            failure_domain=state.settings.failure_domain,
            chance=state.rng.random(),
            begun=begun,
            held_off_s=state.notices.holdoff_left_s(call.service.name),
            terms=terms,
            other_domain_factor=crossing.other_domain_factor,
        )

    def _tell_time(self, refused: admission.Refused) -> dict[str, Any]:
        """Computes the caller's retry time; returns the fields to log.

        A request that may have run is not refused but failed.
        """
        if self._call.may_have_run:
            return {}
        self._told = self._state.refusals.after(
            return_forecast.Reason.of_admission(refused.reason),
            call=self._call,
            usual_s=refused.retry_after_s,
            budget=self._budget,
        )
        return self._told.log_fields

    def _record_refusal(
        self,
        kind: str,
        refused: admission.Refused,
        inputs: dict[str, Any],
    ) -> None:
        """Records a refusal, once while it is repeated for the same reason."""
        refusal = f"{kind}: {refused.reason}"
        if refusal == self._recorded_refusal:
            return
        self._recorded_refusal = refusal
        self._state.decisions.record(
            kind,
            reason=refused.reason,
            request_id=self._call.request_id,
            **{"retry_after_s": round(refused.retry_after_s, 2), **inputs},
        )


def _rank_inputs(
    ask: admission_shares.Ask,
    demand: rank_demand.ServiceDemand,
    terms: admission.Terms,
) -> dict[str, float]:
    """Returns what the log says of a decision by rank."""
    return {
        "rank": ask.rank,
        "limit": round(terms.limit, 3),
        "workspace_over": terms.workspace_over,
        "urgent_per_s": round(
            demand.load_above(ask.rank + terms.workspace_over)
        ),
        "demand_age_s": round(demand.age_s, 2),
    }


def _beside(
    chains: Collection[chain_choice.Chain], attempts: OpenAttempts
) -> list[chain_choice.Chain]:
    """Returns the chains that may run beside open attempts.

    They start at another backend server. If a stage is known to be faulty, any
    chain without it is left as the last choice.
    """
    sound = [
        c
        for c in chains
        if not c.addresses & attempts.faulty
        and c.first.server_id not in attempts.left_out
    ]
    elsewhere = [
        c for c in sound if c.first.server_id not in attempts.server_ids
    ]
    return elsewhere or (sound if attempts.faulty else [])
