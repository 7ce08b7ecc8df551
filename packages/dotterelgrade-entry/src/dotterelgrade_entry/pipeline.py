"""Drives one model request through a chain of agents."""

from collections.abc import Iterator
import time
from typing import Any

from returns import result

from dotterelgrade import errors
from dotterelgrade import messages
from dotterelgrade import rules
from dotterelgrade_entry import agent_peer
from dotterelgrade_entry import chain_admission
from dotterelgrade_entry import chain_link
from dotterelgrade_entry import entry_metrics
from dotterelgrade_entry import pipeline_tools
from dotterelgrade_entry import planner as planner_lib
from dotterelgrade_entry import repair as repair_lib
from dotterelgrade_entry import request as request_lib

_LEARN_EVERY = 8
# Bounds on the time between tokens after which a pipeline is examined.
_STALL_GAPS = 8.0


class Pipeline:
    """One request from admission to release, with its tokens and repairs."""

    def __init__(
        self,
        request: request_lib.Request,
        *,
        model: rules.ModelRule,
        tools: pipeline_tools.Tools,
        watch: entry_metrics.TokenWatch,
    ) -> None:
        """Initializes a pipeline that has contacted no agent.

        Args:
            request: The request.
            model: The contract's rule of its model.
            tools: What pipelines share.
            watch: Measures the tokens' latencies.
        """
        self._watch = watch
        self._request = request
        self._tools = tools
        self._link = chain_link.ChainLink(request, fleet=tools.fleet)
        self._admission = chain_admission.ChainAdmission(
            request, model=model, link=self._link, tools=tools
        )
        self._repair = repair_lib.Repair(
            request,
            link=self._link,
            admission=self._admission,
            tools=tools,
            begin=self._begin,
        )
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
        """Handles a token and sends the next step at once."""
        if not self._link.accept(peer, token):
            return
        self._watch.note_token()
        # The load changes while an answer is generated, so the prediction is
        # recomputed at intervals.
        if self._request.emitted_count % _LEARN_EVERY == 1:
            self._expect_gap()

    def _expect_gap(self) -> None:
        stages = self._link.stages
        if stages and all(stage.view.is_measured for stage in stages):
            cost = self._tools.planner.cost(stages, self._request.order)
            self._watch.expect_gap(cost.between_tokens_s)

    def on_reply(self, peer: agent_peer.AgentPeer, message: Any) -> None:
        """Handles any other frame about the request."""
        if not isinstance(message, messages.CallReply | messages.CallFailed):
            self._link.put_reply(peer, message)

    def on_lost(self, peer: agent_peer.AgentPeer, reason: str) -> None:
        """Handles the loss or silence of an agent."""
        self._link.put_loss(peer, reason)

    def start(self) -> result.Result[None, errors.Error]:
        """Admits the request on a chain and sends the prompt.

        Returns:
            Nothing, or why the request was not run.
        """
        self._tools.exchange.join(self._request.request_id, self)
        self._tools.budget.note_request()
        admitted = self._admission.first_chain()
        if isinstance(admitted, result.Failure):
            self.close()
            return admitted
        self._begin(admitted.unwrap())
        return result.Success(None)

    def close(self) -> None:
        """Ends the request at all agents, whatever its state."""
        self._tools.exchange.leave(self._request.request_id)
        if self._link.stages:
            self._link.release(cancelled=not self._request.is_finished)

    def tokens(self) -> Iterator[tuple[int, ...]]:
        """Yields the tokens of the answer until it is complete.

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
        """Resumes the request's greenlet when a time limit has passed."""
        if time.monotonic() >= min(self._ends_at(), self._stalls_at()):
            self._link.wake()

    def _ends_at(self) -> float:
        limit = self._tools.settings.request_timeout_s
        return self._request.arrived_at + limit

    def _stalls_at(self) -> float:
        return self._link.progress_at + self._stall_limit_s()

    def _wait_once(self) -> None:
        # One periodic timer serves all requests, instead of one per token.
        item = self._link.wait()
        if item is not None:
            self._handle(item)
            return
        if self._link.tokens:
            return
        now = time.monotonic()
        if now >= self._ends_at():
            raise errors.new_exception(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                "the answer took longer than the time limit",
            )
        if now >= self._stalls_at():
            self._repair.examine_stall()

    def _stall_limit_s(self) -> float:
        order = self._request.order
        delay_s = self._tools.fleet.own_delay_s
        limit_s = self._tools.settings.stall_limit_s
        if not self._request.emitted:
            late_s = max(self._expected_first_s, order.first_token_s)
            return limit_s + late_s + delay_s
        return max(limit_s, _STALL_GAPS * order.between_tokens_s) + delay_s

    def _handle(self, item: Any) -> None:
        if isinstance(item, chain_link.Lost):
            dead = self._link.indexes_of(item.peer)
            if dead:
                self._replace(dead, item.reason)
        elif (
            isinstance(item, messages.StageFailed)
            and item.attempt == self._request.attempt
        ):
            self._replace({item.stage}, item.message)

    def _replace(self, dead: set[int], reason: str) -> None:
        self._watch.expect_first(None)
        self._repair.repair(dead, reason=reason)

    def _begin(self, chain: planner_lib.Chain) -> None:
        self._expected_first_s = chain.cost.first_token_s
        predicted_s = chain.cost.first_token_s if chain.is_measured else None
        self._watch.expect_first(predicted_s)
        self._link.note_progress()
        self._link.send_step(self._request.whole_step())
