"""Serves one model request, from admission to its last event."""

import contextlib
import time

import gevent

from dotterelgrade import errors
from dotterelgrade_front import attempt_log
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import client_connection
from dotterelgrade_front import event_stream
from dotterelgrade_front import front_state
from dotterelgrade_front import responses
from dotterelgrade_front import stall_detector
from dotterelgrade_front import stall_guard
from dotterelgrade_front import standby_attempt
from dotterelgrade_front import standby_set
from dotterelgrade_front import stream_admission
from dotterelgrade_front import stream_attempt
from dotterelgrade_front import stream_output
from dotterelgrade_front import stream_repair
from dotterelgrade_front import upstream
from dotterelgrade_routing import admission
from dotterelgrade_routing import attempt as attempt_lib
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import stall_actions

# Refusals by chains after which a request without events is rejected.
_MAX_REFUSALS = 4
# Silence of a stream without an attempt up to which it waits for one of the
# backend servers that it was sent to, once no other is permitted. The caller
# can resume it by a new request, which may go to others.
_MAX_WAIT_FOR_SAME_SERVERS_S = 1.5


class ModelStream:
    """One streamed model request; continues on another chain after a failure.

    An attempt that was sent stays open until it fails itself, the deadline
    passes, the caller leaves, or another attempt has sent the next events.
    """

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        client: client_connection.ClientConnection,
        call: call_lib.Call,
        detector: stall_detector.StallDetector,
        close: bool,
    ) -> None:
        """Initializes the stream.

        Args:
            state: Shared by the front's greenlets.
            client: The connection to the caller.
            call: The call.
            detector: Detects which stages stall a stream.
            close: Whether the connection closes after the response.
        """
        self._state = state
        self._client = client
        self._call = call
        self._close = close
        self._output = stream_output.StreamOutput(
            client, call=call, metrics=state.metrics, close=close
        )
        self._repair = stream_repair.StreamRepair(
            state,
            call=call,
            detector=detector,
            tokens=stream_admission.total_tokens(call),
            pace=self._output.pace,
        )
        self._admissions = stream_admission.StreamAdmission(
            state, call=call, repair=self._repair
        )
        self._attempts = attempt_log.AttemptLog(
            state, call=call, repair=self._repair, output=self._output
        )
        self._standbys = standby_set.StandbySet(
            state,
            call=call,
            output=self._output,
            admissions=self._admissions,
            attempts=self._attempts,
            check_caller=client.raise_if_disconnected,
        )

    def __repr__(self) -> str:
        """Shows the request and the events passed on."""
        return f"<ModelStream {self._call.request_id} {self._output!r}>"

    def serve(self) -> str:
        """Serves the call.

        Returns:
            The outcome, for metrics and logs.

        Raises:
            client_connection.CallerDisconnectedError: The caller disconnected.
            client_connection.ResponseAbortedError: A response that has begun
                can't be completed.
        """
        with (
            self._standbys.closed_on_exit(),
            self._client.interrupt_on_disconnect(),
        ):
            return self._serve()

    def _serve(self) -> str:
        reason = "deadline exceeded"
        while self._call.remaining_s > 0:
            decision = self._admissions.admit(
                begun=self._output.begun, is_retry=self._pays_for_retry
            )
            if isinstance(decision, admission.Refused):
                if self._wait_for_capacity():
                    continue
                reason = decision.reason
                break
            try:
                return self._run(decision.chain)
            except upstream.AttemptFailedError as failed:
                reason = str(failed)
                if not self._may_retry():
                    break
        return self._give_up(reason)

    def _run(self, chain: chain_choice.Chain) -> str:
        """Runs the call on a chain, and goes on with second attempts.

        Raises:
            upstream.AttemptFailedError: The last attempt failed.
        """
        attempt = stream_attempt.StreamAttempt(
            self._state,
            call=self._call,
            chain=chain,
            tokens=stream_admission.total_tokens(self._call),
            sequence=self._output.sequence,
        )
        standby = None
        while True:
            try:
                if standby is None:
                    return self._begin(attempt)
                attempt = standby.attempt
                return self._continue(standby)
            except standby_set.StandbyReadyError as ready:
                self._attempts.note_replaced()
                standby = ready.standby
            except upstream.AttemptFailedError as failed:
                if standby is None or standby.error is None:
                    self._attempts.note_failure(failed, attempt)
                standby = self._standbys.promote(reason=str(failed))
                if standby is None:
                    raise

    def _begin(self, attempt: stream_attempt.StreamAttempt) -> str:
        with attempt.opened(check_caller=self._client.raise_if_disconnected):
            guard = self._guard(attempt, silent_since=time.monotonic())
            guard.run(attempt.read_head)
            if attempt.failed:
                return self._forward_error(attempt)
            events = guard.run(attempt.read_events)
            return self._relay(attempt, guard, events)

    def _continue(self, standby: standby_attempt.StandbyAttempt) -> str:
        attempt = standby.attempt
        with contextlib.closing(standby):
            guard = self._guard(attempt, silent_since=attempt.began_at)
            if standby.ready:
                events = standby.read_first_events(self._call.deadline)
            else:
                events = guard.run(standby.read_first_events)
            with standby.adopted():
                return self._relay(attempt, guard, events)

    def _guard(
        self, attempt: stream_attempt.StreamAttempt, *, silent_since: float
    ) -> stall_guard.StallGuard:
        return stall_guard.StallGuard(
            self._repair,
            standbys=self._standbys,
            attempt=attempt,
            silent_since=silent_since,
        )

    def _relay(
        self,
        attempt: stream_attempt.StreamAttempt,
        guard: stall_guard.StallGuard,
        events: event_stream.Events | None,
    ) -> str:
        """Forwards events until the end of the stream."""
        while events is not None:
            if self._output.forward(attempt, events):
                guard.note_progress()
                self._attempts.note_progress(attempt)
            events = guard.run(attempt.read_events)
        self._output.finish(attempt)
        self._attempts.note_success(attempt)
        return "streamed"

    def _forward_error(self, attempt: stream_attempt.StreamAttempt) -> str:
        if self._output.begun:
            raise attempt.error_as_failure()
        if attempt.server_failed and self._may_do_better:
            raise attempt.error_as_failure()
        body = attempt.read_error_body()
        self._output.send_error_response(attempt.head, body)
        return f"answered_{attempt.head.status // 100}xx"

    @property
    def _may_do_better(self) -> bool:
        """Whether another attempt may succeed after an error of a server."""
        if self._standbys.any_open:
            return True
        call = self._call
        if call.attempts or not call.route.repeatable:
            return False
        servers_left = call.route.max_attempts - len(call.sent_to)
        return servers_left > 0 and self._admissions.may_retry(begun=False)

    @property
    def _pays_for_retry(self) -> bool:
        """Whether the next attempt draws on the retry budget."""
        attempts = self._call.attempts
        unsent = attempt_lib.ExecutionStatus.NEVER_SENT
        return bool(attempts) and attempts[-1] is not unsent

    def _may_retry(self) -> bool:
        call = self._call
        if not call.may_retry() or call.remaining_s <= 0:
            return False
        if call.refusals >= _MAX_REFUSALS and not self._output.begun:
            return False
        if self._was_sent and not self._state.quarantine.may_repeat(
            call, begun=self._output.begun
        ):
            return False
        return self._output.sequence.resumable and self._can_pay_for_retry

    @property
    def _was_sent(self) -> bool:
        """Whether any attempt reached a server, which may have crashed."""
        unsent = attempt_lib.ExecutionStatus.NEVER_SENT
        return any(status is not unsent for status in self._call.attempts)

    @property
    def _can_pay_for_retry(self) -> bool:
        return not self._pays_for_retry or self._admissions.may_retry(
            begun=self._output.begun
        )

    def _wait_for_capacity(self) -> bool:
        """Waits briefly if the stream has begun and the caller still waits.

        Breaking it off would waste the work done so far, and capacity becomes
        free whenever another request ends.

        Returns:
            Whether to try admission again.
        """
        output, call = self._output, self._call
        if not output.begun or not self._can_pay_for_retry:
            return False
        attempts_left = len(call.sent_to) < call.route.max_attempts
        if not attempts_left and output.silent_s > _MAX_WAIT_FOR_SAME_SERVERS_S:
            return False
        delay_s = stall_actions.retry_delay_s(output.silent_s)
        gevent.sleep(max(min(delay_s, call.remaining_s), 0.0))
        return True

    def _give_up(self, reason: str) -> str:
        if self._output.begun:
            self._state.decisions.record(
                "stream_broken",
                reason=reason,
                request_id=self._call.request_id,
                events=self._output.pace.events,
                tries=len(self._call.attempts),
            )
            raise client_connection.ResponseAbortedError(reason)
        error = self._call.failure(reason)
        if not self._call.may_have_run:
            error = self._with_retry_time(error)
        responses.send_error(
            self._client,
            error,
            request_id=self._call.request_id,
            close=self._close,
        )
        return error.kind.value

    def _with_retry_time(self, error: errors.Error) -> errors.Error:
        """Returns the error of a request that has not run, for its caller.

        Admission has computed the time, unless an attempt failed.
        """
        if self._admissions.told is not None:
            return self._admissions.told.applied(error)
        return self._state.refusals.refuse(
            error, request_id=self._call.request_id, call=self._call
        )
