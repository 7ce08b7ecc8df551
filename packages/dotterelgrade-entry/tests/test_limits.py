import contextlib

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from dotterelgrade import errors
from dotterelgrade import rules
from dotterelgrade_entry import limits

RATE = 5.0
CONCURRENT = 3


class Clock:
    def __init__(self):
        self.now = 1_000.0

    def __call__(self):
        return self.now


def _rule(**changes):
    values = {
        "name": "bench",
        "key_sha256": "0" * 64,
        "rate_per_s": RATE,
        "concurrent": CONCURRENT,
    }
    return rules.WorkspaceRule(**{**values, **changes})


class LimitsMachine(stateful.RuleBasedStateMachine):
    """Never more in flight, nor more in any window, than the rule says."""

    def __init__(self):
        super().__init__()
        self.clock = Clock()
        self.limits = limits.Limits(clock=self.clock)
        self.held = []
        self.begun_at = []

    @stateful.rule()
    def request(self):
        stack = contextlib.ExitStack()
        try:
            stack.enter_context(self.limits.holding(_rule()))
        except errors.DotterelgradeError as error:
            assert error.error.retry_after_s > 0
            if len(self.held) < CONCURRENT:
                assert error.error.kind is errors.ErrorKind.RATE_LIMITED
            return
        self.held.append(stack)
        self.begun_at.append(self.clock.now)

    @stateful.precondition(lambda self: self.held)
    @stateful.rule()
    def end(self):
        self.held.pop().close()

    @stateful.rule(seconds=st.floats(0, 2))
    def wait(self, seconds):
        self.clock.now += seconds

    @stateful.invariant()
    def limits_hold(self):
        assert len(self.held) <= CONCURRENT
        assert self.limits.in_flight("bench") == len(self.held)
        for start in self.begun_at:
            window = [t for t in self.begun_at if start <= t <= start + 1]
            # The burst of one second, and what is earned in the window.
            assert len(window) <= 2 * RATE + 1


TestLimits = LimitsMachine.TestCase
TestLimits.settings = settings(
    derandomize=True, max_examples=50, stateful_step_count=30, deadline=None
)


def test_a_refused_request_may_come_back_after_the_time_it_is_told():
    clock = Clock()
    held = limits.Limits(clock=clock)
    rule = _rule(rate_per_s=1.0, concurrent=10)
    with held.holding(rule):
        pass
    with (
        pytest.raises(errors.DotterelgradeError) as caught,
        held.holding(rule),
    ):
        pass
    clock.now += caught.value.error.retry_after_s + 0.001
    with held.holding(rule):
        assert held.in_flight("bench") == 1


def test_entries_share_a_workspace_and_a_small_limit_does_not_vanish():
    shared = limits.Limits(entries=lambda: 4, clock=Clock())
    rule = _rule(concurrent=1, rate_per_s=100)
    with (
        shared.holding(rule),
        pytest.raises(errors.DotterelgradeError) as caught,
        shared.holding(rule),
    ):
        pass
    assert caught.value.error.kind is errors.ErrorKind.CONCURRENCY_LIMITED


def test_unused_workspaces_are_forgotten():
    clock = Clock()
    held = limits.Limits(clock=clock)
    for number in range(500):
        clock.now += 1
        with held.holding(_rule(name=f"w{number}")):
            pass
    assert int(repr(held).split()[2]) < 100
