"""Times after which a refused caller may come back."""

DEFAULT_S = 1.0
LONGEST_S = 60.0
_MS_PER_S = 1000


def checked_s(milliseconds: float) -> float:
    """Returns the time that an agent named, in seconds, if it is sensible.

    Args:
        milliseconds: What the agent named; it may be any number.

    Returns:
        The time, or the default for zero, negative or endless ones.
    """
    seconds = milliseconds / _MS_PER_S
    return seconds if 0 < seconds <= LONGEST_S else DEFAULT_S
