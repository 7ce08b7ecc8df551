"""Replays overload against both policies; `uniform` fails each of them."""

import heapq
import itertools
import random

import pytest

from dotterelgrade_routing import admission
from dotterelgrade_routing import admission_policies
from dotterelgrade_routing import admission_shares
from dotterelgrade_routing import arrival_counter
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import demand_totals
from dotterelgrade_routing import reservations

_MEAN_TOKENS = 1_000
_MEAN_LOAD = 80.0 * _MEAN_TOKENS
_ANSWER_S = 4.0
# Requests of mean size that fit into the memory of one chain.
_SLOTS = 50
_NAMES = [f"e{i}" for i in range(10)]
# Requests per second that fill all memory.
_FULL_PER_S = len(_NAMES) * _SLOTS / _ANSWER_S


@pytest.fixture
def replay(engine, make_holder):
    holders = [
        make_holder(name, 0, 80, domain=name, total=_SLOTS * _MEAN_LOAD)
        for name in _NAMES
    ]
    chains = chain_choice.candidates(engine, holders)
    return lambda policy: _Replay(policy, chains)


class _Replay:
    """All requests of a service at one front, for some seconds."""

    def __init__(self, policy, chains):
        self._policy = admission_policies.POLICIES.make(policy)
        self.now = 0.0
        self.chains = chains
        self.memory = dict.fromkeys(_NAMES, _SLOTS * _MEAN_LOAD)
        self.load = reservations.Reservations()
        clock = {"clock": lambda: self.now}
        self.arrivals = arrival_counter.ArrivalCounter(**clock)
        self._totals = demand_totals.DemandTotals(self.arrivals, **clock)
        self.shares = admission_shares.AdmissionShares(**clock)
        self._rng = random.Random(5)
        self._held = []
        self._serial = itertools.count()

    def decide(self, rank, workspace="", *, size=1.0):
        tokens = size * _MEAN_TOKENS
        ask = make_ask(rank, workspace, size)
        self.arrivals.note_arrival("model", rank, load=ask.load)
        self.shares.note_asked(ask)
        conditions = admission_policies.Conditions(
            utilization=min(
                admission.utilization_with(c, tokens, self.load, self.memory)
                for c in self.chains
            ),
            capacity=sum(self.memory.values()),
            turnover_s=_ANSWER_S / 2,
            demand=self._totals.demand_for("model", fronts=1),
            shares=self.shares,
            chance=self._rng.random(),
        )
        terms = self._policy.terms(ask, conditions)
        decision = self._place(tokens, terms=terms)
        if isinstance(decision, admission.Admitted):
            self.shares.note_given(ask)
            self.hold(decision.chain, tokens, rank)
        return decision

    def _place(self, tokens, **rest):
        return admission.decide(
            self.chains,
            tokens=tokens,
            answer_tokens=200,
            load=self.load,
            memory=self.memory,
            failure_domain="e0",
            chance=self._rng.random(),
            **rest,
        )

    def hold(self, chain, tokens, rank):
        context = self.load.reserved(chain, tokens=tokens)
        context.__enter__()
        end = (self.now + _ANSWER_S, next(self._serial))
        heapq.heappush(self._held, (end, chain, tokens, rank, context))

    def run(self, seconds, rates, *, workspaces=None):
        """Returns the served and all requests by rank and workspace."""
        counts = {}
        workspaces = workspaces or {"w": 1}
        end = self.now + seconds
        while True:
            self.now += self._rng.expovariate(sum(rates.values()))
            while self._held and self._held[0][0][0] <= self.now:
                heapq.heappop(self._held)[-1].__exit__(None, None, None)
            if self.now >= end:
                return counts
            rank, name = (
                self._rng.choices([*kinds], [*kinds.values()])[0]
                for kinds in (rates, workspaces)
            )
            decision = self.decide(rank, name)
            tally = counts.setdefault((rank, name), [0, 0])
            tally[0] += isinstance(decision, admission.Admitted)
            tally[1] += 1

    def lose(self, count):
        """Loses chains; returns the utilizations that their streams find."""
        lost, self.chains = self.chains[:count], self.chains[count:]
        for chain in lost:
            del self.memory[chain.first.server_id]
        found = []
        for entry in [e for e in self._held if e[1] in lost]:
            _, _, tokens, rank, context = entry
            self._held.remove(entry)
            context.__exit__(None, None, None)
            decision = self._place(tokens, begun=True)
            self.arrivals.note_moved("model", rank, load=80 * tokens)
            self.hold(decision.chain, tokens, rank)
            found.append(decision.utilization)
        heapq.heapify(self._held)
        return found


def make_ask(rank, workspace="", size=1.0):
    return admission_shares.Ask(
        service="model",
        rank=rank,
        workspace=workspace,
        size=size,
        load=size * _MEAN_LOAD,
    )


def _served(counts, keep):
    kept = [tally for key, tally in counts.items() if keep(*key)]
    return sum(t[0] for t in kept) / sum(t[1] for t in kept)


def _burst(replayed):
    quiet = {0: 0.35 * _FULL_PER_S, 2: 0.4 * _FULL_PER_S}
    replayed.run(15, quiet)
    counts = replayed.run(6.5, {**quiet, 2: 2.3 * quiet[2]})
    return [_served(counts, lambda rank, _, of=of: rank == of) for of in quiet]


def test_a_burst_of_a_low_rank_leaves_room_for_the_high_one(replay):
    """Load pattern: 2.3 times a less urgent kind for 6.5 s."""
    urgent, other = _burst(replay("priority"))
    assert urgent == 1.0
    # The burst itself is not starved.
    assert other > 0.4
    assert _burst(replay("uniform"))[0] < 1.0


def _pressed(replayed):
    """Returns the shares served of the pressing workspace and of the rest."""
    skewed = {f"w{i}": (i + 1) ** -1.2 for i in range(24)}
    rates = {0: 0.15 * _FULL_PER_S, 1: 0.65 * _FULL_PER_S}
    replayed.run(10, rates, workspaces=skewed)
    skewed["w5"] += 1.5 * sum(skewed.values())
    counts = replayed.run(
        20, {r: 2.5 * v for r, v in rates.items()}, workspaces=skewed
    )
    return (
        _served(counts, lambda _, name: name == "w5"),
        _served(counts, lambda _, name: name != "w5"),
    )


def test_a_workspace_that_presses_is_deferred_before_the_others(replay):
    """Load pattern: 24 workspaces with a skew of 1.2, one of them bursts."""
    uniform_pressing, uniform_rest = _pressed(replay("uniform"))
    assert uniform_rest < 1.1 * uniform_pressing
    pressing, rest = _pressed(replay("priority"))
    assert rest > 1.3 * pressing
    assert rest > 1.1 * uniform_rest


def _lost_twice(replayed):
    for _ in range(2):
        replayed.run(10, {0: 0.3 * _FULL_PER_S, 1: 1.0 * _FULL_PER_S})
        found = replayed.lose(2)
    return max(found)


def test_streams_of_lost_stages_find_memory(replay):
    """Load pattern: two stages crash, for the second time within a minute.

    Without headroom memory is at 0.9 and their streams overcommit the others.
    """
    assert _lost_twice(replay("uniform")) > admission.MAX_UTILIZATION
    assert _lost_twice(replay("priority")) <= admission.MAX_UTILIZATION


def test_the_lowest_rank_is_never_starved(replay):
    """Load pattern: urgent requests alone need more than all memory."""
    counts = replay("priority").run(
        20, {0: 1.5 * _FULL_PER_S, 3: 0.5 * _FULL_PER_S}
    )
    lowest = _served(counts, lambda rank, _: rank == 3)
    assert 0.1 < lowest < _served(counts, lambda rank, _: rank == 0)


def test_urgent_requests_take_the_better_chains(replay):
    """Load pattern: half of the chains are in use before a mixed load."""
    mean = {}
    for policy in ("priority", "uniform"):
        replayed = replay(policy)
        for chain in replayed.chains[:5] * 20:
            replayed.hold(chain, _MEAN_TOKENS, 1)
        for rank in (0, 2) * 100:
            utilization = replayed.decide(rank).utilization
            mean[policy, rank] = mean.get((policy, rank), 0.0) + utilization
    assert mean["priority", 0] < mean["priority", 2]
    assert mean["priority", 0] < mean["uniform", 0]


def test_a_large_request_gets_the_limit_of_the_rank_above(replay):
    replayed = replay("priority")
    replayed.load.set_others(
        {name: 0.8 * total for name, total in replayed.memory.items()}
    )
    replayed.arrivals.note_arrival("model", 0, load=200 * 4e6)
    # Rank 1 has its share, so that the guarantee does not apply.
    replayed.shares.note_given(make_ask(1, size=200.0))
    assert isinstance(replayed.decide(1), admission.Refused)
    assert isinstance(replayed.decide(1, size=2.5), admission.Admitted)
