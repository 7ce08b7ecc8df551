"""Admission against the bound: what would miss it is refused at once."""

from collections.abc import Callable
import dataclasses
from typing import Any

from returns import result

from dotterelgrade import errors
from dotterelgrade_entry import calibration
from dotterelgrade_entry import fair_queue
from dotterelgrade_entry import planner as planner_lib
from dotterelgrade_entry import request as request_lib
from dotterelgrade_routing import workspace_shares

_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 30.0
# Parts of the bounds up to which requests are let in. What is let in later
# makes the others slower, and a wait leaves less time for surprises.
_FIRST_PART = 0.8
_BETWEEN_PART = 0.88
_WAIT_PART = 0.5
# Part of those that a workspace over its share may use.
_OVER_SHARE_PART = 0.93

# Gets the part of the bounds inside which a chain may be chosen.
Plan = Callable[[float], result.Result[planner_lib.Chain, errors.Error]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Excess:
    """By how much the bound would be missed."""

    what: str
    seconds: float
    may_wait: bool


class Admission:
    """Lets a request in when the bound holds for it on some chain.

    A request that finds no free slot waits for its turn, as long as the wait
    that is to be expected leaves it inside the bound. Predictions are
    corrected by what was measured. Near the limit, the last part of the bound
    is kept for the workspaces that have less than their share.
    """

    def __init__(self, *, predicts: bool, max_waiting: int) -> None:
        """Initializes an admission without experience.

        Args:
            predicts: Whether predictions decide; without, all pass and
                nothing waits.
            max_waiting: Most requests that wait at once.
        """
        self._predicts = predicts
        self._max_waiting = max_waiting
        self._queue = fair_queue.FairQueue()
        self._shares = workspace_shares.Shares()
        self._first = calibration.Calibration()
        self._between = calibration.Calibration()

    @property
    def first(self) -> calibration.Calibration:
        """Correction of predicted first tokens."""
        return self._first

    @property
    def between(self) -> calibration.Calibration:
        """Correction of predicted times between tokens."""
        return self._between

    def factors(self) -> tuple[float, float]:
        """Returns the corrections of first tokens and of the time between."""
        return self._first.factor, self._between.factor

    def wake(self) -> None:
        """Lets the next request try, since capacity may be free."""
        self._queue.wake()

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "waiting": self._queue.dump(),
            "first_token_factor": round(self._first.factor, 3),
            "between_tokens_factor": round(self._between.factor, 3),
        }

    def enter(
        self, request: request_lib.Request, plan: Plan
    ) -> result.Result[planner_lib.Chain, errors.Error]:
        """Finds a chain on which the bound holds, waiting for it if sensible.

        Args:
            request: The request.
            plan: Returns the best chain inside a part of the bounds at the
                moment, or else the quickest one.

        Returns:
            The chain, or why and until when the request is refused.
        """
        if not self._predicts:
            return plan(1.0)
        order = request.order
        if not len(self._queue):
            outcome, may_wait = self._try(request, plan)
            if isinstance(outcome, result.Success):
                cost = _work_of(order)
                self._queue.pass_by(
                    order.workspace, weight=order.weight, cost=cost
                )
            if not may_wait:
                return outcome
        return self._wait(request, plan)

    def _try(
        self, request: request_lib.Request, plan: Plan
    ) -> tuple[result.Result[planner_lib.Chain, errors.Error], bool]:
        """Returns the outcome, and whether waiting may change it."""
        order = request.order
        is_over = self._shares.is_over(order.workspace)
        part = _OVER_SHARE_PART if is_over else 1.0
        planned = plan(part * _BETWEEN_PART)
        if isinstance(planned, result.Failure):
            kind = planned.failure().kind
            return planned, kind is errors.ErrorKind.OVER_BOUND
        excess = self._excess(planned.unwrap(), request, part)
        if excess is not None:
            return result.Failure(_over_bound(excess)), excess.may_wait
        self._shares.note(
            order.workspace, weight=order.weight, amount=_work_of(order)
        )
        return planned, False

    def _excess(
        self,
        chain: planner_lib.Chain,
        request: request_lib.Request,
        part: float,
    ) -> _Excess | None:
        if not chain.is_measured or chain.is_idle:
            # A guess is no reason to refuse, and an idle chain gets no better.
            return None
        order = request.order
        first = chain.cost.first_token_s * self._first.factor
        kept_s = (1 - part * _FIRST_PART) * order.first_token_s
        limit = request.time_to_bound_s - kept_s
        if first > limit:
            return _Excess(
                what="first token", seconds=first - limit, may_wait=False
            )
        between = chain.cost.between_tokens_s * self._between.factor
        limit = order.between_tokens_s * part * _BETWEEN_PART
        if between > limit:
            return _Excess(
                what="time between tokens",
                seconds=between - limit,
                may_wait=True,
            )
        return None

    def _wait(
        self, request: request_lib.Request, plan: Plan
    ) -> result.Result[planner_lib.Chain, errors.Error]:
        order = request.order
        expected_s = self._queue.expected_wait_s(
            order.workspace, weight=order.weight
        )
        is_long = expected_s > _time_to_wait_s(request)
        if is_long or len(self._queue) >= self._max_waiting:
            return result.Failure(_no_turn(expected_s))
        waiter = self._queue.join(
            order.workspace,
            weight=order.weight,
            cost=_work_of(order),
            deadline=request.arrived_at + order.first_token_s,
        )
        outcome: result.Result[planner_lib.Chain, errors.Error] | None = None
        try:
            outcome = self._wait_for_turn(request, plan, waiter)
        finally:
            served = isinstance(outcome, result.Success)
            self._queue.leave(waiter, served=served)
        return outcome

    def _wait_for_turn(
        self,
        request: request_lib.Request,
        plan: Plan,
        waiter: fair_queue.Waiter,
    ) -> result.Result[planner_lib.Chain, errors.Error]:
        order = request.order
        while True:
            if self._queue.head() is waiter:
                outcome, may_wait = self._try(request, plan)
                if not may_wait:
                    return outcome
            if not waiter.turn.wait(max(_time_to_wait_s(request), 0.0)):
                return result.Failure(
                    _no_turn(
                        self._queue.expected_wait_s(
                            order.workspace, weight=order.weight
                        )
                    )
                )
            waiter.turn.clear()


def _time_to_wait_s(request: request_lib.Request) -> float:
    kept_s = (1 - _WAIT_PART) * request.order.first_token_s
    return request.time_to_bound_s - kept_s


def _work_of(order: request_lib.RequestOrder) -> float:
    return float(len(order.prompt) + order.max_tokens)


def _over_bound(excess: _Excess) -> errors.Error:
    return errors.Error(
        kind=errors.ErrorKind.OVER_BOUND,
        message=(
            f"the {excess.what} would be {excess.seconds * 1000:.1f} ms "
            "over the bound"
        ),
        retry_after_s=_retry_after_s(excess.seconds),
    )


def _no_turn(wait_s: float) -> errors.Error:
    return errors.Error(
        kind=errors.ErrorKind.OVER_BOUND,
        message=f"the wait for capacity would be {wait_s:.2f} s",
        retry_after_s=_retry_after_s(wait_s),
    )


def _retry_after_s(seconds: float) -> float:
    limited = min(max(seconds, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
    return round(limited, 3)
