import json

import pytest

from dotterelgrade_front import lateness


def _finished(**rest):
    line = {
        "event": "stream_finished",
        "first_event_s": 0.1,
        "objective_s": 0.5,
        "longest_pause_s": 0.05,
        "pause_s": 0.25,
        "tries": 1,
        "moves": 0,
        **rest,
    }
    return "front-1 " + json.dumps(line)


@pytest.mark.parametrize(
    ("rest", "cause"),
    [
        ({"first_event_s": 0.9}, lateness.Cause.FIRST_EVENT),
        (
            {"first_event_s": 0.9, "tries": 2},
            lateness.Cause.FIRST_EVENT_AFTER_TRY,
        ),
        ({"longest_pause_s": 0.5}, lateness.Cause.PAUSE),
        ({"longest_pause_s": 0.5, "moves": 1}, lateness.Cause.PAUSE_AT_MOVE),
        (
            {"longest_pause_s": 0.5, "moves": 1, "tries": 2},
            lateness.Cause.PAUSE_AFTER_TRY,
        ),
    ],
)
def test_a_late_stream_has_one_cause(rest, cause):
    (row,) = lateness.summary([_finished(**rest), _finished()])
    assert row.cause is cause
    assert (row.streams, row.share) == (1, 0.5)
    assert row.usual_excess_s > 0.2


def test_a_stream_that_continues_one_of_a_lost_front_is_late():
    """Load pattern: 24 of 40 fronts lose power in the middle of streams."""
    (row,) = lateness.summary([_finished(continued=True), _finished()])
    assert row.cause is lateness.Cause.CONTINUED


def test_the_most_frequent_cause_comes_first():
    lines = [
        _finished(longest_pause_s=0.5),
        _finished(first_event_s=0.9),
        _finished(first_event_s=0.8),
        json.dumps({"event": "stream_broken"}),
    ]
    causes = [row.cause for row in lateness.summary(lines)]
    assert causes[0] is lateness.Cause.FIRST_EVENT
    assert set(causes[1:]) == {lateness.Cause.PAUSE, lateness.Cause.BROKEN}


def test_other_lines_are_ignored():
    lines = ["", "stream_finished", "{", '"stream_finished"', "[1]"]
    assert lateness.summary(lines) == ()
