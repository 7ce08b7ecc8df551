"""Schedule of contract snapshots, with suppression of duplicates."""

import dataclasses
import math
import random

MAX_RECORDS_UNCOVERED = 500
MAX_AGE_S = 300.0
MAX_WAIT_S = 5.0
# Feedback suppression with exponentially distributed timers: with up to about
# e**_TIMER_SPREAD processes only a few fire before they read the first one.
_TIMER_SPREAD = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotSettings:
    """Limits on the age and coverage of the latest snapshot.

    Attributes:
        max_records_uncovered: Records after the latest snapshot's coverage
            that make a new one due.
        max_age_s: Age of the latest snapshot that makes a new one due, s;
            well below the log's retention.
        max_wait_s: Longest wait before a due snapshot is appended, s.
    """

    max_records_uncovered: int = MAX_RECORDS_UNCOVERED
    max_age_s: float = MAX_AGE_S
    max_wait_s: float = MAX_WAIT_S


class SnapshotSchedule:
    """Decides when a snapshot is due and how long this process waits first."""

    def __init__(
        self,
        settings: SnapshotSettings,
        *,
        now: float,
        seed: int | None = None,
    ) -> None:
        """Initializes a schedule that has seen no snapshot.

        Args:
            settings: Limits that make a snapshot due.
            now: Monotonic time, s.
            seed: Seed of the random waits.
        """
        self._settings = settings
        self._random = random.Random(seed)
        self._covers = 0
        self._seen_at = now

    def __repr__(self) -> str:
        """Shows the latest snapshot seen."""
        return f"<SnapshotSchedule latest covers {self._covers}>"

    @property
    def covered_offset(self) -> int:
        """Offset covered by the latest snapshot seen; 0 for none."""
        return self._covers

    def register_snapshot(self, *, covers: int, now: float) -> None:
        """Registers a snapshot read from the log.

        Args:
            covers: Offset up to which it covers the contract.
            now: Monotonic time, s.
        """
        if covers >= self._covers:
            self._covers = covers
            self._seen_at = now

    def is_due(self, *, offset: int, first_kept: int, now: float) -> bool:
        """Whether the log needs a newer snapshot.

        Args:
            offset: Offset of this process's contract.
            first_kept: First offset that the log keeps.
            now: Monotonic time, s.

        Returns:
            True when the latest one is too many records behind, too old, or
            no longer joined by the records that the log keeps.
        """
        if offset <= self._covers:
            return False
        return (
            first_kept > self._covers + 1
            or offset - self._covers >= self._settings.max_records_uncovered
            or now - self._seen_at >= self._settings.max_age_s
        )

    def wait_s(self) -> float:
        """Returns a random wait, skewed towards `max_wait_s`, s."""
        share = self._random.random()
        skewed_share = (
            math.log1p(share * math.expm1(_TIMER_SPREAD)) / _TIMER_SPREAD
        )
        return skewed_share * self._settings.max_wait_s
