"""Which life of the store an answer belongs to.

Load pattern: the store is away for a moment and comes back from a copy that is
some seconds old. What was written since is gone, and its offsets are given out
again for other records. The store counts such returns; each of its answers
carries the count, its era. What was learned in one era says nothing about
offsets of another one.
"""

import enum

# Answers of a store that does not count its returns.
UNCOUNTED = 0


class Standing(enum.Enum):
    """How an answer's era compares to the newest one that was seen."""

    CURRENT = "current"
    RISEN = "risen"
    OUTDATED = "outdated"


class StoreEra:
    """The newest era that any answer of the store has shown."""

    def __init__(self) -> None:
        """Initializes an era of which nothing is known."""
        self._newest = UNCOUNTED

    def __repr__(self) -> str:
        """Shows the era."""
        return f"<StoreEra {self._newest}>"

    @property
    def newest(self) -> int:
        """The newest era that was seen."""
        return self._newest

    def note(self, era: int) -> Standing:
        """Takes in the era of an answer.

        Args:
            era: As the answer states it.

        Returns:
            Whether it is the known era, a later one, or one that has ended.
        """
        if era < self._newest:
            return Standing.OUTDATED
        if era == self._newest:
            return Standing.CURRENT
        self._newest = era
        return Standing.RISEN
