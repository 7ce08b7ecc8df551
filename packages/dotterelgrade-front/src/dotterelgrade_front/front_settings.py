"""Settings of a front."""

import dataclasses

from dotterelgrade_routing import leadership
from dotterelgrade_routing import placement_policies

DEFAULT_METRICS_PORT = 9464


@dataclasses.dataclass(frozen=True, kw_only=True)
class FrontSettings:
    """Where a front runs and what bounds hold for it.

    Attributes:
        node: Name of the host.
        host: Own IP number.
        failure_domain: Own failure domain.
        callers_address: `IP:PORT` for callers.
        ready_address: `IP:PORT` for the balancer's readiness checks.
        peer_port: TCP port for the other fronts.
        metrics_port: TCP port for metrics and the state dump.
        store_address: `IP:PORT` of the platform's store.
        most_connections: File descriptors of the process.
        cores: Processor time that it may use, s for each second.
        link_bits_per_s: Bandwidth of the host's link, bit/s.
        grace_s: Time between SIGTERM and SIGKILL, s.
        retry_ratio: Retries for each request, over all fronts.
        retry_slack: Retries beside these in each window, over all fronts.
        retry_window_s: Length of that window, s.
        placement: Name of the placement policy.
    """

    node: str
    host: str
    failure_domain: str
    callers_address: str
    ready_address: str
    peer_port: int
    metrics_port: int = DEFAULT_METRICS_PORT
    store_address: str
    most_connections: int = 1024
    cores: float = 1.0
    link_bits_per_s: float = 1e9
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    retry_window_s: float = 10.0
    placement: str = "balanced"

    def __post_init__(self) -> None:
        """Checks what the types can't express."""
        placement_policies.make_policy(self.placement)
        for address in (self.callers_address, self.ready_address):
            host, _, port = address.rpartition(":")
            if not host or not port.isdigit():
                raise ValueError(f"expected IP:PORT, got {address!r}")

    @property
    def strong(self) -> bool:
        """Whether the host is strong enough for a planner."""
        return leadership.is_strong(
            cores=self.cores, link_bits_per_s=self.link_bits_per_s
        )

    @property
    def peer_address(self) -> str:
        """`IP:PORT` at which other fronts reach this one."""
        return f"{self.host}:{self.peer_port}"
