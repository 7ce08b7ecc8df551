"""Batches, and engines whose answers are odd or late."""

import json

import gevent
import pytest

from dotterelgrade import errors
from dotterelgrade import journal as journal_lib
from dotterelgrade import messages
from dotterelgrade import supervision
from dotterelgrade_agent import batch
from dotterelgrade_agent import engine_client
from dotterelgrade_agent import orders
from dotterelgrade_agent import sequence as sequence_lib
from dotterelgrade_agent import step_times
from dotterelgrade_agent import weight_store_client

PROMPT = (5, 6, 7)


def _ready(admit, name, count, **changes):
    asked = admit(name, stage=0, next_hop=None, prompt_tokens=count, **changes)
    sequence = sequence_lib.Sequence(asked, buffer_values=10_000)
    step = messages.Step(
        request_id=name,
        attempt=1,
        stage=0,
        position=0,
        inputs=tuple(range(count)),
    )
    sequence.offer(step)
    return sequence


def _sizes(formed):
    return {
        entry.sequence.request_id: len(entry.work.inputs)
        for entry in formed.entries
    }


def test_a_batch_goes_by_priority_and_then_by_deadline(admit):
    ready = [
        _ready(admit, "late", 50, deadline_ms=900.0),
        _ready(admit, "soon", 50, deadline_ms=100.0),
        _ready(admit, "first", 50, priority=1, deadline_ms=5_000.0),
    ]
    formed = batch.form(ready, prefill_budget=80)
    assert _sizes(formed) == {"first": 50, "soon": 30}
    assert formed.prefill_tokens == 80


def test_a_long_prompt_never_holds_up_the_next_tokens(admit):
    ready = [_ready(admit, "prompt", 5_000, priority=0)]
    ready += [_ready(admit, f"r{n}", 1, priority=9) for n in range(5)]
    formed = batch.form(ready, prefill_budget=64)
    sizes = _sizes(formed)
    assert sizes.pop("prompt") == 64
    assert sizes == {f"r{n}": 1 for n in range(5)}


def test_the_prompt_budget_is_a_share_of_a_step():
    times = step_times.StepTimes()
    for _ in range(50):
        times.record(duration_ms=10.0, sequences=1, prefill_tokens=0)
        times.record(duration_ms=60.0, sequences=1, prefill_tokens=100)
    # A step takes 10 ms and a prompt token 0.5 ms.
    assert times.prefill_budget(stretch=2.0, most=512) == 40
    assert times.prefill_budget(stretch=2.0, most=30) == 30
    assert times.prefill_budget(stretch=0.01, most=512) > 0
    assert times.time_limit_s(prefill_tokens=0, most_s=10.0) == 1.0


def test_what_a_sequence_adds_is_learned_from_batches_of_many_sizes():
    times = step_times.StepTimes()
    assert (times.step_ms, times.sequence_ms, times.token_ms) == (0, 0, 0)
    for number in range(200):
        size = 1 + number % 16
        times.record(
            duration_ms=6.0 + 0.75 * size, sequences=size, prefill_tokens=0
        )
    assert abs(times.sequence_ms - 0.75) < 0.01
    for _ in range(2_000):
        times.record(duration_ms=12.0, sequences=8, prefill_tokens=0)
    assert abs(times.sequence_ms - 0.75) < 0.01
    assert abs(times.step_ms - 12.0) < 0.01


def test_the_time_limit_rises_with_an_engine_that_has_become_slow():
    times = step_times.StepTimes()
    assert times.time_limit_s(prefill_tokens=0, most_s=10.0) == 10.0
    times.record(duration_ms=100.0, sequences=1, prefill_tokens=0)
    assert times.time_limit_s(prefill_tokens=500, most_s=10.0) == 10.0
    assert times.time_limit_s(prefill_tokens=0, most_s=10.0) == 1.0
    times.record(duration_ms=1_000.0, sequences=1, prefill_tokens=0)
    assert times.time_limit_s(prefill_tokens=0, most_s=10.0) > 2.0


def test_a_fault_in_a_batch_does_not_stop_the_next_one(
    fleet, admit, monkeypatch
):
    target = fleet.engine_agent(2)
    fleet.wait_usable(target)
    backend = target._engines["engine"]
    monkeypatch.setattr(backend, "_deliver", lambda *_: 1 / 0)
    fleet.entry.send(target, admit("r1", stage=2, next_hop=None))
    fleet.entry.wait(messages.Admitted)
    fleet.step(target, "r1", 0, PROMPT, stage=2)
    failed = fleet.entry.wait(messages.StageFailed)
    assert failed.kind == errors.ErrorKind.ENGINE_FAILED
    monkeypatch.undo()
    fleet.wait_slot(target)
    fleet.entry.send(target, admit("r2", stage=2, next_hop=None))
    fleet.entry.wait(messages.Admitted)
    fleet.step(target, "r2", 0, PROMPT, stage=2)
    assert fleet.token("r2", 3) >= 0


def test_an_engine_full_of_strangers_is_cleaned_up(fleet, admit):
    target = fleet.engine_agent(0, max_sequences=2)
    fleet.wait_usable(target)
    engine = fleet.engines[target]
    item = {"position": 0, "inputs": [1], "priority": 1}
    engine._run_batch([{"sequence": f"s{n}", **item} for n in range(2)])
    fleet.entry.send(target, admit("r1", stage=0, next_hop=None))
    fleet.entry.wait(messages.Admitted)
    fleet.step(target, "r1", 0, PROMPT)
    fleet.entry.wait(messages.StageFailed)
    with gevent.Timeout(5):
        while engine.sequences:
            gevent.sleep(0.01)


def test_a_part_that_fails_starts_again(monkeypatch):
    monkeypatch.setattr(supervision, "RESTART_DELAY_S", 0.01)
    faults = [ValueError("first"), OSError("second")]

    def body():
        if faults:
            raise faults.pop()

    journal = journal_lib.Journal()
    supervision.keep_running(body, journal=journal)
    assert len(journal.latest()) == 2


ODD_ANSWERS = [
    b"",
    b"\xff\xfe",
    b"[]",
    b'{"results": [], "step_ms": 1}',
    b'{"results": 7, "step_ms": 1}',
    json.dumps(
        {
            "results": [
                {"sequence": "x", "position": 0, "outputs": [1], "error": None}
            ],
            "step_ms": 1,
        }
    ).encode(),
    b"[" * 100_000,
]


@pytest.mark.parametrize("body", ODD_ANSWERS)
def test_an_odd_answer_fails_the_stage_and_not_the_agent(
    fleet, admit, monkeypatch, body
):
    target = fleet.engine_agent(0)
    fleet.wait_usable(target)
    engine = fleet.engines[target]
    monkeypatch.setattr(engine, "_run_batch", lambda _: body)
    fleet.entry.send(target, admit("r1", stage=0, next_hop=None))
    fleet.entry.wait(messages.Admitted)
    fleet.step(target, "r1", 0, PROMPT)
    failed = fleet.entry.wait(messages.StageFailed)
    assert failed.kind == errors.ErrorKind.ENGINE_FAILED
    monkeypatch.undo()
    fleet.wait_slot(target)
    fleet.entry.send(target, admit("r2", stage=0, next_hop=None))
    fleet.entry.wait(messages.Admitted)


def test_a_frozen_engine_fails_its_stage_and_serves_again_later(fleet, admit):
    target = fleet.engine_agent(0, backend_options={"timeout_s": 0.5})
    fleet.wait_usable(target)
    engine = fleet.engines[target]
    fleet.entry.send(target, admit("r1", stage=0, next_hop=None))
    fleet.entry.wait(messages.Admitted)
    engine.set_faults(paused=True)
    fleet.step(target, "r1", 0, PROMPT)
    assert fleet.entry.wait(messages.StageFailed).request_id == "r1"
    engine.set_faults(paused=False)
    with gevent.Timeout(30):
        while engine.sequences or not target._engines["engine"].slots_free:
            gevent.sleep(0.05)


def test_a_fault_in_the_look_at_an_engine_does_not_end_it(fleet, monkeypatch):
    """The engine was never used again, or was used after it had failed."""
    status = engine_client.EngineClient.status
    calls = []

    def fail_once(client):
        calls.append(client)
        if len(calls) == 1:
            raise ArithmeticError("a fault")
        return status(client)

    monkeypatch.setattr(engine_client.EngineClient, "status", fail_once)
    target = fleet.engine_agent(0)
    fleet.wait_usable(target)


@pytest.mark.parametrize("checks_fence", [True, False])
def test_an_order_with_an_old_fencing_number_is_refused(fleet, checks_fence):
    target = fleet.engine_agent(0, checks_fence=checks_fence, load_s=0.01)
    fleet.wait_usable(target)
    backend = target._engines["engine"]
    given = orders.Orders(
        backend,
        host="127.30.0.1",
        store=weight_store_client.WeightStoreClient(target.settings.platform),
        journal=target.journal,
    )

    def order(fence):
        return engine_client.Order(
            order="load",
            model="inlay",
            version="1",
            first_layer=0,
            last_layer=2,
            fence=fence,
        )

    assert given.load(order(7), timeout_s=10) is not None
    refused = given.give(order(6)).failure()
    assert refused.kind == errors.ErrorKind.ENGINE_REFUSED
    assert fleet.engines[target].status()["fence"] == 7
    if checks_fence:
        answer = backend.client.order(order(6)).failure()
        assert answer.kind == errors.ErrorKind.ENGINE_REFUSED
