"""Model-based test of placement with lost, late and repeated orders.

The model of the planner's loop reads reports that may be outdated, treats an
order as pending until a report shows it or the planner abandons it, and sends
compare-and-set orders. Engines may restart, and accept orders as the platform's
engines do.
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
    name="fast", memory_mb=3_000, step_factor=1.0, prefill_factor=1.0
)
_SMALL = configuration.Accelerator(
    name="small", memory_mb=1_000, step_factor=4.0, prefill_factor=4.0
)
_ENGINE = configuration.Engine(
    layers=24,
    layer_mb=100,
    token_layer_bytes=1_000,
    step_s=0.01,
    prefill_tokens_per_s=1e5,
    load_s=1.0,
    loads_at_once=4,
    mean_prompt_tokens=100,
    mean_answer_tokens=50,
    accelerators=(_FAST, _SMALL),
)
_KINDS = {
    "f1": _FAST,
    "f2": _FAST,
    **{f"s{number}": _SMALL for number in range(6)},
}
_MAX_ROUNDS = 12


@dataclasses.dataclass
class _Engine:
    """An engine with its layers and the number of accepted orders."""

    kind: configuration.Accelerator
    layers: layer_range.LayerRange | None = None
    orders: int = 0

    def accept(self, order):
        if order.expected != self.orders:
            return False
        assert len(order.layers) <= _ENGINE.max_layers(self.kind)
        self.orders += 1
        self.layers = order.layers
        return True


@dataclasses.dataclass(frozen=True)
class _Order:
    server_id: str
    layers: layer_range.LayerRange
    expected: int


@dataclasses.dataclass
class _EngineView:
    """The planner's view of an engine."""

    layers: layer_range.LayerRange | None = None
    orders: int = 0
    wanted: layer_range.LayerRange | None = None


def _covered(ranges):
    return {layer for held in ranges for layer in range(held.first, held.end)}


def _assert_opens_no_gap(candidates, orders):
    """Asserts that each layer that was held is still held."""
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
def test_no_move_opens_a_gap(held):
    """Guards against moves that open a gap when no server is free."""
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
        policy=placement_policies.POLICIES.make("balanced"),
    )
    _assert_opens_no_gap(candidates, orders)


class PlacementMachine(stateful.RuleBasedStateMachine):
    """Orders are obeyed, lost, late or repeated; finally no gap is left."""

    def __init__(self):
        super().__init__()
        self.engines = {i: _Engine(kind=k) for i, k in _KINDS.items()}
        self.views = {server_id: _EngineView() for server_id in _KINDS}
        self.late = []

    def _candidates(self):
        return [
            placement_policies.Candidate(
                server_id=server_id,
                failure_domain="a",
                accelerator=self.engines[server_id].kind,
                layers=view.wanted or view.layers,
                movable=view.wanted is None,
            )
            for server_id, view in self.views.items()
        ]

    def _plan_orders(self):
        candidates = self._candidates()
        orders = placement.plan(
            _ENGINE,
            candidates,
            policy=placement_policies.POLICIES.make("balanced"),
        )
        _assert_opens_no_gap(candidates, orders)
        sent = []
        for order in orders:
            view = self.views[order.server_id]
            assert view.wanted is None, "two orders at once"
            view.wanted = order.layers
            sent.append(_Order(order.server_id, order.layers, view.orders))
        return sent

    def _report(self, server_id):
        engine, view = self.engines[server_id], self.views[server_id]
        view.layers, view.orders = engine.layers, engine.orders
        if view.layers == view.wanted:
            view.wanted = None

    @stateful.rule(data=strategies.data())
    def plan(self, data):
        deliveries = strategies.sampled_from(
            ["obeyed", "lost", "late", "twice"]
        )
        for order in self._plan_orders():
            delivery = data.draw(deliveries)
            if delivery in ("obeyed", "twice"):
                self.engines[order.server_id].accept(order)
            if delivery in ("late", "twice"):
                self.late.append(order)

    @stateful.rule(data=strategies.data())
    def deliver_late_order(self, data):
        if self.late:
            index = data.draw(strategies.integers(0, len(self.late) - 1))
            order = self.late.pop(index)
            self.engines[order.server_id].accept(order)

    @stateful.rule(server_id=strategies.sampled_from(sorted(_KINDS)))
    def report(self, server_id):
        self._report(server_id)

    @stateful.rule(server_id=strategies.sampled_from(sorted(_KINDS)))
    def abandon_order(self, server_id):
        self.views[server_id].wanted = None

    @stateful.rule(server_id=strategies.sampled_from(sorted(_KINDS)))
    def restart(self, server_id):
        self.engines[server_id] = _Engine(kind=_KINDS[server_id])
        # A late order for the previous process may still be accepted.
        self.views[server_id] = _EngineView()

    def teardown(self):
        """Without further faults every layer is held after some rounds."""
        self.late.clear()
        for _ in range(_MAX_ROUNDS):
            for server_id in _KINDS:
                self._report(server_id)
                self.views[server_id].wanted = None
            for order in self._plan_orders():
                assert self.engines[order.server_id].accept(order)
        held = [e.layers for e in self.engines.values() if e.layers]
        assert not layer_range.gaps(_ENGINE.all_layers(), held)


TestPlacement = PlacementMachine.TestCase
TestPlacement.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=25, derandomize=True, deadline=None
)
