"""Finds the faulty stages of a chain whose streams have stalled.

Load pattern: a backend server crashes or becomes unreachable, and every stream
through it stalls at once. The first stage's report of it lags, so each stage is
probed: one that has crashed refuses connections, and one that is unreachable
does not answer while the others do.
"""

from collections.abc import Mapping
import enum

# If fewer of the other stages answer, this host's own link may be at fault.
MIN_ANSWERING_SHARE = 0.5
# Missing replies of a chain up to which its other replies are trusted.
MAX_MISSING_SHARE = 0.34


class ProbeResult(enum.Enum):
    """Result of probing a stage."""

    ANSWERED = "answered"
    AWAITED = "awaited"
    SILENT = "silent"
    DOWN = "down"


def is_conclusive_soon(replies: Mapping[str, ProbeResult]) -> bool:
    """Returns whether only few replies are missing.

    If they stay missing, their stages are unreachable; if many are, this host's
    own link may be at fault, and waiting for them tells nothing.

    Args:
        replies: Probe result of each stage of its chain, by address.
    """
    awaited = sum(reply is ProbeResult.AWAITED for reply in replies.values())
    return 0 < awaited <= MAX_MISSING_SHARE * len(replies)


def faulty_stages(replies: Mapping[str, ProbeResult]) -> tuple[str, ...]:
    """Returns the stages that stall a stream.

    Args:
        replies: Probe result of each stage of its chain, by address.

    Returns:
        Addresses of the stages that are down, and of those that do not answer
        while most of the others do.
    """
    down = tuple(a for a, reply in replies.items() if reply is ProbeResult.DOWN)
    silent = tuple(
        a for a, reply in replies.items() if reply is ProbeResult.SILENT
    )
    others = len(replies) - len(down) - len(silent)
    answered = sum(reply is ProbeResult.ANSWERED for reply in replies.values())
    if not others or answered < MIN_ANSWERING_SHARE * others:
        return down
    if len(silent) > MIN_ANSWERING_SHARE * len(replies):
        return down
    return down + silent
