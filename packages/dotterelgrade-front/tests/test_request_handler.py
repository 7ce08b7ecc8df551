import dataclasses
import time

import front_fakes as fakes
import gevent
import pytest

from dotterelgrade_front import request_handler
from dotterelgrade_routing import configuration
from dotterelgrade_routing import feed_freshness
from dotterelgrade_routing import feed_timing


def test_a_rejection_names_version_and_age_of_the_configuration(front):
    """Operators must see whether a 404 came from an outdated version."""
    front.state.known_configuration.freshness = feed_freshness.FeedFreshness(
        end=7,
        era=1,
        current_at=time.monotonic() - 1.0,
        source=feed_freshness.ContactSource.PLANNER,
    )
    assert front.ask("/nowhere/")[0] == 404
    details = front.state.decisions.journal.latest()
    rejected = [d for d in details if "request_rejected" in str(d)]
    assert len(rejected) == 1
    for part in ("'version': 1", "'end': 7", "'era': 1", "planner", "r1"):
        assert part in str(rejected[0])


@pytest.mark.parametrize(
    ("path", "key"), [("/added/", "secret"), ("/safe/", "added")]
)
def test_an_outdated_configuration_proves_no_absence(front, path, key):
    """The route or key may have been added since the store was last heard."""
    _set_age(front, feed_timing.CONFIGURATION_BOUND_S + 0.1)
    status, headers, body = front.ask(path, key=key)
    assert status == 503
    assert float(headers[b"retry-after"]) > 0
    assert b"not_run" in body


def test_an_outdated_configuration_still_serves_what_it_knows(front):
    """A front that is cut off from the store goes on."""
    front.add("s", fakes.responding())
    _set_age(front, 60.0)
    assert front.ask("/safe/x")[0] == 200


@pytest.mark.parametrize("path", ["stream", "once"])
def test_the_log_tells_a_broken_stream_from_a_caller_that_left(front, path):
    """Both were logged as `caller_gone`."""
    front.add(
        "a1",
        fakes.streaming(1, 2, end=False),
        service="model",
        layers=(0, 8),
    )
    front.ask(f"/{path}/x", method="POST", body=b"p")
    ended = _ended(front)
    assert "stream_broken" in ended
    assert "'servers': 1" in ended
    assert "'response_bytes': 0" not in ended


def test_the_log_names_a_fault_in_the_front(front, monkeypatch):
    """A fault was logged as `caller_gone`, and not for which request."""
    monkeypatch.setattr(front.handler, "_admit_call", None)
    assert front.ask("/safe/x")[0] == 503
    ended = _ended(front)
    assert "'internal'" in ended
    assert "'servers': 0" in ended
    assert "'response_bytes': 0" not in ended
    assert "'r1'" in ended


def test_a_fault_before_any_server_is_reached_is_answered_as_not_run(
    front, monkeypatch, caplog
):
    """The connection was closed without an answer."""
    server = front.add("s", fakes.responding())
    monkeypatch.setattr(front.handler, "_dispatch", None)
    with front.connect() as sock:
        front.send("/unsafe/x", method="POST", body=b"p", sock=sock)
        status, headers, body = fakes.read_response(sock)
        assert not sock.recv(1)
    assert status == 503
    assert float(headers[b"retry-after"]) > 0
    assert b'"not_run"' in body
    assert not server.arrivals
    assert [r.request_id for r in caplog.records if r.exc_info] == ["r1"]


@pytest.mark.parametrize("path", ["unsafe", "safe"])
def test_a_fault_behind_a_server_is_answered_as_of_unknown_outcome(
    front, monkeypatch, path
):
    """The request may have run, and may not be promised not to have."""
    server = front.add("s", fakes.responding())
    monkeypatch.setattr(front.state.exclusions, "note_success", None)
    status, headers, body = front.ask(f"/{path}/x", method="POST", body=b"p")
    assert (status, b'"unknown"' in body) == (502, True)
    assert b"retry-after" not in headers
    assert len(server.arrivals) == 1


def test_a_fault_before_the_first_event_is_answered(front, monkeypatch):
    front.add("a1", fakes.streaming(1, 2), service="model", layers=(0, 8))
    monkeypatch.setattr(front.state.metrics.first_event, "record", None)
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, b'"unknown"' in body) == (502, True)


def test_a_fault_within_a_stream_leaves_it_incomplete(front, monkeypatch):
    """An error's text in a stream is no event."""
    front.add("a1", fakes.streaming(1, 2), service="model", layers=(0, 8))
    monkeypatch.setattr(front.state.exclusions, "note_success", None)
    with front.send("/stream/x", method="POST", body=b"p") as sock:
        received = b""
        while piece := sock.recv(65536):
            received += piece
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.count(b"HTTP/1.1") == 1
    assert b"error" not in received


def test_a_fault_in_reading_a_request_is_answered(front, monkeypatch):
    def read_request(_):
        raise RuntimeError("unexpected")

    headers = front.state.platform.headers
    monkeypatch.setattr(headers, "read_request", read_request)
    status, _, body = front.ask("/safe/x")
    assert (status, b'"not_run"' in body) == (503, True)


def test_a_fault_outside_of_requests_is_answered(front, monkeypatch):
    monkeypatch.setattr(front.state.metrics, "set_in_flight", None)
    status, _, body = front.ask("/safe/x")
    assert (status, b'"unknown"' in body) == (500, True)


def test_an_answer_to_a_cut_request_is_not_cut_itself(front, monkeypatch):
    """The stop interrupted the request again before its answer was sent."""
    front.add("s", fakes.silent)
    send_interrupted = request_handler._send_interrupted

    def send_late(*args, **options):
        gevent.sleep(0.05)
        return send_interrupted(*args, **options)

    monkeypatch.setattr(request_handler, "_send_interrupted", send_late)
    with front.send("/unsafe/x", method="POST", body=b"p") as sock:
        fakes.until(lambda: front.handler.requests_in_flight)
        while front.handler.answer_unfinished():
            gevent.sleep(0.01)
        assert fakes.read_response(sock)[0] in (502, 503)


@pytest.mark.parametrize(
    ("weights", "status"),
    [
        ((), 503),
        ((("gone", 1),), 503),
        ((("plain", 0),), 200),
        ((("plain", -1), ("plain", 1)), 200),
        ((("plain", 1e308), ("plain", 1e308)), 200),
        ((("gone", 1), ("plain", 0)), 200),
    ],
)
def test_a_route_with_unusual_weights_answers(front, weights, status):
    """The request ended with a closed connection, or 503 by chance."""
    front.add("s", fakes.responding())
    services = tuple(
        configuration.ServiceWeight(service=name, weight=weight)
        for name, weight in weights
    )
    route = fakes.route("split", idempotent=True, services=services)
    known = front.state.known_configuration
    known.configuration = dataclasses.replace(
        known.configuration, routes=(route,)
    )
    assert front.ask("/split/x")[0] == status


def _ended(front):
    """Returns the one decision on the end of a request."""
    decisions = front.state.decisions.journal.latest()
    ended = [str(d) for d in decisions if "request_ended" in str(d)]
    assert len(ended) == 1
    return ended[0]


def _set_age(front, age_s):
    front.state.known_configuration.freshness = feed_freshness.FeedFreshness(
        current_at=time.monotonic() - age_s,
        source=feed_freshness.ContactSource.PLANNER,
    )


@pytest.fixture
def small_front(settings, platform):
    """Each connection owns 976 bytes; all share 1 MB."""
    small = dataclasses.replace(settings, memory_bytes=8e6)
    running = fakes.FrontUnderTest(small, platform)
    yield running
    running.stop()


def test_a_body_without_memory_is_refused_at_once_and_not_run(small_front):
    """Bodies of callers took any amount of memory (LOST)."""
    front = small_front
    backend = front.add("s", fakes.responding())
    body = bytes(4_000)
    memory = front.state.memory
    with memory.open() as account:
        # Leaves each connection what it owns.
        assert account.resize(int(memory.shared_bytes))
        for _ in range(3):
            status, headers, text = front.ask(
                "/unsafe/x", method="POST", body=body
            )
            assert (status, headers[b"retry-after"]) == (503, b"0.50")
            assert b'"no_memory"' in text
        assert not backend.arrivals
        assert front.ask("/unsafe/x", method="POST", body=b"small")[0] == 200
    assert front.ask("/unsafe/x", method="POST", body=body)[0] == 200


def test_the_engine_gets_the_rank_if_routes_differ(front):
    """The workspace has priority 0, which hid the priority of its routes."""
    known = front.state.known_configuration
    same = known.configuration
    backend = front.add(
        "a1", fakes.streaming(1, 1), service="model", layers=(0, 8)
    )
    for policy, current in (
        ("priority", same),
        ("priority", fakes.with_ranks(same)),
        ("uniform", fakes.with_ranks(same)),
    ):
        known.configuration = current
        front.state.rank_admission.set_policy(policy)
        front.ask("/stream/x", method="POST", body=b"p")
    sent = [arrival.headers[b"priority"] for arrival in backend.arrivals]
    assert sent == [b"0", b"1", b"0"]
