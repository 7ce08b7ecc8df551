"""Which workspaces, or ranks, take more or less than their share of the work.

Load pattern: a few workspaces are large and press when capacity is short; the
others must not be starved by them.
"""

from collections.abc import Callable, Mapping
import math
import time

_MEMORY_S = 2.0
_NEGLIGIBLE = 1.0
_MAX_WORKSPACES = 1_000


class _Work:
    def __init__(self, now: float) -> None:
        self.amount = 0.0
        self.weight = 1.0
        self.at = now
        self.asked_at = float("-inf")


class Shares:
    """Work given to each workspace, with exponential forgetting."""

    def __init__(
        self,
        *,
        negligible: float = _NEGLIGIBLE,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes shares without work.

        Args:
            negligible: Work below which a workspace is not active.
            clock: Monotonic time, s.
        """
        self._negligible = negligible
        self._clock = clock
        self._work: dict[str, _Work] = {}

    def __repr__(self) -> str:
        """Shows how many workspaces are known."""
        return f"<Shares of {len(self._work)}>"

    def __len__(self) -> int:
        """Returns how many workspaces are known."""
        return len(self._work)

    def _decayed(self, work: _Work, now: float) -> float:
        return work.amount * math.exp((work.at - now) / _MEMORY_S)

    def note(self, workspace: str, *, weight: float, amount: float) -> None:
        """Counts work given to a workspace.

        Args:
            workspace: Name of the workspace.
            weight: Its share relative to the others.
            amount: The work, in tokens.
        """
        now = self._clock()
        work = self._work_of(workspace, now)
        work.amount = self._decayed(work, now) + amount
        work.weight = weight
        work.at = now

    def note_asked(self, workspace: str) -> None:
        """Marks a workspace as active, whether or not it is given work.

        Args:
            workspace: Name of the workspace.
        """
        now = self._clock()
        self._work_of(workspace, now).asked_at = now

    def _work_of(self, workspace: str, now: float) -> _Work:
        work = self._work.get(workspace)
        if work is None:
            self._forget(now)
            work = self._work[workspace] = _Work(now)
        return work

    def _forget(self, now: float) -> None:
        if len(self._work) < _MAX_WORKSPACES:
            return
        for name, work in list(self._work.items()):
            if not self._is_active(work, now):
                del self._work[name]

    def _is_active(self, work: _Work, now: float) -> bool:
        return (
            now - work.asked_at < _MEMORY_S
            or self._decayed(work, now) >= self._negligible
        )

    def _active_amounts(self) -> Mapping[str, float]:
        now = self._clock()
        return {
            name: self._decayed(work, now)
            for name, work in self._work.items()
            if self._is_active(work, now)
        }

    def _fair_amount(
        self, workspace: str, amounts: Mapping[str, float]
    ) -> float:
        weights = sum(self._work[name].weight for name in amounts)
        fair = self._work[workspace].weight / weights
        return fair * sum(amounts.values())

    def is_over(self, workspace: str, *, tolerance: float = 0.0) -> bool:
        """Whether a workspace has more than its share among the active ones.

        Args:
            workspace: Name of the workspace.
            tolerance: Work above its share that it may have.

        Returns:
            False for a workspace that is alone or unknown.
        """
        amounts = self._active_amounts()
        if workspace not in amounts or len(amounts) == 1:
            return False
        fair = self._fair_amount(workspace, amounts)
        return amounts[workspace] > fair + tolerance

    def shortfall(self, workspace: str, *, part: float) -> float:
        """Returns the work that a workspace lacks to a part of its share.

        Args:
            workspace: Name of the workspace.
            part: The part of its share among the active ones.

        Returns:
            0 for a workspace that is alone or unknown.
        """
        amounts = self._active_amounts()
        if workspace not in amounts or len(amounts) == 1:
            return 0.0
        guaranteed = part * self._fair_amount(workspace, amounts)
        return max(guaranteed - amounts[workspace], 0.0)
