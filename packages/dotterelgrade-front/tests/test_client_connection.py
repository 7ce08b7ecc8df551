import contextlib
import dataclasses
import re
import subprocess
import sys
import time

import front_fakes as fakes
import gevent
from gevent import socket
import pytest

from dotterelgrade import http_connection
from dotterelgrade_front import client_bounds
from dotterelgrade_front import client_connection

# Well below the timeout of the routes.
_SOON_S = 1.5


def test_a_large_head_is_refused(front):
    status, _, _ = front.ask("/safe/x", filler="x" * 3_000)
    assert status == 431


def test_a_large_content_length_is_refused_before_the_body_is_read(front):
    with front.connect() as sock:
        sock.sendall(
            b"POST /safe/x HTTP/1.1\r\nhost: shop.example\r\n"
            b"content-length: 6000\r\n\r\n"
        )
        assert fakes.read_response(sock)[0] == 413


def test_malformed_request_is_refused(front):
    with front.connect() as sock:
        sock.sendall(b"\x00\x01 nonsense\r\n\r\n")
        assert fakes.read_response(sock)[0] == 400


def test_content_length_with_chunked_encoding_is_refused(front):
    backend = front.add("s", fakes.responding())
    with front.connect() as sock:
        sock.sendall(
            b"POST /safe/x HTTP/1.1\r\nhost: shop.example\r\n"
            b"content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n"
            b"0\r\n\r\n"
        )
        assert fakes.read_response(sock)[0] == 400
    assert not backend.arrivals


def test_incomplete_head_is_refused_after_the_header_timeout(front):
    with front.connect() as sock:
        sock.sendall(b"GET /safe/x HTTP/1.1\r\nhost:")
        assert fakes.read_response(sock)[0] == 408


def test_a_body_that_arrives_slowly_is_read(front):
    """It was answered 408 when the timeout for the head had passed."""
    backend = front.add("s", fakes.responding())
    _set_limits(front, header_timeout_s=1.0)
    with front.connect() as sock:
        sock.sendall(
            b"POST /safe/x HTTP/1.1\r\nhost: shop.example\r\n"
            b"key: secret\r\ncontent-length: 8\r\n\r\n"
        )
        for _ in range(8):
            gevent.sleep(0.2)
            sock.sendall(b"x")
        assert fakes.read_response(sock)[0] == 200
    assert backend.arrivals[0].body == b"x" * 8


def test_a_body_that_stalls_is_refused(front):
    with front.connect() as sock:
        sock.sendall(
            b"POST /safe/x HTTP/1.1\r\nhost: shop.example\r\n"
            b"content-length: 8\r\n\r\nx"
        )
        assert fakes.read_response(sock)[0] == 408


def test_a_head_that_arrives_slowly_is_refused(front):
    """Its pieces do not renew the timeout."""
    with front.connect() as sock:
        sock.sendall(b"GET /safe/x HTTP/1.1\r\n")
        with pytest.raises(OSError):
            for _ in range(50):
                gevent.sleep(0.05)
                sock.sendall(b"a: b\r\n")


def test_a_connection_is_closed_after_the_idle_timeout(front):
    with front.connect() as sock:
        assert sock.recv(1) == b""


def test_a_chunked_body_is_forwarded_with_its_length(front):
    backend = front.add("s", fakes.responding())
    with front.connect() as sock:
        sock.sendall(
            b"POST /safe/x HTTP/1.1\r\nhost: shop.example\r\nkey: secret\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        assert fakes.read_response(sock)[0] == 200
    assert backend.arrivals[0].body == b"abcde"
    assert b"transfer-encoding" not in backend.arrivals[0].headers


def test_pipelined_requests_are_answered_in_order(front):
    front.add(
        "s",
        lambda sock, arrival: fakes.responding(arrival.line)(sock, arrival),
    )
    with front.connect() as sock:
        front.send("/safe/1", sock=sock)
        front.send("/safe/2", sock=sock)
        data = b""
        while data.count(b"GET /safe/") < 2:
            data += sock.recv(65536)
    assert data.index(b"/safe/1") < data.index(b"/safe/2")


def test_a_request_that_offers_an_upgrade_is_served(front):
    """It was answered 400, where a server may ignore the offer."""
    backend = front.add("s", fakes.responding())
    headers = {
        "connection": "upgrade",
        "upgrade": "h2c",
        "http2-settings": "AAMAAABk",
    }
    response = front.ask("/unsafe/x", method="POST", body=b"order", **headers)
    assert response[0] == 200
    assert backend.arrivals[0].body == b"order"
    for name in (b"connection", b"upgrade", b"http2-settings"):
        assert name not in backend.arrivals[0].headers


def test_a_connection_is_kept_after_an_upgrade_offer(front):
    front.add("s", fakes.responding())
    offer = {"connection": "upgrade", "upgrade": "h2c"}
    with front.connect() as sock:
        front.send("/safe/1", sock=sock, **offer)
        assert fakes.read_response(sock)[0] == 200
        front.send("/safe/2", sock=sock)
        assert fakes.read_response(sock)[0] == 200


@pytest.mark.parametrize(
    "data",
    [
        b"CONNECT shop.example:443 HTTP/1.1\r\nhost: shop.example\r\n\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    ],
)
def test_a_protocol_that_is_not_spoken_here_is_refused(front, data):
    with front.connect() as sock:
        sock.sendall(data)
        assert fakes.read_response(sock)[0] == 400


@pytest.mark.parametrize(
    ("rows", "statuses"),
    [({}, [b"200", b"400"]), ({"connection": "close"}, [b"200"])],
)
def test_a_request_with_malformed_bytes_behind_it_is_answered(
    front, rows, statuses
):
    """The whole request was dropped, and answered 400."""
    front.add("s", fakes.responding())
    with front.connect() as sock:
        front.send("/unsafe/x", method="POST", body=b"x", sock=sock, **rows)
        sock.sendall(b"\x00\x01 nonsense\r\n\r\n")
        assert _statuses(_read_to_end(sock)) == statuses


def test_the_last_response_is_whole_with_a_request_unread_behind_it(front):
    """The close reset the connection and dropped the rest of the response."""
    body = b"x" * 8_000_000
    backend = front.add("s", fakes.responding(body))
    with front.connect() as sock:
        front.send("/safe/1", sock=sock, connection="close")
        fakes.until(lambda: backend.arrivals)
        front.send("/safe/2", sock=sock)
        gevent.sleep(0.3)
        assert fakes.read_response(sock)[2] == body
    assert len(backend.arrivals) == 1


def test_a_refusal_reaches_a_caller_that_is_still_sending(front):
    """The close reset the connection before the caller read the 413."""
    with front.connect() as sock:
        sock.sendall(
            b"POST /safe/x HTTP/1.1\r\nhost: shop.example\r\n"
            b"content-length: 3000000\r\n\r\n"
        )
        for _ in range(30):
            sock.sendall(b"x" * 100_000)
            gevent.sleep(0.001)
        assert fakes.read_response(sock)[0] == 413


@pytest.mark.parametrize("path", ["/unsafe/x", "/stream/x"])
def test_a_close_behind_a_pipelined_request_cancels_the_call(front, path):
    """The pending bytes hid the close, and the work went on."""
    layers = (0, 8) if "stream" in path else None
    backend = front.add(
        "s",
        fakes.silent,
        service="plain" if layers is None else "model",
        layers=layers,
    )
    sock = front.send(path, method="POST", body=b"x")
    fakes.until(lambda: backend.arrivals)
    front.send("/safe/2", sock=sock)
    gevent.sleep(0.05)
    sock.close()
    assert backend.closed.wait(_SOON_S)
    assert len(backend.arrivals) == 1


def test_a_caller_that_ends_its_side_counts_as_gone(front):
    """It looks like one that has closed, for whom no work may go on."""
    backend = front.add("s", fakes.silent)
    with front.send("/unsafe/x", method="POST", body=b"x") as sock:
        fakes.until(lambda: backend.arrivals)
        sock.shutdown(socket.SHUT_WR)
        assert backend.closed.wait(_SOON_S)


def test_a_caller_that_reads_slowly_gets_the_whole_response(front, monkeypatch):
    """The time for the whole write was limited, not that without progress."""
    monkeypatch.setattr(client_connection, "_SEND_TIMEOUT_S", 1.0)
    body = b"x" * 16_000_000
    front.add("s", fakes.responding(body))
    received = 0
    with front.send("/safe/x") as sock:
        while received < len(body):
            gevent.sleep(0.02)
            piece = sock.recv(131_072)
            assert piece
            received += len(piece)


def test_a_caller_that_pauses_gets_the_whole_response(front, monkeypatch):
    """The kernel gave the connection up, long before the limit for writes."""
    monkeypatch.setattr(http_connection, "_TCP_USER_TIMEOUT_MS", 300)
    body = b"x" * 16_000_000
    front.add("s", fakes.responding(body))
    with front.send("/safe/x") as sock:
        gevent.sleep(2.0)
        assert fakes.read_response(sock)[2] == body


def test_a_caller_that_reads_nothing_is_given_up(front, monkeypatch):
    monkeypatch.setattr(client_connection, "_SEND_TIMEOUT_S", 0.2)
    front.add("s", fakes.responding(b"x" * 16_000_000))
    with front.send("/safe/x"):
        fakes.until(lambda: front.handler.requests_in_flight)
        fakes.until(lambda: not front.handler.connections)


def _read_to_end(sock):
    data = b""
    while piece := sock.recv(65536):
        data += piece
    return data


def _statuses(data):
    return re.findall(rb"HTTP/1.1 (\d+)", data)


def _set_limits(front, **limits):
    known = front.state.known_configuration
    known.configuration = dataclasses.replace(
        known.configuration,
        limits=dataclasses.replace(known.configuration.limits, **limits),
    )


def test_a_longer_idle_timeout_holds_for_an_idle_connection(front):
    """The connection was closed by limits that were no longer in force."""
    front.add("s", fakes.responding())
    _set_limits(front, idle_timeout_s=0.2)
    with front.connect() as sock:
        front.send("/safe/1", sock=sock)
        assert fakes.read_response(sock)[0] == 200
        _set_limits(front, idle_timeout_s=20.0)
        gevent.sleep(0.4)
        front.send("/safe/2", sock=sock)
        assert fakes.read_response(sock)[0] == 200


def test_a_shorter_idle_timeout_does_not_cut_a_wait_that_has_begun(front):
    """A caller keeps connections as long as it has been told."""
    front.add("s", fakes.responding())
    _set_limits(front, idle_timeout_s=20.0)
    with front.connect() as sock:
        gevent.sleep(0.1)
        _set_limits(front, idle_timeout_s=0.1)
        gevent.sleep(0.3)
        front.send("/safe/x", sock=sock)
        assert fakes.read_response(sock)[0] == 200


def test_a_larger_body_limit_holds_for_a_kept_connection(front):
    """The request was answered 413 by limits no longer in force."""
    front.add("s", fakes.responding())
    with front.connect() as sock:
        front.send("/safe/1", sock=sock)
        assert fakes.read_response(sock)[0] == 200
        _set_limits(front, body_bytes=50_000, header_bytes=20_000)
        front.send(
            "/safe/2",
            method="POST",
            body=b"x" * 6_000,
            sock=sock,
            filler="x" * 3_000,
        )
        assert fakes.read_response(sock)[0] == 200


def _send_in_a_late_event_loop(data, sock):
    """Sends bytes just before the loop runs the timer of a timeout."""
    gevent.sleep(0.1)
    gevent.spawn_later(0.01, sock.sendall, data)
    # Both timers are due; that of a timeout has the lower priority.
    time.sleep(1.1)


def test_a_request_that_arrived_before_the_idle_timeout_is_served(front):
    """The connection was closed with the request unread."""
    front.add("s", fakes.responding())
    _set_limits(front, idle_timeout_s=1.0)
    with front.connect() as sock:
        _send_in_a_late_event_loop(
            b"GET /safe/x HTTP/1.1\r\nhost: shop.example\r\n"
            b"key: secret\r\n\r\n",
            sock,
        )
        assert fakes.read_response(sock)[0] == 200


def test_a_body_that_arrived_before_the_header_timeout_is_served(front):
    """The request was answered 408 though it was whole."""
    front.add("s", fakes.responding())
    _set_limits(front, header_timeout_s=1.0)
    with front.connect() as sock:
        sock.sendall(
            b"POST /safe/x HTTP/1.1\r\nhost: shop.example\r\n"
            b"key: secret\r\ncontent-length: 2\r\n\r\na"
        )
        _send_in_a_late_event_loop(b"b", sock)
        assert fakes.read_response(sock)[0] == 200


def test_close_idle_closes_idle_connections(front):
    front.add("s", fakes.responding())
    with front.connect() as sock:
        front.send("/safe/x", sock=sock)
        fakes.read_response(sock)
        gevent.sleep(0.02)
        front.handler.close_idle()
        assert sock.recv(1) == b""


def test_close_idle_keeps_a_connection_with_an_unread_request(front):
    """The request has arrived, but its greenlet has not read it yet."""
    front.add("s", fakes.responding())
    with front.connect() as sock:
        front.send("/safe/x", sock=sock)
        fakes.read_response(sock)
        gevent.sleep(0.02)
        front.send("/safe/x", sock=sock)
        front.handler.close_idle()
        assert fakes.read_response(sock)[0] == 200


def test_close_idle_keeps_a_busy_connection(front):
    def slow(sock, arrival):
        gevent.sleep(0.2)
        fakes.responding()(sock, arrival)

    backend = front.add("s", slow)
    with front.send("/safe/x") as sock:
        while not backend.arrivals:
            gevent.sleep(0.01)
        front.handler.close_idle()
        assert fakes.read_response(sock)[0] == 200


@pytest.fixture
def strict_front(settings, platform):
    """Wants a body and an answer to move on within a part of a second."""
    bounds = client_bounds.ClientBounds(
        body_window_s=0.4,
        body_bytes_per_s=100_000,
        answer_window_s=0.4,
        send_buffer_bytes=4_096,
    )
    settings = dataclasses.replace(settings, clients=bounds)
    running = fakes.FrontUnderTest(settings, platform)
    yield running
    running.stop()


def test_a_body_that_trickles_is_refused_and_not_run(strict_front):
    """A byte now and then renewed the timeout without end."""
    backend = strict_front.add("s", fakes.responding())
    with strict_front.connect() as sock:
        sock.sendall(
            b"POST /safe/x HTTP/1.1\r\nhost: shop.example\r\n"
            b"key: secret\r\ncontent-length: 4000\r\n\r\n"
        )
        with contextlib.suppress(OSError):
            for _ in range(30):
                sock.sendall(b"x")
                gevent.sleep(0.05)
        assert fakes.read_response(sock)[0] == 408
    assert not backend.arrivals


@pytest.mark.parametrize("size", [4_000, 40_000])
def test_a_front_that_was_suspended_blames_no_body(strict_front, size):
    """The time for a body passed while its bytes lay unread in the kernel."""
    strict_front.add("s", fakes.responding())
    _set_limits(strict_front, body_bytes=50_000)
    with strict_front.connect() as sock:
        sock.sendall(
            b"POST /safe/x HTTP/1.1\r\nhost: shop.example\r\n"
            b"key: secret\r\ncontent-length: %d\r\n\r\nx" % size
        )
        gevent.sleep(0.1)
        sock.sendall(b"x" * (size - 1))
        time.sleep(1.0)
        assert fakes.read_response(sock)[0] == 200


def test_an_answer_that_is_not_read_ends_its_connection(strict_front):
    strict_front.add("s", fakes.responding(b"x" * 200_000))
    sock = socket.socket()
    with sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect(strict_front.connect().getpeername())
        strict_front.send("/safe/x", sock=sock)
        fakes.until(lambda: strict_front.handler.requests_in_flight)
        fakes.until(lambda: not strict_front.handler.requests_in_flight)
    assert b'limit="slow_reader"' in strict_front.state.metrics.as_text()
    assert strict_front.state.memory.used_bytes == 0


def test_parsing_ends_when_the_caller_of_tiny_chunks_leaves(front):
    """The rest of what had arrived was parsed for nobody."""
    backend = front.add("s", fakes.responding())
    _set_limits(front, body_bytes=10**6)
    with front.connect() as sock:
        sock.sendall(
            b"POST /safe/x HTTP/1.1\r\nhost: shop.example\r\nkey: secret\r\n"
            b"transfer-encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 5_000
        )
    fakes.until(lambda: not front.handler.connections)
    assert not backend.arrivals


def test_pipelined_requests_beyond_the_limit_are_answered_in_turn(front):
    front.add("s", fakes.responding())
    with front.connect() as sock:
        one = b"GET /safe/x HTTP/1.1\r\nhost: shop.example\r\nkey: secret\r\n"
        sock.sendall((one + b"request-id: r\r\n\r\n") * 60)
        data = b""
        while data.count(b"HTTP/1.1 200") < 60:
            data += sock.recv(65536)


_PATCHED = """
from gevent import monkey
monkey.patch_all()
import gevent
from gevent import socket
from dotterelgrade import memory_budget
from dotterelgrade_front import client_connection
from dotterelgrade_routing import configuration

tcp = socket.create_server(("127.0.0.1", 0))
far = socket.create_connection(tcp.getsockname())
near, _ = tcp.accept()
client = client_connection.ClientConnection(
    near,
    limits=configuration.ClientLimits,
    account=memory_budget.unlimited(),
)
gevent.spawn_later(0.1, far.close)
try:
    with client.interrupt_on_disconnect():
        gevent.sleep(5)
except client_connection.CallerDisconnectedError:
    print("noticed")
"""


def test_a_disconnect_is_noticed_where_the_standard_library_is_patched():
    done = subprocess.run(
        [sys.executable, "-c", _PATCHED],
        capture_output=True,
        text=True,
        check=True,
        timeout=30,
    )
    assert (done.stdout, done.stderr) == ("noticed\n", "")
