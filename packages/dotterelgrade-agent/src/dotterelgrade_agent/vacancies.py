"""Finds the seats of `place` rules that an engine could take."""

import dataclasses
import random
import time

from dotterelgrade import contract_feed
from dotterelgrade import journal as journal_lib
from dotterelgrade import rendezvous
from dotterelgrade import rules
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import departure as departure_lib
from dotterelgrade_agent import engine_backend
from dotterelgrade_agent import host_view
from dotterelgrade_agent import placement as placement_lib
from dotterelgrade_agent import placement_log

AVOID_S = 60.0


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

    place: rules.PlacementRule
    seat: placement_lib.Seat
    rank: int
    seats: int


class Vacancies:
    """The rules that allow one engine, and their vacant seats."""

    def __init__(
        self,
        settings: agent_settings.AgentSettings,
        *,
        backend: engine_backend.EngineBackend,
        sources: Sources,
        address: placement_lib.Address,
    ) -> None:
        """Initializes without having seen a vacancy.

        Args:
            settings: Where the agent runs and its waits.
            backend: The engine.
            sources: What is decided on.
            address: The engine in the stream `placement`.
        """
        self._settings = settings
        self._backend = backend
        self._sources = sources
        self._address = address
        self._vacant_since: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}

    def __repr__(self) -> str:
        """Shows the vacant seats."""
        return f"<Vacancies {sorted(self._vacant_since)}>"

    @property
    def _placement(self) -> placement_lib.Placement:
        return self._sources.placement.placement

    def place_of(self, seat: placement_lib.Seat) -> rules.PlacementRule | None:
        """Returns the rule that asks for a seat, or None when it is gone."""
        for place in self.places():
            if seat.name in placement_lib.seat_names(place):
                return place
        return None

    def places(self) -> list[rules.PlacementRule]:
        """Returns the rules that allow this engine."""
        contract = self._sources.feed.contract
        return [
            place
            for model in contract.models()
            for place in contract.placements(model.name)
            if self._is_allowed(
                place,
                failure_domain=self._settings.process.failure_domain,
                accelerator=self._backend.report.accelerator,
            )
        ]

    def _is_allowed(
        self,
        place: rules.PlacementRule,
        *,
        failure_domain: str,
        accelerator: str,
    ) -> bool:
        return failure_domain in place.failure_domains and (
            not place.accelerators or accelerator in place.accelerators
        )

    def version(self, place: rules.PlacementRule) -> str:
        """Returns the version that a rule's model is served in, or empty."""
        model = self._sources.feed.contract.model(place.model)
        return "" if model is None else model.version

    def holds(self, place: rules.PlacementRule) -> bool:
        """Whether the engine holds what a rule asks for."""
        return self._holds_version(place, self.version(place))

    def is_turn(
        self, place: rules.PlacementRule, seat: placement_lib.Seat
    ) -> bool:
        """Whether the engine may load what its seat asks for now.

        Another version of the same layers goes on serving until the holders
        of the seats before have loaded theirs, so that a new version never
        takes all replicas away at once.

        Args:
            place: The rule.
            seat: The seat of the engine.
        """
        if not self._holds_version(place, ""):
            return True
        version = self.version(place)
        vacant = {vacant.name for vacant in self._vacant(place)}
        for name in placement_lib.seat_names(place):
            if name == seat.name:
                return True
            if name in vacant:
                continue
            if self._placement.seat(name).version != version:
                return False
        return True

    def avoid(self, place: rules.PlacementRule) -> None:
        """Leaves the seats of a rule to others for a while."""
        self._avoided_until[place.identity] = time.monotonic() + AVOID_S

    def _is_avoided(self, place: rules.PlacementRule) -> bool:
        until = self._avoided_until.get(place.identity, 0.0)
        return time.monotonic() < until

    def _holds_version(self, place: rules.PlacementRule, version: str) -> bool:
        status = self._backend.watch.status
        return status is not None and status.holds(
            model=place.model,
            version=version,
            first_layer=place.first_layer,
            last_layer=place.last_layer,
        )

    def _vacant(
        self, place: rules.PlacementRule
    ) -> tuple[placement_lib.Seat, ...]:
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

    def find_own_seat(self) -> Vacancy | None:
        """Finds a seat for the layers that the engine already holds."""
        for place in self.places():
            vacant = self._vacant(place) if self.holds(place) else ()
            if vacant:
                seat = random.choice(vacant)
                return Vacancy(
                    place=place, seat=seat, rank=0, seats=len(vacant)
                )
        return None

    def find_due(self) -> Vacancy | None:
        """Finds a seat that has been vacant long enough for this rank."""
        found = None
        for place in self.places():
            vacant = self._vacant(place)
            self._note_vacant(place, vacant)
            if self.holds(place) or self._is_avoided(place):
                continue
            if found is None and vacant:
                found = self._due(place, vacant)
        return found

    def _note_vacant(
        self, place: rules.PlacementRule, vacant: tuple[placement_lib.Seat, ...]
    ) -> None:
        names = {seat.name for seat in vacant}
        for name in placement_lib.seat_names(place):
            if name in names:
                self._vacant_since.setdefault(name, time.monotonic())
            else:
                self._vacant_since.pop(name, None)

    def _due(
        self, place: rules.PlacementRule, vacant: tuple[placement_lib.Seat, ...]
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

    def _rank(self, place: rules.PlacementRule) -> int:
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


def _node(address: placement_lib.Address) -> str:
    return "{}:{}/{}".format(*address)
