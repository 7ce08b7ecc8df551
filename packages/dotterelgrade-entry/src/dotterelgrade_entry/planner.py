"""Chooses the chain of backend servers that covers a model's layers."""

import collections
from collections.abc import Callable, Collection, Sequence
import dataclasses
import random

from returns import result

from dotterelgrade import errors
from dotterelgrade_entry import agent_peer
from dotterelgrade_entry import backend_view
from dotterelgrade_entry import cost_model
from dotterelgrade_entry import fleet as fleet_lib
from dotterelgrade_entry import policies
from dotterelgrade_entry import request as request_lib

_RETRY_AFTER_S = 1.0
_TYPICAL_TOKENS = 32
INSIDE_PART = 0.92
_MS_PER_S = 1000

Ranges = dict[fleet_lib.LayerRange, list[fleet_lib.Candidate]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stage:
    """One backend server of a chain.

    Attributes:
        peer: Its agent.
        view: What is known of it.
        first_layer: First layer it runs.
        last_layer: Last layer it runs, inclusive.
        version: Version of the model that it held when it was chosen.
    """

    peer: agent_peer.AgentPeer
    view: backend_view.BackendView
    first_layer: int
    last_layer: int
    version: str = ""

    @property
    def key(self) -> str:
        """Identifier of the backend server in the fleet."""
        return self.view.key


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chain:
    """Stages in the order of their layers, with the predicted cost."""

    stages: tuple[Stage, ...]
    cost: cost_model.Cost

    @property
    def is_measured(self) -> bool:
        """Whether the cost comes from measured speeds only."""
        return all(stage.view.is_measured for stage in self.stages)

    @property
    def is_idle(self) -> bool:
        """Whether no stage has any sequence."""
        return not any(stage.view.sequences for stage in self.stages)

    def __str__(self) -> str:
        """Lists the backend servers."""
        return " > ".join(stage.key for stage in self.stages)


@dataclasses.dataclass(frozen=True)
class _Path:
    cost: cost_model.Cost
    score: float
    stages: tuple[Stage, ...]

    @property
    def last(self) -> Stage | None:
        return self.stages[-1] if self.stages else None


class Planner:
    """Finds chains over layer boundaries with one registered policy.

    A predicting policy compares whole chains by their predicted latency; the
    others pick stage by stage. Only a few candidates of each layer range are
    looked at, so the cost does not grow with the fleet.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        *,
        policy: policies.Policy,
        candidates_per_range: int,
        corrections: Callable[[], tuple[float, float]] = lambda: (1.0, 1.0),
    ) -> None:
        """Initializes the planner.

        Args:
            fleet: The agents that are known.
            policy: How candidates are ranked.
            candidates_per_range: Backend servers compared per layer range.
            corrections: Returns the factors by which the measured first
                token and time between tokens exceed the predicted ones.
        """
        self._corrections = corrections
        self._fleet = fleet
        self._policy = policy
        self._candidates_per_range = candidates_per_range

    @property
    def policy(self) -> policies.Policy:
        """How candidates are ranked."""
        return self._policy

    def plan(
        self,
        order: request_lib.RequestOrder,
        *,
        layers: int,
        version: str = "",
        inside_part: float = INSIDE_PART,
        avoid: Collection[str] = (),
    ) -> result.Result[Chain, errors.Error]:
        """Chooses a chain.

        Args:
            order: What the caller asked for.
            layers: Number of layers of the model.
            version: Version of the model to use; empty for any. Another one
                serves while it does not cover the model; a chain never mixes
                versions.
            inside_part: Part of the bounds inside which a chain is chosen by
                its price; if there is none, the quickest one is taken.
            avoid: Keys of backend servers that are not to be used.

        Returns:
            The chain, OVER_BOUND when all chains are full, or NO_CAPACITY.
        """
        found = self._fleet.candidates(order.model)
        is_covered = False
        ranges: Ranges = {}
        for held in _versions(found, wanted=version):
            of_version = _of_version(found, held)
            ranges = _leading_to_end(_free(of_version, avoid), layers)
            if _starts_at_zero(ranges):
                break
            is_covered |= _starts_at_zero(_leading_to_end(of_version, layers))
        else:
            if is_covered:
                return _no_free_slot(order.model)
            return _no_capacity(f"no chain covers model {order.model}")
        if self._policy.predicts:
            return result.Success(
                self._shortest(ranges, order, layers, inside_part)
            )
        return result.Success(self._picked(ranges, order, layers))

    def plan_stage(
        self,
        order: request_lib.RequestOrder,
        *,
        chain: Sequence[Stage],
        index: int,
        avoid: Collection[str] = (),
    ) -> result.Result[Stage, errors.Error]:
        """Chooses a replacement for one stage of a chain.

        Args:
            order: What the caller asked for.
            chain: The stages as they are.
            index: Index of the stage to replace.
            avoid: Keys of backend servers that are not to be used.

        Returns:
            A stage with the same layers and version, or NO_CAPACITY.
        """
        old = chain[index]
        layers = (old.first_layer, old.last_layer)
        used = {s.key for i, s in enumerate(chain) if i != index} | set(avoid)
        found = self._fleet.candidates(order.model)
        ranges = _free(_of_version(found, old.version), used)
        if layers not in ranges:
            return _no_capacity(f"no other backend server for layers {layers}")
        before = chain[index - 1] if index else None
        sampled = self._sample(ranges[layers])
        best = min(
            (_stage(candidate, layers) for candidate in sampled),
            key=lambda stage: self._step(before, stage, order).total_s(
                _TYPICAL_TOKENS
            ),
        )
        return result.Success(best)

    def _sample(
        self, members: list[fleet_lib.Candidate]
    ) -> list[fleet_lib.Candidate]:
        if len(members) <= self._candidates_per_range:
            return members
        return random.sample(members, self._candidates_per_range)

    def _picked(
        self, ranges: Ranges, order: request_lib.RequestOrder, layers: int
    ) -> Chain:
        stages: list[Stage] = []
        boundary = 0
        while boundary < layers:
            members = [
                candidate
                for (first, _), group in ranges.items()
                if first == boundary
                for candidate in group
            ]
            peer, view = self._policy.pick(members)
            last = view.report.last_layer
            stages.append(_stage((peer, view), (boundary, last)))
            boundary = last + 1
        return Chain(stages=tuple(stages), cost=self.cost(stages, order))

    def cost(
        self, stages: Sequence[Stage], order: request_lib.RequestOrder
    ) -> cost_model.Cost:
        """Returns the predicted cost of a chain."""
        cost = cost_model.Cost()
        before = None
        for stage in stages:
            cost = cost.plus(self._step(before, stage, order))
            before = stage
        return cost.plus(self._way_back(stages[-1]))

    def _shortest(
        self,
        ranges: Ranges,
        order: request_lib.RequestOrder,
        layers: int,
        inside_part: float,
    ) -> Chain:
        sampled = {
            key: [_stage(c, key) for c in self._sample(members)]
            for key, members in ranges.items()
        }
        paths: dict[int, list[_Path]] = {0: [_Path(cost_model.Cost(), 0.0, ())]}
        for first, last in sorted(sampled):
            before = paths.get(first, [])
            after = paths.setdefault(last + 1, [])
            for stage in sampled[(first, last)]:
                after += self._extend(before, stage, order)
        ends = [self._closed(path, order) for path in paths[layers]]
        best = min(
            ends, key=lambda path: self._preference(path, order, inside_part)
        )
        return Chain(stages=best.stages, cost=best.cost)

    def _extend(
        self,
        paths: list[_Path],
        stage: Stage,
        order: request_lib.RequestOrder,
    ) -> list[_Path]:
        """Returns the cheapest and the quickest path that ends in a stage."""
        if not paths:
            return []
        links = [self._one_way_s(path.last, stage) for path in paths]
        tokens = _tokens_of(order)
        scores = [
            path.score + cost_model.link_score(one_way_s, tokens)
            for path, one_way_s in zip(paths, links, strict=True)
        ]
        gaps = [
            path.cost.between_tokens_s + one_way_s
            for path, one_way_s in zip(paths, links, strict=True)
        ]
        # Only the best ones are built, since this is the innermost loop.
        kept = {scores.index(min(scores)), gaps.index(min(gaps))}
        own = self._own_cost(stage, order)
        own_score = own.total_s(tokens)
        return [
            _Path(
                paths[i].cost.plus(own).plus(cost_model.link(links[i])),
                scores[i] + own_score,
                (*paths[i].stages, stage),
            )
            for i in kept
        ]

    def _closed(self, path: _Path, order: request_lib.RequestOrder) -> _Path:
        back = self._way_back(path.stages[-1])
        score = path.score + back.total_s(_tokens_of(order))
        return _Path(path.cost.plus(back), score, path.stages)

    def _preference(
        self,
        path: _Path,
        order: request_lib.RequestOrder,
        inside_part: float,
    ) -> tuple[float, float]:
        """Ranks chains inside the bound before cheaper ones outside it."""
        first, between = self._corrections()
        excess = max(
            path.cost.between_tokens_s * between / order.between_tokens_s,
            path.cost.first_token_s * first / order.first_token_s,
        )
        return max(excess - inside_part, 0.0), path.score

    def _own_cost(
        self, stage: Stage, order: request_lib.RequestOrder
    ) -> cost_model.Cost:
        cached = stage.view.prefixes.cached_tokens(order.prefixes)
        return cost_model.stage(
            stage.view, prompt_tokens=len(order.prompt), cached_tokens=cached
        )

    def note_used(self, chain: Chain, order: request_lib.RequestOrder) -> None:
        """Remembers the prompt's prefixes at the stages that will run it."""
        for stage in chain.stages:
            stage.view.prefixes.note(order.prefixes)

    def _step(
        self,
        before: Stage | None,
        stage: Stage,
        order: request_lib.RequestOrder,
    ) -> cost_model.Cost:
        link = cost_model.link(self._one_way_s(before, stage))
        return self._own_cost(stage, order).plus(link)

    def _way_back(self, last: Stage) -> cost_model.Cost:
        rtt = last.peer.rtt_s
        return cost_model.link((rtt or cost_model.DEFAULT_RTT_S) / 2)

    def _one_way_s(self, before: Stage | None, stage: Stage) -> float:
        if before is None:
            return (stage.peer.rtt_s or cost_model.DEFAULT_RTT_S) / 2
        if before.peer is stage.peer:
            return 0.0
        measured = before.peer.links.get(stage.peer.address)
        if measured is None:
            measured = stage.peer.links.get(before.peer.address)
        if measured is not None:
            return measured / _MS_PER_S / 2
        return self._guessed_one_way_s(before, stage)

    def _guessed_one_way_s(self, before: Stage, stage: Stage) -> float:
        # Both seen from the entry; the longer way bounds a missing figure.
        known = [
            rtt
            for rtt in (before.peer.rtt_s, stage.peer.rtt_s)
            if rtt is not None
        ]
        return max(known, default=cost_model.DEFAULT_RTT_S) / 2


def _tokens_of(order: request_lib.RequestOrder) -> int:
    return min(order.max_tokens, _TYPICAL_TOKENS)


def _versions(found: Ranges, *, wanted: str) -> list[str]:
    """Returns the versions held, the wanted one first, then the most held."""
    counts = collections.Counter(
        view.report.version for members in found.values() for _, view in members
    )
    return sorted(counts, key=lambda v: (v != wanted, -counts[v], v))


def _of_version(found: Ranges, version: str) -> Ranges:
    ranges = {}
    for layers, members in found.items():
        same = [c for c in members if c[1].report.version == version]
        if same:
            ranges[layers] = same
    return ranges


def _free(found: Ranges, avoid: Collection[str]) -> Ranges:
    ranges = {}
    for layers, members in found.items():
        free = [
            candidate
            for candidate in members
            if candidate[1].slots_free > 0 and candidate[1].key not in avoid
        ]
        if free:
            ranges[layers] = free
    return ranges


def _starts_at_zero(ranges: Ranges) -> bool:
    return any(first == 0 for first, _ in ranges)


def _stage(
    candidate: fleet_lib.Candidate, layers: fleet_lib.LayerRange
) -> Stage:
    peer, view = candidate
    return Stage(
        peer=peer,
        view=view,
        first_layer=layers[0],
        last_layer=layers[1],
        version=view.report.version,
    )


def _leading_to_end(ranges: Ranges, layers: int) -> Ranges:
    reachable = {layers}
    kept = {}
    for key in sorted(ranges, reverse=True):
        first, last = key
        if first <= last and last + 1 in reachable:
            reachable.add(first)
            kept[key] = ranges[key]
    return kept


def _no_free_slot(model: str) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(
            kind=errors.ErrorKind.OVER_BOUND,
            message=f"every chain of model {model} is full",
            retry_after_s=_RETRY_AFTER_S,
        )
    )


def _no_capacity(message: str) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(
            kind=errors.ErrorKind.NO_CAPACITY,
            message=message,
            retry_after_s=_RETRY_AFTER_S,
        )
    )
