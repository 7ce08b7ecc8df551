"""The sum of the times that pass, one after the other, when things fail."""

import pytest

from dotterelgrade_routing import feed_timing as timing

# An answer of the store, from the question on.
_ANSWER_S = 0.05
_RETRY_PAUSE_S = timing.MIN_RETRY_PAUSE_S * timing.MAX_PAUSE_FACTOR
_LOST_ANSWER_S = timing.answer_timeout_s(wait_s=0.0, failures=0)
_LOST_POLL_S = timing.answer_timeout_s(wait_s=timing.POLL_TIMEOUT_S, failures=0)


@pytest.mark.parametrize(
    "passing_s",
    [
        pytest.param((timing.RELAY_VALID_S, _ANSWER_S), id="planner lost"),
        pytest.param(
            (
                timing.RELAY_VALID_S,
                _LOST_ANSWER_S,
                _RETRY_PAUSE_S,
                _ANSWER_S,
            ),
            id="planner and the next answer lost",
        ),
        pytest.param(
            (_LOST_POLL_S, _RETRY_PAUSE_S, _ANSWER_S),
            id="waiting read fell silent",
        ),
        pytest.param(
            (timing.MAX_RETRY_PAUSE_S * timing.MAX_PAUSE_FACTOR, _ANSWER_S),
            id="store or link back after an outage",
        ),
    ],
)
def test_a_lost_answer_does_not_make_a_version_late(passing_s):
    assert sum(passing_s) <= timing.CONFIGURATION_BOUND_S


def test_the_planners_cover_outlasts_its_own_reads():
    """Otherwise all fronts would read the store in quiet times."""
    exchange_s = 0.25 + 0.2
    unchanged_s = timing.RELAYING_POLL_TIMEOUT_S + exchange_s
    changed_s = (
        unchanged_s
        + timing.RELAYING_BATCH_DELAY_S
        + timing.RELAYING_POLL_TIMEOUT_S
    )
    assert unchanged_s + 0.3 < timing.RELAY_VALID_S
    assert changed_s - exchange_s < timing.RELAY_VALID_S


def test_a_slow_store_is_given_more_time():
    """A store that answers after a second must not seem to be away."""
    margins = [
        timing.answer_timeout_s(wait_s=0.0, failures=number)
        for number in range(6)
    ]
    assert margins == sorted(margins)
    assert margins[0] == timing.ANSWER_MARGIN_S
    assert margins[-1] == timing.MAX_ANSWER_MARGIN_S
