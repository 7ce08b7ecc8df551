"""Handles leaving and full notices in responses of backend servers.

A backend server leaves while the list of backend servers is unavailable, or is
full and sends a Retry-After time: its own responses are the first to say so.
"""

from collections.abc import Mapping
import time

from dotterelgrade import decision_log
from dotterelgrade_front import front_metrics
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import fleet as fleet_lib
from dotterelgrade_routing import holdoff
from dotterelgrade_routing import request_metadata

# Malformed header values are truncated in logs.
_MAX_LOGGED_CHARS = 40


class ServerNotices:
    """Applies notices and filters out backend servers that are held off."""

    def __init__(
        self,
        *,
        fleet: fleet_lib.Fleet,
        holdoffs: holdoff.Holdoffs,
        decisions: decision_log.DecisionLog,
        metrics: front_metrics.FrontMetrics,
    ) -> None:
        """Initializes the handler.

        Args:
            fleet: The backend servers.
            holdoffs: Which of them asked for no requests for a while.
            decisions: Log of the notices applied.
            metrics: Counts them.
        """
        self._fleet = fleet
        self._holdoffs = holdoffs
        self._decisions = decisions
        self._metrics = metrics

    def __repr__(self) -> str:
        """Shows the holdoffs."""
        return f"<ServerNotices {self._holdoffs}>"

    def available(self, service: str) -> list[backend_server.BackendServer]:
        """Returns the ready backend servers of a service not held off."""
        return self._holdoffs.available(
            self._fleet.ready(service), now=time.monotonic()
        )

    def is_held_off(self, server: backend_server.BackendServer) -> bool:
        """Returns whether a backend server is held off."""
        return self._holdoffs.left_s(server, now=time.monotonic()) > 0

    def holdoff_left_s(self, service: str) -> float:
        """Returns the time until the first holdoff of a service ends, s, or 0.

        Args:
            service: Name of the service.
        """
        return self._holdoffs.first_release_s(
            self._fleet.ready(service), now=time.monotonic()
        )

    def note_response(
        self,
        server: backend_server.BackendServer | None,
        facts: request_metadata.ResponseMetadata,
    ) -> None:
        """Applies the notices in a response of a backend server.

        Args:
            server: The incarnation the request was sent to, or None if unknown.
            facts: Facts of the response.
        """
        if server is None or facts.misdirected:
            # Another incarnation may have responded at this address.
            return
        if facts.leaving:
            self.note_leaving(
                server.id,
                started_ms=server.started_ms,
                reason="notice in its response",
            )
        if facts.retry_after:
            self.note_holdoff(server, facts.retry_after)

    def note_leaving(
        self, server_id: str, *, started_ms: int, reason: str
    ) -> None:
        """Excludes a leaving backend server from selection.

        Args:
            server_id: The backend server.
            started_ms: Start of the process that leaves, ms since the epoch.
            reason: How this is known, in one clause.
        """
        if self._fleet.note_leaving(server_id, started_ms=started_ms):
            self._metrics.count_server_notice("leaving")
            self._decisions.record(
                "backend_server_leaving",
                reason=reason,
                server=server_id,
                started_ms=started_ms,
            )

    def note_all_leaving(self, leaving: Mapping[str, int]) -> None:
        """Applies leaving notices that other fronts received.

        Args:
            leaving: Start of each leaving process, by backend server, ms since
                the epoch.
        """
        for server_id, started_ms in leaving.items():
            self.note_leaving(
                server_id, started_ms=started_ms, reason="reported by a front"
            )

    def note_holdoff(
        self, server: backend_server.BackendServer, retry_after: str
    ) -> None:
        """Holds off a full backend server for the time it asked for.

        Args:
            server: The backend server.
            retry_after: Value of its Retry-After header.
        """
        seconds = holdoff.parse_retry_after(retry_after)
        if seconds is None:
            self._decisions.record(
                "retry_after_rejected",
                reason="not a number of seconds",
                server=server.id,
                stated=retry_after[:_MAX_LOGGED_CHARS],
            )
            return
        now = time.monotonic()
        already_held = self._holdoffs.left_s(server, now=now)
        self._holdoffs.note(server, seconds=seconds, now=now)
        if not already_held and seconds:
            self._metrics.count_server_notice("full")
            self._decisions.record(
                "backend_server_held_off",
                reason="full, sent a retry time",
                server=server.id,
                for_s=round(seconds, 2),
            )
