"""The frames of peers: one greenlet per connection, one handler per frame."""

from collections.abc import Callable
import dataclasses
import logging
from typing import Any

from dotterelgrade import connection_frames
from dotterelgrade import messages
from dotterelgrade import wire
from dotterelgrade_agent import calls as calls_lib
from dotterelgrade_agent import entry_links
from dotterelgrade_agent import relay as relay_lib
from dotterelgrade_agent import reports
from dotterelgrade_agent import stages as stages_lib

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Parts:
    """The parts of the agent that take frames."""

    stages: stages_lib.Stages
    calls: calls_lib.Calls
    links: entry_links.EntryLinks
    reporter: reports.Reporter
    relay: relay_lib.Relay


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peer:
    """Who sent a frame.

    Attributes:
        connection: The connection it came on.
        link: The entry behind it, or None for another agent.
    """

    connection: wire.Connection
    link: entry_links.EntryLink | None


Handler = Callable[[Parts, Peer, Any], None]

_HANDLERS: dict[type, Handler] = {}
_FROM_ENTRIES: set[type] = set()


def handles(
    frame: type, *, entries_only: bool = False
) -> Callable[[Handler], Handler]:
    """Registers the handler of a frame.

    Args:
        frame: Class of the frame.
        entries_only: Whether only entries may send it.

    Returns:
        The decorator.
    """

    def register(handler: Handler) -> Handler:
        _HANDLERS[frame] = handler
        if entries_only:
            _FROM_ENTRIES.add(frame)
        return handler

    return register


@handles(messages.Admit, entries_only=True)
def _admit(parts: Parts, peer: Peer, admit: messages.Admit) -> None:
    parts.stages.admit(peer.link, admit)


@handles(messages.Steps)
def _steps(parts: Parts, _: Peer, steps: messages.Steps) -> None:
    parts.stages.steps(steps.steps)


@handles(messages.Rewire, entries_only=True)
def _rewire(parts: Parts, peer: Peer, rewire: messages.Rewire) -> None:
    parts.stages.rewire(peer.link, rewire)


@handles(messages.Replay, entries_only=True)
def _replay(parts: Parts, _: Peer, replay: messages.Replay) -> None:
    parts.stages.replay(replay)


@handles(messages.Release, entries_only=True)
def _release(parts: Parts, _: Peer, release: messages.Release) -> None:
    parts.stages.release(release)


@handles(messages.Call, entries_only=True)
def _call(parts: Parts, peer: Peer, call: messages.Call) -> None:
    parts.calls.accept(peer.link, call)


@handles(messages.Ping)
def _ping(_: Parts, peer: Peer, ping: messages.Ping) -> None:
    peer.connection.send(messages.Pong(sequence=ping.sequence))


@handles(messages.Report)
def _report(parts: Parts, peer: Peer, report: messages.Report) -> None:
    parts.relay.peer_reported(peer.connection, report)


@handles(messages.RecordsWanted)
def _records_wanted(
    parts: Parts, peer: Peer, wanted: messages.RecordsWanted
) -> None:
    parts.relay.answer(peer.connection, wanted)


@handles(messages.Records)
def _records(parts: Parts, _: Peer, records: messages.Records) -> None:
    parts.relay.offer(records)


@handles(messages.Pong)
def _pong(_: Parts, __: Peer, ___: messages.Pong) -> None:
    """Every byte of a peer already counts as a sign of life."""


@handles(connection_frames.Goodbye)
def _goodbye(_: Parts, peer: Peer, goodbye: connection_frames.Goodbye) -> None:
    peer.connection.close(f"peer said goodbye: {goodbye.reason}")


class Server:
    """Accepts peers for the agent."""

    def __init__(self, parts: Parts) -> None:
        """Initializes a server without connections.

        Args:
            parts: The parts of the agent that take frames.
        """
        self._parts = parts
        self._connections: set[wire.Connection] = set()

    def __repr__(self) -> str:
        """Shows how many peers are connected."""
        return f"<Server {len(self._connections)} connections>"

    @property
    def connections(self) -> frozenset[wire.Connection]:
        """The open connections that peers have dialed."""
        return frozenset(self._connections)

    def handle(self, connection: wire.Connection) -> None:
        """Serves one connection until it ends.

        Args:
            connection: An authenticated connection.
        """
        self._connections.add(connection)
        link = None
        if connection.peer.role == connection_frames.Role.ENTRY:
            link = self._parts.links.attach(connection)
            self._parts.reporter.greet(link)
        try:
            self._serve(Peer(connection=connection, link=link))
        finally:
            self._connections.discard(connection)
            if link is not None:
                self._parts.links.detach(link, connection)

    def _serve(self, peer: Peer) -> None:
        for message in peer.connection:
            frame = type(message)
            handler = _HANDLERS.get(frame)
            if handler is None or (frame in _FROM_ENTRIES and not peer.link):
                _LOG.warning(
                    "unexpected frame",
                    extra={"frame": frame.__name__, "peer": repr(peer)},
                )
                peer.connection.close(f"unexpected frame {frame.__name__}")
                return
            try:
                handler(self._parts, peer, message)
            except Exception:
                _LOG.exception("frame failed", extra={"frame": frame.__name__})
                peer.connection.close(f"frame {frame.__name__} failed")
                return

    def close(self) -> None:
        """Closes every connection."""
        for connection in self.connections:
            connection.close("the agent stops")
