"""Which workspaces take more than their share of the work."""

from collections.abc import Callable
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


class Shares:
    """Work given to each workspace, with exponential forgetting."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Initializes shares without work.

        Args:
            clock: Monotonic time, s.
        """
        self._clock = clock
        self._work: dict[str, _Work] = {}

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
        work = self._work.get(workspace)
        if work is None:
            self._forget(now)
            work = self._work[workspace] = _Work(now)
        work.amount = self._decayed(work, now) + amount
        work.weight = weight
        work.at = now

    def _forget(self, now: float) -> None:
        if len(self._work) < _MAX_WORKSPACES:
            return
        for name, work in list(self._work.items()):
            if self._decayed(work, now) < _NEGLIGIBLE:
                del self._work[name]

    def is_over(self, workspace: str) -> bool:
        """Whether a workspace has more than its share among the active ones.

        Args:
            workspace: Name of the workspace.

        Returns:
            False for a workspace that is alone or unknown.
        """
        now = self._clock()
        amounts = {
            name: amount
            for name, work in self._work.items()
            if (amount := self._decayed(work, now)) >= _NEGLIGIBLE
        }
        if workspace not in amounts or len(amounts) == 1:
            return False
        weights = sum(self._work[name].weight for name in amounts)
        fair = self._work[workspace].weight / weights
        return amounts[workspace] > fair * sum(amounts.values())
