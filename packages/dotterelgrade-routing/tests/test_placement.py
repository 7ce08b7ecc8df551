import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import placement
from dotterelgrade_routing import placement_policies


def _plan(engine, servers, policy="balanced"):
    return placement.plan(
        engine, servers, policy=placement_policies.POLICIES.make(policy)
    )


def _applied(servers, orders):
    by_id = {order.server_id: order.layers for order in orders}
    return [
        dataclasses.replace(s, layers=by_id.get(s.server_id, s.layers))
        for s in servers
    ]


def _settled(engine, servers, rounds=10):
    for _ in range(rounds):
        orders = _plan(engine, servers)
        if not orders:
            return servers
        servers = _applied(servers, orders)
    raise AssertionError("the plan does not settle")


def _gaps(engine, servers):
    held = [s.layers for s in servers if s.layers is not None]
    return layer_range.gaps(engine.all_layers(), held)


def _capacity_tokens(engine, server):
    return engine.capacity_tokens(server.accelerator, len(server.layers))


@pytest.mark.parametrize("policy", placement_policies.POLICIES.names())
def test_each_domain_gets_a_whole_replica(engine, make_domain, policy):
    servers = [*make_domain("a"), *make_domain("b", fast=2, small=4)]
    placed = _applied(servers, _plan(engine, servers, policy))
    for domain in "ab":
        members = [s for s in placed if s.failure_domain == domain]
        assert not _gaps(engine, members)


def test_no_order_exceeds_the_memory(engine, make_domain):
    for server in _settled(engine, make_domain("a")):
        if server.layers is not None:
            most = engine.max_layers(server.accelerator)
            assert len(server.layers) <= most


def test_the_loss_of_the_largest_server_leaves_a_replica(engine, make_domain):
    """Guards against the loss of the fastest accelerator."""
    servers = _settled(engine, make_domain("a"))
    largest = max(servers, key=lambda s: len(s.layers or ()))
    left = [s for s in servers if s is not largest]
    repaired = _settled(engine, left)
    assert not _gaps(engine, repaired)
    min_tokens = placement_policies.min_capacity_tokens(engine)
    for server in repaired:
        if server.layers is not None:
            assert _capacity_tokens(engine, server) >= min_tokens


def test_most_layers_of_the_largest_server_are_held_twice(engine, make_domain):
    servers = _settled(engine, make_domain("a"))
    largest = max(servers, key=lambda s: len(s.layers or ()))
    others = [s for s in servers if s is not largest]
    missing = sum(len(gap) for gap in _gaps(engine, others))
    assert missing <= len(largest.layers) / 4


def test_a_server_that_restarts_empty_takes_its_share_again(
    engine, make_domain
):
    servers = _settled(engine, make_domain("a"))
    largest = max(servers, key=lambda s: len(s.layers or ()))
    repaired = _settled(engine, [s for s in servers if s is not largest])
    back = [*repaired, dataclasses.replace(largest, layers=None)]
    again = next(
        s for s in _settled(engine, back) if s.server_id == largest.server_id
    )
    assert len(again.layers) > 20


def test_a_settled_fleet_gets_no_orders(engine, make_domain):
    servers = _settled(engine, [*make_domain("a"), *make_domain("b")])
    assert not _plan(engine, servers)


def test_a_large_domain_does_not_get_a_chain_of_many_small_stages(
    engine, make_domain
):
    """Guards against long chains, which any crash of a stage breaks."""
    servers = make_domain("a", fast=1, small=14, slow=5)
    first = _plan(engine, servers)
    assert len(first) <= 13
    placed = _settled(engine, servers)
    assert all(s.layers is not None for s in placed)


def test_a_large_domain_uses_all_but_a_reserve(engine, make_domain):
    """Guards against idle memory in a domain that fits four replicas."""
    servers = _settled(engine, make_domain("a", fast=2, small=11, slow=30))
    idle = [s for s in servers if s.layers is None]
    assert len(idle) == placement.RESERVE_SERVERS
    for layer in range(engine.layers):
        here = [
            s
            for s in servers
            if s.layers and s.layers.first <= layer < s.layers.end
        ]
        assert len(here) >= 3, layer


def test_the_reserve_takes_over_lost_layers(engine, make_domain):
    servers = _settled(engine, make_domain("a", fast=2, small=11, slow=30))
    largest = max(servers, key=lambda s: len(s.layers or ()))
    left = _settled(engine, [s for s in servers if s is not largest])
    assert not _gaps(engine, left)


def test_small_domains_share_a_replica(engine, make_domain):
    servers = [
        *make_domain("a", fast=0, small=5, slow=2),
        *make_domain("b", fast=0, small=5, slow=2),
    ]
    assert not _gaps(engine, _settled(engine, servers))


def test_no_plan_while_servers_still_join_an_empty_group(engine, make_domain):
    """Guards against planning early when servers appear one by one."""
    early = [dataclasses.replace(s, known_s=0.1) for s in make_domain("a")[:5]]
    assert not _plan(engine, early)


def test_busy_servers_get_no_order(engine, make_domain):
    servers = _settled(engine, make_domain("a"))
    busy = [dataclasses.replace(s, movable=False) for s in servers[1:]]
    assert not _plan(engine, busy)


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
    deadline=None,
    max_examples=60,
)
@hypothesis.given(
    strategies.lists(strategies.integers(0, 14), max_size=5, unique=True),
    strategies.lists(strategies.booleans(), min_size=40, max_size=40),
)
def test_lost_orders_and_servers_never_widen_gaps(
    engine, make_domain, lost, carried
):
    """Some servers and some orders are lost; gaps only shrink."""
    servers = _settled(engine, make_domain("a"))
    servers = [s for i, s in enumerate(servers) if i not in lost]
    delivered = iter(carried)
    for _ in range(6):
        before = sum(len(gap) for gap in _gaps(engine, servers))
        orders = _plan(engine, servers)
        ids = [order.server_id for order in orders]
        assert len(ids) == len(set(ids))
        kept = [order for order in orders if next(delivered, True)]
        servers = _applied(servers, kept)
        after = sum(len(gap) for gap in _gaps(engine, servers))
        assert after <= before


def test_an_unknown_policy_is_refused():
    with pytest.raises(ValueError, match="expected one of"):
        placement_policies.POLICIES.make("best")


def test_a_refusing_server_is_excluded_from_the_plan(engine, make_domain):
    servers = _settled(engine, make_domain("a"))
    leaving = next(s for s in servers if s.layers is not None)
    rest = placement.exclude_refusing(servers, refusing={leaving.server_id})
    assert leaving not in rest
    assert len(rest) == len(servers) - 1


def test_a_group_that_refuses_as_a_whole_stays_in_the_plan(engine, make_domain):
    """Guards against overload, in which all backend servers refuse."""
    servers = _settled(engine, make_domain("a"))
    everyone = {s.server_id for s in servers}
    assert placement.exclude_refusing(servers, refusing=everyone) == servers


def _capacity_computations(engine, servers, monkeypatch):
    """Returns how often a plan computes the memory of a server."""
    calls = []
    compute = configuration.Engine.capacity_tokens

    def counting(self, kind, layers):
        calls.append(layers)
        return compute(self, kind, layers)

    with monkeypatch.context() as patch:
        patch.setattr(configuration.Engine, "capacity_tokens", counting)
        _plan(engine, servers)
    return len(calls)


def test_a_plan_of_many_free_servers_does_not_stop_the_planner(
    engine, make_domain, monkeypatch
):
    """Load pattern: a domain of hundreds starts empty, then is doubled."""
    counts = []
    for size in (40, 160):
        servers = make_domain("a", small=size)
        servers = _applied(servers, _plan(engine, servers))
        counts.append(_capacity_computations(engine, servers, monkeypatch))
    few, many = counts
    assert many <= few * 160 / 40 * 1.5


def test_a_server_with_layers_beyond_the_model_does_not_stop_the_planner(
    engine, make_domain, make_candidate
):
    """The operator has replaced the model by one with fewer layers."""
    old = make_candidate("old", layers=(76, 84))
    servers = [*_settled(engine, make_domain("a")), old]
    assert _plan(engine, servers) == []
