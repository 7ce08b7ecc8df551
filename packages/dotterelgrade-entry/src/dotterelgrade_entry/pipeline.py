"""Drives one model request through a chain of agents."""

from collections.abc import Iterator
import dataclasses
import time
from typing import Any

import gevent
from returns import result

from dotterelgrade import errors
from dotterelgrade import journal as journal_lib
from dotterelgrade import messages
from dotterelgrade import rules
from dotterelgrade_entry import admission as admission_lib
from dotterelgrade_entry import agent_peer
from dotterelgrade_entry import chain_link
from dotterelgrade_entry import entry_metrics
from dotterelgrade_entry import entry_settings
from dotterelgrade_entry import exchange as exchange_lib
from dotterelgrade_entry import fleet as fleet_lib
from dotterelgrade_entry import planner as planner_lib
from dotterelgrade_entry import request as request_lib
from dotterelgrade_entry import retry_budget

_MAX_ADMISSIONS = 4
_MAX_REPAIRS = 20
_SEARCH_PAUSE_S = 0.1
_PROBE_PAUSE_S = 0.15
_LEARN_EVERY = 8
_ADMIT_PART = 0.4
_MIN_ADMIT_TIMEOUT_S = 0.15


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tools:
    """What pipelines share.

    Attributes:
        settings: The settings of the entry.
        fleet: The agents that are known.
        planner: Chooses chains.
        admission: Compares predictions with the bound.
        exchange: Delivers the agents' frames.
        budget: Limits retries.
        journal: Where decisions are recorded.
    """

    settings: entry_settings.EntrySettings
    fleet: fleet_lib.Fleet
    planner: planner_lib.Planner
    admission: admission_lib.Admission
    exchange: exchange_lib.Exchange
    budget: retry_budget.RetryBudget
    journal: journal_lib.Journal


class Pipeline:
    """One request on its way: admission, tokens, repair and release."""

    def __init__(
        self,
        request: request_lib.Request,
        *,
        model: rules.ModelRule,
        tools: Tools,
        watch: entry_metrics.TokenWatch,
    ) -> None:
        """Initializes a pipeline that has asked no agent.

        Args:
            request: The request.
            model: The contract's rule of its model.
            tools: What pipelines share.
            watch: Measures the tokens' latencies.
        """
        self._watch = watch
        self._request = request
        self._model = model
        self._tools = tools
        self._link = chain_link.ChainLink(request, fleet=tools.fleet)
        self._avoid: set[str] = set()
        self._repairs = 0
        self._expected_first_s = 0.0

    def __repr__(self) -> str:
        """Shows the request and its stages."""
        return f"<Pipeline {self._request!r} over {self._link!r}>"

    @property
    def request(self) -> request_lib.Request:
        """The request."""
        return self._request

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "request_id": self._request.request_id,
            "workspace": self._request.order.workspace,
            "model": self._request.order.model,
            "attempt": self._request.attempt,
            "prompt_tokens": len(self._request.order.prompt),
            "emitted": len(self._request.emitted),
            "stages": [stage.key for stage in self._link.stages],
            "age_s": round(time.monotonic() - self._request.arrived_at, 3),
        }

    def uses(self, peer: agent_peer.AgentPeer) -> bool:
        """Whether the agent runs one of the stages."""
        return self._link.uses(peer)

    def on_token(
        self, peer: agent_peer.AgentPeer, token: messages.Token
    ) -> None:
        """Takes a token; the next step leaves at once."""
        if not self._link.accept(peer, token):
            return
        self._watch.note_token()
        # The load changes while an answer is generated, so the prediction to
        # learn from is made anew, and only now and then.
        if self._request.emitted_count % _LEARN_EVERY == 1:
            self._expect_gap()

    def _expect_gap(self) -> None:
        stages = self._link.stages
        if stages and all(stage.view.is_measured for stage in stages):
            cost = self._tools.planner.cost(stages, self._request.order)
            self._watch.expect_gap(cost.between_tokens_s)

    def on_reply(self, peer: agent_peer.AgentPeer, message: Any) -> None:
        """Takes any other frame about the request."""
        if not isinstance(message, messages.CallReply | messages.CallFailed):
            self._link.put_reply(peer, message)

    def on_lost(self, peer: agent_peer.AgentPeer, reason: str) -> None:
        """Hears that an agent is lost or silent."""
        self._link.put_loss(peer, reason)

    def start(self) -> result.Result[None, errors.Error]:
        """Admits the request on a chain and sends the prompt.

        Returns:
            Nothing, or why the request was not run.
        """
        self._tools.exchange.join(self._request.request_id, self)
        self._tools.budget.note_request()
        started = self._try_chains()
        if isinstance(started, result.Failure):
            self.close()
        return started

    def close(self) -> None:
        """Ends the request at all agents, whatever its state."""
        self._tools.exchange.leave(self._request.request_id)
        if self._link.stages:
            self._link.release(cancelled=not self._request.is_finished)

    def tokens(self) -> Iterator[tuple[int, ...]]:
        """Yields the tokens of the answer until it is whole.

        Yields:
            Batches of one or more tokens, each token once and in order.

        Raises:
            errors.DotterelgradeError: INTERRUPTED or DEADLINE_EXCEEDED.
        """
        ready = self._link.tokens
        try:
            while True:
                if ready:
                    batch = tuple(ready)
                    ready.clear()
                    yield batch
                    continue
                if self._request.is_finished:
                    return
                self._wait_once()
        finally:
            self.close()

    def on_tick(self) -> None:
        """Wakes the request's greenlet when a time limit has passed."""
        if time.monotonic() >= min(self._ends_at(), self._stalls_at()):
            self._link.wake()

    def _ends_at(self) -> float:
        limit = self._tools.settings.request_timeout_s
        return self._request.arrived_at + limit

    def _stalls_at(self) -> float:
        return self._link.progress_at + self._stall_limit_s()

    def _wait_once(self) -> None:
        # One timer for all requests ticks, instead of one for each token.
        item = self._link.wait()
        if item is not None:
            self._handle(item)
            return
        if self._link.tokens:
            return
        now = time.monotonic()
        if now >= self._ends_at():
            raise errors.fail(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                "the answer took longer than the time limit",
            )
        if now >= self._stalls_at():
            self._examine_stall()

    def _stall_limit_s(self) -> float:
        limit = self._tools.settings.stall_limit_s
        limit += self._tools.fleet.own_delay_s
        if not self._request.emitted:
            limit += 2 * self._expected_first_s
        return limit

    def _handle(self, item: Any) -> None:
        if isinstance(item, chain_link.Lost):
            dead = self._link.indexes_of(item.peer)
            if dead:
                self._repair(dead, reason=item.reason)
        elif (
            isinstance(item, messages.StageFailed)
            and item.attempt == self._request.attempt
        ):
            self._repair({item.stage}, reason=item.message)

    # Admission.

    def _try_chains(self) -> result.Result[None, errors.Error]:
        failure: errors.Error | None = None
        for number in range(_MAX_ADMISSIONS):
            if number and not self._tools.budget.spend():
                self._record("retry_denied", reason="retry budget is spent")
                break
            planned = self._tools.admission.enter(self._request, self._plan)
            if isinstance(planned, result.Failure):
                # A refusal says more than the lack of further chains.
                return result.Failure(failure or planned.failure())
            chain = planned.unwrap()
            outcome = self._admit(chain)
            if isinstance(outcome, result.Success):
                self._begin(chain)
                return result.Success(None)
            failure = outcome.failure()
        assert failure is not None
        return result.Failure(failure)

    def _plan(self) -> result.Result[planner_lib.Chain, errors.Error]:
        return self._tools.planner.plan(
            self._request.order,
            layers=self._model.layers,
            version=self._model.version,
            avoid=self._avoid,
        )

    def _admit(
        self, chain: planner_lib.Chain
    ) -> result.Result[None, errors.Error]:
        attempt = self._request.begin_attempt()
        self._record(
            "chain_chosen",
            reason=f"policy {self._tools.planner.policy.name}",
            attempt=attempt,
            chain=str(chain),
            first_token_s=round(chain.cost.first_token_s, 6),
            between_tokens_s=round(chain.cost.between_tokens_s, 6),
        )
        stages = chain.stages
        self._link.adopt(stages, [0] * len(stages))
        replies = self._link.admit(
            range(len(stages)),
            timeout_s=self._admit_timeout_s(),
        )
        if replies.is_complete:
            return result.Success(None)
        error = self._note_unwilling(replies)
        self._link.release(cancelled=True)
        return result.Failure(error)

    def _admit_timeout_s(self) -> float:
        # A silent agent must leave time for another chain.
        part = _ADMIT_PART * self._request.order.first_token_s
        limit = max(part, _MIN_ADMIT_TIMEOUT_S)
        limit = min(limit, self._tools.settings.admit_timeout_s)
        return limit + self._tools.fleet.own_delay_s

    def _note_unwilling(self, replies: chain_link.Replies) -> errors.Error:
        error = errors.Error(
            kind=errors.ErrorKind.NO_CAPACITY,
            message="an agent did not answer the admission",
            retry_after_s=1.0,
        )
        for index in replies.missing:
            self._blame(self._link.stages[index], "no answer to an admission")
        for index, refused in replies.refused.items():
            stage = self._link.stages[index]
            if not _tells_it_is_full(refused):
                self._avoid.add(stage.key)
            self._record(
                "admission_refused",
                reason=refused.message,
                backend=stage.key,
                kind=refused.kind.value,
            )
            error = _refusal_error(refused)
        return error

    def _blame(self, stage: planner_lib.Stage, reason: str) -> None:
        self._avoid.add(stage.key)
        peer = stage.peer
        if peer.is_connected and peer.silence_s > (
            self._tools.settings.admit_timeout_s / 2
        ):
            self._tools.fleet.suspect(peer, reason)
        elif peer.is_connected:
            self._tools.fleet.eject((peer, stage.view), reason=reason)

    def _begin(self, chain: planner_lib.Chain) -> None:
        self._expected_first_s = chain.cost.first_token_s
        predicted_s = chain.cost.first_token_s if chain.is_measured else None
        self._watch.expect_first(predicted_s)
        self._tools.planner.note_used(chain, self._request.order)
        self._link.note_progress()
        self._link.send_step(self._request.whole_step())

    # Repair.

    def _examine_stall(self) -> None:
        timeout = self._tools.settings.admit_timeout_s
        first = self._link.probe(timeout_s=timeout)
        if not first.missing and not first.refused:
            gevent.sleep(_PROBE_PAUSE_S)
            second = self._link.probe(timeout_s=timeout)
            if self._link.tokens or _positions(first) != _positions(second):
                self._link.note_progress()
                return
            first = second
        dead = set(first.missing) | set(first.refused)
        if not dead:
            dead = {_stuck_stage(_positions(first), self._request)}
        for index in dead:
            self._blame(self._link.stages[index], "no progress")
        self._repair(dead, reason="no progress")

    def _repair(self, dead: set[int], *, reason: str) -> None:
        ends_at = time.monotonic() + self._tools.settings.give_up_s
        self._watch.expect_first(None)
        self._record(
            "stage_lost",
            reason=reason,
            stages=[self._link.stages[index].key for index in sorted(dead)],
            emitted=len(self._request.emitted),
        )
        self._avoid = {self._link.stages[index].key for index in dead}
        if self._replace_all(dead):
            self._link.note_progress()
            return
        if self._link.stages:
            self._link.release(cancelled=True)
        while not self._restart():
            if time.monotonic() >= ends_at or self._repairs > _MAX_REPAIRS:
                raise errors.fail(
                    errors.ErrorKind.INTERRUPTED,
                    f"stages were lost and not replaced: {reason}",
                )
            self._tools.fleet.changed.wait(_SEARCH_PAUSE_S)

    def _restart(self) -> bool:
        planned = self._plan()
        if isinstance(planned, result.Failure):
            # What failed before is better than nothing once it answers.
            self._avoid.clear()
            return False
        chain = planned.unwrap()
        if isinstance(self._admit(chain), result.Failure):
            return False
        self._record(
            "attempt_started",
            reason="stages could not be replaced one by one",
            attempt=self._request.attempt,
            emitted=len(self._request.emitted),
        )
        self._begin(chain)
        return True

    def _replace_all(self, dead: set[int]) -> bool:
        """Replaces lost stages, and those that are lost meanwhile."""
        lost = set(dead)
        while len(lost) < len(self._link.stages):
            self._repairs += 1
            if self._repairs > _MAX_REPAIRS:
                return False
            stages = self._plan_replacements(lost)
            if stages is None:
                return False
            replies = self._rejoin(stages, lost)
            if replies.is_complete:
                return self._resume(lost, replies)
            self._note_unwilling(replies)
            lost |= replies.missing | set(replies.refused)
        return False

    def _plan_replacements(
        self, lost: set[int]
    ) -> list[planner_lib.Stage] | None:
        stages = list(self._link.stages)
        for index in sorted(lost):
            chosen = self._tools.planner.plan_stage(
                self._request.order,
                chain=stages,
                index=index,
                version=self._model.version,
                avoid=self._avoid,
            )
            if isinstance(chosen, result.Failure):
                return None
            stages[index] = chosen.unwrap()
        return stages

    def _rejoin(
        self, stages: list[planner_lib.Stage], lost: set[int]
    ) -> chain_link.Replies:
        self._request.begin_attempt()
        self._leave_behind(lost)
        self._link.adopt(stages, self._mutes(lost, len(stages)))
        return self._link.admit(
            lost, timeout_s=self._tools.settings.admit_timeout_s
        )

    def _leave_behind(self, dead: set[int]) -> None:
        release = messages.Release(
            request_id=self._request.request_id,
            attempt=self._request.attempt - 1,
            cancelled=True,
        )
        kept = {
            stage.peer
            for index, stage in enumerate(self._link.stages)
            if index not in dead
        }
        for index in dead:
            peer = self._link.stages[index].peer
            if peer not in kept:
                peer.send(release)

    def _mutes(self, dead: set[int], count: int) -> list[int]:
        # A new stage behind a new stage needs everything from the beginning.
        current = self._request.current_step().position
        return [
            0 if index in dead and index + 1 in dead else current
            for index in range(count)
        ]

    def _resume(self, dead: set[int], replies: chain_link.Replies) -> bool:
        sources = {index - 1 for index in dead if index} - dead
        reason = self._why_not_replayable(sources, replies)
        if reason:
            self._record("replay_impossible", reason=reason)
            return False
        if sources and not self._link.replay(
            sources, timeout_s=self._tools.settings.admit_timeout_s
        ):
            return False
        if 0 in dead:
            for step in self._request.rebuild_steps():
                self._link.send_step(step)
        self._link.send_step(self._request.current_step())
        self._record(
            "stage_replaced",
            reason="the other stages keep their caches",
            attempt=self._request.attempt,
            stages=[self._link.stages[index].key for index in sorted(dead)],
            replayed_from=sorted(sources),
        )
        return True

    def _why_not_replayable(
        self, sources: set[int], replies: chain_link.Replies
    ) -> str:
        current = self._request.current_step().position
        for index, answer in replies.accepted.items():
            if not isinstance(answer, messages.Rewired):
                continue
            if answer.next_position < current:
                # It was itself being rebuilt when the next stage was lost.
                return "a surviving stage has not run all positions"
            if index in sources and not answer.replayable:
                return "outputs are not all buffered"
        return ""

    def _record(self, decision: str, *, reason: str, **details: Any) -> None:
        self._tools.journal.record(
            decision,
            reason=reason,
            request_id=self._request.request_id,
            **details,
        )


def _tells_it_is_full(refused: messages.Refused) -> bool:
    # The report in the refusal keeps the planner away until a slot is free.
    return refused.report is not None and refused.report.slots_free <= 0


def _refusal_error(refused: messages.Refused) -> errors.Error:
    error = errors.Error(
        kind=refused.kind,
        message=refused.message,
        retry_after_s=(refused.retry_after_ms or 1000.0) / 1000,
        run=errors.Run.NOT_RUN,
    )
    if error.answer.retryable:
        return error
    # What an agent reports about itself is no fault of the caller.
    return dataclasses.replace(error, kind=errors.ErrorKind.NO_CAPACITY)


def _positions(replies: chain_link.Replies) -> list[int]:
    return [
        reply.next_position if isinstance(reply, messages.Rewired) else 0
        for _, reply in sorted(replies.accepted.items())
    ]


def _stuck_stage(positions: list[int], request: request_lib.Request) -> int:
    upstream = request.next_position
    for index, position in enumerate(positions):
        if position < upstream:
            return index
        upstream = position
    return len(positions) - 1
