"""Which layers each backend server should hold.

Load pattern: all backend servers start empty at once, single ones crash and
come back empty, leave for good or join. Every failure domain that can holds a
whole replica, then each layer twice; what is free beyond a reserve adds room
where there is least. What is lost is loaded again on backend servers that are
free, and what is held already moves only to close a gap.
"""

from collections.abc import Collection, Sequence
import dataclasses

from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import placement_policies

# The list shows backend servers that start together within about three seconds;
# a group without any layer waits until no further one has joined for so long.
FORMING_QUIET_S = 1.6
# Worth of a second holder of a layer, in step factors, if the first one holds
# the whole model; the more a backend server holds, the longer its loss lasts.
REDUNDANCY_WORTH = 32.0
# Backend servers of a group that stay empty, to take what others lose.
RESERVE = 2

# Refusals by more than this share of a group have a common cause, such as the
# load of callers; then all stay in the plan.
MOST_REFUSING = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """An order to hold a range.

    Attributes:
        server_id: The backend server.
        layers: What it shall hold.
        reason: Why, in one clause.
    """

    server_id: str
    layers: layer_range.LayerRange
    reason: str


def plan(
    engine: configuration.Engine,
    servers: Sequence[placement_policies.Candidate],
    *,
    shares: placement_policies.Policy,
) -> list[Placement]:
    """Returns the orders that bring the fleet closer to whole replicas.

    Args:
        engine: Figures of the model.
        servers: Every backend server that is alive and stays.
        shares: How layers are shared out.

    Returns:
        Orders for different backend servers; empty when nothing is to do.
    """
    orders: list[Placement] = []
    for group in groups(engine, servers):
        orders.extend(_plan_group(engine, group, shares))
    return orders


def staying(
    servers: Sequence[placement_policies.Candidate],
    *,
    refusing: Collection[str],
) -> list[placement_policies.Candidate]:
    """Returns the backend servers to plan with.

    Args:
        servers: Every backend server that is alive and says that it stays.
        refusing: Those that refuse requests without a reason of their own.
    """
    rest = [s for s in servers if s.server_id not in refusing]
    if len(servers) - len(rest) > MOST_REFUSING * len(servers):
        return list(servers)
    return rest


def groups(
    engine: configuration.Engine,
    servers: Sequence[placement_policies.Candidate],
) -> list[list[placement_policies.Candidate]]:
    """Returns sets of backend servers that each can hold a whole replica.

    Failure domains that can't do so alone are put together.
    """
    by_domain: dict[str, list[placement_policies.Candidate]] = {}
    for server in servers:
        by_domain.setdefault(server.failure_domain, []).append(server)
    alone = []
    together: list[placement_policies.Candidate] = []
    for _, members in sorted(by_domain.items()):
        if _capacity(engine, members) >= engine.layers:
            alone.append(members)
        else:
            together.extend(members)
    if together and (not alone or _capacity(engine, together) > 0):
        alone.append(together)
    return alone


def _capacity(
    engine: configuration.Engine,
    servers: Sequence[placement_policies.Candidate],
) -> int:
    room = placement_policies.least_room_tokens(engine)
    return sum(
        placement_policies.layers_with_room(engine, s.accelerator, room)
        for s in servers
    )


def _plan_group(
    engine: configuration.Engine,
    group: Sequence[placement_policies.Candidate],
    shares: placement_policies.Policy,
) -> list[Placement]:
    held = [c.layers for c in group if c.layers is not None]
    if not held and min(c.known_s for c in group) < FORMING_QUIET_S:
        return []
    gaps = layer_range.gaps(engine.whole(), held)
    free = [c for c in group if c.layers is None and c.movable]
    if not gaps:
        return _reinforce(engine, group, free)
    orders = _close_gaps(engine, gaps, free, shares, reason="gap")
    gaps = _still_open(gaps, orders)
    spare = _expendable(group)
    moved = _close_gaps(engine, gaps, spare, shares, reason="gap, moved")
    gaps = _still_open(gaps, moved)
    taken = {order.server_id for order in (*orders, *moved)}
    stretched = _stretch(engine, gaps, group, taken)
    return [*orders, *moved, *stretched]


def _still_open(
    gaps: Sequence[layer_range.LayerRange], orders: Sequence[Placement]
) -> list[layer_range.LayerRange]:
    closed = [order.layers for order in orders]
    return [part for gap in gaps for part in layer_range.gaps(gap, closed)]


def _close_gaps(
    engine: configuration.Engine,
    gaps: Sequence[layer_range.LayerRange],
    free: Sequence[placement_policies.Candidate],
    shares: placement_policies.Policy,
    *,
    reason: str,
) -> list[Placement]:
    """Lays the shares of free backend servers along the gaps."""
    if not gaps or not free:
        return []
    wanted = sum(len(gap) for gap in gaps)
    waiting = shares.share(engine, free, wanted)
    orders = []
    for gap in sorted(gaps, key=len, reverse=True):
        first = gap.first
        while first < gap.end and waiting:
            candidate, count = waiting.pop(0)
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


def _expendable(
    group: Sequence[placement_policies.Candidate],
) -> list[placement_policies.Candidate]:
    """Returns those whose layers the rest of the group holds as well.

    One is taken at a time, so that two that cover each other don't both go.
    """
    kept = [c for c in group if c.layers is not None]
    spare = []
    slowest_first = sorted(
        (c for c in kept if c.movable),
        key=lambda c: -c.accelerator.step_factor,
    )
    for candidate in slowest_first:
        rest = [c.layers for c in kept if c is not candidate]
        if not layer_range.gaps(candidate.layers, rest):
            kept.remove(candidate)
            spare.append(candidate)
    return spare


def _stretch(
    engine: configuration.Engine,
    gaps: Sequence[layer_range.LayerRange],
    group: Sequence[placement_policies.Candidate],
    taken: set[str],
) -> list[Placement]:
    """Lets the neighbours of a gap take it over, as far as memory goes."""
    orders = []
    for gap in gaps:
        first, end = gap.first, gap.end
        for candidate in group:
            held = candidate.layers
            if held is None or not candidate.movable:
                continue
            if candidate.server_id in taken or first >= end:
                continue
            most = placement_policies.layers_with_room(
                engine,
                candidate.accelerator,
                placement_policies.least_room_tokens(engine),
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
    """Places free backend servers where they speed up or double layers."""
    holders = [c for c in group if c.layers is not None]
    orders = []
    idle = []
    for candidate in sorted(free, key=lambda c: c.accelerator.step_factor):
        layers = _most_useful(engine, holders, candidate)
        if layers is None:
            idle.append(candidate)
            continue
        orders.append(_placed(candidate, layers, reason="reinforcement"))
        holders.append(dataclasses.replace(candidate, layers=layers))
    for candidate in idle[RESERVE:]:
        layers = _with_least_room(engine, holders, candidate)
        if layers is None:
            continue
        orders.append(_placed(candidate, layers, reason="more room"))
        holders.append(dataclasses.replace(candidate, layers=layers))
    return orders


def _placed(
    candidate: placement_policies.Candidate,
    layers: layer_range.LayerRange,
    *,
    reason: str,
) -> Placement:
    return Placement(
        server_id=candidate.server_id, layers=layers, reason=reason
    )


def _most_useful(
    engine: configuration.Engine,
    holders: Sequence[placement_policies.Candidate],
    candidate: placement_policies.Candidate,
) -> layer_range.LayerRange | None:
    usual_room = _median_room(engine, holders)
    size = placement_policies.layers_with_room(
        engine, candidate.accelerator, usual_room
    )
    if size <= 0:
        return None
    worth = [
        _layer_worth(engine, layer, holders, candidate)
        for layer in range(engine.layers)
    ]
    starts = range(engine.layers - size + 1)
    best = max(starts, key=lambda start: sum(worth[start : start + size]))
    if sum(worth[best : best + size]) <= 0:
        return None
    return layer_range.LayerRange(best, best + size)


def _with_least_room(
    engine: configuration.Engine,
    holders: Sequence[placement_policies.Candidate],
    candidate: placement_policies.Candidate,
) -> layer_range.LayerRange | None:
    """Returns the layers whose holders together have the least room."""
    size = placement_policies.layers_with_room(
        engine, candidate.accelerator, _median_room(engine, holders)
    )
    if size <= 0:
        return None
    room = [0.0] * engine.layers
    for holder in holders:
        tokens = engine.room_tokens(holder.accelerator, len(holder.layers))
        for layer in range(holder.layers.first, holder.layers.end):
            room[layer] += tokens
    starts = range(engine.layers - size + 1)
    first = min(starts, key=lambda start: sum(room[start : start + size]))
    return layer_range.LayerRange(first, first + size)


def _median_room(
    engine: configuration.Engine,
    holders: Sequence[placement_policies.Candidate],
) -> float:
    rooms = sorted(
        engine.room_tokens(c.accelerator, len(c.layers)) for c in holders
    )
    least = placement_policies.least_room_tokens(engine)
    return max(rooms[len(rooms) // 2], least) if rooms else least


def _layer_worth(
    engine: configuration.Engine,
    layer: int,
    holders: Sequence[placement_policies.Candidate],
    candidate: placement_policies.Candidate,
) -> float:
    here = [c for c in holders if c.layers.first <= layer < c.layers.end]
    if not here:
        return REDUNDANCY_WORTH
    fastest = min(c.accelerator.step_factor for c in here)
    faster = max(0.0, fastest - candidate.accelerator.step_factor)
    if len(here) > 1:
        return faster
    share = len(here[0].layers) / engine.layers
    return faster + REDUNDANCY_WORTH * share
