"""Planner's side of the load exchange: collects loads, sends snapshots."""

import collections
from collections.abc import Mapping
import dataclasses
import functools
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
from dotterelgrade_routing import rank_demand
from dotterelgrade_routing import relay_encoding

# Time after its last report in which a front counts for the retry budget.
_FRONT_TTL_S = 10.0
# Fronts report four times a second. The connection of one that lost power stays
# open, and its callers repeat their requests at other fronts.
REPORT_VALID_S = 1.0
# Fronts may read a claim from the store before the claimer starts to plan.
_ELECTION_WAIT_S = 0.7
# Time for a leaving planner to send its final message.
_FINAL_MESSAGE_WAIT_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Report:
    """The last report of a front.

    Attributes:
        load: The report.
        received_at: Monotonic time, s.
    """

    load: peer_frames.FrontLoad
    received_at: float

    @property
    def store_contact_at(self) -> float:
        """Monotonic time at which the store last answered the front, s."""
        return self.received_at - self.load.store_silent_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Listing:
    """Fronts, engines and suspects as a snapshot listed them.

    Attributes:
        fronts: `IP:PORT` of all fronts.
        servers: Engines by their ID.
        suspects: Version of what is known of suspects.
    """

    fronts: list[str]
    servers: Mapping[str, peer_frames.SeenServer]
    suspects: int


_EMPTY_LISTING = _Listing(fronts=[], servers={}, suspects=0)


class PlannerHub:
    """Collects the fronts' loads and sends the totals to all fronts."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        planner: planner_lib.Planner,
    ) -> None:
        """Initializes a hub without fronts.

        Args:
            state: State shared by the front's greenlets.
            planner: Tracks the engines.
        """
        self._state = state
        self._planner = planner
        self._encoding = relay_encoding.ENCODINGS.make(
            state.settings.relay_encoding
        )
        self._leading = event.Event()
        self._followers: feed_follower.Followers = {}
        self._reports: dict[wire.Connection, _Report] = {}
        self._listings: dict[wire.Connection, _Listing] = {}
        self._reported_at: dict[str, float] = {}

    def __repr__(self) -> str:
        """Shows how many fronts are connected."""
        return f"<PlannerHub {len(self._reports)} fronts>"

    @property
    def store_contact_at(self) -> float:
        """Monotonic time of any other front's last store contact, s."""
        heard = (report.store_contact_at for report in self._reports.values())
        return max(heard, default=float("-inf"))

    @property
    def refusing(self) -> frozenset[str]:
        """Backend servers that refuse though they report free memory."""
        own = self._state.exclusions.refusing_ids(now=time.monotonic())
        return own.union(*(load.refusing for load in self._valid_loads()))

    def serve(self, connection: wire.Connection) -> None:
        """Receives the loads of one front until its connection ends.

        Args:
            connection: Connection from the front.
        """
        if self._state.leaving or not self._wait_for_own_election():
            connection.close("not the planner")
            return
        try:
            for frame in connection:
                if not self._leading.is_set():
                    # The front connected just before this one stepped down.
                    connection.close("no longer the planner")
                    return
                if isinstance(frame, peer_frames.FrontLoad):
                    now = time.monotonic()
                    self._reports[connection] = _Report(
                        load=self._with_valid_demand(frame, connection),
                        received_at=now,
                    )
                    self._reported_at[_address_of(connection)] = now
                    self._planner.add_suspects(frame.excluded)
                    self._state.notices.note_all_leaving(frame.leaving)
                    self._state.quarantine.merge(frame.suspects)
        finally:
            self._reports.pop(connection, None)
            self._listings.pop(connection, None)

    def _with_valid_demand(
        self, load: peer_frames.FrontLoad, connection: wire.Connection
    ) -> peer_frames.FrontLoad:
        """Returns a report, with the last demand if the new one is bad."""
        try:
            rank_demand.check(load.demand or ())
        except ValueError as error:
            self._state.note_bad_demand(
                str(error), source=_address_of(connection)
            )
            last = self._reports.get(connection)
            known = None if last is None else last.load.demand
            return dataclasses.replace(load, demand=known)
        return load

    def set_followers(self, followers: feed_follower.Followers) -> None:
        """Sets the followers of the store's feeds."""
        self._followers = followers

    def relay_page(
        self,
        feed: peer_frames.FeedName,
        start: int | None,
        page: platform_port.Page,
        bases: Mapping[str, bytes],
    ) -> None:
        """Relays records to all fronts if this one is the planner.

        Args:
            feed: The feed.
            start: Offset from which the page is complete, or None if it holds
                the newest records of all keys.
            page: The records.
            bases: Newest large values by key before the page.
        """
        if not self._leading.is_set():
            return
        changes = frame_codec.encode(
            peer_frames.RelayedChanges(
                feed=feed,
                start=start,
                end=page.end,
                era=page.era,
                records=relay_encoding.encode_all(
                    self._encoding, page.records, bases=bases
                ),
            )
        )

        @functools.cache
        def whole() -> bytes:
            return frame_codec.encode(
                peer_frames.RelayedRecords(
                    feed=feed,
                    start=start,
                    end=page.end,
                    era=page.era,
                    records=[*page.records],
                )
            )

        for connection, report in list(self._reports.items()):
            if report.load.reads_changes:
                connection.send_encoded(changes)
            elif start is not None:
                connection.send_encoded(whole())

    @property
    def has_fronts(self) -> bool:
        """Whether any front is connected."""
        return bool(self._reports)

    @property
    def has_strong_front(self) -> bool:
        """Whether a front on a strong host is connected."""
        return any(load.strong for load in self._valid_loads())

    def _valid_loads(self) -> list[peer_frames.FrontLoad]:
        """Returns the loads of the fronts that have reported lately."""
        oldest = time.monotonic() - REPORT_VALID_S
        return [
            report.load
            for report in self._reports.values()
            if report.received_at >= oldest
        ]

    def set_leading(
        self,
        leads: bool,
        *,
        hands_over: bool = False,
        ended_term: platform_port.Term | None = None,
    ) -> str:
        """Starts or ends serving as the planner.

        Args:
            leads: Whether this front is the planner from now on.
            hands_over: Whether it hands over to another front.
            ended_term: The term that ends, or None if unknown.

        Returns:
            `IP:PORT` of the successor if one was named, else empty.
        """
        for follower in self._followers.values():
            follower.set_relaying(leads)
        if leads:
            self._leading.set()
            return ""
        self._leading.clear()
        successor = ""
        if self._state.leaving:
            successor = self._hand_over("leaving", ended_term)
        elif hands_over:
            reason = (
                "too many engines silent, store unreachable, or host too weak"
            )
            successor = self._hand_over(reason, ended_term)
        for connection in list(self._reports):
            connection.close("no longer the planner")
        return successor

    def _hand_over(
        self, reason: str, ended_term: platform_port.Term | None
    ) -> str:
        """Chooses a successor and announces it to all fronts."""
        successor = leadership_lib.choose_successor(
            leadership_lib.SuccessorCandidate(
                address=_address_of(connection),
                strong=report.load.strong,
                store_silent_s=time.monotonic() - report.store_contact_at,
            )
            for connection, report in self._reports.items()
        )
        if not successor:
            return ""
        self._state.decisions.record(
            "planner_handed_over", reason=reason, planner=successor
        )
        for connection in self._reports:
            connection.send(
                peer_frames.Successor(planner=successor, ended=ended_term)
            )
        # Closing a connection may drop frames not sent yet.
        gevent.sleep(_FINAL_MESSAGE_WAIT_S)
        return successor

    def _wait_for_own_election(self) -> bool:
        """Waits briefly until this front learns that it was elected."""
        return self._leading.wait(_ELECTION_WAIT_S)

    def send_snapshots(self) -> None:
        """Sends a snapshot to all fronts and updates this front's totals.

        A front whose connection has not taken the frames before gets only the
        next one, with all changes since its last: on a full link snapshots
        would queue up, each older than the one before.
        """
        totals = self._total_reservations()
        demand = rank_demand.combined(
            [
                self._state.own_demand,
                *(load.demand for load in self._valid_loads()),
            ]
        )
        listing = self._current_listing()
        encoded: dict[int, bytes] = {}
        for connection, report in list(self._reports.items()):
            if connection.unsent_bytes:
                self._state.metrics.count_delayed_snapshot()
                continue
            since = self._listings.get(connection, _EMPTY_LISTING)
            if id(since) not in encoded:
                encoded[id(since)] = self._encode_snapshot(
                    totals, demand, listing, since=since
                )
            number = report.load.number
            connection.send(peer_frames.ReportCounted(number=number))
            connection.send_encoded(encoded[id(since)])
            self._listings[connection] = listing
        own_report = self._state.load.report()
        self._state.load.set_totals(totals, counted=own_report.number)
        self._state.set_demand(demand, source=self._state.settings.peer_address)
        self._state.set_fronts(listing.fronts)

    def _total_reservations(self) -> dict[str, int]:
        """Returns the reservations of all fronts, this one included."""
        totals = collections.Counter(self._state.load.own)
        for load in self._valid_loads():
            totals.update(load.reserved)
        return {name: round(total) for name, total in totals.items()}

    def _current_listing(self) -> _Listing:
        """Returns the fronts and engines that the next snapshot lists."""
        return _Listing(
            fronts=self._live_fronts(),
            servers=self._server_rows(),
            suspects=self._state.quarantine.version,
        )

    def _encode_snapshot(
        self,
        totals: dict[str, int],
        demand: list[rank_demand.RankDemand] | None,
        current: _Listing,
        *,
        since: _Listing,
    ) -> bytes:
        """Encodes a snapshot with the changes since another one."""
        return frame_codec.encode(
            peer_frames.FleetSnapshot(
                reserved=totals,
                servers=[
                    row
                    for server_id, row in current.servers.items()
                    if since.servers.get(server_id) != row
                ],
                fronts=[] if current.fronts == since.fronts else current.fronts,
                refusing=sorted(self.refusing),
                leaving=self._state.fleet.leaving,
                feeds=self._feed_progress(),
                suspects=self._state.quarantine.news_since(since.suspects),
                demand=demand,
            )
        )

    def _feed_progress(self) -> list[peer_frames.FeedProgress]:
        now = time.monotonic()
        return [
            peer_frames.FeedProgress(
                feed=name,
                end=follower.end,
                era=follower.era,
                age_s=now - follower.current_at,
            )
            for name, follower in self._followers.items()
            if follower.end is not None
        ]

    def _live_fronts(self) -> list[str]:
        now = time.monotonic()
        for address, reported_at in list(self._reported_at.items()):
            if now - reported_at > _FRONT_TTL_S:
                del self._reported_at[address]
        return sorted({self._state.settings.peer_address, *self._reported_at})

    def _server_rows(self) -> dict[str, peer_frames.SeenServer]:
        rows = {}
        for server in self._state.fleet.servers:
            tracked = self._planner.tracked_engine(server)
            if tracked is None or tracked.report is None:
                continue
            layers = tracked.report.layers or layer_range.LayerRange(0, 0)
            rows[server.id] = peer_frames.SeenServer(
                id=server.id,
                started_ms=tracked.report.started_ms,
                first=layers.first,
                end=layers.end,
                slowness=round(tracked.report.slowness, 1),
                loading=tracked.report.loading,
                silent=tracked.silent,
            )
        return rows


def _address_of(connection: wire.Connection) -> str:
    return f"{connection.peer.host}:{connection.peer.port}"
