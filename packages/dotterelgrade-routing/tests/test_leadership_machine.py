"""Fronts that are cut off, restarted and handed over to, in any order.

Among fronts that reach the store, one plans once each of them has asked it, and
nobody claims its place; who hears the store no longer while others do plans no
longer, and who is named goes on. When all reach it again, exactly one plans,
also after the store came back from a copy.
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
    """Terms of one topic, as records that a copy may lack."""

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
    """Three fronts, the store, and time."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = _Store()
        self.fronts = {own: self._new(own) for own in _FRONTS}

    @stateful.initialize(own=_fronts)
    def one_is_elected(self, own):
        self.fronts[own].leadership.note_unanswered(now=self.now)
        self._ask(own)
        self.fronts[own].leadership.note_unanswered(now=self.now)
        self._ask(own)
        assert self._leading() == [own]

    @stateful.rule(own=_fronts)
    def one_gets_no_answer_from_the_planner(self, own):
        self.fronts[own].leadership.note_unanswered(now=self.now)

    def _new(self, own):
        return _Front(leadership_lib.Leadership(own), heard_at=self.now)

    def _ask(self, own):
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
    def one_asks(self, own):
        self._ask(own)

    @stateful.rule(own=_fronts)
    def one_is_cut_off(self, own):
        self.fronts[own].reaches = False

    @stateful.rule(own=_fronts)
    def one_reaches_the_store_again(self, own):
        self.fronts[own].reaches = True

    @stateful.rule(own=_fronts)
    def one_starts_again(self, own):
        reaches = self.fronts[own].reaches
        self.fronts[own] = self._new(own)
        self.fronts[own].reaches = reaches

    @stateful.rule(lost=strategies.integers(0, 2))
    def the_store_comes_back_from_a_copy(self, lost):
        self.store.restore(lost=lost)

    @stateful.rule(seconds=strategies.sampled_from([0.2, 1.0, 4.0]))
    def time_passes(self, seconds):
        self.now += seconds
        for front in self.fronts.values():
            if front.reaches:
                front.heard_at = self.now

    @stateful.rule()
    def planners_hear_the_others(self):
        """Those that lost the store name one that reaches it, or nobody."""
        for own in self._leading():
            front = self.fronts[own]
            others = {o: f for o, f in self.fronts.items() if o != own}
            front.leadership.note_others(
                heard_store_at=max(f.heard_at for f in others.values()),
                own_heard_at=front.heard_at,
            )
            deaf_s = max(f.heard_at for f in others.values()) - front.heard_at
            if deaf_s > leadership_lib.HEARD_FOR_S:
                assert not front.leadership.leads
            reaching = [o for o, f in others.items() if f.reaches]
            if front.leadership.cut_off and reaching:
                self._succeed(reaching[0], ended=front.leadership.term)

    def _succeed(self, own, *, ended):
        """The front that is named goes on, whatever it had read before."""
        current = self.store.current()
        self.fronts[own].leadership.succeed(ended)
        self._ask(own)
        if ended is not None and ended.rank == current.rank:
            assert self.fronts[own].leadership.leads

    @stateful.rule(own=_fronts)
    def one_acts_without_the_store(self, own):
        front = self.fronts[own]
        silent_s = self.now - front.heard_at
        front.leadership.try_acting(store_silent_s=silent_s, asked=0)

    @stateful.rule()
    def all_ask(self):
        for _ in range(2):
            for own in _FRONTS:
                self._ask(own)
        assert len(self._leading(reaching=True)) <= 1
        claimed = len(self.store.planners)
        for own in _FRONTS:
            self._ask(own)
        assert len(self.store.planners) == claimed

    def teardown(self):
        for front in self.fronts.values():
            front.reaches = True
        for _ in range(6):
            self.time_passes(1.0)
            self._follow()
            self.planners_hear_the_others()
            for own in _FRONTS:
                self._ask(own)
        assert len(self._leading()) == 1

    def _follow(self):
        """Each front looks for the planner that the store names."""
        leading = self._leading()
        planner = self.store.current().planner
        for own, front in self.fronts.items():
            if planner in leading and planner != own:
                front.leadership.note_answered(planner)
            elif not front.leadership.leads:
                front.leadership.note_unanswered(now=self.now)


TestLeadership = LeadershipMachine.TestCase
TestLeadership.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=25, derandomize=True, deadline=None
)
