import dataclasses
import time

import front_fakes as fakes
import pytest
import stream_fakes as streams

from dotterelgrade_front import connection_guard
from dotterelgrade_front import front_state
from dotterelgrade_routing import return_forecast
from dotterelgrade_routing import return_schedule


def _use(front, policy):
    front.state.reload(
        dataclasses.replace(front.state.settings, retry_after=policy)
    )


def _begin_outage(front, seconds):
    """Lets the front lose its configuration, as if it had just restarted."""
    known = front.state.known_configuration
    known.configuration = None
    known.store_contact_at = time.monotonic() - seconds


def _retry_after(front, path="/stream/x", **headers):
    headers |= {"method": "POST", "body": b"p"}
    status, answered, body = front.ask(path, **headers)
    assert (status, b'"not_run"' in body) == (503, True)
    return float(answered[b"retry-after"])


@pytest.mark.parametrize(
    ("policy", "factor", "rest_s"),
    [("forecast", return_forecast.OUTAGE_FACTOR, 0.3), ("fixed", 0.0, 0.5)],
)
def test_a_request_without_configuration_returns_after_the_outage(
    front, policy, factor, rest_s
):
    """All were told half a second, were refused again, and lost."""
    _use(front, policy)
    _begin_outage(front, float("inf"))
    front.state.refusals._started_at = time.monotonic() - 1.0
    told = _retry_after(front, patience_ms=20_000)
    row = streams.decisions(front, "request_rejected")[-1].details
    assert row["retry_after_s"] == told
    assert 1.0 <= row["outage_s"] < 2.0
    assert told == pytest.approx(factor * row["outage_s"] + rest_s, abs=0.1)
    assert 19.0 < row["left_s"] <= 20.0
    assert (row["rank"], row["expected_returns"]) == (0, 0)


def test_the_remaining_time_bounds_the_wait(front):
    """A caller follows a wait up to a third of its remaining time."""
    _begin_outage(front, 30.0)
    assert 1.0 < _retry_after(front, patience_ms=6_000) <= 2.0
    assert _retry_after(front, patience_ms=100) <= 0.1
    row = streams.decisions(front, "request_rejected")[-1].details
    assert row["no_time"]


def test_an_outdated_configuration_is_told_by_the_outage(front):
    known = front.state.known_configuration
    known.store_contact_at = time.monotonic() - 4.0
    known.freshness = dataclasses.replace(
        known.freshness, current_at=known.store_contact_at
    )
    assert _retry_after(front, "/nowhere/", patience_ms=20_000) >= 4.3


def test_the_start_counts_as_the_begin_of_the_outage(settings, platform):
    """A front that has just started knows no earlier contact."""
    state = front_state.FrontState(settings, platform=platform)
    assert 0.0 <= state.refusals.outage_s < fakes.WAIT_S
    state.known_configuration.store_contact_at = time.monotonic()
    assert state.refusals.outage_s == 0.0


def test_requests_refused_together_are_told_different_times(front):
    """All of them were told the same time."""
    now = time.monotonic()
    front.state.refusals._clock = lambda: now
    told = [_retry_after(front) for _ in range(60)]
    before = told[: return_schedule.MASS_REFUSALS - 1]
    assert set(before) == {2.5}
    # A caller with 3 s left follows no longer wait than 1 s.
    others = told[len(before) :]
    assert len(set(others)) > 3
    assert max(others) < 1.0
    row = streams.decisions(front, "refused")[-1].details
    assert row["expected_returns"] > 0
    assert b"front_retry_after_seconds_count 60.0" in (
        front.state.metrics.as_text()
    )


@pytest.mark.parametrize("policy", ["forecast", "fixed"])
def test_without_a_load_the_times_are_the_usual_ones(front, policy):
    _use(front, policy)
    assert _retry_after(front) == 2.5
    assert _retry_after(front, "/safe/x") == 0.5
    row = streams.decisions(front, "refused")[-1].details
    assert (row["kind"], row["outage_s"]) == ("no_capacity", 0.0)


def test_a_front_that_stops_tells_that_others_take_the_request(front):
    """Its outage or its refusals don't matter to other fronts."""
    front.state.may_begin = lambda deadline: False
    front.state.known_configuration.store_contact_at = time.monotonic() - 9.0
    assert _retry_after(front) == 0.05


def test_ranks_are_the_different_priorities_of_a_service():
    routes = fakes.CONFIGURATION.routes
    routes += (dataclasses.replace(routes[0], priority=5),)
    ranked = dataclasses.replace(fakes.CONFIGURATION, routes=routes)
    assert ranked.has_ranks("plain")
    assert not ranked.has_ranks("model")


def test_a_connection_that_finds_no_descriptor_is_told_a_time(
    front, monkeypatch
):
    """The refusal failed itself, and the caller got a reset."""
    monkeypatch.setattr(connection_guard, "choose", lambda *_, **__: None)
    front.state.reload(
        dataclasses.replace(front.state.settings, most_connections=1)
    )
    assert _retry_after(front) == return_forecast.DEFAULT_RETRY_AFTER_S
