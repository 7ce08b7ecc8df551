import dataclasses

import pytest

from dotterelgrade import messages
from dotterelgrade_entry import backend_view
from dotterelgrade_entry import priors

REPORT = messages.BackendReport(
    backend="engine",
    kind="engine",
    model="inlay",
    first_layer=0,
    last_layer=2,
    accelerator="a100",
    sequences=3,
    queued_tokens=40,
    slots_free=5,
    step_ms=4.0,
    token_ms=0.2,
)


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def view(clock):
    return backend_view.BackendView("10.0.0.1:7400", REPORT, clock=clock)


def test_own_work_is_added_to_a_stale_report(view):
    view.note_asked("r1", tokens=10)
    view.note_asked("r2", tokens=20)
    assert (view.slots_free, view.sequences, view.queued_tokens) == (3, 5, 70)
    view.note_released()
    assert (view.slots_free, view.sequences) == (4, 4)


def test_an_answer_to_an_admission_contains_it(view):
    view.note_asked("r1", tokens=10)
    after = dataclasses.replace(REPORT, sequences=4, slots_free=4)
    view.note_answered("r1", after)
    assert (view.slots_free, view.sequences, view.queued_tokens) == (4, 4, 50)
    view.note_prefilled(tokens=10)
    assert view.queued_tokens == 40
    view.note_prefilled(tokens=1_000)
    assert view.queued_tokens == 0


def test_an_admission_without_an_answer_is_forgotten(view):
    view.note_asked("r1", tokens=10)
    view.note_answered("r1", None)
    assert view.slots_free == 5


def test_ejections_double_and_end(view, clock):
    first = view.eject()
    assert view.is_ejected
    clock.now += first + 0.01
    assert view.is_usable
    assert view.eject() == 2 * first
    for _ in range(20):
        last = view.eject()
    assert last == 30.0


def test_what_is_new_or_returns_is_warmed_up(view, clock):
    assert view.warmth == 0.0
    clock.now += backend_view.SLOW_START_S / 2
    assert view.warmth == pytest.approx(0.5)
    clock.now += backend_view.SLOW_START_S
    assert view.warmth == 1.0
    view.note_report(dataclasses.replace(REPORT, healthy=False))
    assert not view.is_usable
    view.note_report(REPORT)
    assert (view.warmth, view.is_usable) == (0.0, True)


def test_what_was_there_before_the_entry_is_not_warmed_up(clock):
    view = backend_view.BackendView("a", REPORT, is_warm=True, clock=clock)
    assert view.warmth == 1.0


def test_an_engine_not_yet_measured_is_taken_for_one_of_its_kind(clock):
    known = priors.Priors()
    fresh = dataclasses.replace(REPORT, last_layer=5, step_ms=0.0, token_ms=0.0)
    view = backend_view.BackendView("b", fresh, priors=known, clock=clock)
    assert (view.step_ms, view.token_ms) == (0.0, 0.0)
    # Three sequences are more than a probe.
    assert not view.is_measured
    assert view.slots_free <= 0
    backend_view.BackendView("a", REPORT, priors=known, clock=clock)
    # Twice as many layers.
    assert view.step_ms == pytest.approx(8.0)
    assert view.token_ms == pytest.approx(0.4)
    assert view.slots_free == 5


def test_a_slow_spell_is_forgotten_once_an_engine_is_idle(clock):
    known = priors.Priors()
    backend_view.BackendView("a", REPORT, priors=known, clock=clock)
    slow = dataclasses.replace(REPORT, step_ms=80.0, sequences=0)
    view = backend_view.BackendView("b", slow, priors=known, clock=clock)
    assert view.step_ms == 80.0
    clock.now += 6
    assert view.step_ms < 20.0
    view.note_report(dataclasses.replace(slow, sequences=1))
    assert view.step_ms == 80.0
