"""Settings of a front."""

import dataclasses

from dotterelgrade import addresses
from dotterelgrade import listen_limits
from dotterelgrade import quarantine_policies
from dotterelgrade_front import client_bounds
from dotterelgrade_routing import admission_policies
from dotterelgrade_routing import leadership
from dotterelgrade_routing import placement_policies
from dotterelgrade_routing import relay_encoding as relay_encoding_lib
from dotterelgrade_routing import return_forecast
from dotterelgrade_routing import silence_bounds
from dotterelgrade_routing import spillover as spillover_lib

DEFAULT_METRICS_PORT = 9464
_DESCRIPTORS_PER_HANDSHAKE = 8
# A change of these needs a restart.
_IDENTITY = (
    "node",
    "host",
    "failure_domain",
    "callers_address",
    "ready_address",
    "peer_port",
    "metrics_port",
    "store_address",
    "listen",
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class FrontSettings:
    """Addresses, resources and limits of a front.

    Attributes:
        node: Name of the host.
        host: IP address of the host.
        failure_domain: Failure domain of the host.
        callers_address: `IP:PORT` for clients.
        ready_address: `IP:PORT` for the load balancer's readiness checks.
        peer_port: TCP port for the other fronts.
        metrics_port: TCP port for metrics and the state dump.
        store_address: `IP:PORT` of the platform's store.
        most_connections: Maximum number of open file descriptors.
        cores: CPU limit of the process, cores.
        link_bits_per_s: Bandwidth of the host's link, bit/s.
        memory_bytes: Memory limit of the process, bytes.
        grace_s: Time between SIGTERM and SIGKILL, s.
        retry_ratio: Retry budget per request, over all fronts.
        retry_slack: Additional retries per window, over all fronts.
        retry_window_s: Length of the retry budget's window, s.
        placement: Name of the placement policy.
        silence_bound: How long a queried stage may stay silent.
        relay_encoding: How the planner encodes records for the other fronts.
        quarantine: When requests are refused for crashes under others.
        admission: Name of the policy for requests of different urgency.
        retry_after: How the retry time of a refused request is computed.
        spillover: When requests leave the failure domain.
        clients: What clients may take up.
        listen: Limits of each of the sockets for readiness checks, metrics
            and peers; a change needs a restart.
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
    memory_bytes: float = 256e6
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 100.0
    retry_window_s: float = 10.0
    placement: str = "balanced"
    silence_bound: str = "observed"
    relay_encoding: str = "delta"
    quarantine: str = "share"
    admission: str = "priority"
    retry_after: str = "forecast"
    spillover: str = "fixed"
    clients: client_bounds.ClientBounds = client_bounds.ClientBounds()
    listen: listen_limits.ListenLimits = dataclasses.field(
        default_factory=listen_limits.ListenLimits
    )

    def __post_init__(self) -> None:
        """Validates the names of policies, the addresses and the numbers."""
        placement_policies.POLICIES.make(self.placement)
        relay_encoding_lib.ENCODINGS.make(self.relay_encoding)
        silence_bounds.BOUNDS.make(self.silence_bound)
        quarantine_policies.POLICIES.make(self.quarantine)
        admission_policies.POLICIES.make(self.admission)
        return_forecast.POLICIES.make(self.retry_after)
        spillover_lib.POLICIES.make(self.spillover)
        for address in (self.callers_address, self.ready_address):
            addresses.validate(address)
        self._check_numbers()

    def _check_numbers(self) -> None:
        positive = {
            "grace_s": self.grace_s,
            "retry_window_s": self.retry_window_s,
            "cores": self.cores,
            "link_bits_per_s": self.link_bits_per_s,
            "memory_bytes": self.memory_bytes,
        }
        for name, value in positive.items():
            if not 0 < value < float("inf"):
                raise ValueError(f"{name} must be positive, got {value}")
        for name, value in (
            ("retry_ratio", self.retry_ratio),
            ("retry_slack", self.retry_slack),
        ):
            if not 0 <= value < float("inf"):
                raise ValueError(f"{name} must not be negative, got {value}")

    def with_identity_of(self, running: "FrontSettings") -> "FrontSettings":
        """Returns these settings with the names and addresses of others.

        Args:
            running: Settings by which the process listens and is known.
        """
        return dataclasses.replace(
            self, **{name: getattr(running, name) for name in _IDENTITY}
        )

    @property
    def peer_limits(self) -> listen_limits.ListenLimits:
        """Limits of the socket for other fronts.

        All fronts of a large deployment dial a new planner at the same time,
        and a planner's host has many descriptors.
        """
        handshakes = self.most_connections // _DESCRIPTORS_PER_HANDSHAKE
        return dataclasses.replace(
            self.listen, handshakes=max(self.listen.handshakes, handshakes)
        )

    @property
    def strong(self) -> bool:
        """Whether the host has enough CPU and bandwidth to run a planner."""
        return leadership.is_strong(
            cores=self.cores, link_bits_per_s=self.link_bits_per_s
        )

    @property
    def peer_address(self) -> str:
        """`IP:PORT` at which other fronts reach this one."""
        return f"{self.host}:{self.peer_port}"
