import dataclasses

import pytest

from dotterelgrade_front import front_state

_SLACK = 320


def _state(settings, platform, *, fronts):
    limits = dataclasses.replace(
        settings, retry_slack=_SLACK, retry_ratio=0.2, retry_window_s=10
    )
    state = front_state.FrontState(limits, platform=platform)
    state.set_fronts(f"10.0.0.{number}:1" for number in range(fronts))
    return state


@pytest.mark.parametrize("fronts", [10, 68, 100])
def test_burst_capacity_covers_a_crash_that_breaks_streams_at_each_front(
    settings, platform, fronts
):
    """A group of engines crashes, and all its streams are retried at once."""
    budget = _state(settings, platform, fronts=fronts).retry_budget_for("model")
    spent = sum(budget.spend() for _ in range(1_000))
    assert spent >= int(0.6 * _SLACK / fronts)


@pytest.mark.parametrize("fronts", [10, 68, 100])
def test_retries_of_all_fronts_stay_within_the_slack_of_a_window(
    settings, platform, monkeypatch, fronts
):
    """Retries are attempted without end, and no request earns any."""
    now = [0.0]
    monkeypatch.setattr("time.monotonic", lambda: now[0])
    budget = _state(settings, platform, fronts=fronts).retry_budget_for("model")
    budget._clock = lambda: now[0]
    spent = 0
    for step in range(100):
        now[0] = step / 10
        spent += sum(budget.spend() for _ in range(100))
    assert spent * fronts <= _SLACK


def test_a_reload_changes_what_requests_earn(settings, platform):
    """A changed ratio held only for services without a request so far."""
    state = _state(settings, platform, fronts=1)
    budget = state.retry_budget_for("plain")
    state.reload(
        dataclasses.replace(settings, retry_slack=0.0, retry_ratio=0.0)
    )
    while budget.spend():
        pass
    for _ in range(100):
        budget.note_request()
    assert not budget.spend()
