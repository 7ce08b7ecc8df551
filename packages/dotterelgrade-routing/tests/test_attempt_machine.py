"""Model test of the retries of one request with random outcomes."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from dotterelgrade import errors
from dotterelgrade_routing import attempt

_OUTCOMES = {
    # Knowledge of the front, and whether the request ran.
    "never sent": (attempt.ExecutionStatus.NEVER_SENT, [False]),
    "refused": (attempt.ExecutionStatus.REFUSED, [False]),
    "no answer": (attempt.ExecutionStatus.UNKNOWN, [False, True]),
    "failed": (attempt.ExecutionStatus.RAN, [True]),
}


class AttemptMachine(stateful.RuleBasedStateMachine):
    """Retries while that is allowed, and checks the error each time."""

    @stateful.initialize(repeatable=strategies.booleans())
    def begin(self, repeatable):
        self.repeatable = repeatable
        self.attempts = []
        self.runs = 0

    def _may_retry(self):
        return not self.attempts or attempt.may_retry(
            attempt.combined(self.attempts), repeatable=self.repeatable
        )

    @stateful.rule(
        outcome=strategies.sampled_from(sorted(_OUTCOMES)),
        data=strategies.data(),
    )
    def attempt_once(self, outcome, data):
        if not self._may_retry():
            return
        known, runs = _OUTCOMES[outcome]
        self.runs += data.draw(strategies.sampled_from(runs))
        self.attempts.append(known)

    @stateful.invariant()
    def non_repeatable_request_runs_at_most_once(self):
        if hasattr(self, "attempts") and not self.repeatable:
            assert self.runs <= 1

    @stateful.invariant()
    def not_run_is_reported_only_if_true(self):
        if not hasattr(self, "attempts"):
            return
        for deadline_passed in (False, True):
            kind = attempt.failure_kind(
                attempt.combined(self.attempts), deadline_passed=deadline_passed
            )
            if kind is errors.ErrorKind.NO_CAPACITY:
                assert self.runs == 0


TestAttempt = AttemptMachine.TestCase
TestAttempt.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=12, derandomize=True, deadline=None
)
