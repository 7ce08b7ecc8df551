"""Eras of the store: the count of its restores from a backup.

Load pattern: the store fails and is restored from a backup that is some seconds
old. Later writes are lost, and their offsets are reused for other records. The
store counts its restores and states the count, its era, in each answer. Offsets
of different eras can't be compared.
"""

import enum

# Era of a store that does not count its restores.
UNCOUNTED = 0


class EraStatus(enum.Enum):
    """How the era of an answer compares to the newest era seen before."""

    CURRENT = "current"
    NEWER = "risen"
    OUTDATED = "outdated"


class StoreEra:
    """The newest era that any answer of the store has stated."""

    def __init__(self) -> None:
        """Initializes the era before the first answer."""
        self._newest = UNCOUNTED

    def __repr__(self) -> str:
        """Shows the era."""
        return f"<StoreEra {self._newest}>"

    @property
    def newest(self) -> int:
        """The newest era that was seen."""
        return self._newest

    def note(self, era: int) -> EraStatus:
        """Compares the era of an answer, and keeps it if it is newer.

        Args:
            era: As the answer states it.

        Returns:
            Whether it is the newest known era, a newer one or an older one.
        """
        if era < self._newest:
            return EraStatus.OUTDATED
        if era == self._newest:
            return EraStatus.CURRENT
        self._newest = era
        return EraStatus.NEWER
