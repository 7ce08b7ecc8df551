import front_fakes as fakes
import hypothesis
from hypothesis import strategies
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


def _refusing_another(rows=b"", *, request_id=b"another"):
    def script(sock, _):
        sock.sendall(
            b"HTTP/1.1 503 Busy\r\nnot-run: 1\r\nrequest-id: "
            + request_id
            + b"\r\n"
            + rows
            + b"content-length: 0\r\n\r\n"
        )

    return script


def test_a_refusal_of_another_request_does_not_say_that_this_one_has_not_run(
    front,
):
    """The caller was told so, and the call was sent to a second server."""
    backends = [front.add(name, _refusing_another()) for name in ("p1", "p2")]
    status, _, body = front.ask("/unsafe/x", method="POST", body=b"p")
    assert (status, b'"unknown"' in body) == (502, True)
    assert sum(len(backend.arrivals) for backend in backends) == 1


def test_a_refusal_of_another_stream_does_not_say_that_this_one_has_not_run(
    front,
):
    chains = streams.add_chains(
        front, [_refusing_another()], [_refusing_another()]
    )
    assert front.ask("/once/x", method="POST", body=b"p")[0] == 502
    assert sum(len(chain.arrivals) for chain in chains) == 1


@pytest.mark.parametrize("rows", [b"leaving: 1\r\n", b"retry-after: 60\r\n"])
def test_notices_in_a_response_to_another_request_are_ignored(front, rows):
    """An old notice took a sound server out of use."""
    server = front.add("p1", _refusing_another(rows), fakes.responding())
    assert front.ask("/unsafe/x", method="POST", body=b"p")[0] == 502
    assert front.ask("/unsafe/x", method="POST", body=b"p")[0] == 200
    assert len(server.arrivals) == 2


def test_a_refusal_without_an_id_answers_the_only_request_of_its_connection(
    front,
):
    refusing = _refusing_another(request_id=b"")
    backends = [front.add(name, refusing) for name in ("p1", "p2")]
    status, _, body = front.ask("/unsafe/x", method="POST", body=b"p")
    assert (status, b'"not_run"' in body) == (503, True)
    assert sum(len(backend.arrivals) for backend in backends) == 2


@pytest.mark.parametrize(
    "status", [b"503 Busy", b"429 Slow Down", b"408 Timeout"]
)
@pytest.mark.parametrize("path", ["unsafe", "once"])
def test_a_status_that_promises_too_much_is_not_passed_on(front, path, status):
    """A server that does not say so may have run the request."""
    script = fakes.responding(b"", status)
    model = {"service": "model", "layers": (0, 8)} if path == "once" else {}
    servers = [front.add(name, script, **model) for name in ("s1", "s2")]
    code, _, body = front.ask(f"/{path}/x", method="POST", body=b"p")
    assert (code, b'"unknown"' in body) == (502, True)
    assert sum(len(server.arrivals) for server in servers) == 1


@pytest.mark.parametrize("path", ["unsafe", "once"])
def test_an_encoded_success_is_not_passed_on(front, path):
    """The body is not that of the server."""
    rows = b"seal: 1\r\ncontent-encoding: gzip\r\n"
    script = fakes.responding(b"id: 1\ndata: x\n\n", headers=rows)
    model = {"service": "model", "layers": (0, 8)} if path == "once" else {}
    front.add("s1", script, **model)
    assert front.ask(f"/{path}/x", method="POST", body=b"p")[0] == 502


_STATUS_LINES = (
    b"200 OK\r\n",
    b"429 Slow Down\r\n",
    b"503 Busy\r\n",
    b"101 Switching Protocols\r\n",
    b"103 Early\r\n\r\nHTTP/1.1 200 OK\r\n",
)
_ROWS = (
    b"connection: upgrade\r\nupgrade: h2c\r\n",
    b"seal: 1\r\n",
    b"not-run: 1\r\n",
    b"content-length: 2\r\n",
    b"transfer-encoding: chunked\r\n",
    b"content-encoding: gzip\r\n",
)
_IDS = (b"", b"request-id: r1\r\n", b"request-id: r2\r\n")
_BODIES = (b"", b"ok", b"2\r\nok\r\n0\r\n\r\n")
_any_bytes = strategies.binary(max_size=3)
_responses = strategies.builds(
    lambda line, request_id, rows, end, body: (
        b"HTTP/1.1 " + line + request_id + b"".join(rows) + end + body
    ),
    strategies.sampled_from(_STATUS_LINES) | _any_bytes,
    strategies.sampled_from(_IDS),
    strategies.lists(strategies.sampled_from(_ROWS) | _any_bytes, max_size=4),
    strategies.just(b"\r\n") | _any_bytes,
    strategies.sampled_from(_BODIES) | _any_bytes,
)


def test_any_bytes_of_a_server_get_the_caller_a_true_answer(front, monkeypatch):
    """Bytes that nobody foresaw ended requests without an answer."""
    monkeypatch.setattr(front.state, "note_failure", lambda *_, **__: None)
    server = front.add("s1", fakes.silent)

    @hypothesis.settings(max_examples=200, derandomize=True, deadline=None)
    @hypothesis.given(_responses)
    def check(response):
        server.scripts = [_sending(response)]
        before = len(server.arrivals)
        status, headers, _ = front.ask("/unsafe/x", method="POST", body=b"p")
        assert len(server.arrivals) == before + 1
        assert status is not None
        if status in (408, 429, 503):
            assert b"not-run: 1" in response
            assert b"request-id: r2" not in response
        if status < 300:
            assert headers[b"seal"] == b"1"
            assert b"content-encoding" not in headers

    check()
