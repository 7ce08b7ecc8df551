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
from dotterelgrade_routing import layer_coverage
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


@dataclasses.dataclass(frozen=True)
class _DomainRange:
    """A range of layers in a failure domain."""

    failure_domain: str
    layers: layer_range.LayerRange


@dataclasses.dataclass(frozen=True)
class _Hop:
    """A step of a token to the next stage.

    Attributes:
        failure_domain: Failure domain of the next stage.
        cost_s: Cost of the hop, s, without that of crossing to its domain.
    """

    failure_domain: str
    cost_s: float


@dataclasses.dataclass(frozen=True)
class _Option:
    """A holder with its figures for the search.

    Attributes:
        holder: The holder.
        end: Index after its last layer.
        layer_cost_s: Cost of one token in one layer, s.
    """

    holder: Holder
    end: int
    layer_cost_s: float


@dataclasses.dataclass(frozen=True)
class _OptionGroup:
    """Holders that are reached by the same hop.

    Attributes:
        hop: The hop.
        by_position: Holders of the layer at a boundary, the cheapest first.
    """

    hop: _Hop
    by_position: dict[int, list[_Option]]


def candidates(
    engine: configuration.Engine, holders: Sequence[Holder]
) -> list[Chain]:
    """Returns the chains that a request may take.

    For each failure domain these are the cheapest chain, and alternatives over
    other backend servers where layers are held more than once. Chains over
    several domains are searched only if a domain lacks a layer or is nearly
    full, and of backend servers that hold the same layers only a few are
    searched, so that the time of the search mostly grows with the distinct
    ranges of the largest domain and not with the fleet.

    Args:
        engine: Parameters of the model.
        holders: Backend servers that may be used.

    Returns:
        Distinct chains; empty if a layer is held by no backend server.
    """
    found: list[Chain] = []
    full_domain = ""
    holders = cheapest_of_each_range(holders)
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


def cheapest_of_each_range(holders: Sequence[Holder]) -> list[Holder]:
    """Leaves out holders that no chain would use.

    The alternatives of a failure domain use at most `MAX_CHAINS_PER_DOMAIN`
    of those that hold the same layers.

    Args:
        holders: Backend servers that may be used.

    Returns:
        The cheapest of each range and failure domain, in the given order.
    """
    by_range: dict[_DomainRange, list[Holder]] = {}
    for holder in holders:
        held = _DomainRange(holder.failure_domain, holder.layers)
        by_range.setdefault(held, []).append(holder)
    if max(map(len, by_range.values()), default=0) <= MAX_CHAINS_PER_DOMAIN:
        return list(holders)
    kept = {
        holder.server_id
        for same_range in by_range.values()
        for holder in sorted(same_range, key=_rank)[:MAX_CHAINS_PER_DOMAIN]
    }
    return [holder for holder in holders if holder.server_id in kept]


def _rank(holder: Holder) -> float:
    """Returns the cost of a holder beside others of the same range, s."""
    is_full = holder.utilization > FULL_UTILIZATION
    return holder.layer_cost_s + FULL_STAGE_COST_S * is_full


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
    used = {stage.server_id for stage in chain.stages}
    coverage = layer_coverage.LayerCoverage(h.layers for h in holders)
    return [
        holder
        for holder in holders
        if holder.server_id not in used
        or not coverage.remove_if_redundant(holder.layers)
    ]


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
    groups = _group_by_hop(holders, boundaries, preferred_domain)
    partials: dict[int, dict[str, _PartialChain]] = {
        0: {"": _PartialChain(0.0, ())}
    }
    for position in boundaries:
        reached = partials.pop(position, {})
        if reached and position == engine.layers:
            return _to_chain(
                min(reached.values(), key=lambda partial: partial.cost)
            )
        for domain, partial in reached.items():
            for group in groups:
                crosses = domain not in ("", group.hop.failure_domain)
                hop_cost_s = group.hop.cost_s + CROSSING_COST_S * crosses
                begun = _PartialChain(partial.cost + hop_cost_s, partial.parts)
                _extend(partials, begun, group, position, starts)
    return None


def _layer_boundaries(
    engine: configuration.Engine, holders: Iterable[Holder]
) -> list[int]:
    boundaries = {0, engine.layers}
    for holder in holders:
        boundaries.add(min(holder.layers.first, engine.layers))
        boundaries.add(min(holder.layers.end, engine.layers))
    return sorted(boundaries)


def _group_by_hop(
    holders: Iterable[Holder],
    boundaries: Sequence[int],
    preferred_domain: str,
) -> list[_OptionGroup]:
    """Groups holders by the hop to them, and lists each group by position."""
    groups: dict[_Hop, _OptionGroup] = {}
    options = [_Option(h, h.layers.end, h.layer_cost_s) for h in holders]
    for option in sorted(options, key=lambda option: option.layer_cost_s):
        hop = _hop_to(option.holder, preferred_domain)
        group = groups.setdefault(hop, _OptionGroup(hop, {}))
        first = bisect.bisect_left(boundaries, option.holder.layers.first)
        last = bisect.bisect_left(boundaries, option.end)
        for position in boundaries[first:last]:
            group.by_position.setdefault(position, []).append(option)
    return list(groups.values())


def _hop_to(holder: Holder, preferred_domain: str) -> _Hop:
    cost_s = HOP_COST_S
    if holder.failure_domain != preferred_domain:
        cost_s += OTHER_DOMAIN_COST_S
    if holder.utilization > FULL_UTILIZATION:
        cost_s += FULL_STAGE_COST_S
    return _Hop(holder.failure_domain, cost_s)


def _extend(
    partials: dict[int, dict[str, _PartialChain]],
    partial: _PartialChain,
    group: _OptionGroup,
    position: int,
    starts: list[int],
) -> None:
    """Extends a partial chain to each layer where the holder may change.

    Since costs are per layer, the best change is at the first layer of a
    cheaper holder or at the end of this one. A holder extends it only beyond
    the layers of the cheaper ones, so that the time of the search doesn't grow
    with the backend servers that hold the same layers.
    """
    if len(partial.parts) >= MAX_STAGES:
        return
    domain = group.hop.failure_domain
    reach = position
    for option in group.by_position.get(position, ()):
        if option.end <= reach or partial.uses(option.holder):
            continue
        next_start = bisect.bisect_right(starts, reach)
        ends = starts[next_start : bisect.bisect_left(starts, option.end)]
        for end in (*ends, option.end):
            cost = partial.cost + (end - position) * option.layer_cost_s
            reached = partials.setdefault(end, {})
            known = reached.get(domain)
            if known is None or cost < known.cost:
                parts = (*partial.parts, (option.holder, position, end))
                reached[domain] = _PartialChain(cost, parts)
        reach = option.end


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
