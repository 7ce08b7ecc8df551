import random

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
