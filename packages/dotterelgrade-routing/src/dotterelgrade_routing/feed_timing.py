"""Times within which a change of the configuration reaches a front.

Load patterns, each alone or two in a row: the planner is lost just after a
snapshot; the connection of a waiting read falls silent; an answer is lost. The
longest sum of these times stays below the time in which a configuration must be
in force, so they are kept together.
"""

# A version that the store acknowledged must be in force within this time.
CONFIGURATION_BOUND_S = 2.0
# For so long after the planner's records were complete, a front that has the
# same ones need not read the store.
RELAY_VALID_S = 1.2
# Long-poll timeout of a front that reads for itself.
POLL_TIMEOUT_S = 1.0
# The front that reads for the others states more often that nothing is missing.
RELAYING_POLL_TIMEOUT_S = 0.35
RELAYING_BATCH_DELAY_S = 0.1
# An answer that has not begun this long after the store should have sent it is
# taken for lost. The next one gets twice the time, for a store that is slow.
ANSWER_MARGIN_S = 0.5
MAX_ANSWER_MARGIN_S = 2.0
MIN_RETRY_PAUSE_S = 0.15
MAX_RETRY_PAUSE_S = 0.8
# The same while the planner, which reads the store more often, sends snapshots:
# its next one tells that the store is back.
MAX_COVERED_RETRY_PAUSE_S = 1.6
# Pauses are drawn from a half to one and a half of these times.
MAX_PAUSE_FACTOR = 1.5


def spread_pause_s(pause_s: float, *, jitter: float) -> float:
    """Returns the pause of one front, so that many do not ask together, s.

    Args:
        pause_s: Mean pause, s.
        jitter: Random from 0 to 1.
    """
    return pause_s * (MAX_PAUSE_FACTOR - 1.0 + jitter)


def answer_timeout_s(*, wait_s: float, failures: int) -> float:
    """Returns how long to wait until the answer to a read begins, s.

    Args:
        wait_s: How long the store is to wait for a record, s.
        failures: Reads before it that failed, in a row.
    """
    margin_s = min(ANSWER_MARGIN_S * 2**failures, MAX_ANSWER_MARGIN_S)
    return wait_s + margin_s
