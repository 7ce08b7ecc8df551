import pytest

from dotterelgrade_front import feed_sinks
from dotterelgrade_routing import platform_port


@pytest.fixture
def apply(front, put_server_document):
    """Applies records of one entry, and returns the decisions on them."""
    state = front.state
    sink = feed_sinks.ServerSink(state)
    put_server_document(state, "s")

    def apply_all(*values):
        for offset, value in enumerate(values):
            sink.apply(
                platform_port.Record(key="s", value=value, offset=offset)
            )
        return [row.decision for row in state.decisions.journal.latest(100)]

    return apply_all


def test_odd_entry_that_repeats_is_logged_once(apply):
    """A program that repeats its entry filled the log and the journal."""
    assert apply(*[b"odd"] * 5) == ["backend_server_rejected"]


def test_entry_that_turns_odd_again_is_logged_again(apply):
    decisions = apply(b"odd", b"s", b"odd", b"odd", b"", b"odd")
    assert decisions.count("backend_server_rejected") == 3


def test_removal_of_an_unknown_entry_is_not_logged(apply):
    assert apply(b"", b"") == []
