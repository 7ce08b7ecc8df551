"""Serves one model request, from admission to its last event."""

import gevent

from dotterelgrade_front import attempt_log
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import client_connection
from dotterelgrade_front import front_state
from dotterelgrade_front import responses
from dotterelgrade_front import stall_detector
from dotterelgrade_front import stall_guard
from dotterelgrade_front import stream_admission
from dotterelgrade_front import stream_attempt
from dotterelgrade_front import stream_output
from dotterelgrade_front import stream_repair
from dotterelgrade_front import upstream
from dotterelgrade_routing import admission
from dotterelgrade_routing import attempt as attempt_lib
from dotterelgrade_routing import chain_choice

# Refusals by chains after which a request without events is rejected.
_MAX_REFUSALS = 4
# Delay before admission is tried again for a stream that has begun.
_ADMISSION_RETRY_S = 0.1


class ModelStream:
    """One streamed model request; resumes on another chain after a failure."""

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
        with self._client.interrupt_on_disconnect():
            return self._serve()

    def _serve(self) -> str:
        reason = "deadline exceeded"
        retry_after_s = call_lib.DEFAULT_RETRY_AFTER_S
        while self._call.remaining_s > 0:
            decision = self._admissions.admit(begun=self._output.begun)
            if isinstance(decision, admission.Refused):
                if self._wait_for_capacity():
                    continue
                reason = decision.reason
                retry_after_s = decision.retry_after_s
                break
            attempt = self._new_attempt(decision.chain)
            try:
                return self._run(attempt)
            except upstream.AttemptFailedError as failed:
                reason = str(failed)
                self._attempts.note_failure(failed, attempt)
                if not self._may_retry():
                    break
        return self._give_up(reason, retry_after_s)

    def _new_attempt(
        self, chain: chain_choice.Chain
    ) -> stream_attempt.StreamAttempt:
        self._repair.charge_link_budget(
            chain, tokens=self._call.facts.prompt_tokens
        )
        return stream_attempt.StreamAttempt(
            self._state,
            call=self._call,
            chain=chain,
            tokens=stream_admission.total_tokens(self._call),
            sequence=self._output.sequence,
        )

    def _run(self, attempt: stream_attempt.StreamAttempt) -> str:
        """Runs the call on one chain, which may be rerouted meanwhile."""
        with attempt.opened(check_caller=self._client.raise_if_disconnected):
            guard = stall_guard.StallGuard(self._repair, attempt=attempt)
            guard.run(attempt.read_head)
            if attempt.failed:
                return self._forward_error(attempt)
            return self._relay(attempt, guard)

    def _relay(
        self,
        attempt: stream_attempt.StreamAttempt,
        guard: stall_guard.StallGuard,
    ) -> str:
        """Forwards events until the end of the stream."""
        while (events := guard.run(attempt.read_events)) is not None:
            if self._output.forward(attempt, events):
                guard.note_progress()
        self._output.finish(attempt)
        self._attempts.note_success(attempt)
        return "streamed"

    def _forward_error(self, attempt: stream_attempt.StreamAttempt) -> str:
        first_failure = attempt.server_failed and not self._call.attempts
        if self._output.begun or first_failure:
            raise attempt.error_as_failure()
        body = attempt.read_error_body()
        self._output.send_error_response(attempt.head, body)
        return f"answered_{attempt.head.status // 100}xx"

    def _may_retry(self) -> bool:
        call = self._call
        if not call.may_retry() or call.remaining_s <= 0:
            return False
        refusals = call.attempts.count(attempt_lib.ExecutionStatus.REFUSED)
        if refusals >= _MAX_REFUSALS and not self._output.begun:
            return False
        if not self._output.sequence.resumable:
            return False
        if call.attempts[-1] is attempt_lib.ExecutionStatus.NEVER_SENT:
            return True
        return self._state.retry_budget_for(call.service.name).spend()

    def _wait_for_capacity(self) -> bool:
        """Waits briefly if the stream has begun and the caller still waits.

        Breaking it off would waste the work done so far, and capacity becomes
        free whenever another request ends.

        Returns:
            Whether to try admission again.
        """
        silent_s = self._output.silent_s
        if not self._output.begun or silent_s > stall_guard.MAX_SILENCE_S:
            return False
        gevent.sleep(_ADMISSION_RETRY_S)
        return True

    def _give_up(self, reason: str, retry_after_s: float) -> str:
        error = self._call.failure(reason, retry_after_s=retry_after_s)
        if self._output.begun:
            self._state.decisions.record(
                "stream_broken",
                reason=reason,
                request_id=self._call.request_id,
                events=self._output.pace.events,
                tries=len(self._call.attempts),
            )
            raise client_connection.ResponseAbortedError(reason)
        responses.send_error(
            self._client,
            error,
            request_id=self._call.request_id,
            close=self._close,
        )
        return error.kind.value
