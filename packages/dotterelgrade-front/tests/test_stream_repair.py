import front_fakes as fakes
import gevent
import pytest
import stream_fakes as streams

from dotterelgrade_routing import platform_port


def _exhaust_retries(front):
    """Spends the retry budget, so that streams are rerouted instead."""
    budget = front.state.retry_budget_for("model")
    while budget.spend():
        pass


def test_a_stalled_stream_is_rerouted_to_other_stages(front):
    """A later stage of the chain stops responding."""
    _exhaust_retries(front)
    rerouted = front.state.platform.engines.reroute_orders
    first, engines = streams.add_stalled_chain(
        front, others=["b2"], until=lambda: rerouted
    )
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 3))
    ((address, request_id, stages),) = engines.reroute_orders
    assert (address, request_id) == (first.address, "r1")
    assert [s.server_id for s in stages] == ["a1", "b2"]


def test_a_stale_report_does_not_end_a_rerouted_stream(front):
    """The report still names the old stage while the new one reads."""
    _exhaust_retries(front)
    rerouted = front.state.platform.engines.reroute_orders

    def prompt_read():
        if rerouted:
            gevent.sleep(0.4)
        return rerouted

    first, engines = streams.add_stalled_chain(
        front, others=["b2", "c2"], until=prompt_read
    )
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 3))
    assert len(first.arrivals) == 1
    assert len(engines.reroute_orders) == 1


def test_a_stage_that_can_not_take_a_rerouted_stream_is_avoided(front):
    """Several engines fail together, but only one is reported."""
    _exhaust_retries(front)
    rerouted = front.state.platform.engines.reroute_orders
    first, engines = streams.add_stalled_chain(
        front, others=["a3", "a4"], until=lambda: len(rerouted) == 2
    )
    engines.rejecting_addresses = {front.state.fleet.get("a3").address}
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 3))
    assert len(first.arrivals) == 1
    assert [s.server_id for s in rerouted[-1][2]] == ["a1", "a4"]


def test_a_stream_that_can_not_be_rerouted_resumes_on_another_chain(front):
    front.state.platform.engines.outcome = platform_port.OrderOutcome.CONFLICT
    stuck = fakes.streaming(1, 2, after=fakes.silent, end=False)
    script = streams.resuming(stuck, last=4)
    streams.add_chains(front, [script], [script])
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 4))


def _dribbling(sock, _):
    """Sends bytes that are no event until the connection closes."""
    while True:
        sock.sendall(b"1\r\n:\r\n")
        gevent.sleep(0.05)


def test_a_stream_with_bytes_but_no_events_resumes_on_another_chain(front):
    """An engine stalls but still sends a few bytes."""
    stuck = fakes.streaming(1, 2, after=_dribbling, end=False)
    script = streams.resuming(stuck, last=4)
    streams.add_chains(front, [script], [script])
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 4))


def _commenting(sock, _):
    """Sends comments until the connection closes."""
    while True:
        sock.sendall(b"3\r\n:\n\n\r\n")
        gevent.sleep(0.05)


def test_a_stream_with_comments_but_no_events_resumes_on_another_chain(front):
    """An engine stalls but still sends comments to keep the connection."""
    stuck = fakes.streaming(1, 2, after=_commenting, end=False)
    script = streams.resuming(stuck, last=4)
    streams.add_chains(front, [script], [script])
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert status == 200
    assert body.replace(b":\n\n", b"") == streams.events(1, 4)


def test_a_slow_but_healthy_stream_is_not_aborted(front):
    """Each pause is longer than the silence that triggers a query."""
    slow = fakes.streaming(1, 4, pause_s=0.4)
    first, other = streams.add_chains(front, [slow], [slow])
    for backend in (first, other):
        front.state.platform.engines.reports[backend.address] = streams.report()
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 4))
    assert len(first.arrivals) + len(other.arrivals) == 1


def _fail_second_stage(front, *, failure):
    """Streams steady events through a1 and a2, then a2 fails.

    Returns server and reason of each exclusion.
    """
    engines = front.state.platform.engines

    def fail(sock, _):
        getattr(engines, failure).add(front.state.fleet.get("a2").address)
        fakes.silent(sock, _)

    steady = fakes.streaming(1, 6, pause_s=0.02, after=fail)
    first = front.add(
        "a1", streams.resuming(steady, last=9), service="model", layers=(0, 4)
    )
    for name in ("a2", "a3"):
        front.add(name, fakes.silent, service="model", layers=(4, 8))
        engines.reports[front.state.fleet.get(name).address] = streams.report()
    # The report of the first stage does not name the fault yet.
    engines.reports[first.address] = streams.report(stalled={})
    engines.rejecting_addresses.add(front.state.fleet.get("a3").address)
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 9))
    return [
        (row.details["server"], row.reason)
        for row in front.state.decisions.journal.latest(50)
        if row.decision == "backend_server_excluded"
    ]


@pytest.mark.parametrize("failure", ["down", "unresponsive_addresses"])
def test_a_failed_stage_is_detected_before_the_first_stage_reports_it(
    front, failure
):
    """A backend server crashes or stops responding during a stream."""
    exclusions = _fail_second_stage(front, failure=failure)
    assert ("a2", "stalls streams") in exclusions


def test_a_stalled_stream_resumes_elsewhere_while_retries_are_plentiful(front):
    """Resuming is faster than rerouting, and the retry budget permits it."""
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
    assert not engines.reroute_orders
