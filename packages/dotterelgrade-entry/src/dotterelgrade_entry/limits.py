"""Limits of each workspace: request rate and requests in flight."""

from collections.abc import Callable, Iterator
import contextlib
import time

from dotterelgrade import errors
from dotterelgrade import rules

_BURST_S = 1.0
_CONCURRENCY_RETRY_S = 0.25
_IDLE_FORGET_S = 60.0


class TokenBucket:
    """A rate limit with a burst of one second."""

    def __init__(self, rate_per_s: float, *, now: float) -> None:
        """Initializes a full bucket.

        Args:
            rate_per_s: Requests per second.
            now: Monotonic time, s.
        """
        self._rate_per_s = rate_per_s
        self._tokens = self._capacity
        self._filled_at = now

    @property
    def _capacity(self) -> float:
        return max(1.0, self._rate_per_s * _BURST_S)

    def set_rate(self, rate_per_s: float) -> None:
        """Changes the rate, keeping what is saved up within the new burst."""
        self._rate_per_s = rate_per_s
        self._tokens = min(self._tokens, self._capacity)

    def take(self, now: float) -> float:
        """Takes one request.

        Args:
            now: Monotonic time, s.

        Returns:
            0 when it was taken, else the time until one can be taken, s.
        """
        elapsed = max(now - self._filled_at, 0.0)
        self._filled_at = max(now, self._filled_at)
        self._tokens = min(
            self._capacity, self._tokens + elapsed * self._rate_per_s
        )
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / max(self._rate_per_s, 1e-9)


class _Usage:
    def __init__(self, rate_per_s: float, now: float) -> None:
        self.bucket = TokenBucket(rate_per_s, now=now)
        self.in_flight = 0
        self.used_at = now


class Limits:
    """The limits of all workspaces at one entry.

    Callers come through a balancer, so each entry grants its part of a
    workspace's limits.
    """

    def __init__(
        self,
        *,
        entries: Callable[[], int] = lambda: 1,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes limits that nobody has used.

        Args:
            entries: How many entries share the limits.
            clock: Monotonic time, s.
        """
        self._entries = entries
        self._clock = clock
        self._usages: dict[str, _Usage] = {}

    def __repr__(self) -> str:
        """Shows how many workspaces are known."""
        return f"<Limits of {len(self._usages)} workspaces>"

    def in_flight(self, workspace: str) -> int:
        """Returns the requests of a workspace in flight at this entry."""
        usage = self._usages.get(workspace)
        return usage.in_flight if usage else 0

    def dump(self) -> dict[str, int]:
        """Returns the requests in flight by workspace."""
        return {
            name: usage.in_flight
            for name, usage in self._usages.items()
            if usage.in_flight
        }

    @contextlib.contextmanager
    def holding(self, rule: rules.WorkspaceRule) -> Iterator[None]:
        """Counts one request in flight while the context is open.

        Args:
            rule: The workspace's rule.

        Yields:
            Nothing.

        Raises:
            errors.DotterelgradeError: RATE_LIMITED or CONCURRENCY_LIMITED.
        """
        usage = self._take(rule)
        usage.in_flight += 1
        try:
            yield
        finally:
            usage.in_flight -= 1
            usage.used_at = self._clock()

    def _take(self, rule: rules.WorkspaceRule) -> _Usage:
        now, entries = self._clock(), self._entries()
        rate = rule.rate_per_s / entries
        usage = self._usages.get(rule.name)
        if usage is None:
            self._forget_idle(now)
            usage = self._usages[rule.name] = _Usage(rate, now)
        usage.used_at = now
        # Rounded up, so that a small limit does not become none.
        if usage.in_flight >= -(-rule.concurrent // entries):
            raise errors.DotterelgradeError(
                errors.Error(
                    kind=errors.ErrorKind.CONCURRENCY_LIMITED,
                    message=f"{usage.in_flight} requests are in flight",
                    retry_after_s=_CONCURRENCY_RETRY_S,
                )
            )
        usage.bucket.set_rate(rate)
        wait_s = usage.bucket.take(now)
        if wait_s > 0:
            raise errors.DotterelgradeError(
                errors.Error(
                    kind=errors.ErrorKind.RATE_LIMITED,
                    message=f"more than {rule.rate_per_s:g} requests a second",
                    retry_after_s=round(wait_s, 3),
                )
            )
        return usage

    def _forget_idle(self, now: float) -> None:
        idle = [
            name
            for name, usage in self._usages.items()
            if not usage.in_flight and now - usage.used_at > _IDLE_FORGET_S
        ]
        for name in idle:
            del self._usages[name]
