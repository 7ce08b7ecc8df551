"""The planner's side of the exchange of loads between fronts."""

import collections
from collections.abc import Mapping
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

_Rows = Mapping[str, peer_frames.SeenServer]


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
        self._sent: dict[wire.Connection, _Rows] = {}
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
                if isinstance(frame, peer_frames.FrontLoad):
                    self._links[connection] = frame
                    self._heard_at[_address_of(connection)] = time.monotonic()
                    self._planner.suspect(frame.excluded)
        finally:
            self._links.pop(connection, None)
            self._sent.pop(connection, None)

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
                feed=feed, start=start, end=page.end, records=[*page.records]
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

    def note_leads(self, leads: bool, *, passes_on: bool = False) -> None:
        """Takes in whether this front plans.

        Args:
            leads: Whether it plans from now on.
            passes_on: Whether it leaves its place to another one.
        """
        for follower in self._followers.values():
            follower.set_relaying(leads)
        if leads:
            self._leads.set()
            return
        self._leads.clear()
        if self._state.leaving:
            self._hand_over("leaving")
        elif passes_on:
            self._hand_over("hears too few, or runs on a weak host")
        for connection in list(self._links):
            connection.close("no longer the planner")

    def _hand_over(self, reason: str) -> None:
        """Names the front that plans from now on to all others."""
        strong = [link for link, load in self._links.items() if load.strong]
        successor = leadership_lib.successor(
            _address_of(link) for link in strong or self._links
        )
        if not successor:
            return
        self._state.decisions.record(
            "planner_handed_over", reason=reason, planner=successor
        )
        for connection in self._links:
            connection.send(peer_frames.Successor(planner=successor))
        # A close may overtake what is still to be sent.
        gevent.sleep(_FINAL_MESSAGE_S)

    def _leads_soon(self) -> bool:
        """Waits a moment for this front's own election to be known."""
        return self._leads.wait(_ELECTION_SETTLES_S)

    def send_snapshots(self) -> None:
        """Sends every front its snapshot, and updates the own one."""
        fronts = self._known_fronts()
        servers = self._seen_servers()
        refusing = sorted(self.refusing)
        feeds = self._feed_progress()
        totals: collections.Counter[str] = collections.Counter(
            self._state.load.own
        )
        for load in self._links.values():
            totals.update(load.reserved)
        for connection, load in list(self._links.items()):
            told = self._sent.get(connection, {})
            self._sent[connection] = servers
            connection.send(
                peer_frames.FleetSnapshot(
                    reserved=_without(totals, load.reserved),
                    servers=[
                        row
                        for server_id, row in servers.items()
                        if told.get(server_id) != row
                    ],
                    fronts=fronts,
                    refusing=refusing,
                    feeds=feeds,
                )
            )
        self._state.load.set_others(_without(totals, self._state.load.own))
        self._state.set_fronts(fronts)

    def _feed_progress(self) -> list[peer_frames.FeedProgress]:
        now = time.monotonic()
        return [
            peer_frames.FeedProgress(
                feed=name, end=follower.end, age_s=now - follower.heard_at
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

    def _seen_servers(self) -> _Rows:
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


def _without(
    totals: collections.Counter[str], own: dict[str, float]
) -> dict[str, float]:
    rest = {}
    for server_id, total in totals.items():
        left = total - own.get(server_id, 0.0)
        if left >= 1.0:
            rest[server_id] = left
    return rest
