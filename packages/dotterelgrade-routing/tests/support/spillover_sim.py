"""Three failure domains whose demand swings, without a network."""

import collections
import heapq
import math
import random

from dotterelgrade_routing import admission
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import chain_loads
from dotterelgrade_routing import crossing_health
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import reservations
from dotterelgrade_routing import sent_shares
from dotterelgrade_routing import server_loads
from dotterelgrade_routing import service_choice
from dotterelgrade_routing import spillover

_FRONTS = 14
_STEP_S = 0.02


class _Front:
    def __init__(self, policy, domain, due_at):
        self.domain, self.due_at = domain, due_at
        self.policy = spillover.POLICIES.make(policy)
        self.plan = spillover.Plan()
        self.sent = sent_shares.SentShares()
        self.answers = server_loads.ServerLoads()
        self.own = collections.Counter()

    def replan(self, loads, held, now):
        by_domain = {load.failure_domain: load for load in loads}
        sent = dict(self.sent.shares())
        sent.pop(self.domain, None)
        view = spillover.View(
            home=by_domain.pop(self.domain, None),
            others=tuple(by_domain.values()),
            held=held,
            sent=sent,
        )
        self.plan = self.policy.update(view, now=now)


class _Sim:
    """Fronts of three domains; `late` and `left` count their requests."""

    def __init__(self, policy, *, requests_per_s, seed):
        self._rng = random.Random(seed)
        self._arrivals = random.Random(seed + 100)
        self._per_step = requests_per_s * _STEP_S / 3
        self._fronts = [
            _Front(policy, domain, self._rng.random() * 0.5)
            for domain in "abc"
            for _ in range(_FRONTS)
        ]
        self._health = crossing_health.CrossingHealth()
        self._ends = []
        self._now = 0.0
        self.late = self.left = 0

    def run(self, seconds):
        for step in range(int(seconds / _STEP_S)):
            self._now = step * _STEP_S
            while self._ends and self._ends[0][0] <= self._now:
                self._end(*heapq.heappop(self._ends)[2:])
            for front in self._fronts:
                if self._now >= front.due_at:
                    front.due_at += spillover.RECOMPUTE_INTERVAL_S
                    front.replan(*self._loads(front), self._now)
            for index in range(3):
                phase = 2 * math.pi * (self._now / 15.0 + index / 3)
                mean = self._per_step * (1 + 0.55 * math.sin(phase))
                for _ in range(self._poisson(mean)):
                    number = self._arrivals.randrange(_FRONTS)
                    self._request(self._fronts[index * _FRONTS + number])
        return self

    def _poisson(self, mean):
        count, left = 0, self._arrivals.random()
        chance = math.exp(-mean)
        while left > chance:
            left -= chance
            count += 1
            chance *= mean / count
        return count

    def _request(self, front):
        terms = front.plan.terms(chance=self._rng.random())
        domain = self._serve(front, terms)
        front.sent.note(domain, now=self._now)
        self.left += domain != front.domain

    def _hold(self, until, *details):
        heapq.heappush(self._ends, (until, self._rng.random(), *details))


class ChainSim(_Sim):
    """A model service with two chains in each domain."""

    _STAGES = (
        ("a0", 0.004, 40e3),
        ("a1", 0.005, 30e3),
        ("b0", 0.005, 30e3),
        ("b1", 0.007, 40e3),
        ("c0", 0.004, 50e3),
        ("c1", 0.006, 30e3),
    )

    def __init__(self, policy, engine, *, snapshot_s, **options):
        super().__init__(policy, **options)
        self._engine, self._snapshot_s = engine, snapshot_s
        self._chains = [_chain(name, s) for name, s, _ in self._STAGES]
        self._memory = {name: tokens * 80 for name, _, tokens in self._STAGES}
        self._used = collections.Counter()
        self._snapshot = reservations.Reservations()
        self._snapshot_at = -math.inf

    def _loads(self, front):
        loads = chain_loads.by_domain(
            self._chains,
            engine=self._engine,
            load=self._snapshot,
            memory=self._memory,
            health=self._health,
            now=self._now,
        )
        return loads, chain_loads.held_by_domain(
            self._chains, front.own, fronts=_FRONTS
        )

    def _serve(self, front, terms):
        if self._now - self._snapshot_at >= self._snapshot_s:
            self._snapshot_at = self._now
            self._snapshot.set_others(dict(self._used))
        decision = admission.decide(
            [
                chain
                for chain in self._chains
                if terms.permits(chain.first.failure_domain, home=front.domain)
            ],
            tokens=self._engine.mean_tokens,
            answer_tokens=self._engine.mean_answer_tokens,
            load=self._snapshot,
            memory=self._memory,
            failure_domain=front.domain,
            chance=self._rng.random(),
            other_domain_factor=terms.other_domain_factor,
        )
        if isinstance(decision, admission.Refused):
            self.late += 1
            return front.domain
        name = decision.chain.first.server_id
        # Above this, requests wait for memory.
        self.late += self._used[name] > 0.8 * self._memory[name]
        taken = self._engine.mean_tokens * 80
        self._used[name] += taken
        front.own[name] += taken
        answer_s = decision.chain.step_s * self._engine.mean_answer_tokens
        self._hold(self._now + 1.5 * answer_s, front, name, taken)
        return name[0]

    def _end(self, front, name, taken):
        self._used[name] -= taken
        front.own[name] -= taken


class PlainSim(_Sim):
    """A plain service with two or three servers in each domain."""

    _SERVERS = (
        ("a0", 0.2, 4),
        ("a1", 0.2, 6),
        ("a2", 0.3, 4),
        ("b0", 0.2, 6),
        ("b1", 0.4, 4),
        ("c0", 0.2, 6),
        ("c1", 0.25, 4),
        ("c2", 0.25, 4),
    )

    def __init__(self, policy, make_server, **options):
        super().__init__(policy, **options)
        self._servers = [
            make_server(name, failure_domain=name[0], slots=slots)
            for name, _, slots in self._SERVERS
        ]
        self._service_s = {name: s for name, s, _ in self._SERVERS}
        self._free = {name: [0.0] * slots for name, _, slots in self._SERVERS}

    def _loads(self, front):
        scale = _FRONTS * front.answers.unloaded_s
        rates = front.sent.rates(now=self._now).items()
        held = {domain: rate * scale for domain, rate in rates}
        return front.answers.by_domain(
            self._servers, held=held, health=self._health, now=self._now
        ), held

    def _serve(self, front, terms):
        server = service_choice.choose(
            [
                server
                for server in self._servers
                if terms.permits(server.failure_domain, home=front.domain)
            ],
            in_flight=front.own,
            excluded=(),
            tried=(),
            failure_domain=front.domain,
            rng=self._rng,
            other_domain_requests=terms.other_domain_requests,
        )
        slots = self._free[server.id]
        slots.sort()
        needed_s = self._service_s[server.id] * self._rng.uniform(0.5, 1.5)
        slots[0] = max(self._now, slots[0]) + needed_s
        until = slots[0] + 0.02 * (server.failure_domain != front.domain)
        front.own[server.id] += 1
        self._hold(until, front, server.id, self._now)
        self.late += until - self._now > 1.0
        return server.failure_domain

    def _end(self, front, name, began_at):
        front.own[name] -= 1
        taken_s = self._now - began_at
        front.answers.note_answer(name[0], taken_s, now=self._now)


def _chain(name, step_s):
    stage = chain_choice.Stage(
        server_id=name,
        address=f"{name}:1",
        failure_domain=name[0],
        layers=layer_range.LayerRange(0, 80),
    )
    return chain_choice.Chain(stages=(stage,), step_s=step_s)
