"""Finds a chain for one request and admits the request on it."""

import dataclasses
from typing import Any

from returns import result

from dotterelgrade import errors
from dotterelgrade import messages
from dotterelgrade import rules
from dotterelgrade_entry import chain_link
from dotterelgrade_entry import pipeline_tools
from dotterelgrade_entry import planner as planner_lib
from dotterelgrade_entry import request as request_lib
from dotterelgrade_entry import retry_after

_MAX_TRIES = 4
_ADMIT_PART = 0.4
_MIN_ADMIT_TIMEOUT_S = 0.15


class ChainAdmission:
    """Plans and admits chains for one request, under the retry budget."""

    def __init__(
        self,
        request: request_lib.Request,
        *,
        model: rules.ModelRule,
        link: chain_link.ChainLink,
        tools: pipeline_tools.Tools,
    ) -> None:
        """Initializes an admission that has asked no agent.

        Args:
            request: The request.
            model: The contract's rule of its model.
            link: The frames to and from its agents.
            tools: What pipelines share.
        """
        self._request = request
        self._model = model
        self._link = link
        self._tools = tools
        self._avoid: set[str] = set()
        self._only_full = False

    def __repr__(self) -> str:
        """Shows the request and what it avoids."""
        return f"<ChainAdmission of {self._request!r} avoids {self._avoid}>"

    def avoid_only(self, keys: set[str]) -> None:
        """Sets the backend servers that are not to be used."""
        self._avoid = set(keys)

    @property
    def timeout_s(self) -> float:
        """Time limit for the agents' answers, s."""
        # A silent agent must leave time for another chain.
        part = _ADMIT_PART * self._request.order.first_token_s
        limit = max(part, _MIN_ADMIT_TIMEOUT_S)
        limit = min(limit, self._tools.settings.admit_timeout_s)
        return limit + self._tools.fleet.own_delay_s

    def first_chain(self) -> result.Result[planner_lib.Chain, errors.Error]:
        """Admits a request that has not run, if the bound holds for it.

        Returns:
            The chain, or why the request was not run.
        """
        failure: errors.Error | None = None
        tries = 0
        while tries < _MAX_TRIES:
            if tries and not self._tools.budget.spend():
                self.record("retry_denied", reason="retry budget is spent")
                break
            planned = self._tools.admission.enter(self._request, self.plan)
            if isinstance(planned, result.Failure):
                return result.Failure(_caller_error(failure, planned.failure()))
            outcome = self.admit(planned.unwrap())
            if isinstance(outcome, result.Success):
                return outcome
            failure = outcome.failure()
            if not self._may_race_again:
                tries += 1
        assert failure is not None
        return result.Failure(failure)

    @property
    def _may_race_again(self) -> bool:
        """Whether the last chain was only full, and there is time to wait.

        Other entries took the slots that were free. Going for the next one is
        no retry: the queue lets one request go for each that becomes free.
        """
        return self._only_full and self._request.time_to_bound_s > 0

    def plan(
        self, inside_part: float = planner_lib.INSIDE_PART
    ) -> result.Result[planner_lib.Chain, errors.Error]:
        """Returns the best chain at the moment.

        Args:
            inside_part: Part of the bounds inside which it is chosen.
        """
        return self._tools.planner.plan(
            self._request.order,
            layers=self._model.layers,
            version=self._model.version,
            inside_part=inside_part,
            avoid=self._avoid,
        )

    def plan_replacements(
        self, lost: set[int]
    ) -> list[planner_lib.Stage] | None:
        """Returns the chain with other stages for the lost ones, or None."""
        stages = list(self._link.stages)
        for index in sorted(lost):
            chosen = self._tools.planner.plan_stage(
                self._request.order,
                chain=stages,
                index=index,
                avoid=self._avoid,
            )
            if isinstance(chosen, result.Failure):
                return None
            stages[index] = chosen.unwrap()
        return stages

    def admit(
        self, chain: planner_lib.Chain
    ) -> result.Result[planner_lib.Chain, errors.Error]:
        """Admits the request on every stage of a chain, or on none.

        Args:
            chain: The chain.

        Returns:
            The chain, or why it was not admitted; then nothing ran on it.
        """
        attempt = self._request.begin_attempt()
        self.record(
            "chain_chosen",
            reason=f"policy {self._tools.planner.policy.name}",
            attempt=attempt,
            chain=str(chain),
            first_token_s=round(chain.cost.first_token_s, 6),
            between_tokens_s=round(chain.cost.between_tokens_s, 6),
        )
        stages = chain.stages
        self._link.adopt(stages, [0] * len(stages))
        replies = self._link.admit(range(len(stages)), timeout_s=self.timeout_s)
        if replies.is_complete:
            self._tools.planner.note_used(chain, self._request.order)
            return result.Success(chain)
        error = self.note_unwilling(replies)
        self._link.release(cancelled=True)
        return result.Failure(error)

    def note_unwilling(self, replies: chain_link.Replies) -> errors.Error:
        """Avoids the stages that refused or did not answer.

        Args:
            replies: What the agents answered.

        Returns:
            The error for the caller.
        """
        error = errors.Error(
            kind=errors.ErrorKind.NO_CAPACITY,
            message="an agent did not answer the admission",
            retry_after_s=retry_after.DEFAULT_S,
        )
        self._only_full = not replies.missing and all(
            _tells_it_is_full(refused) for refused in replies.refused.values()
        )
        for index in replies.missing:
            self.blame(self._link.stages[index], "no answer to an admission")
        for index, refused in replies.refused.items():
            stage = self._link.stages[index]
            if not _tells_it_is_full(refused):
                self._avoid.add(stage.key)
            self.record(
                "admission_refused",
                reason=refused.message,
                backend=stage.key,
                kind=refused.kind.value,
            )
            error = _refusal_error(refused)
        return error

    def blame(self, stage: planner_lib.Stage, reason: str) -> None:
        """Avoids a stage that did not do its work, and so do others.

        Args:
            stage: The stage.
            reason: Why, for the journal.
        """
        self._avoid.add(stage.key)
        peer = stage.peer
        if not peer.is_connected:
            return
        if peer.silence_s > self.timeout_s / 2:
            self._tools.fleet.suspect(peer, reason)
        else:
            self._tools.fleet.eject((peer, stage.view), reason=reason)

    def record(self, decision: str, *, reason: str, **details: Any) -> None:
        """Records a decision about the request in the journal."""
        self._tools.journal.record(
            decision,
            reason=reason,
            request_id=self._request.request_id,
            **details,
        )


def _tells_it_is_full(refused: messages.Refused) -> bool:
    # The report in the refusal keeps the planner away until a slot is free.
    return refused.report is not None and refused.report.slots_free <= 0


def _caller_error(
    refused: errors.Error | None, unplanned: errors.Error
) -> errors.Error:
    """Returns what a caller is told after a refusal and a failed plan.

    An agent's refusal says more than the lack of further chains; the wait that
    the queue predicts is newer than both.
    """
    if unplanned.kind is errors.ErrorKind.OVER_BOUND:
        return unplanned
    return refused or unplanned


def _refusal_error(refused: messages.Refused) -> errors.Error:
    error = errors.Error(
        kind=refused.kind,
        message=refused.message,
        retry_after_s=retry_after.checked_s(refused.retry_after_ms),
        run=errors.RunState.NOT_RUN,
    )
    if error.response.retryable:
        return error
    # What an agent reports about itself is no fault of the caller.
    return dataclasses.replace(error, kind=errors.ErrorKind.NO_CAPACITY)
