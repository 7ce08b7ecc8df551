"""Placement while orders are lost, late or repeated and engines restart.

A model of the planner's loop: it sees reports that may be old, counts an order
as pending until it shows effect or is given up, and sends compare-and-set
orders. Engines obey as the platform's do.
"""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import placement
from dotterelgrade_routing import placement_policies

_FAST = configuration.Accelerator(
    name="fast", memory_mb=3_000, step_factor=1.0, read_factor=1.0
)
_SMALL = configuration.Accelerator(
    name="small", memory_mb=1_000, step_factor=4.0, read_factor=4.0
)
_ENGINE = configuration.Engine(
    layers=24,
    layer_mb=100,
    token_layer_bytes=1_000,
    step_s=0.01,
    read_tokens_per_s=1e5,
    load_s=1.0,
    loads_at_once=4,
    usual_prompt_tokens=100,
    usual_answer_tokens=50,
    accelerators=(_FAST, _SMALL),
)
_KINDS = {
    "f1": _FAST,
    "f2": _FAST,
    **{f"s{number}": _SMALL for number in range(6)},
}
_ENOUGH_ROUNDS = 12


@dataclasses.dataclass
class _Engine:
    """An engine: what it holds, and how many orders it has accepted."""

    kind: configuration.Accelerator
    layers: layer_range.LayerRange | None = None
    orders: int = 0

    def obey(self, order):
        if order.expected != self.orders:
            return False
        assert len(order.layers) <= _ENGINE.most_layers(self.kind)
        self.orders += 1
        self.layers = order.layers
        return True


@dataclasses.dataclass(frozen=True)
class _Order:
    server_id: str
    layers: layer_range.LayerRange
    expected: int


@dataclasses.dataclass
class _Seen:
    """What the planner knows of an engine."""

    layers: layer_range.LayerRange | None = None
    orders: int = 0
    wanted: layer_range.LayerRange | None = None


def _covered(ranges):
    return {layer for held in ranges for layer in range(held.first, held.end)}


def _assert_opens_no_gap(candidates, orders):
    """What is held already moves only to close a gap."""
    moved = {order.server_id: order.layers for order in orders}
    before = [c.layers for c in candidates if c.layers is not None]
    after = [
        moved.get(c.server_id, c.layers)
        for c in candidates
        if moved.get(c.server_id, c.layers) is not None
    ]
    assert _covered(before) <= _covered(after)


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(
    held=strategies.lists(
        strategies.tuples(
            strategies.sampled_from([0, 4, 8, 12, 16, 20]),
            strategies.sampled_from([4, 8]),
        ),
        min_size=2,
        max_size=7,
    )
)
def test_whatever_is_held_no_move_opens_a_gap(held):
    """Load pattern: a range is lost, and nobody is free."""
    candidates = [
        placement_policies.Candidate(
            server_id=f"s{number}",
            failure_domain="a",
            accelerator=_SMALL,
            layers=layer_range.LayerRange(first, min(first + count, 24)),
            movable=True,
        )
        for number, (first, count) in enumerate(held)
    ]
    orders = placement.plan(
        _ENGINE,
        candidates,
        shares=placement_policies.make_policy("balanced"),
    )
    _assert_opens_no_gap(candidates, orders)


class PlacementMachine(stateful.RuleBasedStateMachine):
    """Orders meet every fate; in the end all layers are held."""

    def __init__(self):
        super().__init__()
        self.engines = {i: _Engine(kind=k) for i, k in _KINDS.items()}
        self.seen = {server_id: _Seen() for server_id in _KINDS}
        self.late = []

    def _candidates(self):
        return [
            placement_policies.Candidate(
                server_id=server_id,
                failure_domain="a",
                accelerator=self.engines[server_id].kind,
                layers=seen.wanted or seen.layers,
                movable=seen.wanted is None,
            )
            for server_id, seen in self.seen.items()
        ]

    def _decide(self):
        candidates = self._candidates()
        orders = placement.plan(
            _ENGINE,
            candidates,
            shares=placement_policies.make_policy("balanced"),
        )
        _assert_opens_no_gap(candidates, orders)
        sent = []
        for order in orders:
            seen = self.seen[order.server_id]
            assert seen.wanted is None, "two orders at once"
            seen.wanted = order.layers
            sent.append(_Order(order.server_id, order.layers, seen.orders))
        return sent

    def _report(self, server_id):
        engine, seen = self.engines[server_id], self.seen[server_id]
        seen.layers, seen.orders = engine.layers, engine.orders
        if seen.layers == seen.wanted:
            seen.wanted = None

    @stateful.rule(data=strategies.data())
    def plan(self, data):
        fates = strategies.sampled_from(["obeyed", "lost", "late", "twice"])
        for order in self._decide():
            fate = data.draw(fates)
            if fate in ("obeyed", "twice"):
                self.engines[order.server_id].obey(order)
            if fate in ("late", "twice"):
                self.late.append(order)

    @stateful.rule(data=strategies.data())
    def a_late_order_arrives(self, data):
        if self.late:
            index = data.draw(strategies.integers(0, len(self.late) - 1))
            order = self.late.pop(index)
            self.engines[order.server_id].obey(order)

    @stateful.rule(server_id=strategies.sampled_from(sorted(_KINDS)))
    def report(self, server_id):
        self._report(server_id)

    @stateful.rule(server_id=strategies.sampled_from(sorted(_KINDS)))
    def give_an_order_up(self, server_id):
        self.seen[server_id].wanted = None

    @stateful.rule(server_id=strategies.sampled_from(sorted(_KINDS)))
    def restart(self, server_id):
        self.engines[server_id] = _Engine(kind=_KINDS[server_id])
        # A late order for the engine before may still be accepted.
        self.seen[server_id] = _Seen()

    def teardown(self):
        """Without further trouble every layer is held before long."""
        self.late.clear()
        for _ in range(_ENOUGH_ROUNDS):
            for server_id in _KINDS:
                self._report(server_id)
                self.seen[server_id].wanted = None
            for order in self._decide():
                assert self.engines[order.server_id].obey(order)
        held = [e.layers for e in self.engines.values() if e.layers]
        assert not layer_range.gaps(_ENGINE.whole(), held)


TestPlacement = PlacementMachine.TestCase
TestPlacement.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None
)
