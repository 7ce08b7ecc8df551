"""The frames of one request to and from the agents of its chain."""

import collections
from collections.abc import Collection, Iterable
import dataclasses
import time
from typing import Any

from gevent import event

from dotterelgrade import messages
from dotterelgrade_entry import agent_peer
from dotterelgrade_entry import fleet as fleet_lib
from dotterelgrade_entry import planner as planner_lib
from dotterelgrade_entry import request as request_lib

_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lost:
    """An agent of the chain is lost or silent."""

    peer: agent_peer.AgentPeer
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Replies:
    """What the agents answered to one attempt.

    Attributes:
        accepted: Answers of the stages that agreed, by index.
        refused: Refusals by index.
        missing: Indexes of the stages that did not answer or are lost.
    """

    accepted: dict[int, messages.Admitted | messages.Rewired]
    refused: dict[int, messages.Refused]
    missing: frozenset[int]

    @property
    def is_complete(self) -> bool:
        """Whether every stage agreed."""
        return not self.refused and not self.missing


class ChainLink:
    """The stages that work for a request, and what comes from them.

    Frames are taken in by the greenlets that read the connections; the
    request's own greenlet waits here for them.
    """

    def __init__(
        self, request: request_lib.Request, *, fleet: fleet_lib.Fleet
    ) -> None:
        """Initializes a link without stages.

        Args:
            request: The request.
            fleet: The agents that are known.
        """
        self._request = request
        self._fleet = fleet
        self._stages: list[planner_lib.Stage] = []
        self._mutes: list[int] = []
        self._tokens: collections.deque[int] = collections.deque()
        self._control: collections.deque[Any] = collections.deque()
        self._admitted: set[str] = set()
        self._wakeup = event.Event()
        self._progress_at = time.monotonic()
        self._prefill_tokens = 0

    def __repr__(self) -> str:
        """Shows the stages."""
        return f"<ChainLink {[stage.key for stage in self._stages]}>"

    @property
    def stages(self) -> list[planner_lib.Stage]:
        """The stages in use, in the order of their layers."""
        return self._stages

    @property
    def tokens(self) -> collections.deque[int]:
        """Accepted tokens that the caller has not got yet."""
        return self._tokens

    @property
    def progress_at(self) -> float:
        """Monotonic time of the latest progress, s."""
        return self._progress_at

    def note_progress(self) -> None:
        """Starts the wait for the next progress."""
        self._progress_at = time.monotonic()

    def uses(self, peer: agent_peer.AgentPeer) -> bool:
        """Whether the agent runs one of the stages."""
        return any(stage.peer is peer for stage in self._stages)

    def indexes_of(self, peer: agent_peer.AgentPeer) -> set[int]:
        """Returns the indexes of the stages that an agent runs."""
        return {
            index
            for index, stage in enumerate(self._stages)
            if stage.peer is peer
        }

    def accept(self, peer: agent_peer.AgentPeer, token: messages.Token) -> bool:
        """Takes a token from the last stage, if it belongs to the answer."""
        if not self._stages or peer is not self._stages[-1].peer:
            return False
        if not self._request.accept(token):
            return False
        self._tokens.append(token.token)
        self._progress_at = time.monotonic()
        if self._prefill_tokens:
            self._note_prefilled()
        if not self._request.is_finished:
            self.send_step(self._request.current_step())
        self._wakeup.set()
        return True

    def _note_prefilled(self) -> None:
        for stage in self._stages:
            stage.view.note_prefilled(tokens=self._prefill_tokens)
        self._prefill_tokens = 0

    def put_reply(self, peer: agent_peer.AgentPeer, message: Any) -> None:
        """Takes a frame about a stage, if the agent runs that stage."""
        if message.stage in self.indexes_of(peer):
            self._control.append(message)
            self._wakeup.set()

    def put_loss(self, peer: agent_peer.AgentPeer, reason: str) -> None:
        """Takes the loss of an agent."""
        self._control.append(Lost(peer=peer, reason=reason))
        self._wakeup.set()

    def wait(self) -> Any | None:
        """Waits for tokens, something else or a call of `wake`.

        Returns:
            The oldest item that is no token, or None when there are tokens or
            it was woken.
        """
        if not self._control and not self._tokens:
            self._wakeup.clear()
            self._wakeup.wait()
        if self._tokens or not self._control:
            return None
        return self._control.popleft()

    def wake(self) -> None:
        """Ends the current wait."""
        self._wakeup.set()

    def send_step(self, step: messages.Step) -> None:
        """Sends a step to the first stage."""
        self._request.note_sent()
        self._stages[0].peer.send_step(step)

    def adopt(
        self, stages: Iterable[planner_lib.Stage], mutes: Iterable[int]
    ) -> None:
        """Replaces the stages in use.

        Args:
            stages: The stages from now on.
            mutes: Position before which each one's outputs are not sent on.
        """
        before = [stage.peer.address for stage in self._stages]
        self._stages = list(stages)
        self._mutes = list(mutes)
        for stage in self._stages:
            self._fleet.note_busy(stage.peer.address, 1)
        for address in before:
            self._fleet.note_busy(address, -1)

    def admit(self, indexes: Collection[int], *, timeout_s: float) -> Replies:
        """Admits some stages and moves all others to the current attempt.

        Args:
            indexes: Indexes of the stages to admit.
            timeout_s: Time limit for the answers, s.

        Returns:
            The answers of all stages.
        """
        tokens = self._request.next_position
        if len(indexes) == len(self._stages):
            self._prefill_tokens = tokens
        for index, stage in enumerate(self._stages):
            if index in indexes:
                stage.view.note_asked(self._request.request_id, tokens=tokens)
                stage.peer.send(self._admission(index))
            else:
                stage.peer.send(self._rewiring(index))
        replies = self._collect(timeout_s)
        for index in indexes:
            self._note_answer(index, replies)
        return replies

    def probe(self, *, timeout_s: float) -> Replies:
        """Asks every stage how far it is, without changing anything."""
        for index, stage in enumerate(self._stages):
            stage.peer.send(self._rewiring(index))
        return self._collect(timeout_s)

    def _note_answer(self, index: int, replies: Replies) -> None:
        answer = replies.accepted.get(index) or replies.refused.get(index)
        view = self._stages[index].view
        report = getattr(answer, "report", None)
        view.note_answered(self._request.request_id, report)
        if index in replies.accepted:
            self._admitted.add(view.key)

    def _collect(self, timeout_s: float) -> Replies:
        accepted: dict[int, messages.Admitted | messages.Rewired] = {}
        refused: dict[int, messages.Refused] = {}
        lost = {
            index
            for index, stage in enumerate(self._stages)
            if not stage.peer.is_connected
        }
        waiting = set(range(len(self._stages))) - lost
        limit = time.monotonic() + timeout_s
        while waiting - lost and not refused:
            item = self._next_control(limit - time.monotonic())
            if item is None:
                break
            if isinstance(item, Lost):
                lost |= self.indexes_of(item.peer)
            elif item.attempt != self._request.attempt:
                continue
            elif isinstance(item, messages.StageFailed):
                lost.add(item.stage)
            elif item.stage in waiting:
                waiting.discard(item.stage)
                if isinstance(item, messages.Refused):
                    refused[item.stage] = item
                else:
                    accepted[item.stage] = item
        missing = frozenset(lost if refused else waiting | lost)
        return Replies(accepted=accepted, refused=refused, missing=missing)

    def _next_control(self, timeout_s: float) -> Any | None:
        if not self._control:
            self._wakeup.clear()
            if timeout_s <= 0:
                return None
            limit = time.monotonic() + timeout_s
            while not self._control and time.monotonic() < limit:
                self._wakeup.clear()
                self._wakeup.wait(max(limit - time.monotonic(), 0.001))
        return self._control.popleft() if self._control else None

    def _next_hop(self, index: int) -> messages.Hop | None:
        if index + 1 == len(self._stages):
            return None
        following = self._stages[index + 1]
        entry = following.peer.entry
        return messages.Hop(
            host=entry.host,
            port=entry.peer_port,
            backend=following.view.report.backend,
        )

    def _admission(self, index: int) -> messages.Admit:
        stage, order = self._stages[index], self._request.order
        return messages.Admit(
            request_id=order.request_id,
            attempt=self._request.attempt,
            stage=index,
            backend=stage.view.report.backend,
            model=order.model,
            first_layer=stage.first_layer,
            last_layer=stage.last_layer,
            next_hop=self._next_hop(index),
            workspace=order.workspace,
            priority=order.priority,
            deadline_ms=max(self._request.time_to_bound_s, 0.0) * _MS_PER_S,
            prompt_tokens=self._request.next_position,
            max_tokens=self._request.tokens_left,
            mute_before=self._mutes[index],
        )

    def _rewiring(self, index: int) -> messages.Rewire:
        return messages.Rewire(
            request_id=self._request.request_id,
            attempt=self._request.attempt,
            stage=index,
            next_hop=self._next_hop(index),
            mute_before=self._mutes[index],
        )

    def replay(self, indexes: Collection[int], *, timeout_s: float) -> bool:
        """Lets stages send all their outputs to their next hops again.

        Args:
            indexes: Indexes of the stages.
            timeout_s: Time limit, s.

        Returns:
            Whether the agents have taken the order, so that what is sent from
            now on arrives behind the replayed outputs.
        """
        peers = {self._stages[index].peer for index in indexes}
        for peer in peers:
            peer.send(
                messages.Replay(
                    request_id=self._request.request_id,
                    attempt=self._request.attempt,
                )
            )
        return all(peer.barrier(timeout_s) for peer in peers)

    def release(self, *, cancelled: bool) -> None:
        """Ends the request at every stage."""
        frame = messages.Release(
            request_id=self._request.request_id,
            attempt=self._request.attempt,
            cancelled=cancelled,
        )
        for peer in {stage.peer for stage in self._stages}:
            peer.send(frame)
        for stage in self._stages:
            if stage.key in self._admitted:
                stage.view.note_released()
        self._admitted.clear()
        self.adopt((), ())
        self._fleet.note_change()
