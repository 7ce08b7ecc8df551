"""The planner's side of the exchange of loads between fronts."""

import collections
from collections.abc import Mapping
import dataclasses
import time

import gevent
from gevent import event

from dotterelgrade import frame_codec
from dotterelgrade import wire
from dotterelgrade_front import feed_follower
from dotterelgrade_front import front_state
from dotterelgrade_front import peer_frames
from dotterelgrade_front import planner as planner_lib
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import leadership as leadership_lib
from dotterelgrade_routing import platform_port

# A front is counted for so long after its last report, for the retry budget.
_FRONT_COUNTS_S = 10.0
# Fronts may read of a claim before who made it has begun to plan.
_ELECTION_SETTLES_S = 0.7
# A planner that leaves waits so long for its final message to be sent.
_FINAL_MESSAGE_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sent:
    """What a snapshot said of fronts and engines."""

    fronts: list[str]
    servers: Mapping[str, peer_frames.SeenServer]


_NOTHING = _Sent(fronts=[], servers={})


class PlannerHub:
    """Collects the fronts' loads and sends each what the others hold."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        planner: planner_lib.Planner,
    ) -> None:
        """Initializes a hub without fronts.

        Args:
            state: Shared by the front's greenlets.
            planner: Watches the engines.
        """
        self._state = state
        self._planner = planner
        self._leads = event.Event()
        self._followers: feed_follower.Followers = {}
        self._links: dict[wire.Connection, peer_frames.FrontLoad] = {}
        self._sent = _NOTHING
        self._in_step: set[wire.Connection] = set()
        self._heard_at: dict[str, float] = {}

    def __repr__(self) -> str:
        """Shows how many fronts are connected."""
        return f"<PlannerHub {len(self._links)} fronts>"

    @property
    def heard_store_at(self) -> float:
        """Monotonic time at which any front last heard the store, s."""
        now = time.monotonic()
        heard = (now - load.store_silent_s for load in self._links.values())
        return max(heard, default=float("-inf"))

    @property
    def refusing(self) -> frozenset[str]:
        """Backend servers that refuse though they report room."""
        own = self._state.trust.refusing_ids(now=time.monotonic())
        return own.union(*(load.refusing for load in self._links.values()))

    def serve(self, connection: wire.Connection) -> None:
        """Takes in the loads of one front until its connection ends.

        Args:
            connection: The connection to the front.
        """
        if self._state.leaving or not self._leads_soon():
            connection.close("not the planner")
            return
        try:
            for frame in connection:
                if not self._leads.is_set():
                    # It connected just before this front stepped down.
                    connection.close("no longer the planner")
                    return
                if isinstance(frame, peer_frames.FrontLoad):
                    self._links[connection] = frame
                    self._heard_at[_address_of(connection)] = time.monotonic()
                    self._planner.suspect(frame.excluded)
                    self._state.notices.note_all_leaving(frame.leaving)
        finally:
            self._links.pop(connection, None)
            self._in_step.discard(connection)

    def relay_from(self, followers: feed_follower.Followers) -> None:
        """Takes in what follows the feeds of the store."""
        self._followers = followers

    def pass_on(
        self,
        feed: peer_frames.FeedName,
        start: int,
        page: platform_port.Page,
    ) -> None:
        """Sends records that were read to all fronts, if this one plans.

        Args:
            feed: The feed.
            start: Offset from which on the page holds all records.
            page: The records.
        """
        if not self._leads.is_set():
            return
        frame = frame_codec.encode(
            peer_frames.RelayedRecords(
                feed=feed,
                start=start,
                end=page.end,
                era=page.era,
                records=[*page.records],
            )
        )
        for connection in list(self._links):
            connection.send_encoded(frame)

    @property
    def has_fronts(self) -> bool:
        """Whether any front is connected."""
        return bool(self._links)

    @property
    def stronger_waits(self) -> bool:
        """Whether a front on a strong host is connected."""
        return any(load.strong for load in self._links.values())

    def note_leads(
        self,
        leads: bool,
        *,
        passes_on: bool = False,
        ended: platform_port.Term | None = None,
    ) -> str:
        """Takes in whether this front plans.

        Args:
            leads: Whether it plans from now on.
            passes_on: Whether it leaves its place to another one.
            ended: The term that ends, if it is known.

        Returns:
            `IP:PORT` of the front that was named to plan, or empty.
        """
        for follower in self._followers.values():
            follower.set_relaying(leads)
        if leads:
            self._leads.set()
            return ""
        self._leads.clear()
        successor = ""
        if self._state.leaving:
            successor = self._hand_over("leaving", ended)
        elif passes_on:
            reason = "hears too few or not the store, or is weak"
            successor = self._hand_over(reason, ended)
        for connection in list(self._links):
            connection.close("no longer the planner")
        return successor

    def _hand_over(self, reason: str, ended: platform_port.Term | None) -> str:
        """Names the front that plans from now on to all others."""
        successor = leadership_lib.successor(
            leadership_lib.Candidate(
                address=_address_of(link),
                strong=load.strong,
                store_silent_s=load.store_silent_s,
            )
            for link, load in self._links.items()
        )
        if not successor:
            return ""
        self._state.decisions.record(
            "planner_handed_over", reason=reason, planner=successor
        )
        for connection in self._links:
            connection.send(
                peer_frames.Successor(planner=successor, ended=ended)
            )
        # A close may overtake what is still to be sent.
        gevent.sleep(_FINAL_MESSAGE_S)
        return successor

    def _leads_soon(self) -> bool:
        """Waits a moment for this front's own election to be known."""
        return self._leads.wait(_ELECTION_SETTLES_S)

    def send_snapshots(self) -> None:
        """Sends all fronts one snapshot, and updates the own one."""
        totals = self._totals()
        before, self._sent = self._sent, self._current()
        changes = self._encoded(totals, since=before)
        whole = b""
        for connection, load in list(self._links.items()):
            connection.send(peer_frames.ReportCounted(number=load.number))
            if connection in self._in_step:
                connection.send_encoded(changes)
                continue
            whole = whole or self._encoded(totals, since=_NOTHING)
            connection.send_encoded(whole)
            self._in_step.add(connection)
        own = self._state.load.report()
        self._state.load.set_totals(totals, counted=own.number)
        self._state.set_fronts(self._sent.fronts)

    def _totals(self) -> dict[str, int]:
        """Returns what all fronts have reserved, this one included."""
        totals = collections.Counter(self._state.load.own)
        for load in self._links.values():
            totals.update(load.reserved)
        return {name: round(total) for name, total in totals.items()}

    def _current(self) -> _Sent:
        """Returns what the next snapshot says of fronts and engines."""
        return _Sent(fronts=self._known_fronts(), servers=self._seen_servers())

    def _encoded(self, totals: dict[str, int], *, since: _Sent) -> bytes:
        """Encodes a snapshot with what is new since another one."""
        now = self._sent
        return frame_codec.encode(
            peer_frames.FleetSnapshot(
                reserved=totals,
                servers=[
                    row
                    for server_id, row in now.servers.items()
                    if since.servers.get(server_id) != row
                ],
                fronts=[] if now.fronts == since.fronts else now.fronts,
                refusing=sorted(self.refusing),
                leaving=self._state.fleet.leaving,
                feeds=self._feed_progress(),
            )
        )

    def _feed_progress(self) -> list[peer_frames.FeedProgress]:
        now = time.monotonic()
        return [
            peer_frames.FeedProgress(
                feed=name,
                end=follower.end,
                era=follower.era,
                age_s=now - follower.heard_at,
            )
            for name, follower in self._followers.items()
            if follower.end is not None
        ]

    def _known_fronts(self) -> list[str]:
        now = time.monotonic()
        for address, at in list(self._heard_at.items()):
            if now - at > _FRONT_COUNTS_S:
                del self._heard_at[address]
        return sorted({self._state.settings.peer_address, *self._heard_at})

    def _seen_servers(self) -> dict[str, peer_frames.SeenServer]:
        rows = {}
        for server in self._state.fleet.servers:
            seen = self._planner.watched(server)
            if seen is None or seen.report is None:
                continue
            layers = seen.report.layers or layer_range.LayerRange(0, 0)
            rows[server.id] = peer_frames.SeenServer(
                id=server.id,
                started_ms=seen.report.started_ms,
                first=layers.first,
                end=layers.end,
                slowness=round(seen.report.slowness, 1),
                loading=seen.report.loading,
                silent=seen.silent,
            )
        return rows


def _address_of(connection: wire.Connection) -> str:
    return f"{connection.peer.host}:{connection.peer.port}"
