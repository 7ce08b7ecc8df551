"""One attempt to run a streamed request on a chain."""

from collections.abc import Callable, Iterator
import contextlib
import copy
import functools
import time

from dotterelgrade import http_connection
from dotterelgrade import http_message
from dotterelgrade import suspect_state
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import domain_spillover
from dotterelgrade_front import event_sequence
from dotterelgrade_front import event_stream
from dotterelgrade_front import front_state
from dotterelgrade_front import response_body
from dotterelgrade_front import upstream
from dotterelgrade_routing import attempt
from dotterelgrade_routing import chain_choice

_FIRST_ERROR_STATUS = 300
_SERVER_ERROR = 500


class StreamAttempt:
    """An attempt, from sending the request to the last event."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        call: call_lib.Call,
        chain: chain_choice.Chain,
        tokens: float,
        sequence: event_sequence.EventSequence,
    ) -> None:
        """Initializes an attempt that has not been sent.

        Args:
            state: Shared by the front's greenlets.
            call: The call.
            chain: The chain to run it on.
            tokens: Maximum tokens of the prompt and the answer.
            sequence: The events passed on so far, which it continues.
        """
        self._state = state
        self._call = call
        self._chain = chain
        self._tokens = tokens
        # Another attempt may continue the same events.
        self._sequence = copy.copy(sequence)
        self._began_at = time.monotonic()
        self._first_at_server = chain.first.server_id not in call.sent_to
        self._server_process = _listed_process(state, chain.first.server_id)
        self._sent_at = self._began_at
        self._splitter: event_stream.EventSplitter | None = None
        self._connection: http_connection.HttpConnection | None = None
        self._head: http_message.ResponseHead | None = None
        self._crossing: domain_spillover.WatchedCrossing | None = None
        self._received = 0
        self._cut_off = False

    def __repr__(self) -> str:
        """Shows the request and the first backend server."""
        return (
            f"<StreamAttempt {self._call.request_id} at "
            f"{self._chain.first.server_id}>"
        )

    @property
    def chain(self) -> chain_choice.Chain:
        """The chain that it runs on."""
        return self._chain

    @property
    def began_at(self) -> float:
        """Monotonic time at which it began, s."""
        return self._began_at

    @property
    def first_at_server(self) -> bool:
        """Whether the request had not been sent to the first stage before."""
        return self._first_at_server

    @property
    def head(self) -> http_message.ResponseHead:
        """Head of the response; available after `read_head`."""
        return self._head

    @property
    def sequence(self) -> event_sequence.EventSequence:
        """The events passed on and those that it has received."""
        return self._sequence

    @property
    def received(self) -> int:
        """Number of events that this attempt has received."""
        return self._received

    @property
    def server_process(self) -> suspect_state.ServerProcess:
        """The first backend server, as it was listed at the start."""
        return self._server_process

    @property
    def server_failed(self) -> bool:
        """Whether the response is an error of the backend server itself."""
        return self._head.status >= _SERVER_ERROR

    @property
    def failed(self) -> bool:
        """Whether the response is an error, not a stream."""
        return self._head.status >= _FIRST_ERROR_STATUS

    @property
    def sent_at(self) -> float:
        """Monotonic time at which it was sent over its present chain, s."""
        return self._sent_at

    def note_rerouted(self, chain: chain_choice.Chain) -> None:
        """Records that the running request was moved to another chain.

        Args:
            chain: The new chain; its first stage is the same.
        """
        self._chain = chain
        self._sent_at = time.monotonic()

    @contextlib.contextmanager
    def opened(self, *, check_caller: Callable[[], None]) -> Iterator[None]:
        """Sends the request; holds its connection and its memory until exit.

        Args:
            check_caller: Raises an error if the caller no longer waits.

        Raises:
            upstream.AttemptFailedError: The attempt failed.
        """
        first = self._chain.first
        target = upstream.Target(
            server_id=first.server_id,
            address=first.address,
            stages=self._chain.stages,
            resume_after=self._sequence.last_id,
        )
        open_at = self._call.open_at
        open_at[first.server_id] += 1
        try:
            with (
                self._state.load.reserved(self._chain, tokens=self._tokens),
                self._state.spillover.crossing(
                    self._call.service.name, first.failure_domain
                ) as self._crossing,
                upstream.send(
                    self._call,
                    target,
                    headers=self._state.platform.headers,
                    check_caller=check_caller,
                ) as self._connection,
                self._state.memory.open() as account,
            ):
                self._crossing.note_connected()
                self._splitter = event_stream.EventSplitter(account)
                yield
        except event_stream.EventTooLargeError as error:
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.UNKNOWN,
                str(error),
                faulty_address=first.address,
                oversized=True,
            ) from error
        except (
            http_connection.ResponseTimeoutError,
            event_stream.InvalidEventError,
        ) as error:
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.UNKNOWN, str(error)
            ) from error
        except event_sequence.BrokenSequenceError as error:
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.UNKNOWN,
                str(error),
                faulty_address=first.address,
                connection_lost=self._cut_off,
            ) from error
        finally:
            open_at[first.server_id] -= 1

    def read_head(self, deadline: float) -> None:
        """Waits for the head of the response.

        Args:
            deadline: Monotonic time, s.

        Raises:
            upstream.AttemptFailedError: The request was refused, or the
                response does not belong to it.
            http_connection.ResponseTimeoutError: No head before the deadline.
        """
        notices = self._state.notices
        server = self._state.fleet.get(self._chain.first.server_id)
        head, facts = upstream.read_response_head(
            self._call,
            self._connection,
            headers=self._state.platform.headers,
            deadline=deadline,
            on_response=functools.partial(notices.note_response, server),
        )
        self._head = head
        if self.failed:
            return
        if not facts.sealed:
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.UNKNOWN, "unsealed response"
            )
        self._sequence.begin(head)

    def read_events(self, deadline: float) -> event_stream.Events | None:
        """Waits for the next bytes of the stream.

        Args:
            deadline: Monotonic time, s.

        Returns:
            The events that they complete, or None at the end of the stream.

        Raises:
            upstream.AttemptFailedError: The stream ended within an event.
            event_sequence.BrokenSequenceError: The events don't continue those
                passed on.
            http_connection.ResponseTimeoutError: Nothing before the deadline.
        """
        piece = self._connection.read_piece(deadline=deadline)
        if piece:
            events = self._splitter.feed(piece)
            self._sequence.add(events)
            self._received += len(events.ids)
            self._crossing.note_answered()
            return events
        # The end of its connection may be the end of such a response, or of
        # the server.
        self._cut_off = not self._connection.response_delimited
        if self._splitter.partial:
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.UNKNOWN,
                "stream ended within an event",
                connection_lost=self._cut_off,
            )
        self._sequence.end(delimited=not self._cut_off)
        return None

    def error_as_failure(self) -> upstream.AttemptFailedError:
        """Returns what an error response means for a stream."""
        reason = f"status {self._head.status}"
        if self.server_failed:
            return upstream.AttemptFailedError(
                attempt.ExecutionStatus.RAN, reason
            )
        return upstream.AttemptFailedError(
            attempt.ExecutionStatus.UNKNOWN,
            reason,
            faulty_address=self._chain.first.address,
        )

    def read_error_body(self) -> bytes:
        """Waits for the body of an error response."""
        with self._state.memory.open() as account:
            return response_body.read_whole(
                self._connection,
                head=self._head,
                account=account,
                deadline=self._call.deadline,
            )


def _listed_process(
    state: front_state.FrontState, server_id: str
) -> suspect_state.ServerProcess:
    server = state.fleet.get(server_id)
    return suspect_state.ServerProcess(
        server_id=server_id,
        started_ms=0 if server is None else server.started_ms,
    )
