"""What headers say, free of the names that a platform gives them."""

import dataclasses

from dotterelgrade_routing import chain_choice


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestFacts:
    """What a caller says of its request.

    Attributes:
        request_id: Identifier of this attempt of the caller.
        patience_s: How long the caller will wait, s, or None.
        api_key: Bearer key, or empty.
        prompt_tokens: Tokens of the prompt.
        most_answer_tokens: Most tokens of the answer.
        expected_answer_tokens: The caller's estimate, or None.
        last_event_id: The event after which a stream goes on, or empty.
    """

    request_id: str
    patience_s: float | None
    api_key: str
    prompt_tokens: float
    most_answer_tokens: float
    expected_answer_tokens: float | None
    last_event_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardingOrders:
    """What the front adds to a forwarded request.

    Attributes:
        time_left_s: Time after which nobody waits for the answer, s.
        instance_id: The only backend server that may run it, or empty.
        workspace: The caller's workspace, or empty.
        priority: 0 is the most urgent.
        stages: The chain; empty for plain services.
        resume_after: Identifier of the last event that was passed on.
    """

    time_left_s: float
    instance_id: str
    workspace: str
    priority: int
    stages: tuple[chain_choice.Stage, ...] = ()
    resume_after: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerFacts:
    """What a backend server says of its answer.

    Attributes:
        request_id: The request that it answers, or empty.
        sealed: Whether the backend server vouches for the answer.
        not_run: Whether it states that the request has not run.
        misdirected: Whether another one has its address or its layers.
        culprit: Address of the backend server at fault, or empty.
        leaving: Whether the backend server says that it leaves.
        retry_after: How long a full backend server wants nothing, as it wrote
            it, or empty.
    """

    request_id: str
    sealed: bool
    not_run: bool
    misdirected: bool
    culprit: str
    leaving: bool = False
    retry_after: str = ""
