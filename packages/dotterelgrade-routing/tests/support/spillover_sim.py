"""Three failure domains whose demand swings, without a network."""

import collections
import dataclasses
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

DOMAINS = "abc"
FRONTS = 14
SWING = 0.55
PERIOD_S = 15.0


@dataclasses.dataclass
class Counts:
    """What became of the requests."""

    requests: int = 0
    late: int = 0
    left: int = 0


class Sim:
    """Fronts of three domains; `request` serves one and says if it is late."""

    step_s = 0.02

    def __init__(self, policy, *, requests_per_s, seed=1):
        self._rng = random.Random(seed)
        self._arrivals = random.Random(seed + 100)
        self._per_step = requests_per_s * self.step_s / len(DOMAINS)
        self.fronts = [(d, f) for d in DOMAINS for f in range(FRONTS)]
        self.policies = {
            f: spillover.POLICIES.make(policy) for f in self.fronts
        }
        self.plans = dict.fromkeys(self.fronts, spillover.Plan())
        self.sent = {f: sent_shares.SentShares() for f in self.fronts}
        self.due = {f: self._rng.random() * 0.5 for f in self.fronts}
        self.health = crossing_health.CrossingHealth()
        self.counts = Counts()
        self.ends = []
        self.now = 0.0

    def run(self, seconds):
        for step in range(int(seconds / self.step_s)):
            self.now = step * self.step_s
            while self.ends and self.ends[0][0] <= self.now:
                self.end(*heapq.heappop(self.ends)[2:])
            self.begin_step()
            for front in self.fronts:
                if self.now >= self.due[front]:
                    self.due[front] += spillover.RECOMPUTE_INTERVAL_S
                    self._plan(front)
            for index, domain in enumerate(DOMAINS):
                phase = self.now / PERIOD_S + index / len(DOMAINS)
                swing = 1 + SWING * math.sin(2 * math.pi * phase)
                for _ in range(self._poisson(self._per_step * swing)):
                    self._request((domain, self._arrivals.randrange(FRONTS)))
        return self.counts

    def _poisson(self, mean):
        count, left = 0, self._arrivals.random()
        chance = math.exp(-mean)
        while left > chance:
            left -= chance
            count += 1
            chance *= mean / count
        return count

    def _plan(self, front):
        loads, held = self.loads(front)
        by_domain = {load.failure_domain: load for load in loads}
        home = by_domain.pop(front[0], None)
        if home is None:
            return
        sent = dict(self.sent[front].shares())
        sent.pop(front[0], None)
        view = spillover.View(
            home=home, others=tuple(by_domain.values()), held=held, sent=sent
        )
        self.plans[front] = self.policies[front].update(view, now=self.now)

    def _request(self, front):
        terms = self.plans[front].terms(chance=self._rng.random())
        domain, late = self.serve(front, terms)
        self.sent[front].note(domain, now=self.now)
        self.counts.requests += 1
        self.counts.late += late
        self.counts.left += domain != front[0]

    def begin_step(self):
        pass

    def hold(self, until, *details):
        heapq.heappush(self.ends, (until, self.counts.requests, *details))


class ChainSim(Sim):
    """A model service with two chains in each domain."""

    _SPEEDS = (0.004, 0.005, 0.005, 0.007, 0.004, 0.006)
    _TOKENS = (40e3, 30e3, 30e3, 40e3, 50e3, 30e3)

    def __init__(self, policy, engine, *, snapshot_s, **options):
        super().__init__(policy, **options)
        self._engine, self._snapshot_s = engine, snapshot_s
        names = [f"{domain}{i}" for domain in DOMAINS for i in range(2)]
        self._chains = [
            _chain(name, speed)
            for name, speed in zip(names, self._SPEEDS, strict=True)
        ]
        tokens = zip(names, self._TOKENS, strict=True)
        self.memory = {name: t * engine.layers for name, t in tokens}
        self.used = dict.fromkeys(names, 0.0)
        self._own = {front: collections.Counter() for front in self.fronts}
        self._snapshot = reservations.Reservations()
        self._snapshot_at = -math.inf

    def begin_step(self):
        if self.now - self._snapshot_at >= self._snapshot_s:
            self._snapshot_at = self.now
            self._snapshot.set_others(dict(self.used))

    def loads(self, front):
        held = chain_loads.held_by_domain(
            self._chains, self._own[front], fronts=FRONTS
        )
        return chain_loads.by_domain(
            self._chains,
            engine=self._engine,
            load=self._snapshot,
            memory=self.memory,
            health=self.health,
            now=self.now,
        ), held

    def serve(self, front, terms):
        decision = admission.decide(
            [
                chain
                for chain in self._chains
                if terms.permits(chain.first.failure_domain, home=front[0])
            ],
            tokens=self._engine.mean_tokens,
            answer_tokens=self._engine.mean_answer_tokens,
            load=self._snapshot,
            memory=self.memory,
            failure_domain=front[0],
            chance=self._rng.random(),
            other_domain_factor=terms.other_domain_factor,
        )
        if isinstance(decision, admission.Refused):
            return front[0], True
        chain = decision.chain
        name = chain.first.server_id
        # Above this, requests wait for memory.
        late = self.used[name] > 0.8 * self.memory[name]
        taken = self._engine.mean_tokens * self._engine.layers
        self.used[name] += taken
        self._own[front][name] += taken
        until = self.now + 1.5 * chain.step_s * self._engine.mean_answer_tokens
        self.hold(until, front, name, taken)
        return chain.first.failure_domain, late

    def end(self, front, name, taken):
        self.used[name] -= taken
        self._own[front][name] -= taken


class PlainSim(Sim):
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
    _OBJECTIVE_S = 1.0
    _CROSSING_S = 0.02

    def __init__(self, policy, make_server, **options):
        super().__init__(policy, **options)
        self._servers = [
            make_server(name, failure_domain=name[0], slots=slots)
            for name, _, slots in self._SERVERS
        ]
        self._service_s = {name: s for name, s, _ in self._SERVERS}
        self._free = {name: [0.0] * slots for name, _, slots in self._SERVERS}
        self._in_flight = {f: collections.Counter() for f in self.fronts}
        self._answers = {f: server_loads.ServerLoads() for f in self.fronts}

    def loads(self, front):
        answers = self._answers[front]
        rates = self.sent[front].rates(now=self.now).items()
        held = {d: rate * FRONTS * answers.unloaded_s for d, rate in rates}
        return answers.by_domain(
            self._servers, held=held, health=self.health, now=self.now
        ), held

    def serve(self, front, terms):
        server = service_choice.choose(
            [
                server
                for server in self._servers
                if terms.permits(server.failure_domain, home=front[0])
            ],
            in_flight=self._in_flight[front],
            excluded=(),
            tried=(),
            failure_domain=front[0],
            rng=self._rng,
            other_domain_requests=terms.other_domain_requests,
        )
        slots = self._free[server.id]
        starts = max(self.now, min(slots))
        needed_s = self._service_s[server.id] * self._rng.uniform(0.5, 1.5)
        slots[slots.index(min(slots))] = starts + needed_s
        crosses = server.failure_domain != front[0]
        until = starts + needed_s + self._CROSSING_S * crosses
        self._in_flight[front][server.id] += 1
        self.hold(until, front, server.id, self.now)
        return server.failure_domain, until - self.now > self._OBJECTIVE_S

    def end(self, front, name, began_at):
        self._in_flight[front][name] -= 1
        taken_s = self.now - began_at
        self._answers[front].note_answer(name[0], taken_s, now=self.now)


def _chain(name, step_s):
    stage = chain_choice.Stage(
        server_id=name,
        address=f"{name}:1",
        failure_domain=name[0],
        layers=layer_range.LayerRange(0, 80),
    )
    return chain_choice.Chain(stages=(stage,), step_s=step_s)
