import hypothesis
from hypothesis import strategies

from dotterelgrade_routing import chain_choice


def _layers_of(chain):
    return [
        layer
        for stage in chain.stages
        for layer in range(stage.layers.first, stage.layers.end)
    ]


def _ids(chain):
    return [stage.server_id for stage in chain.stages]


def _given_parts(*, starts, sizes, domains, utilization, count):
    """Draws fleets of (first layer, layers, failure domain, utilization)."""
    parts = strategies.tuples(
        strategies.integers(0, starts - 1),
        strategies.integers(1, sizes),
        strategies.sampled_from(domains),
        strategies.floats(0, utilization),
    )
    settings = hypothesis.settings(
        suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
        deadline=None,
    )
    given = hypothesis.given(parts=strategies.lists(parts, max_size=count))
    return lambda test: settings(given(test))


@_given_parts(starts=80, sizes=40, domains="abc", utilization=1.2, count=14)
def test_chain_runs_every_layer_once_in_order(engine, make_holder, parts):
    holders = [
        make_holder(
            f"s{i}", first, min(first + n, 80), domain=d, used=fill * 1e6
        )
        for i, (first, n, d, fill) in enumerate(parts)
    ]
    covered = all(
        any(h.layers.first <= layer < h.layers.end for h in holders)
        for layer in range(80)
    )
    chains = chain_choice.candidates(engine, holders)
    assert bool(chains) == covered
    for chain in chains:
        assert _layers_of(chain) == list(range(80))
        assert len(set(_ids(chain))) == len(chain.stages)
        by_id = {h.server_id: h for h in holders}
        for stage in chain.stages:
            assert by_id[stage.server_id].layers.covers(stage.layers)


def test_chain_stays_in_one_failure_domain(engine, make_holder):
    holders = [
        make_holder("a1", 0, 40, domain="a"),
        make_holder("a2", 40, 80, domain="a"),
        make_holder("b1", 0, 40, domain="b", layer_s=0.9e-4),
        make_holder("b2", 40, 80, domain="b", layer_s=0.9e-4),
    ]
    chains = chain_choice.candidates(engine, holders)
    ids = [_ids(chain) for chain in chains]
    assert ["a1", "a2"] in ids
    assert ["b1", "b2"] in ids


def test_replica_of_the_fullest_stage_is_offered_too(engine, make_holder):
    """Load pattern: a burst loads the fastest holder of some layers."""
    holders = [
        make_holder("fast", 0, 40, layer_s=1e-5, used=8e5),
        make_holder("double", 0, 40, layer_s=2e-4),
        make_holder("rest", 40, 80),
    ]
    ids = [_ids(c) for c in chain_choice.candidates(engine, holders)]
    assert ids == [["fast", "rest"], ["double", "rest"]]


def test_full_stage_is_replaced_from_another_domain(engine, make_holder):
    """Load pattern: overload, and one stage of a domain is full."""
    holders = [
        make_holder("a1", 0, 40),
        make_holder("a2", 40, 80, used=9.5e5),
        make_holder("b1", 0, 40, domain="b", used=9.5e5),
        make_holder("b2", 40, 80, domain="b"),
    ]
    ids = [_ids(c) for c in chain_choice.candidates(engine, holders)]
    assert ["a1", "b2"] in ids


def _searched_sizes(monkeypatch):
    """Returns a list that gets the number of holders of each search."""
    sizes = []
    search = chain_choice.cheapest

    def counting_search(engine, holders, *, preferred_domain):
        sizes.append(len(holders))
        return search(engine, holders, preferred_domain=preferred_domain)

    monkeypatch.setattr(chain_choice, "cheapest", counting_search)
    return sizes


def test_whole_fleet_is_searched_once_if_several_domains_are_full(
    engine, make_holder, monkeypatch
):
    """Load pattern: overload of all domains; fronts have little CPU time."""
    holders = [
        make_holder(
            f"{domain}{part}", first, first + 40, domain=domain, used=9.5e5
        )
        for domain in "abcdef"
        for part, first in enumerate((0, 40))
    ]
    sizes = _searched_sizes(monkeypatch)
    assert chain_choice.candidates(engine, holders)
    assert sizes.count(len(holders)) == 1


def test_lost_stage_is_replaced_from_another_domain(engine, make_holder):
    holders = [
        make_holder("a1", 0, 30, domain="a"),
        make_holder("a3", 50, 80, domain="a"),
        make_holder("b1", 0, 80, domain="b", layer_s=1e-3),
    ]
    chain = chain_choice.cheapest(engine, holders, preferred_domain="a")
    assert _ids(chain) == ["a1", "b1", "a3"]
    assert chain.crossings == 2


def test_stage_with_little_memory_is_avoided_before_it_is_full(
    engine, make_holder
):
    expected = chain_choice.EXPECTED_REQUESTS * engine.mean_tokens * 40
    holders = [
        make_holder("tight", 0, 40, total=expected / 4, expected=expected),
        make_holder("wide", 0, 40, total=expected * 20, expected=expected),
        make_holder("rest", 40, 80, total=expected * 20, expected=expected),
    ]
    chain = chain_choice.cheapest(engine, holders, preferred_domain="a")
    assert _ids(chain) == ["wide", "rest"]


def test_full_stage_is_used_only_if_it_is_the_only_holder(engine, make_holder):
    holders = [
        make_holder("full", 0, 40, used=0.95e6, layer_s=1e-5),
        make_holder("free", 0, 40, layer_s=4e-4),
        make_holder("rest", 40, 80),
    ]
    chain = chain_choice.cheapest(engine, holders, preferred_domain="a")
    assert _ids(chain) == ["free", "rest"]
    chain = chain_choice.cheapest(
        engine, [holders[0], holders[2]], preferred_domain="a"
    )
    assert _ids(chain) == ["full", "rest"]


def test_search_does_not_grow_with_engines_that_hold_the_same_layers(
    engine, make_holder, monkeypatch
):
    """Load pattern: 1,000 engines and fronts with a quarter of a core."""
    holders = [
        make_holder(
            f"{domain}{number}",
            number % 10 * 8,
            number % 10 * 8 + 8,
            domain=domain,
            used=number * 100.0,
        )
        for domain in "abc"
        for number in range(330)
    ]
    sizes = _searched_sizes(monkeypatch)
    chains = chain_choice.candidates(engine, holders)
    assert len(chains) == 3 * chain_choice.MAX_CHAINS_PER_DOMAIN
    ranges = 10
    assert max(sizes) <= ranges * chain_choice.MAX_CHAINS_PER_DOMAIN


@_given_parts(starts=8, sizes=4, domains="ab", utilization=0.85, count=10)
def test_further_engines_with_the_same_layers_do_not_make_the_chain_dearer(
    engine, make_holder, parts
):
    def cheapest_cost_s(copies):
        holders = [
            make_holder(
                f"s{index}-{copy}",
                first * 10,
                min(first + count, 8) * 10,
                domain=domain,
                used=fill * 1e6,
            )
            for copy in range(copies)
            for index, (first, count, domain, fill) in enumerate(parts)
        ]
        chain = chain_choice.cheapest(engine, holders, preferred_domain="a")
        return float("inf") if chain is None else _cost_s(chain, holders)

    assert cheapest_cost_s(8) <= cheapest_cost_s(1) + 1e-12


def _cost_s(chain, holders):
    """Returns what the search minimizes, without full stages."""
    by_id = {holder.server_id: holder for holder in holders}
    cost_s = chain_choice.CROSSING_COST_S * chain.crossings
    for stage in chain.stages:
        cost_s += chain_choice.HOP_COST_S
        cost_s += by_id[stage.server_id].layer_cost_s * len(stage.layers)
        if stage.failure_domain != "a":
            cost_s += chain_choice.OTHER_DOMAIN_COST_S
    return cost_s


def test_every_cheap_engine_of_a_range_is_an_alternative(engine, make_holder):
    holders = [
        make_holder(f"s{number}", 0, 80, used=number * 1e4)
        for number in range(20)
    ]
    ids = [_ids(c) for c in chain_choice.candidates(engine, holders)]
    assert ids == [["s0"], ["s1"], ["s2"]]
