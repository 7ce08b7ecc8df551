"""Serves one model request, from admission to its last event."""

import functools
import time

import gevent

from dotterelgrade import http_connection
from dotterelgrade import http_message
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import client_connection
from dotterelgrade_front import event_sequence
from dotterelgrade_front import event_stream
from dotterelgrade_front import front_state
from dotterelgrade_front import responses
from dotterelgrade_front import stall_detector
from dotterelgrade_front import stream_pace
from dotterelgrade_front import stream_repair
from dotterelgrade_front import upstream
from dotterelgrade_routing import admission
from dotterelgrade_routing import attempt
from dotterelgrade_routing import chain_choice

_MAX_BODY_BYTES = 16_777_216
_SERVER_ERROR = 500
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
        self._pace = stream_pace.StreamPace(call.received_at)
        self._repair = stream_repair.StreamRepair(
            state,
            call=call,
            detector=detector,
            tokens=self._total_tokens(),
            pace=self._pace,
        )
        self._close = close
        self._splitter = event_stream.EventSplitter()
        self._sequence = event_sequence.EventSequence(
            caller_has=call.facts.last_event_id if call.route.resumable else ""
        )
        self._head_sent = False
        self._attempt_began_at = call.received_at
        self._first_attempt_at_server = True

    def __repr__(self) -> str:
        """Shows the request and the number of events passed on."""
        return (
            f"<ModelStream {self._call.request_id} {self._pace.events} events>"
        )

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
            decision = self._admit()
            if isinstance(decision, admission.Refused):
                if self._wait_for_capacity():
                    continue
                reason = decision.reason
                retry_after_s = decision.retry_after_s
                break
            try:
                return self._attempt(decision.chain)
            except upstream.AttemptFailedError as failed:
                reason = str(failed)
                self._record_failure(failed, decision.chain)
                if not self._may_retry():
                    break
        return self._give_up(reason, retry_after_s)

    def _wait_for_capacity(self) -> bool:
        """Waits briefly if the stream has begun and the caller still waits.

        Breaking it off would waste the work done so far, and capacity becomes
        free whenever another request ends.

        Returns:
            Whether to try admission again.
        """
        silent_s = time.monotonic() - self._pace.last_at
        if not self._head_sent or silent_s > stream_repair.MAX_SILENCE_S:
            return False
        gevent.sleep(_ADMISSION_RETRY_S)
        return True

    def _admit(self) -> admission.Admitted | admission.Refused:
        state, call = self._state, self._call
        offer = state.chains.offer(call.service)
        chains = [
            chain
            for chain in offer.chains
            if call.may_send_to(chain.first.server_id)
            and chain.first.server_id not in call.unreachable
            and self._repair.has_link_budget(
                chain, tokens=call.facts.prompt_tokens
            )
        ]
        # Prefers chains without a stage that refused for lack of capacity.
        preferred = [c for c in chains if not call.refused_by & c.addresses]
        decision = admission.decide(
            preferred or chains,
            tokens=self._total_tokens(),
            answer_tokens=self._answer_tokens(),
            load=state.load,
            memory=offer.memory,
            failure_domain=state.settings.failure_domain,
            chance=state.rng.random(),
            begun=self._head_sent,
            held_off_s=state.notices.holdoff_left_s(call.service.name),
        )
        inputs = {
            "fleet_version": offer.fleet_version,
            "age_s": round(time.monotonic() - offer.computed_at, 2),
            "chains": len(chains),
            "tokens": round(self._total_tokens()),
        }
        if isinstance(decision, admission.Refused):
            state.decisions.record(
                "capacity_awaited" if self._head_sent else "refused",
                reason=decision.reason,
                request_id=call.request_id,
                retry_after_s=round(decision.retry_after_s, 2),
                **inputs,
            )
            return decision
        state.decisions.record(
            "chain_chosen",
            reason="weighted random choice by cost",
            request_id=call.request_id,
            chain=[
                f"{s.server_id}={s.layers!r}" for s in decision.chain.stages
            ],
            fill=round(decision.utilization, 2),
            **inputs,
        )
        return decision

    def _answer_tokens(self) -> float:
        facts = self._call.facts
        usual = self._call.service.engine.mean_answer_tokens
        expected = facts.expected_answer_tokens or usual
        if facts.max_answer_tokens:
            expected = min(expected, facts.max_answer_tokens)
        return max(expected, 1.0)

    def _total_tokens(self) -> float:
        return self._call.facts.prompt_tokens + self._answer_tokens()

    def _attempt(self, chain: chain_choice.Chain) -> str:
        """Runs the call on one chain, which may be rerouted meanwhile."""
        state, call = self._state, self._call
        target = upstream.Target(
            server_id=chain.first.server_id,
            address=chain.first.address,
            stages=chain.stages,
            resume_after=self._sequence.last_id,
        )
        names = state.platform.headers
        self._repair.charge_link_budget(chain, tokens=call.facts.prompt_tokens)
        self._splitter = event_stream.EventSplitter()
        self._attempt_began_at = time.monotonic()
        self._first_attempt_at_server = (
            chain.first.server_id not in call.sent_to
        )
        try:
            with (
                state.load.reserved(chain, tokens=self._total_tokens()),
                upstream.send(
                    call,
                    target,
                    headers=names,
                    check_caller=self._client.raise_if_disconnected,
                ) as connection,
            ):
                return self._relay_response(connection, chain)
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
                faulty_address=target.address,
            ) from error

    def _relay_response(
        self,
        connection: http_connection.HttpConnection,
        chain: chain_choice.Chain,
    ) -> str:
        call = self._call
        names = self._state.platform.headers
        guard = self._repair.stall_guard(chain)
        server = self._state.fleet.get(chain.first.server_id)
        head, facts = guard.run(
            lambda deadline: upstream.read_response_head(
                call,
                connection,
                headers=names,
                deadline=deadline,
                on_response=functools.partial(
                    self._state.notices.note_response, server
                ),
            )
        )
        if head.status >= 300:
            return self._forward_error(connection, head, chain)
        if not facts.sealed:
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.UNKNOWN, "unsealed response"
            )
        self._sequence.begin(head)
        while True:
            piece = guard.run(
                lambda deadline: connection.read_piece(deadline=deadline)
            )
            if not piece:
                break
            if self._forward_events(head, piece):
                guard.note_progress()
        if self._splitter.partial:
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.UNKNOWN, "stream ended within an event"
            )
        self._sequence.end(delimited=connection.response_delimited)
        return self._finish(head, chain)

    def _forward_error(
        self,
        connection: http_connection.HttpConnection,
        head: http_message.ResponseHead,
        chain: chain_choice.Chain,
    ) -> str:
        retryable = self._head_sent or len(self._call.attempts) == 0
        if head.status >= _SERVER_ERROR and retryable:
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.RAN, f"status {head.status}"
            )
        if self._head_sent:
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.UNKNOWN,
                f"status {head.status}",
                faulty_address=chain.first.address,
            )
        body = connection.read_body(
            deadline=self._call.deadline, max_body_bytes=_MAX_BODY_BYTES
        )
        responses.send_response(
            self._client,
            head=head.end_to_end(),
            body=body,
            close=self._close,
        )
        return f"answered_{head.status // 100}xx"

    def _forward_events(
        self, head: http_message.ResponseHead, piece: bytes
    ) -> bool:
        """Forwards complete events; returns whether there were any."""
        events = self._splitter.feed(piece)
        if not events.count:
            return False
        self._sequence.add(events)
        data = responses.encode_chunk(events.data)
        if not self._head_sent:
            data = self._encoded_head(head) + data
            self._state.metrics.first_event.record(self._call.age_s)
        self._client.write(data)
        self._head_sent = True
        self._pace.record_events(events.count, at=time.monotonic())
        return True

    def _encoded_head(self, head: http_message.ResponseHead) -> bytes:
        forwarded = head.end_to_end()
        return responses.encode_stream_head(forwarded, close=self._close)

    def _finish(
        self, head: http_message.ResponseHead, chain: chain_choice.Chain
    ) -> str:
        data = responses.LAST_CHUNK
        if not self._head_sent:
            data = self._encoded_head(head) + data
        self._client.write(data)
        now = time.monotonic()
        for stage in chain.stages:
            self._state.exclusions.note_success(
                stage.server_id, now=now, began_at=self._attempt_began_at
            )
        self._state.metrics.count_attempt("answered")
        self._state.decisions.record(
            "stream_finished",
            reason="last event passed on",
            request_id=self._call.request_id,
            events=self._pace.events,
            first_event_s=round(self._pace.first_event_s, 3),
            objective_s=self._call.route.objective_s,
            longest_pause_s=round(self._pace.longest_pause_s, 3),
            pause_s=self._call.route.longest_pause_s,
            pause_after=self._pace.pause_after,
            moves=self._repair.reroutes,
            tries=len(self._call.attempts) + 1,
            predicted_step_ms=round(chain.step_s * 1000, 2),
            stages=len(chain.stages),
            continued=bool(self._call.facts.last_event_id),
        )
        return "streamed"

    def _record_failure(
        self, failed: upstream.AttemptFailedError, chain: chain_choice.Chain
    ) -> None:
        state, call = self._state, self._call
        call.attempts.append(failed.execution)
        state.metrics.count_attempt(failed.execution.name.lower())
        if failed.execution is attempt.ExecutionStatus.NEVER_SENT:
            call.unreachable.add(chain.first.server_id)
        if failed.execution is attempt.ExecutionStatus.REFUSED:
            if self._first_attempt_at_server:
                # A request that never ran at a server uses up no attempt.
                call.sent_to.discard(chain.first.server_id)
            call.refused_by.add(failed.faulty_address or chain.first.address)
            self._repair.check_refusal(
                chain, failed.faulty_address or chain.first.address
            )
        elif failed.faulty_address:
            unreachable = failed.execution is attempt.ExecutionStatus.NEVER_SENT
            self._repair.exclude(
                failed.faulty_address, reason=str(failed), firm=unreachable
            )
        state.decisions.record(
            "try_failed",
            reason=str(failed),
            request_id=call.request_id,
            server=chain.first.server_id,
            faulty_address=failed.faulty_address,
            known=failed.execution.name,
            events=self._pace.events,
            left_s=round(call.remaining_s, 3),
        )

    def _may_retry(self) -> bool:
        call = self._call
        if not call.may_retry() or call.remaining_s <= 0:
            return False
        refusals = call.attempts.count(attempt.ExecutionStatus.REFUSED)
        if refusals >= _MAX_REFUSALS and not self._head_sent:
            return False
        if not self._sequence.resumable:
            return False
        if call.attempts[-1] is attempt.ExecutionStatus.NEVER_SENT:
            return True
        return self._state.retry_budget_for(call.service.name).spend()

    def _give_up(self, reason: str, retry_after_s: float) -> str:
        error = self._call.failure(reason, retry_after_s=retry_after_s)
        if self._head_sent:
            self._state.decisions.record(
                "stream_broken",
                reason=reason,
                request_id=self._call.request_id,
                events=self._pace.events,
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
