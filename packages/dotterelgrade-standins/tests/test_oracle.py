import pytest

from dotterelgrade_standins import layers
from dotterelgrade_standins import oracle

_LAYERS = 6
_PROMPT = "inlay of veneer"


def _text(prompt=_PROMPT, *, max_tokens=4):
    tokens = layers.expected_tokens(
        layers.tokenize(prompt), layers=_LAYERS, max_tokens=max_tokens
    )
    return "".join(f" t{token}" for token in tokens)


@pytest.fixture
def judge():
    judge = oracle.Oracle(layers_of={"inlay": _LAYERS})
    judge.sent(call="c1", model="inlay", prompt=_PROMPT, max_tokens=4)
    judge.sent(call="d1")
    return judge


def _step(judge, *, position=0, count=3, sequence="r1", at_s=0.0, engine="e1"):
    judge.ran_step(
        engine=engine,
        host="127.50.0.1",
        sequence=sequence,
        position=position,
        count=count,
        first_layer=0,
        at_s=at_s,
    )


def _good(judge):
    judge.answered(call="c1", text=_text())
    judge.answered(call="d1", account="d1")
    judge.ran_deposit(account="d1", host="127.50.0.9", at_s=1e9)
    _step(judge)
    _step(judge, position=3, count=1)


def test_right_answers_break_no_promise(judge):
    _good(judge)
    assert judge.violations() == []
    assert judge.counts() == oracle.Counts(whole=2, lost=0, doubled=0, wrong=0)


def test_call_without_any_answer_is_lost(judge):
    assert judge.counts().lost == 2
    assert len(judge.violations()) == 2


def test_honest_error_is_lost_but_breaks_no_promise(judge):
    judge.failed(call="c1", run="unknown")
    judge.failed(call="d1", run="not_run")
    assert judge.violations() == []
    assert judge.counts() == oracle.Counts(whole=0, lost=1, doubled=0, wrong=0)


@pytest.mark.parametrize(
    "text",
    [_text("veneer of inlay"), _text() + " t1", _text(max_tokens=3), ""],
)
def test_answer_that_is_not_the_callers_own_is_wrong(judge, text):
    _good(judge)
    judge.answered(call="c1", text=text)
    assert judge.counts().wrong == 1


def test_partial_answer_must_be_a_beginning_of_the_whole(judge):
    _good(judge)
    judge.answered(call="c1", text=_text(max_tokens=2), complete=False)
    judge.failed(call="c1", run="ran")
    assert judge.violations() == []
    judge.answered(call="c1", text=" t1 t2", complete=False)
    assert len(judge.violations()) == 1


def test_not_run_that_ran_is_wrong(judge):
    _good(judge)
    judge.failed(call="c1", run="not_run", request_id="r1")
    assert "not_run" in judge.violations()[0]


def test_deposit_told_not_run_that_ran_is_wrong(judge):
    judge.failed(call="d1", run="not_run")
    judge.ran_deposit(account="d1", host="127.50.0.9", at_s=1e9)
    assert judge.counts().wrong == 1


def test_deposit_that_ran_twice_is_doubled(judge):
    _good(judge)
    judge.ran_deposit(account="d1", host="127.50.0.9", at_s=1e9)
    assert judge.counts().doubled == 1


@pytest.mark.parametrize("position", [0, 2, 5])
def test_step_out_of_order_is_doubled(judge, position):
    _step(judge)
    _step(judge, position=position)
    assert judge.counts().doubled >= 1


def test_layers_may_run_again_only_after_a_fault(judge):
    _good(judge)
    _step(judge, engine="e2")
    assert judge.counts().doubled == 1
    judge.fault()
    assert judge.counts().doubled == 0


def test_new_work_after_leaving_is_wrong(judge):
    _good(judge)
    judge.leaving(host="127.50.0.1", at_s=10.0)
    _step(judge, sequence="r2", at_s=12.0)
    _step(judge, position=4, count=1, at_s=20.0)
    assert judge.violations() == []
    _step(judge, sequence="r3", at_s=14.0)
    assert judge.counts().wrong == 1


def _observe(judge, *, offset, text, line_offset=1, at_s=0.0):
    lines = {} if text is None else {"drain host=h": (text, line_offset)}
    judge.observed(process="p1", offset=offset, lines=lines, at_s=at_s)


@pytest.fixture
def edited(judge):
    _good(judge)
    judge.accepted(identity="drain host=h", text="old", offset=1, at_s=0.0)
    judge.accepted(identity="drain host=h", text="new", offset=5, at_s=0.0)
    return judge


def test_contract_in_force_breaks_no_promise(edited):
    _observe(edited, offset=0, text=None)
    _observe(edited, offset=4, text="old")
    _observe(edited, offset=5, text="new", line_offset=5)
    _observe(edited, offset=9, text="newer", line_offset=9, at_s=99.0)
    assert edited.violations() == []


@pytest.mark.parametrize(
    ("offset", "text"), [(4, None), (5, "old"), (9, None), (4, "other")]
)
def test_accepted_line_that_is_not_in_force_is_wrong(edited, offset, text):
    _observe(edited, offset=offset, text=text)
    assert edited.counts().wrong == 1


def test_accepted_line_must_come_into_force_in_time(edited):
    _observe(edited, offset=4, text="old", at_s=99.0)
    assert edited.counts().wrong == 1


def test_contract_that_goes_back_is_wrong(edited):
    _observe(edited, offset=5, text="new", line_offset=5)
    _observe(edited, offset=4, text="old")
    assert edited.counts().wrong == 1
