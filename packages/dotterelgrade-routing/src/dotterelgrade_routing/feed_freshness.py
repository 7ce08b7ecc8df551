"""How recent the records are that a front has applied of a feed."""

import dataclasses
import enum

from dotterelgrade_routing import feed_timing
from dotterelgrade_routing import store_era


class ContactSource(enum.Enum):
    """Who told a front that its records are complete."""

    NOBODY = "nobody"
    STORE = "store"
    PLANNER = "planner"


@dataclasses.dataclass(frozen=True, kw_only=True)
class FeedFreshness:
    """State of a feed at one front.

    Attributes:
        end: Offset after the last applied record, or None before the first.
        era: Era of the store to which the offset belongs.
        current_at: The records hold all that the store had acknowledged by this
            monotonic time, s.
        source: Who told so.
    """

    end: int | None = None
    era: int = store_era.UNCOUNTED
    current_at: float = float("-inf")
    source: ContactSource = ContactSource.NOBODY

    def age_s(self, *, now: float) -> float | None:
        """Returns how old that knowledge is, s, or None if there is none.

        Args:
            now: Monotonic time, s.
        """
        if self.source is ContactSource.NOBODY:
            return None
        return max(0.0, now - self.current_at)

    def proves_absence(self, *, now: float) -> bool:
        """Returns whether a route or key that is not known does not exist.

        An addition that was acknowledged longer ago must be in force; on older
        knowledge a front can only say that it does not know.

        Args:
            now: Monotonic time, s.
        """
        return now - self.current_at <= feed_timing.CONFIGURATION_BOUND_S


def answer_current_at(
    *, asked_at: float, wait_s: float, answered_at: float, changed: bool
) -> float:
    """Returns the latest time for which an answer is certainly complete.

    The store may answer at any time between question and arrival. Only an
    answer without records shows that the store has waited first.

    Args:
        asked_at: Monotonic time at which the question was sent, s.
        wait_s: How long the store was to wait for a record, s.
        answered_at: Monotonic time at which the answer had arrived, s.
        changed: Whether it has records.
    """
    if changed or answered_at - asked_at < wait_s:
        return asked_at
    return asked_at + wait_s
