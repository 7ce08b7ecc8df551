"""Tells the callers of refused requests when to retry."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import math
import time
from typing import TYPE_CHECKING, Any

from dotterelgrade import decision_log
from dotterelgrade import errors
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import front_metrics
from dotterelgrade_routing import feed_timing
from dotterelgrade_routing import retry_budget
from dotterelgrade_routing import return_forecast

if TYPE_CHECKING:
    from dotterelgrade_front import front_state

_NOT_IN_TIME = "not before the caller's deadline"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ToldTime:
    """A retry time, with the inputs that it was computed from.

    Attributes:
        refusal: The refused request.
        time: The retry time.
    """

    refusal: return_forecast.Refusal
    time: return_forecast.ReturnTime

    @property
    def log_fields(self) -> dict[str, Any]:
        """The time and its inputs, for the log."""
        refusal = self.refusal
        left_s = refusal.left_s
        return {
            "retry_after_s": round(self.time.seconds, 2),
            "retry_for": refusal.reason.value,
            "outage_s": round(refusal.outage_s, 2),
            "expected_returns": self.time.expected_returns,
            "left_s": round(left_s, 2) if math.isfinite(left_s) else None,
            "rank": refusal.rank,
            "no_time": self.time.no_time,
        }

    def applied(self, error: errors.Error) -> errors.Error:
        """Returns an error with the retry time.

        Args:
            error: The error for the caller.
        """
        message = error.message
        if self.time.no_time:
            message = f"{message}; {_NOT_IN_TIME}"
        return dataclasses.replace(
            error, message=message, retry_after_s=self.time.seconds
        )


class RefusalTimes:
    """Computes the retry time of every request that the front refuses."""

    def __init__(
        self,
        policy: str,
        *,
        known: front_state.KnownConfiguration,
        decisions: decision_log.DecisionLog,
        metrics: front_metrics.FrontMetrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes it without refusals.

        Args:
            policy: Name of the policy.
            known: The configuration, and the last contact with the store.
            decisions: Log of refusals.
            metrics: Has the histogram of the times.
            clock: Monotonic time, s.
        """
        self._name = policy
        self._policy = return_forecast.POLICIES.make(policy)
        self._known = known
        self._decisions = decisions
        self._metrics = metrics
        self._clock = clock
        self._started_at = clock()

    def __repr__(self) -> str:
        """Shows the policy."""
        return f"<RefusalTimes {self._policy!r}>"

    @property
    def outage_s(self) -> float:
        """Time for which the store has been unavailable, s, or 0.

        A front that never had a configuration knows no earlier contact than
        its own start.
        """
        contact_at = self._known.store_contact_at
        if math.isfinite(contact_at):
            silent_s = self._clock() - contact_at
            bound_s = feed_timing.CONFIGURATION_BOUND_S
            return silent_s if silent_s > bound_s else 0.0
        if self._known.configuration is not None:
            return 0.0
        return self._clock() - self._started_at

    def use(self, policy: str) -> None:
        """Changes the policy; the counts of the former one are dropped.

        Args:
            policy: Name of the policy.
        """
        if policy != self._name:
            self._name = policy
            self._policy = return_forecast.POLICIES.make(policy)

    def note_start(self, call: call_lib.Call) -> None:
        """Counts a call that was started at a backend server."""
        self._policy.note_start(call.service.name, now=self._clock())

    def after(
        self,
        reason: return_forecast.Reason,
        *,
        call: call_lib.Call | None = None,
        usual_s: float = return_forecast.DEFAULT_RETRY_AFTER_S,
        left_s: float = math.inf,
        budget: retry_budget.RetryBudget | None = None,
    ) -> ToldTime:
        """Returns when a refused request should be retried, and counts it.

        Args:
            reason: Why it is refused.
            call: The request, or None before its route is known.
            usual_s: Retry time without an outage, ranks or mass refusals, s.
            left_s: Time until the caller's deadline if there is no call, s.
            budget: The retry budget of the service.
        """
        refusal = return_forecast.Refusal(
            reason=reason,
            usual_s=usual_s,
            left_s=left_s,
            outage_s=self.outage_s,
        )
        if call is not None:
            refusal = dataclasses.replace(
                refusal,
                service=call.service.name,
                rank=call.rank or 0,
                ranked=call.rank is not None,
                left_s=call.remaining_s,
                budget_s=self._budget_s(call, budget),
            )
        told = ToldTime(
            refusal=refusal,
            time=self._policy.refuse(refusal, now=self._clock()),
        )
        self._metrics.retry_after.record(told.time.seconds)
        return told

    def refuse(
        self,
        error: errors.Error,
        *,
        request_id: str,
        reason: return_forecast.Reason = return_forecast.Reason.OTHER,
        call: call_lib.Call | None = None,
        usual_s: float = return_forecast.DEFAULT_RETRY_AFTER_S,
        budget: retry_budget.RetryBudget | None = None,
    ) -> errors.Error:
        """Records a refusal that no other line tells, with its retry time.

        Args:
            error: The error for the caller.
            request_id: The request.
            reason: Why it is refused.
            call: The request, or None before its route is known.
            usual_s: Retry time without an outage, ranks or mass refusals, s.
            budget: The retry budget of the service.

        Returns:
            The error with the retry time.
        """
        told = self.after(reason, call=call, usual_s=usual_s, budget=budget)
        self._decisions.record(
            "refused",
            reason=error.message,
            request_id=request_id,
            kind=error.kind.value,
            **told.log_fields,
        )
        return told.applied(error)

    def _budget_s(
        self, call: call_lib.Call, budget: retry_budget.RetryBudget | None
    ) -> float:
        if budget is None:
            return return_forecast.DEFAULT_RETRY_AFTER_S
        rate = self._policy.starts_per_s(call.service.name, now=self._clock())
        return budget.time_to_next_s(
            requests_per_s=rate, reserve=retry_budget.reserve_above(call.rank)
        )
