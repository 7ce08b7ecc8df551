import errno
import socket as std_socket
import time

import gevent
from gevent import server as gevent_server
import hypothesis
from hypothesis import strategies
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
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 101 Extra\r\n"
        b"connection: upgrade\r\nupgrade: h2c\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
        b"connection: upgrade\r\nupgrade: h2c\r\n\r\nok",
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
        b"HTTP/1.1 20",
        b"HTTP/1.1 101 Switch\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n",
        b"HTTP/1.1 101 Switch\r\n\r\n",
        b"HTTP/1.1 200 O\x00K\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n"
        b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ],
)
def test_incomplete_or_invalid_responses(serve, response):
    with pytest.raises(http_connection.BrokenConnectionError):
        _call(serve(lambda sock: sock.sendall(response)))


_LENGTH = b"HTTP/1.1 200 OK\r\nseal: 1\r\ncontent-length: 4\r\n\r\ndone"
_CHUNKS = (
    b"HTTP/1.1 200 OK\r\nseal: 1\r\ntransfer-encoding: chunked\r\n\r\n"
    b"2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n"
)
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
_UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nseal: 1\r\n\r\n"


def _cuts(response):
    """Returns a response cut before each of its bytes."""
    return [response[:end] for end in range(len(response))]


def _is_broken_off(address):
    try:
        _call(address)
    except http_connection.BrokenConnectionError:
        return True
    return False


@pytest.mark.parametrize(
    "response",
    [_LENGTH, _CHUNKS, _INTERIM + _LENGTH, _INTERIM + _CHUNKS],
    ids=["length", "chunks", "interim, length", "interim, chunks"],
)
def test_a_response_that_is_cut_anywhere_is_not_complete(serve, response):
    """A server stops in its head or in its framing, and closes."""
    cuts = iter(_cuts(response))
    address = serve(lambda sock: sock.sendall(next(cuts)))
    broken_off = [_is_broken_off(address) for _ in response]
    assert all(broken_off)


def test_a_head_without_framing_that_is_cut_is_not_complete(serve):
    cuts = iter(_cuts(_UNFRAMED_HEAD))
    address = serve(lambda sock: sock.sendall(next(cuts)))
    broken_off = [_is_broken_off(address) for _ in _UNFRAMED_HEAD]
    assert all(broken_off)


@pytest.mark.parametrize(
    "response",
    [_LENGTH, _CHUNKS, _INTERIM + _CHUNKS, _UNFRAMED_HEAD + b"done"],
    ids=["length", "chunks", "interim", "unframed"],
)
def test_a_response_may_arrive_byte_by_byte(serve, response):
    def script(sock):
        for number in range(len(response)):
            sock.sendall(response[number : number + 1])
            gevent.sleep(0)

    head, body = _call(serve(script))
    assert (head.status, body) == (200, b"done")


@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
def test_a_status_without_meaning_is_rejected_at_once(serve, status):
    """Such a head was passed on, or the rest of the response awaited."""

    def script(sock):
        sock.sendall(b"HTTP/1.1 " + status + b" Odd\r\n\r\n")
        gevent.sleep(5)

    with pytest.raises(http_connection.BrokenConnectionError):
        _call(serve(script))


class _Bytes:
    """A socket that receives given bytes in pieces, then the end."""

    def __init__(self, data, piece_bytes):
        self._data = data
        self._piece_bytes = piece_bytes

    def settimeout(self, _):
        pass

    def sendall(self, _):
        pass

    def recv(self, *_):
        piece = self._data[: self._piece_bytes]
        self._data = self._data[self._piece_bytes :]
        return piece


_FRAGMENTS = (
    b"HTTP/1.1 ",
    b"101 Switching Protocols\r\n",
    b"200 OK\r\n",
    b"103 Early\r\n\r\n",
    b"999 Odd\r\n",
    b"content-length: 2\r\n",
    b"transfer-encoding: chunked\r\n",
    b"connection: upgrade\r\n",
    b"upgrade: h2c\r\n",
    b"\r\n",
    b"2\r\nok\r\n0\r\n\r\n",
    b"ok",
)


@hypothesis.settings(max_examples=500, derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(_FRAGMENTS) | strategies.binary(max_size=4),
        max_size=12,
    ),
    strategies.sampled_from([1, 7, 1_000]),
)
def test_any_bytes_are_a_response_or_a_broken_connection(parts, piece_bytes):
    """Another exception ended the request of a caller without an answer."""
    connection = http_connection.HttpConnection(
        _Bytes(b"HTTP/1.1 " + b"".join(parts), piece_bytes), address="s:1"
    )
    try:
        head, _ = connection.exchange(
            method=b"GET",
            target=b"/",
            headers=[],
            timeout_s=60.0,
            max_body_bytes=1_000,
        )
    except http_connection.BrokenConnectionError:
        return
    assert 200 <= head.status <= 599


def test_reset_response_without_length_is_incomplete(serve):
    def script(sock):
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nha")
        gevent.sleep(0.05)
        linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, linger)

    with pytest.raises(http_connection.BrokenConnectionError):
        _call(serve(script))


def _falls_silent_after(sent):
    """Sends a part of a response; its kernel then acknowledges nothing."""

    def script(sock):
        sock.sendall(sent)
        gevent.sleep(1.5)

    return script


@pytest.mark.parametrize(
    "sent",
    [
        b"HTTP/1.1 200 OK\r\n\r\nhalf of",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf of",
        b"HTTP/1.1 200 OK\r\nx: y\r\n",
    ],
    ids=["unframed", "length", "head"],
)
def test_a_response_that_ends_with_the_kernels_timeout_is_incomplete(
    serve, monkeypatch, sent
):
    """Half of an unframed response was taken for the whole (MIXED)."""
    monkeypatch.setattr(http_connection, "_TCP_USER_TIMEOUT_MS", 300)
    address = serve(_falls_silent_after(sent))
    with pytest.raises(http_connection.BrokenConnectionError) as failure:
        # The server leaves most of the body unread, so that the kernel waits.
        _call(address, method=b"POST", body=bytes(1_000_000), timeout_s=6.0)
    # A host that acknowledges nothing is no sign that a process crashed.
    assert failure.type is http_connection.BrokenConnectionError


def test_the_kernels_timeout_is_not_taken_for_an_own_timeout():
    """Each wait that may be repeated would find the end of the stream."""

    class Socket:
        def settimeout(self, _):
            pass

        def recv(self, _):
            raise TimeoutError(errno.ETIMEDOUT, "Connection timed out")

    with pytest.raises(http_connection.UnresponsivePeerError) as failure:
        http_connection.receive(Socket(), deadline=time.monotonic() + 1.0)
    assert not isinstance(failure.value, TimeoutError | ConnectionError)


def test_a_response_that_arrived_before_the_timeout_is_read(serve):
    """A late event loop ran the timer first, and the response was lost."""

    def respond(sock):
        gevent.sleep(0.2)
        sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")

    call = gevent.spawn(_call, serve(respond), timeout_s=0.3)
    gevent.sleep(0.1)
    # Both timers are due; that of a timeout has the lower priority.
    time.sleep(0.4)
    assert call.get()[1] == b"ok"


def test_without_a_file_descriptor_nothing_was_sent(monkeypatch):
    """The error of the operating system ended the caller's request."""

    def no_socket(*_):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(http_connection.socket, "socket", no_socket)
    with pytest.raises(http_connection.ConnectError):
        _call("127.0.0.1:1")


def test_silent_peer_times_out(serve):
    started = time.monotonic()
    with pytest.raises(http_connection.ResponseTimeoutError):
        _call(serve(lambda sock: gevent.sleep(5)), timeout_s=0.2)
    assert time.monotonic() - started < 2


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 20_000,
        b"HTTP/1.1 103 Early\r\n\r\n" * 20_000,
    ],
    ids=["fields", "interim-responses"],
)
def test_too_large_head_is_rejected(serve, head):
    def script(sock):
        sock.sendall(head)
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
