import contextlib

import front_fakes as fakes
import hypothesis
from hypothesis import strategies
import pytest
import stream_fakes as streams

from dotterelgrade import http_message
from dotterelgrade import memory_budget
from dotterelgrade_front import event_sequence
from dotterelgrade_front import event_stream

_EVENT_STREAM = b"content-type: text/event-stream\r\n"
_CHUNKED = b"transfer-encoding: chunked\r\n"


def _answering(body, rows=_EVENT_STREAM + _CHUNKED, *, status=b"200 OK"):
    """A script that sends a sealed response, with one chunk if chunked."""
    if _CHUNKED in rows:
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        body = chunk + b"0\r\n\r\n"

    def script(sock, arrival):
        head = b"HTTP/1.1 " + status + b"\r\nseal: 1\r\nrequest-id: "
        request_id = arrival.headers.get(b"request-id", b"")
        sock.sendall(head + request_id + b"\r\n" + rows + b"\r\n" + body)

    return script


def _resume_with(front, *scripts):
    """Breaks a stream off after three events; returns what the caller gets."""
    broken = fakes.streaming(1, 3, end=False)
    resuming = list(scripts)

    def script(sock, arrival):
        if not arrival.headers[b"after"]:
            broken(sock, arrival)
            return
        assert arrival.headers[b"after"] == b"3"
        resumed_script = resuming.pop(0) if len(resuming) > 1 else resuming[0]
        resumed_script(sock, arrival)

    streams.add_chains(front, [script], [script])
    return front.ask("/stream/x", method="POST", body=b"p")[2]


@pytest.mark.parametrize(
    "resumed",
    [
        fakes.streaming(1, 6),
        fakes.streaming(3, 6),
        fakes.streaming(5, 6),
        fakes.responding(b"internal error\n\n"),
        fakes.responding(b""),
        _answering(b"", _EVENT_STREAM),
        _answering(b"internal error\n\n"),
        _answering(b"data: internal error\n\n"),
        _answering(b"internal error\n\n" + streams.events(4, 6)),
        _answering(streams.events(4, 5) + streams.events(5, 6)),
        _answering(streams.events(4, 6), b"content-type: text/plain\r\n"),
        _answering(streams.events(4, 6), status=b"202 Accepted"),
        fakes.responding(b"internal error\n\n", b"500 Failed"),
        fakes.responding(b"no such request\n\n", b"404 Gone"),
        fakes.responding(b"", b"204 No Content"),
    ],
    ids=[
        "from-the-first-event",
        "from-the-last-event",
        "events-left-out",
        "text",
        "nothing",
        "nothing-without-an-end",
        "text-in-a-stream",
        "event-without-id",
        "text-before-events",
        "event-repeated-later",
        "events-as-text",
        "another-status",
        "server-error",
        "client-error",
        "no-content",
    ],
)
def test_a_response_that_does_not_continue_the_stream_breaks_it_off(
    front, resumed
):
    """An error's text, an event twice, a gap or a false end in a stream."""
    assert _resume_with(front, resumed) is None


@pytest.mark.parametrize(
    "resumed",
    [fakes.streaming(1, 6), fakes.responding(b"internal error\n\n")],
)
def test_a_stream_resumes_elsewhere_after_a_wrong_continuation(front, resumed):
    """Another server may continue what one answers with something else."""
    body = _resume_with(front, resumed, fakes.streaming(4, 6))
    assert body == streams.events(1, 6)


def test_a_stream_that_broke_off_before_its_end_is_complete(front):
    """The server had sent its last event, and nothing is left to resume."""
    assert _resume_with(front, _answering(b"")) == streams.events(1, 3)


@pytest.mark.parametrize("path", ["stream", "once"])
@pytest.mark.parametrize("torn", [b"", b"id: 4\nda"])
@pytest.mark.parametrize(
    "error",
    [
        b"HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n",
        b"internal error\n\n",
    ],
    ids=["head", "text"],
)
def test_an_error_behind_the_events_of_a_server_is_not_passed_on(
    front, path, torn, error
):
    """A response that ends with its connection takes in what follows."""
    body = streams.events(1, 3) + torn + error
    script = _answering(body, _EVENT_STREAM)
    streams.add_chains(front, [script], [script])
    with front.send(f"/{path}/x", method="POST", body=b"p") as sock:
        received = b""
        while piece := sock.recv(65536):
            received += piece
    assert error.split(b"\r\n")[0].strip() not in received
    assert not received.endswith(b"0\r\n\r\n")


def test_ids_that_are_not_consecutive_show_no_gap(front):
    """Only increasing IDs are promised."""

    def skipping(sock, arrival):
        body = streams.events(1, 1) + streams.events(3, 3)
        _answering(body + b"id: 4\nda")(sock, arrival)

    def script(sock, arrival):
        resumed = arrival.headers[b"after"]
        (fakes.streaming(6, 7) if resumed else skipping)(sock, arrival)

    streams.add_chains(front, [script], [script])
    body = front.ask("/stream/x", method="POST", body=b"p")[2]
    assert body == b"".join(fakes.event_bytes(n) for n in (1, 3, 6, 7))


def test_a_stream_without_ids_is_passed_on_but_not_resumed(front):
    """The last event might come twice."""
    body = b"data: x\n\ndata: y\n\n"
    broken = _answering(body + b"data: z")
    chains = streams.add_chains(front, [broken], [broken])
    assert front.ask("/stream/x", method="POST", body=b"p")[2] is None
    assert sum(len(chain.arrivals) for chain in chains) == 1
    for chain in chains:
        chain.scripts = [_answering(body)]
    assert front.ask("/stream/x", method="POST", body=b"p")[2] == body


@pytest.mark.parametrize(
    "first",
    [
        fakes.responding(b"internal error\n\n"),
        fakes.responding(b""),
        fakes.responding(
            b"id: 1\n\n", headers=b"seal: 1\r\ncontent-type: a\r\n"
        ),
        fakes.streaming(1, 6),
    ],
    ids=["text", "nothing", "other-type", "from-the-first-event"],
)
def test_the_first_response_of_a_resuming_caller_is_checked(front, first):
    """A caller that has four events gets the fifth, or a failure."""
    streams.add_chains(front, [first], [first])
    rest = {"patience_ms": "300", "after": "4"}
    answer = front.ask("/stream/x", method="POST", body=b"p", **rest)
    assert answer[0] in (502, 504)


_repeatable = hypothesis.settings(
    max_examples=300, derandomize=True, deadline=None
)


def _events(*ids):
    return event_stream.Events(data=b"", ids=ids, count=len(ids))


def _head(media_type=b"text/event-stream; charset=utf-8"):
    return http_message.ResponseHead(
        status=200, reason=b"", headers=[(b"content-type", media_type)]
    )


@_repeatable
@hypothesis.given(
    strategies.integers(0, 20),
    strategies.integers(1, 20),
    strategies.integers(0, 45),
    strategies.integers(1, 5),
)
def test_only_the_next_event_continues_consecutive_ones(
    first, passed, resumed, size
):
    sequence = event_sequence.EventSequence()
    sequence.begin(_head())
    end = first + passed
    sequence.add(_events(*map(str, range(first, end))))
    sequence.begin(_head())
    ids = tuple(map(str, range(resumed, resumed + size)))
    if resumed == end:
        sequence.add(_events(*ids))
        assert sequence.last_id == ids[-1]
        return
    with pytest.raises(event_sequence.BrokenSequenceError):
        sequence.add(_events(*ids))
    assert sequence.last_id == str(end - 1)


@_repeatable
@hypothesis.given(
    strategies.lists(strategies.lists(strategies.integers(0, 9), max_size=4))
)
def test_ids_passed_on_increase_whatever_the_responses_are(responses):
    sequence = event_sequence.EventSequence()
    passed = []
    for ids in responses:
        sequence.begin(_head())
        try:
            sequence.add(_events(*map(str, ids)))
        except event_sequence.BrokenSequenceError:
            continue
        passed += ids
    assert passed == sorted(set(passed))
    assert sequence.last_id == (str(passed[-1]) if passed else "")


@_repeatable
@hypothesis.given(strategies.text())
def test_any_id_is_a_number_or_ends_resumption(event_id):
    """Digits of other scripts and endless ones are no numbers."""
    sequence = event_sequence.EventSequence()
    sequence.begin(_head())
    sequence.add(_events(event_id))
    assert sequence.resumable == (
        event_id.isascii() and event_id.isdigit() and len(event_id) < 19
    )


@pytest.mark.parametrize("event_id", ["9" * 5_000, "\u0663", "-1", "1.0", ""])
def test_an_id_that_is_no_number_ends_resumption(event_id):
    sequence = event_sequence.EventSequence()
    sequence.begin(_head())
    sequence.add(_events(event_id))
    assert not sequence.resumable


_PARTS = strategies.sampled_from(
    [
        *(fakes.event_bytes(number) for number in range(1, 7)),
        b"data: x\n\n",
        b"internal error\n\n",
        b"HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n",
        b": alive\n\n",
        b"id: 4\nda",
    ]
)


@_repeatable
@hypothesis.given(
    strategies.lists(strategies.lists(_PARTS, max_size=5), max_size=4),
    strategies.sampled_from([1, 7, 1_000]),
)
def test_resumed_responses_add_only_new_events(responses, piece_bytes):
    """Whatever a server sends, a begun stream gets events it has not had."""
    sequence = event_sequence.EventSequence()
    passed = streams.events(1, 2)
    sequence.begin(_head())
    sequence.add(_events("1", "2"))
    for parts in responses:
        splitter = event_stream.EventSplitter(memory_budget.unlimited())
        sequence.begin(_head())
        data = b"".join(parts)
        with contextlib.suppress(
            event_sequence.BrokenSequenceError, event_stream.InvalidEventError
        ):
            for start in range(0, len(data), piece_bytes):
                events = splitter.feed(data[start : start + piece_bytes])
                sequence.add(events)
                passed += events.data
    assert b"\r\n" not in passed
    blocks = [b for b in passed.split(b"\n\n")[:-1] if b != b": alive"]
    numbers = [int(block.split()[1]) for block in blocks]
    assert all(block.startswith(b"id: ") for block in blocks)
    assert numbers == sorted(set(numbers))
    assert str(numbers[-1]) == sequence.last_id
