"""The exchange of loads between a front and the front that plans."""

import collections
from collections.abc import Mapping
import time

import gevent
from gevent import event

from dotterelgrade import errors
from dotterelgrade import frame_codec
from dotterelgrade import handshake
from dotterelgrade import wire
from dotterelgrade_front import feed_follower
from dotterelgrade_front import front_state
from dotterelgrade_front import peer_frames
from dotterelgrade_front import planner as planner_lib
from dotterelgrade_routing import fleet
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import leadership as leadership_lib
from dotterelgrade_routing import platform_port

# Loads change with each request; a picture this old is good enough.
EXCHANGE_S = 0.25
# A planner that stays silent for so long is given up.
SILENCE_S = 1.5
# A front is counted for so long after its last word, for the retry budget.
_FRONT_COUNTS_S = 10.0
_LONGEST_PAUSE_S = 2.0
# A front that never heard the store tells this.
_LONGEST_SILENCE_S = 1e6
# Fronts learn of an election within two renewals of their leases.
_ELECTION_SETTLES_S = 0.7
# A planner that leaves waits so long for its last word to be sent.
_LAST_WORD_S = 0.05
# A planner sends its first picture within this time.
_FIRST_PICTURE_S = 1.2


_Rows = Mapping[str, peer_frames.SeenServer]
Followers = Mapping[peer_frames.FeedName, feed_follower.FeedFollower]


class PlannerHub:
    """Collects the fronts' loads and tells each what the others hold."""

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
        self._followers: Followers = {}
        self._links: dict[wire.Connection, peer_frames.FrontLoad] = {}
        self._told: dict[wire.Connection, _Rows] = {}
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
            self._told.pop(connection, None)

    def relay_from(self, followers: Followers) -> None:
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
        heir = leadership_lib.heir(
            _address_of(link) for link in strong or self._links
        )
        if not heir:
            return
        self._state.decisions.record(
            "planner_handed_over", reason=reason, planner=heir
        )
        for connection in self._links:
            connection.send(peer_frames.Successor(planner=heir))
        # A close may overtake what is still to be sent.
        gevent.sleep(_LAST_WORD_S)

    def _leads_soon(self) -> bool:
        """Waits a moment for this front's own election to be known."""
        return self._leads.wait(_ELECTION_SETTLES_S)

    def tell(self) -> None:
        """Sends every front its picture, and updates the own one."""
        fronts = self._known_fronts()
        servers = self._seen_servers()
        refusing = sorted(self.refusing)
        feeds = self._told_feeds()
        totals: collections.Counter[str] = collections.Counter(
            self._state.load.own
        )
        for load in self._links.values():
            totals.update(load.reserved)
        for connection, load in list(self._links.items()):
            told = self._told.get(connection, {})
            self._told[connection] = servers
            connection.send(
                peer_frames.FleetPicture(
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

    def _told_feeds(self) -> list[peer_frames.FeedTold]:
        now = time.monotonic()
        return [
            peer_frames.FeedTold(
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


class PlannerLink:
    """A front's connection to the front that plans."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        identity: handshake.Identity,
        leadership: leadership_lib.Leadership,
        followers: Followers,
    ) -> None:
        """Initializes a link that is not connected.

        Args:
            state: Shared by the front's greenlets.
            identity: What this front says about itself.
            leadership: Whether this front plans.
            followers: Follow the feeds of the store.
        """
        self._state = state
        self._followers = followers
        self._identity = identity
        self._leadership = leadership
        self._pause_s = EXCHANGE_S
        self._planner = ""
        self._successor = ""
        self._vacant_since: float | None = None
        self._picture_at = float("-inf")
        self._silent: set[str] = set()

    def __repr__(self) -> str:
        """Shows the front and the planner that it knows."""
        return f"<PlannerLink of {self._identity.host} to {self._planner}>"

    @property
    def fresh(self) -> bool:
        """Whether a planner has told its picture lately."""
        return time.monotonic() - self._picture_at <= SILENCE_S

    @property
    def vacant_s(self) -> float:
        """How long the store has named no planner that answers, s."""
        if self._vacant_since is None:
            return 0.0
        return time.monotonic() - self._vacant_since

    def run_once(self) -> None:
        """Finds the planner and exchanges loads until the link ends."""
        own = self._state.settings.peer_address
        successor, self._successor = self._successor, ""
        if successor == own:
            self._succeed()
            return
        if successor and self._exchange(successor):
            return
        if self._state.store_silent_s > leadership_lib.STORE_AWAY_S:
            # A question would wait for its timeout.
            self._find_without_store(own)
            return
        try:
            member = self._state.platform.election.elected()
        except platform_port.StoreError:
            # The follower of the store logs its outage.
            self._find_without_store(own)
            return
        if member and member != own and self._exchange(member):
            self._vacant_since = None
            return
        if self._vacant_since is None:
            self._vacant_since = time.monotonic()
        self._rest()

    def _succeed(self) -> None:
        if self._state.leaving:
            return
        self._leadership.succeed()
        self._state.decisions.record(
            "planner_acting", reason=f"named by {self._planner}"
        )
        gevent.sleep(EXCHANGE_S)

    def _find_without_store(self, own: str) -> None:
        """Asks the fronts in their common order; acts if none answers."""
        asked = leadership_lib.successors(
            self._state.fronts, own=own, planner=self._planner
        )
        for member in asked:
            if self._exchange(member):
                return
        silent_s = self._state.store_silent_s
        stays = bool(self._state.fronts) and not self._state.leaving
        if stays and self._leadership.try_acting(
            store_silent_s=silent_s,
            asked=len(asked),
            strong=self._state.settings.strong,
        ):
            self._state.decisions.record(
                "planner_acting",
                reason="store away, no planner answers",
                asked=len(asked),
                store_silent_s=round(silent_s, 1),
            )
        # Turns are a second apart; a longer pause would miss the own one.
        gevent.sleep(EXCHANGE_S)

    def _rest(self) -> None:
        gevent.sleep(self._pause_s * (0.5 + self._state.rng.random()))
        self._pause_s = min(self._pause_s * 2, _LONGEST_PAUSE_S)

    def _exchange(self, member: str) -> bool:
        """Exchanges loads with a front; returns whether it was the planner."""
        host, _, port = member.rpartition(":")
        try:
            connection = wire.dial(host, int(port), identity=self._identity)
        except (errors.DotterelgradeError, ValueError) as error:
            self._state.decisions.record(
                "planner_unreachable", reason=str(error), planner=member
            )
            return False
        told_before = self._picture_at
        self._silent.clear()
        sender = gevent.spawn(self._send_loads, connection)
        try:
            for frame in connection:
                if isinstance(frame, peer_frames.FleetPicture):
                    self._note_planner(member)
                    self._take_in(frame)
                elif isinstance(frame, peer_frames.RelayedRecords):
                    self._take_in_records(frame)
                elif isinstance(frame, peer_frames.Successor):
                    self._successor = frame.planner
        finally:
            sender.kill()
            connection.close("exchange ended")
        self._state.load.assume_others(fronts=len(self._state.fronts))
        told = self._picture_at > told_before
        self._picture_at = float("-inf")
        if told:
            self._state.decisions.record(
                "planner_lost", reason=connection.close_reason, planner=member
            )
        return told

    def _note_planner(self, member: str) -> None:
        if not self.fresh or member != self._planner:
            self._state.decisions.record(
                "planner_found", reason="tells its picture", planner=member
            )
        self._planner = member
        self._vacant_since = None
        self._pause_s = EXCHANGE_S

    def _send_loads(self, connection: wire.Connection) -> None:
        state = self._state
        connected_at = time.monotonic()
        while connection.is_open:
            now = time.monotonic()
            heard_at = max(self._picture_at, connected_at)
            limit_s = SILENCE_S
            if self._picture_at < connected_at:
                limit_s = _FIRST_PICTURE_S
            if now - heard_at > limit_s:
                connection.close("planner silent")
                return
            connection.send(
                peer_frames.FrontLoad(
                    reserved=dict(state.load.own),
                    excluded=sorted(state.trust.excluded_ids(now=now)),
                    refusing=sorted(state.trust.refusing_ids(now=now)),
                    store_silent_s=min(
                        state.store_silent_s, _LONGEST_SILENCE_S
                    ),
                    strong=state.settings.strong,
                )
            )
            gevent.sleep(EXCHANGE_S)

    def _take_in_records(self, frame: peer_frames.RelayedRecords) -> None:
        page = platform_port.Page(records=tuple(frame.records), end=frame.end)
        self._followers[frame.feed].take_in(frame.start, page)

    def _take_in(self, picture: peer_frames.FleetPicture) -> None:
        state = self._state
        self._picture_at = time.monotonic()
        state.load.set_others(picture.reserved)
        state.set_fronts(picture.fronts)
        now = time.monotonic()
        for told in picture.feeds:
            self._followers[told.feed].note_told(
                end=told.end, heard_at=now - told.age_s
            )
        # Who found it out tries again; word of it must not go in circles.
        own = state.trust.refusing_ids(now=now)
        for server_id in set(picture.refusing) - own:
            if not state.trust.excluded(server_id, now=now):
                state.note_failure(
                    server_id, reason="refuses other fronts", firm=False
                )
        for seen in picture.servers:
            if seen.silent:
                self._silent.add(seen.id)
                continue
            self._silent.discard(seen.id)
            layers = None
            if seen.end > seen.first:
                layers = layer_range.LayerRange(seen.first, seen.end)
            state.fleet.observe(
                seen.id,
                fleet.Observation(
                    layers=layers,
                    started_ms=seen.started_ms,
                    slowness=seen.slowness,
                    loading=seen.loading,
                    at=now,
                ),
            )
        for server_id in self._silent:
            if not state.trust.excluded(server_id, now=now):
                state.note_failure(server_id, reason="silent to the planner")


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
