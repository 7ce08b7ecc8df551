"""Backoff from full backend servers that sent `Retry-After`.

Load pattern: demand exceeds the capacity of a service, and its backend servers
refuse requests with a `Retry-After` time. Each further message costs them work,
so until that time this front sends them no request, status query or order.
Being full is not a failure: it is not reported to other fronts and does not
count towards an exclusion.
"""

from collections.abc import Iterable
import dataclasses
import math

from dotterelgrade_routing import backend_server

# Longer times are cut to this one.
MAX_HOLDOFF_S = 300.0


def parse_retry_after(text: str) -> float | None:
    """Parses the value of `Retry-After`; returns at most the longest holdoff.

    Args:
        text: Seconds, with or without a fraction.

    Returns:
        The time, s, or None if it is not a number of seconds.
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds < 0:
        return None
    return min(seconds, MAX_HOLDOFF_S)


@dataclasses.dataclass(frozen=True)
class _Holdoff:
    started_ms: int
    until: float


class Holdoffs:
    """Backend servers to which this front sends nothing for a time."""

    def __init__(self) -> None:
        """Initializes an empty set."""
        self._holdoffs: dict[str, _Holdoff] = {}

    def __repr__(self) -> str:
        """Shows the number of holdoffs."""
        return f"<Holdoffs {len(self._holdoffs)}>"

    def note(
        self,
        server: backend_server.BackendServer,
        *,
        seconds: float,
        now: float,
    ) -> None:
        """Records the holdoff that a backend server asked for.

        Args:
            server: The backend server; a restart ends the holdoff.
            seconds: Duration, s.
            now: Monotonic time, s.
        """
        self._remove_expired(now)
        known = self._holdoffs.get(server.id)
        until = now + seconds
        if known is not None and known.started_ms == server.started_ms:
            until = max(until, known.until)
        self._holdoffs[server.id] = _Holdoff(server.started_ms, until)

    def left_s(
        self, server: backend_server.BackendServer, *, now: float
    ) -> float:
        """Returns the time left of a holdoff, s."""
        holdoff = self._holdoffs.get(server.id)
        if holdoff is None or holdoff.started_ms != server.started_ms:
            return 0.0
        return max(0.0, holdoff.until - now)

    def first_release_s(
        self, servers: Iterable[backend_server.BackendServer], *, now: float
    ) -> float:
        """Returns the time until the first holdoff ends, s, or 0 if none."""
        times_left_s = [self.left_s(server, now=now) for server in servers]
        return min(
            (seconds for seconds in times_left_s if seconds > 0), default=0.0
        )

    def available(
        self, servers: Iterable[backend_server.BackendServer], *, now: float
    ) -> list[backend_server.BackendServer]:
        """Returns the backend servers without a holdoff."""
        if not self._holdoffs:
            return list(servers)
        return [s for s in servers if not self.left_s(s, now=now)]

    def _remove_expired(self, now: float) -> None:
        expired = [
            name
            for name, holdoff in self._holdoffs.items()
            if holdoff.until <= now
        ]
        for name in expired:
            del self._holdoffs[name]
