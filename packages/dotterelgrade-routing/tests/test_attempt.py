import hypothesis
from hypothesis import strategies
import pytest

from dotterelgrade import errors
from dotterelgrade_routing import attempt

_ATTEMPTS = strategies.lists(strategies.sampled_from(attempt.ExecutionStatus))


@hypothesis.given(_ATTEMPTS, strategies.booleans())
def test_not_run_is_reported_only_if_no_attempt_may_have_run(
    attempts, deadline_passed
):
    kind = attempt.failure_kind(
        attempt.combined(attempts), deadline_passed=deadline_passed
    )
    says_not_run = errors.RESPONSES[kind].run is errors.RunState.NOT_RUN
    may_have_run = any(k >= attempt.ExecutionStatus.UNKNOWN for k in attempts)
    assert says_not_run == (not may_have_run)


@pytest.mark.parametrize("known", attempt.ExecutionStatus)
def test_non_repeatable_request_is_retried_only_if_it_has_not_run(known):
    allowed = attempt.may_retry(known, repeatable=False)
    assert allowed == (known <= attempt.ExecutionStatus.REFUSED)
    assert attempt.may_retry(known, repeatable=True)
