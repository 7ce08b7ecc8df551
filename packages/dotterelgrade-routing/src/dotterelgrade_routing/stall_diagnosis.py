"""Which stages of a silent chain are at fault.

Load pattern: a backend server crashes or goes dark, and every stream through it
falls silent at once. What the first stage reports of it lags; a stage that is
gone accepts no connection, and one that is dark does not answer while the
others do.
"""

from collections.abc import Mapping
import enum

# With fewer of the other stages answering, the own link may be at fault.
LEAST_ANSWERING = 0.5


class Reply(enum.Enum):
    """How a stage answered a question."""

    ANSWERED = "answered"
    AWAITED = "awaited"
    SILENT = "silent"
    DOWN = "down"


def at_fault(replies: Mapping[str, Reply]) -> tuple[str, ...]:
    """Returns the stages that hold a silent stream up.

    Args:
        replies: How each stage of its chain answered, by address.

    Returns:
        Addresses of the stages that are down; with them those that stay silent
        while most of the others answer.
    """
    down = tuple(a for a, reply in replies.items() if reply is Reply.DOWN)
    silent = tuple(a for a, reply in replies.items() if reply is Reply.SILENT)
    others = len(replies) - len(down) - len(silent)
    answered = sum(reply is Reply.ANSWERED for reply in replies.values())
    if not others or answered < LEAST_ANSWERING * others:
        return down
    if len(silent) > LEAST_ANSWERING * len(replies):
        return down
    return down + silent
