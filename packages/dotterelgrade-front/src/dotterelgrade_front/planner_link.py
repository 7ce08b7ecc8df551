"""The exchange of loads between a front and the front that plans."""

import collections
import time

import gevent

from dotterelgrade import errors
from dotterelgrade import handshake
from dotterelgrade import wire
from dotterelgrade_front import front_state
from dotterelgrade_front import peer_frames
from dotterelgrade_front import planner as planner_lib
from dotterelgrade_routing import fleet
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import platform_port

# Loads change with each request; a picture this old is good enough.
EXCHANGE_S = 0.25
# A planner that stays silent for so long is given up.
SILENCE_S = 1.5
# A front is counted for so long after its last word, for the retry budget.
_FRONT_COUNTS_S = 10.0
_LONGEST_PAUSE_S = 2.0


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
        self._links: dict[wire.Connection, peer_frames.FrontLoad] = {}
        self._heard_at: dict[str, float] = {}

    def __repr__(self) -> str:
        """Shows how many fronts are connected."""
        return f"<PlannerHub {len(self._links)} fronts>"

    @property
    def others_reach_store(self) -> bool:
        """Whether any connected front reaches the store."""
        return any(load.reaches_store for load in self._links.values())

    def serve(self, connection: wire.Connection) -> None:
        """Takes in the loads of one front until its connection ends.

        Args:
            connection: The connection to the front.
        """
        try:
            for frame in connection:
                if isinstance(frame, peer_frames.FrontLoad):
                    self._links[connection] = frame
                    self._heard_at[connection.peer.host] = time.monotonic()
                    self._planner.suspect(frame.excluded)
        finally:
            self._links.pop(connection, None)

    def disconnect(self) -> None:
        """Ends all connections, so that the fronts look for the planner."""
        for connection in list(self._links):
            connection.close("no longer the planner")

    def tell(self) -> None:
        """Sends every front its picture, and updates the own one."""
        fronts = self._count_fronts()
        servers = self._seen_servers()
        totals: collections.Counter[str] = collections.Counter(
            self._state.load.own
        )
        for load in self._links.values():
            totals.update(load.reserved)
        for connection, load in list(self._links.items()):
            connection.send(
                peer_frames.FleetPicture(
                    reserved=_without(totals, load.reserved),
                    servers=servers,
                    fronts=fronts,
                )
            )
        self._state.load.set_others(_without(totals, self._state.load.own))
        self._state.set_fronts(fronts)

    def _count_fronts(self) -> int:
        now = time.monotonic()
        for host, at in list(self._heard_at.items()):
            if now - at > _FRONT_COUNTS_S:
                del self._heard_at[host]
        return 1 + len(self._heard_at)

    def _seen_servers(self) -> list[peer_frames.SeenServer]:
        rows = []
        for server in self._state.fleet.servers:
            seen = self._planner.watched(server)
            if seen is None or seen.report is None:
                continue
            layers = seen.report.layers or layer_range.LayerRange(0, 0)
            rows.append(
                peer_frames.SeenServer(
                    id=server.id,
                    started_ms=seen.report.started_ms,
                    first=layers.first,
                    end=layers.end,
                    slowness=seen.report.slowness,
                    loading=seen.report.loading,
                    silent=seen.silent,
                )
            )
        return rows


class PlannerLink:
    """A front's connection to the front that plans."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        identity: handshake.Identity,
    ) -> None:
        """Initializes a link that is not connected.

        Args:
            state: Shared by the front's greenlets.
            identity: What this front says about itself.
        """
        self._state = state
        self._identity = identity
        self._pause_s = EXCHANGE_S
        self._reaches_store = False

    def __repr__(self) -> str:
        """Shows the front."""
        return f"<PlannerLink of {self._identity.host}>"

    def note_store(self, *, reached: bool) -> None:
        """Takes in whether the store answers this front."""
        self._reaches_store = reached

    def run_once(self) -> None:
        """Finds the planner and exchanges loads until the link ends."""
        member = self._find()
        if member in (None, self._state.settings.peer_address):
            self._rest()
            return
        host, _, port = member.rpartition(":")
        try:
            connection = wire.dial(host, int(port), identity=self._identity)
        except (errors.DotterelgradeError, ValueError) as error:
            self._state.decisions.record(
                "planner_unreachable", reason=str(error), planner=member
            )
            self._rest()
            return
        self._pause_s = EXCHANGE_S
        self._state.decisions.record(
            "planner_found", reason="elected", planner=member
        )
        self._exchange(connection)
        self._state.load.set_others({})
        self._state.decisions.record(
            "planner_lost", reason=connection.close_reason, planner=member
        )

    def _find(self) -> str | None:
        try:
            return self._state.platform.election.elected()
        except platform_port.StoreError:
            # The follower of the store logs its outage.
            return None

    def _rest(self) -> None:
        gevent.sleep(self._pause_s * (0.5 + self._state.rng.random()))
        self._pause_s = min(self._pause_s * 2, _LONGEST_PAUSE_S)

    def _exchange(self, connection: wire.Connection) -> None:
        sender = gevent.spawn(self._send_loads, connection)
        try:
            for frame in connection:
                if isinstance(frame, peer_frames.FleetPicture):
                    self._take_in(frame)
        finally:
            sender.kill()
            connection.close("exchange ended")

    def _send_loads(self, connection: wire.Connection) -> None:
        state = self._state
        while connection.is_open:
            if time.monotonic() - connection.last_heard > SILENCE_S:
                connection.close("planner silent")
                return
            excluded = state.trust.excluded_ids(now=time.monotonic())
            connection.send(
                peer_frames.FrontLoad(
                    reserved=dict(state.load.own),
                    excluded=sorted(excluded),
                    reaches_store=self._reaches_store,
                )
            )
            gevent.sleep(EXCHANGE_S)

    def _take_in(self, picture: peer_frames.FleetPicture) -> None:
        state = self._state
        state.load.set_others(picture.reserved)
        state.set_fronts(picture.fronts)
        now = time.monotonic()
        for seen in picture.servers:
            if seen.silent:
                if not state.trust.excluded(seen.id, now=now):
                    state.note_failure(seen.id, reason="silent to the planner")
                continue
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


def _without(
    totals: collections.Counter[str], own: dict[str, float]
) -> dict[str, float]:
    rest = {}
    for server_id, total in totals.items():
        left = total - own.get(server_id, 0.0)
        if left >= 1.0:
            rest[server_id] = left
    return rest
