"""How often each layer is held."""

import collections
from collections.abc import Iterable
import itertools

from dotterelgrade_routing import layer_range


class LayerCoverage:
    """Number of holders of each layer."""

    def __init__(self, ranges: Iterable[layer_range.LayerRange]) -> None:
        """Counts the holders.

        Args:
            ranges: The layers of each holder.
        """
        changes: collections.Counter[int] = collections.Counter()
        for held in ranges:
            changes[held.first] += 1
            changes[held.end] -= 1
        end = max(changes, default=0)
        self._counts = list(
            itertools.accumulate(changes[layer] for layer in range(end))
        )

    def __repr__(self) -> str:
        """Shows the counts."""
        return f"<LayerCoverage {self._counts}>"

    def remove_if_redundant(self, held: layer_range.LayerRange) -> bool:
        """Removes a holder if others hold all of its layers.

        Args:
            held: Layers of a holder that was counted.

        Returns:
            Whether it was removed.
        """
        part = slice(held.first, held.end)
        if min(self._counts[part], default=0) < 2:
            return False
        self._counts[part] = [count - 1 for count in self._counts[part]]
        return True

    def held_once(
        self, held: layer_range.LayerRange
    ) -> tuple[layer_range.LayerRange, ...]:
        """Returns the parts of a holder's layers that no other one holds.

        Args:
            held: Layers of a holder that was counted.
        """
        layers = range(held.first, held.end)
        runs = itertools.groupby(layers, key=self._counts.__getitem__)
        alone = [tuple(run) for count, run in runs if count == 1]
        return tuple(
            layer_range.LayerRange(run[0], run[-1] + 1) for run in alone
        )
