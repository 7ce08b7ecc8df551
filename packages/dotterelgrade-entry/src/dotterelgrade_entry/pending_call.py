"""A call to a plain service in flight, with its attempts at agents.

An agent that falls silent may go on a second later, and has the call. Its
attempt therefore stays open, also beside one at another agent, until it is
answered, its connection ends or the call's time is over.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from gevent import queue

from dotterelgrade import errors
from dotterelgrade import messages
from dotterelgrade_entry import agent_peer
from dotterelgrade_entry import fleet as fleet_lib


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptEnded:
    """The end of one attempt.

    Attributes:
        candidate: The agent and its backend server.
        message: Its answer, or why there will be none.
    """

    candidate: fleet_lib.Candidate
    message: messages.CallReply | messages.CallFailed


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptSilent:
    """An agent with an attempt is silent; it may still answer.

    Attributes:
        candidate: The agent and its backend server.
    """

    candidate: fleet_lib.Candidate


class PendingCall:
    """The open attempts of one call, and what comes from them."""

    def __init__(
        self,
        dumped: dict[str, Any],
        *,
        note_busy: Callable[[str, int], None],
    ) -> None:
        """Initializes a call without attempts.

        Args:
            dumped: What a dump of the entry says of the call.
            note_busy: Counts an attempt at the address of an agent, by 1 when
                it is opened and -1 when it is closed.
        """
        self._dumped = dumped
        self._note_busy = note_busy
        self._open: dict[agent_peer.AgentPeer, fleet_lib.Candidate] = {}
        self._tried: set[str] = set()
        self._events: queue.SimpleQueue = queue.SimpleQueue()

    def __repr__(self) -> str:
        """Shows how many attempts are open."""
        return f"<PendingCall {len(self._open)} of {self.tries} open>"

    @property
    def tries(self) -> int:
        """How many attempts were begun."""
        return len(self._tried)

    @property
    def open_attempts(self) -> tuple[fleet_lib.Candidate, ...]:
        """The attempts that may still be answered."""
        return tuple(self._open.values())

    @property
    def has_news(self) -> bool:
        """Whether an event has come or may come."""
        return bool(self._open) or not self._events.empty()

    def may_try(self, candidate: fleet_lib.Candidate) -> bool:
        """Returns whether an attempt may begin at a backend server."""
        peer, view = candidate
        return view.key not in self._tried and peer not in self._open

    def begin(self, candidate: fleet_lib.Candidate) -> None:
        """Opens an attempt."""
        self._tried.add(candidate[1].key)
        self._open[candidate[0]] = candidate
        self._note_busy(candidate[0].address, 1)

    def end(
        self,
        peer: agent_peer.AgentPeer,
        message: messages.CallReply | messages.CallFailed,
    ) -> None:
        """Closes the attempt at an agent; without one, does nothing.

        Args:
            peer: The agent.
            message: Its answer, or why there will be none.
        """
        candidate = self._open.pop(peer, None)
        if candidate is not None:
            self._note_busy(peer.address, -1)
            self._events.put(AttemptEnded(candidate=candidate, message=message))

    def close(self) -> None:
        """Closes the attempts that are still open, without an event."""
        for peer in self._open:
            self._note_busy(peer.address, -1)
        self._open.clear()

    def wait(self, timeout_s: float) -> AttemptEnded | AttemptSilent | None:
        """Returns the next event, or None if there is none in time.

        Args:
            timeout_s: Time limit, s.
        """
        try:
            return self._events.get(timeout=max(timeout_s, 0.0))
        except queue.Empty:
            return None

    def uses(self, peer: agent_peer.AgentPeer) -> bool:
        """Whether an attempt is open at an agent."""
        return peer in self._open

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        addresses = [peer.address for peer in self._open]
        return {**self._dumped, "agent": ", ".join(addresses)}

    def on_token(
        self, peer: agent_peer.AgentPeer, token: messages.Token
    ) -> None:
        """Does nothing; a call has no tokens."""

    def on_reply(self, peer: agent_peer.AgentPeer, message: Any) -> None:
        """Ends the attempt at an agent with its answer.

        An answer that names another backend server belongs to an attempt that
        has ended, for instance a refusal that was sent twice.
        """
        is_answer = isinstance(
            message, messages.CallReply | messages.CallFailed
        )
        if is_answer and peer in self._open:
            _, view = self._open[peer]
            if message.backend in ("", view.report.backend):
                self.end(peer, message)

    def on_lost(self, peer: agent_peer.AgentPeer, reason: str) -> None:
        """Ends the attempt at an agent whose connection has ended."""
        if peer.is_connected:
            self._events.put(AttemptSilent(candidate=self._open[peer]))
            return
        failed = messages.CallFailed(
            request_id="",
            kind=errors.ErrorKind.OUTCOME_UNKNOWN,
            message=f"the agent was lost: {reason}",
            run=errors.RunState.UNKNOWN,
        )
        self.end(peer, failed)

    def on_tick(self) -> None:
        """Does nothing; `wait` has the time limit."""
