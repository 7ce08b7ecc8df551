import hypothesis
from hypothesis import strategies
import pytest

from dotterelgrade import errors
from dotterelgrade_routing import attempt

_KNOWN = strategies.lists(strategies.sampled_from(attempt.Knowledge))


@hypothesis.given(_KNOWN, strategies.booleans())
def test_not_run_is_said_only_when_it_is_true(tries, out_of_time):
    kind = attempt.failure_kind(attempt.overall(tries), out_of_time=out_of_time)
    says_not_run = errors.ANSWERS[kind].run is errors.Run.NOT_RUN
    may_have_run = any(t >= attempt.Knowledge.UNKNOWN for t in tries)
    assert says_not_run == (not may_have_run)


@pytest.mark.parametrize("known", attempt.Knowledge)
def test_what_may_run_once_is_repeated_only_if_it_has_not_run(known):
    allowed = attempt.may_repeat(known, repeatable=False)
    assert allowed == (known <= attempt.Knowledge.REFUSED)
    assert attempt.may_repeat(known, repeatable=True)
