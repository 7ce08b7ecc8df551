"""Finds the layers that no backend server holds, or only one.

Load pattern: backend servers fail one after another, faster than their layers
are loaded elsewhere. While each layer has two holders, a chain is left after
the loss of any one of them; operators need to know when that is not so.
"""

from collections.abc import Mapping
import dataclasses

from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_coverage
from dotterelgrade_routing import layer_range


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlanRisk:
    """Layers without a redundant holder.

    Attributes:
        missing: Layers without a holder.
        single_holder: Layers with a single holder, by that backend server.
    """

    missing: tuple[layer_range.LayerRange, ...]
    single_holder: Mapping[str, tuple[layer_range.LayerRange, ...]]

    @property
    def is_empty(self) -> bool:
        """Whether the loss of any one backend server leaves a chain."""
        return not self.missing and not self.single_holder


def assess(
    engine: configuration.Engine, held: Mapping[str, layer_range.LayerRange]
) -> PlanRisk:
    """Returns the layers that have no holder, or only one.

    Args:
        engine: Parameters of the model.
        held: Layers by backend server.
    """
    missing = layer_range.gaps(engine.all_layers(), held.values())
    coverage = layer_coverage.LayerCoverage(held.values())
    alone = {
        server_id: coverage.held_once(layers)
        for server_id, layers in held.items()
    }
    single_holder = {
        server_id: layers for server_id, layers in alone.items() if layers
    }
    return PlanRisk(missing=missing, single_holder=single_holder)
