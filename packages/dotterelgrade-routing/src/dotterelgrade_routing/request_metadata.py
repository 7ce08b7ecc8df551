"""Contents of headers, independent of a platform's header names."""

import dataclasses

from dotterelgrade_routing import chain_choice


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestMetadata:
    """Metadata of a request, as its caller states it.

    Attributes:
        request_id: Identifier of this attempt of the caller.
        caller_timeout_s: Timeout of the caller, s, or None.
        api_key: Bearer token, or empty.
        prompt_tokens: Tokens of the prompt.
        max_answer_tokens: Maximum tokens of the answer.
        expected_answer_tokens: The caller's estimate, or None.
        last_event_id: The event after which a stream resumes, or empty.
        prompt_segments: Identifiers of the segments of the prompt, in order;
            requests share them, but mostly not the last one.
    """

    request_id: str
    caller_timeout_s: float | None
    api_key: str
    prompt_tokens: float
    max_answer_tokens: float
    expected_answer_tokens: float | None
    last_event_id: str
    prompt_segments: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardingMetadata:
    """Metadata that the front adds to a forwarded request.

    Attributes:
        time_left_s: Time until the caller's deadline, s.
        instance_id: The only backend server that may run it, or empty.
        workspace: The caller's workspace, or empty.
        priority: 0 is the most urgent.
        stages: The chain; empty for plain services.
        resume_after: Identifier of the last event that was forwarded.
    """

    time_left_s: float
    instance_id: str
    workspace: str
    priority: int
    stages: tuple[chain_choice.Stage, ...] = ()
    resume_after: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """Metadata of a response, as the backend server states it.

    Attributes:
        request_id: The request that it answers, or empty.
        sealed: Whether the response has a valid seal of the backend server.
        not_run: Whether it states that the request has not run.
        misdirected: Whether the request reached another backend server than
            intended, or one without the layers.
        faulty_address: Address of the backend server at fault, or empty.
        leaving: Whether the backend server is shutting down.
        retry_after: `Retry-After` of a full backend server, not parsed, or
            empty.
    """

    request_id: str
    sealed: bool
    not_run: bool
    misdirected: bool
    faulty_address: str
    leaving: bool = False
    retry_after: str = ""
