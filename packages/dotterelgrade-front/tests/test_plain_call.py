import dataclasses
import time

import front_fakes as fakes
import gevent
import pytest

from dotterelgrade_routing import backend_server


def test_an_answer_comes_back_as_it_was_made(front):
    backend = front.add("s", fakes.answering(b"\x00whole\xff"))
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
    front.add("s", fakes.answering())
    with front.connect() as sock:
        for _ in range(3):
            front.send("/safe/x", sock=sock)
            assert fakes.read_answer(sock)[0] == 200


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/", "secret", 404),
        ("/safe/x", "wrong", 401),
        ("/safe/x", None, 401),
        ("/public/x", None, 200),
    ],
)
def test_route_and_key_decide(front, path, key, status):
    front.add("s", fakes.answering())
    assert front.ask(path, key=key)[0] == status


def test_without_a_configuration_nothing_is_denied(front):
    front.state.known_configuration.configuration = None
    status, headers, _ = front.ask("/nowhere/")
    assert status == 503
    assert float(headers[b"retry-after"]) > 0


def test_a_lost_answer_of_what_may_run_once_is_not_tried_again(front):
    """Load pattern: answers of backend servers are lost after the run."""
    backends = [front.add(f"s{i}", fakes.resetting) for i in range(3)]
    status, _, body = front.ask("/unsafe/x", method="POST", body=b"charge")
    assert status == 502
    assert b'"unknown"' in body
    assert sum(len(b.arrivals) for b in backends) == 1


def test_a_refused_call_goes_elsewhere_though_it_may_run_once(front):
    one = front.add("s1", fakes.refusing())
    other = front.add("s2", fakes.refusing())
    status, headers, body = front.ask("/unsafe/x", method="POST", body=b"x")
    assert status == 503
    assert b'"not_run"' in body
    assert float(headers[b"retry-after"]) > 0
    assert len(one.arrivals) + len(other.arrivals) == 2


def test_an_unreachable_server_costs_no_attempt(front):
    gone = front.add("gone", fakes.answering())
    gone.stop()
    front.add("s", fakes.answering())
    for _ in range(4):
        status, _, _ = front.ask("/unsafe/x", method="POST", body=b"x")
        assert status == 200


def test_a_truncated_answer_is_not_passed_on(front):
    def truncated(sock, _):
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nseal: 1\r\ncontent-length: 9\r\n\r\nhalf"
        )

    front.add("s", truncated)
    status, _, body = front.ask("/unsafe/x", method="POST", body=b"x")
    assert status == 502
    assert b"half" not in body


def test_an_answer_without_length_that_is_reset_is_not_complete(front):
    def unframed(sock, arrival):
        sock.sendall(b"HTTP/1.1 200 OK\r\nseal: 1\r\n\r\nhalf")
        gevent.sleep(0.05)
        fakes.resetting(sock, arrival)

    front.add("s", unframed)
    assert front.ask("/unsafe/x", method="POST", body=b"x")[0] == 502


def test_an_answer_without_length_that_ends_is_complete(front):
    def unframed(sock, _):
        sock.sendall(b"HTTP/1.1 200 OK\r\nseal: 1\r\n\r\nwhole")

    front.add("s", unframed)
    assert front.ask("/unsafe/x", method="POST", body=b"x")[2] == b"whole"


def test_an_answer_to_another_request_is_not_passed_on(front):
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
    front.add("s", fakes.answering(headers=b""))
    assert front.ask("/unsafe/x", method="POST", body=b"x")[0] == 502


def test_an_idempotent_call_moves_on_after_a_failure(front):
    one = front.add("s1", fakes.answering(b"", b"500 Ill"), fakes.answering())
    two = front.add("s2", fakes.answering(b"", b"500 Ill"), fakes.answering())
    status, _, body = front.ask("/safe/x")
    assert status in (200, 500)
    assert len(one.arrivals) + len(two.arrivals) == 2


def test_a_failure_of_the_server_itself_is_passed_on_as_it_is(front):
    front.add("s", fakes.answering(b"why", b"500 Ill"))
    status, headers, body = front.ask("/unsafe/x", method="POST", body=b"x")
    assert (status, body, headers[b"seal"]) == (500, b"why", b"1")


def test_a_silent_server_is_left_for_another_in_time(front):
    """Load pattern: a backend server takes requests and never answers."""
    front.add("s1", fakes.silent)
    front.add("s2", fakes.answering(), failure_domain="b")
    status, _, _ = front.ask("/safe/x")
    assert status == 200


def test_the_timeout_of_the_route_ends_a_call(front):
    backend = front.add("s", fakes.silent)
    status, _, body = front.ask("/brief/x", method="POST", body=b"x")
    assert status == 504
    assert b'"unknown"' in body
    assert backend.closed.wait(fakes.WAIT_S)


def test_the_callers_patience_ends_a_call(front):
    front.add("s", fakes.silent)
    status, _, _ = front.ask(
        "/unsafe/x", method="POST", body=b"x", patience_ms="100"
    )
    assert status == 504


def test_a_caller_that_leaves_ends_the_work_at_once(front):
    backend = front.add("s", fakes.silent)
    sock = front.send("/unsafe/x", method="POST", body=b"x")
    while not backend.arrivals:
        gevent.sleep(0.01)
    sock.close()
    assert backend.closed.wait(fakes.WAIT_S)
    assert front.state.load.in_flight == 0


def test_a_leaving_server_gets_nothing(front):
    backend = front.add("s", fakes.answering())
    known = front.state.fleet.get("s")
    front.state.fleet.put(
        dataclasses.replace(
            known, availability=backend_server.Availability.LEAVING
        )
    )
    assert front.ask("/safe/x")[0] == 503
    assert not backend.arrivals


def test_while_leaving_each_answer_ends_its_connection(front):
    front.add("s", fakes.answering())
    front.state.leave()
    status, headers, _ = front.ask("/safe/x")
    assert status == 200
    assert headers[b"connection"] == b"close"


def test_a_connection_ends_with_an_answer_that_began_before_the_stop(front):
    """Load pattern: a long answer ends late in the time of a stop."""

    def slow(sock, arrival):
        gevent.sleep(0.2)
        fakes.answering()(sock, arrival)

    backend = front.add("s", slow)
    with front.send("/safe/x") as sock:
        while not backend.arrivals:
            gevent.sleep(0.01)
        front.state.leave()
        assert fakes.read_answer(sock)[0] == 200
        # Well before the connection would end for being idle.
        sock.settimeout(0.5)
        assert sock.recv(1) == b""


def test_silence_alone_does_not_end_a_call_without_another_server(front):
    def late(sock, arrival):
        gevent.sleep(0.7)
        fakes.answering()(sock, arrival)

    front.add("s", late)
    assert front.ask("/safe/x")[0] == 200


def _refusing_for(text):
    """A script that turns a request away and names the time of a return."""
    rows = b"not-run: 1\r\nretry-after: " + text + b"\r\n"
    return fakes.answering(b"", b"503 Full", rows)


def test_a_full_server_gets_nothing_until_its_time_is_over(front):
    """Load pattern: callers press on while a backend server is full."""
    full = front.add("full", _refusing_for(b"0.6"), fakes.answering())
    for _ in range(6):
        status, headers, _ = front.ask("/safe/x")
        assert status == 503
        assert 0.0 < float(headers[b"retry-after"]) <= 0.6
    assert len(full.arrivals) == 1
    gevent.sleep(0.6)
    assert front.ask("/safe/x")[0] == 200


def test_a_full_server_loses_no_trust(front):
    front.add("full", _refusing_for(b"5"))
    front.add("s", fakes.answering())
    for _ in range(4):
        assert front.ask("/safe/x")[0] == 200
    assert not front.state.trust.excluded_ids(now=time.monotonic())


@pytest.mark.parametrize(
    "text", [b"soon", b"-3", b"Fri, 04 Dec 2026 10:00:00 GMT", b"nan"]
)
def test_a_malformed_time_is_logged_and_harms_nobody(front, text):
    server = front.add("s", _refusing_for(text), fakes.answering())
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
def test_who_says_that_it_leaves_gets_nothing_more(front, status, rows):
    """Load pattern: a backend server leaves while the store is away."""
    leaver = front.add(
        "leaver", fakes.answering(b"", status, rows + b"leaving: 1\r\n")
    )
    front.ask("/safe/x")
    front.add("s", fakes.answering())
    for _ in range(5):
        assert front.ask("/safe/x")[0] == 200
    assert len(leaver.arrivals) == 1


def test_the_next_start_at_the_address_is_used(front):
    leaver = front.add(
        "s",
        fakes.answering(b"", b"200 OK", b"seal: 1\r\nleaving: 1\r\n"),
        fakes.answering(),
    )
    front.ask("/safe/x")
    assert front.ask("/safe/x")[0] == 503
    again = front.state.fleet.get("s")
    front.state.fleet.put(
        dataclasses.replace(
            again,
            started_ms=again.started_ms + 1,
            availability=backend_server.Availability.READY,
        )
    )
    assert front.ask("/safe/x")[0] == 200
    assert len(leaver.arrivals) == 2


def test_another_incarnation_that_leaves_marks_nobody(front):
    """A backend server at a reused address answers for another one."""
    server = front.add(
        "s",
        fakes.answering(b"", b"421 No", b"not-run: 1\r\nleaving: 1\r\n"),
        fakes.answering(),
    )
    front.ask("/safe/x")
    assert front.ask("/safe/x")[0] == 200
    assert len(server.arrivals) == 2
