"""Whether this front plans placement and collects the fronts' loads.

Load pattern: the planner is killed, paused or cut off from the store while
others go on. Ownership of one partition in a group of the store elects the
planner; orders are compare-and-set at the engines, so a second planner can do
no harm.
"""

import dataclasses

# A planner that the store has not confirmed for so long steps down, unless
# no front reaches the store.
CONFIRMED_FOR_S = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Confirmation:
    """What the store last said.

    Attributes:
        elected: Whether this front owns the partition.
        at: Monotonic time at which the question was sent, s.
    """

    elected: bool
    at: float


class Leadership:
    """Decides from the store's word and the other fronts' reach of it."""

    def __init__(self) -> None:
        """Initializes a front that is not elected."""
        self._last = Confirmation(elected=False, at=float("-inf"))
        self._others_reach_store = False

    def __repr__(self) -> str:
        """Shows the last confirmation."""
        return f"<Leadership {self._last}>"

    def confirm(self, confirmation: Confirmation) -> None:
        """Takes in the store's word."""
        self._last = confirmation

    def note_others(self, *, reach_store: bool) -> None:
        """Takes in whether any connected front reaches the store."""
        self._others_reach_store = reach_store

    def leads(self, *, now: float) -> bool:
        """Returns whether this front leads now.

        Args:
            now: Monotonic time, s.
        """
        if not self._last.elected:
            return False
        fresh = now - self._last.at <= CONFIRMED_FOR_S
        return fresh or not self._others_reach_store
