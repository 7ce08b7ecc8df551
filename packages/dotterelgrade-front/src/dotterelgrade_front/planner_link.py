"""A front's side of the exchange of loads with the front that plans."""

from collections.abc import Iterable
import time

import gevent

from dotterelgrade import errors
from dotterelgrade import handshake
from dotterelgrade import wire
from dotterelgrade_front import feed_follower
from dotterelgrade_front import front_state
from dotterelgrade_front import peer_frames
from dotterelgrade_routing import fleet
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import leadership as leadership_lib
from dotterelgrade_routing import platform_port

# Loads change with each request; a snapshot this old is good enough.
EXCHANGE_S = 0.25
# A planner that stays silent for so long is given up.
SILENCE_S = 1.5
_LONGEST_PAUSE_S = 2.0
# A front that never heard the store reports this.
_LONGEST_SILENCE_S = 1e6
# A planner sends its first snapshot within this time.
_FIRST_SNAPSHOT_S = 1.2


class PlannerLink:
    """A front's connection to the front that plans."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        identity: handshake.Identity,
        leadership: leadership_lib.Leadership,
        followers: feed_follower.Followers,
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
        self._ended: platform_port.Term | None = None
        self._snapshot_at = float("-inf")
        self._counted = 0
        self._silent: set[str] = set()

    def __repr__(self) -> str:
        """Shows the front and the planner that it knows."""
        return f"<PlannerLink of {self._identity.host} to {self._planner}>"

    @property
    def fresh(self) -> bool:
        """Whether a planner has sent its snapshot lately."""
        return time.monotonic() - self._snapshot_at <= SILENCE_S

    def follow(self, successor: str) -> None:
        """Takes in whom this front has named to plan in its place."""
        self._successor = successor

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
        asked_at = time.monotonic()
        try:
            term = self._state.platform.election.current()
        except platform_port.StoreError:
            # The follower of the store logs its outage.
            self._find_without_store(own)
            return
        self._leadership.note_term(term, at=asked_at)
        if self._leadership.leads:
            gevent.sleep(EXCHANGE_S)
            return
        other = term.planner not in ("", own)
        if other and self._exchange(term.planner):
            return
        self._leadership.note_unanswered(now=time.monotonic())
        self._rest()

    def _succeed(self) -> None:
        if self._state.leaving:
            return
        self._leadership.succeed(self._ended)
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
        heard_before = self._snapshot_at
        self._silent.clear()
        sender = gevent.spawn(self._send_loads, connection)
        try:
            for frame in connection:
                if isinstance(frame, peer_frames.FleetSnapshot):
                    self._note_planner(member)
                    self._take_in(frame)
                elif isinstance(frame, peer_frames.ReportCounted):
                    self._counted = frame.number
                elif isinstance(frame, peer_frames.RelayedRecords):
                    self._take_in_records(frame)
                elif isinstance(frame, peer_frames.Successor):
                    self._successor = frame.planner
                    self._ended = frame.ended
        finally:
            sender.kill()
            connection.close("exchange ended")
        self._state.load.assume_others(fronts=len(self._state.fronts))
        told = self._snapshot_at > heard_before
        self._snapshot_at = float("-inf")
        if told:
            self._state.decisions.record(
                "planner_lost", reason=connection.close_reason, planner=member
            )
        return told

    def _note_planner(self, member: str) -> None:
        if not self.fresh or member != self._planner:
            self._state.decisions.record(
                "planner_found", reason="sends snapshots", planner=member
            )
        self._planner = member
        self._leadership.note_answered(member)
        self._pause_s = EXCHANGE_S

    def _send_loads(self, connection: wire.Connection) -> None:
        state = self._state
        connected_at = time.monotonic()
        while connection.is_open:
            now = time.monotonic()
            heard_at = max(self._snapshot_at, connected_at)
            limit_s = SILENCE_S
            if self._snapshot_at < connected_at:
                limit_s = _FIRST_SNAPSHOT_S
            if now - heard_at > limit_s:
                connection.close("planner silent")
                return
            report = state.load.report()
            connection.send(
                peer_frames.FrontLoad(
                    number=report.number,
                    reserved=dict(report.reserved),
                    excluded=sorted(state.trust.excluded_ids(now=now)),
                    refusing=sorted(state.trust.refusing_ids(now=now)),
                    leaving=state.fleet.leaving,
                    store_silent_s=min(
                        state.store_silent_s, _LONGEST_SILENCE_S
                    ),
                    strong=state.settings.strong,
                )
            )
            gevent.sleep(EXCHANGE_S)

    def _take_in_records(self, frame: peer_frames.RelayedRecords) -> None:
        page = platform_port.Page(
            records=tuple(frame.records), end=frame.end, era=frame.era
        )
        self._followers[frame.feed].take_in(frame.start, page)

    def _take_in(self, snapshot: peer_frames.FleetSnapshot) -> None:
        state = self._state
        now = time.monotonic()
        self._snapshot_at = now
        state.load.set_totals(snapshot.reserved, counted=self._counted)
        if snapshot.fronts:
            state.set_fronts(snapshot.fronts)
        for told in snapshot.feeds:
            self._followers[told.feed].note_relayed(
                end=told.end, heard_at=now - told.age_s, era=told.era
            )
        state.notices.note_all_leaving(snapshot.leaving)
        for seen in snapshot.servers:
            self._take_in_server(seen, now)
        # Who found it out tries again; its own report must not come back to it.
        own = state.trust.refusing_ids(now=now)
        self._exclude(
            set(snapshot.refusing) - own, "refuses other fronts", firm=False
        )
        self._exclude(self._silent, "silent to the planner", firm=True)

    def _take_in_server(self, seen: peer_frames.SeenServer, now: float) -> None:
        if seen.silent:
            self._silent.add(seen.id)
            return
        self._silent.discard(seen.id)
        layers = None
        if seen.end > seen.first:
            layers = layer_range.LayerRange(seen.first, seen.end)
        self._state.fleet.observe(
            seen.id,
            fleet.Observation(
                layers=layers,
                started_ms=seen.started_ms,
                slowness=seen.slowness,
                loading=seen.loading,
                at=now,
            ),
        )

    def _exclude(
        self, server_ids: Iterable[str], reason: str, *, firm: bool
    ) -> None:
        """Excludes those of some backend servers that are not excluded yet."""
        trust = self._state.trust
        for server_id in server_ids:
            if not trust.excluded(server_id, now=time.monotonic()):
                self._state.note_failure(server_id, reason=reason, firm=firm)
