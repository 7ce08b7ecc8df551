"""How long a full backend server is left alone because it asked for it.

Load pattern: callers press beyond what a service can take, and its backend
servers turn requests away with the time until which they want nothing more.
Whoever goes on asking costs them work; so nothing goes there until that time is
over: no request, no question and no order. To be full is no fault, so nobody
else is told and no trust is lost.
"""

from collections.abc import Iterable
import dataclasses
import math

from dotterelgrade_routing import backend_server

# A server that names a longer time is asked again after this one.
LONGEST_HOLDOFF_S = 300.0


def seconds_of(text: str) -> float | None:
    """Returns the time that a backend server asked for, s, within bounds.

    Args:
        text: As it wrote it: seconds, whole or with a fraction.

    Returns:
        The time, or None if it is no number of seconds.
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds < 0:
        return None
    return min(seconds, LONGEST_HOLDOFF_S)


@dataclasses.dataclass(frozen=True)
class _Held:
    started_ms: int
    until: float


class Holdoffs:
    """Backend servers that want nothing from this front for a while."""

    def __init__(self) -> None:
        """Initializes an empty set."""
        self._held: dict[str, _Held] = {}

    def __repr__(self) -> str:
        """Shows how many are held."""
        return f"<Holdoffs {len(self._held)}>"

    def note(
        self,
        server: backend_server.BackendServer,
        *,
        seconds: float,
        now: float,
    ) -> None:
        """Takes in that a backend server wants nothing for a time.

        Args:
            server: The backend server; its next start is free of it.
            seconds: The time that it asked for, s.
            now: Monotonic time, s.
        """
        self._drop_over(now)
        known = self._held.get(server.id)
        until = now + seconds
        if known is not None and known.started_ms == server.started_ms:
            until = max(until, known.until)
        self._held[server.id] = _Held(server.started_ms, until)

    def left_s(
        self, server: backend_server.BackendServer, *, now: float
    ) -> float:
        """Returns for how long a backend server wants nothing more, s."""
        held = self._held.get(server.id)
        if held is None or held.started_ms != server.started_ms:
            return 0.0
        return max(0.0, held.until - now)

    def first_free_s(
        self, servers: Iterable[backend_server.BackendServer], *, now: float
    ) -> float:
        """Returns when the first of those held is free again, s, or 0."""
        left = [self.left_s(server, now=now) for server in servers]
        return min((seconds for seconds in left if seconds > 0), default=0.0)

    def free(
        self, servers: Iterable[backend_server.BackendServer], *, now: float
    ) -> list[backend_server.BackendServer]:
        """Returns those that may be asked now."""
        if not self._held:
            return list(servers)
        return [s for s in servers if not self.left_s(s, now=now)]

    def _drop_over(self, now: float) -> None:
        over = [name for name, held in self._held.items() if held.until <= now]
        for name in over:
            del self._held[name]
