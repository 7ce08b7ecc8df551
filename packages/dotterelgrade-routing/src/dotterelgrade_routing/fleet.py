"""The backend servers as followed from the platform's list.

Load pattern: the list is away, slow or forgets its history while backend
servers crash and leave. What is known holds during an outage; an entry that
lapsed meanwhile counts as gone only when it is still missing some time after
the list's return. An entry that is removed while the list is well is gone at
once. A list that comes back from an older copy brings back backend servers that
have left; they stay out until they prove to be there.
"""

from collections.abc import Iterable
import dataclasses

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import layer_range

# Live backend servers are back in the list within about two seconds.
RETURN_GRACE_S = 2.3
# The list drops a backend server that is silent for three heartbeats; what an
# older copy brings back and the list still has then is there.
COPY_EXPIRY_S = 5.0
# Incarnations that leave or have left are remembered, since an older copy of
# the list does not know of it.
_MOST_REMEMBERED = 4096


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


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Withheld:
    """An entry of an older copy whose backend server had left."""

    server: backend_server.BackendServer
    since: float


class Fleet:
    """Every known backend server, with rules for what may be forgotten."""

    def __init__(self) -> None:
        """Initializes an empty fleet."""
        self._servers: dict[str, backend_server.BackendServer] = {}
        self._observations: dict[str, Observation] = {}
        self._missing_since: dict[str, float] = {}
        self._leaving: dict[str, int] = {}
        self._departed: dict[str, int] = {}
        self._withheld: dict[str, _Withheld] = {}
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
        self._withheld.pop(server.id, None)
        known = self._servers.get(server.id)
        if self._leaving.get(server.id) == server.started_ms:
            server = server.as_leaving()
        if known == server:
            return False
        self._servers[server.id] = server
        if known is None or known.layers != server.layers:
            self._drop_older_observation(server)
        self._version += 1
        return True

    def put_copied(
        self, server: backend_server.BackendServer, *, now: float
    ) -> bool:
        """Takes in an entry of a list that came back from an older copy.

        What was learned since goes on to hold: layers, that an incarnation
        leaves or has left, and that it was replaced by a later one.

        Args:
            server: The entry.
            now: Monotonic time, s.

        Returns:
            Whether anything changed.
        """
        self._missing_since.pop(server.id, None)
        known = self._servers.get(server.id)
        if known is not None and known.started_ms >= server.started_ms:
            return False
        if self._departed.get(server.id, -1) >= server.started_ms:
            self._withheld[server.id] = _Withheld(server=server, since=now)
            return False
        return self.put(server)

    def note_copy(self, *, now: float) -> None:
        """Takes in that the list came back from an older copy."""
        self._outage = False
        self._returned_at = now

    def note_leaving(self, server_id: str, *, started_ms: int) -> bool:
        """Takes in that an incarnation said itself that it leaves.

        Args:
            server_id: The backend server.
            started_ms: Start of the process that said so, ms since the epoch.

        Returns:
            Whether that is news.
        """
        server = self._servers.get(server_id)
        if server is None or server.started_ms != started_ms:
            return False
        _remember(self._leaving, server_id, started_ms)
        if not server.ready:
            return False
        self._servers[server_id] = server.as_leaving()
        self._version += 1
        return True

    @property
    def leaving(self) -> dict[str, int]:
        """Starts of those that said that they leave, by identifier."""
        return {
            server_id: started_ms
            for server_id, started_ms in self._leaving.items()
            if server_id in self._servers
        }

    def remove(self, server_id: str, *, now: float) -> bool:
        """Takes in that an entry has left the list.

        Args:
            server_id: The entry.
            now: Monotonic time, s.

        Returns:
            Whether the backend server is gone; after an outage of the list it
            may be only missing yet.
        """
        self._withheld.pop(server_id, None)
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
        self._readmit(now)
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

    def _readmit(self, now: float) -> None:
        """Takes in entries of an older copy that the list did not drop."""
        for row in list(self._withheld.values()):
            if now - row.since >= COPY_EXPIRY_S:
                self.put(row.server)

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
        server = self._servers.pop(server_id, None)
        if server is None:
            return
        self._version += 1
        _remember(self._departed, server_id, server.started_ms)


def _remember(starts: dict[str, int], server_id: str, started_ms: int) -> None:
    """Notes an incarnation, and forgets the one that was noted first."""
    starts.pop(server_id, None)
    starts[server_id] = started_ms
    if len(starts) > _MOST_REMEMBERED:
        del starts[next(iter(starts))]


def _same_for_routing(one: Observation, other: Observation) -> bool:
    return (one.layers, one.started_ms, round(one.slowness, 1)) == (
        other.layers,
        other.started_ms,
        round(other.slowness, 1),
    )
