"""The operators' configuration of a platform, as fronts use it."""

from collections.abc import Iterable
import dataclasses
import functools

from dotterelgrade_routing import layer_range
from dotterelgrade_routing import request_rank


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceWeight:
    """A service and its share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share, relative to the other weights of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Routing rule for requests, with their limits.

    Attributes:
        name: Name of the route.
        host: Host header, lower case.
        path_prefix: Starts and ends with a slash.
        services: Services that receive the requests.
        idempotent: Whether a request may run more than once.
        streaming: Whether the answer is a stream of events.
        resumable: Whether a stream may continue at another backend server.
        timeout_s: Maximum duration of a request, s.
        objective_s: Target latency of the answer, s; of the first event for
            streams.
        longest_pause_s: Target for the pause between two events, s.
        priority: 0 is the most urgent.
        max_attempts: Maximum number of backend servers tried per request.
        public: Whether no API key is needed.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[ServiceWeight, ...]
    idempotent: bool
    streaming: bool
    resumable: bool
    timeout_s: float
    objective_s: float
    longest_pause_s: float
    priority: int
    max_attempts: int
    public: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.idempotent or self.resumable


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accelerator:
    """Parameters of one kind of accelerator.

    Attributes:
        name: Name of the kind.
        memory_mb: Memory for layers and requests, MB.
        step_factor: Duration of a step relative to `Engine.step_s`.
        prefill_factor: Duration of the prefill relative to the engine's rate.
    """

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Engine:
    """Parameters of the engines of a model service.

    Attributes:
        layers: Layers of the model.
        layer_mb: Memory of one layer, MB.
        token_layer_bytes: Memory of one token of a request in one layer.
        step_s: Duration of one step through all layers, s.
        prefill_tokens_per_s: Prefill rate of all layers, tokens per second.
        load_s: Time to load all layers, s.
        loads_at_once: Maximum concurrent loads at full speed.
        mean_prompt_tokens: Mean length of a prompt.
        mean_answer_tokens: Mean length of an answer.
        accelerators: Parameters by kind of accelerator.
        token_transfer_bytes: Size of the activations of one token that a stage
            sends to the next.
        crossing_bits_per_s: Bandwidth shared by all transfers between failure
            domains, bit/s; 0 if unknown.
    """

    layers: int
    layer_mb: float
    token_layer_bytes: float
    step_s: float
    prefill_tokens_per_s: float
    load_s: float
    loads_at_once: int
    mean_prompt_tokens: float
    mean_answer_tokens: float
    accelerators: tuple[Accelerator, ...]
    token_transfer_bytes: float = 0.0
    crossing_bits_per_s: float = 0.0

    @property
    def mean_tokens(self) -> float:
        """Mean tokens of a prompt and its answer."""
        return max(self.mean_prompt_tokens + self.mean_answer_tokens, 1.0)

    def crossing_bits(self, *, tokens: float, crossings: int) -> float:
        """Returns what a request transfers between failure domains, bit."""
        return tokens * self.token_transfer_bytes * 8 * crossings

    def accelerator(self, name: str) -> Accelerator | None:
        """Returns the parameters of a kind, or None if it is not listed."""
        return next((a for a in self.accelerators if a.name == name), None)

    def max_layers(self, kind: Accelerator) -> int:
        """Returns how many layers fit into the memory of an accelerator."""
        return min(self.layers, int(kind.memory_mb // self.layer_mb))

    def capacity_tokens(self, kind: Accelerator, layers: int) -> float:
        """Returns the tokens that fit into the memory left by loaded layers."""
        if layers <= 0:
            return 0.0
        free_bytes = (kind.memory_mb - layers * self.layer_mb) * 1e6
        return max(0.0, free_bytes / (layers * self.token_layer_bytes))

    def all_layers(self) -> layer_range.LayerRange:
        """Returns the range of all layers."""
        return layer_range.LayerRange(first=0, end=self.layers)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A group of backend servers that serve the same requests.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one backend server accepts.
        engine: Parameters of the engines, or None for a plain service.
    """

    name: str
    max_connections: int
    engine: Engine | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClientLimits:
    """Limits on client connections and requests.

    Attributes:
        header_bytes: Maximum size of the request head.
        body_bytes: Maximum size of the body.
        header_timeout_s: Timeout for reading the head, s.
        idle_timeout_s: Timeout of idle connections, s.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workspace:
    """A customer with its API keys.

    Attributes:
        name: Name of the workspace.
        api_keys: Keys that are in force.
        priority: Overrides the routes' priority, or None.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Increases with each change.
        routes: All routes.
        services: All services.
        limits: Limits on clients.
        workspaces: All workspaces; empty if no API keys are needed.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: ClientLimits
    workspaces: tuple[Workspace, ...]

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda r: -len(r.path_prefix))
        return by_host

    @functools.cached_property
    def _workspace_by_key(self) -> dict[str, Workspace]:
        return {k: w for w in self.workspaces for k in w.api_keys}

    @functools.cached_property
    def _service_by_name(self) -> dict[str, Service]:
        return {service.name: service for service in self.services}

    def route_for(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path.

        Args:
            host: Host header, in any case, with or without a port.
            path: Path of the request, without its query.
        """
        name = host.lower().partition(":")[0]
        routes = self._routes_by_host.get(name, ())
        return next((r for r in routes if path.startswith(r.path_prefix)), None)

    def workspace_for(self, key: str) -> Workspace | None:
        """Returns the workspace to which an API key belongs."""
        return self._workspace_by_key.get(key)

    def service(self, name: str) -> Service | None:
        """Returns the service of that name."""
        return self._service_by_name.get(name)

    @functools.cached_property
    def _ranks_by_service(self) -> dict[str, request_rank.ServiceRanks]:
        # Routes and workspaces are thousands, their priorities are few.
        priorities: dict[str, set[int]] = {}
        without_key: dict[str, set[int]] = {}
        for route in self.routes:
            for share in route.services:
                if share.weight <= 0:
                    continue
                priorities.setdefault(share.service, set()).add(route.priority)
                if route.public or not self.workspaces:
                    open_to_all = without_key.setdefault(share.service, set())
                    open_to_all.add(route.priority)
        return {
            service: request_rank.ServiceRanks(
                self._priority_pairs(found, without_key.get(service, set()))
            )
            for service, found in priorities.items()
        }

    def _priority_pairs(
        self, of_routes: set[int], without_key: set[int]
    ) -> Iterable[request_rank.PriorityPair]:
        """Yields the priorities of all requests that a service may get.

        Args:
            of_routes: Priorities of its routes.
            without_key: Those of routes that take requests of no workspace.
        """
        of_workspaces = {workspace.priority for workspace in self.workspaces}
        for route in of_routes:
            for workspace in of_workspaces:
                yield _pair(route, workspace)
            if route in without_key:
                yield _pair(route, None)

    def has_ranks(self, service: str) -> bool:
        """Returns whether requests to a service differ in their urgency."""
        ranks = self._ranks_by_service.get(service)
        return ranks is not None and ranks.exist

    @functools.cached_property
    def ranks_any(self) -> bool:
        """Whether requests to any model service differ in their urgency."""
        return any(self.has_ranks(s.name) for s in self.model_services)

    def rank(
        self, service: str, *, route: Route, workspace: Workspace | None
    ) -> int | None:
        """Returns the rank of a request, or None if its service has no ranks.

        Args:
            service: Name of the service.
            route: The route of the request.
            workspace: The caller's workspace, or None.
        """
        ranks = self._ranks_by_service.get(service)
        if ranks is None:
            return None
        return ranks.rank(_priority_pair(route, workspace))

    @property
    def model_services(self) -> list[Service]:
        """The services whose backend servers hold layers of a model."""
        return [s for s in self.services if s.engine is not None]


def _priority_pair(
    route: Route, workspace: Workspace | None
) -> request_rank.PriorityPair:
    priority = None if workspace is None else workspace.priority
    return _pair(route.priority, priority)


def _pair(route: int, workspace: int | None) -> request_rank.PriorityPair:
    """Returns the pair for the priorities of a route and of a workspace."""
    return request_rank.PriorityPair(
        workspace=route if workspace is None else workspace, route=route
    )
