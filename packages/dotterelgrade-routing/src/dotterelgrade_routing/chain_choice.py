"""Search for chains of backend servers that run every layer once, in order.

Load pattern: backend servers of unequal speed and memory hold overlapping
layer ranges, some are slow or full, and links between failure domains have
little bandwidth. A chain stays in one failure domain where possible. It may use
a part of a range, so that another domain can replace a lost backend server.
"""

import bisect
from collections.abc import Iterable, Sequence
import dataclasses
import functools

from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range

# Time to forward a token to the next stage in the same failure domain.
HOP_COST_S = 0.0004
# Time to forward it to another failure domain, with its share of the link.
CROSSING_COST_S = 0.004
# Penalty for a stage outside the preferred failure domain.
OTHER_DOMAIN_COST_S = 0.002
# Weight of a stage's projected utilization in its cost.
UTILIZATION_WEIGHT = 3.0
# Further requests that a stage is expected to get, so that one with little
# memory is avoided before it is full.
EXPECTED_REQUESTS = 8.0
# If every chain of a failure domain has a stage above this projected
# utilization, chains over several domains are offered too.
HIGH_UTILIZATION = 0.8
MAX_CHAINS_PER_DOMAIN = 3
# Above this utilization a stage is used only if no other one holds its layers.
FULL_UTILIZATION = 0.9
FULL_STAGE_COST_S = 0.05
MAX_STAGES = 32


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stage:
    """One backend server's part of a chain.

    Attributes:
        server_id: The backend server.
        address: `IP:PORT`.
        failure_domain: Its failure domain.
        layers: The layers that it runs for this chain.
    """

    server_id: str
    address: str
    failure_domain: str
    layers: layer_range.LayerRange


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chain:
    """Stages that together run all layers.

    Attributes:
        stages: In order of their layers.
        step_s: Predicted duration of one token, s.
    """

    stages: tuple[Stage, ...]
    step_s: float

    @property
    def first(self) -> Stage:
        """The stage that receives the requests."""
        return self.stages[0]

    @functools.cached_property
    def addresses(self) -> frozenset[str]:
        """`IP:PORT` of all stages."""
        return frozenset(stage.address for stage in self.stages)

    @property
    def crossings(self) -> int:
        """Number of hops to another failure domain."""
        pairs = zip(self.stages, self.stages[1:], strict=False)
        return sum(a.failure_domain != b.failure_domain for a, b in pairs)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Holder:
    """A backend server that may be a stage.

    Attributes:
        server_id: The backend server.
        address: `IP:PORT`.
        failure_domain: Its failure domain.
        layers: Layers that it holds.
        layer_s: Duration of one token in one layer, s.
        total: Memory for requests, tokens times layers.
        used: Reserved memory, tokens times layers.
        expected: Memory that further requests will need, tokens times layers.
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
    def utilization(self) -> float:
        """Reserved share of its memory."""
        return self.used / self.total if self.total > 0 else 1.0

    @property
    def projected_utilization(self) -> float:
        """Share of its memory that is reserved or expected to be."""
        return (self.used + self.expected) / max(self.total, 1.0)

    @property
    def layer_cost_s(self) -> float:
        """Cost of one token in one layer, s."""
        return self.layer_s * (
            1.0 + UTILIZATION_WEIGHT * self.projected_utilization**2
        )


@dataclasses.dataclass(frozen=True)
class _PartialChain:
    """The cheapest known sequence of stages up to a layer.

    Attributes:
        cost: Cost of all stages so far, s per token.
        parts: Holders with the first and the end of their layers.
    """

    cost: float
    parts: tuple[tuple[Holder, int, int], ...]

    def uses(self, holder: Holder) -> bool:
        """Returns whether a holder is a stage already."""
        return any(part[0] is holder for part in self.parts)


def candidates(
    engine: configuration.Engine, holders: Sequence[Holder]
) -> list[Chain]:
    """Returns the chains that a request may take.

    For each failure domain these are the cheapest chain, and alternatives over
    other backend servers where layers are held more than once. Chains over
    several domains are searched only if a domain lacks a layer or is nearly
    full, so that the time of the search mostly grows with the largest domain
    and not with the fleet.

    Args:
        engine: Parameters of the model.
        holders: Backend servers that may be used.

    Returns:
        Distinct chains; empty if a layer is held by no backend server.
    """
    found: list[Chain] = []
    full_domain = ""
    for domain in sorted({h.failure_domain for h in holders}):
        local = [h for h in holders if h.failure_domain == domain]
        chains = _alternatives(engine, local, domain)
        found += chains or _cheapest_if_any(engine, holders, domain)
        if chains and _all_nearly_full(chains, local):
            full_domain = full_domain or domain
    if full_domain:
        # One search over the fleet takes as long as those of all domains.
        found += _cheapest_if_any(engine, holders, full_domain)
    return list({chain.stages: chain for chain in found}.values())


def _cheapest_if_any(
    engine: configuration.Engine, holders: Sequence[Holder], domain: str
) -> list[Chain]:
    """Returns the cheapest chain over all domains, or an empty list."""
    chain = cheapest(engine, holders, preferred_domain=domain)
    return [] if chain is None else [chain]


def _all_nearly_full(
    chains: Sequence[Chain], holders: Sequence[Holder]
) -> bool:
    """Returns whether each of the chains has a nearly full stage."""
    projected = {h.server_id: h.projected_utilization for h in holders}
    return all(
        max(projected[stage.server_id] for stage in chain.stages)
        > HIGH_UTILIZATION
        for chain in chains
    )


def _alternatives(
    engine: configuration.Engine, holders: Sequence[Holder], domain: str
) -> list[Chain]:
    """Returns the cheapest chain and alternatives that avoid its stages."""
    chains: list[Chain] = []
    remaining = list(holders)
    while len(chains) < MAX_CHAINS_PER_DOMAIN:
        chain = cheapest(engine, remaining, preferred_domain=domain)
        if chain is None:
            break
        chains.append(chain)
        others = _without_stages(chain, remaining)
        if len(others) == len(remaining):
            break
        remaining = others
    return chains


def _without_stages(chain: Chain, holders: Sequence[Holder]) -> list[Holder]:
    """Removes the stages of a chain whose layers are also held elsewhere."""
    remaining = list(holders)
    used = {stage.server_id for stage in chain.stages}
    for holder in holders:
        if holder.server_id not in used:
            continue
        rest = [other for other in remaining if other is not holder]
        if not layer_range.gaps(holder.layers, [h.layers for h in rest]):
            remaining = rest
    return remaining


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
        engine: Parameters of the model.
        holders: Backend servers that may be used.
        preferred_domain: Stages in other failure domains cost more.

    Returns:
        The chain, or None if a layer is held by no backend server.
    """
    boundaries = _layer_boundaries(engine, holders)
    starts = sorted({holder.layers.first for holder in holders})
    partials: dict[int, dict[str, _PartialChain]] = {
        0: {"": _PartialChain(0.0, ())}
    }
    for position in boundaries:
        reached = partials.pop(position, {})
        if reached and position == engine.layers:
            return _to_chain(
                min(reached.values(), key=lambda partial: partial.cost)
            )
        for holder in holders:
            if reached and holder.layers.first <= position < holder.layers.end:
                partial = _with_hop(reached, holder, preferred_domain)
                _extend(partials, partial, holder, position, starts)
    return None


def _layer_boundaries(
    engine: configuration.Engine, holders: Iterable[Holder]
) -> list[int]:
    boundaries = {0, engine.layers}
    for holder in holders:
        boundaries.add(min(holder.layers.first, engine.layers))
        boundaries.add(min(holder.layers.end, engine.layers))
    return sorted(boundaries)


def _with_hop(
    reached: dict[str, _PartialChain], holder: Holder, preferred_domain: str
) -> _PartialChain | None:
    """Returns the cheapest partial chain with the cost of a hop to a holder."""
    hop_cost_s = HOP_COST_S
    if holder.failure_domain != preferred_domain:
        hop_cost_s += OTHER_DOMAIN_COST_S
    if holder.utilization > FULL_UTILIZATION:
        hop_cost_s += FULL_STAGE_COST_S
    best = None
    for domain, partial in reached.items():
        cost = partial.cost + hop_cost_s
        if domain and domain != holder.failure_domain:
            cost += CROSSING_COST_S
        if (best is None or cost < best.cost) and not partial.uses(holder):
            best = _PartialChain(cost, partial.parts)
    return best


def _extend(
    partials: dict[int, dict[str, _PartialChain]],
    partial: _PartialChain | None,
    holder: Holder,
    position: int,
    starts: list[int],
) -> None:
    """Extends a partial chain to each layer where the holder may change.

    Since costs are per layer, the best change is at the first layer of a
    cheaper holder or at the end of this one.
    """
    if partial is None or len(partial.parts) >= MAX_STAGES:
        return
    layer_cost = holder.layer_cost_s
    last = holder.layers.end
    next_start = bisect.bisect_right(starts, position)
    ends = starts[next_start : bisect.bisect_left(starts, last)]
    for end in (*ends, last):
        cost = partial.cost + (end - position) * layer_cost
        reached = partials.setdefault(end, {})
        known = reached.get(holder.failure_domain)
        if known is None or cost < known.cost:
            parts = (*partial.parts, (holder, position, end))
            reached[holder.failure_domain] = _PartialChain(cost, parts)


def _to_chain(partial: _PartialChain) -> Chain:
    stages = tuple(
        Stage(
            server_id=holder.server_id,
            address=holder.address,
            failure_domain=holder.failure_domain,
            layers=layer_range.LayerRange(first, end),
        )
        for holder, first, end in partial.parts
    )
    step_s = sum(h.layer_s * (end - first) for h, first, end in partial.parts)
    chain = Chain(stages=stages, step_s=step_s)
    return dataclasses.replace(
        chain,
        step_s=step_s
        + HOP_COST_S * len(stages)
        + CROSSING_COST_S * chain.crossings,
    )
