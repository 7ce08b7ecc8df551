"""Settings of the agent."""

import dataclasses
import enum

from dotterelgrade import settings as settings_lib


class BackendKind(enum.StrEnum):
    """The kinds of backend servers."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendSettings:
    """One backend server of the agent's host.

    Attributes:
        name: Name, unique on the agent.
        kind: "engine" or "service".
        url: Base URL of its HTTP interface.
        service: Name of the plain service; empty for an engine.
        accelerator: Accelerator kind; empty takes what the engine says.
        max_sequences: The most sequences admitted at once; an engine that
            holds fewer lowers it.
        max_calls: The most calls that a plain service runs at once.
        prefill_tokens: The most prompt tokens in one batch.
        prefill_stretch: How much longer prompt tokens may make a batch in
            which other sequences wait for their next token, as a share of its
            duration without them.
        timeout_s: Time limit of one batch or order, s.
        status_poll_s: Interval between two looks at it, s.
        buffer_values: Outputs kept per sequence for a replay.
    """

    name: str
    kind: str
    url: str
    service: str = ""
    accelerator: str = ""
    max_sequences: int = 64
    max_calls: int = 64
    prefill_tokens: int = 512
    prefill_stretch: float = 0.12
    timeout_s: float = 10.0
    status_poll_s: float = 0.5
    buffer_values: int = 32_768

    def __post_init__(self) -> None:
        """Checks what the types can't express."""
        if not self.name:
            raise ValueError("name: expected a name")
        if self.kind not in set(BackendKind):
            raise ValueError('kind: expected "engine" or "service"')
        if (self.kind == BackendKind.SERVICE) != bool(self.service):
            raise ValueError("service: expected for a service, and only there")
        settings_lib.check_url(self.url, name="url")
        _check_positive(
            self,
            "max_sequences",
            "max_calls",
            "prefill_tokens",
            "prefill_stretch",
            "timeout_s",
            "status_poll_s",
            "buffer_values",
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimSettings:
    """Limits for calls that carry an idempotency key.

    Attributes:
        window_s: Age at which a key is refused, s; well inside the retention
            of the log.
        clock_skew_s: The most that two clocks of the fleet differ, s.
        append_timeout_s: Longest wait for a claim to be read back, s.
        resolve_wait_s: Longest wait for the outcome of another's claim, s.
        max_outcome_bytes: Largest response body that is recorded.
    """

    window_s: float = 3_600.0
    clock_skew_s: float = 60.0
    append_timeout_s: float = 2.0
    resolve_wait_s: float = 1.0
    max_outcome_bytes: int = 65_536

    def __post_init__(self) -> None:
        """Checks what the types can't express."""
        _check_positive(
            self,
            "window_s",
            "clock_skew_s",
            "append_timeout_s",
            "resolve_wait_s",
            "max_outcome_bytes",
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentSettings:
    """Everything an agent is told at its start.

    Attributes:
        process: Where the agent runs.
        platform: Addresses of the platform's services.
        backends: The backend servers of the host.
        claims: Limits for keyed calls.
        report_busy_s: Shortest interval of reports while sequences run, s.
        report_bytes_per_s: Bytes of reports to all entries that stretch that
            interval, 1/s.
        report_idle_s: Longest interval of reports while idle, s.
        hosts_poll_s: Shortest interval between two looks at the host list, s.
        orphan_grace_s: Time that an entry has to come back before its
            sequences are cancelled, s.
        takeover_rank_s: Wait per rank before a vacant layer range is taken, s.
        takeover_settle_s: Time that a shortage must last before anybody acts,
            s.
        takeover_timeout_s: Longest wait for a take-over to be read back, s.
        load_timeout_s: Time limit of a load, s.
        placement_renew_s: Interval at which what is held is said again, well
            inside the retention of the log, s.
        host_grace_s: Time that a new host has to show in the host list, s.
        drain_timeout_s: Time for work in flight when the agent leaves, s.
        repairs: Whether an idle engine may take a vacant layer range.
    """

    process: settings_lib.ProcessSettings
    platform: settings_lib.PlatformSettings
    backends: tuple[BackendSettings, ...]
    claims: ClaimSettings = dataclasses.field(default_factory=ClaimSettings)
    report_busy_s: float = 0.2
    report_bytes_per_s: float = 2_048.0
    report_idle_s: float = 2.0
    hosts_poll_s: float = 1.0
    orphan_grace_s: float = 3.0
    takeover_rank_s: float = 0.5
    takeover_settle_s: float = 2.0
    takeover_timeout_s: float = 2.0
    load_timeout_s: float = 120.0
    placement_renew_s: float = 600.0
    host_grace_s: float = 10.0
    drain_timeout_s: float = 600.0
    repairs: bool = True

    def __post_init__(self) -> None:
        """Checks what the types can't express."""
        names = [backend.name for backend in self.backends]
        if not names:
            raise ValueError("backends: expected at least one")
        if len(set(names)) != len(names):
            raise ValueError("backends: names are not unique")
        _check_positive(
            self,
            "report_busy_s",
            "report_bytes_per_s",
            "report_idle_s",
            "hosts_poll_s",
            "orphan_grace_s",
            "takeover_rank_s",
            "takeover_settle_s",
            "takeover_timeout_s",
            "load_timeout_s",
            "placement_renew_s",
            "host_grace_s",
            "drain_timeout_s",
        )


def _check_positive(settings: object, *names: str) -> None:
    for name in names:
        if getattr(settings, name) <= 0:
            raise ValueError(f"{name}: expected a positive number")
