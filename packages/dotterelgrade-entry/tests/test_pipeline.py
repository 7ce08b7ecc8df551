import dataclasses

import gevent
import pytest

from dotterelgrade import messages
from dotterelgrade_entry import entry_settings

PROMPT = "pear rosewood ebony"
SLOW = {"time_scale": 20.0}


def _start(cell, *, spares=1, **options):
    cell.nodes = {}
    for first in (0, 3, 6):
        for _ in range(1 + spares):
            node = cell.start_agent(first, first + 2, **SLOW)
            cell.nodes[node.host] = node
    cell.entry = cell.start_entry(**options)
    cell.wait_for(cell.entry, engines=3 * (1 + spares))
    return cell


def _node(cell, key):
    return cell.nodes[key.partition(":")[0]]


def _in_background(cell, **options):
    return gevent.spawn(
        cell.complete, cell.entry, PROMPT, max_tokens=12, **options
    )


@pytest.mark.parametrize("dead", [(0,), (1,), (2,), (0, 1), (0, 2), (1, 2)])
def test_lost_stages_are_replaced_in_the_middle_of_an_answer(
    cell, helpers, dead
):
    _start(cell)
    answer = _in_background(cell)
    request = helpers.wait_for_tokens(cell.entry, 3)
    for index in dead:
        _node(cell, request["stages"][index]).kill()
    text = helpers.text_of(answer.get(timeout=30))
    assert text == helpers.expected_text(PROMPT, max_tokens=12)
    assert "stage_lost" in helpers.decisions(cell.entry)
    assert "stage_replaced" in helpers.decisions(cell.entry)


def test_surviving_stages_do_not_run_again(cell, helpers):
    _start(cell)
    answer = _in_background(cell)
    request = helpers.wait_for_tokens(cell.entry, 3)
    survivor = _node(cell, request["stages"][0]).engine
    _node(cell, request["stages"][1]).kill()
    assert answer.get(timeout=30).status == 200
    # Each of 3 prompt tokens and the 11 generated ones before the last.
    assert survivor.tokens_run == 14


def test_a_new_attempt_starts_when_all_stages_are_lost(cell, helpers):
    _start(cell)
    answer = _in_background(cell)
    request = helpers.wait_for_tokens(cell.entry, 3)
    for key in request["stages"]:
        _node(cell, key).kill()
    text = helpers.text_of(answer.get(timeout=30))
    assert text == helpers.expected_text(PROMPT, max_tokens=12)
    assert "attempt_started" in helpers.decisions(cell.entry)


def test_a_frozen_agent_is_replaced(cell, helpers):
    shaper = helpers.FreezableShaper()
    frozen = cell.start_agent(3, 5, shaper=shaper, **SLOW)
    cell.start_agent(0, 2, **SLOW)
    cell.start_agent(6, 8, **SLOW)
    cell.entry = cell.start_entry()
    cell.wait_for(cell.entry, engines=3)
    answer = _in_background(cell)
    helpers.wait_for_tokens(cell.entry, 3)
    cell.start_agent(3, 5, **SLOW)
    cell.wait_for(cell.entry, engines=4)
    shaper.freeze()
    text = helpers.text_of(answer.get(timeout=30))
    shaper.thaw()
    assert text == helpers.expected_text(PROMPT, max_tokens=12)
    assert frozen.engine.tokens_run < 14


def test_a_paused_engine_behind_a_live_agent_is_replaced(cell, helpers):
    _start(cell)
    answer = _in_background(cell)
    request = helpers.wait_for_tokens(cell.entry, 3)
    _node(cell, request["stages"][1]).engine.set_faults(paused=True)
    text = helpers.text_of(answer.get(timeout=30))
    assert text == helpers.expected_text(PROMPT, max_tokens=12)


def test_without_a_replacement_the_answer_is_an_error_that_does_not_lie(
    cell, helpers
):
    _start(cell, spares=0, give_up_s=0.3)
    answer = _in_background(cell)
    request = helpers.wait_for_tokens(cell.entry, 3)
    _node(cell, request["stages"][1]).kill()
    error = answer.get(timeout=30).error
    assert (error["kind"], error["run"]) == ("interrupted", "unknown")


def test_a_stream_that_breaks_ends_with_an_error_event(cell, helpers):
    _start(cell, spares=0, give_up_s=0.3)
    answer = _in_background(cell, stream=True)
    request = helpers.wait_for_tokens(cell.entry, 3)
    _node(cell, request["stages"][2]).kill()
    events = answer.get(timeout=30).events()
    assert '"interrupted"' in events[-1]
    assert "[DONE]" not in events


def test_a_caller_that_hangs_up_releases_its_sequences(cell, helpers):
    _start(cell, spares=0)
    answer = _in_background(cell, timeout_s=30)
    helpers.wait_for_tokens(cell.entry, 2)
    engines = [node.engine for node in cell.nodes.values()]
    assert all(engine.sequences for engine in engines)
    answer.kill()
    helpers.wait_until(lambda: not any(e.sequences for e in engines))
    helpers.wait_until(lambda: not cell.entry.dump()["requests"])
    assert all(engine.tokens_run < 14 for engine in engines)
    assert cell.entry.dump()["workspaces"] == {}


def _refused(admit, **fields):
    """Returns the refusal of an agent whose engine is full."""
    return messages.Refused(
        request_id=admit.request_id,
        attempt=admit.attempt,
        stage=admit.stage,
        kind="no_capacity",
        message="engine has no free slot",
        **fields,
    )


def test_a_refused_admission_runs_nothing_and_another_chain_is_tried(
    cell, helpers
):
    def refuse(agent, connection, frame):
        if isinstance(frame, messages.Admit):
            connection.send(_refused(frame))

    for first in (0, 3, 6):
        cell.start_agent(first, first + 2)
    fake = cell.start_fake_agent(3, 5, refuse)
    entry = cell.start_entry()
    cell.wait_for(entry, engines=4)
    answer = cell.complete(entry, PROMPT)
    assert helpers.text_of(answer) == helpers.expected_text(PROMPT)
    assert len(fake.of(messages.Admit)) == 1
    assert not fake.of(messages.Steps)
    assert "admission_refused" in helpers.decisions(entry)


def test_an_agent_that_never_answers_is_given_up_at_once(cell, helpers):
    for first in (0, 3, 6):
        cell.start_agent(first, first + 2)
    fake = cell.start_fake_agent(0, 2, lambda *_: None)
    entry = cell.start_entry()
    cell.wait_for(entry, engines=4)
    answer = cell.complete(entry, PROMPT)
    assert helpers.text_of(answer) == helpers.expected_text(PROMPT)
    assert fake.of(messages.Release)


def test_tokens_of_an_old_attempt_or_a_wrong_place_are_ignored(cell, helpers):
    def babble(agent, connection, frame):
        if isinstance(frame, messages.Admit):
            connection.send(agent.admitted(frame))
        for step in getattr(frame, "steps", ()):
            end = step.position + len(step.inputs)
            wrong = [
                (step.request_id, step.attempt - 1, end),
                (step.request_id, step.attempt, end + 1),
                (step.request_id, step.attempt, end - 1),
                ("another", step.attempt, end),
            ]
            tokens = [
                messages.Token(
                    request_id=name, attempt=attempt, position=at, token=666
                )
                for name, attempt, at in wrong
            ]
            right = messages.Token(
                request_id=step.request_id,
                attempt=step.attempt,
                position=end,
                token=end,
            )
            batch = messages.Tokens(tokens=(*tokens, right, right))
            connection.send(batch)

    cell.start_fake_agent(0, helpers.LAYERS - 1, babble)
    entry = cell.start_entry()
    cell.wait_for(entry, engines=1)
    answer = cell.complete(entry, PROMPT, max_tokens=4)
    assert helpers.text_of(answer) == " t3 t4 t5 t6"


def test_no_model_and_no_capacity_are_told_apart(cell, helpers):
    entry = cell.start_entry()
    helpers.wait_until(lambda: entry.is_ready)
    error = cell.complete(entry, PROMPT).error
    assert (error["kind"], error["run"]) == ("no_capacity", "not_run")
    assert error["retry_after_s"] > 0
    body = {"model": "other", "prompt": PROMPT}
    error = cell.call(entry, "/v1/completions", body).error
    assert error["kind"] == "unknown_model"


def test_settings_name_a_known_policy(cell):
    with pytest.raises(ValueError, match="expected one of"):
        cell.start_entry(policy="best")
    assert entry_settings.EntrySettings.policy == "predicted"


def test_a_caller_refused_after_a_lost_race_is_told_the_wait_of_the_queue(
    cell, helpers
):
    """Load pattern: other entries take the slots, and none becomes free."""

    def race(agent, connection, frame):
        if isinstance(frame, messages.Admit):
            full = dataclasses.replace(agent.report, slots_free=0)
            connection.send(_refused(frame, report=full))

    cell.start_fake_agent(0, helpers.LAYERS - 1, race)
    entry = cell.start_entry()
    cell.wait_for(entry, engines=1)
    error = cell.complete(entry, PROMPT, max_tokens=2).error
    assert (error["kind"], error["run"]) == ("over_bound", "not_run")
    assert "wait for capacity" in error["message"]


def test_a_lost_race_for_a_free_slot_uses_up_no_try(cell, helpers):
    """Load pattern: several entries go for each slot that becomes free."""
    lost = []

    def race(agent, connection, frame):
        if isinstance(frame, messages.Admit) and len(lost) < 8:
            lost.append(frame)
            full = dataclasses.replace(agent.report, slots_free=0)
            connection.send(_refused(frame, report=full))
            # Another slot becomes free, and the report wakes who waits.
            gevent.spawn_later(0.03, _report, agent, connection)
        elif isinstance(frame, messages.Admit):
            connection.send(agent.admitted(frame))
        for step in getattr(frame, "steps", ()):
            end = step.position + len(step.inputs)
            token = messages.Token(
                request_id=step.request_id,
                attempt=step.attempt,
                position=end,
                token=end,
            )
            connection.send(messages.Tokens(tokens=(token,)))

    def _report(agent, connection):
        connection.send(
            messages.Report(
                state=messages.ProcessState.READY,
                contract_offset=0,
                backends=(agent.report,),
            )
        )

    cell.start_fake_agent(0, helpers.LAYERS - 1, race)
    entry = cell.start_entry()
    cell.wait_for(entry, engines=1)
    answer = cell.complete(entry, PROMPT, max_tokens=2)
    assert answer.status == 200, answer.body
    assert len(lost) == 8


@pytest.mark.parametrize(
    ("stage", "pause_s"), [(0, 1.7), (1, 0.5), (1, 3.0), (2, 1.7)]
)
def test_a_silent_engine_without_a_replacement_is_waited_for(
    cell, helpers, stage, pause_s
):
    """The attempt was given up though no other one was possible."""
    _start(cell, spares=0)
    answer = _in_background(cell)
    request = helpers.wait_for_tokens(cell.entry, 3)
    engine = _node(cell, request["stages"][stage]).engine
    engine.set_faults(paused=True)
    gevent.sleep(pause_s)
    engine.set_faults(paused=False)
    text = helpers.text_of(answer.get(timeout=30))
    assert text == helpers.expected_text(PROMPT, max_tokens=12)


@pytest.mark.parametrize(("stage", "pause_s"), [(0, 1.7), (1, 3.0), (2, 1.7)])
def test_a_silent_agent_without_a_replacement_is_waited_for(
    cell, helpers, stage, pause_s
):
    """Both the entry and the other agents hear nothing of it."""
    shapers = [helpers.FreezableShaper() for _ in range(3)]
    cell.nodes = [
        cell.start_agent(first, first + 2, shaper=shaper, **SLOW)
        for first, shaper in zip((0, 3, 6), shapers, strict=True)
    ]
    cell.entry = cell.start_entry()
    cell.wait_for(cell.entry, engines=3)
    answer = _in_background(cell)
    helpers.wait_for_tokens(cell.entry, 3)
    shapers[stage].freeze()
    gevent.sleep(pause_s)
    shapers[stage].thaw()
    text = helpers.text_of(answer.get(timeout=30))
    assert text == helpers.expected_text(PROMPT, max_tokens=12)
