"""Cache of the candidate chains of each model service."""

from collections.abc import Sequence
import dataclasses
import time

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import configuration
from dotterelgrade_routing import exclusions as exclusions_lib
from dotterelgrade_routing import fleet as fleet_lib
from dotterelgrade_routing import holdoff
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import reservations

# Reservations change with every request, so cached chains expire.
_MAX_AGE_S = 0.5
# Shorter after a change of the fleet. Changes come in bursts and a computation
# takes milliseconds of CPU time, so chains aren't computed at every change.
_MAX_AGE_AFTER_CHANGE_S = 0.15
_MIN_RECOMPUTE_INTERVAL_S = 0.05
# A large fleet on a slow host: searches must leave time for the requests.
_MAX_SEARCH_SHARE = 0.1
_MAX_AGE_AFTER_SLOW_SEARCH_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Offer:
    """Candidate chains of a service and the memory of their stages.

    Attributes:
        chains: A few for each failure domain, over different stages.
        memory: Memory for requests by backend server, tokens times layers.
        includes_suspects: Whether stages with unconfirmed faults were included,
            because without them some layers had no holder.
        fleet_version: Version of the fleet that they were computed from.
        computed_at: Monotonic time, s.
        search_s: How long the search took, s.
    """

    chains: tuple[chain_choice.Chain, ...]
    memory: dict[str, float]
    includes_suspects: bool
    fleet_version: int
    computed_at: float
    search_s: float


class ChainDirectory:
    """Caches the offers of all model services."""

    def __init__(
        self,
        *,
        fleet: fleet_lib.Fleet,
        exclusions: exclusions_lib.ExclusionTracker,
        load: reservations.Reservations,
        holdoffs: holdoff.Holdoffs,
    ) -> None:
        """Initializes an empty directory.

        Args:
            fleet: The backend servers.
            exclusions: Which of them are excluded.
            load: Their reservations.
            holdoffs: Which of them asked for no requests for a while.
        """
        self._fleet = fleet
        self._exclusions = exclusions
        self._load = load
        self._holdoffs = holdoffs
        self._offers: dict[str, Offer] = {}

    def __repr__(self) -> str:
        """Lists the cached services."""
        return f"<ChainDirectory {sorted(self._offers)}>"

    def offer(self, service: configuration.Service) -> Offer:
        """Returns the chains of a model service.

        Cached chains are filtered: one with a stage that has since been
        excluded, or that no longer accepts requests, is left out.
        """
        now = time.monotonic()
        cached = self._offers.get(service.name)
        if cached is not None and now - cached.computed_at < self._max_age_s(
            cached
        ):
            usable = self._without_unusable(service, cached, now)
            is_recent = now - cached.computed_at < _MIN_RECOMPUTE_INTERVAL_S
            if usable.chains or is_recent:
                return usable
        computed = self._compute(service, now)
        self._offers[service.name] = computed
        return computed

    def _max_age_s(self, cached: Offer) -> float:
        changed = cached.fleet_version != self._fleet.version
        age_s = _MAX_AGE_AFTER_CHANGE_S if changed else _MAX_AGE_S
        affordable_s = cached.search_s / _MAX_SEARCH_SHARE
        return max(age_s, min(affordable_s, _MAX_AGE_AFTER_SLOW_SEARCH_S))

    def _without_unusable(
        self, service: configuration.Service, cached: Offer, now: float
    ) -> Offer:
        excluded = self._exclusions.excluded_ids(
            now=now, confirmed_only=cached.includes_suspects
        )
        accepting = {server.id for server in self._accepting(service, now)}
        usable = tuple(
            chain
            for chain in cached.chains
            if all(
                stage.server_id in accepting and stage.server_id not in excluded
                for stage in chain.stages
            )
        )
        return dataclasses.replace(cached, chains=usable)

    def _compute(self, service: configuration.Service, now: float) -> Offer:
        holders = self._holders(service, now)
        chains = chain_choice.candidates(service.engine, holders)
        includes_suspects = not chains
        if includes_suspects:
            holders = self._holders(service, now, confirmed_only=True)
            chains = chain_choice.candidates(service.engine, holders)
        return Offer(
            chains=tuple(chains),
            memory={h.server_id: h.total for h in holders},
            includes_suspects=includes_suspects,
            fleet_version=self._fleet.version,
            computed_at=now,
            search_s=time.monotonic() - now,
        )

    def cheapest_from(
        self, service: configuration.Service, first: chain_choice.Stage
    ) -> chain_choice.Chain | None:
        """Returns the cheapest chain that begins with the given stage.

        Args:
            service: The model service.
            first: The stage to keep.
        """
        kept = chain_choice.Holder(
            server_id=first.server_id,
            address=first.address,
            failure_domain=first.failure_domain,
            layers=first.layers,
            layer_s=0.0,
            total=1.0,
            used=0.0,
        )
        # Searching one domain is several times faster, and all streams of a
        # broken chain search at once.
        local = self._holders_beyond(
            service, first, failure_domain=first.failure_domain
        )
        return _cheapest_after(service.engine, kept, local) or _cheapest_after(
            service.engine, kept, self._holders_beyond(service, first)
        )

    def _holders_beyond(
        self,
        service: configuration.Service,
        first: chain_choice.Stage,
        *,
        failure_domain: str = "",
    ) -> list[chain_choice.Holder]:
        """Returns the holders of later layers that are not busy."""
        holders = self._holders(
            service,
            time.monotonic(),
            failure_domain=failure_domain,
            include_busy=False,
        )
        return [
            holder
            for holder in holders
            if holder.layers.end > first.layers.end
            and holder.server_id != first.server_id
        ]

    def _holders(
        self,
        service: configuration.Service,
        now: float,
        *,
        confirmed_only: bool = False,
        failure_domain: str = "",
        include_busy: bool = True,
    ) -> list[chain_choice.Holder]:
        """Returns the holders of all domains, or of the given one.

        Busy ones count as full: used only if no other holds their layers.
        """
        excluded = self._exclusions.excluded_ids(
            now=now, confirmed_only=confirmed_only
        )
        busy = self._exclusions.busy_ids(now=now)
        left_out = excluded if include_busy else excluded | busy
        holders = []
        for server in self._accepting(service, now):
            if failure_domain not in ("", server.failure_domain):
                continue
            if server.id in left_out:
                continue
            holder = self._holder(service.engine, server)
            if holder is None:
                continue
            if server.id in busy:
                holder = dataclasses.replace(holder, used=holder.total)
            holders.append(holder)
        return holders

    def _accepting(
        self, service: configuration.Service, now: float
    ) -> list[backend_server.BackendServer]:
        """Returns the backend servers that accept requests of this front."""
        return self._holdoffs.available(
            self._fleet.ready(service.name), now=now
        )

    def _holder(
        self,
        engine: configuration.Engine,
        server: backend_server.BackendServer,
    ) -> chain_choice.Holder | None:
        held = self._fleet.layers_of(server)
        layers = None if held is None else held.within(engine.all_layers())
        accelerator = engine.accelerator(server.accelerator)
        if layers is None or accelerator is None:
            return None
        slowness = self._fleet.slowness_of(server)
        return chain_choice.Holder(
            server_id=server.id,
            address=server.address,
            failure_domain=server.failure_domain,
            layers=layers,
            layer_s=engine.step_s
            * accelerator.step_factor
            * slowness
            / engine.layers,
            total=engine.capacity_tokens(accelerator, len(layers))
            * len(layers),
            used=self._load.used(server.id),
            expected=chain_choice.EXPECTED_REQUESTS
            * engine.mean_tokens
            * len(layers),
        )


def _cheapest_after(
    engine: configuration.Engine,
    first: chain_choice.Holder,
    others: Sequence[chain_choice.Holder],
) -> chain_choice.Chain | None:
    """Returns the cheapest chain whose first stage runs all of its layers."""
    rest = [
        _beyond(first.layers, holder)
        for holder in chain_choice.cheapest_of_each_range(others)
    ]
    return chain_choice.cheapest(
        engine, [first, *rest], preferred_domain=first.failure_domain
    )


def _beyond(
    layers: layer_range.LayerRange, holder: chain_choice.Holder
) -> chain_choice.Holder:
    """Returns a holder without the layers of a range and those before it."""
    if holder.layers.first >= layers.end:
        return holder
    rest = layer_range.LayerRange(layers.end, holder.layers.end)
    return dataclasses.replace(holder, layers=rest)
