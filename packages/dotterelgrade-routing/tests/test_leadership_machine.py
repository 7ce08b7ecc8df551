"""Model-based test of elections under partitions, restarts and handovers.

At most one front that reaches the store is planner once all of them have asked
the store, and no further term is claimed. A planner that loses the store while
others reach it stops, and its named successor continues. When all fronts reach
the store again, exactly one is planner, also after a restore of the store.
"""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from dotterelgrade_routing import leadership as leadership_lib
from dotterelgrade_routing import platform_port

_FRONTS = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
_fronts = strategies.sampled_from(_FRONTS)


class _Store:
    """Terms as records of one topic; a restore may lose the last ones."""

    def __init__(self):
        self.era = 1
        self.planners = []

    def current(self):
        planner = self.planners[-1] if self.planners else ""
        return platform_port.Term(
            number=len(self.planners), planner=planner, era=self.era
        )

    def claim(self, member, *, after):
        if after.number != len(self.planners):
            return None
        self.planners.append(member)
        return self.current()

    def restore(self, *, lost):
        del self.planners[max(0, len(self.planners) - lost) :]
        self.era += 1


@dataclasses.dataclass
class _Front:
    leadership: leadership_lib.Leadership
    reaches: bool = True
    heard_at: float = 0.0


class LeadershipMachine(stateful.RuleBasedStateMachine):
    """Three fronts, the store and a clock."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = _Store()
        self.fronts = {own: self._new_front(own) for own in _FRONTS}

    @stateful.initialize(own=_fronts)
    def elect_one(self, own):
        self.fronts[own].leadership.note_planner_missing(now=self.now)
        self._ask_store(own)
        self.fronts[own].leadership.note_planner_missing(now=self.now)
        self._ask_store(own)
        assert self._leading() == [own]

    @stateful.rule(own=_fronts)
    def planner_does_not_answer(self, own):
        self.fronts[own].leadership.note_planner_missing(now=self.now)

    def _new_front(self, own):
        return _Front(leadership_lib.Leadership(own), heard_at=self.now)

    def _ask_store(self, own):
        """Asks for the newest term, and claims the next one if it may."""
        front = self.fronts[own]
        if not front.reaches:
            return
        front.heard_at = self.now
        term = self.store.current()
        front.leadership.note_term(term, at=self.now)
        if front.leadership.should_claim(delay_s=0.0, now=self.now):
            claimed = self.store.claim(own, after=term)
            if claimed is not None:
                front.leadership.note_term(claimed, at=self.now)

    def _leading(self, *, reaching=False):
        return [
            own
            for own, front in self.fronts.items()
            if front.leadership.leads and (front.reaches or not reaching)
        ]

    @stateful.rule(own=_fronts)
    def front_asks_the_store(self, own):
        self._ask_store(own)

    @stateful.rule(own=_fronts)
    def cut_off_front(self, own):
        self.fronts[own].reaches = False

    @stateful.rule(own=_fronts)
    def reconnect_front(self, own):
        self.fronts[own].reaches = True

    @stateful.rule(own=_fronts)
    def restart_front(self, own):
        reaches = self.fronts[own].reaches
        self.fronts[own] = self._new_front(own)
        self.fronts[own].reaches = reaches

    @stateful.rule(lost=strategies.integers(0, 2))
    def restore_store(self, lost):
        self.store.restore(lost=lost)

    @stateful.rule(seconds=strategies.sampled_from([0.2, 1.0, 4.0]))
    def advance_time(self, seconds):
        self.now += seconds
        for front in self.fronts.values():
            if front.reaches:
                front.heard_at = self.now

    @stateful.rule()
    def planners_learn_store_contact(self):
        """A planner that lost the store names a successor that reaches it."""
        for own in self._leading():
            front = self.fronts[own]
            others = {o: f for o, f in self.fronts.items() if o != own}
            front.leadership.note_peer_contact(
                heard_store_at=max(f.heard_at for f in others.values()),
                own_heard_at=front.heard_at,
            )
            behind_s = max(f.heard_at for f in others.values()) - front.heard_at
            if behind_s > leadership_lib.STORE_CONTACT_TIMEOUT_S:
                assert not front.leadership.leads
            reaching = [o for o, f in others.items() if f.reaches]
            if front.leadership.lost_store and reaching:
                self._succeed(reaching[0], ended=front.leadership.term)

    def _succeed(self, own, *, ended):
        """The named successor leads, whichever term it has read before."""
        current = self.store.current()
        self.fronts[own].leadership.take_over(ended)
        self._ask_store(own)
        if ended is not None and ended.rank == current.rank:
            assert self.fronts[own].leadership.leads

    @stateful.rule(own=_fronts)
    def front_tries_acting(self, own):
        front = self.fronts[own]
        silent_s = self.now - front.heard_at
        front.leadership.try_acting(store_silent_s=silent_s, unanswered=0)

    @stateful.rule()
    def all_ask_the_store(self):
        for _ in range(2):
            for own in _FRONTS:
                self._ask_store(own)
        assert len(self._leading(reaching=True)) <= 1
        claimed = len(self.store.planners)
        for own in _FRONTS:
            self._ask_store(own)
        assert len(self.store.planners) == claimed

    def teardown(self):
        for front in self.fronts.values():
            front.reaches = True
        for _ in range(6):
            self.advance_time(1.0)
            self._contact_planner()
            self.planners_learn_store_contact()
            for own in _FRONTS:
                self._ask_store(own)
        assert len(self._leading()) == 1

    def _contact_planner(self):
        """Each front contacts the planner of the newest term."""
        leading = self._leading()
        planner = self.store.current().planner
        for own, front in self.fronts.items():
            if planner in leading and planner != own:
                front.leadership.note_planner_answered(planner)
            elif not front.leadership.leads:
                front.leadership.note_planner_missing(now=self.now)


TestLeadership = LeadershipMachine.TestCase
TestLeadership.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=25, derandomize=True, deadline=None
)
