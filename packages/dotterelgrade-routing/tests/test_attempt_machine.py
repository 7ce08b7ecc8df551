"""Tries of one request, each with any fate, against what backends saw."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from dotterelgrade import errors
from dotterelgrade_routing import attempt

_FATES = {
    # What the front knows, and whether the request may have run.
    "never sent": (attempt.Knowledge.NEVER_SENT, [False]),
    "refused": (attempt.Knowledge.REFUSED, [False]),
    "no answer": (attempt.Knowledge.UNKNOWN, [False, True]),
    "failed": (attempt.Knowledge.RAN, [True]),
}


class AttemptMachine(stateful.RuleBasedStateMachine):
    """Goes on for as long as the decision allows; judges every answer."""

    @stateful.initialize(repeatable=strategies.booleans())
    def begin(self, repeatable):
        self.repeatable = repeatable
        self.tries = []
        self.runs = 0

    def _may_go_on(self):
        return not self.tries or attempt.may_repeat(
            attempt.overall(self.tries), repeatable=self.repeatable
        )

    @stateful.rule(
        fate=strategies.sampled_from(sorted(_FATES)), data=strategies.data()
    )
    def try_once(self, fate, data):
        if not self._may_go_on():
            return
        known, runs = _FATES[fate]
        self.runs += data.draw(strategies.sampled_from(runs))
        self.tries.append(known)

    @stateful.invariant()
    def what_may_run_once_runs_once(self):
        if hasattr(self, "tries") and not self.repeatable:
            assert self.runs <= 1

    @stateful.invariant()
    def not_run_is_true(self):
        if not hasattr(self, "tries"):
            return
        for out_of_time in (False, True):
            kind = attempt.failure_kind(
                attempt.overall(self.tries), out_of_time=out_of_time
            )
            if kind is errors.ErrorKind.NO_CAPACITY:
                assert self.runs == 0


TestAttempt = AttemptMachine.TestCase
TestAttempt.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=12, derandomize=True, deadline=None
)
