import itertools
import sys

import hypothesis
from hypothesis import strategies

from dotterelgrade_routing import layer_range
from dotterelgrade_routing import placement
from dotterelgrade_routing import placement_policies
from dotterelgrade_routing import plan_risk


def _held(servers):
    return {s.server_id: s.layers for s in servers if s.layers is not None}


def _placed(engine, servers):
    """Returns the fleet after all orders of six plans."""
    policy = placement_policies.POLICIES.make("balanced")
    for _ in range(6):
        orders = placement.plan(engine, servers, policy=policy)
        wanted = {order.server_id: order.layers for order in orders}
        servers = [_with_order(server, wanted) for server in servers]
    return servers


def _with_order(server, wanted):
    layers = wanted.get(server.server_id, server.layers)
    fields = {**vars(server), "layers": layers}
    return placement_policies.Candidate(**fields)


def test_layer_with_a_single_holder_is_reported(engine):
    half = engine.layers // 2
    held = {
        "a": layer_range.LayerRange(0, engine.layers),
        "b": layer_range.LayerRange(0, half),
    }
    risk = plan_risk.assess(engine, held)
    assert risk.single_holder == {
        "a": (layer_range.LayerRange(half, engine.layers),)
    }
    assert not risk.is_empty


def test_layer_without_a_holder_is_missing(engine):
    risk = plan_risk.assess(engine, {"a": layer_range.LayerRange(3, 9)})
    assert risk.missing[0] == layer_range.LayerRange(0, 3)


def test_plans_of_three_domains_survive_the_loss_of_any_server(
    engine, make_domain
):
    """Load pattern: one backend server or a whole domain fails."""
    servers = _placed(
        engine, [server for name in "abc" for server in make_domain(name)]
    )
    held = _held(servers)
    assert plan_risk.assess(engine, held).is_empty
    for lost in "abc":
        remaining = [s for s in servers if s.failure_domain != lost]
        assert not plan_risk.assess(engine, _held(remaining)).missing


_RANGES = strategies.builds(
    lambda first, size: layer_range.LayerRange(first, first + size),
    strategies.integers(0, 70),
    strategies.integers(1, 20),
)


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(held=strategies.lists(_RANGES, max_size=12))
def test_single_holders_are_those_whose_loss_leaves_a_gap(engine, held):
    by_server = {f"e{number}": layers for number, layers in enumerate(held)}
    expected = {}
    for server_id, layers in by_server.items():
        others = [h for other, h in by_server.items() if other != server_id]
        alone = layer_range.gaps(layers, others)
        if alone:
            expected[server_id] = alone
    risk = plan_risk.assess(engine, by_server)
    assert risk.single_holder == expected


def _calls(function):
    """Returns how many Python functions are called, whatever the host."""
    count = itertools.count()

    def note(frame, event, _):
        if event == "call":
            next(count)

    sys.setprofile(note)
    try:
        function()
    finally:
        sys.setprofile(None)
    return next(count)


def test_risk_of_thousands_of_engines_does_not_stop_the_planner(engine):
    """Each change among 2,000 engines is assessed, on half a core."""
    held = {
        f"e{number}": layer_range.LayerRange(number % 70, number % 70 + 10)
        for number in range(2_000)
    }
    few = dict(itertools.islice(held.items(), 200))
    few_calls = _calls(lambda: plan_risk.assess(engine, few))
    calls = _calls(lambda: plan_risk.assess(engine, held))
    assert calls < 20 * few_calls
