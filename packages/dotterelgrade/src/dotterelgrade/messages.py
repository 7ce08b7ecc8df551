"""Frames exchanged between entries, agents and operators.

Durations are milliseconds relative to receipt, since clocks of different
hosts differ; see `frame_codec` for the encoding.
"""

import dataclasses
import enum

from dotterelgrade import bounded
from dotterelgrade import errors
from dotterelgrade import frame_codec


class ProcessState(enum.StrEnum):
    """Life cycle state that a process reports to its peers."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@frame_codec.frozen
class BackendReport:
    """The load of one backend server.

    Attributes:
        backend: Name of the backend server, unique on its agent.
        kind: "engine" or "service".
        model: Model whose layers it holds; empty if it holds none.
        version: Version of the model.
        first_layer: First layer held.
        last_layer: Last layer held, inclusive.
        accelerator: Accelerator kind.
        sequences: Number of admitted, unfinished sequences.
        queued_tokens: Number of tokens waiting for a step.
        slots_free: Number of sequences that can still be admitted.
        step_ms: Smoothed duration of an engine step; 0 if unknown.
        sequence_ms: Share of `step_ms` that each sequence in a step adds; 0 if
            unknown.
        token_ms: Smoothed engine time per prompt token; 0 if unknown.
        service: Name of the plain service; empty for an engine.
        cached_prefixes: Digests of prompt prefixes in the engine's cache.
        healthy: Whether the backend server responds.
    """

    backend: str
    kind: str
    model: str = ""
    version: str = ""
    first_layer: int = 0
    last_layer: int = -1
    accelerator: str = ""
    sequences: int = 0
    queued_tokens: int = 0
    slots_free: int = 0
    step_ms: bounded.DurationMs = 0.0
    sequence_ms: bounded.DurationMs = 0.0
    token_ms: bounded.DurationMs = 0.0
    service: str = ""
    cached_prefixes: tuple[int, ...] = ()
    healthy: bool = True


@frame_codec.frame
@frame_codec.frozen
class Report:
    """A heartbeat with the load of every backend server of an agent.

    Attributes:
        state: Life cycle state of the sender.
        contract_offset: Log offset up to which the contract has been applied.
        backends: One report per backend server.
        links: Smoothed round-trip times to other agents, by "host:port", ms.
    """

    state: ProcessState
    contract_offset: int
    backends: tuple[BackendReport, ...] = ()
    links: dict[str, bounded.DurationMs] = dataclasses.field(
        default_factory=dict
    )


@frame_codec.frame
@frame_codec.frozen
class Ping:
    """Asks for a `Pong` with the same sequence number."""

    sequence: int


@frame_codec.frame
@frame_codec.frozen
class Pong:
    """Answers a `Ping`."""

    sequence: int


@frame_codec.frozen
class Hop:
    """Destination of a stage's outputs: a backend server at the next agent."""

    host: str
    port: int
    backend: str


@frame_codec.frame
@frame_codec.frozen
class Admit:
    """Asks an agent to reserve a slot for one stage of a request.

    Attributes:
        request_id: Identifier of the request.
        attempt: Fencing number; frames with a lower one are dropped.
        stage: Index of the stage in the chain.
        backend: Backend server that is to run the stage.
        model: Model name.
        first_layer: First layer the stage runs.
        last_layer: Last layer the stage runs, inclusive.
        next_hop: The next stage, or None when outputs are tokens for the
            entry.
        workspace: Workspace of the caller.
        priority: Scheduling priority; lower numbers run first.
        deadline_ms: Time left until the first-token latency bound.
        prompt_tokens: Length of the prompt.
        max_tokens: Maximum number of tokens to generate.
        mute_before: Outputs of steps that start below this position are not
            forwarded, since the later stages have already run them.
    """

    request_id: str
    attempt: int
    stage: int
    backend: str
    model: str
    first_layer: int
    last_layer: int
    next_hop: Hop | None
    workspace: str
    priority: int
    deadline_ms: bounded.SignedNumber
    prompt_tokens: int
    max_tokens: int
    mute_before: int = 0


@frame_codec.frame
@frame_codec.frozen
class Admitted:
    """The slot is reserved; nothing has run.

    Attributes:
        request_id: Identifier of the request.
        attempt: The attempt admitted.
        stage: Index of the stage.
        report: The load of the backend server after the reservation.
    """

    request_id: str
    attempt: int
    stage: int
    report: BackendReport


@frame_codec.frame
@frame_codec.frozen
class Refused:
    """The stage was not admitted and nothing of it ran or will run."""

    request_id: str
    attempt: int
    stage: int
    kind: errors.ErrorKind
    message: str
    retry_after_ms: bounded.DurationMs = 0.0
    report: BackendReport | None = None


@frame_codec.frame
@frame_codec.frozen
class Rewire:
    """Moves a surviving stage to a higher attempt after a stage was replaced.

    The agent keeps its cache, adopts the attempt and the next hop, and replies
    with `Rewired`, or with `Refused` if it does not hold the sequence.
    """

    request_id: str
    attempt: int
    stage: int
    next_hop: Hop | None
    mute_before: int


@frame_codec.frame
@frame_codec.frozen
class Rewired:
    """Answers `Rewire`.

    Attributes:
        request_id: Identifier of the request.
        attempt: The adopted attempt.
        stage: Index of the stage.
        next_position: The first position that the stage has not run.
        replayable: Whether every output since position 0 is buffered.
    """

    request_id: str
    attempt: int
    stage: int
    next_position: int
    replayable: bool


@frame_codec.frame
@frame_codec.frozen
class Replay:
    """Asks a stage to resend its buffered outputs to its next hop."""

    request_id: str
    attempt: int


@frame_codec.frozen
class Step:
    """Inputs to one stage for consecutive positions.

    Attributes:
        request_id: Identifier of the request.
        attempt: The sender's attempt.
        stage: Index of the receiving stage.
        position: Position of the first input.
        inputs: One value per position: tokens for the first stage, outputs of
            the previous stage for the others.
    """

    request_id: str
    attempt: int
    stage: int
    position: int
    inputs: tuple[int, ...]


@frame_codec.frame
@frame_codec.frozen
class Steps:
    """A batch of steps sent to the next agent."""

    steps: tuple[Step, ...]


@frame_codec.frozen
class Token:
    """A token sampled by the last stage, at its position in the sequence."""

    request_id: str
    attempt: int
    position: int
    token: int


@frame_codec.frame
@frame_codec.frozen
class Tokens:
    """A batch of tokens for one entry."""

    tokens: tuple[Token, ...]


@frame_codec.frame
@frame_codec.frozen
class StageFailed:
    """Reports that a stage cannot continue a request.

    Attributes:
        request_id: Identifier of the request.
        attempt: The attempt that failed.
        stage: Index of the stage to replace.
        kind: What failed.
        message: One sentence for the journal.
    """

    request_id: str
    attempt: int
    stage: int
    kind: errors.ErrorKind
    message: str


@frame_codec.frame
@frame_codec.frozen
class Release:
    """Ends a request at an agent: finished, cancelled or abandoned."""

    request_id: str
    attempt: int
    cancelled: bool = False


@frame_codec.frame
@frame_codec.frozen
class Call:
    """A call to a plain service.

    Attributes:
        request_id: Identifier of the request.
        backend: Backend server that is to run it.
        service: Name of the service.
        workspace: Workspace of the caller.
        method: HTTP method.
        path: Path below the service, with its query string.
        headers: Request headers to forward.
        body: Request body.
        key: Idempotency key (UUIDv7) or empty.
        digest: SHA-256 over workspace, service, method, path and body.
        deadline_ms: Time left until the response is due.
    """

    request_id: str
    backend: str
    service: str
    workspace: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    key: str
    digest: str
    deadline_ms: float


@frame_codec.frame
@frame_codec.frozen
class CallReply:
    """The complete response of a plain service.

    Attributes:
        request_id: Identifier of the request.
        status: HTTP status.
        headers: Response headers to forward.
        body: Response body.
        repeated: Whether it is the recorded outcome of an earlier call.
        backend: Backend server that the call was for; empty from agents of
            earlier builds.
    """

    request_id: str
    status: int
    headers: dict[str, str]
    body: bytes
    repeated: bool = False
    backend: str = ""


@frame_codec.frame
@frame_codec.frozen
class CallFailed:
    """Reports that a call to a plain service got no response.

    Attributes:
        request_id: Identifier of the request.
        kind: What failed.
        message: One sentence for the caller.
        run: Whether the call was run.
        retry_after_ms: Delay before a retry; 0 if unknown.
        backend: Backend server that the call was for; empty from agents of
            earlier builds.
    """

    request_id: str
    kind: errors.ErrorKind
    message: str
    run: errors.RunState
    retry_after_ms: bounded.DurationMs = 0.0
    backend: str = ""


@frame_codec.frame
@frame_codec.frozen
class RecordsWanted:
    """Asks a peer for contract records after an offset, during a log outage."""

    after_offset: int


@frame_codec.frozen
class RelayedRecord:
    """One record of the contract stream with its offset in the log."""

    offset: int
    body: bytes


@frame_codec.frame
@frame_codec.frozen
class Records:
    """Contract records in order, relayed from peer to peer.

    Attributes:
        records: Records after the requested offset. If the sender no longer
            keeps them, a snapshot, whose offset is the one it covers.
        covers: Offset up to which the sender holds the contract.
    """

    records: tuple[RelayedRecord, ...]
    covers: int
