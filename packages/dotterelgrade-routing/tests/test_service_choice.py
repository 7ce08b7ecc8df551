import random

from dotterelgrade_routing import service_choice


def _choose(servers, **rest):
    rest.setdefault("in_flight", {})
    rest.setdefault("excluded", ())
    rest.setdefault("tried", ())
    return service_choice.choose(
        servers, failure_domain="a", rng=random.Random(1), **rest
    )


def test_the_least_loaded_comes_first(make_server):
    servers = [make_server("x"), make_server("y")]
    assert _choose(servers, in_flight={"x": 2}).id == "y"


def test_the_own_failure_domain_is_preferred(make_server):
    servers = [make_server("x", failure_domain="b"), make_server("y")]
    assert _choose(servers).id == "y"
    assert _choose(servers, in_flight={"y": 2}).id == "x"


def test_a_group_that_failed_as_a_whole_is_still_used(make_server):
    servers = [make_server("x"), make_server("y")]
    assert _choose(servers, excluded={"x"}).id == "y"
    assert _choose(servers, excluded={"x", "y"}) is not None


def test_a_server_is_not_tried_twice(make_server):
    servers = [make_server("x"), make_server("y")]
    assert _choose(servers, tried={"x"}, excluded={"y"}).id == "y"
    assert _choose(servers, tried={"x", "y"}) is None
