"""Defines all error kinds and the HTTP response to each."""

from collections.abc import Mapping
import dataclasses
import enum
import http
from typing import Any


class RunState(enum.StrEnum):
    """Whether a call was run, as far as is known."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ErrorKind(enum.StrEnum):
    """All kinds of errors that the processes report."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not_found"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TOO_LARGE = "head_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    OVER_BOUND = "over_bound"
    NO_CAPACITY = "no_capacity"
    NO_MEMORY = "no_memory"
    QUARANTINED = "quarantined"
    LEAVING = "leaving"
    NOT_READY = "not_ready"
    LOG_UNAVAILABLE = "log_unavailable"
    KEY_INVALID = "key_invalid"
    KEY_TOO_OLD = "key_too_old"
    KEY_REUSED = "key_reused"
    CLAIM_UNRESOLVED = "claim_unresolved"
    OUTCOME_UNKNOWN = "outcome_unknown"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    INTERRUPTED = "interrupted"
    CALLER_GONE = "caller_gone"
    CONTRACT_INVALID = "contract_invalid"
    CONTRACT_CONFLICT = "contract_conflict"
    SETTINGS_INVALID = "settings_invalid"
    FRAME_INVALID = "frame_invalid"
    PEER_UNAUTHENTICATED = "peer_unauthenticated"
    PEER_UNREACHABLE = "peer_unreachable"
    RECORD_INVALID = "record_invalid"
    RECORD_EXPIRED = "record_expired"
    ENGINE_FAILED = "engine_failed"
    ENGINE_REFUSED = "engine_refused"
    INTERNAL = "internal"
    INTERNAL_NOT_RUN = "internal_not_run"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ErrorResponse:
    """The response to the caller for an error kind.

    Attributes:
        status: HTTP status code.
        run: Whether the call was run.
        retryable: Whether the same call may succeed later.
    """

    status: http.HTTPStatus
    run: RunState
    retryable: bool = False


def _not_run(status: int, *, retryable: bool = False) -> ErrorResponse:
    return ErrorResponse(
        status=http.HTTPStatus(status),
        run=RunState.NOT_RUN,
        retryable=retryable,
    )


def _unknown(status: int) -> ErrorResponse:
    return ErrorResponse(status=http.HTTPStatus(status), run=RunState.UNKNOWN)


RESPONSES: Mapping[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: _not_run(400),
    ErrorKind.UNAUTHORIZED: _not_run(401),
    ErrorKind.NOT_FOUND: _not_run(404),
    ErrorKind.UNKNOWN_MODEL: _not_run(404),
    ErrorKind.UNKNOWN_SERVICE: _not_run(404),
    ErrorKind.METHOD_NOT_ALLOWED: _not_run(405),
    ErrorKind.BODY_TOO_LARGE: _not_run(413),
    ErrorKind.HEAD_TOO_LARGE: _not_run(431),
    ErrorKind.REQUEST_TIMEOUT: _not_run(408),
    ErrorKind.RATE_LIMITED: _not_run(429, retryable=True),
    ErrorKind.CONCURRENCY_LIMITED: _not_run(429, retryable=True),
    ErrorKind.OVER_BOUND: _not_run(503, retryable=True),
    ErrorKind.NO_CAPACITY: _not_run(503, retryable=True),
    ErrorKind.NO_MEMORY: _not_run(503, retryable=True),
    ErrorKind.QUARANTINED: _not_run(503, retryable=True),
    ErrorKind.LEAVING: _not_run(503, retryable=True),
    ErrorKind.NOT_READY: _not_run(503, retryable=True),
    ErrorKind.LOG_UNAVAILABLE: _not_run(503, retryable=True),
    ErrorKind.KEY_INVALID: _not_run(400),
    # The key most likely belongs to a retry, and the first call may have run.
    ErrorKind.KEY_TOO_OLD: _unknown(409),
    ErrorKind.KEY_REUSED: _not_run(422),
    ErrorKind.CLAIM_UNRESOLVED: _unknown(409),
    ErrorKind.OUTCOME_UNKNOWN: _unknown(502),
    ErrorKind.DEADLINE_EXCEEDED: _unknown(504),
    ErrorKind.INTERRUPTED: _unknown(502),
    ErrorKind.CALLER_GONE: _unknown(408),
    ErrorKind.CONTRACT_INVALID: _not_run(400),
    ErrorKind.CONTRACT_CONFLICT: _not_run(409),
    ErrorKind.SETTINGS_INVALID: _not_run(400),
    ErrorKind.FRAME_INVALID: _not_run(400),
    ErrorKind.PEER_UNAUTHENTICATED: _not_run(401),
    ErrorKind.PEER_UNREACHABLE: _not_run(503, retryable=True),
    ErrorKind.RECORD_INVALID: _not_run(400),
    ErrorKind.RECORD_EXPIRED: _not_run(410),
    ErrorKind.ENGINE_FAILED: _unknown(502),
    ErrorKind.ENGINE_REFUSED: _not_run(503, retryable=True),
    ErrorKind.INTERNAL: _unknown(500),
    ErrorKind.INTERNAL_NOT_RUN: _not_run(503, retryable=True),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Error:
    """One reported error.

    Attributes:
        kind: The error kind.
        message: A human-readable sentence.
        retry_after_s: Delay before a retry in seconds, or None.
        run: Overrides the run state of the kind, or None.
    """

    kind: ErrorKind
    message: str
    retry_after_s: float | None = None
    run: RunState | None = None

    @property
    def response(self) -> ErrorResponse:
        """The response for the kind."""
        return RESPONSES[self.kind]

    @property
    def run_state(self) -> RunState:
        """Whether the call was run, as reported to the caller."""
        return self.run or self.response.run

    def as_body(self, *, request_id: str) -> dict[str, Any]:
        """Returns the JSON body of the response.

        Args:
            request_id: Identifier of the failed request.
        """
        return {
            "error": {
                "kind": self.kind.value,
                "message": self.message,
                "run": self.run_state.value,
                "request_id": request_id,
                "retry_after_s": self.retry_after_s,
            }
        }


class DotterelgradeError(Exception):
    """Raises an `Error` where it can't be returned as a value."""

    def __init__(self, error: Error) -> None:
        """Initializes the exception.

        Args:
            error: The error to wrap.
        """
        super().__init__(f"{error.kind}: {error.message}")
        self._error = error

    @property
    def error(self) -> Error:
        """The wrapped error."""
        return self._error


def new_exception(kind: ErrorKind, message: str) -> DotterelgradeError:
    """Returns an exception for an error of the given kind."""
    return DotterelgradeError(Error(kind=kind, message=message))
