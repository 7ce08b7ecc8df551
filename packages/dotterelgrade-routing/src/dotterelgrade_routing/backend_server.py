"""State of a backend server, from the platform's list and its own report."""

import dataclasses
import enum

from dotterelgrade_routing import layer_range


class Availability(enum.Enum):
    """Whether a backend server accepts new work, as the list states it."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendServer:
    """The entry of a backend server in the platform's list.

    Attributes:
        id: Identifier of the incarnation; a restart may keep it.
        service: Name of its service.
        address: `IP:PORT`.
        failure_domain: Its failure domain.
        availability: Whether it accepts new work.
        slots: Maximum concurrent requests.
        accelerator: Kind of accelerator; empty for plain services.
        layers: Layers that it holds, or None.
        orders: Number of orders accepted since its start.
        started_ms: Start of the process, ms since the epoch.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    availability: Availability
    slots: int
    accelerator: str = ""
    layers: layer_range.LayerRange | None = None
    orders: int = 0
    started_ms: int = 0

    @property
    def ready(self) -> bool:
        """Whether it accepts new work."""
        return self.availability is Availability.READY

    def as_leaving(self) -> "BackendServer":
        """Returns a copy of the entry that accepts no new work."""
        return dataclasses.replace(self, availability=Availability.LEAVING)

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identifies one start of the process."""
        return (self.id, self.started_ms)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineReport:
    """Status report of an engine.

    Attributes:
        layers: Layers that it holds, or None.
        accelerator: Kind of accelerator.
        loading: Whether an order is in progress.
        orders: Number of orders accepted since its start.
        started_ms: Start of the process, ms since the epoch.
        waiting: Requests in its queue.
        running: Requests in execution.
        used: Memory in use by requests, tokens times layers.
        total: Memory for requests, tokens times layers.
        slowness: Duration of its work relative to the expected one.
        stalled: Addresses of backend servers that block its requests, by
            request identifier.
        leaving: Whether it is shutting down.
    """

    layers: layer_range.LayerRange | None
    accelerator: str
    loading: bool
    orders: int
    started_ms: int
    waiting: int
    running: int
    used: float
    total: float
    slowness: float
    stalled: dict[str, str]
    leaving: bool = False

    def explains_refusal(
        self, layers: layer_range.LayerRange, *, tokens: float, slots: int
    ) -> bool:
        """Returns whether this state is a reason to refuse a request.

        Args:
            layers: The layers that the request needs here.
            tokens: Maximum tokens of the request.
            slots: Maximum concurrent requests of the engine.
        """
        if self.loading or self.layers is None:
            return True
        if not self.layers.covers(layers) or self.running >= slots:
            return True
        return self.used + tokens * len(layers) > self.total
