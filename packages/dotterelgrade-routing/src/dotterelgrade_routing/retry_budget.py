"""A retry budget: retries are a bounded share of the requests."""

from collections.abc import Callable
import time


class RetryBudget:
    """Allows retries in proportion to requests, plus a small steady rate.

    Without a budget the retries of an overloaded fleet keep it overloaded.
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
            capacity: The most retries that can be saved up.
            clock: Monotonic time, s.
        """
        self._share = share
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._clock = clock
        self._tokens = capacity
        self._filled_at = clock()

    def __repr__(self) -> str:
        """Shows how many retries are left."""
        return f"<RetryBudget {self._tokens:.1f} of {self._capacity:.0f}>"

    @property
    def left(self) -> float:
        """Retries that are left."""
        self._fill()
        return self._tokens

    def _fill(self) -> None:
        now = self._clock()
        earned = (now - self._filled_at) * self._rate_per_s
        self._filled_at = now
        self._tokens = min(self._capacity, self._tokens + earned)

    @property
    def plentiful(self) -> bool:
        """Whether more than half of what can be saved up is left."""
        return self.left > self._capacity / 2

    def resize(self, *, rate_per_s: float, capacity: float) -> None:
        """Changes the steady rate, such as when a part of a budget changes.

        Args:
            rate_per_s: Retries earned per second without any request.
            capacity: The most retries that can be saved up.
        """
        self._fill()
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def note_request(self) -> None:
        """Earns the share of one request."""
        self._tokens = min(self._capacity, self._tokens + self._share)

    def spend(self) -> bool:
        """Takes one retry; returns False when none is left."""
        self._fill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
