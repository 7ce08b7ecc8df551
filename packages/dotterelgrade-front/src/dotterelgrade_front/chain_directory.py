"""Chains of each model service, computed again when something changed."""

import dataclasses
import time

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import configuration
from dotterelgrade_routing import fleet as fleet_lib
from dotterelgrade_routing import holdoff
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import reservations
from dotterelgrade_routing import trust as trust_lib

# Reservations change with every request; chains follow them this often.
_REFRESH_S = 0.5
# A change of the fleet is followed sooner; changes come in series, and each
# computation takes milliseconds of the processor.
_CHANGED_REFRESH_S = 0.15
_SHORTEST_REFRESH_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Offer:
    """The chains of a service and what their stages offer.

    Attributes:
        chains: A few for each failure domain, over different stages.
        memory: Memory for requests by backend server, tokens times layers.
        lenient: Whether stages that only may be at fault were admitted, since
            the layers were not all held without them.
        fleet_version: Version of the fleet that they were computed from.
        computed_at: Monotonic time, s.
    """

    chains: tuple[chain_choice.Chain, ...]
    memory: dict[str, float]
    lenient: bool
    fleet_version: int
    computed_at: float


class ChainDirectory:
    """Offers of all model services."""

    def __init__(
        self,
        *,
        fleet: fleet_lib.Fleet,
        trust: trust_lib.Trust,
        load: reservations.Reservations,
        holdoffs: holdoff.Holdoffs,
    ) -> None:
        """Initializes an empty directory.

        Args:
            fleet: The backend servers.
            trust: Which of them are left out.
            load: Their reservations.
            holdoffs: Which of them want nothing for a while.
        """
        self._fleet = fleet
        self._trust = trust
        self._load = load
        self._holdoffs = holdoffs
        self._offers: dict[str, Offer] = {}

    def __repr__(self) -> str:
        """Shows the services."""
        return f"<ChainDirectory {sorted(self._offers)}>"

    def offer(self, service: configuration.Service) -> Offer:
        """Returns the chains of a model service.

        Between two computations those with an excluded stage, or with one that
        takes no new work by now, are left out.
        """
        now = time.monotonic()
        known = self._offers.get(service.name)
        if known is not None and now - known.computed_at < self._valid_s(known):
            usable = self._without_excluded(service, known, now)
            just_now = now - known.computed_at < _SHORTEST_REFRESH_S
            if usable.chains or just_now:
                return usable
        computed = self._compute(service, now)
        self._offers[service.name] = computed
        return computed

    def _valid_s(self, known: Offer) -> float:
        if known.fleet_version == self._fleet.version:
            return _REFRESH_S
        return _CHANGED_REFRESH_S

    def _without_excluded(
        self, service: configuration.Service, known: Offer, now: float
    ) -> Offer:
        excluded = self._trust.excluded_ids(now=now, only_firm=known.lenient)
        taking = {server.id for server in self._taking(service, now)}
        usable = tuple(
            chain
            for chain in known.chains
            if all(
                stage.server_id in taking and stage.server_id not in excluded
                for stage in chain.stages
            )
        )
        return dataclasses.replace(known, chains=usable)

    def _compute(self, service: configuration.Service, now: float) -> Offer:
        holders = self._holders(service, now)
        chains = chain_choice.candidates(service.engine, holders)
        lenient = not chains
        if lenient:
            holders = self._holders(service, now, only_firm=True)
            chains = chain_choice.candidates(service.engine, holders)
        return Offer(
            chains=tuple(chains),
            memory={h.server_id: h.total for h in holders},
            lenient=lenient,
            fleet_version=self._fleet.version,
            computed_at=now,
        )

    def behind(
        self, service: configuration.Service, first: chain_choice.Stage
    ) -> chain_choice.Chain | None:
        """Returns the cheapest chain that begins with a given stage.

        Args:
            service: The model service.
            first: The stage to keep.
        """
        holders = []
        now = time.monotonic()
        busy = self._trust.busy_ids(now=now)
        for holder in self._holders(service, now):
            if holder.server_id == first.server_id or holder.server_id in busy:
                continue
            rest = layer_range.LayerRange(
                max(holder.layers.first, first.layers.end), holder.layers.end
            )
            if len(rest):
                holders.append(dataclasses.replace(holder, layers=rest))
        kept = chain_choice.Holder(
            server_id=first.server_id,
            address=first.address,
            failure_domain=first.failure_domain,
            layers=first.layers,
            layer_s=0.0,
            total=1.0,
            used=0.0,
        )
        domain = first.failure_domain
        local = [h for h in holders if h.failure_domain == domain]
        # The search in one domain is several times as quick, and all streams
        # of a broken chain need it at once.
        return chain_choice.cheapest(
            service.engine, [kept, *local], preferred_domain=domain
        ) or chain_choice.cheapest(
            service.engine, [kept, *holders], preferred_domain=domain
        )

    def _holders(
        self,
        service: configuration.Service,
        now: float,
        *,
        only_firm: bool = False,
    ) -> list[chain_choice.Holder]:
        excluded = self._trust.excluded_ids(now=now, only_firm=only_firm)
        busy = self._trust.busy_ids(now=now)
        holders = []
        for server in self._taking(service, now):
            if server.id not in excluded:
                holder = self._holder(service.engine, server)
                if holder is not None and server.id in busy:
                    # It is taken only where no other holds its layers.
                    holder = dataclasses.replace(holder, used=holder.total)
                if holder is not None:
                    holders.append(holder)
        return holders

    def _taking(
        self, service: configuration.Service, now: float
    ) -> list[backend_server.BackendServer]:
        """Returns the backend servers that take new work from this front."""
        return self._holdoffs.free(self._fleet.ready(service.name), now=now)

    def _holder(
        self,
        engine: configuration.Engine,
        server: backend_server.BackendServer,
    ) -> chain_choice.Holder | None:
        layers = self._fleet.layers_of(server)
        kind = engine.accelerator(server.accelerator)
        if layers is None or kind is None:
            return None
        slowness = self._fleet.slowness_of(server)
        return chain_choice.Holder(
            server_id=server.id,
            address=server.address,
            failure_domain=server.failure_domain,
            layers=layers,
            layer_s=engine.step_s * kind.step_factor * slowness / engine.layers,
            total=engine.room_tokens(kind, len(layers)) * len(layers),
            used=self._load.used(server.id),
            expected=chain_choice.EXPECTED_REQUESTS
            * engine.usual_tokens
            * len(layers),
        )
