"""Tests streams whose engines are silent for a while and then continue."""

import time

import front_fakes as fakes
import gevent
import pytest
import stream_fakes as streams

from dotterelgrade_routing import platform_port

_LAST = 9
_PAUSE_S = 1.7


def _sleep(seconds):
    return lambda: gevent.sleep(seconds)


def _ask(front, path, **rest):
    return front.ask(f"/{path}/x", method="POST", body=b"p", **rest)


@pytest.mark.parametrize("path", ["stream", "once"])
@pytest.mark.parametrize("reports", [True, False])
def test_an_engine_that_pauses_within_a_stream_loses_no_event(
    front, path, reports
):
    """A sound engine is silent for longer than usual, then continues."""
    script = streams.pausing(3, last=_LAST, pause=_sleep(_PAUSE_S))
    streams.add_chains(front, [script], [script])
    if reports:
        streams.add_reports(front)
    status, _, body = _ask(front, path)
    assert (status, body) == (200, streams.events(1, _LAST))


@pytest.mark.parametrize("path", ["stream", "once"])
@pytest.mark.parametrize("reports", [True, False])
def test_an_engine_that_pauses_before_the_first_event_loses_no_stream(
    front, path, reports
):
    """A queue or a long prompt delays the first event."""

    def script(sock, arrival):
        gevent.sleep(_PAUSE_S)
        fakes.streaming(1, _LAST)(sock, arrival)

    streams.add_chains(front, [script], [script])
    if reports:
        streams.add_reports(front)
    status, _, body = _ask(front, path)
    assert (status, body) == (200, streams.events(1, _LAST))


def test_a_pause_is_waited_out_without_retry_budget(front):
    """No second attempt may be made, though only waiting is needed."""
    script = streams.pausing(3, last=_LAST, pause=_sleep(_PAUSE_S))
    first, other = streams.add_chains(front, [script], [script])
    streams.empty_retry_budget(front)
    status, _, body = _ask(front, "stream")
    assert (status, body) == (200, streams.events(1, _LAST))
    assert len(first.arrivals) + len(other.arrivals) == 1


def test_a_pause_of_the_only_engine_costs_no_retry(front):
    """A second attempt for which there is no chain must not be paid for."""
    script = streams.pausing(3, last=_LAST, pause=_sleep(_PAUSE_S))
    only = front.add("a1", script, service="model", layers=(0, 8))
    budget = front.state.retry_budget_for("model")
    budget.resize(rate_per_s=0.0, capacity=10.0)
    left = budget.left
    assert _ask(front, "stream")[2] == streams.events(1, _LAST)
    assert len(only.arrivals) == 1
    assert budget.left == left


@pytest.mark.parametrize("path", ["stream", "once"])
def test_a_pause_of_three_seconds_of_the_only_engine_is_waited_out(front, path):
    """The caller may wait for up to eight of its usual pauses, or longer."""
    streams.set_routes(front, timeout_s=10.0)
    script = streams.pausing(3, last=_LAST, pause=_sleep(3.0))
    front.add("a1", script, service="model", layers=(0, 8))
    status, _, body = _ask(front, path)
    assert (status, body) == (200, streams.events(1, _LAST))


def _add_chain_that_pauses_with_its_reports(front, paused):
    """Adds a chain a1, a2 whose stage `paused` answers nothing for a while."""
    unresponsive = front.state.platform.engines.unresponsive_addresses

    def pause():
        address = front.state.fleet.get(paused).address
        unresponsive.add(address)
        gevent.sleep(_PAUSE_S)
        unresponsive.discard(address)

    script = streams.pausing(6, last=_LAST, pause=pause)
    front.add("a1", script, service="model", layers=(0, 4))
    front.add("a2", fakes.silent, service="model", layers=(4, 8))
    streams.add_reports(front)


@pytest.mark.parametrize("path", ["stream", "once"])
@pytest.mark.parametrize("paused", ["a1", "a2"])
def test_a_stage_that_pauses_with_its_reports_loses_no_stream(
    front, path, paused
):
    """The silence of a sound stage looks like a lost connection to it."""
    _add_chain_that_pauses_with_its_reports(front, paused)
    status, _, body = _ask(front, path)
    assert (status, body) == (200, streams.events(1, _LAST))


def test_a_stage_that_pauses_with_its_reports_is_only_suspected(front):
    """Its layers have no other holder, and the next request comes meanwhile."""
    _add_chain_that_pauses_with_its_reports(front, "a2")
    earlier = gevent.spawn(_ask, front, "once")
    fakes.until(lambda: streams.decisions(front, "backend_server_excluded"))
    status, _, body = _ask(front, "stream")
    assert (status, body) == (200, streams.events(1, _LAST))
    assert earlier.get()[2] == streams.events(1, _LAST)


@pytest.mark.parametrize("path", ["stream", "once"])
@pytest.mark.parametrize(
    "outcome",
    [platform_port.OrderOutcome.CONFLICT, platform_port.OrderOutcome.UNKNOWN],
)
def test_a_stream_that_is_not_rerouted_may_still_go_on(front, path, outcome):
    """The order fails or gets no answer, and the suspected stage continues."""
    streams.empty_retry_budget(front)
    engines = front.state.platform.engines
    engines.outcome = outcome
    pause = time.monotonic() + 1.0
    first, engines = streams.add_stalled_chain(
        front, others=["b2"], until=lambda: time.monotonic() > pause
    )
    status, _, body = _ask(front, path)
    assert (status, body) == (200, streams.events(1, 3))
    assert len(first.arrivals) == 1
    assert 1 <= len(engines.reroute_orders) <= 2


@pytest.mark.parametrize("path", ["stream", "once"])
def test_silence_ends_an_attempt_only_at_the_deadline(front, path):
    """Nothing else is possible, so the engine may answer until then."""
    front.add("a1", fakes.silent, service="model", layers=(0, 8))
    began_at = time.monotonic()
    status, _, body = _ask(front, path, patience_ms="2000")
    assert status == 504
    assert b'"unknown"' in body
    assert time.monotonic() - began_at >= 2.0


def test_a_silent_engine_that_answers_its_reports_is_not_excluded(front):
    """Other requests still go to a sound engine that pauses."""
    script = streams.pausing(3, last=_LAST, pause=_sleep(_PAUSE_S))
    streams.add_chains(front, [script], [script])
    streams.add_reports(front)
    assert _ask(front, "stream")[2] == streams.events(1, _LAST)
    assert not streams.decisions(front, "backend_server_excluded")
