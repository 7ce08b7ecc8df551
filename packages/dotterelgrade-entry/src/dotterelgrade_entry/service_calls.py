"""Calls to plain services, some of which may not be repeated."""

import dataclasses
import random
import time

from returns import result

from dotterelgrade import errors
from dotterelgrade import journal as journal_lib
from dotterelgrade import messages
from dotterelgrade import rendezvous
from dotterelgrade import rules
from dotterelgrade_entry import entry_settings
from dotterelgrade_entry import exchange as exchange_lib
from dotterelgrade_entry import fleet as fleet_lib
from dotterelgrade_entry import idempotency
from dotterelgrade_entry import pending_call
from dotterelgrade_entry import retry_after
from dotterelgrade_routing import retry_budget

_MS_PER_S = 1000
_MAX_TRIES = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallOrder:
    """What a caller asked of a plain service.

    Attributes:
        request_id: Identifier, unique over the fleet.
        workspace: Workspace of the caller.
        rule: The contract's rule of the service.
        method: HTTP method.
        path: Path below the service, with its query string.
        headers: Headers to pass on.
        body: Request body.
        key: Checked idempotency key, or empty.
    """

    request_id: str
    workspace: str
    rule: rules.ServiceRule
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    key: str = ""

    @property
    def is_repeatable(self) -> bool:
        """Whether it may be sent again after it may have begun."""
        return bool(self.key) or self.rule.repeat == "safe"


class ServiceCalls:
    """Sends calls to the agents beside plain services.

    A call without a key to a service that may not repeat is sent once. A keyed
    call may be sent again, since the agents' claims in the log let it run at
    most once.
    """

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        *,
        fleet: fleet_lib.Fleet,
        exchange: exchange_lib.Exchange,
        budget: retry_budget.RetryBudget,
        journal: journal_lib.Journal,
    ) -> None:
        """Initializes the sender.

        Args:
            settings: The settings of the entry.
            fleet: The agents that are known.
            exchange: Delivers the agents' frames.
            budget: Limits retries.
            journal: Where decisions are recorded.
        """
        self._settings = settings
        self._fleet = fleet
        self._exchange = exchange
        self._budget = budget
        self._journal = journal

    def call(
        self, order: CallOrder
    ) -> result.Result[messages.CallReply, errors.Error]:
        """Sends a call and waits for its answer.

        Args:
            order: What the caller asked for.

        Returns:
            The service's answer, or an error that says whether it was run.
        """
        ends_at = time.monotonic() + self._settings.call_timeout_s
        self._budget.note_request()
        pending = pending_call.PendingCall(
            {
                "request_id": order.request_id,
                "workspace": order.workspace,
                "service": order.rule.name,
                "keyed": bool(order.key),
            },
            note_busy=self._fleet.note_busy,
        )
        self._exchange.join(order.request_id, pending)
        try:
            return self._run(order, pending, ends_at)
        finally:
            self._exchange.leave(order.request_id)
            pending.close()

    def _run(
        self,
        order: CallOrder,
        pending: pending_call.PendingCall,
        ends_at: float,
    ) -> result.Result[messages.CallReply, errors.Error]:
        error = _no_agent(order)
        may_have_run = False
        may_try = True
        while True:
            if may_try:
                self._begin(order, pending, ends_at)
            if not pending.has_news:
                break
            news = pending.wait(ends_at - time.monotonic())
            if isinstance(news, pending_call.AttemptSilent):
                may_try = order.is_repeatable
                continue
            if news is None:
                news = _out_of_time(pending)
            if isinstance(news.message, messages.CallReply):
                return result.Success(news.message)
            error = _to_error(news.message)
            may_have_run |= error.run_state is not errors.RunState.NOT_RUN
            self._record_failure(order, news.candidate, error)
            if time.monotonic() >= ends_at:
                break
            may_try = self._may_retry(order, error)
        return result.Failure(_truthful(error, may_have_run))

    def _begin(
        self,
        order: CallOrder,
        pending: pending_call.PendingCall,
        ends_at: float,
    ) -> None:
        """Begins an attempt, if there is an agent and budget for it."""
        if pending.tries >= _MAX_TRIES:
            return
        candidate = self._choose(order, pending)
        if candidate is None:
            return
        if pending.tries and not self._budget.spend():
            return
        peer, view = candidate
        pending.begin(candidate)
        left_s = ends_at - time.monotonic()
        if not peer.send(_to_frame(order, view.report.backend, left_s)):
            pending.end(
                peer,
                _failed(
                    errors.ErrorKind.PEER_UNREACHABLE,
                    "the agent's connection was closed",
                    errors.RunState.NOT_RUN,
                ),
            )

    def _choose(
        self, order: CallOrder, pending: pending_call.PendingCall
    ) -> fleet_lib.Candidate | None:
        found = {
            candidate[1].key: candidate
            for candidate in self._fleet.services(order.rule.to)
            if pending.may_try(candidate)
        }
        if not found:
            return None
        if order.key:
            # Repeats meet the agent that already knows the claim.
            return found[rendezvous.rank(order.key, found)[0]]
        return min(
            found.values(),
            key=lambda c: (
                self._fleet.in_flight(c[0].address),
                random.random(),
            ),
        )

    def _may_retry(self, order: CallOrder, error: errors.Error) -> bool:
        if error.run_state is errors.RunState.NOT_RUN:
            return error.response.retryable and (
                error.kind is not errors.ErrorKind.LOG_UNAVAILABLE
            )
        lost = error.kind is errors.ErrorKind.OUTCOME_UNKNOWN
        return order.is_repeatable and lost

    def _record_failure(
        self,
        order: CallOrder,
        candidate: fleet_lib.Candidate,
        error: errors.Error,
    ) -> None:
        self._journal.record(
            "call_failed",
            reason=error.message,
            request_id=order.request_id,
            backend=candidate[1].key,
            kind=error.kind.value,
            run=error.run_state.value,
            keyed=bool(order.key),
        )


def _no_agent(order: CallOrder) -> errors.Error:
    return errors.Error(
        kind=errors.ErrorKind.NO_CAPACITY,
        message=f"no backend server for service {order.rule.name}",
        retry_after_s=retry_after.DEFAULT_S,
    )


def _out_of_time(
    pending: pending_call.PendingCall,
) -> pending_call.AttemptEnded:
    return pending_call.AttemptEnded(
        candidate=pending.open_attempts[-1],
        message=_failed(
            errors.ErrorKind.DEADLINE_EXCEEDED,
            "the service did not answer in time",
            errors.RunState.UNKNOWN,
        ),
    )


def _failed(
    kind: errors.ErrorKind, message: str, run: errors.RunState
) -> messages.CallFailed:
    return messages.CallFailed(
        request_id="", kind=kind, message=message, run=run
    )


def _to_error(failed: messages.CallFailed) -> errors.Error:
    retry_after_s = None
    if failed.retry_after_ms or errors.RESPONSES[failed.kind].retryable:
        retry_after_s = retry_after.checked_s(failed.retry_after_ms)
    return errors.Error(
        kind=failed.kind,
        message=failed.message,
        retry_after_s=retry_after_s,
        run=failed.run,
    )


def _truthful(error: errors.Error, may_have_run: bool) -> errors.Error:
    if not may_have_run or error.run_state is not errors.RunState.NOT_RUN:
        return error
    # The last try did not run, but an earlier one may have.
    return errors.Error(
        kind=errors.ErrorKind.OUTCOME_UNKNOWN,
        message=f"an earlier try may have run; the last one: {error.message}",
        run=errors.RunState.UNKNOWN,
    )


def _to_frame(order: CallOrder, backend: str, left_s: float) -> messages.Call:
    return messages.Call(
        request_id=order.request_id,
        backend=backend,
        service=order.rule.to,
        workspace=order.workspace,
        method=order.method,
        path=order.path,
        headers=order.headers,
        body=order.body,
        key=order.key,
        digest=idempotency.digest(
            workspace=order.workspace,
            service=order.rule.to,
            method=order.method,
            path=order.path,
            body=order.body,
        ),
        deadline_ms=left_s * _MS_PER_S,
    )
