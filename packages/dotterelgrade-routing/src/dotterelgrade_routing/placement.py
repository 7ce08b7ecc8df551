"""Which layers each backend server should hold.

Load pattern: all backend servers start empty at once, single ones crash and
come back empty, leave for good or join. Every failure domain that can holds a
whole replica; what is lost is loaded again on backend servers that are free,
and what is held already moves only to close a gap.
"""

from collections.abc import Callable, Sequence
import dataclasses
from typing import Protocol

from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range

# A stage must hold at least so many usual requests, however short of memory.
LEAST_REQUESTS = 16.0
# Candidate rooms are tried as multiples of the least one, in this ratio.
ROOM_RATIO = 1.15
ROOM_STEPS = 48
# Room for more usual requests than this is not sought. A chain of many small
# stages has it, but each further stage slows every token and can fail as well;
# free servers that double what is held give room and safety.
ENOUGH_REQUESTS = 80.0
# The list shows backend servers that start together within about two seconds;
# a group without any layer waits until no further one has joined for so long.
FORMING_QUIET_S = 0.8
# Worth of a second holder of a layer, in step factors, if the first one holds
# the whole model; the more a backend server holds, the longer its loss lasts.
REDUNDANCY_WORTH = 32.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A backend server as the planner sees it.

    Attributes:
        server_id: The backend server.
        failure_domain: Where it runs.
        accelerator: Figures of its kind.
        layers: Layers that it holds, or will hold once its order is done.
        movable: Whether it can take an order now.
        known_s: How long it has been in the list, s.
    """

    server_id: str
    failure_domain: str
    accelerator: configuration.Accelerator
    layers: layer_range.LayerRange | None
    movable: bool
    known_s: float = float("inf")


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


class Policy(Protocol):
    """Shares layers out among backend servers that are free."""

    def share(
        self,
        engine: configuration.Engine,
        free: Sequence[Candidate],
        layers: int,
    ) -> list[tuple[Candidate, int]]:
        """Returns how many layers each backend server takes.

        Args:
            engine: Figures of the model.
            free: Backend servers that can take an order.
            layers: How many layers are to be held.
        """


_POLICIES: dict[str, Policy] = {}


def policy(name: str) -> Callable[[type], type]:
    """Registers a policy under its name in the settings."""

    def register(cls: type) -> type:
        _POLICIES[name] = cls()
        return cls

    return register


def policies() -> list[str]:
    """Returns the names of the registered policies."""
    return sorted(_POLICIES)


def make_policy(name: str) -> Policy:
    """Returns a registered policy.

    Args:
        name: Its name.

    Raises:
        ValueError: No policy has that name.
    """
    if name not in _POLICIES:
        expected = ", ".join(policies())
        raise ValueError(f"placement: expected one of {expected}")
    return _POLICIES[name]


@policy("even")
class EvenPolicy:
    """Gives every backend server the same number of layers, as a baseline."""

    def share(
        self,
        engine: configuration.Engine,
        free: Sequence[Candidate],
        layers: int,
    ) -> list[tuple[Candidate, int]]:
        """Returns how many layers each takes; see `Policy.share`."""
        shares = []
        left = layers
        for index, candidate in enumerate(free):
            wanted = -(-left // (len(free) - index))
            count = min(wanted, engine.most_layers(candidate.accelerator))
            shares.append((candidate, count))
            left -= count
        return [(c, count) for c, count in shares if count]


@policy("balanced")
class BalancedPolicy:
    """Weighs room for requests against the speed of the chain.

    For each room that every stage could offer, the fastest backend servers
    are filled first; the room with the most requests a second wins. Only rooms
    that leave a replica possible after the loss of the largest backend server
    count, so that the slower ones stay free to double its layers.
    """

    def share(
        self,
        engine: configuration.Engine,
        free: Sequence[Candidate],
        layers: int,
    ) -> list[tuple[Candidate, int]]:
        """Returns how many layers each takes; see `Policy.share`."""
        least = least_room_tokens(engine)
        enough = ENOUGH_REQUESTS * engine.usual_tokens
        best: list[tuple[Candidate, int]] = []
        best_worth = 0.0
        for step in range(ROOM_STEPS):
            room = least * ROOM_RATIO**step
            if best and not _survives_loss(engine, free, layers, room):
                break
            shares = _fill_fastest(engine, free, layers, room)
            worth = min(room, enough) / _token_s(engine, shares)
            if worth > best_worth:
                best, best_worth = shares, worth
        return best


def least_room_tokens(engine: configuration.Engine) -> float:
    """Returns the fewest tokens that a stage must have room for."""
    return LEAST_REQUESTS * engine.usual_tokens


def layers_with_room(
    engine: configuration.Engine,
    kind: configuration.Accelerator,
    room_tokens: float,
) -> int:
    """Returns the most layers that leave room for so many tokens."""
    one_mb = engine.layer_mb + room_tokens * engine.token_layer_bytes / 1e6
    return min(engine.most_layers(kind), int(kind.memory_mb // one_mb))


def plan(
    engine: configuration.Engine,
    servers: Sequence[Candidate],
    *,
    shares: Policy,
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


def groups(
    engine: configuration.Engine, servers: Sequence[Candidate]
) -> list[list[Candidate]]:
    """Returns sets of backend servers that each can hold a whole replica.

    Failure domains that can't do so alone are put together.
    """
    by_domain: dict[str, list[Candidate]] = {}
    for server in servers:
        by_domain.setdefault(server.failure_domain, []).append(server)
    alone = []
    together: list[Candidate] = []
    for _, members in sorted(by_domain.items()):
        if _capacity(engine, members) >= engine.layers:
            alone.append(members)
        else:
            together.extend(members)
    if together and (not alone or _capacity(engine, together) > 0):
        alone.append(together)
    return alone


def _capacity(
    engine: configuration.Engine, servers: Sequence[Candidate]
) -> int:
    room = least_room_tokens(engine)
    return sum(layers_with_room(engine, s.accelerator, room) for s in servers)


def _fill_fastest(
    engine: configuration.Engine,
    free: Sequence[Candidate],
    layers: int,
    room: float,
) -> list[tuple[Candidate, int]]:
    shares = []
    left = layers
    fastest_first = sorted(
        free, key=lambda c: (c.accelerator.step_factor, c.server_id)
    )
    for candidate in fastest_first:
        count = layers_with_room(engine, candidate.accelerator, room)
        count = min(count, left)
        if count:
            shares.append((candidate, count))
            left -= count
    return shares


def _survives_loss(
    engine: configuration.Engine,
    free: Sequence[Candidate],
    layers: int,
    room: float,
) -> bool:
    """Returns whether the layers fit without the largest backend server."""
    counts = [layers_with_room(engine, c.accelerator, room) for c in free]
    return sum(counts) - max(counts, default=0) >= layers


def _token_s(
    engine: configuration.Engine, shares: Sequence[tuple[Candidate, int]]
) -> float:
    """Returns the duration of one token on a chain of these shares, s."""
    total = sum(count * c.accelerator.step_factor for c, count in shares)
    compute_s = total * engine.step_s / engine.layers
    return compute_s + chain_choice.HOP_S * len(shares) + 1e-9


def _plan_group(
    engine: configuration.Engine,
    group: Sequence[Candidate],
    shares: Policy,
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
    free: Sequence[Candidate],
    shares: Policy,
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
    group: Sequence[Candidate],
) -> list[Candidate]:
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
    group: Sequence[Candidate],
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
            most = layers_with_room(
                engine, candidate.accelerator, least_room_tokens(engine)
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
    group: Sequence[Candidate],
    free: Sequence[Candidate],
) -> list[Placement]:
    """Places free backend servers where they speed up or double layers."""
    holders = [c for c in group if c.layers is not None]
    orders = []
    for candidate in sorted(free, key=lambda c: c.accelerator.step_factor):
        layers = _most_useful(engine, holders, candidate)
        if layers is None:
            continue
        orders.append(
            Placement(
                server_id=candidate.server_id,
                layers=layers,
                reason="reinforcement",
            )
        )
        holders.append(dataclasses.replace(candidate, layers=layers))
    return orders


def _most_useful(
    engine: configuration.Engine,
    holders: Sequence[Candidate],
    candidate: Candidate,
) -> layer_range.LayerRange | None:
    usual_room = _median_room(engine, holders)
    size = layers_with_room(engine, candidate.accelerator, usual_room)
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


def _median_room(
    engine: configuration.Engine, holders: Sequence[Candidate]
) -> float:
    rooms = sorted(
        engine.room_tokens(c.accelerator, len(c.layers)) for c in holders
    )
    least = least_room_tokens(engine)
    return max(rooms[len(rooms) // 2], least) if rooms else least


def _layer_worth(
    engine: configuration.Engine,
    layer: int,
    holders: Sequence[Candidate],
    candidate: Candidate,
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
