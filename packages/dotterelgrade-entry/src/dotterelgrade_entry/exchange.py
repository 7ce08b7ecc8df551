"""Hands frames from agents to the requests and calls that await them."""

from collections.abc import Callable
from typing import Any, Protocol

from dotterelgrade import messages
from dotterelgrade_entry import agent_peer


class Participant(Protocol):
    """A request or a call with frames to come."""

    def uses(self, peer: agent_peer.AgentPeer) -> bool:
        """Whether the agent works for it."""

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""

    def on_token(
        self, peer: agent_peer.AgentPeer, token: messages.Token
    ) -> None:
        """Takes a token."""

    def on_reply(self, peer: agent_peer.AgentPeer, message: Any) -> None:
        """Takes any other frame with its request identifier."""

    def on_lost(self, peer: agent_peer.AgentPeer, reason: str) -> None:
        """Hears that an agent is lost or silent."""

    def on_tick(self) -> None:
        """Looks at its time limits."""


_REPLIES = (
    messages.Admitted,
    messages.Refused,
    messages.Rewired,
    messages.StageFailed,
    messages.CallReply,
    messages.CallFailed,
)


class Exchange:
    """The requests and calls in flight, by request identifier.

    A frame for an identifier that is not in flight is dropped: it comes late,
    and nobody waits for it.
    """

    def __init__(
        self,
        *,
        on_other: Callable[[agent_peer.AgentPeer, Any], None] = (
            lambda peer, message: None
        ),
    ) -> None:
        """Initializes an exchange with nothing in flight.

        Args:
            on_other: Gets the frames that belong to no request.
        """
        self._on_other = on_other
        self._participants: dict[str, Participant] = {}
        self._late_frames = 0

    def __repr__(self) -> str:
        """Shows how much is in flight."""
        return f"<Exchange {len(self._participants)} in flight>"

    @property
    def in_flight(self) -> int:
        """How many requests and calls are in flight."""
        return len(self._participants)

    @property
    def late_frames(self) -> int:
        """How many frames nobody waited for."""
        return self._late_frames

    def participants(self) -> list[Participant]:
        """Returns the requests and calls in flight."""
        return list(self._participants.values())

    def join(self, request_id: str, participant: Participant) -> None:
        """Delivers the frames of an identifier from now on."""
        self._participants[request_id] = participant

    def leave(self, request_id: str) -> None:
        """Stops delivering the frames of an identifier."""
        self._participants.pop(request_id, None)

    def tick(self) -> None:
        """Lets everyone in flight look at its time limits."""
        for participant in self.participants():
            participant.on_tick()

    def on_frame(self, peer: agent_peer.AgentPeer, message: Any) -> None:
        """Delivers one frame."""
        if isinstance(message, messages.Tokens):
            for token in message.tokens:
                participant = self._find(token.request_id)
                if participant is not None:
                    participant.on_token(peer, token)
        elif isinstance(message, _REPLIES):
            participant = self._find(message.request_id)
            if participant is not None:
                participant.on_reply(peer, message)
        else:
            self._on_other(peer, message)

    def _find(self, request_id: str) -> Participant | None:
        participant = self._participants.get(request_id)
        if participant is None:
            self._late_frames += 1
        return participant

    def on_lost(self, peer: agent_peer.AgentPeer, reason: str) -> None:
        """Tells everyone who uses an agent that it is lost or silent."""
        for participant in self.participants():
            if participant.uses(peer):
                participant.on_lost(peer, reason)
