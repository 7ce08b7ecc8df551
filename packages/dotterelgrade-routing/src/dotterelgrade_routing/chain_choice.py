"""Chains of backend servers that run every layer once and in order.

Load pattern: backend servers of unequal speed and memory hold overlapping
ranges, some are slow or full, and links between failure domains are narrow.
A chain stays in one failure domain where it can, and uses parts of ranges so
that the loss of one backend server is patched from another domain.
"""

import bisect
from collections.abc import Iterable, Sequence
import dataclasses
import functools

from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range

# Forwarding to the next stage in the same failure domain, for each token.
HOP_S = 0.0004
# Crossing to another failure domain, its share of the narrow link included.
CROSSING_S = 0.004
# A stage outside the preferred failure domain, beside the crossing.
FOREIGN_S = 0.002
# Weight of a stage's fill in its price; full stages are avoided first.
FILL_WEIGHT = 3.0
# Requests that a stage is expected to hold beside those known, so that one
# with little room is avoided before it is full.
EXPECTED_REQUESTS = 8.0
# Beyond this pressure of its stages a domain's chains are patched by others.
PRESSED = 0.8
# Chains that are offered for each failure domain.
MOST_CHAINS = 3
# Beyond this fill a stage is used only if no other one holds its layers.
FULL = 0.9
FULL_S = 0.05
MOST_STAGES = 32


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stage:
    """One backend server's part of a chain.

    Attributes:
        server_id: The backend server.
        address: `IP:PORT`.
        failure_domain: Where it runs.
        layers: The layers that it runs for this chain.
    """

    server_id: str
    address: str
    failure_domain: str
    layers: layer_range.LayerRange


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chain:
    """Stages that run all layers.

    Attributes:
        stages: In order of their layers.
        step_s: Predicted duration of one token, s.
    """

    stages: tuple[Stage, ...]
    step_s: float

    @property
    def first(self) -> Stage:
        """The stage that requests are sent to."""
        return self.stages[0]

    @functools.cached_property
    def addresses(self) -> frozenset[str]:
        """`IP:PORT` of all stages."""
        return frozenset(stage.address for stage in self.stages)

    @property
    def crossings(self) -> int:
        """How often the chain goes to another failure domain."""
        pairs = zip(self.stages, self.stages[1:], strict=False)
        return sum(a.failure_domain != b.failure_domain for a, b in pairs)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Holder:
    """A backend server that may be a stage.

    Attributes:
        server_id: The backend server.
        address: `IP:PORT`.
        failure_domain: Where it runs.
        layers: Layers that it holds.
        layer_s: Duration of one token in one layer, s.
        total: Memory for requests, tokens times layers.
        used: Reserved memory, tokens times layers.
        expected: Memory that further requests will need, likewise.
    """

    server_id: str
    address: str
    failure_domain: str
    layers: layer_range.LayerRange
    layer_s: float
    total: float
    used: float
    expected: float = 0.0

    @property
    def fill(self) -> float:
        """Reserved share of its memory."""
        return self.used / self.total if self.total > 0 else 1.0

    @property
    def pressure(self) -> float:
        """Share of its memory that is reserved or will be."""
        return (self.used + self.expected) / max(self.total, 1.0)

    @property
    def layer_price_s(self) -> float:
        """Price of one token in one layer, s."""
        return self.layer_s * (1.0 + FILL_WEIGHT * self.pressure**2)


@dataclasses.dataclass(frozen=True)
class _Way:
    """The cheapest known way to reach a layer.

    Attributes:
        price: Price of all parts so far, s for each token.
        parts: Holders with the first and the end of their layers.
    """

    price: float
    parts: tuple[tuple[Holder, int, int], ...]

    def uses(self, holder: Holder) -> bool:
        """Returns whether a holder is a part already."""
        return any(part[0] is holder for part in self.parts)


def candidates(
    engine: configuration.Engine, holders: Sequence[Holder]
) -> list[Chain]:
    """Returns the chains that a request may choose from.

    For each failure domain these are the cheapest chain, and further ones over
    other backend servers where layers are held more than once. A domain is
    left only if it lacks a layer or is under pressure, so that the search
    mostly grows with the largest domain and not with the fleet.

    Args:
        engine: Figures of the model.
        holders: Backend servers that may be used.

    Returns:
        Different chains; empty if the layers are not all held.
    """
    found: list[Chain] = []
    pressed = ""
    for domain in sorted({h.failure_domain for h in holders}):
        local = [h for h in holders if h.failure_domain == domain]
        chains = _several(engine, local, domain)
        found += chains or _one(engine, holders, domain)
        if chains and _pressed(chains, local):
            pressed = pressed or domain
    if pressed:
        # One search over the fleet takes as long as those of all domains.
        found += _one(engine, holders, pressed)
    return list({chain.stages: chain for chain in found}.values())


def _one(
    engine: configuration.Engine, holders: Sequence[Holder], domain: str
) -> list[Chain]:
    """Returns the cheapest chain over all domains, if there is any."""
    chain = cheapest(engine, holders, preferred_domain=domain)
    return [] if chain is None else [chain]


def _pressed(chains: Sequence[Chain], holders: Sequence[Holder]) -> bool:
    """Returns whether each of the chains has a stage under pressure."""
    pressure = {holder.server_id: holder.pressure for holder in holders}
    return all(
        max(pressure[stage.server_id] for stage in chain.stages) > PRESSED
        for chain in chains
    )


def _several(
    engine: configuration.Engine, holders: Sequence[Holder], domain: str
) -> list[Chain]:
    """Returns the cheapest chain, then the cheapest ones around its stages."""
    chains: list[Chain] = []
    left = list(holders)
    while len(chains) < MOST_CHAINS:
        chain = cheapest(engine, left, preferred_domain=domain)
        if chain is None:
            break
        chains.append(chain)
        around = _around(chain, left)
        if len(around) == len(left):
            break
        left = around
    return chains


def _around(chain: Chain, holders: Sequence[Holder]) -> list[Holder]:
    """Leaves out the stages of a chain whose layers others hold as well."""
    left = list(holders)
    used = {stage.server_id for stage in chain.stages}
    for holder in holders:
        if holder.server_id not in used:
            continue
        rest = [other for other in left if other is not holder]
        if not layer_range.gaps(holder.layers, [h.layers for h in rest]):
            left = rest
    return left


def cheapest(
    engine: configuration.Engine,
    holders: Sequence[Holder],
    *,
    preferred_domain: str,
) -> Chain | None:
    """Returns the cheapest chain that prefers a failure domain.

    A dynamic program over layer boundaries, with the failure domain of the
    last stage as its state.

    Args:
        engine: Figures of the model.
        holders: Backend servers that may be used.
        preferred_domain: Stages elsewhere cost more.

    Returns:
        The chain, or None if a layer is held by nobody.
    """
    bounds = _bounds(engine, holders)
    starts = sorted({holder.layers.first for holder in holders})
    ways: dict[int, dict[str, _Way]] = {0: {"": _Way(0.0, ())}}
    for position in bounds:
        reached = ways.pop(position, {})
        if reached and position == engine.layers:
            return _chain(min(reached.values(), key=lambda way: way.price))
        for holder in holders:
            if reached and holder.layers.first <= position < holder.layers.end:
                way = _entered(reached, holder, preferred_domain)
                _spread(ways, way, holder, position, starts)
    return None


def _bounds(
    engine: configuration.Engine, holders: Iterable[Holder]
) -> list[int]:
    bounds = {0, engine.layers}
    for holder in holders:
        bounds.add(min(holder.layers.first, engine.layers))
        bounds.add(min(holder.layers.end, engine.layers))
    return sorted(bounds)


def _entered(
    reached: dict[str, _Way], holder: Holder, preferred_domain: str
) -> _Way | None:
    """Returns the cheapest way with the price of entering a holder."""
    extra_s = HOP_S
    if holder.failure_domain != preferred_domain:
        extra_s += FOREIGN_S
    if holder.fill > FULL:
        extra_s += FULL_S
    best = None
    for domain, way in reached.items():
        price = way.price + extra_s
        if domain and domain != holder.failure_domain:
            price += CROSSING_S
        if (best is None or price < best.price) and not way.uses(holder):
            best = _Way(price, way.parts)
    return best


def _spread(
    ways: dict[int, dict[str, _Way]],
    way: _Way | None,
    holder: Holder,
    position: int,
    starts: list[int],
) -> None:
    """Notes the way on to where another holder may take over.

    With prices for each layer, the best change is at the first layer of a
    cheaper holder or at the end of this one.
    """
    if way is None or len(way.parts) >= MOST_STAGES:
        return
    layer_price = holder.layer_price_s
    last = holder.layers.end
    here = bisect.bisect_right(starts, position)
    ends = starts[here : bisect.bisect_left(starts, last)]
    for end in (*ends, last):
        price = way.price + (end - position) * layer_price
        reached = ways.setdefault(end, {})
        known = reached.get(holder.failure_domain)
        if known is None or price < known.price:
            parts = (*way.parts, (holder, position, end))
            reached[holder.failure_domain] = _Way(price, parts)


def _chain(way: _Way) -> Chain:
    stages = tuple(
        Stage(
            server_id=holder.server_id,
            address=holder.address,
            failure_domain=holder.failure_domain,
            layers=layer_range.LayerRange(first, end),
        )
        for holder, first, end in way.parts
    )
    step_s = sum(h.layer_s * (end - first) for h, first, end in way.parts)
    chain = Chain(stages=stages, step_s=step_s)
    return dataclasses.replace(
        chain,
        step_s=step_s + HOP_S * len(stages) + CROSSING_S * chain.crossings,
    )
