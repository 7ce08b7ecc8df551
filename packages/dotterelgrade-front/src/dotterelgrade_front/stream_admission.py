"""Chooses the chains on which a streamed request is attempted."""

import time

from dotterelgrade_front import call as call_lib
from dotterelgrade_front import chain_directory
from dotterelgrade_front import front_state
from dotterelgrade_front import stream_repair
from dotterelgrade_routing import admission
from dotterelgrade_routing import chain_choice


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

    def __repr__(self) -> str:
        """Shows the request."""
        return f"<StreamAdmission {self._call.request_id}>"

    def admit(self, *, begun: bool) -> admission.Admitted | admission.Refused:
        """Chooses a chain for the next attempt, or refuses.

        Args:
            begun: Whether the caller has received events already.
        """
        offer = self._state.chains.offer(self._call.service)
        chains = self._usable_chains(offer)
        decision = self._decide(offer, chains, begun=begun)
        inputs = {
            "fleet_version": offer.fleet_version,
            "age_s": round(time.monotonic() - offer.computed_at, 2),
            "chains": len(chains),
            "tokens": round(total_tokens(self._call)),
        }
        if isinstance(decision, admission.Refused):
            self._state.decisions.record(
                "capacity_awaited" if begun else "refused",
                reason=decision.reason,
                request_id=self._call.request_id,
                retry_after_s=round(decision.retry_after_s, 2),
                **inputs,
            )
            return decision
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

    def _usable_chains(
        self, offer: chain_directory.Offer
    ) -> list[chain_choice.Chain]:
        call = self._call
        chains = [
            chain
            for chain in offer.chains
            if call.may_send_to(chain.first.server_id)
            and chain.first.server_id not in call.unreachable
            and self._repair.has_link_budget(
                chain, tokens=call.facts.prompt_tokens
            )
        ]
        # Prefers chains without a stage that refused for lack of capacity.
        preferred = [c for c in chains if not call.refused_by & c.addresses]
        return preferred or chains

    def _decide(
        self,
        offer: chain_directory.Offer,
        chains: list[chain_choice.Chain],
        *,
        begun: bool,
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
        )
