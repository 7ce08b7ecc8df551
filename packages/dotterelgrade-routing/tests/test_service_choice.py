import random

from dotterelgrade_routing import configuration
from dotterelgrade_routing import service_choice


def _choose(servers, **options):
    options.setdefault("in_flight", {})
    options.setdefault("excluded", ())
    options.setdefault("tried", ())
    return service_choice.choose(
        servers, failure_domain="a", rng=random.Random(1), **options
    )


def test_least_loaded_server_is_chosen(make_server):
    servers = [make_server("x"), make_server("y")]
    assert _choose(servers, in_flight={"x": 2}).id == "y"


def test_own_failure_domain_is_preferred(make_server):
    servers = [make_server("x", failure_domain="b"), make_server("y")]
    assert _choose(servers).id == "y"
    assert _choose(servers, in_flight={"y": 2}).id == "x"


def test_excluded_servers_are_used_if_all_are_excluded(make_server):
    servers = [make_server("x"), make_server("y")]
    assert _choose(servers, excluded={"x"}).id == "y"
    assert _choose(servers, excluded={"x", "y"}) is not None


def test_server_is_not_tried_twice(make_server):
    servers = [make_server("x"), make_server("y")]
    assert _choose(servers, tried={"x"}, excluded={"y"}).id == "y"
    assert _choose(servers, tried={"x", "y"}) is None


def _drawn(*shares, names=("a", "b")):
    """Returns the names of the services that a route's requests go to."""
    route = configuration.Route(
        name="r",
        host="h",
        path_prefix="/",
        services=tuple(
            configuration.ServiceWeight(service=name, weight=weight)
            for name, weight in shares
        ),
        idempotent=True,
        streaming=False,
        resumable=False,
        timeout_s=1.0,
        objective_s=1.0,
        longest_pause_s=1.0,
        priority=0,
        max_attempts=1,
        public=True,
    )
    current = configuration.Configuration(
        version=1,
        routes=(route,),
        services=tuple(
            configuration.Service(name=name, max_connections=1, engine=None)
            for name in names
        ),
        limits=configuration.ClientLimits(),
        workspaces=(),
    )
    rng = random.Random(1)
    drawn = [
        service_choice.draw_service(current, route, rng=rng) for _ in range(50)
    ]
    return {None if service is None else service.name for service in drawn}


def test_service_is_drawn_by_positive_weights():
    assert _drawn(("a", 1), ("b", 1)) == {"a", "b"}
    assert _drawn(("a", 1), ("b", 0)) == {"a"}
    assert _drawn(("a", 1), ("b", -5)) == {"a"}
    assert _drawn(("a", 1e308), ("b", 1e308)) == {"a", "b"}
    assert _drawn(("a", 1), ("b", float("nan"))) == {"a"}
    assert _drawn(("a", float("inf")), ("b", 1)) == {"b"}


def test_services_are_alike_without_a_usable_weight():
    assert _drawn(("a", 0), ("b", 0)) == {"a", "b"}
    assert _drawn(("a", float("nan")), ("b", float("inf"))) == {"a", "b"}


def test_unknown_service_is_not_drawn():
    assert _drawn(("a", 1), ("b", 1), names=("b",)) == {"b"}
    assert _drawn(("a", 1), names=("b",)) == {None}
    assert _drawn() == {None}
