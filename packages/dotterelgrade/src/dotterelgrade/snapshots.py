"""When a process appends a snapshot of the contract."""

import dataclasses
import math
import random

MAX_RECORDS_UNCOVERED = 500
MAX_AGE_S = 300.0
MAX_WAIT_S = 5.0
# Feedback suppression with exponentially distributed timers: with up to about
# e**_SPREAD processes only a few of them fire before they hear of the first.
_SPREAD = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SnapshotSettings:
    """How often snapshots are taken.

    Attributes:
        max_records_uncovered: Records after the latest snapshot's coverage
            that make a new one due.
        max_age_s: Age of the latest snapshot that makes a new one due, s;
            well inside the log's retention.
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
        """Initializes the schedule of a process that saw no snapshot.

        Args:
            settings: How often snapshots are taken.
            now: Monotonic time, s.
            seed: Seed of the waits.
        """
        self._settings = settings
        self._random = random.Random(seed)
        self._covers = 0
        self._seen_at = now

    def __repr__(self) -> str:
        """Shows the latest snapshot seen."""
        return f"<SnapshotSchedule latest covers {self._covers}>"

    @property
    def covers(self) -> int:
        """What the latest snapshot seen covers; 0 for none."""
        return self._covers

    def saw(self, *, covers: int, now: float) -> None:
        """Notes a snapshot read from the log.

        Args:
            covers: Offset that it covers.
            now: Monotonic time, s.
        """
        if covers >= self._covers:
            self._covers = covers
            self._seen_at = now

    def is_due(self, *, offset: int, first_kept: int, now: float) -> bool:
        """Whether the log needs a newer snapshot.

        Args:
            offset: Offset of the contract held.
            first_kept: First offset that the log keeps.
            now: Monotonic time, s.

        Returns:
            True when too much came since the latest one, when it is old, or
            when a new process could no longer start from it.
        """
        if offset <= self._covers:
            return False
        return (
            first_kept > self._covers + 1
            or offset - self._covers >= self._settings.max_records_uncovered
            or now - self._seen_at >= self._settings.max_age_s
        )

    def wait_s(self) -> float:
        """Returns a random wait, rarely short, s."""
        share = self._random.random()
        stretched = math.log1p(share * math.expm1(_SPREAD)) / _SPREAD
        return stretched * self._settings.max_wait_s
