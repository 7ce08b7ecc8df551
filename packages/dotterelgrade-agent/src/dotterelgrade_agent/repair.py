"""Takes vacant layer ranges of `place` rules with the engines of this host."""

import dataclasses
import random
import time
from typing import Any
import uuid

import gevent
from returns import result

from dotterelgrade import contract_feed
from dotterelgrade import journal as journal_lib
from dotterelgrade import rendezvous
from dotterelgrade import rules
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import departure as departure_lib
from dotterelgrade_agent import engine_backend
from dotterelgrade_agent import engine_client
from dotterelgrade_agent import host_view
from dotterelgrade_agent import orders as orders_lib
from dotterelgrade_agent import placement as placement_lib
from dotterelgrade_agent import placement_log

_POLL_S = 0.25
_JITTER_S = 0.2
_WITHHELD = "it is about to load other layers"
_IN_FLIGHT_POLL_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sources:
    """What a repair decides on.

    Attributes:
        feed: The contract, with its `place` rules.
        hosts: The hosts as the platform lists them.
        placement: The seats and their holders.
        departure: Whether this agent leaves.
        journal: Takes decisions.
    """

    feed: contract_feed.ContractFeed
    hosts: host_view.HostView
    placement: placement_log.PlacementLog
    departure: departure_lib.Departure
    journal: journal_lib.Journal


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vacancy:
    """A seat that this engine could take.

    Attributes:
        place: The rule that asks for it.
        seat: The seat.
        rank: How many other engines come first.
        seats: How many seats of the rule are vacant.
    """

    place: rules.PlaceRule
    seat: placement_lib.Seat
    rank: int
    seats: int


class Repair:
    """Decides for one engine whether it takes a seat."""

    def __init__(
        self,
        settings: agent_settings.AgentSettings,
        *,
        backend: engine_backend.EngineBackend,
        orders: orders_lib.Orders,
        sources: Sources,
    ) -> None:
        """Initializes a repair that has decided nothing.

        Args:
            settings: Where the agent runs and its waits.
            backend: The engine.
            orders: Gives the orders.
            sources: What is decided on.
        """
        self._settings = settings
        self._backend = backend
        self._orders = orders
        self._sources = sources
        self._vacant_since: dict[str, float] = {}
        self._said_spare = False
        self._renewed_at = time.monotonic()
        self._unusable_since: float | None = None
        process = settings.process
        self._address = (
            process.host,
            process.peer_port,
            backend.settings.name,
        )

    def __repr__(self) -> str:
        """Shows the seat held."""
        return f"<Repair {self._address} {self._seat}>"

    @property
    def _placement(self) -> placement_lib.Placement:
        return self._sources.placement.placement

    @property
    def _seat(self) -> placement_lib.Seat | None:
        return self._placement.held_by(self._address)

    def run(self) -> None:
        """Decides again and again until killed."""
        while True:
            gevent.sleep(_POLL_S + random.uniform(0, _JITTER_S))
            if self._knows_enough():
                self.decide()

    def _knows_enough(self) -> bool:
        sources = self._sources
        return (
            sources.feed.is_caught_up
            and sources.hosts.is_known
            and sources.placement.is_caught_up
        )

    def decide(self) -> None:
        """Looks once at the seats and does what is due."""
        seat = self._seat
        if self._sources.departure.reason or self._is_lost():
            if seat is not None:
                self._vacate(seat)
            return
        if not self._backend.watch.is_healthy:
            return
        if seat is not None:
            self._keep(seat)
            return
        vacancy = self._find_own_seat() or self._find_vacancy()
        if vacancy is not None:
            self._take(vacancy)

    def _is_lost(self) -> bool:
        """Whether the engine has not answered for a while."""
        if self._backend.watch.is_healthy:
            self._unusable_since = None
            return False
        now = time.monotonic()
        if self._unusable_since is None:
            self._unusable_since = now
        return now - self._unusable_since > self._settings.takeover_settle_s

    def _vacate(self, seat: placement_lib.Seat) -> None:
        item = placement_lib.Vacation(
            **self._fields(), seat=seat.name, fence=seat.fence
        )
        if self._sources.placement.append(item):
            self._note("seat_vacated", "the engine or its host leaves", seat)
        # What was appended shows a moment later.
        gevent.sleep(_POLL_S)

    def _fields(self) -> dict[str, Any]:
        host, peer_port, backend = self._address
        return {"host": host, "peer_port": peer_port, "backend": backend}

    def _keep(self, seat: placement_lib.Seat) -> None:
        self._said_spare = False
        place = self._place_of(seat)
        if place is None:
            # The rule is gone; the engine keeps its layers until another
            # rule needs it.
            self._vacate(seat)
            return
        if not self._holds(place) and not self._is_loading:
            self._load(place, seat)
            return
        if time.monotonic() - self._renewed_at > self._renew_after_s:
            self._renewed_at = time.monotonic()
            self._sources.placement.append(
                placement_lib.Renewal(
                    **self._fields(), seat=seat.name, fence=seat.fence
                )
            )

    @property
    def _renew_after_s(self) -> float:
        return self._settings.placement_renew_s * random.uniform(0.8, 1.0)

    @property
    def _is_loading(self) -> bool:
        status = self._backend.watch.status
        return status is not None and status.loading

    def _place_of(self, seat: placement_lib.Seat) -> rules.PlaceRule | None:
        for place in self._places():
            if seat.name in placement_lib.seat_names(place):
                return place
        return None

    def _places(self) -> list[rules.PlaceRule]:
        """Returns the rules that allow this engine."""
        contract = self._sources.feed.contract
        return [
            place
            for model in contract.models()
            for place in contract.places(model.name)
            if self._is_allowed(
                place,
                failure_domain=self._settings.process.failure_domain,
                accelerator=self._backend.report.accelerator,
            )
        ]

    def _is_allowed(
        self, place: rules.PlaceRule, *, failure_domain: str, accelerator: str
    ) -> bool:
        return failure_domain in place.failure_domains and (
            not place.accelerators or accelerator in place.accelerators
        )

    def _version(self, place: rules.PlaceRule) -> str:
        model = self._sources.feed.contract.model(place.model)
        return "" if model is None else model.version

    def _holds(self, place: rules.PlaceRule) -> bool:
        status = self._backend.watch.status
        return status is not None and status.holds(
            model=place.model,
            version=self._version(place),
            first_layer=place.first_layer,
            last_layer=place.last_layer,
        )

    def _vacant(self, place: rules.PlaceRule) -> tuple[placement_lib.Seat, ...]:
        names = placement_lib.seat_names(place)
        seats = [self._placement.seat(name) for name in names]
        hosts = {seat.holder[0] for seat in seats if seat.holder is not None}
        contract = self._sources.feed.contract
        live = {
            host
            for host in self._sources.hosts.live(hosts)
            if not contract.is_draining(host)
        }
        return self._placement.vacant(place, live=live)

    def _find_own_seat(self) -> Vacancy | None:
        """Finds a seat for the layers that the engine already holds."""
        for place in self._places():
            vacant = self._vacant(place) if self._holds(place) else ()
            if vacant:
                seat = random.choice(vacant)
                return Vacancy(
                    place=place, seat=seat, rank=0, seats=len(vacant)
                )
        return None

    def _find_vacancy(self) -> Vacancy | None:
        """Finds a seat that has been vacant long enough for this rank."""
        if not self._settings.repairs or not self._has_seen_all_holders():
            return None
        self._say_spare()
        found = None
        for place in self._places():
            vacant = self._vacant(place)
            self._note_vacant(place, vacant)
            if found is None and vacant and not self._holds(place):
                found = self._due(place, vacant)
        return found

    def _has_seen_all_holders(self) -> bool:
        """Whether holders in dropped records have said so again."""
        running_s = time.monotonic() - self._renewed_at
        return (
            self._placement.is_complete
            or running_s > self._settings.placement_renew_s
        )

    def _say_spare(self) -> None:
        if self._said_spare or not self._sources.placement.log_is_up:
            return
        item = placement_lib.Spare(
            **self._fields(),
            failure_domain=self._settings.process.failure_domain,
            accelerator=self._backend.report.accelerator,
            is_spare=True,
        )
        self._said_spare = self._sources.placement.append(item)

    def _note_vacant(
        self, place: rules.PlaceRule, vacant: tuple[placement_lib.Seat, ...]
    ) -> None:
        names = {seat.name for seat in vacant}
        for name in placement_lib.seat_names(place):
            if name in names:
                self._vacant_since.setdefault(name, time.monotonic())
            else:
                self._vacant_since.pop(name, None)

    def _due(
        self, place: rules.PlaceRule, vacant: tuple[placement_lib.Seat, ...]
    ) -> Vacancy | None:
        rank = self._rank(place)
        # The first ranks go for different seats, so that they don't collide.
        seat = vacant[rank % len(vacant)]
        wait_s = (
            self._settings.takeover_settle_s
            + rank * self._settings.takeover_rank_s
        )
        if time.monotonic() - self._vacant_since[seat.name] < wait_s:
            return None
        return Vacancy(place=place, seat=seat, rank=rank, seats=len(vacant))

    def _rank(self, place: rules.PlaceRule) -> int:
        spares = [
            spare
            for spare in self._placement.spares.values()
            if self._is_allowed(
                place,
                failure_domain=spare.failure_domain,
                accelerator=spare.accelerator,
            )
        ]
        live = self._sources.hosts.live({spare.host for spare in spares})
        nodes = {_node(spare.address) for spare in spares if spare.host in live}
        own = _node(self._address)
        return rendezvous.rank(place.identity, nodes | {own}).index(own)

    def _take(self, vacancy: Vacancy) -> None:
        item = placement_lib.TakeOver(
            **self._fields(),
            id=uuid.uuid4().hex,
            seat=vacancy.seat.name,
            expects=vacancy.seat.fence,
        )
        verdict = self._sources.placement.take_over(
            item, timeout_s=self._settings.takeover_timeout_s
        )
        self._note(
            "take_over",
            verdict or "the log does not answer",
            vacancy.seat,
            rank=vacancy.rank,
        )
        if verdict is None:
            self._take_without_log(vacancy)

    def _take_without_log(self, vacancy: Vacancy) -> None:
        # With the log down the ranked wait alone decides, so only as many
        # engines act as there are seats; one replica too many is the worst.
        if self._sources.placement.log_is_up or self._holds(vacancy.place):
            return
        if vacancy.rank < vacancy.seats:
            self._load(vacancy.place, None)

    def _load(
        self, place: rules.PlaceRule, seat: placement_lib.Seat | None
    ) -> None:
        """Loads the layers of a rule, after the work in flight has ended."""
        fence = self._orders.fence if seat is None else seat.fence
        order = engine_client.Order(
            order="load",
            model=place.model,
            version=self._version(place),
            first_layer=place.first_layer,
            last_layer=place.last_layer,
            fence=fence,
        )
        self._backend.withhold(_WITHHELD)
        try:
            while self._backend.in_flight:
                gevent.sleep(_IN_FLIGHT_POLL_S)
            # A paused process may have lost the seat meanwhile.
            if seat is not None and self._seat != seat:
                return
            answer = self._orders.load(
                order, timeout_s=self._settings.load_timeout_s
            )
        finally:
            self._backend.withhold("")
        if isinstance(answer, result.Failure):
            self._note("load_failed", answer.failure().message, seat)
            if seat is not None:
                self._vacate(seat)

    def _note(
        self,
        decision: str,
        reason: str,
        seat: placement_lib.Seat | None,
        **details: Any,
    ) -> None:
        self._sources.journal.record(
            decision,
            reason=reason,
            backend=self._address[2],
            seat="" if seat is None else seat.name,
            fence=0 if seat is None else seat.fence,
            **details,
        )

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "seat": repr(self._seat),
            "spare": self._said_spare,
            "vacant": sorted(self._vacant_since),
        }


def _node(address: placement_lib.Address) -> str:
    return "{}:{}/{}".format(*address)
