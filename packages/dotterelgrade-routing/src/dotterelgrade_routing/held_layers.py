"""Figures of each layer over the backend servers that hold it.

Load pattern: hundreds of backend servers start empty and are placed in one
plan. Each figure is updated with each further holder, so that the time of a
plan grows with the backend servers and not with their square.
"""

import bisect
from collections.abc import Iterable, Sequence

from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import placement_policies


class HeldLayers:
    """What a growing group of backend servers holds."""

    def __init__(
        self,
        engine: configuration.Engine,
        holders: Iterable[placement_policies.Candidate] = (),
    ) -> None:
        """Initializes the figures of the given holders.

        Args:
            engine: Figures of the model.
            holders: Backend servers that hold layers.
        """
        self._engine = engine
        self._counts = [0] * engine.layers
        self._tokens = [0.0] * engine.layers
        self._fastest = [float("inf")] * engine.layers
        self._last_sizes = [0] * engine.layers
        self._capacities: list[float] = []
        for holder in holders:
            self.add(holder.layers, holder.accelerator)

    def __repr__(self) -> str:
        """Shows the number of holders."""
        return f"<HeldLayers of {len(self._capacities)} holders>"

    @property
    def capacity_tokens(self) -> Sequence[float]:
        """Tokens for which the holders of each layer have memory."""
        return self._tokens

    @property
    def median_capacity_tokens(self) -> float:
        """Median of the tokens for which a holder has memory, or 0."""
        if not self._capacities:
            return 0.0
        return self._capacities[len(self._capacities) // 2]

    def add(
        self,
        layers: layer_range.LayerRange,
        accelerator: configuration.Accelerator,
    ) -> None:
        """Counts a further holder.

        Args:
            layers: The layers that it holds; those that the model doesn't have
                are ignored.
            accelerator: Figures of its kind of accelerator.
        """
        tokens = self._engine.capacity_tokens(accelerator, len(layers))
        bisect.insort(self._capacities, tokens)
        for layer in range(layers.first, min(layers.end, self._engine.layers)):
            self._counts[layer] += 1
            self._tokens[layer] += tokens
            self._last_sizes[layer] = len(layers)
            self._fastest[layer] = min(
                self._fastest[layer], accelerator.step_factor
            )

    def count(self, layer: int) -> int:
        """Returns how many backend servers hold a layer."""
        return self._counts[layer]

    def fastest(self, layer: int) -> float:
        """Returns the least step factor of a layer's holders, or infinity."""
        return self._fastest[layer]

    def single_holder_size(self, layer: int) -> int:
        """Returns how many layers the only holder of a layer holds, or 0."""
        return self._last_sizes[layer] if self._counts[layer] == 1 else 0
