"""Which layers no backend server holds, or only one.

Load pattern: backend servers are lost one after another, faster than their
layers are loaded elsewhere. As long as each layer has a second holder, the loss
of any one leaves a chain; operators should know when that is no longer so.
"""

from collections.abc import Mapping
import dataclasses

from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlanRisk:
    """How far a fleet is from being unable to serve.

    Attributes:
        missing: Layers that nobody holds.
        hanging: Layers with a single holder, by that backend server.
    """

    missing: tuple[layer_range.LayerRange, ...]
    hanging: Mapping[str, tuple[layer_range.LayerRange, ...]]

    @property
    def none(self) -> bool:
        """Whether the loss of any one backend server leaves a chain."""
        return not self.missing and not self.hanging


def assess(
    engine: configuration.Engine, held: Mapping[str, layer_range.LayerRange]
) -> PlanRisk:
    """Returns what would be lost with any one backend server.

    Args:
        engine: Figures of the model.
        held: Layers by backend server.
    """
    missing = layer_range.gaps(engine.whole(), held.values())
    hanging = {}
    for server_id, layers in held.items():
        others = [h for other, h in held.items() if other != server_id]
        alone = layer_range.gaps(layers, others)
        if alone:
            hanging[server_id] = alone
    return PlanRisk(missing=missing, hanging=hanging)
