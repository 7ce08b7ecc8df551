import contextlib
import math
import random

import pytest

from dotterelgrade_routing import admission
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import reservations

_CAPACITY_TOKENS = 100_000.0


@pytest.fixture
def chains(engine, make_holder):
    holders = [
        make_holder("a1", 0, 80, domain="a", total=_CAPACITY_TOKENS * 80),
        make_holder("b1", 0, 80, domain="b", total=_CAPACITY_TOKENS * 80),
    ]
    return chain_choice.candidates(engine, holders)


@pytest.fixture
def memory():
    return {"a1": _CAPACITY_TOKENS * 80, "b1": _CAPACITY_TOKENS * 80}


def _decide(chains, load, memory, tokens=1_000, chance=0.5, domain="a"):
    return admission.decide(
        chains,
        tokens=tokens,
        answer_tokens=200,
        load=load,
        memory=memory,
        failure_domain=domain,
        chance=chance,
    )


def _count_by_chain(chains, load, memory, *, fronts, domain="a"):
    """Counts the fronts that take each chain, all with one snapshot."""
    counts = dict.fromkeys((c.first.server_id for c in chains), 0)
    rng = random.Random(1)
    for _ in range(fronts):
        decision = _decide(
            chains, load, memory, chance=rng.random(), domain=domain
        )
        counts[decision.chain.first.server_id] += 1
    return counts


def test_request_is_refused_without_a_chain(memory):
    refused = _decide([], reservations.Reservations(), memory)
    assert isinstance(refused, admission.Refused)
    assert refused.retry_after_s > 0


def test_requests_spread_over_chains_of_equal_speed(chains, memory):
    load = reservations.Reservations()
    with contextlib.ExitStack() as held:
        for _ in range(4):
            chain = _decide(chains, load, memory).chain
            held.enter_context(load.reserved(chain, tokens=30_000))
        utilization = [load.used(server) / memory[server] for server in memory]
    assert max(utilization) < 0.95
    assert min(utilization) > 0.25


@pytest.mark.parametrize("fronts", [68, 300])
def test_fronts_with_one_snapshot_spread_over_chains(
    engine, make_holder, fronts
):
    """Load pattern: dozens of fronts decide from the same snapshot.

    With equal chains each front draws uniformly; the count of the most chosen
    chain is within four standard deviations of the mean.
    """
    names = [f"{domain}1" for domain in "abcdef"]
    holders = [
        make_holder(name, 0, 80, domain=name[0], total=_CAPACITY_TOKENS * 80)
        for name in names
    ]
    equal = chain_choice.candidates(engine, holders)
    memory = dict.fromkeys(names, _CAPACITY_TOKENS * 80)
    counts = _count_by_chain(
        equal, reservations.Reservations(), memory, fronts=fronts, domain="x"
    )
    mean = fronts / len(names)
    deviation = math.sqrt(mean * (1 - 1 / len(names)))
    assert max(counts.values()) <= mean + 4 * deviation


def test_slow_chain_is_used_before_the_fast_one_is_full(engine, make_holder):
    """Load pattern: fast accelerators hold two replicas, slow ones three.

    Requests queue for memory at a stage that is 80 % full.
    """
    speeds = {"a1": 4e-5, "b1": 4e-5, "c1": 1e-4, "d1": 1e-4, "e1": 1e-4}
    holders = [
        make_holder(
            name, 0, 80, domain=name, layer_s=step, total=_CAPACITY_TOKENS * 80
        )
        for name, step in speeds.items()
    ]
    chains = chain_choice.candidates(engine, holders)
    memory = dict.fromkeys(speeds, _CAPACITY_TOKENS * 80)
    load = reservations.Reservations()
    rng = random.Random(2)
    with contextlib.ExitStack() as held:
        # These requests need half of the memory of all chains.
        for _ in range(250):
            chain = _decide(chains, load, memory, chance=rng.random()).chain
            held.enter_context(load.reserved(chain, tokens=1_000))
        utilization = {name: load.used(name) / memory[name] for name in speeds}
    assert max(utilization.values()) < 0.75
    assert utilization["a1"] > utilization["c1"]


def test_own_failure_domain_is_preferred_while_memory_is_free(chains, memory):
    load = reservations.Reservations()
    counts = _count_by_chain(chains, load, memory, fronts=300, domain="b")
    assert counts["b1"] > 1.3 * counts["a1"]
    load.set_others({"b1": 0.8 * _CAPACITY_TOKENS * 80})
    counts = _count_by_chain(chains, load, memory, fronts=300, domain="b")
    assert counts["a1"] > 3 * counts["b1"]


def test_reservations_of_other_fronts_count(chains, memory):
    """Load pattern: ten fronts load the same backend servers at once."""
    load = reservations.Reservations()
    load.set_others(
        {"a1": 0.97 * _CAPACITY_TOKENS * 80, "b1": 0.2 * _CAPACITY_TOKENS * 80}
    )
    admitted = _decide(chains, load, memory)
    assert admitted.chain.first.server_id == "b1"
    load.set_others(
        {"a1": 0.97 * _CAPACITY_TOKENS * 80, "b1": 0.97 * _CAPACITY_TOKENS * 80}
    )
    assert isinstance(_decide(chains, load, memory), admission.Refused)


def test_burst_is_admitted_up_to_the_memory_limit(chains, memory):
    """Load pattern: 2.5 times as many requests as fit into the memory."""
    load = reservations.Reservations()
    admitted = 0
    refused = 0
    held = []
    for _ in range(500):
        decision = _decide(chains, load, memory)
        if isinstance(decision, admission.Refused):
            refused += 1
            wait_s = decision.retry_after_s
            assert wait_s >= admission.MIN_RETRY_AFTER_S
            assert wait_s <= 1.5 * admission.MAX_RETRY_AFTER_S
            continue
        context = load.reserved(decision.chain, tokens=1_000)
        context.__enter__()
        held.append(context)
        admitted += 1
    assert admitted == 190
    assert refused == 310
    for context in held:
        context.__exit__(None, None, None)
    assert not load.own


@pytest.mark.parametrize("full", [True, False])
def test_retry_after_is_jittered(chains, memory, full):
    """Load pattern: all fronts refuse at once, as memory or a chain lacks."""
    load = reservations.Reservations()
    load.set_others(dict(memory))
    offered = chains if full else []
    rng = random.Random(3)
    waits = sorted(
        _decide(offered, load, memory, chance=rng.random()).retry_after_s
        for _ in range(200)
    )
    # The busiest tenth of the retry window has less than a third of them.
    width = (waits[-1] - waits[0]) / 10
    assert width > 0.1 * waits[0] / 10
    max_in_window = max(
        sum(start <= wait < start + width for wait in waits) for start in waits
    )
    assert max_in_window < len(waits) / 3


def test_started_stream_resumes_when_memory_is_overcommitted(chains, memory):
    """Load pattern: a chain breaks while the others are full."""
    load = reservations.Reservations()
    load.set_others(
        {"a1": 1.1 * _CAPACITY_TOKENS * 80, "b1": 1.2 * _CAPACITY_TOKENS * 80}
    )
    assert isinstance(_decide(chains, load, memory), admission.Refused)
    resumed = admission.decide(
        chains,
        tokens=1_000,
        answer_tokens=200,
        load=load,
        memory=memory,
        failure_domain="b",
        chance=0.5,
        begun=True,
    )
    assert resumed.chain.first.server_id == "a1"


def test_reservation_is_released_on_an_exception(chains):
    load = reservations.Reservations()
    with pytest.raises(KeyError), load.reserved(chains[0], tokens=10):
        assert load.in_flight == 1
        raise KeyError
    assert load.in_flight == 0
    assert not load.own


def test_retry_after_is_the_first_holdoff_without_a_chain():
    """Load pattern: all backend servers sent `Retry-After`."""
    refused = admission.decide(
        [],
        tokens=10,
        answer_tokens=5,
        load=reservations.Reservations(),
        memory={},
        failure_domain="a",
        chance=0.0,
        held_off_s=1.5,
    )
    assert refused.retry_after_s == 1.5
