import gevent
from gevent import queue
import msgpack
import pytest

from dotterelgrade import connection_frames
from dotterelgrade import errors
from dotterelgrade import handshake
from dotterelgrade import messages
from dotterelgrade import wire


def _identity(host, *, port=0, key=b"k" * 16):
    return handshake.ProcessIdentity(
        process=f"process-{host}",
        role=connection_frames.Role.AGENT,
        host=host,
        port=port,
        failure_domain="recife-a",
        shared_key=key,
    )


@pytest.fixture
def server():
    received = queue.Queue()

    def handle(connection):
        for message in connection:
            received.put(message)
            connection.send(messages.Pong(sequence=1))

    identity = _identity("127.0.9.1", port=17400)
    with wire.listening(handle, identity=identity):
        yield received


def test_frames_arrive_complete_and_in_order(server):
    connection = wire.dial("127.0.9.1", 17400, identity=_identity("127.0.9.2"))
    for number in range(100):
        connection.send(messages.Ping(sequence=number))
    sequences = [server.get(timeout=5).sequence for _ in range(100)]
    assert sequences == list(range(100))
    connection.close("done")


def test_close_after_send_ends_the_connection_without_delay():
    """Happens when a planner sends its last snapshots and steps down."""

    def handle(connection):
        connection.send(messages.Pong(sequence=1))
        connection.close("stepped down")
        gevent.sleep(wire.HANDSHAKE_TIMEOUT_S)

    identity = _identity("127.0.9.1", port=17401)
    with wire.listening(handle, identity=identity):
        dialer = _identity("127.0.9.2")
        connection = wire.dial("127.0.9.1", 17401, identity=dialer)
        with gevent.Timeout(wire.HANDSHAKE_TIMEOUT_S / 2):
            assert [frame.sequence for frame in connection] == [1]
        assert connection.close_reason == "peer closed"


def test_wrong_key_fails_the_handshake(server):
    with pytest.raises(errors.DotterelgradeError) as caught:
        wire.dial(
            "127.0.9.1",
            17400,
            identity=_identity("127.0.9.2", key=b"z" * 16),
        )
    assert caught.value.error.kind in (
        errors.ErrorKind.PEER_UNAUTHENTICATED,
        errors.ErrorKind.PEER_UNREACHABLE,
    )


@pytest.mark.parametrize(
    ("sent", "event"),
    [
        (b"", "peer lost"),
        (b"\xc1", "peer refused"),
        (msgpack.packb(["Ping", {"sequence": 1}]), "peer refused"),
    ],
)
def test_a_peer_that_dies_in_the_handshake_is_not_logged_as_refused(
    server, caplog, sent, event
):
    """A front is killed while another one, just woken, accepts it."""
    own = "127.0.9.4"

    def logged():
        return [r.message for r in caplog.records if r.peer == own]

    with gevent.socket.create_connection(
        ("127.0.9.1", 17400), source_address=(own, 0)
    ) as sock:
        sock.sendall(sent)
    with gevent.Timeout(5):
        while not logged():
            gevent.sleep(0.01)
    assert logged() == [event]


@pytest.mark.parametrize(
    "data",
    [
        b"\xc1",
        msgpack.packb(["NoSuchFrame", {}]),
        msgpack.packb(["Ping", {"sequence": "one"}]),
        msgpack.packb({"not": "an array"}),
        msgpack.packb([["list as tag"], {}]),
    ],
)
def test_invalid_frame_closes_only_its_own_connection(server, data):
    bad = wire.dial("127.0.9.1", 17400, identity=_identity("127.0.9.2"))
    good = wire.dial("127.0.9.1", 17400, identity=_identity("127.0.9.3"))
    bad._outbox.append(data)
    bad._wakeup.set()
    with gevent.Timeout(5):
        assert list(bad) == []
    assert good.send(messages.Ping(sequence=7))
    assert server.get(timeout=5) == messages.Ping(sequence=7)
    good.close("done")


class _EndlessSocket:
    """A peer that sends the head of a long value, and bytes without end."""

    def __init__(self):
        self.received_bytes = 0

    def sendall(self, data):
        pass

    def recv(self, size):
        head = b"\xc6\x00\xff\xff\xff" if not self.received_bytes else b""
        data = head + b"z" * (size - len(head))
        self.received_bytes += len(data)
        return data


def test_little_is_kept_for_a_peer_that_has_proven_nothing():
    """Each connection could take 16 MiB, whoever had opened it."""
    sock = _EndlessSocket()
    with pytest.raises(errors.DotterelgradeError) as refused:
        handshake.perform(sock, identity=_identity("127.0.9.2"), dialing=False)
    assert refused.value.error.kind is errors.ErrorKind.FRAME_INVALID
    assert sock.received_bytes < 100_000
