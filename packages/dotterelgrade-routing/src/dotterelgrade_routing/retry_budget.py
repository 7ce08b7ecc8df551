"""Retry budget that limits retries to a share of the requests."""

from collections.abc import Callable
import time

# Share of the capacity that a request leaves to each more urgent rank.
_RESERVE_PER_RANK = 0.2
_MAX_RESERVE = 0.6


def reserve_above(rank: int | None) -> float:
    """Returns the share of the capacity kept for more urgent requests.

    Args:
        rank: Rank of the request, 0 is the most urgent, or None without ranks.
    """
    return min((rank or 0) * _RESERVE_PER_RANK, _MAX_RESERVE)


class RetryBudget:
    """Token bucket that is filled by requests and at a small constant rate.

    Without a budget, retries would keep an overloaded fleet overloaded.
    """

    def __init__(
        self,
        *,
        share: float = 0.2,
        rate_per_s: float = 10.0,
        capacity: float = 50.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes a full budget.

        Args:
            share: Retries earned by each request.
            rate_per_s: Retries earned per second without any request.
            capacity: Maximum number of unused retries.
            clock: Monotonic time, s.
        """
        self._share = share
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._clock = clock
        self._tokens = capacity
        self._refilled_at = clock()

    def __repr__(self) -> str:
        """Shows the number of retries left."""
        return f"<RetryBudget {self._tokens:.1f} of {self._capacity:.0f}>"

    @property
    def left(self) -> float:
        """Number of retries left."""
        self._refill()
        return self._tokens

    def _refill(self) -> None:
        now = self._clock()
        earned = (now - self._refilled_at) * self._rate_per_s
        self._refilled_at = now
        self._tokens = min(self._capacity, self._tokens + earned)

    @property
    def is_above_half(self) -> bool:
        """Whether more than half of the capacity is left."""
        return self.left > self._capacity / 2

    def time_to_next_s(
        self, *, requests_per_s: float, reserve: float = 0.0
    ) -> float:
        """Returns the time until a retry may be spent, s.

        Args:
            requests_per_s: Expected rate of requests, which earn retries.
            reserve: Share of the capacity that is left to others.
        """
        missing = max(1.0, reserve * self._capacity) - self.left
        if missing <= 0:
            return 0.0
        earned_per_s = self._rate_per_s + self._share * requests_per_s
        return missing / earned_per_s if earned_per_s else float("inf")

    def resize(
        self,
        *,
        rate_per_s: float,
        capacity: float,
        share: float | None = None,
    ) -> None:
        """Changes the size, such as when a shared budget is split.

        Args:
            rate_per_s: Retries earned per second without any request.
            capacity: Maximum number of unused retries.
            share: Retries earned by each request; None to keep it.
        """
        self._refill()
        if share is not None:
            self._share = share
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def note_request(self) -> None:
        """Adds the share that one request earns."""
        self._tokens = min(self._capacity, self._tokens + self._share)

    def may_spend(self, *, reserve: float = 0.0) -> bool:
        """Returns whether a retry is left.

        Args:
            reserve: Share of the capacity that is left to others.
        """
        left = self.left
        return left >= 1 and (not reserve or left > reserve * self._capacity)

    def spend(self, *, reserve: float = 0.0) -> bool:
        """Uses one retry; returns False if none is left.

        Args:
            reserve: Share of the capacity that is left to others.
        """
        if not self.may_spend(reserve=reserve):
            return False
        self._tokens -= 1
        return True
