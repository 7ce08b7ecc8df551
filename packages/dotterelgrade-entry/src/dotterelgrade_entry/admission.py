"""Admission against the bound: what would miss it is refused at once."""

from returns import result

from dotterelgrade import errors
from dotterelgrade_entry import planner as planner_lib
from dotterelgrade_entry import request as request_lib

_MIN_RETRY_AFTER_S = 0.1


class Admission:
    """Compares the predicted latency of a chain with the request's bound."""

    def __init__(self, *, predicts: bool) -> None:
        """Initializes the admission.

        Args:
            predicts: Whether predictions decide; without, all pass.
        """
        self._predicts = predicts

    def check(
        self, chain: planner_lib.Chain, request: request_lib.Request
    ) -> result.Result[planner_lib.Chain, errors.Error]:
        """Lets a chain pass if the bound holds on it.

        Args:
            chain: The best chain at the moment.
            request: The request.

        Returns:
            The chain, or OVER_BOUND with a time for the next try.
        """
        if not self._predicts:
            return result.Success(chain)
        excess = chain.cost.first_token_s - request.time_to_bound_s
        if excess > 0:
            return result.Failure(_over_bound("first token", excess))
        return result.Success(chain)


def _over_bound(what: str, excess_s: float) -> errors.Error:
    return errors.Error(
        kind=errors.ErrorKind.OVER_BOUND,
        message=f"the {what} would come {excess_s:.3f} s after the bound",
        retry_after_s=round(max(excess_s, _MIN_RETRY_AFTER_S), 3),
    )
