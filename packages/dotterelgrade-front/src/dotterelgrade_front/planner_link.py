"""Front's side of the load exchange with the planner."""

from collections.abc import Iterable
import time

import gevent
from returns import result

from dotterelgrade import errors
from dotterelgrade import handshake
from dotterelgrade import wire
from dotterelgrade_front import feed_follower
from dotterelgrade_front import front_state
from dotterelgrade_front import peer_frames
from dotterelgrade_routing import feed_timing
from dotterelgrade_routing import fleet
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import leadership as leadership_lib
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import relay_encoding
from dotterelgrade_routing import report_times

# Loads change with each request; a snapshot of this age is accurate enough.
EXCHANGE_INTERVAL_S = 0.25
# A planner that sends no snapshot in this time counts as lost.
SNAPSHOT_TIMEOUT_S = 1.5
_MAX_BACKOFF_S = 2.0
# Reported by a front that never reached the store.
_MAX_STORE_SILENCE_S = 1e6
# Time for the first snapshot on a new connection.
_FIRST_SNAPSHOT_TIMEOUT_S = 1.2


class PlannerLink:
    """A front's connection to the planner."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        identity: handshake.ProcessIdentity,
        leadership: leadership_lib.Leadership,
        followers: feed_follower.Followers,
    ) -> None:
        """Initializes a link that is not connected.

        Args:
            state: State shared by the front's greenlets.
            identity: Identity of this front in handshakes.
            leadership: Decides whether this front is the planner.
            followers: Followers of the store's feeds.
        """
        self._state = state
        self._followers = followers
        self._identity = identity
        self._leadership = leadership
        self._backoff_s = EXCHANGE_INTERVAL_S
        self._planner = ""
        self._successor = ""
        self._ended_term: platform_port.Term | None = None
        self._last_snapshot_at = float("-inf")
        self._counted_report_number = 0
        self._report_times = report_times.ReportTimes()
        self._silent_ids: set[str] = set()

    def __repr__(self) -> str:
        """Shows the front and the last known planner."""
        return f"<PlannerLink of {self._identity.host} to {self._planner}>"

    @property
    def snapshot_age_s(self) -> float:
        """Time since a planner sent a snapshot over an open link, s."""
        return time.monotonic() - self._last_snapshot_at

    @property
    def has_recent_snapshot(self) -> bool:
        """Whether a planner has sent a snapshot lately."""
        return self.snapshot_age_s <= SNAPSHOT_TIMEOUT_S

    def set_successor(self, successor: str) -> None:
        """Sets the front that this one named as its successor."""
        self._successor = successor

    def run_once(self) -> None:
        """Finds the planner and exchanges loads until the link ends."""
        own = self._state.settings.peer_address
        successor, self._successor = self._successor, ""
        if successor == own:
            self._become_acting_planner()
            return
        if successor and self._exchange(successor):
            return
        if self._state.store_silent_s > leadership_lib.STORE_OUTAGE_AFTER_S:
            # A read would only wait for its timeout.
            self._find_planner_without_store(own)
            return
        asked_at = time.monotonic()
        try:
            term = self._state.platform.election.current()
        except platform_port.StoreError:
            # The feed follower logs outages of the store.
            self._find_planner_without_store(own)
            return
        self._leadership.note_term(term, at=asked_at)
        if self._leadership.leads:
            gevent.sleep(EXCHANGE_INTERVAL_S)
            return
        planned_by_other = term.planner not in ("", own)
        if planned_by_other and self._exchange(term.planner):
            return
        self._leadership.note_planner_missing(now=time.monotonic())
        self._back_off()

    def _become_acting_planner(self) -> None:
        if self._state.leaving:
            return
        self._leadership.take_over(self._ended_term)
        self._state.decisions.record(
            "planner_acting", reason=f"named by {self._planner}"
        )
        gevent.sleep(EXCHANGE_INTERVAL_S)

    def _find_planner_without_store(self, own: str) -> None:
        """Tries the other fronts in the common order; acts if none plans."""
        asked = leadership_lib.preceding_fronts(
            self._state.fronts, own=own, planner=self._planner
        )
        for front in asked:
            if self._exchange(front):
                return
        silent_s = self._state.store_silent_s
        stays = bool(self._state.fronts) and not self._state.leaving
        if stays and self._leadership.try_acting(
            store_silent_s=silent_s,
            unanswered=len(asked),
            strong=self._state.settings.strong,
        ):
            self._state.decisions.record(
                "planner_acting",
                reason="store unreachable, no planner answers",
                asked=len(asked),
                store_silent_s=round(silent_s, 1),
            )
        # Fronts take turns a second apart; a longer pause could skip this
        # front's turn.
        gevent.sleep(EXCHANGE_INTERVAL_S)

    def _back_off(self) -> None:
        gevent.sleep(
            feed_timing.spread_pause_s(
                self._backoff_s, jitter=self._state.rng.random()
            )
        )
        self._backoff_s = min(self._backoff_s * 2, _MAX_BACKOFF_S)

    def _exchange(self, front: str) -> bool:
        """Exchanges loads with a front; returns whether it was the planner."""
        host, _, port = front.rpartition(":")
        try:
            connection = wire.dial(host, int(port), identity=self._identity)
        except (errors.DotterelgradeError, ValueError) as error:
            self._state.decisions.record(
                "planner_unreachable", reason=str(error), planner=front
            )
            return False
        previous_snapshot_at = self._last_snapshot_at
        self._silent_ids.clear()
        self._report_times = report_times.ReportTimes()
        sender = gevent.spawn(self._send_loads, connection)
        try:
            for frame in connection:
                if isinstance(frame, peer_frames.FleetSnapshot):
                    self._note_planner(front)
                    self._apply_snapshot(frame)
                elif isinstance(frame, peer_frames.ReportCounted):
                    self._counted_report_number = frame.number
                    self._report_times.note_counted(frame.number)
                elif isinstance(frame, peer_frames.RelayedRecords):
                    self._apply_records(frame)
                elif isinstance(frame, peer_frames.RelayedChanges):
                    self._apply_changes(frame)
                elif isinstance(frame, peer_frames.Successor):
                    self._successor = frame.planner
                    self._ended_term = frame.ended
        finally:
            sender.kill()
            connection.close("exchange ended")
        self._state.load.assume_others(fronts=len(self._state.fronts))
        was_planner = self._last_snapshot_at > previous_snapshot_at
        self._last_snapshot_at = float("-inf")
        if was_planner:
            self._state.decisions.record(
                "planner_lost", reason=connection.close_reason, planner=front
            )
        return was_planner

    def _note_planner(self, front: str) -> None:
        if not self.has_recent_snapshot or front != self._planner:
            self._state.decisions.record(
                "planner_found", reason="sends snapshots", planner=front
            )
        self._planner = front
        self._leadership.note_planner_answered(front)
        self._backoff_s = EXCHANGE_INTERVAL_S

    def _send_loads(self, connection: wire.Connection) -> None:
        state = self._state
        connected_at = time.monotonic()
        known_suspects = 0
        while connection.is_open:
            now = time.monotonic()
            last_contact_at = max(self._last_snapshot_at, connected_at)
            timeout_s = SNAPSHOT_TIMEOUT_S
            if self._last_snapshot_at < connected_at:
                timeout_s = _FIRST_SNAPSHOT_TIMEOUT_S
            if now - last_contact_at > timeout_s:
                connection.close("planner silent")
                return
            report = state.load.report()
            suspects = state.quarantine.news_since(known_suspects)
            known_suspects = state.quarantine.version
            self._report_times.note_sent(report.number, at=now)
            connection.send(
                peer_frames.FrontLoad(
                    number=report.number,
                    reserved=dict(report.reserved),
                    excluded=sorted(state.exclusions.excluded_ids(now=now)),
                    refusing=sorted(state.exclusions.refusing_ids(now=now)),
                    leaving=state.fleet.leaving,
                    store_silent_s=min(
                        state.store_silent_s, _MAX_STORE_SILENCE_S
                    ),
                    strong=state.settings.strong,
                    reads_changes=True,
                    suspects=suspects,
                    demand=state.own_demand,
                )
            )
            gevent.sleep(EXCHANGE_INTERVAL_S)

    def _apply_records(self, frame: peer_frames.RelayedRecords) -> None:
        page = platform_port.Page(
            records=tuple(frame.records), end=frame.end, era=frame.era
        )
        self._followers[frame.feed].apply_relayed(frame.start, page)

    def _apply_changes(self, frame: peer_frames.RelayedChanges) -> None:
        """Applies encoded records; a front that can't reads the store."""
        follower = self._followers[frame.feed]
        page = relay_encoding.EncodedPage(
            records=tuple(frame.records), end=frame.end, era=frame.era
        )
        applied = follower.apply_changes(frame.start, page)
        if isinstance(applied, result.Failure):
            self._state.decisions.record(
                "relayed_records_rejected",
                reason=applied.failure().message,
                feed=frame.feed.value,
                start=frame.start,
                known_end=follower.end,
            )

    def _apply_snapshot(self, snapshot: peer_frames.FleetSnapshot) -> None:
        state = self._state
        now = time.monotonic()
        self._last_snapshot_at = now
        state.load.set_totals(
            snapshot.reserved, counted=self._counted_report_number
        )
        state.set_demand(snapshot.demand, source=self._planner)
        if snapshot.fronts:
            state.set_fronts(snapshot.fronts)
        for progress in snapshot.feeds:
            self._followers[progress.feed].note_relayed(
                end=progress.end,
                heard_at=now - progress.age_s,
                current_at=self._report_times.counted_at - progress.age_s,
                era=progress.era,
            )
        state.notices.note_all_leaving(snapshot.leaving)
        state.quarantine.merge(snapshot.suspects)
        for row in snapshot.servers:
            self._apply_server(row, now)
        # A front that observed the refusals retries by itself; its own report
        # must not extend its exclusion.
        own_refusing = state.exclusions.refusing_ids(now=now)
        self._exclude(
            set(snapshot.refusing) - own_refusing,
            "refuses other fronts",
            confirmed=False,
        )
        self._exclude(
            self._silent_ids, "missed the planner's polls", confirmed=True
        )

    def _apply_server(self, row: peer_frames.SeenServer, now: float) -> None:
        if row.silent:
            self._silent_ids.add(row.id)
            return
        self._silent_ids.discard(row.id)
        layers = None
        if row.end > row.first:
            layers = layer_range.LayerRange(row.first, row.end)
        self._state.fleet.note_report(
            row.id,
            fleet.Observation(
                layers=layers,
                started_ms=row.started_ms,
                slowness=row.slowness,
                loading=row.loading,
                at=now,
            ),
        )

    def _exclude(
        self, server_ids: Iterable[str], reason: str, *, confirmed: bool
    ) -> None:
        """Excludes the given backend servers that are not excluded yet."""
        exclusions = self._state.exclusions
        for server_id in server_ids:
            if not exclusions.excluded(server_id, now=time.monotonic()):
                self._state.note_failure(
                    server_id, reason=reason, confirmed=confirmed
                )
