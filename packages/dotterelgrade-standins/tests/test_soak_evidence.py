"""Each check of the soak finds what it is there for, and nothing else."""

import time

import pytest

from dotterelgrade_standins import soak_evidence


@pytest.fixture
def evidence():
    return soak_evidence.Evidence()


def _sent(evidence, **rest):
    fields = {
        "request_id": "r1",
        "front": "f",
        "once": True,
        "allowed": True,
        "workspace": "bench",
        "timeout_s": 1.0,
        "sent_at": time.monotonic(),
    }
    sent = soak_evidence.Sent(**{**fields, **rest})
    evidence.sent[sent.request_id] = sent
    return sent


def _run(
    evidence, request_id="r1", server_id="s", workspace="bench", key=False
):
    return evidence.begin_run(
        request_id, server_id, workspace=workspace, key_passed_on=key
    )


def _rules(evidence):
    return [violation.rule for violation in evidence.violations]


def test_one_run_breaks_nothing(evidence):
    _sent(evidence)
    evidence.end_run(_run(evidence))
    evidence.conclude()
    assert not evidence.violations


def test_a_second_run_of_what_may_run_once(evidence):
    _sent(evidence)
    _run(evidence)
    _run(evidence, server_id="t")
    assert _rules(evidence) == ["twice"]


def test_what_may_run_again_may(evidence):
    _sent(evidence, once=False)
    _run(evidence)
    _run(evidence, server_id="t")
    assert not evidence.violations


def test_a_run_before_and_after_a_promise(evidence):
    sent = _sent(evidence)
    evidence.promise(sent, 503)
    _run(evidence)
    other = _sent(evidence, request_id="r2")
    _run(evidence, "r2")
    evidence.promise(other, 503)
    assert _rules(evidence) == ["promise", "promise"]


def test_a_run_that_nobody_asked_for(evidence):
    _run(evidence)
    assert _rules(evidence) == ["unasked"]


@pytest.mark.parametrize("wrong", [{"workspace": "other"}, {"key": True}])
def test_a_wrong_workspace_or_a_key_that_is_passed_on(evidence, wrong):
    _sent(evidence)
    _run(evidence, **wrong)
    assert _rules(evidence) == ["workspace"]


@pytest.fixture
def long_drained(evidence, monkeypatch):
    monkeypatch.setattr(soak_evidence, "DRAIN_S", 0.0)
    monkeypatch.setattr(soak_evidence, "STABILITY_S", 0.0)
    evidence.drained("s")
    time.sleep(0.01)
    return evidence


def test_a_request_at_a_backend_server_that_has_left(long_drained):
    _sent(long_drained)
    long_drained.arrived("r1", "s")
    assert _rules(long_drained) == ["drain"]


def test_a_disturbed_front_may_be_late_with_a_drain(long_drained):
    _sent(long_drained)
    long_drained.disturb(soak_evidence.Part.FRONT, "f")
    long_drained.arrived("r1", "s")
    assert not long_drained.violations


def _many(evidence, count, **rest):
    for number in range(count):
        _sent(evidence, request_id=f"r{number}", **rest)


def test_answers_that_come_after_their_timeout(evidence):
    now = time.monotonic()
    _many(evidence, 6, sent_at=now - 5.0, ended_at=now)
    evidence.conclude()
    assert _rules(evidence) == ["timeout"]


def test_answers_at_their_timeout_are_in_time(evidence):
    now = time.monotonic()
    _many(evidence, 6, sent_at=now - 5.0, ended_at=now - 3.9)
    evidence.conclude()
    assert not evidence.violations


def test_work_that_goes_on_without_its_caller(evidence):
    now = time.monotonic()
    _many(evidence, 6, left_at=now - 1.0, sent_at=now - 1.1)
    for number in range(6):
        _run(evidence, f"r{number}").began_at = now - 1.05
    evidence.conclude()
    assert _rules(evidence) == ["gone"]


def test_a_fleet_that_does_not_recover(evidence):
    _many(evidence, 8)
    evidence.check_recovery(0.0)
    assert _rules(evidence) == ["recover"]


def test_a_fleet_that_recovers(evidence):
    _many(evidence, 8, succeeded=True, ended_at=time.monotonic())
    evidence.check_recovery(0.0)
    assert not evidence.violations


def test_a_disturbance_holds_for_a_while(evidence):
    now = time.monotonic()
    disturbance = evidence.disturb(soak_evidence.Part.FRONT, "f")
    assert not evidence.in_touch("f", now, now + 1)
    assert evidence.in_touch("g", now, now + 1)
    evidence.calm(disturbance)
    later = disturbance.ended_at + soak_evidence.STABILITY_S
    assert not evidence.in_touch("f", later - 0.1, later)
    assert evidence.in_touch("f", later + 0.1, later + 1)


def test_a_request_sent_after_a_mark_is_found(evidence, monkeypatch):
    monkeypatch.setattr(soak_evidence, "DRAIN_S", -1.0)
    _sent(evidence, request_id="r1")
    evidence.marked("r1", "s")
    _sent(evidence, request_id="r2")
    evidence.arrived("r2", "s")
    assert [v.rule for v in evidence.violations] == ["leaving"]


def test_requests_to_a_server_that_wants_nothing_are_found(
    evidence, monkeypatch
):
    monkeypatch.setattr(soak_evidence, "HELD_OFF_SLACK_S", -1.0)
    _sent(evidence, request_id="r")
    evidence.held_off("r", "s", until=float("inf"))
    for _ in range(soak_evidence.MOST_HELD_OFF):
        evidence.arrived("r", "s")
    assert not evidence.violations
    evidence.arrived("r", "s")
    assert [v.rule for v in evidence.violations] == ["held off"]


@pytest.mark.parametrize(
    "part",
    [
        soak_evidence.Part.SERVER,
        soak_evidence.Part.STORE,
        soak_evidence.Part.MACHINE,
    ],
)
def test_what_is_no_front_disturbs_all_fronts(evidence, part):
    now = time.monotonic()
    evidence.disturb(part, "s")
    assert not evidence.in_touch("f", now, now + 1)
    assert evidence.undisturbed(part, "t", now, now + 1)
    assert not evidence.undisturbed(part, "s", now, now + 1)
