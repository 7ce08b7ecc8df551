"""Serves calls to plain services, those without a model.

The first usable response is passed on. An attempt stays open until then, its
own failure or the deadline; when it is late, another one may start beside it.
"""

import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import time

import gevent
from returns import result

from dotterelgrade import errors
from dotterelgrade import http_connection
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import client_connection
from dotterelgrade_front import front_state
from dotterelgrade_front import plain_attempt
from dotterelgrade_front import responses
from dotterelgrade_front import upstream
from dotterelgrade_routing import attempt
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import hedging
from dotterelgrade_routing import return_forecast
from dotterelgrade_routing import service_choice


class _HedgeOutcome(enum.StrEnum):
    """What became of the wish to send a late call to another server."""

    STARTED = "started"
    NO_SERVER = "no_server"
    ATTEMPTS_USED = "attempts_used"
    BUDGET_EMPTY = "budget_empty"


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
        attempts = _Attempts(
            self._state, client=client, call=call, in_flight=self._in_flight
        )
        with attempts.closed_on_exit():
            with client.interrupt_on_disconnect():
                outcome = attempts.run()
            # The caller is told also of a stop that came meanwhile.
            close = close or self._state.leaving
            if isinstance(outcome, result.Failure):
                error = outcome.failure()
                responses.send_error(
                    client, error, request_id=call.request_id, close=close
                )
                return error.kind.value
            answered = outcome.unwrap()
            response = answered.response
            if response.body.whole:
                responses.send_response(
                    client,
                    head=response.head,
                    body=response.body.start,
                    close=close,
                    bodiless=call.request.method == b"HEAD",
                )
            else:
                self._pass_on(client, call, answered, close=close)
            return f"answered_{response.head.status // 100}xx"

    def _pass_on(
        self,
        client: client_connection.ClientConnection,
        call: call_lib.Call,
        answered: "_Answered",
        *,
        close: bool,
    ) -> None:
        """Passes a response on that is too large to be held.

        Raises:
            client_connection.ResponseAbortedError: It broke off; the caller
                must not take what it has for all of it.
        """
        response = answered.response
        try:
            with (
                client.interrupt_on_disconnect(),
                answered.attempt.adopted(),
            ):
                responses.send_piecewise(
                    client,
                    head=response.head,
                    pieces=response.body.pieces(),
                    length=response.body.length,
                    close=close,
                )
        except http_connection.ResponseTimeoutError as error:
            self._state.note_timeout(answered.attempt.server_id)
            raise self._broken(call, answered, str(error)) from error
        except upstream.AttemptFailedError as failed:
            server_id = answered.attempt.server_id
            if failed.oversized:
                self._state.note_oversized(
                    server_id, reason=str(failed), request_id=call.request_id
                )
            else:
                self._state.note_failure(server_id, reason=str(failed))
            raise self._broken(call, answered, str(failed)) from failed

    def _broken(
        self, call: call_lib.Call, answered: "_Answered", reason: str
    ) -> client_connection.ResponseAbortedError:
        """Records a response that broke off when a part was passed on."""
        self._state.decisions.record(
            "response_broken",
            reason=reason,
            request_id=call.request_id,
            server=answered.attempt.server_id,
        )
        return client_connection.ResponseAbortedError(reason)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Answered:
    """A response to pass on, and the attempt that holds it."""

    response: plain_attempt.PlainResponse
    attempt: plain_attempt.PlainAttempt


class _Attempts:
    """The attempts of one call, each in a greenlet of its own."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        client: client_connection.ClientConnection,
        call: call_lib.Call,
        in_flight: collections.Counter[str],
    ) -> None:
        self._state = state
        self._client = client
        self._call = call
        self._in_flight = in_flight
        self._open: dict[gevent.Greenlet, plain_attempt.PlainAttempt] = {}
        self._started: list[plain_attempt.PlainAttempt] = []
        self._reason = "no backend server available"
        self._server_error: _Answered | None = None
        # Sends that need no retry budget: the first one, and one for each
        # attempt that could not connect.
        self._free_sends = 1
        self._budget_empty = False
        self._asked_at = float("-inf")
        self._hedge_outcome: _HedgeOutcome | None = None

    @contextlib.contextmanager
    def closed_on_exit(self) -> Iterator[None]:
        """Releases what the attempts hold when the context ends."""
        try:
            yield
        finally:
            for started in self._started:
                started.close()

    def run(self) -> result.Result[_Answered, errors.Error]:
        """Returns the response for the caller, or the error without one."""
        with self._ending_attempts():
            while True:
                self._start_next()
                if not self._open:
                    return self._last_resort()
                answered = self._wait()
                if answered is not None:
                    return result.Success(answered)

    @contextlib.contextmanager
    def _ending_attempts(self) -> Iterator[None]:
        """Ends the attempts that still wait when the context ends.

        None of them may send the call after this.
        """
        try:
            yield
        finally:
            gevent.killall(list(self._open))

    def _last_resort(self) -> result.Result[_Answered, errors.Error]:
        if self._server_error is not None:
            return result.Success(self._server_error)
        error = self._call.failure(self._reason)
        if self._call.may_have_run:
            return result.Failure(error)
        return result.Failure(self._with_retry_time(error))

    def _with_retry_time(self, error: errors.Error) -> errors.Error:
        """Returns the error of a call that has not run, for its caller."""
        state, call = self._state, self._call
        holdoff_s = state.notices.holdoff_left_s(call.service.name)
        reason = return_forecast.Reason.OTHER
        if holdoff_s:
            reason = return_forecast.Reason.NO_ROOM
        elif self._budget_empty:
            reason = return_forecast.Reason.NO_RETRIES
        return state.refusals.refuse(
            error,
            request_id=call.request_id,
            reason=reason,
            call=call,
            usual_s=holdoff_s or return_forecast.DEFAULT_RETRY_AFTER_S,
            budget=state.retry_budget_for(call.service.name),
        )

    def _next_start_at(self) -> float:
        route = self._call.route
        open_attempts = hedging.OpenAttempts(
            started_at=tuple(a.started_at for a in self._open.values()),
            idempotent=route.idempotent,
            objective_s=route.objective_s,
            has_server_error=self._server_error is not None,
        )
        start_at = open_attempts.next_start_at()
        if not self._open:
            return start_at
        late_s = hedging.late_after_s(route.objective_s)
        return max(start_at, self._asked_at + late_s)

    def _start_next(self) -> None:
        """Starts an attempt if one is due and possible."""
        if (
            time.monotonic() < self._next_start_at()
            or not self._is_worthwhile()
        ):
            return
        hedges = bool(self._open)
        outcome = self._try_start()
        self._budget_empty = outcome is _HedgeOutcome.BUDGET_EMPTY
        if hedges:
            self._asked_at = time.monotonic()
            self._record_hedge(outcome)

    def _is_worthwhile(self) -> bool:
        call = self._call
        if not call.may_retry():
            return False
        repeats = bool(self._open) or call.may_have_run
        if repeats and not self._state.quarantine.may_repeat(call):
            return False
        if self._server_error is not None:
            return call.remaining_s > call.route.objective_s / 2
        return call.remaining_s > 0

    def _try_start(self) -> _HedgeOutcome:
        """Asks for a server, for an attempt and for the budget, in order."""
        server = self._choose()
        if server is None:
            return _HedgeOutcome.NO_SERVER
        if len(self._used_servers) >= self._call.route.max_attempts:
            return _HedgeOutcome.ATTEMPTS_USED
        if not self._may_spend():
            return _HedgeOutcome.BUDGET_EMPTY
        self._start(server)
        return _HedgeOutcome.STARTED

    @property
    def _used_servers(self) -> set[str]:
        """Servers that the call was, or is about to be, sent to."""
        return self._call.sent_to | {a.server_id for a in self._open.values()}

    def _choose(self) -> backend_server.BackendServer | None:
        state = self._state
        candidates = state.notices.available(self._call.service.name)
        excluded = state.exclusions.excluded_ids(now=time.monotonic())
        if self._open or self._server_error is not None:
            # A server that failed recently is no improvement.
            candidates = [s for s in candidates if s.id not in excluded]
        terms = state.spillover.server_terms(
            self._call.service.name, candidates
        )
        tried = self._used_servers | self._call.unreachable
        permitted = [
            server
            for server in candidates
            if server.id not in tried
            and server.id not in excluded
            and state.spillover.permits(terms, server.failure_domain)
        ]
        return service_choice.choose(
            permitted or candidates,
            in_flight=self._in_flight,
            excluded=excluded,
            tried=tried,
            failure_domain=state.settings.failure_domain,
            rng=state.rng,
            other_domain_requests=terms.other_domain_requests,
        )

    def _may_spend(self) -> bool:
        if self._free_sends:
            self._free_sends -= 1
            return True
        return self._state.retry_budget_for(self._call.service.name).spend()

    def _start(self, server: backend_server.BackendServer) -> None:
        started = plain_attempt.PlainAttempt(
            self._state, client=self._client, call=self._call, server=server
        )
        self._state.spillover.note_sent(
            self._call.service.name, server.failure_domain
        )
        self._in_flight[server.id] += 1
        greenlet = gevent.Greenlet(started.run)
        greenlet.rawlink(lambda _: self._release(server.id))
        self._open[greenlet] = started
        self._started.append(started)
        greenlet.start()

    def _release(self, server_id: str) -> None:
        self._in_flight[server_id] -= 1
        if not self._in_flight[server_id]:
            # Thousands of backend servers are replaced in a day.
            del self._in_flight[server_id]

    def _wait(self) -> _Answered | None:
        """Waits until an attempt ends or the next one is due.

        Returns:
            A response to pass on, or None.
        """
        timeout_s = None
        next_start_at = self._next_start_at()
        if next_start_at < float("inf"):
            timeout_s = max(0.0, next_start_at - time.monotonic())
        ended = gevent.wait(list(self._open), timeout=timeout_s, count=1)
        for greenlet in ended:
            answered = self._take(self._open.pop(greenlet), greenlet.get())
            if answered is not None:
                return answered
        return None

    def _take(
        self,
        ended: plain_attempt.PlainAttempt,
        outcome: plain_attempt.AttemptResult,
    ) -> _Answered | None:
        """Notes how an attempt ended; returns a response to pass on."""
        if isinstance(outcome, result.Failure):
            error = outcome.failure()
            if isinstance(error, client_connection.CallerDisconnectedError):
                raise error
            self._record_failure(ended, error)
            return None
        response = outcome.unwrap()
        if not response.is_server_error:
            self._state.quarantine.note_served(self._call)
        answered = _Answered(response=response, attempt=ended)
        # Another attempt beside an unfinished response would be held up by it.
        if (
            response.is_server_error
            and response.body.whole
            and self._call.route.idempotent
        ):
            self._server_error = answered
            self._record_failure(
                ended,
                upstream.AttemptFailedError(
                    attempt.ExecutionStatus.RAN,
                    f"status {response.head.status}",
                ),
            )
            return None
        self._record_success(ended)
        return answered

    def _record_success(self, answered: plain_attempt.PlainAttempt) -> None:
        state = self._state
        state.refusals.note_start(self._call)
        state.exclusions.note_success(
            answered.server_id,
            now=time.monotonic(),
            began_at=answered.started_at,
        )
        state.metrics.count_attempt("answered")
        late_s = hedging.late_after_s(self._call.route.objective_s)
        for greenlet, other in self._open.items():
            if other.age_s >= late_s and not greenlet.ready():
                state.note_timeout(other.server_id)

    def _record_failure(
        self,
        ended: plain_attempt.PlainAttempt,
        failed: upstream.AttemptFailedError,
    ) -> None:
        state, call = self._state, self._call
        self._reason = str(failed)
        call.attempts.append(failed.execution)
        if failed.execution is attempt.ExecutionStatus.NEVER_SENT:
            call.unreachable.add(ended.server_id)
            self._free_sends += 1
        state.metrics.count_attempt(failed.execution.name.lower())
        if failed.connection_lost:
            state.quarantine.note_crash(
                call,
                ended.server_process,
                sent_at=ended.started_at,
                proven=False,
            )
        if failed.oversized:
            state.note_oversized(
                ended.server_id,
                reason=str(failed),
                request_id=call.request_id,
            )
        elif failed.faulty_address:
            state.note_failure(ended.server_id, reason=str(failed))
        state.decisions.record(
            "try_failed",
            reason=str(failed),
            request_id=call.request_id,
            server=ended.server_id,
            known=failed.execution.name,
            fingerprints=call.fingerprints,
            left_s=round(call.remaining_s, 3),
        )

    def _record_hedge(self, outcome: _HedgeOutcome) -> None:
        """Records a late call, once for each outcome in a row."""
        if outcome is self._hedge_outcome:
            return
        self._hedge_outcome = outcome
        call = self._call
        self._state.decisions.record(
            "call_late",
            reason=outcome.value,
            request_id=call.request_id,
            servers=sorted(self._used_servers),
            age_s=round(call.age_s, 3),
            left_s=round(call.remaining_s, 3),
        )
