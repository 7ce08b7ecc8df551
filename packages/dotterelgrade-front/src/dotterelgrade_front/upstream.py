"""One try of a call at one backend server."""

from collections.abc import Callable, Iterator
import contextlib
import dataclasses

from dotterelgrade import http_connection
from dotterelgrade import http_message
from dotterelgrade_front import call as call_lib
from dotterelgrade_routing import attempt
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import request_facts

# Within one region a connection takes milliseconds.
CONNECT_TIMEOUT_S = 0.4


class TryFailedError(Exception):
    """A try gave no answer for the caller."""

    def __init__(
        self, knowledge: attempt.Knowledge, reason: str, *, culprit: str = ""
    ) -> None:
        """Initializes the exception.

        Args:
            knowledge: What is known of the request at that backend server.
            reason: What happened, in one clause.
            culprit: Address of the backend server at fault, if it is known.
        """
        super().__init__(reason)
        self._knowledge = knowledge
        self._culprit = culprit

    @property
    def knowledge(self) -> attempt.Knowledge:
        """What is known of the request at that backend server."""
        return self._knowledge

    @property
    def culprit(self) -> str:
        """Address of the backend server at fault, or empty."""
        return self._culprit


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """Where a try goes.

    Attributes:
        server_id: The backend server.
        address: `IP:PORT`.
        stages: The chain; empty for plain services.
        resume_after: Last event that was passed on, or empty.
    """

    server_id: str
    address: str
    stages: tuple[chain_choice.Stage, ...] = ()
    resume_after: str = ""


@contextlib.contextmanager
def sent(
    call: call_lib.Call, target: Target, *, headers: platform_port.HeaderNames
) -> Iterator[http_connection.HttpConnection]:
    """Sends a call and closes the connection at the end of the context.

    Args:
        call: The call.
        target: Where it goes.
        headers: Writes the headers.

    Raises:
        TryFailedError: It was not sent, or it is unknown whether it was.
    """
    forwarded = headers.write_request(
        http_message.end_to_end(call.request.headers),
        request_facts.ForwardingOrders(
            time_left_s=call.left_s,
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
            timeout_s=max(0.0, min(CONNECT_TIMEOUT_S, call.left_s)),
        )
    except http_connection.ConnectError as error:
        raise TryFailedError(
            attempt.Knowledge.NEVER_SENT, str(error), culprit=target.address
        ) from error
    try:
        call.sent_to.add(target.server_id)
        connection.send(
            method=call.request.method,
            target=call.request.target,
            headers=forwarded,
            body=call.request.body,
            timeout_s=call.left_s,
        )
        yield connection
    except http_connection.BrokenConnectionError as error:
        raise TryFailedError(
            attempt.Knowledge.UNKNOWN, str(error), culprit=target.address
        ) from error
    finally:
        connection.close()


def own_answer(
    call: call_lib.Call,
    connection: http_connection.HttpConnection,
    *,
    headers: platform_port.HeaderNames,
    until: float,
    note: Callable[[request_facts.AnswerFacts], None],
) -> tuple[http_message.ResponseHead, request_facts.AnswerFacts]:
    """Waits for the head of the answer to this call.

    Args:
        call: The call.
        connection: Where it was sent.
        headers: Reads the headers.
        until: Monotonic time at which to give up, s.
        note: Takes in what the backend server says of itself, also where it
            refuses.

    Returns:
        The head with what it says.

    Raises:
        TryFailedError: The backend server refused, or answered another request.
        http_connection.AnswerTimeoutError: No head until then.
    """
    head = connection.read_head(until=until)
    facts = headers.read_answer(status=head.status, headers=head.headers)
    note(facts)
    if facts.not_run:
        raise TryFailedError(
            attempt.Knowledge.REFUSED,
            f"status {head.status}"
            + (" misdirected" if facts.misdirected else ""),
            culprit=facts.culprit,
        )
    if facts.request_id and facts.request_id != call.request_id:
        raise TryFailedError(
            attempt.Knowledge.UNKNOWN, "answer to another request"
        )
    return head, facts
