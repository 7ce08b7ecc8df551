import logging

import pytest

from dotterelgrade import decision_log
from dotterelgrade import journal


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def decisions(clock):
    return decision_log.DecisionLog(journal=journal.Journal(), clock=clock)


def test_decision_is_logged_and_journaled_with_its_inputs(decisions, caplog):
    with caplog.at_level(logging.INFO):
        decisions.record("chosen", reason="room", request_id="r", age_s=0.2)
    (line,) = caplog.records
    assert (line.message, line.reason, line.age_s) == ("chosen", "room", 0.2)
    (entry,) = decisions.journal.for_request("r")
    assert entry.details == {"age_s": 0.2}


def test_log_lines_are_rate_limited_per_decision(decisions, clock, caplog):
    """Guards against a log flood when a burst of requests is refused."""
    with caplog.at_level(logging.INFO):
        for _ in range(1_000):
            decisions.record("refused", reason="full")
        decisions.record("chosen", reason="room")
        clock.now = 1.0
        decisions.record("refused", reason="full")
    kinds = [record.message for record in caplog.records]
    assert kinds.count("refused") == decision_log.MAX_LINES_PER_S + 1
    assert kinds.count("chosen") == 1
    (suppression,) = [
        r for r in caplog.records if r.message == "lines_suppressed"
    ]
    assert suppression.n == 1_000 - decision_log.MAX_LINES_PER_S
