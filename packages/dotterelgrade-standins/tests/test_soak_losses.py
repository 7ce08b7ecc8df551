"""A request that ends without its answer is found; what may be cut is not."""

import time

import pytest

from dotterelgrade_standins import soak_evidence
from dotterelgrade_standins import soak_losses

_PART = soak_evidence.Part
_GRACE_S = 5.0


@pytest.fixture
def clock(monkeypatch):
    """A clock that a test sets, s."""
    times = [100.0]
    monkeypatch.setattr(soak_evidence.time, "monotonic", lambda: times[0])
    return times


class _Scene:
    """One request to front "f", and what becomes of it."""

    def __init__(self, clock):
        self.clock = clock
        self.evidence = soak_evidence.Evidence()
        self.losses = soak_losses.Losses(self.evidence)
        self.sent = None

    @property
    def rules(self):
        return [violation.rule for violation in self.evidence.violations]

    def wait(self, for_s):
        self.clock[0] += for_s

    def send(self):
        self.sent = soak_evidence.Sent(
            request_id="r1",
            front="f",
            once=False,
            allowed=True,
            workspace="",
            timeout_s=6.0,
            sent_at=time.monotonic(),
        )
        self.evidence.sent["r1"] = self.sent

    def run(self, server_id="s.1"):
        self.evidence.arrived("r1", server_id)
        return self.evidence.begin_run(
            "r1", server_id, workspace="", key_passed_on=False
        )

    def stop(self):
        return self.losses.stopping("f", grace_s=_GRACE_S)

    def cut(self, *, answer_began=True):
        self.losses.broken_off(self.sent, "closed", answer_began=answer_began)


@pytest.fixture
def scene(clock):
    return _Scene(clock)


@pytest.mark.parametrize("answer_began", [True, False])
def test_an_answer_broken_off_by_a_calm_front_is_lost(scene, answer_began):
    scene.send()
    scene.run()
    scene.cut(answer_began=answer_began)
    assert scene.rules == ["lost"]


def test_a_request_that_crosses_the_close_is_not_lost(scene):
    scene.send()
    scene.wait(soak_losses.CROSSING_S - 0.01)
    scene.cut(answer_began=False)
    assert scene.rules == []


def test_a_request_that_reached_a_server_did_not_cross_the_close(scene):
    scene.send()
    scene.evidence.arrived("r1", "s")
    scene.cut(answer_began=False)
    assert scene.rules == ["lost"]


def test_a_request_without_answer_or_refusal_is_lost(scene):
    scene.send()
    scene.wait(soak_losses.CROSSING_S + 0.01)
    scene.cut(answer_began=False)
    assert scene.rules == ["lost"]


def test_a_busy_machine_may_close_late(scene):
    scene.evidence.calm(scene.evidence.disturb(_PART.MACHINE))
    scene.evidence.disturb(_PART.MACHINE)
    scene.send()
    scene.wait(soak_losses.CROSSING_S + 0.01)
    scene.cut(answer_began=False)
    assert scene.rules == []


@pytest.mark.parametrize(
    ("part", "name", "rules"),
    [
        pytest.param(_PART.FRONT, "f", [], id="its front"),
        pytest.param(_PART.FRONT, "g", ["lost"], id="another front"),
        pytest.param(_PART.SERVER, "s", [], id="its server"),
        pytest.param(_PART.SERVER, "", [], id="all servers"),
        pytest.param(_PART.SERVER, "t", ["lost"], id="another server"),
        pytest.param(_PART.STORE, "", ["lost"], id="the store"),
        pytest.param(_PART.MACHINE, "", ["lost"], id="a busy machine"),
    ],
)
def test_only_what_strikes_its_front_or_server_excuses(
    scene, part, name, rules
):
    scene.send()
    scene.run()
    scene.evidence.disturb(part, name)
    scene.wait(0.5)
    scene.cut()
    assert scene.rules == rules


def test_a_server_that_was_disturbed_before_the_run_is_sound(scene):
    scene.evidence.calm(scene.evidence.disturb(_PART.SERVER, "s"))
    scene.wait(0.1)
    scene.send()
    scene.run()
    scene.wait(0.1)
    scene.cut()
    assert scene.rules == ["lost"]


def test_a_front_is_excused_for_a_while_after_a_disturbance(scene):
    scene.evidence.calm(scene.evidence.disturb(_PART.FRONT, "f"))
    scene.wait(soak_evidence.STABILITY_S - 0.1)
    scene.send()
    scene.run()
    scene.wait(0.5)
    scene.cut()
    assert scene.rules == []


def test_any_stage_of_a_chain_excuses(scene):
    scene.send()
    scene.run().servers.add("t")
    scene.evidence.disturb(_PART.SERVER, "t")
    scene.wait(0.5)
    scene.cut()
    assert scene.rules == []


def test_a_server_that_breaks_off_excuses_no_cut_from_another(scene):
    scene.send()
    first = scene.run()
    first.broke_off = True
    scene.cut()
    assert scene.rules == []
    scene.run("t")
    scene.cut()
    assert scene.rules == ["lost"]


def test_no_answer_at_all_is_lost_though_the_server_broke_off(scene):
    """A front that has read a request can say that its outcome is unknown."""
    scene.send()
    scene.run().broke_off = True
    scene.evidence.disturb(_PART.SERVER, "s")
    scene.wait(0.1)
    scene.cut(answer_began=False)
    assert scene.rules == ["lost"]


def test_a_request_at_its_timeout_is_not_lost(scene):
    scene.send()
    scene.run()
    scene.wait(scene.sent.timeout_s)
    scene.cut()
    assert scene.rules == []


def test_a_timeout_begins_before_the_caller_notes_that_it_has_sent(scene):
    """A busy machine lets a front read a request before that (seed 223)."""
    scene.send()
    scene.wait(0.002)
    scene.sent.sent_at = time.monotonic()
    scene.run()
    scene.wait(scene.sent.timeout_s - 0.003)
    scene.cut()
    assert scene.rules == ["lost"]
    scene.wait(0.001)
    scene.cut()
    assert scene.rules == ["lost"]


@pytest.mark.parametrize(
    ("sent_s", "broken_s", "rules"),
    [
        pytest.param(2.5, 4.5, [], id="stream longer than the rest of a stop"),
        pytest.param(2.5, 4.1, ["lost"], id="before the last sixth"),
        pytest.param(3.1, 4.5, ["lost"], id="sent too late to be excused"),
    ],
)
def test_a_stop_of_five_seconds_may_break_off(scene, sent_s, broken_s, rules):
    scene.stop()
    scene.wait(sent_s)
    scene.send()
    scene.run()
    scene.wait(broken_s - sent_s)
    scene.cut()
    assert scene.rules == rules


def test_a_stop_excuses_no_request_that_no_server_has(scene):
    scene.stop()
    scene.send()
    scene.wait(4.5)
    scene.cut(answer_began=False)
    assert scene.rules == ["lost"]


def test_a_stop_excuses_no_run_that_ended_before_its_last_part(scene):
    scene.stop()
    scene.send()
    run = scene.run()
    scene.wait(4.1)
    scene.evidence.end_run(run)
    scene.wait(0.4)
    scene.cut()
    assert scene.rules == ["lost"]


def test_a_stop_excuses_no_answer_that_was_ready(scene):
    """Another server works on a first attempt, but the answer was there."""
    scene.stop()
    scene.send()
    scene.run()
    second = scene.run("t")
    scene.wait(4.4)
    second.answered = True
    scene.evidence.end_run(second)
    scene.wait(0.1)
    scene.cut()
    assert scene.rules == ["lost"]


def test_a_stop_excuses_no_attempt_that_was_given_up(scene):
    """An abandoned first server may work on; the last one had ended."""
    scene.stop()
    scene.send()
    scene.run()
    scene.evidence.end_run(scene.run("t"))
    scene.wait(4.5)
    scene.cut()
    assert scene.rules == ["lost"]


def test_a_second_signal_does_not_begin_a_stop_anew(scene):
    scene.stop()
    scene.wait(1.0)
    scene.stop()
    scene.wait(2.5)
    scene.send()
    scene.run()
    scene.wait(1.0)
    scene.cut()
    assert scene.rules == ["lost"]


def test_the_stop_of_the_process_before_excuses_nothing(scene):
    """Two stops in a row, the second within the grace period of the first."""
    scene.stop().ended_at = time.monotonic() + 1.0
    scene.wait(2.0)
    second = scene.stop()
    scene.wait(0.5)
    scene.send()
    scene.run()
    scene.wait(2.0)
    scene.cut()
    assert scene.rules == ["lost"]
    scene.wait(second.last_part_at - time.monotonic())
    scene.cut()
    assert scene.rules == ["lost"]
