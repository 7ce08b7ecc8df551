"""The settings of an entry process."""

import dataclasses

from dotterelgrade import settings as settings_lib

_POSITIVE = (
    "max_body_bytes",
    "max_body_memory_bytes",
    "max_answer_memory_bytes",
    "max_head_bytes",
    "min_body_rate",
    "body_rate_window_s",
    "max_connections",
    "max_prompt_tokens",
    "max_tokens",
    "default_max_tokens",
    "max_waiting",
    "header_timeout_s",
    "body_timeout_s",
    "idle_timeout_s",
    "write_timeout_s",
    "request_timeout_s",
    "call_timeout_s",
    "key_max_age_s",
    "admit_timeout_s",
    "silence_limit_s",
    "stall_limit_s",
    "give_up_s",
    "hosts_poll_s",
    "first_token_s",
    "between_tokens_s",
    "agents_per_domain",
    "candidates_per_range",
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """What an entry process needs to know at its start.

    Attributes:
        process: Where the process runs.
        platform: Addresses of the platform's services.
        http_port: TCP port for callers.
        policy: Name of the registered routing policy.
        drain_wait_s: Time for the balancer to notice that the entry leaves, s.
        drain_limit_s: Longest wait for answers in flight while leaving, s.
        max_body_bytes: Largest request body.
        max_body_memory_bytes: Bytes of all bodies and heads that are held.
        max_answer_memory_bytes: Bytes of all answers that callers have not
            read yet.
        max_head_bytes: Largest head of a request.
        min_body_rate: Least rate at which a caller sends a body, byte/s.
        body_rate_window_s: Time over which that is averaged, s.
        max_connections: Most callers' connections open at once.
        max_prompt_tokens: Longest prompt.
        max_tokens: Most tokens that one request may generate.
        default_max_tokens: Tokens generated when the caller does not say.
        max_waiting: Most requests that wait for capacity at once.
        header_timeout_s: Time limit for a caller to send its headers, s.
        body_timeout_s: Time limit for a caller to send its body, s.
        idle_timeout_s: Time an unused caller's connection stays open, s.
        write_timeout_s: Time limit for a caller to take one write, s.
        request_timeout_s: Longest duration of one model request, s.
        call_timeout_s: Longest duration of one service call, s.
        key_max_age_s: Age from which an idempotency key is refused, s.
        admit_timeout_s: Time limit for the agents to answer an admission, s.
        silence_limit_s: Silence after which an agent with work counts as
            lost, s.
        stall_limit_s: Time without a token after which a pipeline is
            examined, s; longer when the bounds are wide.
        give_up_s: Longest search for a replacement of lost stages, s.
        hosts_poll_s: Pause between two reads of the host list, s.
        first_token_s: Bound on the first token without a contract rule, s.
        between_tokens_s: The same between two tokens, s.
        agents_per_domain: Agents that the entry dials in one failure domain.
        candidates_per_range: Backend servers compared for one layer range.
        max_ejected_share: Largest share of the backend servers of one layer
            range that may be ejected at once.
    """

    process: settings_lib.ProcessSettings
    platform: settings_lib.PlatformSettings
    http_port: int = 8080
    policy: str = "predicted"
    drain_wait_s: float = 3.0
    drain_limit_s: float = 120.0
    max_body_bytes: int = 1024 * 1024
    max_body_memory_bytes: int = 32 * 1024 * 1024
    max_answer_memory_bytes: int = 64 * 1024 * 1024
    max_head_bytes: int = 16_384
    min_body_rate: int = 1_024
    body_rate_window_s: float = 5.0
    max_connections: int = 10_000
    max_prompt_tokens: int = 8_192
    max_tokens: int = 2_048
    default_max_tokens: int = 16
    max_waiting: int = 2_000
    header_timeout_s: float = 10.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    write_timeout_s: float = 10.0
    request_timeout_s: float = 120.0
    call_timeout_s: float = 10.0
    key_max_age_s: float = 3_600.0
    admit_timeout_s: float = 0.4
    silence_limit_s: float = 0.8
    stall_limit_s: float = 1.0
    give_up_s: float = 8.0
    hosts_poll_s: float = 1.0
    first_token_s: float = 5.0
    between_tokens_s: float = 1.0
    agents_per_domain: int = 64
    candidates_per_range: int = 6
    max_ejected_share: float = 0.34

    def __post_init__(self) -> None:
        """Checks what the types can't express."""
        settings_lib.check_port(self.http_port, name="http_port")
        for name in _POSITIVE:
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: expected a positive number")
        if self.drain_wait_s < 0 or self.drain_limit_s < 0:
            raise ValueError("drain_wait_s, drain_limit_s: expected 0 or more")
        if not 0 <= self.max_ejected_share < 1:
            raise ValueError("max_ejected_share: expected 0 up to below 1")
