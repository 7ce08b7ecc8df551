"""Serves calls to plain services, those without a model."""

import collections
import functools
import time

from dotterelgrade import http_connection
from dotterelgrade import http_message
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import client_connection
from dotterelgrade_front import front_state
from dotterelgrade_front import responses
from dotterelgrade_front import upstream
from dotterelgrade_routing import attempt
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import service_choice

_MAX_BODY_BYTES = 16_777_216
# Timeout of one attempt of an idempotent call while another backend server is
# left to try, as a fraction of the latency objective.
_ATTEMPT_TIMEOUT_FRACTION = 0.9
_SERVER_ERROR = 500


class PlainCalls:
    """Forwards plain calls, with retries at other backend servers."""

    def __init__(self, state: front_state.FrontState) -> None:
        """Initializes the object.

        Args:
            state: Shared by the front's greenlets.
        """
        self._state = state
        self._in_flight: collections.Counter[str] = collections.Counter()

    def __repr__(self) -> str:
        """Shows the number of calls in flight."""
        return f"<PlainCalls {self._in_flight.total()} in flight>"

    def serve(
        self,
        client: client_connection.ClientConnection,
        call: call_lib.Call,
        *,
        close: bool,
    ) -> str:
        """Serves a call.

        Args:
            client: The connection to the caller.
            call: The call.
            close: Whether the connection closes after the response.

        Returns:
            The outcome, for metrics and logs.

        Raises:
            client_connection.CallerDisconnectedError: The caller disconnected.
        """
        state = self._state
        reason = "no backend server available"
        while call.remaining_s > 0:
            server = self._choose(call)
            if server is None:
                break
            try:
                with client.interrupt_on_disconnect():
                    head, body = self._attempt(client, call, server)
            except upstream.AttemptFailedError as failed:
                reason = self._record_failure(call, server, failed)
                if not self._may_retry(call):
                    break
                continue
            responses.send_response(
                client,
                head=head,
                body=body,
                close=close,
                bodiless=call.request.method == b"HEAD",
            )
            return f"answered_{head.status // 100}xx"
        error = call.failure(
            reason,
            retry_after_s=state.notices.holdoff_left_s(call.service.name)
            or call_lib.DEFAULT_RETRY_AFTER_S,
        )
        responses.send_error(
            client, error, request_id=call.request_id, close=close
        )
        return error.kind.value

    def _choose(
        self, call: call_lib.Call
    ) -> backend_server.BackendServer | None:
        state = self._state
        candidates = [
            server
            for server in state.notices.available(call.service.name)
            if call.may_send_to(server.id)
        ]
        return service_choice.choose(
            candidates,
            in_flight=self._in_flight,
            excluded=state.exclusions.excluded_ids(now=time.monotonic()),
            tried=call.sent_to | call.unreachable,
            failure_domain=state.settings.failure_domain,
            rng=state.rng,
        )

    def _attempt(
        self,
        client: client_connection.ClientConnection,
        call: call_lib.Call,
        server: backend_server.BackendServer,
    ) -> tuple[http_message.ResponseHead, bytes]:
        state = self._state
        target = upstream.Target(server_id=server.id, address=server.address)
        names = state.platform.headers
        began_at = time.monotonic()
        self._in_flight[server.id] += 1
        try:
            with upstream.send(
                call,
                target,
                headers=names,
                check_caller=client.raise_if_disconnected,
            ) as connection:
                head, facts = upstream.read_response_head(
                    call,
                    connection,
                    headers=names,
                    deadline=self._attempt_deadline(call),
                    on_response=functools.partial(
                        state.notices.note_response, server
                    ),
                )
                body = connection.read_body(
                    deadline=call.deadline, max_body_bytes=_MAX_BODY_BYTES
                )
        except http_connection.ResponseTimeoutError as error:
            state.note_timeout(server.id)
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.UNKNOWN, str(error)
            ) from error
        finally:
            self._in_flight[server.id] -= 1
        if not facts.sealed and head.status < 300:
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.UNKNOWN, "unsealed response"
            )
        if head.status >= _SERVER_ERROR and self._should_retry_error(call):
            raise upstream.AttemptFailedError(
                attempt.ExecutionStatus.RAN, f"status {head.status}"
            )
        state.exclusions.note_success(
            server.id, now=time.monotonic(), began_at=began_at
        )
        state.metrics.count_attempt("answered")
        return (
            head.end_to_end(),
            body,
        )

    def _attempt_deadline(self, call: call_lib.Call) -> float:
        if not call.route.idempotent or not self._has_alternative(call):
            return call.deadline
        timeout_s = call.route.objective_s * _ATTEMPT_TIMEOUT_FRACTION
        return min(call.deadline, time.monotonic() + timeout_s)

    def _should_retry_error(self, call: call_lib.Call) -> bool:
        return (
            call.route.idempotent
            and call.remaining_s > call.route.objective_s / 2
            and self._has_alternative(call)
        )

    def _has_alternative(self, call: call_lib.Call) -> bool:
        """Returns whether another backend server is left to try."""
        if len(call.sent_to) >= call.route.max_attempts:
            return False
        tried = call.sent_to | call.unreachable
        excluded = self._state.exclusions.excluded_ids(now=time.monotonic())
        return any(
            server.id not in tried and server.id not in excluded
            for server in self._state.notices.available(call.service.name)
        )

    def _record_failure(
        self,
        call: call_lib.Call,
        server: backend_server.BackendServer,
        failed: upstream.AttemptFailedError,
    ) -> str:
        state = self._state
        call.attempts.append(failed.execution)
        if failed.execution is attempt.ExecutionStatus.NEVER_SENT:
            call.unreachable.add(server.id)
        state.metrics.count_attempt(failed.execution.name.lower())
        if failed.faulty_address:
            state.note_failure(server.id, reason=str(failed))
        state.decisions.record(
            "try_failed",
            reason=str(failed),
            request_id=call.request_id,
            server=server.id,
            known=failed.execution.name,
            left_s=round(call.remaining_s, 3),
        )
        return str(failed)

    def _may_retry(self, call: call_lib.Call) -> bool:
        if not call.may_retry():
            return False
        if call.attempts[-1] is attempt.ExecutionStatus.NEVER_SENT:
            return True
        return self._state.retry_budget_for(call.service.name).spend()
