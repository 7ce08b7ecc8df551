"""Replays overload against both policies; `uniform` fails each of them."""

import heapq
import itertools
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from dotterelgrade_routing import admission
from dotterelgrade_routing import admission_policies
from dotterelgrade_routing import admission_shares
from dotterelgrade_routing import arrival_counter
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import demand_totals
from dotterelgrade_routing import rank_demand
from dotterelgrade_routing import reservations

_LAYERS = 80
_MEAN_TOKENS = 1_000
_ANSWER_S = 4.0
# Requests of mean size that fit into the memory of one chain.
_SLOTS = 50
_CHAINS = 10


@pytest.fixture
def replay(engine, make_holder):
    memory = dict.fromkeys(
        (f"e{i}" for i in range(_CHAINS)),
        float(_SLOTS * _MEAN_TOKENS * _LAYERS),
    )
    holders = [
        make_holder(name, 0, _LAYERS, domain=name, total=total)
        for name, total in memory.items()
    ]
    chains = chain_choice.candidates(engine, holders)
    return lambda policy: _Replay(policy, chains, memory)


class _Replay:
    """All requests of a service at one front, for some seconds."""

    def __init__(self, policy, chains, memory):
        self._policy = admission_policies.POLICIES.make(policy)
        self.now = 0.0
        self.chains = chains
        self.memory = dict(memory)
        self.load = reservations.Reservations()
        self.arrivals = arrival_counter.ArrivalCounter(clock=lambda: self.now)
        self._totals = demand_totals.DemandTotals(
            self.arrivals, clock=lambda: self.now
        )
        self._shares = admission_shares.AdmissionShares(clock=lambda: self.now)
        self._rng = random.Random(5)
        self._held = []
        self._serial = itertools.count()

    def decide(self, rank, workspace="", *, size=1.0):
        tokens = size * _MEAN_TOKENS
        ask = admission_shares.Ask(
            service="model",
            rank=rank,
            workspace=workspace,
            size=size,
            load=tokens * _LAYERS,
        )
        self.arrivals.note_arrival("model", rank, load=ask.load)
        self._shares.note_asked(ask)
        terms = self._policy.terms(
            ask,
            admission_policies.Conditions(
                utilization=min(
                    admission.utilization_with(
                        c, tokens, self.load, self.memory
                    )
                    for c in self.chains
                ),
                capacity=sum(self.memory.values()),
                turnover_s=_ANSWER_S / 2,
                demand=self._totals.demand_for("model", fronts=1),
                shares=self._shares,
                chance=self._rng.random(),
            ),
        )
        decision = self.place(tokens, terms=terms)
        if isinstance(decision, admission.Admitted):
            self._shares.note_given(ask)
            self.hold(decision.chain, tokens, rank)
        return decision

    def place(self, tokens, *, begun=False, terms=admission.UNIFORM_TERMS):
        return admission.decide(
            self.chains,
            tokens=tokens,
            answer_tokens=200,
            load=self.load,
            memory=self.memory,
            failure_domain="e0",
            chance=self._rng.random(),
            begun=begun,
            terms=terms,
        )

    def hold(self, chain, tokens, rank):
        context = self.load.reserved(chain, tokens=tokens)
        context.__enter__()
        entry = (
            self.now + _ANSWER_S,
            next(self._serial),
            chain,
            tokens,
            rank,
            context,
        )
        heapq.heappush(self._held, entry)

    def run(self, seconds, rates, *, workspaces=None):
        """Returns the served and all requests by rank and workspace."""
        counts = {}
        end = self.now + seconds
        total = sum(rates.values())
        while True:
            self.now += self._rng.expovariate(total)
            while self._held and self._held[0][0] <= self.now:
                heapq.heappop(self._held)[-1].__exit__(None, None, None)
            if self.now >= end:
                return counts
            (rank,) = self._rng.choices([*rates], [*rates.values()])
            name = "w"
            if workspaces:
                (name,) = self._rng.choices(
                    [*workspaces], [*workspaces.values()]
                )
            decision = self.decide(rank, name)
            tally = counts.setdefault((rank, name), [0, 0])
            tally[0] += isinstance(decision, admission.Admitted)
            tally[1] += 1

    def lose(self, count):
        """Loses chains; returns the utilizations that their streams find."""
        lost = {c.first.server_id for c in self.chains[:count]}
        self.chains = self.chains[count:]
        for name in lost:
            del self.memory[name]
        found = []
        streams, self._held = self._held, []
        for entry in streams:
            _, _, chain, tokens, rank, context = entry
            if chain.first.server_id not in lost:
                heapq.heappush(self._held, entry)
                continue
            context.__exit__(None, None, None)
            decision = self.place(tokens, begun=True)
            self.arrivals.note_moved("model", rank, load=tokens * _LAYERS)
            self.hold(decision.chain, tokens, rank)
            found.append(decision.utilization)
        return found

    @property
    def mean_utilization(self):
        used = sum(self.load.used(name) for name in self.memory)
        return used / sum(self.memory.values())


def _served(counts, keep=lambda rank, name: True):
    kept = [tally for key, tally in counts.items() if keep(*key)]
    return sum(t[0] for t in kept) / sum(t[1] for t in kept)


# Requests per second that fill all memory.
_FULL_PER_S = _CHAINS * _SLOTS / _ANSWER_S


def _burst(replayed):
    quiet = {0: 0.35 * _FULL_PER_S, 2: 0.4 * _FULL_PER_S}
    replayed.run(15, quiet)
    counts = replayed.run(6.5, {**quiet, 2: 2.3 * quiet[2]})
    return [
        _served(counts, lambda rank, _, of=rank: rank == of) for rank in (0, 2)
    ]


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
    rates = {0: 0.3 * _FULL_PER_S, 1: 1.0 * _FULL_PER_S}
    replayed.run(10, rates)
    replayed.lose(2)
    replayed.run(10, rates)
    return replayed.lose(2)


def test_streams_of_lost_stages_find_memory(replay):
    """Load pattern: two stages crash, for the second time within a minute.

    Without headroom memory is at 0.9 and their streams overcommit the others.
    """
    assert max(_lost_twice(replay("uniform"))) > admission.MAX_UTILIZATION
    assert max(_lost_twice(replay("priority"))) <= admission.MAX_UTILIZATION


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
        for chain in replayed.chains[:5]:
            for _ in range(20):
                replayed.hold(chain, _MEAN_TOKENS, 1)
        found = {0: [], 2: []}
        for _ in range(100):
            for rank, utilizations in found.items():
                decision = replayed.decide(rank)
                utilizations.append(decision.utilization)
        mean[policy] = [sum(found[r]) / len(found[r]) for r in (0, 2)]
    assert mean["priority"][0] < mean["priority"][1]
    assert mean["priority"][0] < mean["uniform"][0]


def test_a_large_request_gets_the_limit_of_the_rank_above(replay):
    replayed = replay("priority")
    for name in replayed.memory:
        replayed.load.set_others(
            dict.fromkeys(replayed.memory, 0.8 * replayed.memory[name])
        )
    for _ in range(200):
        replayed.arrivals.note_arrival("model", 0, load=4e6)
        replayed._shares.note_given(
            admission_shares.Ask(
                service="model", rank=1, workspace="", size=1.0, load=1.0
            )
        )
    assert isinstance(replayed.decide(1), admission.Refused)
    assert isinstance(replayed.decide(1, size=2.5), admission.Admitted)


_FRACTIONS = st.floats(0.0, 1.0)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    size=st.floats(0.01, 20.0),
    utilization=_FRACTIONS,
    chance=_FRACTIONS,
    asked=st.lists(st.sampled_from("abc"), max_size=6),
)
def test_a_single_rank_is_admitted_as_before(size, utilization, chance, asked):
    """Both policies agree where no request is more urgent than another."""
    shares = admission_shares.AdmissionShares(clock=lambda: 0.0)
    ask = admission_shares.Ask(
        service="model", rank=0, workspace="", size=size, load=size
    )
    for _ in asked:
        shares.note_given(ask)
    conditions = admission_policies.Conditions(
        utilization=utilization,
        capacity=1e6,
        turnover_s=1.0,
        demand=rank_demand.ServiceDemand(
            load_per_s={0: size}, seen=frozenset({0})
        ),
        shares=shares,
        chance=chance,
    )
    terms = [
        admission_policies.POLICIES.make(name).terms(ask, conditions)
        for name in admission_policies.POLICIES.names()
    ]
    assert terms == [admission.UNIFORM_TERMS] * 2
