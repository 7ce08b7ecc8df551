from gevent import server as gevent_server
import pytest

from dotterelgrade_platform import engines
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import platform_port


@pytest.fixture
def engine():
    """A server that keeps what it receives and has another ID."""
    received = []

    def handle(sock, _):
        received.append(sock.recv(65_536))
        sock.sendall(b"HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n")

    server = gevent_server.StreamServer(("127.0.0.1", 0), handle)
    server.start()
    yield f"127.0.0.1:{server.server_port}", received
    server.stop(timeout=0)


def test_an_order_names_the_engine_that_it_is_for(engine):
    """The address may have been given to another one since the report."""
    address, received = engine
    outcome = engines.EngineControlClient().place(
        address,
        server_id="i-7f3a91c2",
        layers=layer_range.LayerRange(0, 8),
        orders=0,
    )
    assert b"\r\nx-dotterelgrade-expect-instance: i-7f3a91c2\r\n" in received[0]
    assert outcome is platform_port.OrderOutcome.REFUSED
