import time

import front_fakes as fakes

_SERVICE = fakes.CONFIGURATION.service("model")


def _add_engines(front):
    for number in range(3):
        front.add(f"e{number}", fakes.silent, service="model", layers=(0, 8))


def _offer(front):
    return front.state.chains.offer(_SERVICE)


def _first_ids(front):
    return {chain.first.server_id for chain in _offer(front).chains}


def test_when_all_lose_answers_they_are_used_all_the_same(front):
    """Load pattern: most engines lose answers at the same time."""
    _add_engines(front)
    trust = front.state.trust
    for number in range(3):
        trust.note_failure(f"e{number}", now=time.monotonic(), firm=False)
    assert _first_ids(front)
    # Not only just after the computation.
    assert _first_ids(front)


def test_who_loses_answers_is_passed_over_while_there_are_others(front):
    _add_engines(front)
    trust = front.state.trust
    for number in range(2):
        trust.note_failure(f"e{number}", now=time.monotonic(), firm=False)
    assert _first_ids(front) == {"e2"}
    assert not _offer(front).lenient


def test_who_is_known_to_be_at_fault_is_not_used(front):
    _add_engines(front)
    trust = front.state.trust
    for number in range(3):
        trust.note_failure(f"e{number}", now=time.monotonic())
    assert not _offer(front).chains


def test_a_lenient_offer_still_avoids_who_is_found_at_fault(front):
    _add_engines(front)
    trust = front.state.trust
    for number in range(3):
        trust.note_failure(f"e{number}", now=time.monotonic(), firm=False)
    first = min(_first_ids(front))
    trust.note_failure(first, now=time.monotonic())
    assert first not in _first_ids(front)


def test_a_busy_engine_that_alone_holds_its_layers_is_still_used(front):
    """Load pattern: streams that go on elsewhere fill one stage of a domain."""
    front.add("only", fakes.silent, service="model", layers=(0, 8))
    front.state.note_busy("only")
    assert _first_ids(front) == {"only"}


def test_a_busy_engine_is_used_last(front):
    _add_engines(front)
    for number in range(2):
        front.state.note_busy(f"e{number}")
    chains = _offer(front).chains
    assert chains[0].first.server_id == "e2"
