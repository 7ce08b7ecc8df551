"""Applies records of the store to the state of the front."""

import functools
import time

from returns import result

from dotterelgrade_front import front_state
from dotterelgrade_front import guarded_records
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import feed_freshness
from dotterelgrade_routing import platform_port

# Entries of other programs that are remembered as logged.
_MAX_REJECTIONS = 1024


class ConfigurationSink:
    """Keeps the newest configuration, and ignores older versions."""

    def __init__(self, state: front_state.FrontState) -> None:
        """Initializes the sink.

        Args:
            state: State of the front.
        """
        self._state = state

    def replace_all(self, page: platform_port.Page) -> None:
        """Applies the newest record of every key."""
        guarded_records.apply_each(page.records, self.apply)

    def apply(self, record: platform_port.Record) -> None:
        """Applies one record."""
        state = self._state
        if record.key != state.platform.configuration_key or not record.value:
            return
        decoded = state.platform.documents.decode_configuration(record.value)
        if isinstance(decoded, result.Failure):
            state.decisions.record(
                "configuration_rejected", reason=decoded.failure().message
            )
            return
        self._adopt(decoded.unwrap(), offset=record.offset)

    def note_contact(self, *, heard_at: float) -> None:
        """Notes when the store last answered, monotonic time, s."""
        self._state.known_configuration.store_contact_at = heard_at

    def note_freshness(self, freshness: feed_freshness.FeedFreshness) -> None:
        """Notes up to when the versions are known."""
        self._state.known_configuration.freshness = freshness

    def note_outage(self) -> None:
        """Does nothing; the age of the configuration shows the outage."""

    def note_relayed_contact(self, *, at: float) -> None:
        """Does nothing; contact of others does not renew the configuration."""

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

    A stale answer of the store neither replaces nor removes an entry of a later
    record.
    """

    def __init__(self, state: front_state.FrontState) -> None:
        """Initializes the sink.

        Args:
            state: State of the front.
        """
        self._state = state
        self._offsets: dict[str, int] = {}
        self._rejections: dict[str, str] = {}
        self._era: int | None = None

    def replace_all(self, page: platform_port.Page) -> None:
        """Applies the newest records, and removes entries without one."""
        restored = self._era is not None and page.era > self._era
        self._era = page.era
        if restored:
            # The restored store assigns the same offsets again.
            self._offsets.clear()
            self._state.fleet.note_restore(now=time.monotonic())
        present = {record.key for record in page.records if record.value}
        for server in self._state.fleet.servers:
            known_offset = self._offsets.get(server.id, -1)
            if server.id not in present and known_offset < page.end:
                self._remove(server.id)
        guarded_records.apply_each(
            page.records, functools.partial(self._apply, copied=restored)
        )

    def apply(self, record: platform_port.Record) -> None:
        """Applies one record."""
        self._apply(record, copied=False)

    def _apply(self, record: platform_port.Record, *, copied: bool) -> None:
        if record.offset < self._offsets.get(record.key, -1):
            return
        self._offsets[record.key] = record.offset
        if not record.value:
            self._rejections.pop(record.key, None)
            self._remove(record.key)
            return
        documents = self._state.platform.documents
        decoded = documents.decode_backend_server(
            server_id=record.key, body=record.value
        )
        if isinstance(decoded, result.Success):
            self._rejections.pop(record.key, None)
            self._put(decoded.unwrap(), copied=copied)
            return
        self._note_rejection(record.key, decoded.failure().message)
        # An entry that can't be used names no server, also if an earlier one
        # of its key did.
        self._remove(record.key)

    def note_contact(self, *, heard_at: float) -> None:
        """Notes when the store last answered, monotonic time, s."""
        self._state.fleet.note_contact(now=heard_at)

    def note_freshness(self, freshness: feed_freshness.FeedFreshness) -> None:
        """Does nothing; a request is never rejected for want of an entry."""

    def note_outage(self) -> None:
        """Notes that the store is unreachable from all fronts."""
        self._state.fleet.note_outage()

    def note_relayed_contact(self, *, at: float) -> None:
        """Notes that the store is unreachable only from this front."""
        self._state.fleet.note_contact(now=at)

    def _note_rejection(self, server_id: str, reason: str) -> None:
        """Records why an entry can't be used, once while it stays so."""
        if self._rejections.get(server_id) == reason:
            return
        if len(self._rejections) >= _MAX_REJECTIONS:
            del self._rejections[next(iter(self._rejections))]
        self._rejections[server_id] = reason
        self._state.decisions.record(
            "backend_server_rejected", reason=reason, server=server_id
        )

    def _put(
        self, server: backend_server.BackendServer, *, copied: bool
    ) -> None:
        state = self._state
        known = state.fleet.get(server.id)
        if copied:
            changed = state.fleet.put_restored(server, now=time.monotonic())
        else:
            changed = state.fleet.put(server)
        if not changed:
            return
        if known is None or known.started_ms != server.started_ms:
            state.exclusions.reset(server.id)
        state.decisions.record(
            "backend_server_changed",
            reason="older copy of the list" if copied else "list entry",
            server=server.id,
            address=server.address,
            availability=server.availability.value,
            layers=repr(server.layers),
        )

    def _remove(self, server_id: str) -> None:
        known = self._state.fleet.get(server_id) is not None
        gone = self._state.fleet.remove(server_id, now=time.monotonic())
        if not known:
            return
        self._state.decisions.record(
            "backend_server_gone" if gone else "backend_server_missing",
            reason="list entry removed",
            server=server_id,
        )
