import socket as std_socket
import time

import gevent
from gevent import server as gevent_server
import pytest

from dotterelgrade import http_connection


@pytest.fixture
def serve():
    servers = []

    def start(script):
        def handle(sock, _):
            sock.recv(65536)
            script(sock)
            sock.close()

        server = gevent_server.StreamServer(("127.0.0.1", 0), handle)
        server.start()
        servers.append(server)
        return f"127.0.0.1:{server.server_port}"

    yield start
    for server in servers:
        server.stop(timeout=0)


def _call(address, **options):
    options.setdefault("timeout_s", 2.0)
    options.setdefault("method", b"GET")
    return http_connection.call(address, target=b"/", **options)


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nok",
        b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 500 Extra",
    ],
)
def test_complete_responses(serve, response):
    head, body = _call(serve(lambda sock: sock.sendall(response)))
    assert (head.status, body) == (200, b"ok")


@pytest.mark.parametrize(
    "extra",
    [
        b"HTTP/1.1 503 Busy\r\nseal: other\r\ncontent-length: 3\r\n\r\nnot",
        b"HTTP/1.1 200 OK\r\nseal: other\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nseal: other\r\n",
    ],
)
@pytest.mark.parametrize("pause_s", [0.0, 0.02])
def test_extra_response_is_ignored(serve, extra, pause_s):
    """The backend server sends an extra response after the first one."""
    response = b"HTTP/1.1 200 OK\r\nseal: own\r\ncontent-length: 2\r\n\r\nok"

    def script(sock):
        sock.sendall(response + extra)
        gevent.sleep(pause_s)

    head, body = _call(serve(script))
    assert (head.status, body) == (200, b"ok")
    assert [v for n, v in head.headers if n == b"seal"] == [b"own"]


@pytest.mark.parametrize(
    "response",
    [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-le",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\no\r\n",
        b"\x00\x01\x02 no answer\r\n\r\n",
    ],
)
def test_incomplete_or_invalid_responses(serve, response):
    with pytest.raises(http_connection.BrokenConnectionError):
        _call(serve(lambda sock: sock.sendall(response)))


def test_reset_response_without_length_is_incomplete(serve):
    def script(sock):
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nha")
        gevent.sleep(0.05)
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, linger)

    with pytest.raises(http_connection.BrokenConnectionError):
        _call(serve(script))


def test_silent_peer_times_out(serve):
    started = time.monotonic()
    with pytest.raises(http_connection.ResponseTimeoutError):
        _call(serve(lambda sock: gevent.sleep(5)), timeout_s=0.2)
    assert time.monotonic() - started < 2


def test_too_large_head_is_rejected(serve):
    def script(sock):
        sock.sendall(b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 20_000)
        gevent.sleep(0.5)

    with pytest.raises(http_connection.BrokenConnectionError):
        _call(serve(script))


@pytest.mark.parametrize(
    ("start", "filler"),
    [
        (b"transfer-encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n"),
        (b"transfer-encoding: chunked\r\n\r\n2;", b"x"),
        (b"transfer-encoding: chunked\r\n\r\n0000", b"0"),
    ],
)
def test_too_large_chunk_framing_is_rejected(serve, start, filler):
    """The peer sends endless trailers or an endless chunk header."""

    def script(sock):
        sock.sendall(b"HTTP/1.1 200 OK\r\n" + start + filler * 400_000)
        gevent.sleep(5)

    with pytest.raises(http_connection.BrokenConnectionError):
        _call(serve(script))


def test_too_large_body_is_rejected(serve):
    def script(sock):
        sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n")
        sock.sendall(b"x" * 99)

    with pytest.raises(http_connection.BrokenConnectionError):
        _call(serve(script), max_body_bytes=10)


def test_unreachable_peer_raises_connect_error():
    with pytest.raises(http_connection.ConnectError):
        _call("127.0.0.1:1")
    with pytest.raises(http_connection.ConnectError):
        _call("nowhere")


def test_response_to_head_request_has_no_body(serve):
    response = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"
    head, body = _call(
        serve(lambda sock: sock.sendall(response)), method=b"HEAD"
    )
    assert (head.status, body) == (200, b"")


def test_the_head_may_have_a_shorter_timeout_than_the_body(serve):
    """A large answer over a weak link takes long, but begins in time."""

    def slow_body(sock):
        sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n")
        gevent.sleep(0.4)
        sock.sendall(b"ok")

    head, body = _call(serve(slow_body), head_timeout_s=0.2)
    assert (head.status, body) == (200, b"ok")
    started_at = time.monotonic()
    with pytest.raises(http_connection.ResponseTimeoutError):
        _call(serve(lambda _: gevent.sleep(1.0)), head_timeout_s=0.2)
    assert time.monotonic() - started_at < 0.6
