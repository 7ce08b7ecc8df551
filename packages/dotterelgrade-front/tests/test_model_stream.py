import time

import front_fakes as fakes
import gevent
import pytest
import stream_fakes as streams

from dotterelgrade_routing import layer_range
from dotterelgrade_routing import trust


def test_a_stream_passes_event_by_event(front):
    backend = front.add(
        "a1", fakes.streaming(1, 5), service="model", layers=(0, 8)
    )
    status, headers, body = front.ask("/stream/x", method="POST", body=b"p")
    assert status == 200
    assert headers[b"seal"] == b"1"
    assert body == streams.events(1, 5)
    assert backend.arrivals[0].headers[b"chain"] == b"a1=0-8"


def test_a_broken_stream_goes_on_elsewhere_without_loss_or_repeat(front):
    """Load pattern: a backend server crashes within an event."""

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


def test_a_stream_that_may_run_once_breaks_off_visibly(front):
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


def test_a_stage_that_refuses_with_room_counts_as_leaving(front, monkeypatch):
    """Load pattern: a backend server leaves while the list is away."""
    monkeypatch.setattr("dotterelgrade_routing.trust.BUSY_S", 0.0)
    for name in ("FIRST_EXCLUSION_S", "MAX_EXCLUSION_S"):
        monkeypatch.setattr(f"dotterelgrade_routing.trust.{name}", 60.0)
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
    assert len(first.arrivals) == trust.REFUSALS_FOR_LEAVING
    assert front.state.trust.refusing_ids(now=time.monotonic()) == {"a1"}


def test_a_stage_without_room_refuses_for_a_reason(front, monkeypatch):
    """Load pattern: memory is short for a moment; nobody leaves."""
    monkeypatch.setattr("dotterelgrade_routing.trust.BUSY_S", 0.0)
    first, _ = streams.add_chains(
        front, [fakes.refusing()], [fakes.streaming(1, 2)]
    )
    front.state.platform.engines.reports[first.address] = streams.report(
        layers=layer_range.LayerRange(0, 8), used=1e6
    )
    for _ in range(4):
        front.ask("/stream/x", method="POST", body=b"p")
    assert not front.state.trust.refusing_ids(now=time.monotonic())


def test_a_failure_whose_body_does_not_come_ends_in_time(front):
    def stuck(sock, arrival):
        sock.sendall(b"HTTP/1.1 400 Bad\r\ncontent-length: 9\r\n\r\n")
        fakes.silent(sock, arrival)

    front.add("a1", stuck, service="model", layers=(0, 8))
    status, _, body = front.ask(
        "/stream/x", method="POST", body=b"p", patience_ms="300"
    )
    assert status == 504
    assert b'"unknown"' in body


def test_an_endless_event_ends_the_stream(front):
    endless = fakes.streaming(1, 2, torn=b"x" * 1_100_000)
    front.add("a1", endless, service="model", layers=(0, 8))
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, None)


def test_without_a_chain_the_caller_is_told_when_to_return(front):
    status, headers, body = front.ask("/stream/x", method="POST", body=b"p")
    assert status == 503
    assert float(headers[b"retry-after"]) > 0
    assert b'"not_run"' in body


def test_a_caller_that_leaves_ends_its_stream_and_reservation(front):
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
def test_a_refusal_of_the_engine_itself_is_passed_on(front, status):
    front.add(
        "a1",
        fakes.answering(b"why", status),
        service="model",
        layers=(0, 8),
    )
    answer = front.ask("/stream/x", method="POST", body=b"p")
    assert answer[0] == int(status.split()[0])
    assert answer[2] == b"why"


def test_a_first_stage_that_leaves_takes_no_new_stream(front):
    """Load pattern: an engine leaves; its running streams go on."""
    leaver, other = streams.add_chains(
        front, [streams.saying(b"leaving: 1\r\n")], [fakes.streaming(1, 2)]
    )
    for _ in range(3):
        assert front.ask("/stream/x", method="POST", body=b"p")[0] == 200
    assert (len(leaver.arrivals), len(other.arrivals)) == (1, 3)


def test_a_later_stage_that_leaves_is_in_no_new_chain(front):
    first, engines = streams.add_held_up(
        front, others=["b2"], until=lambda: True
    )
    front.state.fleet.note_leaving("a2", started_ms=0)
    front.ask("/stream/x", method="POST", body=b"p")
    assert b"b2" in first.arrivals[0].headers[b"chain"]


def test_a_full_first_stage_is_neither_asked_nor_blamed(front):
    """Load pattern: an engine is full and names the time of a return."""
    full, other = streams.add_chains(
        front, [streams.saying(b"retry-after: 5\r\n")], [fakes.streaming(1, 2)]
    )
    reports = front.state.platform.engines.reports
    reports[full.address] = streams.report()
    for _ in range(3):
        assert front.ask("/stream/x", method="POST", body=b"p")[0] == 200
    assert len(full.arrivals) == 1
    assert not front.state.trust.refusing_ids(now=time.monotonic())


def test_callers_are_told_when_the_first_full_engine_is_free(front):
    full = front.add(
        "a1",
        streams.saying(b"retry-after: 2\r\n"),
        service="model",
        layers=(0, 8),
    )
    for _ in range(3):
        status, headers, _ = front.ask("/stream/x", method="POST", body=b"p")
        assert status == 503
        assert 0 < float(headers[b"retry-after"]) <= 2.0
    assert len(full.arrivals) == 1


def test_a_stream_that_has_begun_waits_for_room(front):
    """Load pattern: a crash; all its streams go for the room elsewhere."""
    broken = fakes.streaming(1, 2, end=False)
    gone = front.add(
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
    assert len(gone.arrivals) >= 1
    assert (status, body) == (200, streams.events(1, 4))


def test_a_new_request_is_refused_after_a_few_full_chains(front):
    """It has waited for nothing yet, and may come back."""
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
    """Load pattern: a crash; the only engine left is full for a moment."""
    broken = fakes.streaming(1, 2, end=False)
    engine = front.add(
        "a1",
        broken,
        streams.saying(b"retry-after: 0.4\r\n"),
        streams.resuming(fakes.streaming(1, 4), last=4),
        service="model",
        layers=(0, 8),
    )
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 4))
    assert len(engine.arrivals) == 3


def _marking(ran, name, script):
    """Notes that a server runs the request."""

    def marked(sock, arrival):
        ran.add(name)
        script(sock, arrival)

    return marked


def test_a_server_that_ran_a_stream_and_refuses_it_later_counts(front):
    """Load pattern: chains break one after another while others are full."""
    ran = set()
    rest = streams.resuming(fakes.streaming(1, 5), last=5)
    for name, script in (
        ("a1", fakes.streaming(1, 2, end=False)),
        ("b1", fakes.streaming(3, 3, end=False)),
        ("c1", rest),
    ):
        front.add(
            name,
            _marking(ran, name, script),
            fakes.refusing(),
            _marking(ran, name, rest),
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
