import dataclasses
import time

import front_fakes as fakes
import gevent
import pytest

from dotterelgrade import http_connection
from dotterelgrade_front import upstream
from dotterelgrade_routing import backend_server

# Well below the timeout of the routes.
_SOON_S = 1.5


def test_a_response_is_passed_on_unchanged(front):
    backend = front.add("s", fakes.responding(b"\x00whole\xff"))
    status, headers, body = front.ask(
        "/safe/x?y=1", method="POST", body=b"order"
    )
    assert (status, body) == (200, b"\x00whole\xff")
    assert headers[b"seal"] == b"1"
    arrival = backend.arrivals[0]
    assert arrival.line == b"POST /safe/x?y=1 HTTP/1.1"
    assert arrival.body == b"order"
    assert arrival.headers[b"workspace"] == b"bench"
    assert arrival.headers[b"instance"] == b"s"
    assert b"key" not in arrival.headers
    assert 0 < int(arrival.headers[b"left-ms"]) <= 3_000


def test_several_requests_use_one_connection(front):
    front.add("s", fakes.responding())
    with front.connect() as sock:
        for _ in range(3):
            front.send("/safe/x", sock=sock)
            assert fakes.read_response(sock)[0] == 200


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/", "secret", 404),
        ("/safe/x", "wrong", 401),
        ("/safe/x", None, 401),
        ("/public/x", None, 200),
    ],
)
def test_route_and_api_key_determine_the_status(front, path, key, status):
    front.add("s", fakes.responding())
    assert front.ask(path, key=key)[0] == status


def test_without_a_configuration_requests_may_be_retried(front):
    front.state.known_configuration.configuration = None
    status, headers, _ = front.ask("/nowhere/")
    assert status == 503
    assert float(headers[b"retry-after"]) > 0


def test_a_non_idempotent_call_is_not_retried_after_a_lost_response(front):
    """Backend servers run the request, but the responses are lost."""
    backends = [front.add(f"s{i}", fakes.resetting) for i in range(3)]
    status, _, body = front.ask("/unsafe/x", method="POST", body=b"charge")
    assert status == 502
    assert b'"unknown"' in body
    assert sum(len(b.arrivals) for b in backends) == 1


def test_a_refused_non_idempotent_call_is_retried_elsewhere(front):
    one = front.add("s1", fakes.refusing())
    other = front.add("s2", fakes.refusing())
    status, headers, body = front.ask("/unsafe/x", method="POST", body=b"x")
    assert status == 503
    assert b'"not_run"' in body
    assert float(headers[b"retry-after"]) > 0
    assert len(one.arrivals) + len(other.arrivals) == 2


def test_an_unreachable_server_uses_no_attempt(front):
    gone = front.add("gone", fakes.responding())
    gone.stop()
    front.add("s", fakes.responding())
    for _ in range(4):
        status, _, _ = front.ask("/unsafe/x", method="POST", body=b"x")
        assert status == 200


def test_a_truncated_response_is_not_passed_on(front):
    def truncated(sock, _):
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nseal: 1\r\ncontent-length: 9\r\n\r\nhalf"
        )

    front.add("s", truncated)
    status, _, body = front.ask("/unsafe/x", method="POST", body=b"x")
    assert status == 502
    assert b"half" not in body


def test_a_reset_response_without_length_is_not_complete(front):
    def unframed(sock, arrival):
        sock.sendall(b"HTTP/1.1 200 OK\r\nseal: 1\r\n\r\nhalf")
        gevent.sleep(0.05)
        fakes.resetting(sock, arrival)

    front.add("s", unframed)
    assert front.ask("/unsafe/x", method="POST", body=b"x")[0] == 502


def test_a_closed_response_without_length_is_complete(front):
    def unframed(sock, _):
        sock.sendall(b"HTTP/1.1 200 OK\r\nseal: 1\r\n\r\nwhole")

    front.add("s", unframed)
    assert front.ask("/unsafe/x", method="POST", body=b"x")[2] == b"whole"


def test_a_response_to_another_request_is_not_passed_on(front):
    def stray(sock, _):
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nseal: 1\r\nrequest-id: other\r\n"
            b"content-length: 4\r\n\r\nodds"
        )

    front.add("s", stray)
    status, _, body = front.ask("/unsafe/x", method="POST", body=b"x")
    assert status == 502
    assert b"odds" not in body


def test_a_success_without_a_seal_is_not_passed_on(front):
    front.add("s", fakes.responding(headers=b""))
    assert front.ask("/unsafe/x", method="POST", body=b"x")[0] == 502


def test_an_idempotent_call_is_retried_after_a_server_error(front):
    one = front.add("s1", fakes.responding(b"", b"500 Ill"), fakes.responding())
    two = front.add("s2", fakes.responding(b"", b"500 Ill"), fakes.responding())
    status, _, body = front.ask("/safe/x")
    assert status in (200, 500)
    assert len(one.arrivals) + len(two.arrivals) == 2


def test_a_server_error_of_a_non_idempotent_call_is_passed_on(front):
    front.add("s", fakes.responding(b"why", b"500 Ill"))
    status, headers, body = front.ask("/unsafe/x", method="POST", body=b"x")
    assert (status, body, headers[b"seal"]) == (500, b"why", b"1")


@pytest.mark.parametrize("status", [b"408 T", b"429 Many", b"503 Busy"])
def test_a_refusal_that_is_not_stated_is_no_promise(front, status):
    """The caller was told "not run" of a call that a server may have run."""
    backends = [
        front.add(name, fakes.responding(b"", status)) for name in ("s1", "s2")
    ]
    response = front.ask("/unsafe/x", method="POST", body=b"x")
    assert response[0] == 502
    assert b"seal" not in response[1]
    assert sum(len(backend.arrivals) for backend in backends) == 1


def test_a_refusal_of_an_idempotent_call_is_passed_on(front):
    front.add("s", fakes.responding(b"why", b"429 Many"))
    assert front.ask("/safe/x")[0] == 429


def test_a_call_to_a_silent_server_is_retried_elsewhere_in_time(front):
    """A backend server accepts requests but never responds."""
    front.add("s1", fakes.silent)
    front.add("s2", fakes.responding(), failure_domain="b")
    status, _, _ = front.ask("/safe/x")
    assert status == 200


def test_the_timeout_of_the_route_ends_a_call(front):
    backend = front.add("s", fakes.silent)
    status, _, body = front.ask("/brief/x", method="POST", body=b"x")
    assert status == 504
    assert b'"unknown"' in body
    assert backend.closed.wait(fakes.WAIT_S)


def test_the_deadline_of_the_caller_ends_a_call(front):
    front.add("s", fakes.silent)
    status, _, _ = front.ask(
        "/unsafe/x", method="POST", body=b"x", patience_ms="100"
    )
    assert status == 504


def test_a_disconnect_cancels_the_call_at_once(front):
    backend = front.add("s", fakes.silent)
    sock = front.send("/unsafe/x", method="POST", body=b"x")
    while not backend.arrivals:
        gevent.sleep(0.01)
    sock.close()
    assert backend.closed.wait(fakes.WAIT_S)
    assert front.state.load.in_flight == 0


def test_a_leaving_server_gets_no_requests(front):
    backend = front.add("s", fakes.responding())
    known = front.state.fleet.get("s")
    front.state.fleet.put(
        dataclasses.replace(
            known, availability=backend_server.Availability.LEAVING
        )
    )
    assert front.ask("/safe/x")[0] == 503
    assert not backend.arrivals


def test_responses_close_their_connections_during_shutdown(front):
    front.add("s", fakes.responding())
    front.state.mark_leaving()
    status, headers, _ = front.ask("/safe/x")
    assert status == 200
    assert headers[b"connection"] == b"close"


def test_a_call_that_began_before_shutdown_closes_its_connection(front):
    """A response that takes long ends only during the shutdown."""

    def slow(sock, arrival):
        gevent.sleep(0.2)
        fakes.responding()(sock, arrival)

    backend = front.add("s", slow)
    with front.send("/safe/x") as sock:
        while not backend.arrivals:
            gevent.sleep(0.01)
        front.state.mark_leaving()
        status, headers, _ = fakes.read_response(sock)
        assert (status, headers[b"connection"]) == (200, b"close")
        # Well below the idle timeout.
        sock.settimeout(0.5)
        assert sock.recv(1) == b""


def test_a_call_to_a_silent_server_goes_on_without_an_alternative(front):
    def late(sock, arrival):
        gevent.sleep(0.7)
        fakes.responding()(sock, arrival)

    front.add("s", late)
    assert front.ask("/safe/x")[0] == 200


def _late(delay_s=0.7, **rest):
    """A script that responds after the attempt has become late."""

    def script(sock, arrival):
        gevent.sleep(delay_s)
        fakes.responding(**rest)(sock, arrival)

    return script


def _empty_retry_budget(front):
    budget = front.state.retry_budget_for("plain")
    budget.resize(rate_per_s=0, capacity=0)


def test_a_late_idempotent_call_is_awaited_without_retry_budget(front):
    """The attempt was given up before anyone asked for another one."""
    backends = [front.add(name, _late()) for name in ("s1", "s2")]
    _empty_retry_budget(front)
    assert front.ask("/safe/x")[0] == 200
    assert sum(len(backend.arrivals) for backend in backends) == 1


def test_a_late_attempt_still_answers_beside_a_silent_one(front):
    """The first server was only slow, and the second one never responds."""
    front.add("s1", _late())
    silent = front.add("s2", fakes.silent, failure_domain="b")
    assert front.ask("/safe/x")[0] == 200
    assert len(silent.arrivals) == 1
    assert silent.closed.wait(fakes.WAIT_S)


def test_the_attempt_that_loses_is_closed_at_once(front):
    silent = front.add("s1", fakes.silent)
    front.add("s2", fakes.responding(), failure_domain="b")
    with front.send("/safe/x") as sock:
        assert fakes.read_response(sock)[0] == 200
        assert silent.closed.wait(_SOON_S)


def test_a_disconnect_closes_all_attempts(front):
    backends = [front.add(name, fakes.silent) for name in ("s1", "s2")]
    sock = front.send("/safe/x")
    fakes.until(lambda: all(backend.arrivals for backend in backends))
    sock.close()
    assert all(backend.closed.wait(_SOON_S) for backend in backends)


def test_a_server_error_waits_for_the_attempt_that_is_open(front):
    """The second server fails while the first one is still at work."""
    front.add("s1", _late(0.9))
    ill = front.add("s2", fakes.responding(b"", b"500 Ill"), failure_domain="b")
    assert front.ask("/safe/x")[0] == 200
    assert len(ill.arrivals) == 1


@pytest.mark.parametrize("second", [fakes.resetting, fakes.refusing()])
def test_a_server_error_is_passed_on_if_its_retry_fails(front, second):
    """The response was dropped for a retry that gave none."""
    front.add("s1", fakes.responding(b"why", b"500 Ill"))
    front.add("s2", second, failure_domain="b")
    status, headers, body = front.ask("/safe/x")
    assert (status, headers[b"seal"], body) == (500, b"1", b"why")


def test_a_server_error_is_passed_on_without_retry_budget(front):
    front.add("s1", fakes.responding(b"why", b"500 Ill"))
    other = front.add("s2", fakes.responding(), failure_domain="b")
    _empty_retry_budget(front)
    status, _, body = front.ask("/safe/x")
    assert (status, body) == (500, b"why")
    assert not other.arrivals


def test_a_late_call_that_is_not_idempotent_is_sent_once(front):
    front.add("s1", _late())
    other = front.add("s2", fakes.responding(), failure_domain="b")
    assert front.ask("/unsafe/x", method="POST", body=b"x")[0] == 200
    assert not other.arrivals


def test_a_late_server_that_answers_first_does_not_count_as_failed(front):
    """Three timeouts in a row exclude a server."""
    front.add("s1", _late())
    front.add("s2", fakes.silent, failure_domain="b")
    for _ in range(3):
        assert front.ask("/safe/x")[0] == 200
    excluded = front.state.exclusions.excluded_ids(now=time.monotonic())
    assert excluded <= {"s2"}


def test_a_silent_server_is_excluded_after_several_late_attempts(front):
    front.add("s1", fakes.silent)
    front.add("s2", fakes.responding(), failure_domain="b")
    for _ in range(3):
        assert front.ask("/safe/x")[0] == 200
    excluded = front.state.exclusions.excluded_ids(now=time.monotonic())
    assert excluded == {"s1"}


def test_a_late_call_that_is_refused_elsewhere_goes_to_a_third_server(front):
    """The first server is silent, the second one full."""
    front.state.known_configuration.configuration = dataclasses.replace(
        fakes.CONFIGURATION,
        routes=(fakes.route("safe", idempotent=True, max_attempts=3),),
    )
    front.add("s1", fakes.silent)
    full = front.add("s2", fakes.refusing(), failure_domain="b")
    front.add("s3", fakes.responding(), failure_domain="b")
    assert front.ask("/safe/x")[0] == 200
    assert len(full.arrivals) == 1


def test_ended_calls_leave_nothing_behind(front):
    """A count of each backend server that had ever served a call stayed."""
    front.add("s1", fakes.silent)
    front.add("s2", fakes.responding(), failure_domain="b")
    assert front.ask("/safe/x")[0] == 200
    fakes.until(lambda: not front.handler._plain._in_flight)


def _refusing_for(retry_after):
    """A script that refuses a request with `Retry-After`."""
    rows = b"not-run: 1\r\nretry-after: " + retry_after + b"\r\n"
    return fakes.responding(b"", b"503 Full", rows)


def test_a_full_server_gets_no_request_before_its_retry_after(front):
    """Callers keep sending requests while a backend server is full."""
    full = front.add("full", _refusing_for(b"0.6"), fakes.responding())
    for _ in range(6):
        status, headers, _ = front.ask("/safe/x")
        assert status == 503
        assert 0.0 < float(headers[b"retry-after"]) <= 0.6
    assert len(full.arrivals) == 1
    gevent.sleep(0.6)
    assert front.ask("/safe/x")[0] == 200


def test_a_full_server_is_not_excluded(front):
    front.add("full", _refusing_for(b"5"))
    front.add("s", fakes.responding())
    for _ in range(4):
        assert front.ask("/safe/x")[0] == 200
    assert not front.state.exclusions.excluded_ids(now=time.monotonic())


@pytest.mark.parametrize(
    "value", [b"soon", b"-3", b"Fri, 04 Dec 2026 10:00:00 GMT", b"nan"]
)
def test_a_malformed_retry_after_is_logged_and_ignored(front, value):
    server = front.add("s", _refusing_for(value), fakes.responding())
    assert front.ask("/safe/x")[0] == 503
    assert front.ask("/safe/x")[0] == 200
    assert len(server.arrivals) == 2
    names = [row.decision for row in front.state.decisions.journal.latest(50)]
    assert "retry_after_rejected" in names


@pytest.mark.parametrize(
    ("status", "rows"),
    [
        (b"200 OK", b"seal: 1\r\n"),
        (b"404 No", b"seal: 1\r\n"),
        (b"503 Full", b"not-run: 1\r\n"),
    ],
)
def test_a_server_that_announces_leaving_gets_no_more_requests(
    front, status, rows
):
    """A backend server leaves while the store is unavailable."""
    leaver = front.add(
        "leaver", fakes.responding(b"", status, rows + b"leaving: 1\r\n")
    )
    front.ask("/safe/x")
    front.add("s", fakes.responding())
    for _ in range(5):
        assert front.ask("/safe/x")[0] == 200
    assert len(leaver.arrivals) == 1


def test_a_restarted_server_is_used_again(front):
    leaver = front.add(
        "s",
        fakes.responding(b"", b"200 OK", b"seal: 1\r\nleaving: 1\r\n"),
        fakes.responding(),
    )
    front.ask("/safe/x")
    assert front.ask("/safe/x")[0] == 503
    restarted = front.state.fleet.get("s")
    front.state.fleet.put(
        dataclasses.replace(
            restarted,
            started_ms=restarted.started_ms + 1,
            availability=backend_server.Availability.READY,
        )
    )
    assert front.ask("/safe/x")[0] == 200
    assert len(leaver.arrivals) == 2


def test_a_misdirected_leaving_notice_is_ignored(front):
    """Another backend server at a reused address says that it is leaving."""
    server = front.add(
        "s",
        fakes.responding(b"", b"421 No", b"not-run: 1\r\nleaving: 1\r\n"),
        fakes.responding(),
    )
    front.ask("/safe/x")
    assert front.ask("/safe/x")[0] == 200
    assert len(server.arrivals) == 2


@pytest.mark.parametrize("path", ["/safe/x", "/stream/x"])
def test_a_caller_that_left_before_its_request_was_read_is_not_served(
    front, path
):
    """Load pattern: the event loop is late, and the caller gives up meanwhile.

    Its request and its close are found at once when the loop goes on.
    """
    plain = front.add("s", fakes.responding())
    first = front.add(
        "e", fakes.streaming(1, 3), service="model", layers=(0, 8)
    )
    for _ in range(20):
        sock = front.send(path, method="POST" if "stream" in path else "GET")
        # No other greenlet runs between the request and the close.
        sock.close()
    gevent.sleep(0.5)
    assert not plain.arrivals
    assert not first.arrivals


@pytest.fixture
def failing_exchange(front, monkeypatch):
    """Makes the second response that is read end in a fault of the front."""
    read_response_head = upstream.read_response_head
    reads = []

    def read(call, connection, **options):
        reads.append(connection)
        is_second = len(reads) == 2
        head = read_response_head(call, connection, **options)
        if is_second:
            raise RuntimeError("unexpected")
        return head

    monkeypatch.setattr(upstream, "read_response_head", read)


def test_a_fault_in_one_attempt_leaves_the_one_beside_it(
    front, failing_exchange, caplog
):
    """The caller got 502 though the first server would have answered."""
    front.add("s1", _late(body=b"late"))
    other = front.add("s2", fakes.responding(), failure_domain="b")
    status, _, body = front.ask("/safe/x")
    assert (status, body) == (200, b"late")
    assert len(other.arrivals) == 1
    assert [r.request_id for r in caplog.records if r.exc_info] == ["r1"]


@pytest.mark.parametrize("reached", [True, False])
def test_a_fault_in_the_only_attempt_is_answered_as_far_as_it_is_known(
    front, monkeypatch, reached
):
    """A call that a server has may have run; one never sent has not."""
    server = front.add("s", fakes.responding())
    if reached:
        monkeypatch.setattr(upstream, "read_response_head", None)
    else:
        monkeypatch.setattr(http_connection, "connect", None)
    status, headers, body = front.ask("/unsafe/x", method="POST", body=b"x")
    assert len(server.arrivals) <= reached
    assert status == (502 if reached else 503)
    assert (b'"unknown"' if reached else b'"not_run"') in body
    assert (b"retry-after" in headers) is not reached
    excluded = front.state.exclusions.excluded_ids(now=time.monotonic())
    assert not excluded
