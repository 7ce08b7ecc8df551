"""What is known of one backend server."""

import dataclasses
import enum

from dotterelgrade_routing import layer_range


class Availability(enum.Enum):
    """What a backend server says of itself in the list."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendServer:
    """The entry of a backend server in the platform's list.

    Attributes:
        id: Identifier of the incarnation; a restart may keep it.
        service: Name of its service.
        address: `IP:PORT`.
        failure_domain: Where it runs.
        availability: Whether it takes new work.
        slots: Requests that it works on at once.
        accelerator: Kind of accelerator; empty for plain services.
        layers: Layers that it holds, or None.
        orders: Orders that it has accepted since its start.
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
        """Whether it takes new work."""
        return self.availability is Availability.READY

    def as_leaving(self) -> "BackendServer":
        """Returns the entry of one that takes no new work any more."""
        return dataclasses.replace(self, availability=Availability.LEAVING)

    @property
    def incarnation(self) -> tuple[str, int]:
        """Tells one start of the process from the next."""
        return (self.id, self.started_ms)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineReport:
    """What an engine answers when it is asked for its state.

    Attributes:
        layers: Layers that it holds, or None.
        accelerator: Kind of accelerator.
        loading: Whether an order is in progress.
        orders: Orders that it has accepted since its start.
        started_ms: Start of the process, ms since the epoch.
        waiting: Requests in its queue.
        running: Requests that it works on.
        used: Memory that requests hold, tokens times layers.
        total: Memory for requests, tokens times layers.
        slowness: Duration of its work relative to the usual one.
        stalled: Addresses of backend servers that block its requests, by the
            identifier of the request.
        leaving: Whether it says that it leaves.
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
        """Returns whether a request may be refused for want of anything.

        Args:
            layers: The layers that the request needs here.
            tokens: Tokens that it holds at most.
            slots: Requests that the engine works on at once.
        """
        if self.loading or self.layers is None:
            return True
        if not self.layers.covers(layers) or self.running >= slots:
            return True
        return self.used + tokens * len(layers) > self.total
