"""Keyed calls through real agents, a played log and a counting service."""

import dataclasses
import hashlib
import json
import time
import uuid

import gevent
import pytest
import uuid6

from dotterelgrade import errors
from dotterelgrade import messages
from dotterelgrade_agent import claim_items
from dotterelgrade_agent import claim_ledger
from dotterelgrade_standins import deposits


def _uuid7(age_s):
    """Returns a UUIDv7 of the given age."""
    value = uuid6.uuid7().int
    stamp = int((time.time() - age_s) * 1000)
    return str(uuid.UUID(int=(value & ((1 << 80) - 1)) | (stamp << 80)))


@pytest.fixture
def shop(fleet):
    return Shop(fleet)


class Shop:
    """A deposit service with agents beside it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.log = fleet.log
        self.service = deposits.DepositService()
        self.url = fleet.serve(deposits, self.service)
        self._numbers = iter(range(1_000))

    def agent(self, **claims):
        settings = self.fleet.settings(
            [self.fleet.service_backend(self.url)], **self._claims(claims)
        )
        started = self.fleet.start(settings)
        self.fleet.wait_usable(started)
        with gevent.Timeout(10):
            while not started.claims.is_current:
                gevent.sleep(0.01)
        return started

    def _claims(self, changes):
        default = self.fleet.claim_settings()
        return {"claims": dataclasses.replace(default, **changes)}

    def call(self, key="", *, amount=5, deadline_ms=5_000.0, number=None):
        number = next(self._numbers) if number is None else number
        body = json.dumps({"account": "a1", "amount": amount}).encode()
        return messages.Call(
            request_id=f"call-{number}",
            backend="order",
            service="order",
            workspace="bench",
            method="POST",
            path="/deposits",
            headers={"Content-Type": "application/json"},
            body=body,
            key=key,
            digest=hashlib.sha256(body).hexdigest(),
            deadline_ms=deadline_ms,
        )

    def send(self, target, call):
        self.fleet.entry.send(target, call)

    def answer(self, call):
        return self.fleet.entry.wait(
            (messages.CallReply, messages.CallFailed),
            where=lambda frame: frame.request_id == call.request_id,
        )

    def ask(self, target, key="", **changes):
        call = self.call(key, **changes)
        self.send(target, call)
        return self.answer(call)

    @property
    def runs(self):
        return len(self.service.ledger)


def test_a_keyed_call_runs_once_and_a_repeat_gets_its_outcome(shop):
    target, other = shop.agent(), shop.agent()
    key = _uuid7(0)
    first = shop.ask(target, key)
    assert (first.status, first.repeated) == (200, False)
    again = shop.ask(target, key)
    elsewhere = shop.ask(other, key)
    assert (again.body, again.repeated) == (first.body, True)
    assert (elsewhere.body, elsewhere.repeated) == (first.body, True)
    assert [run.key for run in shop.service.ledger] == [key]


def test_two_agents_race_for_one_key(shop):
    agents = [shop.agent() for _ in range(4)]
    key = _uuid7(0)
    calls = [shop.call(key) for _ in agents]
    for target, call in zip(agents, calls, strict=True):
        shop.send(target, call)
    answers = [shop.answer(call) for call in calls]
    assert shop.runs == 1
    assert len({answer.body for answer in answers}) == 1
    assert sorted(answer.repeated for answer in answers) == [
        False,
        True,
        True,
        True,
    ]


def test_another_digest_under_one_key_is_refused(shop):
    target = shop.agent()
    key = _uuid7(0)
    shop.ask(target, key)
    failed = shop.ask(target, key, amount=6)
    assert failed.kind == errors.ErrorKind.KEY_REUSED
    assert failed.run == errors.RunState.NOT_RUN
    assert shop.runs == 1


@pytest.mark.parametrize(
    ("make_key", "kind"),
    [
        (lambda: _uuid7(-61), errors.ErrorKind.KEY_INVALID),
        (lambda: str(uuid.uuid4()), errors.ErrorKind.KEY_INVALID),
        (lambda: "deposit-7", errors.ErrorKind.KEY_INVALID),
        (lambda: "\x00" * 40, errors.ErrorKind.KEY_INVALID),
    ],
)
def test_a_key_of_no_use_is_refused(shop, make_key, kind):
    failed = shop.ask(shop.agent(), make_key())
    assert (failed.kind, failed.run) == (kind, errors.RunState.NOT_RUN)
    assert shop.runs == 0


def test_a_key_too_old_may_be_a_repeat_and_says_unknown(shop):
    failed = shop.ask(shop.agent(), _uuid7(3_601))
    assert failed.kind == errors.ErrorKind.KEY_TOO_OLD
    assert failed.run == errors.RunState.UNKNOWN
    assert shop.runs == 0


def test_a_claim_without_an_outcome_is_unknown_and_never_runs_again(shop):
    target = shop.agent(resolve_wait_s=0.1)
    shop.service.set_faults(delay_s=60.0)
    key = _uuid7(0)
    shop.send(target, shop.call(key))
    with gevent.Timeout(10):
        while not shop.runs:
            gevent.sleep(0.01)
    target.stack.close()
    shop.service.set_faults(delay_s=0.0)
    restarted = shop.agent(resolve_wait_s=0.1)
    failed = shop.ask(restarted, key)
    assert failed.kind == errors.ErrorKind.CLAIM_UNRESOLVED
    assert failed.run == errors.RunState.UNKNOWN
    assert shop.runs == 1


def test_a_lost_answer_of_the_service_is_unknown(shop):
    target = shop.agent(resolve_wait_s=0.1)
    shop.service.set_faults(drop_after=1)
    key = _uuid7(0)
    failed = shop.ask(target, key)
    assert failed.kind == errors.ErrorKind.OUTCOME_UNKNOWN
    assert failed.run == errors.RunState.UNKNOWN
    repeat = shop.ask(target, key)
    assert repeat.kind == errors.ErrorKind.CLAIM_UNRESOLVED
    assert repeat.run == errors.RunState.UNKNOWN
    assert shop.runs == 1


def test_an_append_whose_answer_is_lost_still_claims(shop):
    target = shop.agent()
    shop.log.set_faults(lose_answers_after=1)
    key = _uuid7(0)
    assert shop.ask(target, key).status == 200
    assert shop.ask(target, key).repeated
    assert shop.runs == 1


def test_an_append_that_took_no_effect_is_not_run(shop):
    target = shop.agent(append_timeout_s=0.2)
    shop.log.set_faults(lose_answers_before=1)
    key = _uuid7(0)
    failed = shop.ask(target, key)
    assert failed.kind == errors.ErrorKind.LOG_UNAVAILABLE
    assert failed.run == errors.RunState.NOT_RUN
    assert shop.runs == 0
    assert shop.ask(target, key).status == 200
    assert shop.runs == 1


def test_a_claimer_that_gave_up_releases_its_claim(shop):
    target = shop.agent(append_timeout_s=0.1)
    other = shop.agent(resolve_wait_s=5.0)
    key = _uuid7(0)
    shop.log.set_faults(delay_s=0.5)
    failed = shop.ask(target, key)
    assert (failed.kind, failed.run) == (
        errors.ErrorKind.LOG_UNAVAILABLE,
        errors.RunState.NOT_RUN,
    )
    with gevent.Timeout(20):
        while not any(
            entry.decision == "claim_released"
            for entry in target.journal.latest()
        ):
            gevent.sleep(0.01)
    shop.log.set_faults(delay_s=0.0)
    assert shop.ask(other, key).status == 200
    assert shop.runs == 1


def test_keyed_calls_are_refused_while_the_log_is_down(shop):
    target = shop.agent()
    recorded = _uuid7(0)
    shop.ask(target, recorded)
    shop.log.set_faults(down=True)
    with gevent.Timeout(20):
        while target.claims.is_current:
            gevent.sleep(0.05)
    failed = shop.ask(target, _uuid7(0))
    assert failed.kind == errors.ErrorKind.LOG_UNAVAILABLE
    assert failed.run == errors.RunState.NOT_RUN
    assert shop.ask(target, recorded).repeated
    assert shop.runs == 1
    assert shop.ask(target).status == 200


def test_a_repeat_gets_an_outcome_that_the_log_does_not_have_yet(shop):
    target = shop.agent()
    shop.service.set_faults(delay_s=0.3)
    key = _uuid7(0)
    call = shop.call(key)
    shop.send(target, call)
    with gevent.Timeout(10):
        while not shop.runs:
            gevent.sleep(0.01)
    shop.log.set_faults(down=True)
    assert shop.answer(call).status == 200
    assert target.claims.unrecorded == 1
    assert shop.ask(target, key).repeated
    assert shop.runs == 1


def test_a_paused_claimer_checks_again_before_it_runs(shop, monkeypatch):
    """The process stops between reading its claim back and running."""
    target = shop.agent()
    claim = target.claims.claim

    def claim_and_pause(item, *, timeout_s):
        change = claim(item, timeout_s=timeout_s)
        time.sleep(0.3)
        return change

    monkeypatch.setattr(target.claims, "claim", claim_and_pause)
    failed = shop.ask(target, _uuid7(0), deadline_ms=200.0)
    assert failed.kind == errors.ErrorKind.DEADLINE_EXCEEDED
    assert failed.run == errors.RunState.NOT_RUN
    assert shop.runs == 0


def test_a_claim_that_holds_no_more_does_not_run(shop, monkeypatch):
    target = shop.agent()
    claim = target.claims.claim

    def claim_and_lose(item, *, timeout_s):
        change = claim(item, timeout_s=timeout_s)
        target.claims.record(
            claim_items.Release(
                workspace=item.workspace, key=item.key, claim=item.claim
            )
        )
        while target.claims.ledger.standing(item.subject) is not None:
            gevent.sleep(0.01)
        return change

    monkeypatch.setattr(target.claims, "claim", claim_and_lose)
    failed = shop.ask(target, _uuid7(0))
    assert failed.run == errors.RunState.NOT_RUN
    assert shop.runs == 0


def test_a_late_outcome_is_recorded_for_the_repeat(shop):
    target = shop.agent(resolve_wait_s=5.0)
    shop.service.set_faults(delay_s=0.5)
    key = _uuid7(0)
    failed = shop.ask(target, key, deadline_ms=200.0)
    assert failed.kind == errors.ErrorKind.DEADLINE_EXCEEDED
    assert failed.run == errors.RunState.UNKNOWN
    repeat = shop.ask(target, key)
    assert (repeat.status, repeat.repeated) == (200, True)
    assert shop.runs == 1


def test_a_service_that_is_not_there_is_not_run_and_frees_the_key(shop):
    gone = shop.fleet.address()
    settings = shop.fleet.settings(
        [shop.fleet.service_backend(f"http://{gone}:17800")],
        claims=shop.fleet.claim_settings(),
    )
    target = shop.fleet.start(settings)
    other = shop.agent(resolve_wait_s=5.0)
    with gevent.Timeout(10):
        while not target.claims.is_current:
            gevent.sleep(0.01)
    key = _uuid7(0)
    failed = shop.ask(target, key)
    assert failed.kind == errors.ErrorKind.PEER_UNREACHABLE
    assert failed.run == errors.RunState.NOT_RUN
    assert shop.ask(other, key).status == 200
    assert shop.runs == 1


def test_dropped_records_refuse_keys_that_may_be_in_them(shop):
    first = shop.agent()
    old = _uuid7(300)
    shop.ask(first, old)
    for _ in range(3):
        shop.ask(first, _uuid7(0))
    shop.log.set_faults(keep_records=1)
    late = shop.agent()
    failed = shop.ask(late, old)
    assert failed.kind == errors.ErrorKind.LOG_UNAVAILABLE
    assert failed.run == errors.RunState.NOT_RUN
    assert shop.runs == 4


def test_an_answer_too_large_to_record_is_said_to_have_run(shop):
    target = shop.agent(max_outcome_bytes=1)
    key = _uuid7(0)
    assert shop.ask(target, key).status == 200
    failed = shop.ask(target, key)
    assert failed.kind == errors.ErrorKind.CLAIM_UNRESOLVED
    assert failed.run == errors.RunState.RAN
    assert shop.runs == 1


def test_broken_records_in_the_stream_stop_nothing(shop):
    shop.log.append("claims", b"\xff\x00")
    shop.log.append("claims", b'{"type": "batch", "id": "x", "items": [7]}')
    target = shop.agent()
    assert shop.ask(target, _uuid7(0)).status == 200


def test_many_claims_share_an_append(shop):
    target = shop.agent()
    shop.log.set_faults(delay_s=0.05)
    calls = [shop.call(_uuid7(0)) for _ in range(50)]
    before = shop.log.appends
    for call in calls:
        shop.send(target, call)
    assert all(shop.answer(call).status == 200 for call in calls)
    assert shop.log.appends - before < 50
    assert shop.runs == 50


def test_the_ledger_is_the_one_of_the_stream(shop):
    target = shop.agent()
    key = _uuid7(0)
    shop.ask(target, key)
    with gevent.Timeout(10):
        while target.claims.unrecorded:
            gevent.sleep(0.01)
    ledger = claim_ledger.ClaimLedger(target.settings.claims)
    for record in shop.log.records("claims"):
        ledger.apply(record, now_s=time.time())
    assert ledger.standing(("bench", key)).outcome.status == 200


def test_a_drain_waits_for_calls_and_their_outcomes(shop):
    target = shop.agent()
    shop.service.set_faults(delay_s=0.5)
    key = _uuid7(0)
    call, unkeyed = shop.call(key), shop.call()
    shop.send(target, call)
    shop.send(target, unkeyed)
    with gevent.Timeout(10):
        while shop.runs < 2:
            gevent.sleep(0.01)
    target.departure.stop("test")
    refused = shop.ask(target, _uuid7(0))
    assert (refused.kind, refused.run) == (
        errors.ErrorKind.LEAVING,
        errors.RunState.NOT_RUN,
    )
    assert target.departure.wait()
    assert shop.answer(call).status == 200
    assert shop.answer(unkeyed).status == 200
    assert b"outcome" in shop.log.records("claims")[-1].body
    assert shop.runs == 2


@pytest.mark.parametrize("deadline_ms", [0.0, -1.0, float("nan")])
def test_a_call_without_time_left_is_not_run(shop, deadline_ms):
    failed = shop.ask(shop.agent(), deadline_ms=deadline_ms)
    assert failed.kind == errors.ErrorKind.DEADLINE_EXCEEDED
    assert failed.run == errors.RunState.NOT_RUN
    assert shop.runs == 0


def test_a_call_without_a_deadline_is_bounded(shop):
    target = shop.agent()
    for key in ("", _uuid7(0)):
        assert shop.ask(target, key, deadline_ms=float("inf")).status == 200


def test_an_unforeseen_error_is_answered_as_unknown(shop, monkeypatch):
    target = shop.agent()
    backend = target._services["order"]
    monkeypatch.setattr(backend, "run", lambda *_, **__: 1 / 0)
    failed = shop.ask(target)
    assert (failed.kind, failed.run) == (
        errors.ErrorKind.INTERNAL,
        errors.RunState.UNKNOWN,
    )
