import gevent
from gevent import server as gevent_server
from gevent import socket
import pytest

from dotterelgrade_standins import fault_proxy


@pytest.fixture
def proxy():
    """A proxy in front of a server that echoes."""

    def echo(sock, _):
        while data := sock.recv(100):
            sock.sendall(data)

    target = gevent_server.StreamServer(("127.0.0.1", 0), echo)
    target.start()
    made = fault_proxy.FaultProxy(
        ("127.0.0.1", 0), ("127.0.0.1", target.server_port)
    )
    yield made
    made.stop()
    target.stop(timeout=0)


def _connect(proxy):
    host, _, port = proxy.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=0.3)


def _ask(sock):
    sock.sendall(b"word")
    return sock.recv(100)


def test_bytes_pass_both_ways(proxy):
    with _connect(proxy) as sock:
        assert _ask(sock) == b"word"


@pytest.mark.parametrize(
    "mode", [fault_proxy.LinkMode.SILENT, fault_proxy.LinkMode.ONE_WAY]
)
def test_held_up_bytes_arrive_once_the_link_is_well(proxy, mode):
    with _connect(proxy) as sock:
        proxy.set_mode(mode)
        with pytest.raises(TimeoutError):
            _ask(sock)
        proxy.set_mode(fault_proxy.LinkMode.PASS)
        assert sock.recv(100) == b"word"


def test_a_reset_link_ends_open_and_new_connections(proxy):
    with _connect(proxy) as sock:
        assert _ask(sock) == b"word"
        proxy.set_mode(fault_proxy.LinkMode.RESET)
        with pytest.raises(ConnectionError):
            _ask(sock)
            _ask(sock)
    with pytest.raises(ConnectionError), _connect(proxy) as sock:
        _ask(sock)
        _ask(sock)


def test_a_muted_connection_stays_silent_while_new_ones_work(proxy):
    with _connect(proxy) as sock, _connect(proxy) as new:
        assert _ask(sock) == b"word"
        proxy.mute_open()
        with pytest.raises(TimeoutError):
            _ask(sock)
        new.close()
        with _connect(proxy) as fresh:
            assert _ask(fresh) == b"word"


def test_a_delayed_link_takes_its_time(proxy):
    proxy.set_mode(fault_proxy.LinkMode.DELAY, delay_s=0.05)
    with _connect(proxy) as sock, gevent.Timeout(1.0):
        assert _ask(sock) == b"word"
