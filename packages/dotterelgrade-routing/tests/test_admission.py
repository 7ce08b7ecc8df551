import pytest

from dotterelgrade_routing import admission
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import load_picture

_ROOM = 100_000.0


@pytest.fixture
def chains(engine, make_holder):
    holders = [
        make_holder("a1", 0, 80, domain="a", total=_ROOM * 80),
        make_holder("b1", 0, 80, domain="b", total=_ROOM * 80),
    ]
    return chain_choice.candidates(engine, holders)


@pytest.fixture
def memory():
    return {"a1": _ROOM * 80, "b1": _ROOM * 80}


def _decide(chains, load, memory, tokens=1_000):
    return admission.decide(
        chains, tokens=tokens, answer_tokens=200, load=load, memory=memory
    )


def test_no_chain_is_refused_at_once(memory):
    refused = _decide([], load_picture.LoadPicture(), memory)
    assert isinstance(refused, admission.Refused)
    assert refused.retry_after_s > 0


def test_requests_spread_over_chains_of_equal_speed(chains, memory):
    load = load_picture.LoadPicture()
    first = _decide(chains, load, memory)
    with load.reserved(first.chain, tokens=30_000):
        second = _decide(chains, load, memory)
        assert second.chain.first != first.chain.first


def test_the_reservations_of_other_fronts_count(chains, memory):
    """Load pattern: ten fronts fill the same backend servers at once."""
    load = load_picture.LoadPicture()
    load.set_others({"a1": 0.97 * _ROOM * 80, "b1": 0.2 * _ROOM * 80})
    admitted = _decide(chains, load, memory)
    assert admitted.chain.first.server_id == "b1"
    load.set_others({"a1": 0.97 * _ROOM * 80, "b1": 0.97 * _ROOM * 80})
    assert isinstance(_decide(chains, load, memory), admission.Refused)


def test_a_burst_is_admitted_up_to_the_memory_and_not_beyond(chains, memory):
    """Load pattern: 2.5 times as many requests as the memory holds."""
    load = load_picture.LoadPicture()
    admitted = 0
    with_refusals = 0
    held = []
    for _ in range(500):
        decision = _decide(chains, load, memory)
        if isinstance(decision, admission.Refused):
            with_refusals += 1
            wait_s = decision.retry_after_s
            assert wait_s >= admission.SHORTEST_RETRY_S
            assert wait_s <= admission.LONGEST_RETRY_S
            continue
        context = load.reserved(decision.chain, tokens=1_000)
        context.__enter__()
        held.append(context)
        admitted += 1
    assert admitted == 190
    assert with_refusals == 310
    for context in held:
        context.__exit__(None, None, None)
    assert not load.own


def test_a_stream_that_has_begun_goes_on_in_a_full_house(chains, memory):
    """Load pattern: a chain breaks while the others are full."""
    load = load_picture.LoadPicture()
    load.set_others({"a1": 1.1 * _ROOM * 80, "b1": 1.2 * _ROOM * 80})
    assert isinstance(_decide(chains, load, memory), admission.Refused)
    going_on = admission.decide(
        chains,
        tokens=1_000,
        answer_tokens=200,
        load=load,
        memory=memory,
        begun=True,
    )
    assert going_on.chain.first.server_id == "a1"


def test_reservations_end_with_an_exception(chains):
    load = load_picture.LoadPicture()
    with pytest.raises(KeyError), load.reserved(chains[0], tokens=10):
        assert load.in_flight == 1
        raise KeyError
    assert load.in_flight == 0
    assert not load.own
