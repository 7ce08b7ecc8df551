import gevent
from gevent import server as gevent_server
import pytest

from dotterelgrade import http_connection
from dotterelgrade import kept_connections

_OWN = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n"


class _Peer:
    """Numbers its connections, and answers each request by a script."""

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


def _text(connection, request):
    return b"%d-%d" % (connection, request)


def _answers(sock, connection, request):
    sock.sendall(_OWN + _text(connection, request))


def _get(kept, peer, *, timeout_s=1.0):
    return kept.get(
        peer.address,
        target=b"/",
        connect_timeout_s=1.0,
        timeout_s=timeout_s,
        most_bytes=1_000,
    )[1]


def test_a_connection_serves_one_call_after_another(start):
    peer, kept = start(_answers), kept_connections.KeptConnections()
    assert [_get(kept, peer) for _ in range(3)] == [b"1-1", b"1-2", b"1-3"]


def test_an_old_connection_is_not_used_again(start):
    now = [0.0]
    kept = kept_connections.KeptConnections(clock=lambda: now[0])
    peer = start(_answers)
    assert _get(kept, peer) == b"1-1"
    now[0] = kept_connections.LONGEST_IDLE_S + 0.1
    assert _get(kept, peer) == b"2-1"


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_a_second_copy_of_an_answer_is_not_taken_for_the_next(start, pause_s):
    """Load pattern: a server sends an answer again on an idle connection."""

    def twice(sock, connection, request):
        _answers(sock, connection, request)
        gevent.sleep(pause_s)
        _answers(sock, connection, request)

    peer, kept = start(twice), kept_connections.KeptConnections()
    assert _get(kept, peer) == b"1-1"
    gevent.sleep(0.1)
    assert _get(kept, peer) == b"2-1"


def test_bytes_that_are_no_answer_end_the_connection(start):
    def with_rest(sock, connection, request):
        sock.sendall(_OWN + _text(connection, request) + b"\x00rest")

    peer, kept = start(with_rest), kept_connections.KeptConnections()
    assert [_get(kept, peer) for _ in range(2)] == [b"1-1", b"2-1"]


def test_who_wants_to_close_is_left(start):
    def closing(sock, connection, request):
        head = _OWN.replace(b"OK\r\n", b"OK\r\nconnection: close\r\n")
        sock.sendall(head + _text(connection, request))

    peer, kept = start(closing), kept_connections.KeptConnections()
    assert [_get(kept, peer) for _ in range(2)] == [b"1-1", b"2-1"]


def test_a_connection_dropped_while_idle_is_replaced(start):
    """Load pattern: idle connections are dropped without notice."""

    def dropping(sock, connection, request):
        if request == 1:
            _answers(sock, connection, request)
        else:
            sock.close()

    peer, kept = start(dropping), kept_connections.KeptConnections()
    assert [_get(kept, peer) for _ in range(2)] == [b"1-1", b"2-1"]


def test_a_connection_that_fell_silent_is_replaced_in_time(start):
    def silent(sock, connection, request):
        if request == 1:
            _answers(sock, connection, request)
        else:
            gevent.sleep(5)

    peer, kept = start(silent), kept_connections.KeptConnections()
    assert _get(kept, peer) == b"1-1"
    assert _get(kept, peer, timeout_s=0.4) == b"2-1"


def test_a_peer_that_is_silent_as_a_whole_is_told_as_such(start):
    peer = start(lambda sock, connection, request: gevent.sleep(5))
    with pytest.raises(http_connection.AnswerTimeoutError):
        _get(kept_connections.KeptConnections(), peer, timeout_s=0.2)
