"""Decides what to try for a stream that is silent.

Load pattern: a stage crashes or stops answering, and its streams must continue
elsewhere within their bound on pauses; or a sound backend server is silent for
a second or two and then continues. At first the two look alike, so an attempt
is never ended because it is silent: the running request is rerouted, or a
second attempt starts beside it, and whichever sends the next event continues
the stream.
"""

import enum

# Silence after which a second attempt starts though no stage is known to be
# faulty. Callers disconnect after two seconds or more without an event.
STANDBY_SILENCE_S = 1.5
# Pause between two attempts to act on the same silence, as a fraction of it.
RETRY_FRACTION = 0.2
MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.5
# Least time between two second attempts at one backend server, as a fraction of
# the silence. Each reserves memory there and uses up a retry.
_SAME_SERVER_FRACTION = 0.5


class StallAction(enum.Enum):
    """Something to try for a silent stream."""

    REROUTE = "reroute"
    STANDBY = "standby"


def stall_actions(
    *,
    faulty: bool,
    silent_s: float,
    repeatable: bool,
    prefers_standby: bool,
    replaced: int = 0,
) -> tuple[StallAction, ...]:
    """Returns what to try, in order, until one of them is possible.

    If none is, the attempt is awaited.

    Args:
        faulty: Whether a stage is known to be faulty.
        silent_s: Time since the last event, s.
        repeatable: Whether the request may run at a second backend server.
        prefers_standby: Whether a second attempt is better than rerouting.
        replaced: How often an attempt of the request was replaced already.
    """
    is_long = silent_s > standby_silence_s(replaced=replaced)
    actions = []
    if faulty:
        actions.append(StallAction.REROUTE)
    if repeatable and (faulty or is_long):
        actions.append(StallAction.STANDBY)
    if prefers_standby:
        actions.reverse()
    return tuple(actions)


def standby_silence_s(*, replaced: int) -> float:
    """Returns the silence after which a second attempt starts, s.

    It doubles with each attempt that was replaced: engines that all pause must
    not replace each other for ever.

    Args:
        replaced: How often an attempt of the request was replaced already.
    """
    return STANDBY_SILENCE_S * 2**replaced


def may_start_again(*, since_start_s: float, silent_s: float) -> bool:
    """Returns whether another second attempt may start at a backend server.

    Args:
        since_start_s: Time since the last one started there, s.
        silent_s: Time since the last event, s.
    """
    return since_start_s >= _SAME_SERVER_FRACTION * silent_s


def retry_delay_s(silent_s: float) -> float:
    """Returns the time until the next try when nothing was possible, s.

    Args:
        silent_s: Time since the last event, s.
    """
    return min(max(RETRY_FRACTION * silent_s, MIN_RETRY_S), MAX_RETRY_S)
