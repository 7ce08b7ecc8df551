import types

import gevent
import pytest
from returns import result

from dotterelgrade import errors
from dotterelgrade_entry import admission
from dotterelgrade_entry import cost_model
from dotterelgrade_entry import planner
from dotterelgrade_entry import request


def _request(workspace="bench", *, number=1, first_token_s=0.5, tokens=10):
    return request.Request(
        request.RequestOrder(
            request_id=f"{workspace}-{number}",
            workspace=workspace,
            model="inlay",
            prompt=(1, 2),
            max_tokens=tokens,
            first_token_s=first_token_s,
            between_tokens_s=0.1,
        )
    )


def _chain(first_s=0.1, between_s=0.01, *, sequences=1, step_ms=5.0):
    view = types.SimpleNamespace(
        key="a", sequences=sequences, is_measured=step_ms > 0
    )
    stage = planner.Stage(peer=None, view=view, first_layer=0, last_layer=8)
    cost = cost_model.Cost(first_s, between_s)
    return result.Success(planner.Chain(stages=(stage,), cost=cost))


FULL = result.Failure(
    errors.Error(kind=errors.ErrorKind.OVER_BOUND, message="full")
)
ABSENT = result.Failure(
    errors.Error(kind=errors.ErrorKind.NO_CAPACITY, message="no chain")
)


def _admission(**changes):
    options = {"predicts": True, "max_waiting": 10, **changes}
    return admission.Admission(**options)


def test_what_is_inside_both_bounds_is_let_in():
    entered = _admission().enter(_request(), lambda _: _chain())
    assert isinstance(entered, result.Success)


def test_a_first_token_after_the_bound_is_refused_at_once():
    entered = _admission().enter(_request(), lambda _: _chain(first_s=0.9))
    error = entered.failure()
    assert error.kind is errors.ErrorKind.OVER_BOUND
    assert error.run_state is errors.RunState.NOT_RUN
    assert error.retry_after_s == pytest.approx(0.45, abs=0.05)


def test_the_lack_of_any_chain_is_told_at_once():
    entered = _admission().enter(_request(first_token_s=60), lambda _: ABSENT)
    assert entered.failure().kind is errors.ErrorKind.NO_CAPACITY


def test_a_request_waits_for_a_slot_and_gets_it():
    gate = _admission()
    plans = [FULL]
    waiting = gevent.spawn(
        gate.enter, _request(first_token_s=20), lambda _: plans[0]
    )
    gevent.sleep(0)
    assert gate.dump()["waiting"] == {"bench": 1}
    gate.wake()
    gevent.sleep(0)
    assert not waiting.ready()
    plans[0] = _chain()
    gate.wake()
    assert isinstance(waiting.get(timeout=5), result.Success)
    assert gate.dump()["waiting"] == {}


def test_a_request_waits_while_the_time_between_tokens_is_over_the_bound():
    gate = _admission()
    plans = [_chain(between_s=0.2)]
    waiting = gevent.spawn(
        gate.enter, _request(first_token_s=20), lambda _: plans[0]
    )
    gevent.sleep(0)
    plans[0] = _chain()
    gate.wake()
    assert isinstance(waiting.get(timeout=5), result.Success)


def test_a_wait_ends_with_the_bound():
    entered = _admission().enter(_request(first_token_s=0.05), lambda _: FULL)
    assert entered.failure().kind is errors.ErrorKind.OVER_BOUND
    assert entered.failure().retry_after_s > 0


def test_a_wait_that_is_to_be_too_long_is_refused_at_once():
    gate = _admission(max_waiting=1_000)
    waiting = [
        gevent.spawn(
            gate.enter, _request(number=n, first_token_s=30), lambda _: FULL
        )
        for n in range(20)
    ]
    # A backlog from which nobody is served.
    gevent.sleep(0.5)
    assert not any(greenlet.ready() for greenlet in waiting)
    refused = gate.enter(_request(number=99, first_token_s=30), lambda _: FULL)
    assert refused.failure().kind is errors.ErrorKind.OVER_BOUND
    assert refused.failure().retry_after_s >= 30
    gevent.killall(waiting)
    assert gate.dump()["waiting"] == {}


def test_a_full_queue_refuses():
    gate = _admission(max_waiting=1)
    waiting = gevent.spawn(
        gate.enter, _request(first_token_s=20), lambda _: FULL
    )
    gevent.sleep(0)
    entered = gate.enter(_request(number=2, first_token_s=20), lambda _: FULL)
    assert isinstance(entered, result.Failure)
    waiting.kill()


def test_a_caller_that_goes_while_waiting_frees_its_place():
    gate = _admission()
    waiting = gevent.spawn(
        gate.enter, _request(first_token_s=20), lambda _: FULL
    )
    gevent.sleep(0)
    waiting.kill()
    assert gate.dump()["waiting"] == {}


def test_near_the_bound_a_workspace_over_its_share_yields():
    gate = _admission()
    for number in range(10):
        gate.enter(_request("studio", number=number), lambda _: _chain())
    gate.enter(_request("bench"), lambda _: _chain())
    near = _chain(first_s=0.385)
    assert isinstance(
        gate.enter(_request("bench"), lambda _: near), result.Success
    )
    assert isinstance(
        gate.enter(_request("studio"), lambda _: near), result.Failure
    )


@pytest.mark.parametrize("state", [{"sequences": 0}, {"step_ms": 0.0}])
def test_an_idle_or_unmeasured_chain_is_never_refused(state):
    gate = _admission()
    for _ in range(1_000):
        gate.between.note(measured_s=1.0, predicted_s=0.001)
    late = _chain(first_s=9.0, between_s=9.0, **state)
    assert gate.enter(_request(), lambda _: late) is late


def test_without_predictions_all_pass():
    gate = _admission(predicts=False)
    late = _chain(first_s=9.0, between_s=9.0)
    assert gate.enter(_request(), lambda _: late) is late
    assert gate.enter(_request(), lambda _: FULL) is FULL


def test_what_was_measured_corrects_what_is_predicted():
    gate = _admission()
    for _ in range(500):
        gate.first.note(measured_s=0.2, predicted_s=0.1)
    entered = gate.enter(_request(), lambda _: _chain(first_s=0.4))
    assert isinstance(entered, result.Failure)
