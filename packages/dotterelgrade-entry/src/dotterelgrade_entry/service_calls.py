"""Calls to plain services, some of which may not be repeated."""

import dataclasses
import random
import time
from typing import Any

from gevent import event
from returns import result

from dotterelgrade import errors
from dotterelgrade import journal as journal_lib
from dotterelgrade import messages
from dotterelgrade import rendezvous
from dotterelgrade import rules
from dotterelgrade_entry import agent_peer
from dotterelgrade_entry import entry_settings
from dotterelgrade_entry import exchange as exchange_lib
from dotterelgrade_entry import fleet as fleet_lib
from dotterelgrade_entry import idempotency
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


class _PendingCall:
    """One call sent to one agent, waiting for its answer."""

    def __init__(self, order: CallOrder, peer: agent_peer.AgentPeer) -> None:
        self._order = order
        self._peer = peer
        self._outcome: event.AsyncResult = event.AsyncResult()

    def uses(self, peer: agent_peer.AgentPeer) -> bool:
        return peer is self._peer

    def dump(self) -> dict[str, Any]:
        return {
            "request_id": self._order.request_id,
            "workspace": self._order.workspace,
            "service": self._order.rule.name,
            "keyed": bool(self._order.key),
            "agent": self._peer.address,
        }

    def on_token(
        self, peer: agent_peer.AgentPeer, token: messages.Token
    ) -> None:
        pass

    def on_reply(self, peer: agent_peer.AgentPeer, message: Any) -> None:
        is_answer = isinstance(
            message, messages.CallReply | messages.CallFailed
        )
        if is_answer and peer is self._peer:
            self._outcome.set(message)

    def on_lost(self, peer: agent_peer.AgentPeer, reason: str) -> None:
        failed = messages.CallFailed(
            request_id="",
            kind=errors.ErrorKind.OUTCOME_UNKNOWN,
            message=f"the agent was lost: {reason}",
            run=errors.RunState.UNKNOWN,
        )
        if not self._outcome.ready():
            self._outcome.set(failed)

    def on_tick(self) -> None:
        pass

    def wait(
        self, timeout_s: float
    ) -> messages.CallReply | messages.CallFailed | None:
        return self._outcome.wait(max(timeout_s, 0.0))


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
        tried: set[str] = set()
        may_have_run = False
        error = _no_agent(order)
        for number in range(_MAX_TRIES):
            if number and not self._budget.spend():
                break
            candidate = self._choose(order, tried)
            if candidate is None:
                break
            tried.add(candidate[1].key)
            answer = self._send_once(order, candidate, ends_at)
            if isinstance(answer, messages.CallReply):
                return result.Success(answer)
            error = _to_error(answer)
            may_have_run |= error.run_state is not errors.RunState.NOT_RUN
            self._record_failure(order, candidate, error)
            if not self._may_retry(order, error, ends_at):
                break
        return result.Failure(_truthful(error, may_have_run))

    def _choose(
        self, order: CallOrder, tried: set[str]
    ) -> fleet_lib.Candidate | None:
        found = {
            view.key: (peer, view)
            for peer, view in self._fleet.services(order.rule.to)
            if view.key not in tried
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

    def _send_once(
        self,
        order: CallOrder,
        candidate: fleet_lib.Candidate,
        ends_at: float,
    ) -> messages.CallReply | messages.CallFailed:
        peer, view = candidate
        pending = _PendingCall(order, peer)
        self._exchange.join(order.request_id, pending)
        self._fleet.note_busy(peer.address, 1)
        try:
            left_s = ends_at - time.monotonic()
            if not peer.send(_to_frame(order, view.report.backend, left_s)):
                return _failed(
                    errors.ErrorKind.PEER_UNREACHABLE,
                    "the agent's connection was closed",
                    errors.RunState.NOT_RUN,
                )
            return pending.wait(left_s) or _failed(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                "the service did not answer in time",
                errors.RunState.UNKNOWN,
            )
        finally:
            self._exchange.leave(order.request_id)
            self._fleet.note_busy(peer.address, -1)

    def _may_retry(
        self, order: CallOrder, error: errors.Error, ends_at: float
    ) -> bool:
        if time.monotonic() >= ends_at:
            return False
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
