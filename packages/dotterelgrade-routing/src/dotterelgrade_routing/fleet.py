"""The backend servers as followed from the platform's list.

Load pattern: the list is away, slow or forgets its history while backend
servers crash and leave. What is known holds during an outage; an entry that
lapsed meanwhile counts as gone only when it is still missing some time after
the list's return. An entry that is removed while the list is well is gone at
once.
"""

from collections.abc import Iterable
import dataclasses

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import layer_range

# Live backend servers are back in the list within about two seconds.
RETURN_GRACE_S = 2.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observation:
    """Layers that an engine reported itself, newer than its list entry.

    Attributes:
        layers: Layers that it holds, or None.
        started_ms: Start of the process that reported, ms since the epoch.
        slowness: Duration of its work relative to the usual one.
        loading: Whether an order is in progress.
        at: Monotonic time of the report, s.
    """

    layers: layer_range.LayerRange | None
    started_ms: int
    slowness: float
    loading: bool
    at: float


class Fleet:
    """Every known backend server, with rules for what may be forgotten."""

    def __init__(self) -> None:
        """Initializes an empty fleet."""
        self._servers: dict[str, backend_server.BackendServer] = {}
        self._observations: dict[str, Observation] = {}
        self._missing_since: dict[str, float] = {}
        self._outage = False
        self._returned_at = float("-inf")
        self._version = 0

    def __repr__(self) -> str:
        """Shows how many backend servers are known."""
        return f"<Fleet {len(self._servers)} servers, v{self._version}>"

    @property
    def version(self) -> int:
        """Grows with each change of what is known."""
        return self._version

    @property
    def servers(self) -> list[backend_server.BackendServer]:
        """All known backend servers."""
        return list(self._servers.values())

    def get(self, server_id: str) -> backend_server.BackendServer | None:
        """Returns a backend server by its identifier."""
        return self._servers.get(server_id)

    def by_address(self, address: str) -> backend_server.BackendServer | None:
        """Returns the backend server at an address."""
        found = (s for s in self._servers.values() if s.address == address)
        return next(found, None)

    def ready(self, service: str) -> list[backend_server.BackendServer]:
        """Returns the backend servers of a service that take new work."""
        return [
            server
            for server in self._servers.values()
            if server.service == service and server.ready
        ]

    def layers_of(
        self, server: backend_server.BackendServer
    ) -> layer_range.LayerRange | None:
        """Returns the layers that a backend server holds, as far as known."""
        seen = self._observation(server)
        return server.layers if seen is None else seen.layers

    def slowness_of(self, server: backend_server.BackendServer) -> float:
        """Returns how slow a backend server was when it last reported."""
        seen = self._observation(server)
        return 1.0 if seen is None else max(seen.slowness, 0.1)

    def put(self, server: backend_server.BackendServer) -> bool:
        """Takes in an entry of the list.

        Args:
            server: The entry.

        Returns:
            Whether anything changed.
        """
        self._missing_since.pop(server.id, None)
        known = self._servers.get(server.id)
        if known == server:
            return False
        self._servers[server.id] = server
        if known is None or known.layers != server.layers:
            self._drop_older_observation(server)
        self._version += 1
        return True

    def remove(self, server_id: str, *, now: float) -> bool:
        """Takes in that an entry has left the list.

        Args:
            server_id: The entry.
            now: Monotonic time, s.

        Returns:
            Whether the backend server is gone; after an outage of the list it
            may be only missing yet.
        """
        if server_id not in self._servers:
            return False
        if self._unsettled(now):
            self._missing_since.setdefault(server_id, now)
            return False
        self._forget(server_id)
        return True

    def replace(
        self,
        servers: Iterable[backend_server.BackendServer],
        *,
        now: float,
    ) -> None:
        """Takes in the whole list; what it lacks is removed."""
        present = {server.id: server for server in servers}
        for server in present.values():
            self.put(server)
        for server_id in [i for i in self._servers if i not in present]:
            self.remove(server_id, now=now)

    def note_outage(self) -> None:
        """Takes in that the list could not be read."""
        self._outage = True

    def note_contact(self, *, now: float) -> None:
        """Takes in that the list was read."""
        if self._outage:
            self._outage = False
            self._returned_at = now

    def settle(self, *, now: float) -> list[str]:
        """Forgets what is still missing some time after an outage.

        Args:
            now: Monotonic time, s.

        Returns:
            The backend servers that are gone.
        """
        if self._unsettled(now) or not self._missing_since:
            return []
        gone = list(self._missing_since)
        for server_id in gone:
            self._forget(server_id)
        return gone

    def observe(self, server_id: str, seen: Observation) -> bool:
        """Takes in what an engine reported itself.

        Args:
            server_id: The backend server.
            seen: Its report.

        Returns:
            Whether anything that matters to routing changed.
        """
        server = self._servers.get(server_id)
        if server is None or seen.started_ms < server.started_ms:
            return False
        before = self._observations.get(server_id)
        self._observations[server_id] = seen
        if before is not None and _same_for_routing(before, seen):
            return False
        self._version += 1
        return True

    def _unsettled(self, now: float) -> bool:
        return self._outage or now - self._returned_at < RETURN_GRACE_S

    def _observation(
        self, server: backend_server.BackendServer
    ) -> Observation | None:
        seen = self._observations.get(server.id)
        if seen is None or seen.started_ms < server.started_ms:
            return None
        return seen

    def _drop_older_observation(
        self, server: backend_server.BackendServer
    ) -> None:
        self._observations.pop(server.id, None)

    def _forget(self, server_id: str) -> None:
        self._missing_since.pop(server_id, None)
        self._observations.pop(server_id, None)
        if self._servers.pop(server_id, None) is not None:
            self._version += 1


def _same_for_routing(one: Observation, other: Observation) -> bool:
    return (one.layers, one.started_ms, round(one.slowness, 1)) == (
        other.layers,
        other.started_ms,
        round(other.slowness, 1),
    )
