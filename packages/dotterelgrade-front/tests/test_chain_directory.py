import time
import types

import front_fakes as fakes

from dotterelgrade_front import chain_directory
from dotterelgrade_routing import chain_choice

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


def test_layers_beyond_the_model_are_not_used(front):
    """No chain ended at the last layer, so that the engine was never used."""
    front.add("wide", fakes.silent, service="model", layers=(0, 60_000))
    front.add("beyond", fakes.silent, service="model", layers=(9, 12))
    (chain,) = _offer(front).chains
    (stage,) = chain.stages
    assert (stage.server_id, repr(stage.layers)) == ("wide", "0-8")


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


class _SlowSearch:
    """A search on a host whose clock goes on for a while meanwhile."""

    def __init__(self, monkeypatch, *, takes_s):
        self.now = 100.0
        self.searched_s = 0.0
        self._takes_s = takes_s
        self._candidates = chain_choice.candidates
        clock = types.SimpleNamespace(monotonic=lambda: self.now)
        monkeypatch.setattr(chain_directory, "time", clock)
        monkeypatch.setattr(chain_choice, "candidates", self._search)

    def _search(self, engine, holders):
        self.now += self._takes_s
        self.searched_s += self._takes_s
        return self._candidates(engine, holders)

    def offers_of(self, front, *, for_s):
        """Asks for an offer each 50 ms while the fleet changes."""
        offers = []
        end = self.now + for_s
        while self.now < end:
            offers.append(_offer(front))
            front.state.fleet.note_leaving("e0", started_ms=0)
            front.add("e0", fakes.silent, service="model", layers=(0, 8))
            self.now += 0.05
        return offers


def test_requests_are_not_held_by_chain_searches_on_a_slow_host(
    front, monkeypatch
):
    """A large fleet, in which some engine changes all the time."""
    _add_engines(front)
    search = _SlowSearch(monkeypatch, takes_s=0.06)
    search.offers_of(front, for_s=6.0)
    assert search.searched_s <= 0.6 + 0.06


def test_chains_are_renewed_each_second_however_long_a_search_takes(
    front, monkeypatch
):
    _add_engines(front)
    search = _SlowSearch(monkeypatch, takes_s=0.5)
    offers = search.offers_of(front, for_s=6.0)
    times = sorted({offer.computed_at for offer in offers})
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert gaps
    assert max(gaps) <= 1.0 + 0.05 + 1e-9
