import hypothesis
from hypothesis import strategies
import pytest

from dotterelgrade import memory_budget
from dotterelgrade_front import event_stream


@hypothesis.given(
    strategies.lists(strategies.integers(0, 10**6), max_size=8),
    strategies.lists(strategies.integers(1, 40), min_size=1),
    strategies.sampled_from([b"\n", b"\r\n"]),
)
def test_events_are_complete_for_any_split_of_the_bytes(
    ids, piece_sizes, line_end
):
    stream = b"".join(
        b"id: %d%sdata: x%s%s" % (number, line_end, line_end, line_end)
        for number in ids
    )
    splitter = event_stream.EventSplitter(memory_budget.unlimited())
    passed, count, found_ids, position = b"", 0, [], 0
    while position < len(stream):
        size = piece_sizes[count % len(piece_sizes)]
        events = splitter.feed(stream[position : position + size])
        position += size
        passed += events.data
        count += events.count
        found_ids += events.ids
        assert stream.startswith(passed)
    assert passed == stream
    assert splitter.partial == b""
    assert count == len(ids)
    assert found_ids == [str(number) for number in ids]


def test_an_incomplete_event_is_buffered():
    splitter = event_stream.EventSplitter(memory_budget.unlimited())
    assert splitter.feed(b"id: 1\ndata: x\n\nid: 2\nda").ids == ("1",)
    assert splitter.partial == b"id: 2\nda"


def test_an_event_above_the_size_limit_is_refused():
    splitter = event_stream.EventSplitter(memory_budget.unlimited())
    with pytest.raises(event_stream.EventTooLargeError):
        splitter.feed(b"x" * 2_000_000)


@pytest.mark.parametrize("line", [b"internal error", b"HTTP/1.1 500 Failed"])
def test_a_line_that_is_no_field_is_refused(line):
    """A server writes an error in the middle of an event."""
    splitter = event_stream.EventSplitter(memory_budget.unlimited())
    splitter.feed(b"id: 1\ndata\n\n: c\n\nid: 2\nda")
    with pytest.raises(event_stream.InvalidEventError):
        splitter.feed(line + b"\r\n\r\n")


def test_comments_have_no_place_among_the_ids():
    splitter = event_stream.EventSplitter(memory_budget.unlimited())
    events = splitter.feed(b": alive\n\nid: 3\ndata: x\n\ndata: y\n\n")
    assert events.ids == ("3", "")
