"""Stages over real connections: replacement, replay, refusal, clean-up."""

import gevent
import pytest

from dotterelgrade import errors
from dotterelgrade import messages
from dotterelgrade_agent import stages
from dotterelgrade_standins import layers

PROMPT = (5, 6, 7)


def _expected(count):
    return layers.expected_tokens(PROMPT, layers=9, max_tokens=count)


def _rewire(fleet, target, stage, *, next_hop, attempt, mute_before):
    fleet.entry.send(
        target,
        messages.Rewire(
            request_id="r1",
            attempt=attempt,
            stage=stage,
            next_hop=next_hop,
            mute_before=mute_before,
        ),
    )
    return fleet.entry.wait(messages.Rewired)


def _runs(engine):
    return [
        position
        for run in engine.runs
        for position in range(run.position, run.position + run.count)
    ]


def test_a_replaced_stage_is_replayed_to_and_survivors_do_not_run_again(
    fleet, hop, admit
):
    first, middle, last = fleet.chain()
    fleet.admit_chain("r1", [first, middle, last])
    tokens = fleet.generate(first, "r1", PROMPT, 3)
    # The step at position 6 hangs in the stage that dies.
    fleet.engines[middle].set_faults(paused=True)
    middle.stack.close()
    failed = fleet.entry.wait(messages.StageFailed)
    assert (failed.stage, failed.attempt) == (1, 1)
    spare = fleet.engine_agent(1)
    fleet.wait_usable(spare)
    current = len(PROMPT) + 2
    fleet.entry.send(
        spare,
        admit(
            "r1",
            stage=1,
            next_hop=hop(last),
            attempt=2,
            mute_before=current,
        ),
    )
    fleet.entry.wait(messages.Admitted)
    _rewire(
        fleet, first, 0, next_hop=hop(spare), attempt=2, mute_before=current
    )
    _rewire(fleet, last, 2, next_hop=None, attempt=2, mute_before=current)
    fleet.entry.send(first, messages.Replay(request_id="r1", attempt=2))
    fleet.step(first, "r1", current, tokens[-1:], attempt=2)
    tokens = list(tokens)
    for position in range(current + 1, current + 4):
        tokens.append(fleet.token("r1", position))
        fleet.step(first, "r1", position, tokens[-1:], attempt=2)
    assert tuple(tokens) == _expected(6)
    for target in (first, spare, last):
        ran = _runs(fleet.engines[target])
        assert ran == list(range(len(ran)))


def test_late_frames_of_an_earlier_attempt_are_dropped(fleet):
    agents = fleet.chain()
    fleet.admit_chain("r1", agents)
    fleet.step(agents[0], "r1", 0, PROMPT)
    fleet.token("r1", 3)
    fleet.admit_chain("r1", agents, attempt=2)
    fleet.step(agents[0], "r1", 3, (1,), attempt=1)
    assert fleet.generate(agents[0], "r1", PROMPT, 4, attempt=2) == _expected(4)


def test_a_gap_between_stages_is_told_to_the_entry(fleet):
    agents = fleet.chain()
    fleet.admit_chain("r1", agents)
    fleet.step(agents[0], "r1", 0, PROMPT)
    fleet.token("r1", 3)
    fleet.step(agents[0], "r1", 5, (1,))
    failed = fleet.entry.wait(messages.StageFailed)
    assert (failed.stage, failed.kind) == (0, errors.ErrorKind.INTERRUPTED)


def test_an_engine_that_dies_in_a_step_fails_its_stage(fleet):
    agents = fleet.chain()
    fleet.admit_chain("r1", agents)
    fleet.step(agents[0], "r1", 0, PROMPT)
    token = fleet.token("r1", 3)
    fleet.engines[agents[1]].set_faults(dead=True)
    fleet.step(agents[0], "r1", 3, (token,))
    failed = fleet.entry.wait(messages.StageFailed)
    assert (failed.stage, failed.kind) == (1, errors.ErrorKind.ENGINE_FAILED)
    report = fleet.entry.wait(
        messages.Report, where=lambda r: not r.backends[0].healthy
    )
    assert report.backends[0].slots_free == 0


def test_a_next_hop_that_can_not_be_reached_is_named(fleet, hop, admit):
    first = fleet.engine_agent(0)
    fleet.wait_usable(first)
    nowhere = messages.Hop(host="127.30.250.1", port=17400, backend="engine")
    fleet.entry.send(first, admit("r1", stage=0, next_hop=nowhere))
    fleet.entry.wait(messages.Admitted)
    fleet.step(first, "r1", 0, PROMPT)
    failed = fleet.entry.wait(messages.StageFailed)
    assert (failed.stage, failed.kind) == (1, errors.ErrorKind.PEER_UNREACHABLE)


@pytest.mark.parametrize(
    ("changes", "kind"),
    [
        ({"backend": "other"}, errors.ErrorKind.ENGINE_REFUSED),
        ({"model": "other"}, errors.ErrorKind.ENGINE_REFUSED),
        ({"last_layer": 7}, errors.ErrorKind.ENGINE_REFUSED),
    ],
)
def test_an_admission_for_what_is_not_held_is_refused(
    fleet, admit, changes, kind
):
    target = fleet.engine_agent(0)
    fleet.wait_usable(target)
    fleet.entry.send(target, admit("r1", stage=0, next_hop=None, **changes))
    refused = fleet.entry.wait(messages.Refused)
    assert refused.kind == kind
    assert fleet.engines[target].runs == []


def test_slots_are_bounded_and_given_back(fleet, admit):
    target = fleet.engine_agent(0, max_sequences=2)
    fleet.wait_usable(target)
    for name in ("r1", "r2", "r3"):
        fleet.entry.send(target, admit(name, stage=0, next_hop=None))
    fleet.entry.wait(messages.Admitted)
    fleet.entry.wait(messages.Admitted)
    refused = fleet.entry.wait(messages.Refused)
    assert refused.kind == errors.ErrorKind.NO_CAPACITY
    assert refused.retry_after_ms > 0
    fleet.entry.send(target, messages.Release(request_id="r1", attempt=1))
    fleet.entry.send(target, admit("r4", stage=0, next_hop=None))
    assert fleet.entry.wait(messages.Admitted).request_id == "r4"


def test_an_admission_after_its_release_takes_no_slot(fleet, admit):
    target = fleet.engine_agent(0)
    fleet.wait_usable(target)
    fleet.entry.send(target, messages.Release(request_id="r1", attempt=3))
    fleet.entry.send(target, admit("r1", stage=0, next_hop=None, attempt=3))
    refused = fleet.entry.wait(messages.Refused)
    assert refused.kind == errors.ErrorKind.INTERRUPTED
    assert target.in_flight == 0


def test_an_admission_sent_twice_takes_one_slot(fleet, admit):
    target = fleet.engine_agent(0)
    fleet.wait_usable(target)
    for _ in range(2):
        fleet.entry.send(target, admit("r1", stage=0, next_hop=None))
        fleet.entry.wait(messages.Admitted)
    assert target.in_flight == 1


def test_release_cancels_at_the_engine(fleet):
    agents = fleet.chain()
    fleet.admit_chain("r1", agents)
    fleet.step(agents[0], "r1", 0, PROMPT)
    fleet.token("r1", 3)
    for target in agents:
        assert fleet.engines[target].sequences
        fleet.entry.send(target, messages.Release(request_id="r1", attempt=1))
    with gevent.Timeout(10):
        while any(fleet.engines[target].sequences for target in agents):
            gevent.sleep(0.01)


def test_sequences_of_a_lost_entry_are_cancelled_after_the_grace(fleet):
    agents = fleet.chain()
    fleet.admit_chain("r1", agents)
    fleet.step(agents[0], "r1", 0, PROMPT)
    fleet.token("r1", 3)
    for target in agents:
        fleet.entry.connections[target].close("killed")
    with gevent.Timeout(10):
        while any(target.in_flight for target in agents):
            gevent.sleep(0.01)
        while any(fleet.engines[target].sequences for target in agents):
            gevent.sleep(0.01)


def test_an_entry_that_comes_back_in_time_keeps_its_sequences(fleet):
    agents = fleet.chain()
    fleet.admit_chain("r1", agents)
    fleet.step(agents[0], "r1", 0, PROMPT)
    token = fleet.token("r1", 3)
    old = [fleet.entry.connections[target] for target in agents]
    for connection in old:
        connection.close("link cut")
    for target in agents:
        fleet.entry.dial(target)
    fleet.step(agents[0], "r1", 3, (token,))
    assert (token, fleet.token("r1", 4)) == _expected(2)


def test_a_stage_that_its_entry_forgot_ends(fleet, admit, monkeypatch):
    monkeypatch.setattr(stages, "IDLE_LIMIT_S", 0.1)
    monkeypatch.setattr(stages, "SWEEP_INTERVAL_S", 0.1)
    target = fleet.engine_agent(0)
    fleet.wait_usable(target)
    fleet.entry.send(target, admit("r1", stage=0, next_hop=None))
    assert fleet.entry.wait(messages.StageFailed).request_id == "r1"
    assert target.in_flight == 0


def test_stages_on_one_agent_pass_steps_without_a_connection(fleet, hop, admit):
    backends = [fleet.backend(stage, name=f"e{stage}") for stage in range(3)]
    target = fleet.start(fleet.settings(backends))
    fleet.wait_usable(target)
    for stage in range(3):
        next_hop = None if stage == 2 else hop(target, f"e{stage + 1}")
        fleet.entry.send(
            target,
            admit("r1", stage=stage, backend=f"e{stage}", next_hop=next_hop),
        )
        fleet.entry.wait(messages.Admitted)
    assert fleet.generate(target, "r1", PROMPT, 4) == _expected(4)


def test_only_entries_may_admit(fleet, admit):
    target = fleet.engine_agent(0)
    fleet.wait_usable(target)
    connection = fleet.dial_as_agent(target)
    connection.send(admit("r1", stage=0, next_hop=None))
    with gevent.Timeout(10):
        assert list(connection) == []
    assert target.in_flight == 0


def test_a_fault_in_a_frame_ends_only_its_connection(fleet, admit, monkeypatch):
    target = fleet.engine_agent(0)
    fleet.wait_usable(target)
    first = fleet.entry.connections[target]
    monkeypatch.setattr(target._stages, "release", lambda _: 1 / 0)
    fleet.entry.send(target, messages.Release(request_id="r1", attempt=1))
    with gevent.Timeout(10):
        while first.is_open:
            gevent.sleep(0.01)
    fleet.entry.dial(target)
    fleet.entry.send(target, admit("r2", stage=0, next_hop=None))
    fleet.entry.wait(messages.Admitted)
