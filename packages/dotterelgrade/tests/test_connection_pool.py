import gevent
from gevent import server as gevent_server
import pytest

from dotterelgrade import connection_pool
from dotterelgrade import http_connection

_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n"


class _Peer:
    """Numbers its connections and answers each request with a script."""

    def __init__(self, script):
        self.connections = 0
        self._script = script
        self._server = gevent_server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _):
        self.connections += 1
        request = 0
        while sock.recv(65_536):
            request += 1
            self._script(sock, self.connections, request)


@pytest.fixture
def start():
    peers = []

    def make(script):
        peers.append(_Peer(script))
        return peers[-1]

    yield make
    for peer in peers:
        peer.stop()


def _body(connection, request):
    return b"%d-%d" % (connection, request)


def _respond(sock, connection, request):
    sock.sendall(_HEAD + _body(connection, request))


def _get(pool, peer, *, timeout_s=1.0):
    return pool.get(
        peer.address,
        target=b"/",
        connect_timeout_s=1.0,
        timeout_s=timeout_s,
        max_body_bytes=1_000,
    )[1]


def test_connection_is_reused(start):
    peer, pool = start(_respond), connection_pool.ConnectionPool()
    assert [_get(pool, peer) for _ in range(3)] == [b"1-1", b"1-2", b"1-3"]


def test_expired_connection_is_not_reused(start):
    now = [0.0]
    pool = connection_pool.ConnectionPool(clock=lambda: now[0])
    peer = start(_respond)
    assert _get(pool, peer) == b"1-1"
    now[0] = connection_pool.MAX_IDLE_S + 0.1
    assert _get(pool, peer) == b"2-1"


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_duplicate_response_is_not_taken_for_the_next_one(start, pause_s):
    """The server sends a response again on an idle connection."""

    def twice(sock, connection, request):
        _respond(sock, connection, request)
        gevent.sleep(pause_s)
        _respond(sock, connection, request)

    peer, pool = start(twice), connection_pool.ConnectionPool()
    assert _get(pool, peer) == b"1-1"
    gevent.sleep(0.1)
    assert _get(pool, peer) == b"2-1"


def test_connection_with_extra_bytes_is_not_reused(start):
    def with_extra(sock, connection, request):
        sock.sendall(_HEAD + _body(connection, request) + b"\x00rest")

    peer, pool = start(with_extra), connection_pool.ConnectionPool()
    assert [_get(pool, peer) for _ in range(2)] == [b"1-1", b"2-1"]


def test_connection_with_connection_close_is_not_reused(start):
    def closing(sock, connection, request):
        head = _HEAD.replace(b"OK\r\n", b"OK\r\nconnection: close\r\n")
        sock.sendall(head + _body(connection, request))

    peer, pool = start(closing), connection_pool.ConnectionPool()
    assert [_get(pool, peer) for _ in range(2)] == [b"1-1", b"2-1"]


def test_connection_dropped_while_idle_is_replaced(start):
    """The peer drops idle connections without notice."""

    def dropping(sock, connection, request):
        if request == 1:
            _respond(sock, connection, request)
        else:
            sock.close()

    peer, pool = start(dropping), connection_pool.ConnectionPool()
    assert [_get(pool, peer) for _ in range(2)] == [b"1-1", b"2-1"]


def test_silent_idle_connection_is_replaced_in_time(start):
    def silent(sock, connection, request):
        if request == 1:
            _respond(sock, connection, request)
        else:
            gevent.sleep(5)

    peer, pool = start(silent), connection_pool.ConnectionPool()
    assert _get(pool, peer) == b"1-1"
    assert _get(pool, peer, timeout_s=0.4) == b"2-1"


def test_silent_peer_raises_timeout(start):
    peer = start(lambda sock, connection, request: gevent.sleep(5))
    with pytest.raises(http_connection.ResponseTimeoutError):
        _get(connection_pool.ConnectionPool(), peer, timeout_s=0.2)


def test_refusal_on_a_reused_connection_is_asked_again_on_a_new_one(start):
    """The server writes an earlier refusal once more, ahead of its answer."""

    def refusing_again(sock, connection, request):
        if request > 1:
            sock.sendall(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")
        _respond(sock, connection, request)

    peer, pool = start(refusing_again), connection_pool.ConnectionPool()
    assert [_get(pool, peer) for _ in range(2)] == [b"1-1", b"2-1"]


def test_refusal_on_a_new_connection_is_returned(start):
    def refusing(sock, connection, request):
        sock.sendall(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")

    peer, pool = start(refusing), connection_pool.ConnectionPool()
    assert _get(pool, peer) == b""
    assert peer.connections == 1
