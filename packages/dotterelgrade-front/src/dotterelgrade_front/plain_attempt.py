"""One attempt to serve a plain call at one backend server."""

from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import logging
import time

from returns import result

from dotterelgrade import http_connection
from dotterelgrade import http_message
from dotterelgrade import suspect_state
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import client_connection
from dotterelgrade_front import front_state
from dotterelgrade_front import response_body
from dotterelgrade_front import upstream
from dotterelgrade_routing import attempt
from dotterelgrade_routing import backend_server

_LOG = logging.getLogger(__name__)

_REDIRECTION = 300
_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlainResponse:
    """A response of a backend server.

    Attributes:
        head: Status and end-to-end headers.
        body: The body; of a large one only the start has been read.
    """

    head: http_message.ResponseHead
    body: response_body.ResponseBody

    @property
    def is_server_error(self) -> bool:
        """Whether the status is 5xx."""
        return self.head.status >= _SERVER_ERROR


AttemptResult = result.Result[
    PlainResponse,
    upstream.AttemptFailedError | client_connection.CallerDisconnectedError,
]


class PlainAttempt:
    """An attempt, from its connection to a response that can be passed on.

    It holds the connection and the memory of the response until it is closed.
    """

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        client: client_connection.ClientConnection,
        call: call_lib.Call,
        server: backend_server.BackendServer,
    ) -> None:
        """Initializes an attempt that starts now.

        Args:
            state: Shared by the front's greenlets.
            client: The connection to the caller.
            call: The call.
            server: The backend server.
        """
        self._state = state
        self._client = client
        self._call = call
        self._server = server
        self._started_at = time.monotonic()
        self._resources = contextlib.ExitStack()

    def __repr__(self) -> str:
        """Shows the backend server and the age."""
        return f"<PlainAttempt {self.server_id} for {self.age_s:.2f} s>"

    @property
    def server_id(self) -> str:
        """ID of the backend server."""
        return self._server.id

    @property
    def server_process(self) -> suspect_state.ServerProcess:
        """The backend server, as it was listed at the start."""
        return suspect_state.ServerProcess(
            server_id=self._server.id, started_ms=self._server.started_ms
        )

    @property
    def started_at(self) -> float:
        """Monotonic time of the start, s."""
        return self._started_at

    @property
    def age_s(self) -> float:
        """Time since the start, s."""
        return time.monotonic() - self._started_at

    def run(self) -> AttemptResult:
        """Sends the call and waits for the response until the deadline.

        Of a response that is too large to be held, only the start is awaited.
        """
        try:
            return result.Success(self._exchange())
        except http_connection.ResponseTimeoutError as error:
            self._note_duration()
            self._state.note_timeout(self.server_id)
            return result.Failure(
                upstream.AttemptFailedError(
                    attempt.ExecutionStatus.UNKNOWN, str(error)
                )
            )
        except (
            upstream.AttemptFailedError,
            client_connection.CallerDisconnectedError,
        ) as error:
            return result.Failure(error)
        except Exception:
            # An attempt beside this one may still be answered.
            _LOG.exception(
                "attempt failed", extra={"request_id": self._call.request_id}
            )
            return result.Failure(self._fault())

    @contextlib.contextmanager
    def adopted(self) -> Iterator[None]:
        """Holds the connection for the rest of the response until exit.

        Raises:
            upstream.AttemptFailedError: The rest could not be read.
        """
        with self._resources:
            yield

    def close(self) -> None:
        """Closes the connection and releases the memory of the response."""
        self._resources.close()

    def _fault(self) -> upstream.AttemptFailedError:
        """Returns the failure by a fault of the front; no server is blamed."""
        execution = attempt.ExecutionStatus.NEVER_SENT
        if self.server_id in self._call.sent_to:
            execution = attempt.ExecutionStatus.UNKNOWN
        return upstream.AttemptFailedError(execution, "fault in the front")

    def _exchange(self) -> PlainResponse:
        call = self._call
        with contextlib.ExitStack() as resources:
            crossing = resources.enter_context(
                self._state.spillover.crossing(
                    call.service.name, self._server.failure_domain
                )
            )
            connection = resources.enter_context(self._sent())
            crossing.note_connected()
            head = self._read_head(connection)
            crossing.note_answered()
            if head.status < _SERVER_ERROR:
                self._note_duration()
            body = response_body.ResponseBody(
                connection,
                head=head,
                account=resources.enter_context(self._state.memory.open()),
                deadline=call.deadline,
            )
            body.read_start()
            if body.whole:
                connection.close()
            self._resources = resources.pop_all()
        return PlainResponse(head=head.end_to_end(), body=body)

    def _note_duration(self) -> None:
        """Records how long the server took; a time-out shows a queue, too."""
        self._state.spillover.note_answer(
            self._call.service.name, self._server.failure_domain, self.age_s
        )

    def _sent(
        self,
    ) -> contextlib.AbstractContextManager[http_connection.HttpConnection]:
        return upstream.send(
            self._call,
            upstream.Target(
                server_id=self.server_id, address=self._server.address
            ),
            headers=self._state.platform.headers,
            check_caller=self._client.raise_if_disconnected,
        )

    def _read_head(
        self, connection: http_connection.HttpConnection
    ) -> http_message.ResponseHead:
        state, call = self._state, self._call
        head, facts = upstream.read_response_head(
            call,
            connection,
            headers=state.platform.headers,
            deadline=call.deadline,
            on_response=functools.partial(
                state.notices.note_response, self._server
            ),
        )
        if not facts.sealed and head.status < _REDIRECTION:
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.UNKNOWN, "unsealed response"
            )
        return head
