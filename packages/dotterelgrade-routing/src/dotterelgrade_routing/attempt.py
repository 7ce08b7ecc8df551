"""What is known of a forwarded request, and what may follow from it.

Load pattern: backend servers crash, refuse or lose answers while callers
repeat; a request that is not idempotent must then run at most once, and
"not run" must be true.
"""

from collections.abc import Iterable
import enum

from dotterelgrade import errors


class Knowledge(enum.IntEnum):
    """What is known of one try at one backend server, least harmful first."""

    NEVER_SENT = 0
    REFUSED = 1
    UNKNOWN = 2
    RAN = 3


def may_repeat(knowledge: Knowledge, *, repeatable: bool) -> bool:
    """Returns whether the request may go to a backend server again.

    Args:
        knowledge: What is known of the try that failed.
        repeatable: Whether the request may run more than once.
    """
    return repeatable or knowledge <= Knowledge.REFUSED


def overall(tries: Iterable[Knowledge]) -> Knowledge:
    """Returns what is known of a request after several tries."""
    return max(tries, default=Knowledge.NEVER_SENT)


def failure_kind(
    knowledge: Knowledge, *, out_of_time: bool
) -> errors.ErrorKind:
    """Returns the error kind that a caller is told.

    Args:
        knowledge: What is known of the request after all tries.
        out_of_time: Whether its time limit has passed.
    """
    if knowledge >= Knowledge.UNKNOWN:
        if out_of_time:
            return errors.ErrorKind.DEADLINE_EXCEEDED
        return errors.ErrorKind.OUTCOME_UNKNOWN
    return errors.ErrorKind.NO_CAPACITY
