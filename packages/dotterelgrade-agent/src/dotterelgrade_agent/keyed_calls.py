"""Calls with an idempotency key: claimed in the log, run at most once."""

import dataclasses
import time
import uuid

from gevent import event
import gevent.pool
from returns import result

from dotterelgrade import errors
from dotterelgrade import journal as journal_lib
from dotterelgrade import messages
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import claim_items
from dotterelgrade_agent import claim_ledger
from dotterelgrade_agent import claim_log as claim_log_lib
from dotterelgrade_agent import idempotency_key
from dotterelgrade_agent import service_backend
from dotterelgrade_agent import service_client

_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answered:
    """The answer to a keyed call.

    Attributes:
        reply: What the service said.
        repeated: Whether it is the recorded outcome of an earlier call.
    """

    reply: service_client.Reply
    repeated: bool = False


Answer = result.Result[Answered, errors.Error]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Keyed:
    """A call on its way.

    Attributes:
        call: The call.
        key: Its checked key.
        backend: The backend server that is to run it.
        deadline: Monotonic time when the caller stops waiting, s.
    """

    call: messages.Call
    key: idempotency_key.IdempotencyKey
    backend: service_backend.ServiceBackend
    deadline: float

    @property
    def subject(self) -> claim_items.Key:
        """The key within its workspace."""
        return (self.call.workspace, self.key.text)

    @property
    def left_s(self) -> float:
        """Time until the deadline, s; never negative."""
        return max(self.deadline - time.monotonic(), 0.0)


class KeyedCalls:
    """Runs a keyed call only under the first claim for its key."""

    def __init__(
        self,
        settings: agent_settings.ClaimSettings,
        *,
        claims: claim_log_lib.ClaimLog,
        incarnation: str,
        journal: journal_lib.Journal,
    ) -> None:
        """Initializes without calls.

        Args:
            settings: Limits for keyed calls.
            claims: The stream of claims.
            incarnation: Identifier of this process.
            journal: Takes decisions.
        """
        self._settings = settings
        self._claims = claims
        self._incarnation = incarnation
        self._journal = journal
        self._runs = gevent.pool.Group()

    def __repr__(self) -> str:
        """Shows how many calls run."""
        return f"<KeyedCalls {self.in_flight} running>"

    @property
    def in_flight(self) -> int:
        """Calls that run, and items that are not yet in the log."""
        return len(self._runs) + self._claims.unrecorded

    def run(
        self,
        call: messages.Call,
        backend: service_backend.ServiceBackend,
        *,
        deadline: float,
    ) -> Answer:
        """Answers a keyed call.

        Args:
            call: The call; its key is not empty.
            backend: The backend server that is to run it.
            deadline: Monotonic time when the caller stops waiting, s.

        Returns:
            The answer, recorded or fresh, or an error that says whether the
            call was run.
        """
        checked = idempotency_key.parse(
            call.key, now_s=time.time(), settings=self._settings
        )
        if isinstance(checked, result.Failure):
            return checked
        keyed = _Keyed(
            call=call, key=checked.unwrap(), backend=backend, deadline=deadline
        )
        while True:
            answer = self._try(keyed)
            if answer is not None:
                return answer

    def _try(self, keyed: _Keyed) -> Answer | None:
        """Answers, or returns None when another's claim was released."""
        standing = self._claims.standing(keyed.subject)
        if standing is not None:
            return self._follow(keyed, standing)
        refusal = self._check_may_claim(keyed)
        if refusal is not None:
            return refusal
        return self._claim_and_run(keyed)

    def _check_may_claim(self, keyed: _Keyed) -> Answer | None:
        if not keyed.left_s:
            return _not_run(
                errors.ErrorKind.DEADLINE_EXCEEDED, "the deadline has passed"
            )
        if not self._claims.is_current:
            return _no_proof("the log does not answer")
        return self._check_proof(keyed)

    def _check_proof(self, keyed: _Keyed) -> Answer | None:
        ledger = self._claims.ledger
        if ledger.proves(keyed.key.time_s):
            return None
        if ledger.has_forgotten(keyed.key.time_s):
            return _refuse(
                errors.ErrorKind.KEY_TOO_OLD,
                "claims of that age are not kept",
                run=errors.RunState.UNKNOWN,
            )
        return _no_proof("this process has not seen the whole claim window")

    def _claim_and_run(self, keyed: _Keyed) -> Answer | None:
        claim = self._make_claim(keyed)
        change = self._claims.claim(
            claim,
            timeout_s=min(self._settings.append_timeout_s, keyed.left_s),
        )
        if change is None:
            self._note(keyed, "claim_given_up", "it was not read back in time")
            return _no_proof("the claim was not read back")
        if change == claim_ledger.ChangeKind.BEATEN:
            return None
        refusal = self._check_still_first(keyed, claim)
        if refusal is not None:
            self._claims.record(
                claim_items.Release(
                    workspace=claim.workspace, key=claim.key, claim=claim.claim
                )
            )
            self._note(keyed, "claim_given_up", refusal.failure().message)
            return refusal
        return self._run_under(keyed, claim)

    def _make_claim(self, keyed: _Keyed) -> claim_items.Claim:
        return claim_items.Claim(
            workspace=keyed.call.workspace,
            key=keyed.key.text,
            claim=uuid.uuid4().hex,
            key_time_s=keyed.key.time_s,
            digest=keyed.call.digest,
            claimer=self._incarnation,
            seen=self._claims.ledger.offset,
            at_s=time.time(),
        )

    def _check_still_first(
        self, keyed: _Keyed, claim: claim_items.Claim
    ) -> Answer | None:
        # The process may have been paused since the claim was read back.
        standing = self._claims.standing(keyed.subject)
        if standing is None or standing.claim != claim.claim:
            return _no_proof("the claim no longer holds")
        checked = idempotency_key.parse(
            keyed.call.key, now_s=time.time(), settings=self._settings
        )
        if isinstance(checked, result.Failure):
            return checked
        if not keyed.left_s:
            return _not_run(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                "the deadline passed before the call ran",
            )
        return self._check_proof(keyed)

    def _run_under(self, keyed: _Keyed, claim: claim_items.Claim) -> Answer:
        answered = event.AsyncResult()
        # In a greenlet of its own, so that an outcome that comes after the
        # caller's deadline is recorded for a repeat.
        self._runs.spawn(self._run_and_record, keyed, claim, answered)
        try:
            return answered.get(timeout=keyed.left_s)
        except gevent.Timeout:
            return result.Failure(
                errors.Error(
                    kind=errors.ErrorKind.DEADLINE_EXCEEDED,
                    message="the service has not answered in time",
                    run=errors.RunState.UNKNOWN,
                )
            )

    def _run_and_record(
        self,
        keyed: _Keyed,
        claim: claim_items.Claim,
        answered: event.AsyncResult,
    ) -> None:
        limit_s = max(keyed.left_s, keyed.backend.settings.timeout_s)
        answer = keyed.backend.run(keyed.call, limit_s=limit_s)
        self._claims.record(self._as_item(claim, answer))
        answered.set(answer.map(lambda reply: Answered(reply=reply)))

    def _as_item(
        self,
        claim: claim_items.Claim,
        answer: result.Result[service_client.Reply, errors.Error],
    ) -> claim_items.Outcome | claim_items.Release:
        subject = {
            "workspace": claim.workspace,
            "key": claim.key,
            "claim": claim.claim,
        }
        if isinstance(answer, result.Failure):
            if answer.failure().run_state == errors.RunState.NOT_RUN:
                return claim_items.Release(**subject)
            return claim_items.Outcome(
                status=0, headers={}, body=b"", **subject
            )
        reply = answer.unwrap()
        is_whole = len(reply.body) <= self._settings.max_outcome_bytes
        return claim_items.Outcome(
            status=reply.status,
            headers=reply.headers if is_whole else {},
            body=reply.body if is_whole else b"",
            is_whole=is_whole,
            **subject,
        )

    def _follow(
        self, keyed: _Keyed, standing: claim_ledger.Standing
    ) -> Answer | None:
        if standing.digest != keyed.call.digest:
            return _not_run(
                errors.ErrorKind.KEY_REUSED,
                "the key belongs to another request",
            )
        if standing.outcome is None:
            with self._claims.watching(keyed.subject) as settled:
                settled.wait(min(self._settings.resolve_wait_s, keyed.left_s))
            now = self._claims.standing(keyed.subject)
            if now is None or now.claim != standing.claim:
                return None
            standing = now
        return self._answer_repeat(keyed, standing)

    def _answer_repeat(
        self, keyed: _Keyed, standing: claim_ledger.Standing
    ) -> Answer:
        outcome = standing.outcome
        if outcome is None:
            self._note(keyed, "claim_unresolved", "it has no outcome yet")
            return _unresolved(errors.RunState.UNKNOWN, "it has no outcome yet")
        if not outcome.is_known:
            return _unresolved(
                errors.RunState.UNKNOWN, "its outcome is unknown"
            )
        if not outcome.is_whole:
            return _unresolved(
                errors.RunState.RAN, "its answer is not recorded"
            )
        reply = service_client.Reply(
            status=outcome.status, headers=outcome.headers, body=outcome.body
        )
        return result.Success(Answered(reply=reply, repeated=True))

    def _note(self, keyed: _Keyed, decision: str, reason: str) -> None:
        self._journal.record(
            decision,
            reason=reason,
            request_id=keyed.call.request_id,
            key=keyed.key.text,
        )

    def close(self) -> None:
        """Ends the calls that run."""
        self._runs.kill()


def _not_run(
    kind: errors.ErrorKind, message: str
) -> result.Failure[errors.Error]:
    return _refuse(kind, message, run=errors.RunState.NOT_RUN)


def _no_proof(reason: str) -> result.Failure[errors.Error]:
    # `not_run` speaks of this request only.
    return _not_run(
        errors.ErrorKind.LOG_UNAVAILABLE,
        f"claims can't be checked: {reason}; this request was not run, an "
        "earlier one with the same key may have been",
    )


def _refuse(
    kind: errors.ErrorKind, message: str, *, run: errors.RunState
) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(
            kind=kind, message=message, retry_after_s=_RETRY_AFTER_S, run=run
        )
    )


def _unresolved(
    run: errors.RunState, message: str
) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(
            kind=errors.ErrorKind.CLAIM_UNRESOLVED,
            message=f"an earlier call with this key began: {message}",
            retry_after_s=_RETRY_AFTER_S,
            run=run,
        )
    )
