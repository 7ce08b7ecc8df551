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
