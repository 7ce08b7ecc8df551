"""Execution status of a forwarded request, and whether it may be retried.

Load pattern: backend servers crash, refuse or lose answers while callers
retry. A request that is not idempotent must run at most once, and an error
that says "not run" must be true.
"""

from collections.abc import Iterable
import enum

from dotterelgrade import errors


class ExecutionStatus(enum.IntEnum):
    """What is known of one attempt, in order of possible effects."""

    NEVER_SENT = 0
    REFUSED = 1
    UNKNOWN = 2
    RAN = 3


def may_retry(execution: ExecutionStatus, *, repeatable: bool) -> bool:
    """Returns whether the request may be sent to a backend server again.

    Args:
        execution: What is known of the failed attempt.
        repeatable: Whether the request may run more than once.
    """
    return repeatable or execution <= ExecutionStatus.REFUSED


def combined(attempts: Iterable[ExecutionStatus]) -> ExecutionStatus:
    """Returns what is known of a request after several attempts."""
    return max(attempts, default=ExecutionStatus.NEVER_SENT)


def failure_kind(
    execution: ExecutionStatus, *, deadline_passed: bool
) -> errors.ErrorKind:
    """Returns the error kind for the caller.

    Args:
        execution: What is known of the request after all attempts.
        deadline_passed: Whether its deadline has passed.
    """
    if execution >= ExecutionStatus.UNKNOWN:
        if deadline_passed:
            return errors.ErrorKind.DEADLINE_EXCEEDED
        return errors.ErrorKind.OUTCOME_UNKNOWN
    return errors.ErrorKind.NO_CAPACITY
