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


def test_engines_with_unconfirmed_faults_are_used_if_no_others_are_left(front):
    """Most engines lose responses at the same time."""
    _add_engines(front)
    exclusions = front.state.exclusions
    for number in range(3):
        exclusions.note_failure(
            f"e{number}", now=time.monotonic(), confirmed=False
        )
    assert _first_ids(front)
    # The second call returns the cached offer.
    assert _first_ids(front)


def test_engines_with_unconfirmed_faults_are_skipped_if_others_are_left(front):
    _add_engines(front)
    exclusions = front.state.exclusions
    for number in range(2):
        exclusions.note_failure(
            f"e{number}", now=time.monotonic(), confirmed=False
        )
    assert _first_ids(front) == {"e2"}
    assert not _offer(front).includes_suspects


def test_engines_with_confirmed_faults_are_never_used(front):
    _add_engines(front)
    exclusions = front.state.exclusions
    for number in range(3):
        exclusions.note_failure(f"e{number}", now=time.monotonic())
    assert not _offer(front).chains


def test_offer_with_suspects_excludes_engines_with_confirmed_faults(front):
    _add_engines(front)
    exclusions = front.state.exclusions
    for number in range(3):
        exclusions.note_failure(
            f"e{number}", now=time.monotonic(), confirmed=False
        )
    first = min(_first_ids(front))
    exclusions.note_failure(first, now=time.monotonic())
    assert first not in _first_ids(front)


def test_busy_engine_is_used_if_no_other_holds_its_layers(front):
    """Streams that fail over to a domain fill its only holder of a layer."""
    front.add("only", fakes.silent, service="model", layers=(0, 8))
    front.state.note_busy("only")
    assert _first_ids(front) == {"only"}


def test_busy_engine_is_used_last(front):
    _add_engines(front)
    for number in range(2):
        front.state.note_busy(f"e{number}")
    chains = _offer(front).chains
    assert chains[0].first.server_id == "e2"
