import time

import front_fakes as fakes
import gevent
import pytest
import stream_fakes as streams

from dotterelgrade_routing import exclusions
from dotterelgrade_routing import layer_range


def test_a_stream_is_passed_on_completely(front):
    backend = front.add(
        "a1", fakes.streaming(1, 5), service="model", layers=(0, 8)
    )
    status, headers, body = front.ask("/stream/x", method="POST", body=b"p")
    assert status == 200
    assert headers[b"seal"] == b"1"
    assert body == streams.events(1, 5)
    assert backend.arrivals[0].headers[b"chain"] == b"a1=0-8"


def test_a_broken_stream_resumes_elsewhere_without_loss_or_repeat(front):
    """A backend server crashes within an event."""

    broken = fakes.streaming(1, 3, torn=b"id: 4\ndata: to", end=False)
    script = streams.resuming(broken, last=6)
    streams.add_chains(front, [script], [script])
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert status == 200
    assert body == streams.events(1, 6)


def test_an_end_within_an_event_is_not_taken_as_complete(front):
    torn = fakes.streaming(1, 2, torn=b"id: 3\ndata: to", end=True)
    script = streams.resuming(torn, last=4)
    streams.add_chains(front, [script], [script])
    assert front.ask("/stream/x", method="POST", body=b"p")[
        2
    ] == streams.events(1, 4)


def test_a_stream_that_may_run_once_ends_without_a_last_chunk(front):
    broken = fakes.streaming(1, 3, end=False)
    first, other = streams.add_chains(front, [broken], [broken])
    status, _, body = front.ask("/once/x", method="POST", body=b"p")
    assert status == 200
    assert body is None
    assert len(first.arrivals) + len(other.arrivals) == 1


def test_a_refusing_stage_is_avoided_on_the_next_chain(front):
    first, other = streams.add_chains(
        front, [fakes.refusing()], [fakes.streaming(1, 2)]
    )
    first.scripts = [fakes.refusing(first.address.encode())]
    front.state.platform.engines.reports[first.address] = streams.report()
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 2))
    assert len(first.arrivals) <= 1


def test_a_stage_that_refuses_despite_capacity_is_excluded(front, monkeypatch):
    """A backend server leaves while the store is unavailable."""
    monkeypatch.setattr("dotterelgrade_routing.exclusions.BUSY_S", 0.0)
    for name in ("FIRST_EXCLUSION_S", "MAX_EXCLUSION_S"):
        monkeypatch.setattr(f"dotterelgrade_routing.exclusions.{name}", 60.0)
    first, _ = streams.add_chains(
        front, [fakes.refusing()], [fakes.streaming(1, 2)]
    )
    front.state.platform.engines.reports[first.address] = streams.report(
        layers=layer_range.LayerRange(0, 8)
    )
    for _ in range(12):
        status, _, _ = front.ask("/stream/x", method="POST", body=b"p")
        assert status == 200
        gevent.sleep(0.06)
    assert len(first.arrivals) == exclusions.REFUSALS_FOR_LEAVING
    assert front.state.exclusions.refusing_ids(now=time.monotonic()) == {"a1"}


def test_a_stage_that_refuses_for_lack_of_memory_is_not_excluded(
    front, monkeypatch
):
    """Memory is full for a moment, and no backend server leaves."""
    monkeypatch.setattr("dotterelgrade_routing.exclusions.BUSY_S", 0.0)
    first, _ = streams.add_chains(
        front, [fakes.refusing()], [fakes.streaming(1, 2)]
    )
    front.state.platform.engines.reports[first.address] = streams.report(
        layers=layer_range.LayerRange(0, 8), used=1e6
    )
    for _ in range(4):
        front.ask("/stream/x", method="POST", body=b"p")
    assert not front.state.exclusions.refusing_ids(now=time.monotonic())


def test_an_error_response_without_its_body_ends_at_the_deadline(front):
    def stuck(sock, arrival):
        sock.sendall(b"HTTP/1.1 400 Bad\r\ncontent-length: 9\r\n\r\n")
        fakes.silent(sock, arrival)

    front.add("a1", stuck, service="model", layers=(0, 8))
    status, _, body = front.ask(
        "/stream/x", method="POST", body=b"p", patience_ms="300"
    )
    assert status == 504
    assert b'"unknown"' in body


def test_an_event_above_the_size_limit_ends_the_stream(front):
    oversized = fakes.streaming(1, 2, torn=b"x" * 1_100_000)
    front.add("a1", oversized, service="model", layers=(0, 8))
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, None)


def test_without_a_chain_the_response_has_retry_after(front):
    status, headers, body = front.ask("/stream/x", method="POST", body=b"p")
    assert status == 503
    assert float(headers[b"retry-after"]) > 0
    assert b'"not_run"' in body


def test_a_disconnect_ends_the_stream_and_its_reservation(front):
    endless = fakes.streaming(1, 1, after=fakes.silent)
    backend = front.add("a1", endless, service="model", layers=(0, 8))
    sock = front.send("/stream/x", method="POST", body=b"p")
    assert sock.recv(1_000)
    assert front.state.load.in_flight == 1
    sock.close()
    assert backend.closed.wait(fakes.WAIT_S)
    gevent.sleep(0.02)
    assert front.state.load.in_flight == 0
    assert not front.state.load.own


@pytest.mark.parametrize("status", [b"400 Bad", b"404 Gone"])
def test_a_client_error_from_the_engine_is_passed_on(front, status):
    front.add(
        "a1",
        fakes.responding(b"why", status),
        service="model",
        layers=(0, 8),
    )
    answer = front.ask("/stream/x", method="POST", body=b"p")
    assert answer[0] == int(status.split()[0])
    assert answer[2] == b"why"


def test_a_leaving_first_stage_gets_no_new_stream(front):
    """The engine states in a refusal that it is leaving."""
    leaver, other = streams.add_chains(
        front,
        [streams.refusing_with(b"leaving: 1\r\n")],
        [fakes.streaming(1, 2)],
    )
    for _ in range(3):
        assert front.ask("/stream/x", method="POST", body=b"p")[0] == 200
    assert (len(leaver.arrivals), len(other.arrivals)) == (1, 3)


def test_a_leaving_later_stage_is_in_no_new_chain(front):
    first, engines = streams.add_stalled_chain(
        front, others=["b2"], until=lambda: True
    )
    front.state.fleet.note_leaving("a2", started_ms=0)
    front.ask("/stream/x", method="POST", body=b"p")
    assert b"b2" in first.arrivals[0].headers[b"chain"]


def test_a_full_first_stage_gets_no_request_and_is_not_excluded(front):
    """The engine refuses with `Retry-After`."""
    full, other = streams.add_chains(
        front,
        [streams.refusing_with(b"retry-after: 5\r\n")],
        [fakes.streaming(1, 2)],
    )
    reports = front.state.platform.engines.reports
    reports[full.address] = streams.report()
    for _ in range(3):
        assert front.ask("/stream/x", method="POST", body=b"p")[0] == 200
    assert len(full.arrivals) == 1
    assert not front.state.exclusions.refusing_ids(now=time.monotonic())


def test_retry_after_of_a_full_engine_is_passed_on(front):
    full = front.add(
        "a1",
        streams.refusing_with(b"retry-after: 2\r\n"),
        service="model",
        layers=(0, 8),
    )
    for _ in range(3):
        status, headers, _ = front.ask("/stream/x", method="POST", body=b"p")
        assert status == 503
        assert 0 < float(headers[b"retry-after"]) <= 2.0
    assert len(full.arrivals) == 1


def test_a_stream_that_has_begun_waits_for_capacity(front):
    """After a crash, the remaining engine refuses several times."""
    broken = fakes.streaming(1, 2, end=False)
    crashed = front.add(
        "a1",
        broken,
        fakes.refusing(),
        service="model",
        layers=(0, 8),
        failure_domain="b",
    )
    full = [fakes.refusing()] * 4
    front.add(
        "b1",
        *full,
        streams.resuming(fakes.streaming(1, 4), last=4),
        service="model",
        layers=(0, 8),
    )
    front.state.rng.random = lambda: 0.99
    engines = front.state.platform.engines
    for server in front.state.fleet.servers:
        engines.reports[server.address] = streams.report(used=1e6)
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert len(crashed.arrivals) >= 1
    assert (status, body) == (200, streams.events(1, 4))


def test_a_new_request_is_refused_after_a_few_full_chains(front):
    """Without any events so far, the caller can retry at no loss."""
    first, other = streams.add_chains(
        front, [fakes.refusing()], [fakes.refusing()]
    )
    engines = front.state.platform.engines
    for server in front.state.fleet.servers:
        engines.reports[server.address] = streams.report(used=1e6)
    status, headers, _ = front.ask("/stream/x", method="POST", body=b"p")
    assert status == 503
    assert float(headers[b"retry-after"]) > 0
    assert 2 <= len(first.arrivals) + len(other.arrivals) <= 4


def test_a_stream_that_has_begun_waits_until_a_full_server_is_free(front):
    """The only engine breaks the stream off, then is full for a moment."""
    broken = fakes.streaming(1, 2, end=False)
    engine = front.add(
        "a1",
        broken,
        streams.refusing_with(b"retry-after: 0.4\r\n"),
        streams.resuming(fakes.streaming(1, 4), last=4),
        service="model",
        layers=(0, 8),
    )
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 4))
    assert len(engine.arrivals) == 3


def test_a_stream_that_has_begun_waits_for_capacity_as_long_as_its_caller(
    front,
):
    """The only engine breaks the stream off, then is full for two seconds."""
    streams.set_routes(front, timeout_s=10.0)
    broken = fakes.streaming(1, 2, end=False)
    front.add(
        "a1",
        broken,
        streams.refusing_with(b"retry-after: 2.0\r\n"),
        streams.resuming(fakes.streaming(1, 4), last=4),
        service="model",
        layers=(0, 8),
    )
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 4))


def test_a_begun_stream_does_not_spend_all_retries_on_a_refusing_server(front):
    """The only engine breaks a stream off and has no room for a moment."""
    engine = front.add(
        "a1",
        fakes.streaming(1, 2, end=False),
        fakes.refusing(),
        service="model",
        layers=(0, 8),
    )
    streams.add_reports(front)
    budget = front.state.retry_budget_for("model")
    budget.resize(rate_per_s=0.0, capacity=40.0)
    status, _, body = front.ask(
        "/stream/x", method="POST", body=b"p", patience_ms="1000"
    )
    assert (status, body) == (200, None)
    assert 2 <= len(engine.arrivals) <= 16
    assert budget.left >= 25


def _breaking_and_leaving(front):
    """A script that breaks a stream off while its server leaves the fleet."""

    def leave(*_):
        front.state.fleet.remove("a1", now=time.monotonic())

    return fakes.streaming(1, 2, after=leave, end=False)


def test_a_stream_is_not_held_for_servers_that_are_gone(front):
    """The caller may resume it elsewhere, with attempts of its own."""
    streams.set_routes(front, timeout_s=60.0, max_attempts=1)
    front.add(
        "a1", _breaking_and_leaving(front), service="model", layers=(0, 8)
    )
    front.add("b1", fakes.streaming(3, 4), service="model", layers=(0, 8))
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, None)


def test_a_retry_without_a_chain_is_not_paid_for(front):
    """A stream breaks off, and the layers have no holder."""
    front.add(
        "a1", _breaking_and_leaving(front), service="model", layers=(0, 8)
    )
    budget = front.state.retry_budget_for("model")
    budget.resize(rate_per_s=0.0, capacity=10.0)
    left = budget.left
    body = front.ask("/stream/x", method="POST", body=b"p", patience_ms="500")[
        2
    ]
    assert body is None
    assert budget.left == left


def test_a_begun_stream_ends_at_once_when_no_retry_can_be_paid_for(front):
    """The caller resumes it by a request that needs no retry of ours."""
    streams.set_routes(front, timeout_s=60.0)
    broken = fakes.streaming(1, 2, end=False)
    first, other = streams.add_chains(front, [broken], [broken])
    streams.empty_retry_budget(front)
    assert front.ask("/stream/x", method="POST", body=b"p")[2] is None
    assert len(first.arrivals) + len(other.arrivals) == 1


def _recording(ran, name, script):
    """Wraps a script to record that the server ran the request."""

    def recorded(sock, arrival):
        ran.add(name)
        script(sock, arrival)

    return recorded


def test_a_server_that_ran_a_stream_and_later_refuses_it_is_an_attempt(front):
    """Chains break one after another while other engines are full."""
    ran = set()
    rest = streams.resuming(fakes.streaming(1, 5), last=5)
    for name, script in (
        ("a1", fakes.streaming(1, 2, end=False)),
        ("b1", fakes.streaming(3, 3, end=False)),
        ("c1", rest),
    ):
        front.add(
            name,
            _recording(ran, name, script),
            fakes.refusing(),
            _recording(ran, name, rest),
            service="model",
            layers=(0, 8),
            failure_domain=name[0],
        )
    engines = front.state.platform.engines
    for server in front.state.fleet.servers:
        engines.reports[server.address] = streams.report(used=1e6)
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 5))
    assert len(ran) <= 2


@pytest.mark.parametrize("path", ["stream", "once"])
def test_a_servers_error_is_passed_on_if_nothing_better_can_come(front, path):
    """The caller was told that the outcome is not known, without the seal."""
    failing = fakes.responding(b"boom", b"500 Failed")
    streams.add_chains(front, [failing], [failing])
    streams.empty_retry_budget(front)
    status, headers, body = front.ask(f"/{path}/x", method="POST", body=b"p")
    assert (status, body, headers[b"seal"]) == (500, b"boom", b"1")
