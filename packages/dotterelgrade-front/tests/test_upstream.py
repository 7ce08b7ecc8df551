import front_fakes as fakes
import pytest
import stream_fakes as streams

_SWITCH = (
    b"HTTP/1.1 101 Switching Protocols\r\n"
    b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
)


def _sending(data):
    return lambda sock, _: sock.sendall(data)


@pytest.mark.parametrize(
    "head",
    [
        _SWITCH,
        b"HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 099 Odd\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 O\x00K\r\nseal: 1\r\ncontent-length: 0\r\n\r\n",
    ],
    ids=["101", "999", "099", "control-character"],
)
def test_a_head_that_is_no_response_ends_no_call_without_an_answer(front, head):
    """The connection of the caller was closed, or the head passed on."""
    backends = [front.add(name, _sending(head)) for name in ("p1", "p2")]
    status, _, body = front.ask("/unsafe/x", method="POST", body=b"p")
    assert (status, b'"unknown"' in body) == (502, True)
    assert sum(len(backend.arrivals) for backend in backends) == 1


def test_an_idempotent_call_goes_on_after_a_switch_of_protocols(front):
    front.add("p1", _sending(_SWITCH))
    front.add("p2", fakes.responding())
    assert [front.ask("/safe/x")[0] for _ in range(4)] == [200] * 4


def test_a_stream_goes_on_after_a_switch_of_protocols(front):
    streams.add_chains(front, [_sending(_SWITCH)], [fakes.streaming(1, 4)])
    status, _, body = front.ask("/stream/x", method="POST", body=b"p")
    assert (status, body) == (200, streams.events(1, 4))
