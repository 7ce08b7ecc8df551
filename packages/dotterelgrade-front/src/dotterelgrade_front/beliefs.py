"""Turns records of the store into beliefs."""

import time

from returns import result

from dotterelgrade_front import front_state
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import platform_port


class ConfigurationSink:
    """Keeps the newest configuration; never goes back to an older one."""

    def __init__(self, state: front_state.FrontState) -> None:
        """Initializes the sink.

        Args:
            state: Holds the known configuration.
        """
        self._state = state

    def whole(self, page: platform_port.Page) -> None:
        """Takes in the newest records."""
        for record in page.records:
            self.change(record)

    def change(self, record: platform_port.Record) -> None:
        """Takes in one record."""
        state = self._state
        if record.key != state.platform.configuration_key or not record.value:
            return
        decoded = state.platform.documents.configuration_of(record.value)
        if isinstance(decoded, result.Failure):
            state.decisions.record(
                "configuration_rejected", reason=decoded.failure().message
            )
            return
        self._adopt(decoded.unwrap(), offset=record.offset)

    def contact(self, *, heard_at: float) -> None:
        """Takes in when the store last answered, monotonic time, s."""
        self._state.known_configuration.store_contact_at = heard_at

    def outage(self) -> None:
        """Keeps the configuration; its age shows the outage."""

    def others_heard(self, *, at: float) -> None:
        """Keeps its age; what others hear does not make it younger."""

    def _adopt(self, newer: object, *, offset: int) -> None:
        state = self._state
        known = state.configuration
        if known is not None and newer.version <= known.version:
            return
        state.known_configuration.configuration = newer
        state.decisions.record(
            "configuration_in_force",
            reason="newer version read",
            version=newer.version,
            offset=offset,
            routes=len(newer.routes),
        )


class ServerSink:
    """Keeps the list of backend servers.

    A stale answer of the store neither replaces nor removes what a later
    record said.
    """

    def __init__(self, state: front_state.FrontState) -> None:
        """Initializes the sink.

        Args:
            state: Holds the fleet.
        """
        self._state = state
        self._offsets: dict[str, int] = {}
        self._era: int | None = None

    def whole(self, page: platform_port.Page) -> None:
        """Takes in the newest records; what they lack has left."""
        copied = self._era is not None and page.era > self._era
        self._era = page.era
        if copied:
            # Offsets are given out again.
            self._offsets.clear()
            self._state.fleet.note_copy(now=time.monotonic())
        present = {record.key for record in page.records if record.value}
        for server in self._state.fleet.servers:
            known_at = self._offsets.get(server.id, -1)
            if server.id not in present and known_at < page.end:
                self._remove(server.id)
        for record in page.records:
            self._take_in(record, copied=copied)

    def change(self, record: platform_port.Record) -> None:
        """Takes in one record."""
        self._take_in(record, copied=False)

    def _take_in(self, record: platform_port.Record, *, copied: bool) -> None:
        if record.offset < self._offsets.get(record.key, -1):
            return
        self._offsets[record.key] = record.offset
        if not record.value:
            self._remove(record.key)
            return
        documents = self._state.platform.documents
        decoded = documents.backend_server_of(
            server_id=record.key, body=record.value
        )
        if isinstance(decoded, result.Success):
            self._put(decoded.unwrap(), copied=copied)
            return
        self._state.decisions.record(
            "backend_server_rejected",
            reason=decoded.failure().message,
            server=record.key,
        )
        self._remove(record.key)

    def contact(self, *, heard_at: float) -> None:
        """Takes in when the store last answered, monotonic time, s."""
        self._state.fleet.note_contact(now=heard_at)

    def outage(self) -> None:
        """Takes in that the store did not answer, nor others lately."""
        self._state.fleet.note_outage()

    def others_heard(self, *, at: float) -> None:
        """Takes in that the list is not away, but only this front."""
        self._state.fleet.note_contact(now=at)

    def _put(
        self, server: backend_server.BackendServer, *, copied: bool
    ) -> None:
        state = self._state
        known = state.fleet.get(server.id)
        if copied:
            changed = state.fleet.put_copied(server, now=time.monotonic())
        else:
            changed = state.fleet.put(server)
        if not changed:
            return
        if known is None or known.started_ms != server.started_ms:
            state.trust.forgive(server.id)
        state.decisions.record(
            "backend_server_changed",
            reason="older copy of the list" if copied else "list entry",
            server=server.id,
            address=server.address,
            availability=server.availability.value,
            layers=repr(server.layers),
        )

    def _remove(self, server_id: str) -> None:
        gone = self._state.fleet.remove(server_id, now=time.monotonic())
        self._state.decisions.record(
            "backend_server_gone" if gone else "backend_server_missing",
            reason="list entry removed",
            server=server_id,
        )
