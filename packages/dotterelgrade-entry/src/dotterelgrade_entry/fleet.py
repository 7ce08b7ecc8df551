"""Connections to agents, their availability and failure detection."""

from collections.abc import Callable, Iterator
import logging
import time
from typing import Any, Protocol

import gevent
from gevent import event
from returns import result

from dotterelgrade import connection_frames
from dotterelgrade import errors
from dotterelgrade import handshake
from dotterelgrade import host_list
from dotterelgrade import journal as journal_lib
from dotterelgrade import messages
from dotterelgrade import rendezvous
from dotterelgrade import supervision
from dotterelgrade import wire
from dotterelgrade_entry import agent_peer
from dotterelgrade_entry import backend_view
from dotterelgrade_entry import entry_settings
from dotterelgrade_entry import priors as priors_lib

_LOG = logging.getLogger(__name__)

_MONITOR_PERIOD_S = 0.1
_PING_AFTER_S = 0.2
_BUSY_PING_S = 1.0
_IDLE_PING_PERIOD_S = 10.0
_UNLISTED_GRACE_S = 10.0
_MAX_OWN_DELAY_S = 5.0

Candidate = tuple[agent_peer.AgentPeer, backend_view.BackendView]
LayerRange = tuple[int, int]


class Hosts(Protocol):
    """The platform's list of hosts."""

    def read(
        self,
    ) -> result.Result[tuple[host_list.HostEntry, ...], errors.Error]:
        """Returns the listed hosts."""


class Listener(Protocol):
    """Receives frames from agents and notices of lost agents."""

    def on_frame(self, peer: agent_peer.AgentPeer, message: Any) -> None:
        """Handles a frame that is not about the connection itself."""

    def on_lost(self, peer: agent_peer.AgentPeer, reason: str) -> None:
        """Handles the loss or silence of an agent."""

    def tick(self) -> None:
        """Runs periodic work; called at short intervals."""


class Fleet:
    """Connects to the agents on the host list and tracks their availability."""

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        *,
        identity: handshake.ProcessIdentity,
        hosts: Hosts,
        listener: Listener,
        journal: journal_lib.Journal,
        is_draining: Callable[[str], bool] = lambda host: False,
        shaper: wire.Shaper | None = None,
    ) -> None:
        """Initializes a fleet without agents.

        Args:
            settings: The settings of the entry.
            identity: What this process says about itself.
            hosts: The platform's list of hosts.
            listener: Hears of frames and of lost agents.
            journal: Where decisions are recorded.
            is_draining: Whether the contract drains a host.
            shaper: Emulated link, or None.
        """
        self._settings = settings
        self._identity = identity
        self._hosts = hosts
        self._listener = listener
        self._journal = journal
        self._is_draining = is_draining
        self._shaper = shaper
        self._listed: tuple[host_list.HostEntry, ...] = ()
        self._peers: dict[str, agent_peer.AgentPeer] = {}
        self._dialers: dict[str, gevent.Greenlet] = {}
        self._wanted: dict[str, host_list.HostEntry] = {}
        self._unlisted_since: dict[str, float] = {}
        self._was_read = False
        self._busy: dict[str, int] = {}
        self._index: dict[str, dict[LayerRange, list[Candidate]]] = {}
        self._services: dict[str, list[Candidate]] = {}
        self._index_is_valid = False
        self._changed = event.Event()
        self._on_change: list[Callable[[], None]] = []
        self._own_delay_s = 0.0
        self._priors = priors_lib.Priors()

    def __repr__(self) -> str:
        """Shows how many agents are connected."""
        connected = sum(peer.is_connected for peer in self._peers.values())
        return f"<Fleet {connected} of {len(self._peers)} agents connected>"

    @property
    def peers(self) -> dict[str, agent_peer.AgentPeer]:
        """The agents by address."""
        return self._peers

    @property
    def listed(self) -> tuple[host_list.HostEntry, ...]:
        """The host list as last read."""
        return self._listed

    @property
    def entries(self) -> int:
        """How many entries the host list shows as live, at least one."""
        return max(1, sum(_is_live_entry(host) for host in self._listed))

    @property
    def is_settled(self) -> bool:
        """Whether the host list was read and every agent was dialed once."""
        return self._was_read and all(
            peer.was_dialed for peer in self._peers.values()
        )

    @property
    def changed(self) -> event.Event:
        """Set whenever a report or a release may have freed capacity."""
        return self._changed

    @property
    def own_delay_s(self) -> float:
        """How late this process's own timers are, s."""
        return self._own_delay_s

    def add_change_listener(self, listener: Callable[[], None]) -> None:
        """Adds a callback for when capacity may have become free."""
        self._on_change.append(listener)

    def run_dialing(self) -> None:
        """Follows the host list until the greenlet is killed."""
        while True:
            listed = self._hosts.read()
            if isinstance(listed, result.Success):
                self._adopt(listed.unwrap())
            pause_s = host_list.poll_interval_s(
                len(self._listed), min_interval_s=self._settings.hosts_poll_s
            )
            gevent.sleep(pause_s)

    def run_monitor(self) -> None:
        """Pings and suspects agents until the greenlet is killed."""
        due = time.monotonic() + _MONITOR_PERIOD_S
        idle_ping_at = due + _IDLE_PING_PERIOD_S
        while True:
            gevent.sleep(max(0.0, due - time.monotonic()))
            now = time.monotonic()
            self._own_delay_s = min(now - due, _MAX_OWN_DELAY_S)
            due = now + _MONITOR_PERIOD_S
            self._watch_busy()
            self._tell_change()
            self._listener.tick()
            if now >= idle_ping_at:
                idle_ping_at = now + _IDLE_PING_PERIOD_S
                for peer in list(self._peers.values()):
                    peer.ping()

    def close(self) -> None:
        """Stops dialing and reading."""
        gevent.killall(list(self._dialers.values()), block=False)
        self._dialers.clear()

    def _adopt(self, listed: tuple[host_list.HostEntry, ...]) -> None:
        if listed != self._listed:
            self._listed = listed
            self._wanted = {_address(h): h for h in self._choose(listed)}
            for address, host in self._wanted.items():
                self._unlisted_since.pop(address, None)
                self._add_or_update(address, host)
        for address in [a for a in self._peers if a not in self._wanted]:
            self._drop_if_gone(address)
        self._was_read = True

    def _choose(
        self, listed: tuple[host_list.HostEntry, ...]
    ) -> Iterator[host_list.HostEntry]:
        domains: dict[str, dict[str, host_list.HostEntry]] = {}
        for host in listed:
            if host.role is connection_frames.Role.AGENT:
                domain = domains.setdefault(host.failure_domain, {})
                domain[_address(host)] = host
        for hosts in domains.values():
            chosen = rendezvous.subset(
                self._identity.host,
                hosts,
                size=self._settings.agents_per_domain,
            )
            yield from (hosts[address] for address in chosen)

    def _add_or_update(self, address: str, host: host_list.HostEntry) -> None:
        if address in self._peers:
            self._peers[address].entry = host
            return
        peer = agent_peer.AgentPeer(
            host,
            identity=self._identity,
            on_frame=self._on_frame,
            on_lost=self._on_lost,
            priors=self._priors,
            is_known=not self._was_read,
            shaper=self._shaper,
        )
        self._peers[address] = peer
        self._dialers[address] = gevent.spawn(
            supervision.keep_running, peer.run, journal=self._journal
        )
        self._journal.record(
            "agent_added", reason="in the host list", agent=address
        )

    def _drop_if_gone(self, address: str) -> None:
        now = time.monotonic()
        since = self._unlisted_since.setdefault(address, now)
        peer = self._peers[address]
        # The list lags, so a connected agent stays known.
        if peer.is_connected and not peer.is_suspect:
            return
        if now - since < _UNLISTED_GRACE_S:
            return
        del self._peers[address]
        del self._unlisted_since[address]
        self._dialers.pop(address).kill(block=False)
        self._journal.record(
            "agent_dropped",
            reason="neither listed nor connected",
            agent=address,
        )

    def _on_frame(self, peer: agent_peer.AgentPeer, message: Any) -> None:
        if isinstance(message, messages.Report):
            self.note_change()
        self._listener.on_frame(peer, message)

    def _on_lost(self, peer: agent_peer.AgentPeer, reason: str) -> None:
        self._journal.record("agent_lost", reason=reason, agent=peer.address)
        self._index_is_valid = False
        self._listener.on_lost(peer, reason)

    def note_change(self) -> None:
        """Notifies the greenlets that wait for capacity."""
        self._index_is_valid = False
        self._tell_change()

    def _tell_change(self) -> None:
        self._changed.set()
        self._changed.clear()
        for listener in self._on_change:
            listener()

    def note_busy(self, address: str, change: int) -> None:
        """Counts the work in flight at an agent, which is then watched.

        Args:
            address: Address of the agent.
            change: 1 for work begun, -1 for work ended.
        """
        count = self._busy.get(address, 0) + change
        if count > 0:
            self._busy[address] = count
        else:
            self._busy.pop(address, None)

    def in_flight(self, address: str) -> int:
        """Returns the work of this entry in flight at an agent."""
        return self._busy.get(address, 0)

    def _watch_busy(self) -> None:
        # A delay of this process must not count against the agents.
        limit = self._settings.silence_limit_s + self._own_delay_s
        for address in list(self._busy):
            peer = self._peers.get(address)
            if peer is not None and peer.is_connected:
                self._watch(peer, limit)
        for peer in list(self._peers.values()):
            if peer.is_suspect:
                # An idle agent sends nothing unless it is pinged.
                peer.ping()

    def _watch(self, peer: agent_peer.AgentPeer, limit_s: float) -> None:
        # An idle agent may be silent; only unanswered pings count against it.
        silent_s = peer.unanswered_s + _PING_AFTER_S
        if peer.unanswered_s and silent_s > limit_s and not peer.is_suspect:
            self.suspect(peer, f"no answer for {peer.unanswered_s:.2f} s")
        elif peer.silence_s > _PING_AFTER_S or peer.ping_age_s > _BUSY_PING_S:
            peer.ping()

    def suspect(self, peer: agent_peer.AgentPeer, reason: str) -> None:
        """Sends an agent no work until it sends a frame again.

        Args:
            peer: The silent agent.
            reason: Why, for the journal.
        """
        peer.suspect()
        self._index_is_valid = False
        self._journal.record(
            "agent_suspected", reason=reason, agent=peer.address
        )
        self._listener.on_lost(peer, reason)

    def find(self, address: str) -> agent_peer.AgentPeer | None:
        """Returns the agent at an address, if it is known."""
        return self._peers.get(address)

    def takes_work(self, peer: agent_peer.AgentPeer) -> bool:
        """Returns whether new work may be given to an agent."""
        return peer.takes_work and not self._is_draining(peer.entry.host)

    def candidates(self, model: str) -> dict[LayerRange, list[Candidate]]:
        """Returns the usable engines of a model by their layer range."""
        self._refresh_index()
        found = self._index.get(model, {})
        ranges = {}
        for layers, members in found.items():
            usable = [c for c in members if self._is_usable(c)]
            if usable:
                ranges[layers] = usable
        return ranges

    def _is_usable(self, candidate: Candidate) -> bool:
        peer, view = candidate
        return view.is_usable and self.takes_work(peer)

    def _refresh_index(self) -> None:
        if self._index_is_valid:
            return
        self._index, self._services = {}, {}
        for peer, view in self._views():
            report = view.report
            if report.kind == "service":
                members = self._services.setdefault(report.service, [])
                members.append((peer, view))
            elif report.model:
                ranges = self._index.setdefault(report.model, {})
                layers = (report.first_layer, report.last_layer)
                ranges.setdefault(layers, []).append((peer, view))
        self._index_is_valid = True

    def _views(self) -> Iterator[Candidate]:
        for peer in self._peers.values():
            for view in peer.backends.values():
                yield peer, view

    def services(self, name: str) -> list[Candidate]:
        """Returns the usable backend servers of a plain service."""
        self._refresh_index()
        found = self._services.get(name, [])
        return [candidate for candidate in found if self._is_usable(candidate)]

    def eject(self, candidate: Candidate, *, reason: str) -> bool:
        """Ejects a backend server unless too many of its kind are ejected.

        Args:
            candidate: The backend server and its agent.
            reason: Why, for the journal.

        Returns:
            Whether it was ejected.
        """
        _, view = candidate
        alike = [v for _, v in self._views() if _is_alike(v, view)]
        ejected = sum(v.is_ejected for v in alike)
        allowed = self._settings.max_ejected_share * len(alike)
        if ejected + 1 > max(allowed, 1 if len(alike) > 1 else 0):
            return False
        duration = view.eject()
        self._journal.record(
            "backend_ejected",
            reason=reason,
            backend=view.key,
            duration_s=duration,
            ejected=ejected + 1,
            alike=len(alike),
        )
        return True


def _is_alike(
    one: backend_view.BackendView, other: backend_view.BackendView
) -> bool:
    return (
        one.report.kind == other.report.kind
        and one.report.service == other.report.service
        and one.report.model == other.report.model
        and one.report.first_layer == other.report.first_layer
    )


def _address(host: host_list.HostEntry) -> str:
    return f"{host.host}:{host.peer_port}"


def _is_live_entry(host: host_list.HostEntry) -> bool:
    return host.role is connection_frames.Role.ENTRY and not host.is_leaving
