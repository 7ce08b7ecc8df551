"""Calls to plain services: each is run at most once per frame."""

import logging
import time

import gevent.pool
from returns import result

from dotterelgrade import errors
from dotterelgrade import journal as journal_lib
from dotterelgrade import messages
from dotterelgrade import metrics as metrics_lib
from dotterelgrade_agent import entry_links
from dotterelgrade_agent import keyed_calls
from dotterelgrade_agent import service_backend

_LOG = logging.getLogger(__name__)

MAX_CALL_S = 3_600.0
_MS_PER_S = 1000
_RETRY_AFTER_LEAVING_S = 1.0


class Calls:
    """Takes call frames and answers each exactly once."""

    def __init__(
        self,
        *,
        services: dict[str, service_backend.ServiceBackend],
        keyed: keyed_calls.KeyedCalls,
        journal: journal_lib.Journal,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes without calls.

        Args:
            services: The plain services by the name of the backend server.
            keyed: Runs calls that carry an idempotency key.
            journal: Takes decisions.
            metrics: Takes counts and durations.
        """
        self._services = services
        self._keyed = keyed
        self._journal = journal
        self._greenlets = gevent.pool.Group()
        self._leaving = ""
        self._outcomes = metrics.counter(
            "agent_calls", "Calls to plain services by outcome.", ("outcome",)
        )
        self._latency = metrics.latency(
            "agent_call_seconds", "Duration of calls to plain services."
        )

    def __repr__(self) -> str:
        """Shows how many calls are open."""
        return f"<Calls {len(self._greenlets)} open>"

    @property
    def in_flight(self) -> int:
        """Calls that are not answered or whose outcome is not recorded."""
        return len(self._greenlets) + self._keyed.in_flight

    def leave(self, reason: str) -> None:
        """Refuses new calls from now on; an empty reason takes it back."""
        self._leaving = reason

    def accept(self, link: entry_links.EntryLink, call: messages.Call) -> None:
        """Starts a call in a greenlet of its own.

        Args:
            link: The entry that gets the answer.
            call: The call.
        """
        refusal = self._check(call)
        if refusal is not None:
            self._answer_failure(link, call, refusal)
            return
        self._greenlets.spawn(self._run, link, call)

    def _check(self, call: messages.Call) -> errors.Error | None:
        if self._leaving:
            return errors.Error(
                kind=errors.ErrorKind.LEAVING,
                message=self._leaving,
                retry_after_s=_RETRY_AFTER_LEAVING_S,
            )
        backend = self._services.get(call.backend)
        if backend is None:
            return errors.Error(
                kind=errors.ErrorKind.UNKNOWN_SERVICE,
                message=f"no service {call.backend!r} here",
            )
        if not call.deadline_ms > 0:
            return errors.Error(
                kind=errors.ErrorKind.DEADLINE_EXCEEDED,
                message="the deadline has passed",
                run=errors.RunState.NOT_RUN,
            )
        return backend.check(call)

    def _run(self, link: entry_links.EntryLink, call: messages.Call) -> None:
        backend = self._services[call.backend]
        limit_s = min(call.deadline_ms / _MS_PER_S, MAX_CALL_S)
        try:
            with self._latency.timing():
                answer = self._answer_of(call, backend, limit_s=limit_s)
        except Exception as error:
            # The entry must hear of it; whether the call ran is not known.
            _LOG.exception("call failed", extra={"request": call.request_id})
            answer = result.Failure(
                errors.Error(
                    kind=errors.ErrorKind.INTERNAL, message=repr(error)
                )
            )
        if isinstance(answer, result.Failure):
            self._answer_failure(link, call, answer.failure())
            return
        self._answer(link, call, answer.unwrap())

    def _answer_of(
        self,
        call: messages.Call,
        backend: service_backend.ServiceBackend,
        *,
        limit_s: float,
    ) -> keyed_calls.Answer:
        if call.key:
            deadline = time.monotonic() + limit_s
            return self._keyed.run(call, backend, deadline=deadline)
        return backend.run(call, limit_s=limit_s).map(
            lambda reply: keyed_calls.Answered(reply=reply)
        )

    def _answer(
        self,
        link: entry_links.EntryLink,
        call: messages.Call,
        answered: keyed_calls.Answered,
    ) -> None:
        self._outcomes.labels("repeated" if answered.repeated else "ran").inc()
        link.send(
            messages.CallReply(
                request_id=call.request_id,
                status=answered.reply.status,
                headers=answered.reply.headers,
                body=answered.reply.body,
                repeated=answered.repeated,
                backend=call.backend,
            )
        )

    def _answer_failure(
        self,
        link: entry_links.EntryLink,
        call: messages.Call,
        error: errors.Error,
    ) -> None:
        self._outcomes.labels(error.kind.value).inc()
        self._journal.record(
            "call_failed",
            reason=error.message,
            request_id=call.request_id,
            kind=error.kind.value,
            run=error.run_state.value,
        )
        link.send(
            messages.CallFailed(
                request_id=call.request_id,
                kind=error.kind,
                message=error.message,
                run=error.run_state,
                retry_after_ms=(error.retry_after_s or 0.0) * _MS_PER_S,
                backend=call.backend,
            )
        )

    def close(self) -> None:
        """Ends every call under way."""
        self._greenlets.kill()
