import dataclasses
import tracemalloc

import front_fakes as fakes
import gevent
import pytest
import stream_fakes as streams

from dotterelgrade import http_connection
from dotterelgrade import http_message
from dotterelgrade import memory_budget
from dotterelgrade_front import response_body

_HEAD = b"HTTP/1.1 200 OK\r\nseal: 1\r\n"
_ERROR_HEAD = b"HTTP/1.1 500 Failed\r\nseal: 1\r\n"
_PIECE = b"z" * 65_536
_CHUNK = b"10000\r\n" + _PIECE + b"\r\n"
_MEMORY_BYTES = 32e6
_CALLERS = 8
_LARGE = bytes(range(256)) * 20_000


@pytest.fixture
def settings(settings):
    return dataclasses.replace(settings, memory_bytes=_MEMORY_BYTES)


def _endless(start, piece):
    """A script that sends bytes until the peer closes."""

    def script(sock, arrival):
        del arrival
        sock.sendall(start)
        while True:
            sock.sendall(piece)

    return script


_ENDLESS = {
    "chunks": _endless(_HEAD + b"transfer-encoding: chunked\r\n\r\n", _CHUNK),
    "unframed": _endless(_HEAD + b"connection: close\r\n\r\n", _PIECE),
    "error": _endless(_ERROR_HEAD + b"connection: close\r\n\r\n", _PIECE),
    "length": _endless(_HEAD + b"content-length: 100000000000\r\n\r\n", _PIECE),
}


def _read_all(sock, *, pause_s=0.0):
    """Returns the bytes until the front closes, or as many as they state."""
    data = b""
    while piece := sock.recv(262_144):
        data += piece
        gevent.sleep(pause_s)
    return data


def _discard(front, path, **options):
    """Reads a response until the front closes; returns its size."""
    size = 0
    with front.send(path, connection="close", **options) as sock:
        while piece := sock.recv(262_144):
            size += len(piece)
    return size


@pytest.mark.parametrize("mode", _ENDLESS)
def test_a_server_that_sends_without_end_takes_no_memory(front, mode):
    """Each body was held up to 16 MiB: the process ran out of memory (LOST)."""
    front.add("bad", _ENDLESS[mode])
    tracemalloc.start()
    try:
        callers = [
            gevent.spawn(_discard, front, "/safe/x") for _ in range(_CALLERS)
        ]
        sizes = [caller.get() for caller in callers]
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < _MEMORY_BYTES
    assert max(sizes) < response_body.MAX_BODY_BYTES + 1_000_000
    assert front.state.memory.used_bytes == 0


@pytest.mark.parametrize("mode", _ENDLESS)
def test_a_server_that_sends_without_end_is_excluded_and_named(front, mode):
    front.add("bad", _ENDLESS[mode])
    _discard(front, "/safe/x")
    assert front.state.exclusions.excluded("bad", now=0.0)
    (row,) = streams.decisions(front, "response_too_large")
    assert row.details["server"] == "bad"
    assert b"front_oversized_responses_total 1.0" in (
        front.state.metrics.as_text()
    )


def test_a_response_that_states_too_large_a_length_is_no_response(front):
    """Known before a byte was passed on, so that another server is asked."""
    front.add("bad", _ENDLESS["length"])
    front.add("good", fakes.responding(b"done"))
    front.state.rng.random = lambda: 0.0
    answers = [front.ask("/safe/x") for _ in range(4)]
    assert {(status, body) for status, _, body in answers} == {(200, b"done")}


class _ReadyConnection:
    """Has bytes to read at any time, so that no read of it waits."""

    address = "127.0.0.1:1"
    response_complete = False

    def read_piece(self, *, deadline):
        del deadline
        return _PIECE


def test_others_have_their_turn_beside_a_response_without_end():
    """A socket with unread bytes returns at once and never yields."""
    body = response_body.ResponseBody(
        _ReadyConnection(),
        head=http_message.ResponseHead(status=200, reason=b"", headers=[]),
        account=memory_budget.unlimited(),
        deadline=float("inf"),
    )

    def read():
        body.read_start()
        with pytest.raises(http_connection.ResponseTooLargeError):
            for _ in body.pieces():
                pass

    reader = gevent.spawn(read)
    turns = 0
    while not reader.ready():
        gevent.sleep(0)
        turns += 1
    assert turns >= response_body.MAX_BODY_BYTES / len(_PIECE)


def _framed(framing):
    """Returns a whole large response, framed in one of three ways."""
    if framing == "length":
        size = b"content-length: %d\r\n\r\n" % len(_LARGE)
        return _HEAD + size + _LARGE
    if framing == "chunks":
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(_LARGE), _LARGE)
        return _HEAD + b"transfer-encoding: chunked\r\n\r\n" + chunk
    return _HEAD + b"\r\n" + _LARGE


def _sending(data):
    def script(sock, arrival):
        del arrival
        sock.sendall(data)

    return script


@pytest.mark.parametrize("framing", ["length", "chunks", "unframed"])
@pytest.mark.parametrize("pause_s", [0.0, 0.01])
def test_a_large_response_arrives_whole(front, framing, pause_s):
    """Also at a caller that reads slowly."""
    front.add("s", _sending(_framed(framing)))
    with front.send("/unsafe/x", method="POST", connection="close") as sock:
        data = _read_all(sock, pause_s=pause_s)
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    if framing == "length":
        assert b"content-length: %d" % len(_LARGE) in head
        assert body == _LARGE
    else:
        assert fakes._decode_chunked(body) == _LARGE
    assert front.state.memory.used_bytes == 0


def test_a_slow_caller_gets_the_rest_of_a_known_size_past_the_deadline(front):
    front.add("s", _sending(_framed("length")))
    with front.send("/brief/x", method="POST", connection="close") as sock:
        gevent.sleep(0.3)
        data = _read_all(sock)
    assert data.endswith(_LARGE)


def test_a_response_of_unknown_size_ends_with_the_deadline(front):
    """Else a server that sends without end would hold a slow caller."""
    front.add("s", _ENDLESS["chunks"])
    with front.send("/brief/x", method="POST", connection="close") as sock:
        gevent.sleep(0.3)
        data = _read_all(sock)
    assert len(data) < response_body.MAX_BODY_BYTES
    assert not data.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_large_response_that_breaks_off_does_not_look_whole(front, framing):
    front.add("s", _sending(_framed(framing)[:-1_000]))
    with front.send("/unsafe/x", method="POST") as sock:
        data = _read_all(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    assert not data.endswith(b"0\r\n\r\n")
    if framing == "length":
        assert len(body) < len(_LARGE)
    (row,) = streams.decisions(front, "response_broken")
    assert row.details["server"] == "s"


def test_a_length_without_a_body_is_no_reason_to_fail(front):
    """The response to a HEAD request states the size of the resource."""
    front.add("s", _sending(_HEAD + b"content-length: 99999999\r\n\r\n"))
    assert front.ask("/safe/x", method="HEAD")[0] == 200


def test_a_connection_is_kept_after_a_large_response(front):
    front.add("s", _sending(_framed("chunks")))
    with front.send("/unsafe/x", method="POST") as sock:
        for _ in range(2):
            status, _, body = fakes.read_response(sock)
            assert (status, body) == (200, _LARGE)
            front.send("/unsafe/x", method="POST", sock=sock)


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
def test_a_response_below_the_limit_is_held_until_it_is_whole(front, path):
    """Half of one is a failed attempt, which another server may make good."""
    cut = _HEAD + b"content-length: 200000\r\n\r\n" + bytes(100_000)
    front.add("s", _sending(cut))
    assert front.ask(path)[0] == 502


def test_a_response_is_passed_on_if_there_is_no_room_to_hold_it(front):
    body = bytes(100_000)
    front.add("s", fakes.responding(body))
    with front.state.memory.open() as account:
        full = front.state.memory.shared_bytes
        assert account.resize(int(full))
        assert front.ask("/safe/x")[2] == body


def test_events_that_never_end_in_many_streams_take_no_memory(front):
    """Each was held up to 1 MiB, in any number of streams."""
    start = _HEAD + (
        b"content-type: text/event-stream\r\n"
        b"transfer-encoding: chunked\r\n\r\n"
        b"10\r\nid: 1\ndata: 0123\r\n"
    )

    def script(sock, arrival):
        for piece in [start, *[_CHUNK] * 15]:
            sock.sendall(piece)
        fakes.silent(sock, arrival)

    front.add("m", script, service="model", layers=(0, 8))
    streams.add_reports(front)
    tracemalloc.start()
    try:
        callers = [
            gevent.spawn(_discard, front, "/once/x", method="POST", body=b"p")
            for _ in range(5 * _CALLERS)
        ]
        gevent.joinall(callers)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < _MEMORY_BYTES
    assert front.state.memory.used_bytes == 0


def test_the_error_of_an_engine_without_end_takes_no_memory(front):
    front.add("m", _ENDLESS["error"], service="model", layers=(0, 8))
    streams.add_reports(front)
    assert front.ask("/once/x", method="POST", body=b"p")[0] == 502
    (row,) = streams.decisions(front, "response_too_large")
    assert row.details["server"] == "m"
