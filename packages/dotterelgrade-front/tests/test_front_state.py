import dataclasses

import pytest

from dotterelgrade_front import front_state

_SLACK = 320


def _state(settings, platform, *, fronts):
    own = dataclasses.replace(
        settings, retry_slack=_SLACK, retry_ratio=0.2, retry_window_s=10
    )
    state = front_state.FrontState(own, platform=platform)
    state.set_fronts(f"10.0.0.{number}:1" for number in range(fronts))
    return state


@pytest.mark.parametrize("fronts", [10, 68, 100])
def test_a_crash_that_breaks_a_few_streams_at_each_front_is_covered(
    settings, platform, fronts
):
    """Load pattern: a group crashes, and all its streams must go on at once."""
    budget = _state(settings, platform, fronts=fronts).budget("model")
    spent = sum(budget.spend() for _ in range(1_000))
    assert spent >= int(0.6 * _SLACK / fronts)


@pytest.mark.parametrize("fronts", [10, 68, 100])
def test_all_fronts_together_stay_within_the_window(
    settings, platform, monkeypatch, fronts
):
    """Load pattern: retries without end, and no request but them."""
    now = [0.0]
    monkeypatch.setattr("time.monotonic", lambda: now[0])
    budget = _state(settings, platform, fronts=fronts).budget("model")
    budget._clock = lambda: now[0]
    spent = 0
    for step in range(100):
        now[0] = step / 10
        spent += sum(budget.spend() for _ in range(100))
    assert spent * fronts <= _SLACK
