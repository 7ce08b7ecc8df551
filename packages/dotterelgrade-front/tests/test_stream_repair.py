import front_fakes as fakes
import gevent
import pytest
import stream_fakes as streams

from dotterelgrade_routing import platform_port


def _spend_retries(front):
    """Leaves too few retries for streams to go on elsewhere without need."""
    budget = front.state.retry_budget_for("model")
    while budget.spend():
        pass


def test_a_held_up_stream_is_moved_to_other_stages(front):
    """Load pattern: a stage in the middle of a chain goes dark."""
    _spend_retries(front)
    moved = front.state.platform.engines.rerouted
    first, engines = streams.add_held_up(
        front, others=["b2"], until=lambda: moved
    )
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 3))
    ((address, request_id, stages),) = engines.rerouted
    assert (address, request_id) == (first.address, "r1")
    assert [s.server_id for s in stages] == ["a1", "b2"]


def test_a_moved_stream_is_not_given_up_by_a_late_report(front):
    """Load pattern: a crash; reports lag, and new stages read the prompt."""
    _spend_retries(front)
    moved = front.state.platform.engines.rerouted

    def read_again():
        if moved:
            gevent.sleep(0.4)
        return moved

    first, engines = streams.add_held_up(
        front, others=["b2", "c2"], until=read_again
    )
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 3))
    assert len(first.arrivals) == 1
    assert len(engines.rerouted) == 1


def test_a_stage_that_can_not_take_a_moved_stream_is_passed_over(front):
    """Load pattern: several joined engines go dark, one is known of."""
    _spend_retries(front)
    moved = front.state.platform.engines.rerouted
    first, engines = streams.add_held_up(
        front, others=["a3", "a4"], until=lambda: len(moved) == 2
    )
    engines.unfit = {front.state.fleet.get("a3").address}
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 3))
    assert len(first.arrivals) == 1
    assert [s.server_id for s in moved[-1][2]] == ["a1", "a4"]


def test_a_stream_that_can_not_be_moved_goes_on_elsewhere(front):
    front.state.platform.engines.outcome = platform_port.OrderOutcome.CONFLICT
    stuck = fakes.streaming(1, 2, after=fakes.silent, end=False)
    script = streams.resuming(stuck, last=4)
    streams.add_chains(front, [script], [script])
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 4))


def _dribbling(sock, _):
    """Sends bytes that are no event, as long as anybody listens."""
    while True:
        sock.sendall(b"1\r\n:\r\n")
        gevent.sleep(0.05)


def test_a_stream_with_bytes_but_no_events_goes_on_elsewhere(front):
    """Load pattern: an engine stalls but sends a byte now and then."""
    stuck = fakes.streaming(1, 2, after=_dribbling, end=False)
    script = streams.resuming(stuck, last=4)
    streams.add_chains(front, [script], [script])
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 4))


def test_a_slow_but_sound_stream_is_not_cut(front):
    """Load pattern: each event takes longer than a silence looked into."""
    slow = fakes.streaming(1, 4, pause_s=0.4)
    first, other = streams.add_chains(front, [slow], [slow])
    for backend in (first, other):
        front.state.platform.engines.reports[backend.address] = streams.report()
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 4))
    assert len(first.arrivals) + len(other.arrivals) == 1


def _stage_falls_silent(front, *, kind):
    """Streams through a1, a2 with steady events, then a2 is gone.

    Returns the decisions about servers that were found at fault.
    """
    engines = front.state.platform.engines

    def gone(sock, _):
        getattr(engines, kind).add(front.state.fleet.get("a2").address)
        fakes.silent(sock, _)

    steady = fakes.streaming(1, 6, pause_s=0.02, after=gone)
    first = front.add(
        "a1", streams.resuming(steady, last=9), service="model", layers=(0, 4)
    )
    for name in ("a2", "a3"):
        front.add(name, fakes.silent, service="model", layers=(4, 8))
        engines.reports[front.state.fleet.get(name).address] = streams.report()
    # What the first stage says of its requests lags.
    engines.reports[first.address] = streams.report(stalled={})
    engines.unfit.add(front.state.fleet.get("a3").address)
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 9))
    return [
        (row.details["server"], row.reason)
        for row in front.state.decisions.journal.latest(50)
        if row.decision == "backend_server_excluded"
    ]


@pytest.mark.parametrize("kind", ["down", "dark"])
def test_a_lost_stage_is_found_before_the_first_one_reports_it(front, kind):
    """Load pattern: a backend server crashes under many streams."""
    found = _stage_falls_silent(front, kind=kind)
    assert ("a2", "holds streams up") in found


def test_a_held_up_stream_goes_on_elsewhere_while_retries_are_plentiful(front):
    """Load pattern: a crash; the stages behind the gap read the prompt late."""
    stuck = fakes.streaming(1, 2, after=fakes.silent, end=False)
    first, other = streams.add_chains(
        front,
        [streams.resuming(stuck, last=4)],
        [streams.resuming(stuck, last=4)],
    )
    engines = front.state.platform.engines
    engines.reports[first.address] = streams.report(
        stalled={"r1": other.address}
    )
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 4))
    assert not engines.rerouted
