"""Known backend servers, following the platform's list.

Load pattern: the list is unavailable, slow or loses its history while backend
servers crash and leave. All entries are kept during an outage; one that expired
meanwhile is dropped only if it is still missing some time after the outage. An
entry that is removed while the list is available is dropped at once. A list
that is restored from a backup contains backend servers that have left since;
they are ignored until the list confirms them.
"""

from collections.abc import Iterable
import dataclasses

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import layer_range

# After an outage, live backend servers are listed again within about 2 s.
OUTAGE_GRACE_S = 2.3
# The list drops a backend server after three missed heartbeats, so a restored
# entry that is still listed after this time is live.
RESTORED_ENTRY_GRACE_S = 5.0
# Starts of processes that are leaving or have left are kept, since a restored
# list may show them as ready.
_MAX_TRACKED_STARTS = 4096


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observation:
    """An engine's own report, newer than its list entry.

    Attributes:
        layers: Layers that it holds, or None.
        started_ms: Start of the process that reported, ms since the epoch.
        slowness: Duration of its work relative to the usual duration.
        loading: Whether an order is in progress.
        at: Monotonic time of the report, s.
    """

    layers: layer_range.LayerRange | None
    started_ms: int
    slowness: float
    loading: bool
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _UnconfirmedEntry:
    """A restored entry of a backend server that had left."""

    server: backend_server.BackendServer
    since: float


class Fleet:
    """Every known backend server, and the rules for dropping one."""

    def __init__(self) -> None:
        """Initializes an empty fleet."""
        self._servers: dict[str, backend_server.BackendServer] = {}
        self._observations: dict[str, Observation] = {}
        self._missing_since: dict[str, float] = {}
        self._leaving: dict[str, int] = {}
        self._departed: dict[str, int] = {}
        self._unconfirmed: dict[str, _UnconfirmedEntry] = {}
        self._outage = False
        self._available_at = float("-inf")
        self._version = 0

    def __repr__(self) -> str:
        """Shows how many backend servers are known."""
        return f"<Fleet {len(self._servers)} servers, v{self._version}>"

    @property
    def version(self) -> int:
        """A number that grows with each change."""
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
        report = self._current_observation(server)
        return server.layers if report is None else report.layers

    def slowness_of(self, server: backend_server.BackendServer) -> float:
        """Returns how slow a backend server was when it last reported."""
        report = self._current_observation(server)
        return 1.0 if report is None else max(report.slowness, 0.1)

    def put(self, server: backend_server.BackendServer) -> bool:
        """Adds or updates an entry of the list.

        Args:
            server: The entry.

        Returns:
            Whether anything changed.
        """
        self._missing_since.pop(server.id, None)
        self._unconfirmed.pop(server.id, None)
        known = self._servers.get(server.id)
        if self._leaving.get(server.id) == server.started_ms:
            server = server.as_leaving()
        if known == server:
            return False
        self._servers[server.id] = server
        if known is None or known.layers != server.layers:
            self._drop_observation(server)
        self._version += 1
        return True

    def put_restored(
        self, server: backend_server.BackendServer, *, now: float
    ) -> bool:
        """Adds an entry of a list that was restored from a backup.

        Later knowledge takes precedence: the layers, that a process leaves or
        has left, and that a later process replaced it.

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
            self._unconfirmed[server.id] = _UnconfirmedEntry(
                server=server, since=now
            )
            return False
        return self.put(server)

    def note_restore(self, *, now: float) -> None:
        """Records that the list was restored from a backup."""
        self._outage = False
        self._available_at = now

    def note_leaving(self, server_id: str, *, started_ms: int) -> bool:
        """Records that a process announced that it leaves.

        Args:
            server_id: The backend server.
            started_ms: Start of that process, ms since the epoch.

        Returns:
            Whether this changed its availability.
        """
        server = self._servers.get(server_id)
        if server is None or server.started_ms != started_ms:
            return False
        _track_start(self._leaving, server_id, started_ms)
        if not server.ready:
            return False
        self._servers[server_id] = server.as_leaving()
        self._version += 1
        return True

    @property
    def leaving(self) -> dict[str, int]:
        """Process starts that announced that they leave, by server id."""
        return {
            server_id: started_ms
            for server_id, started_ms in self._leaving.items()
            if server_id in self._servers
        }

    def remove(self, server_id: str, *, now: float) -> bool:
        """Records that an entry was removed from the list.

        Args:
            server_id: The entry.
            now: Monotonic time, s.

        Returns:
            Whether the backend server was dropped; during and shortly after an
            outage of the list it is only marked as missing.
        """
        self._unconfirmed.pop(server_id, None)
        if server_id not in self._servers:
            return False
        if self._is_settling(now):
            self._missing_since.setdefault(server_id, now)
            return False
        self._drop(server_id)
        return True

    def replace(
        self,
        servers: Iterable[backend_server.BackendServer],
        *,
        now: float,
    ) -> None:
        """Replaces all entries by the whole list."""
        present = {server.id: server for server in servers}
        for server in present.values():
            self.put(server)
        for server_id in [i for i in self._servers if i not in present]:
            self.remove(server_id, now=now)

    def note_outage(self) -> None:
        """Records that the list could not be read."""
        self._outage = True

    def note_contact(self, *, now: float) -> None:
        """Records that the list was read."""
        if self._outage:
            self._outage = False
            self._available_at = now

    def drop_missing(self, *, now: float) -> list[str]:
        """Drops the entries that are still missing some time after an outage.

        Args:
            now: Monotonic time, s.

        Returns:
            The backend servers that were dropped.
        """
        self._readmit(now)
        if self._is_settling(now) or not self._missing_since:
            return []
        gone = list(self._missing_since)
        for server_id in gone:
            self._drop(server_id)
        return gone

    def note_report(self, server_id: str, report: Observation) -> bool:
        """Records an engine's own report.

        Args:
            server_id: The backend server.
            report: Its report.

        Returns:
            Whether anything relevant to routing changed.
        """
        server = self._servers.get(server_id)
        if server is None or report.started_ms < server.started_ms:
            return False
        previous = self._observations.get(server_id)
        self._observations[server_id] = report
        if previous is not None and _same_for_routing(previous, report):
            return False
        self._version += 1
        return True

    def _readmit(self, now: float) -> None:
        """Adds the restored entries that the list has confirmed."""
        for entry in list(self._unconfirmed.values()):
            if now - entry.since >= RESTORED_ENTRY_GRACE_S:
                self.put(entry.server)

    def _is_settling(self, now: float) -> bool:
        return self._outage or now - self._available_at < OUTAGE_GRACE_S

    def _current_observation(
        self, server: backend_server.BackendServer
    ) -> Observation | None:
        report = self._observations.get(server.id)
        if report is None or report.started_ms < server.started_ms:
            return None
        return report

    def _drop_observation(self, server: backend_server.BackendServer) -> None:
        self._observations.pop(server.id, None)

    def _drop(self, server_id: str) -> None:
        self._missing_since.pop(server_id, None)
        self._observations.pop(server_id, None)
        server = self._servers.pop(server_id, None)
        if server is None:
            return
        self._version += 1
        _track_start(self._departed, server_id, server.started_ms)


def _track_start(
    starts: dict[str, int], server_id: str, started_ms: int
) -> None:
    """Stores a process start, and evicts the oldest one beyond the limit."""
    starts.pop(server_id, None)
    starts[server_id] = started_ms
    if len(starts) > _MAX_TRACKED_STARTS:
        del starts[next(iter(starts))]


def _same_for_routing(one: Observation, other: Observation) -> bool:
    return (one.layers, one.started_ms, round(one.slowness, 1)) == (
        other.layers,
        other.started_ms,
        round(other.slowness, 1),
    )
