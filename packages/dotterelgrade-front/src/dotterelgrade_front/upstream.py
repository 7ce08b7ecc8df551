"""One attempt to serve a call at one backend server."""

from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import http

from dotterelgrade import http_connection
from dotterelgrade import http_message
from dotterelgrade_front import call as call_lib
from dotterelgrade_routing import attempt
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import request_metadata

# Connecting within one region takes milliseconds.
CONNECT_TIMEOUT_S = 0.4
# Callers repeat a request that is not idempotent after these.
_NOT_RUN_STATUSES = frozenset(
    {
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)
_REDIRECTION = 300


class AttemptFailedError(Exception):
    """An attempt gave no response that can be passed to the caller."""

    def __init__(
        self,
        execution: attempt.ExecutionStatus,
        reason: str,
        *,
        faulty_address: str = "",
        connection_lost: bool = False,
        oversized: bool = False,
    ) -> None:
        """Initializes the exception.

        Args:
            execution: Whether the request was sent, refused or run there.
            reason: The failure, in one clause.
            faulty_address: Address of the backend server at fault, if known.
            connection_lost: Whether its connection ended, as it does when the
                backend server crashes.
            oversized: Whether its response exceeded the size limit.
        """
        super().__init__(reason)
        self._execution = execution
        self._faulty_address = faulty_address
        self._connection_lost = connection_lost
        self._oversized = oversized

    @property
    def execution(self) -> attempt.ExecutionStatus:
        """Whether the request was sent, refused or run there."""
        return self._execution

    @property
    def faulty_address(self) -> str:
        """Address of the backend server at fault, or empty."""
        return self._faulty_address

    @property
    def connection_lost(self) -> bool:
        """Whether its connection ended before the response."""
        return self._connection_lost

    @property
    def oversized(self) -> bool:
        """Whether its response exceeded the size limit."""
        return self._oversized


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """Destination of an attempt.

    Attributes:
        server_id: ID of the backend server.
        address: `IP:PORT`.
        stages: The chain; empty for plain services.
        resume_after: ID of the last event passed on, or empty.
    """

    server_id: str
    address: str
    stages: tuple[chain_choice.Stage, ...] = ()
    resume_after: str = ""


@contextlib.contextmanager
def send(
    call: call_lib.Call,
    target: Target,
    *,
    headers: platform_port.HeaderTranslator,
    check_caller: Callable[[], None],
) -> Iterator[http_connection.HttpConnection]:
    """Sends a call; closes the connection at the end of the context.

    Args:
        call: The call.
        target: The backend server to send it to.
        headers: Encodes the headers.
        check_caller: Raises an error if the caller no longer waits.

    Raises:
        AttemptFailedError: The connection failed, before or after sending.
    """
    forwarded = headers.write_request(
        http_message.end_to_end(call.request.headers),
        request_metadata.ForwardingMetadata(
            time_left_s=call.remaining_s,
            instance_id=target.server_id,
            workspace=call.workspace,
            priority=call.priority,
            stages=target.stages,
            resume_after=target.resume_after,
        ),
    )
    try:
        connection = http_connection.connect(
            target.address,
            timeout_s=max(0.0, min(CONNECT_TIMEOUT_S, call.remaining_s)),
        )
    except http_connection.ConnectError as error:
        raise AttemptFailedError(
            attempt.ExecutionStatus.NEVER_SENT,
            str(error),
            faulty_address=target.address,
        ) from error
    try:
        check_caller()
        call.sent_to.add(target.server_id)
        connection.send(
            method=call.request.method,
            target=call.request.target,
            headers=forwarded,
            body=call.request.body,
            timeout_s=call.remaining_s,
        )
        yield connection
    except http_connection.BrokenConnectionError as error:
        raise AttemptFailedError(
            attempt.ExecutionStatus.UNKNOWN,
            str(error),
            faulty_address=target.address,
            connection_lost=isinstance(
                error, http_connection.LostConnectionError
            ),
            oversized=isinstance(error, http_connection.ResponseTooLargeError),
        ) from error
    finally:
        connection.close()


def read_response_head(
    call: call_lib.Call,
    connection: http_connection.HttpConnection,
    *,
    headers: platform_port.HeaderTranslator,
    deadline: float,
    on_response: Callable[[request_metadata.ResponseMetadata], None],
) -> tuple[http_message.ResponseHead, request_metadata.ResponseMetadata]:
    """Waits for the head of the response and checks that it belongs here.

    Args:
        call: The call.
        connection: The connection on which it was sent.
        headers: Parses the headers.
        deadline: Deadline as monotonic time, s.
        on_response: Receives what the backend server reports about itself, also
            when it refuses the request, but not from a response to another one.

    Returns:
        The head and the values parsed from it.

    Raises:
        AttemptFailedError: The backend server refused the request, or the
            response is not one that the caller may have.
        http_connection.ResponseTimeoutError: No head before the deadline.
    """
    head = connection.read_head(deadline=deadline)
    facts = headers.read_answer(status=head.status, headers=head.headers)
    # The connection is new, so that a response without an ID answers the call.
    if facts.request_id and facts.request_id != call.request_id:
        raise AttemptFailedError(
            attempt.ExecutionStatus.UNKNOWN, "response to another request"
        )
    on_response(facts)
    if facts.not_run:
        raise AttemptFailedError(
            attempt.ExecutionStatus.REFUSED,
            f"status {head.status}"
            + (", misdirected" if facts.misdirected else ""),
            faulty_address=facts.faulty_address,
        )
    if head.status in _NOT_RUN_STATUSES and not call.route.idempotent:
        raise AttemptFailedError(
            attempt.ExecutionStatus.UNKNOWN,
            f"status {head.status} without saying that the request has not run",
        )
    if head.status < _REDIRECTION and _is_encoded(head):
        raise AttemptFailedError(
            attempt.ExecutionStatus.UNKNOWN, "encoded response"
        )
    return head, facts


def _is_encoded(head: http_message.ResponseHead) -> bool:
    """Returns whether the body was encoded, which no request asks for."""
    return b"content-encoding" in http_message.by_name(head.headers)
