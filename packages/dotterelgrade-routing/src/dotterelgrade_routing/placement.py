"""Placement of model layers on backend servers.

Load pattern: all backend servers start empty at once; single ones crash and
restart empty, leave for good or join. Each failure domain with enough memory
holds a whole replica, then each layer twice; free backend servers beyond a
reserve add capacity where there is least. Lost layers are loaded on free
backend servers, and layers that are held move only to close a gap.
"""

from collections.abc import Collection, Sequence
import dataclasses

from dotterelgrade_routing import configuration
from dotterelgrade_routing import held_layers
from dotterelgrade_routing import layer_coverage
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import placement_policies

# Backend servers that start together appear in the list within about 3 s. An
# empty group is planned once no further one has joined for this time.
JOIN_QUIET_PERIOD_S = 1.6
# Benefit of a second holder of a layer, in step factors, if the first one holds
# the whole model. The more layers a backend server holds, the longer it takes
# to replace them.
REDUNDANCY_BENEFIT = 32.0
# Backend servers of a group that stay empty, to take over lost layers.
RESERVE_SERVERS = 2

# If more than this share refuses requests, the cause is a common one, such as
# overload; then none is excluded from the plan.
MAX_REFUSING_SHARE = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """An order to hold a range.

    Attributes:
        server_id: The backend server.
        layers: Layers that it is to hold.
        reason: Reason for the order, in a few words.
    """

    server_id: str
    layers: layer_range.LayerRange
    reason: str


def plan(
    engine: configuration.Engine,
    servers: Sequence[placement_policies.Candidate],
    *,
    policy: placement_policies.Policy,
) -> list[Placement]:
    """Returns the orders that bring the fleet closer to whole replicas.

    Args:
        engine: Figures of the model.
        servers: Every backend server that is alive and stays.
        policy: How layers are distributed.

    Returns:
        At most one order for each backend server; empty if none is needed.
    """
    orders: list[Placement] = []
    for group in groups(engine, servers):
        orders.extend(_plan_group(engine, group, policy))
    return orders


def exclude_refusing(
    servers: Sequence[placement_policies.Candidate],
    *,
    refusing: Collection[str],
) -> list[placement_policies.Candidate]:
    """Returns the backend servers to plan with.

    Args:
        servers: Every backend server that is alive and not leaving.
        refusing: Those that refuse requests without stating a reason.
    """
    rest = [s for s in servers if s.server_id not in refusing]
    if len(servers) - len(rest) > MAX_REFUSING_SHARE * len(servers):
        return list(servers)
    return rest


def groups(
    engine: configuration.Engine,
    servers: Sequence[placement_policies.Candidate],
) -> list[list[placement_policies.Candidate]]:
    """Returns groups of backend servers that can each hold a whole replica.

    Failure domains that are too small for one are merged.
    """
    by_domain: dict[str, list[placement_policies.Candidate]] = {}
    for server in servers:
        by_domain.setdefault(server.failure_domain, []).append(server)
    replica_groups = []
    leftover: list[placement_policies.Candidate] = []
    for _, members in sorted(by_domain.items()):
        if _layer_capacity(engine, members) >= engine.layers:
            replica_groups.append(members)
        else:
            leftover.extend(members)
    if leftover and (
        not replica_groups or _layer_capacity(engine, leftover) > 0
    ):
        replica_groups.append(leftover)
    return replica_groups


def _layer_capacity(
    engine: configuration.Engine,
    servers: Sequence[placement_policies.Candidate],
) -> int:
    min_tokens = placement_policies.min_capacity_tokens(engine)
    return sum(
        placement_policies.layers_with_capacity(
            engine, s.accelerator, min_tokens
        )
        for s in servers
    )


def _plan_group(
    engine: configuration.Engine,
    group: Sequence[placement_policies.Candidate],
    policy: placement_policies.Policy,
) -> list[Placement]:
    held = [c.layers for c in group if c.layers is not None]
    if not held and min(c.known_s for c in group) < JOIN_QUIET_PERIOD_S:
        return []
    gaps = layer_range.gaps(engine.all_layers(), held)
    free = [c for c in group if c.layers is None and c.movable]
    if not gaps:
        return _reinforce(engine, group, free)
    orders = _close_gaps(engine, gaps, free, policy, reason="gap")
    gaps = _remaining_gaps(gaps, orders)
    spare = _redundant_holders(group)
    moved = _close_gaps(engine, gaps, spare, policy, reason="gap, moved")
    gaps = _remaining_gaps(gaps, moved)
    taken = {order.server_id for order in (*orders, *moved)}
    extended = _extend_neighbours(engine, gaps, group, taken)
    return [*orders, *moved, *extended]


def _remaining_gaps(
    gaps: Sequence[layer_range.LayerRange], orders: Sequence[Placement]
) -> list[layer_range.LayerRange]:
    closed = [order.layers for order in orders]
    return [part for gap in gaps for part in layer_range.gaps(gap, closed)]


def _close_gaps(
    engine: configuration.Engine,
    gaps: Sequence[layer_range.LayerRange],
    free: Sequence[placement_policies.Candidate],
    policy: placement_policies.Policy,
    *,
    reason: str,
) -> list[Placement]:
    """Distributes the gaps over free backend servers."""
    if not gaps or not free:
        return []
    wanted = sum(len(gap) for gap in gaps)
    pending = policy.share(engine, free, wanted)
    orders = []
    for gap in sorted(gaps, key=len, reverse=True):
        first = gap.first
        while first < gap.end and pending:
            candidate, count = pending.pop(0)
            end = min(first + count, gap.end)
            orders.append(
                Placement(
                    server_id=candidate.server_id,
                    layers=layer_range.LayerRange(first, end),
                    reason=reason,
                )
            )
            first = end
    return orders


def _redundant_holders(
    group: Sequence[placement_policies.Candidate],
) -> list[placement_policies.Candidate]:
    """Returns the holders whose layers the rest of the group holds as well.

    They are removed one at a time, so that of two holders that cover each other
    one is kept.
    """
    holders = [c for c in group if c.layers is not None]
    coverage = layer_coverage.LayerCoverage(c.layers for c in holders)
    slowest_first = sorted(
        (c for c in holders if c.movable),
        key=lambda c: -c.accelerator.step_factor,
    )
    return [c for c in slowest_first if coverage.remove_if_redundant(c.layers)]


def _extend_neighbours(
    engine: configuration.Engine,
    gaps: Sequence[layer_range.LayerRange],
    group: Sequence[placement_policies.Candidate],
    taken: set[str],
) -> list[Placement]:
    """Extends the ranges next to a gap over it, as far as memory allows."""
    orders = []
    for gap in gaps:
        first, end = gap.first, gap.end
        for candidate in group:
            held = candidate.layers
            if held is None or not candidate.movable:
                continue
            if candidate.server_id in taken or first >= end:
                continue
            most = placement_policies.layers_with_capacity(
                engine,
                candidate.accelerator,
                placement_policies.min_capacity_tokens(engine),
            )
            spare = min(most - len(held), end - first)
            if spare <= 0:
                continue
            if held.end == first:
                wanted = layer_range.LayerRange(held.first, first + spare)
                first += spare
            elif held.first == end:
                wanted = layer_range.LayerRange(end - spare, held.end)
                end -= spare
            else:
                continue
            taken.add(candidate.server_id)
            orders.append(
                Placement(
                    server_id=candidate.server_id,
                    layers=wanted,
                    reason="gap, stretched",
                )
            )
    return orders


def _reinforce(
    engine: configuration.Engine,
    group: Sequence[placement_policies.Candidate],
    free: Sequence[placement_policies.Candidate],
) -> list[Placement]:
    """Places free backend servers to speed up, double or add capacity."""
    if not free:
        return []
    held = held_layers.HeldLayers(engine, (c for c in group if c.layers))
    orders = []
    idle = []
    for candidate in sorted(free, key=lambda c: c.accelerator.step_factor):
        layers = _most_beneficial_range(engine, held, candidate)
        if layers is None:
            idle.append(candidate)
            continue
        orders.append(_order(candidate, layers, reason="reinforcement"))
        held.add(layers, candidate.accelerator)
    for candidate in idle[RESERVE_SERVERS:]:
        layers = _range_with_least_capacity(engine, held, candidate)
        if layers is None:
            continue
        orders.append(_order(candidate, layers, reason="more room"))
        held.add(layers, candidate.accelerator)
    return orders


def _order(
    candidate: placement_policies.Candidate,
    layers: layer_range.LayerRange,
    *,
    reason: str,
) -> Placement:
    return Placement(
        server_id=candidate.server_id, layers=layers, reason=reason
    )


def _most_beneficial_range(
    engine: configuration.Engine,
    held: held_layers.HeldLayers,
    candidate: placement_policies.Candidate,
) -> layer_range.LayerRange | None:
    size = _usual_size(engine, held, candidate)
    if size <= 0:
        return None
    benefit = [
        _layer_benefit(engine, layer, held, candidate)
        for layer in range(engine.layers)
    ]
    starts = range(engine.layers - size + 1)
    best = max(starts, key=lambda start: sum(benefit[start : start + size]))
    if sum(benefit[best : best + size]) <= 0:
        return None
    return layer_range.LayerRange(best, best + size)


def _range_with_least_capacity(
    engine: configuration.Engine,
    held: held_layers.HeldLayers,
    candidate: placement_policies.Candidate,
) -> layer_range.LayerRange | None:
    """Returns the range whose holders together have the least capacity."""
    size = _usual_size(engine, held, candidate)
    if size <= 0:
        return None
    tokens = held.capacity_tokens
    starts = range(engine.layers - size + 1)
    first = min(starts, key=lambda start: sum(tokens[start : start + size]))
    return layer_range.LayerRange(first, first + size)


def _usual_size(
    engine: configuration.Engine,
    held: held_layers.HeldLayers,
    candidate: placement_policies.Candidate,
) -> int:
    """Returns how many layers leave as much memory as holders usually have."""
    usual_tokens = max(
        held.median_capacity_tokens,
        placement_policies.min_capacity_tokens(engine),
    )
    return placement_policies.layers_with_capacity(
        engine, candidate.accelerator, usual_tokens
    )


def _layer_benefit(
    engine: configuration.Engine,
    layer: int,
    held: held_layers.HeldLayers,
    candidate: placement_policies.Candidate,
) -> float:
    if not held.count(layer):
        return REDUNDANCY_BENEFIT
    faster = max(0.0, held.fastest(layer) - candidate.accelerator.step_factor)
    share = held.single_holder_size(layer) / engine.layers
    return faster + REDUNDANCY_BENEFIT * share
