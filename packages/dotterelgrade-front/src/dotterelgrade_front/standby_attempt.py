"""A second attempt of a stream, beside one that is silent."""

from collections.abc import Callable, Iterator
import contextlib
import logging
import time

import gevent

from dotterelgrade import http_connection
from dotterelgrade_front import attempt_log
from dotterelgrade_front import client_connection
from dotterelgrade_front import event_stream
from dotterelgrade_front import stream_attempt
from dotterelgrade_front import upstream
from dotterelgrade_routing import attempt as attempt_lib

_LOG = logging.getLogger(__name__)


class StandbyAttempt:
    """Runs an attempt up to its first events, then waits to be adopted."""

    def __init__(
        self,
        attempt: stream_attempt.StreamAttempt,
        *,
        attempts: attempt_log.AttemptLog,
        deadline: float,
        check_caller: Callable[[], None],
    ) -> None:
        """Starts the attempt.

        Args:
            attempt: The attempt; not sent yet.
            attempts: Records its failure.
            deadline: Deadline of the request as monotonic time, s.
            check_caller: Raises an error if the caller no longer waits.
        """
        self._attempt = attempt
        self._attempts = attempts
        self._deadline = deadline
        self._check_caller = check_caller
        self._resources = contextlib.ExitStack()
        self._events: event_stream.Events | None = None
        self._error: Exception | None = None
        self._greenlet = gevent.spawn(self._run)

    def __repr__(self) -> str:
        """Shows the attempt and whether it waits to be adopted."""
        return f"<StandbyAttempt {self._attempt!r}, ready={self.ready}>"

    @property
    def attempt(self) -> stream_attempt.StreamAttempt:
        """The attempt."""
        return self._attempt

    @property
    def ready(self) -> bool:
        """Whether its first events have arrived, or it has failed."""
        return self._greenlet.ready()

    @property
    def ended_empty(self) -> bool:
        """Whether its response has ended without an event."""
        return self.ready and self._error is None and self._events is None

    @property
    def error(self) -> Exception | None:
        """Why it failed, or None."""
        return self._error

    def read_first_events(self, deadline: float) -> event_stream.Events | None:
        """Waits for the first events.

        Args:
            deadline: Monotonic time, s.

        Returns:
            The events, or None if the stream ended without any.

        Raises:
            http_connection.ResponseTimeoutError: No event before the deadline.
            upstream.AttemptFailedError: The attempt failed.
            client_connection.CallerDisconnectedError: The caller disconnected.
        """
        self._greenlet.join(max(deadline - time.monotonic(), 0.0))
        if not self.ready:
            raise http_connection.ResponseTimeoutError("no event yet")
        if self._error is not None:
            raise self._error
        return self._events

    @contextlib.contextmanager
    def adopted(self) -> Iterator[None]:
        """Holds the connection of the attempt, which is ready, until exit.

        Raises:
            upstream.AttemptFailedError: The attempt failed meanwhile.
        """
        with self._resources:
            yield

    def close(self) -> None:
        """Ends the attempt and closes its connection."""
        self._greenlet.kill()
        self._resources.close()

    def _run(self) -> None:
        try:
            with contextlib.ExitStack() as resources:
                resources.enter_context(
                    self._attempt.opened(check_caller=self._check_caller)
                )
                self._events = self._await_events()
                self._resources = resources.pop_all()
        except client_connection.CallerDisconnectedError as error:
            self._error = error
        except upstream.AttemptFailedError as failed:
            self._fail(failed)
        except Exception:
            # The attempt beside which this one runs may still go on.
            _LOG.exception("standby failed")
            self._fail(
                upstream.AttemptFailedError(
                    attempt_lib.ExecutionStatus.UNKNOWN, "fault in the front"
                )
            )

    def _fail(self, failed: upstream.AttemptFailedError) -> None:
        self._error = failed
        self._attempts.note_failure(failed, self._attempt)

    def _await_events(self) -> event_stream.Events | None:
        """Waits for the first event; comments before it are dropped."""
        attempt = self._attempt
        attempt.read_head(self._deadline)
        if attempt.failed:
            raise attempt.error_as_failure()
        while True:
            events = attempt.read_events(self._deadline)
            if events is None or events.ids:
                return events
