"""Takes vacant layer ranges of `place` rules with the engines of this host."""

import random
import time
from typing import Any
import uuid

import gevent
from returns import result

from dotterelgrade import rules
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import engine_backend
from dotterelgrade_agent import engine_client
from dotterelgrade_agent import orders as orders_lib
from dotterelgrade_agent import placement as placement_lib
from dotterelgrade_agent import vacancies as vacancies_lib
from dotterelgrade_agent import weight_store_client

_POLL_S = 0.25
_JITTER_S = 0.2
_WITHHELD = "it is about to load other layers"
_IN_FLIGHT_POLL_S = 0.05


class Repair:
    """Decides for one engine whether it takes a seat."""

    def __init__(
        self,
        settings: agent_settings.AgentSettings,
        *,
        backend: engine_backend.EngineBackend,
        orders: orders_lib.Orders,
        sources: vacancies_lib.Sources,
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
        self._said_spare = False
        self._renewed_at = time.monotonic()
        self._unusable_since: float | None = None
        process = settings.process
        self._address = (
            process.host,
            process.peer_port,
            backend.settings.name,
        )
        self._vacancies = vacancies_lib.Vacancies(
            settings, backend=backend, sources=sources, address=self._address
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
        vacancy = self._vacancies.find_own_seat() or self._find_due()
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
        place = self._vacancies.place_of(seat)
        if place is None:
            # The rule is gone; the engine keeps its layers until another
            # rule needs it.
            self._vacate(seat)
            return
        if self._is_loading:
            return
        if self._vacancies.holds(place):
            self._renew(seat)
        elif self._vacancies.is_turn(place, seat):
            self._load(place, seat)

    def _renew(self, seat: placement_lib.Seat) -> None:
        version = self._backend.watch.status.version
        age_s = time.monotonic() - self._renewed_at
        if seat.version == version and age_s < self._renew_after_s:
            return
        self._renewed_at = time.monotonic()
        self._sources.placement.append(
            placement_lib.Renewal(
                **self._fields(),
                seat=seat.name,
                fence=seat.fence,
                version=version,
            )
        )
        # What was appended shows a moment later.
        gevent.sleep(_POLL_S)

    @property
    def _renew_after_s(self) -> float:
        return self._settings.placement_renew_s * random.uniform(0.8, 1.0)

    @property
    def _is_loading(self) -> bool:
        status = self._backend.watch.status
        return status is not None and status.loading

    def _find_due(self) -> vacancies_lib.Vacancy | None:
        if not self._settings.repairs or not self._has_seen_all_holders():
            return None
        self._say_spare()
        return self._vacancies.find_due()

    def _has_seen_all_holders(self) -> bool:
        """Whether holders in dropped records have said so again."""
        running_s = time.monotonic() - self._renewed_at
        return (
            self._placement.is_complete
            or running_s > self._settings.placement_renew_s
        )

    def _say_spare(self) -> None:
        if self._said_spare or not self._sources.placement.is_log_available:
            return
        item = placement_lib.Spare(
            **self._fields(),
            failure_domain=self._settings.process.failure_domain,
            accelerator=self._backend.report.accelerator,
            is_spare=True,
        )
        self._said_spare = self._sources.placement.append(item)

    def _take(self, vacancy: vacancies_lib.Vacancy) -> None:
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

    def _take_without_log(self, vacancy: vacancies_lib.Vacancy) -> None:
        # With the log down the ranked wait alone decides, so only as many
        # engines act as there are seats; one replica too many is the worst.
        if self._sources.placement.is_log_available or self._vacancies.holds(
            vacancy.place
        ):
            return
        if vacancy.rank < vacancy.seats:
            self._load(vacancy.place, None)

    def _load(
        self, place: rules.PlacementRule, seat: placement_lib.Seat | None
    ) -> None:
        """Loads the layers of a rule, after the work in flight has ended."""
        fence = self._orders.fence if seat is None else seat.fence
        order = engine_client.Order(
            order="load",
            model=place.model,
            version=self._vacancies.version(place),
            first_layer=place.first_layer,
            last_layer=place.last_layer,
            fence=fence,
        )
        self._backend.withhold(_WITHHELD)
        try:
            while self._backend.in_flight:
                gevent.sleep(_IN_FLIGHT_POLL_S)
            # A paused process may have lost the seat meanwhile.
            if self._is_taken(seat) or self._sources.departure.reason:
                return
            answer = self._orders.load(
                order, timeout_s=self._settings.load_timeout_s
            )
        finally:
            self._backend.withhold("")
        if isinstance(answer, result.Failure):
            self._note("load_failed", answer.failure().message, seat)
            self._vacancies.avoid(place)
            if seat is not None:
                self._vacate(seat)

    def _is_taken(self, seat: placement_lib.Seat | None) -> bool:
        """Whether another engine has taken the seat meanwhile."""
        if seat is None:
            return False
        now = self._seat
        return now is None or now.fence != seat.fence

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
            "vacancies": repr(self._vacancies),
        }


def make(
    settings: agent_settings.AgentSettings,
    *,
    backend: engine_backend.EngineBackend,
    sources: vacancies_lib.Sources,
) -> Repair:
    """Returns the repair of one engine.

    Args:
        settings: Where the agent runs and its waits.
        backend: The engine.
        sources: What is decided on.
    """
    orders = orders_lib.Orders(
        backend,
        host=settings.process.host,
        store=weight_store_client.WeightStoreClient(settings.platform),
        journal=sources.journal,
    )
    return Repair(settings, backend=backend, orders=orders, sources=sources)
