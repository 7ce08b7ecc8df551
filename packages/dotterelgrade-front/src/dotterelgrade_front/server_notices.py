"""What backend servers say of themselves in their answers, and what follows.

Load pattern: a backend server leaves while the list is away, or is full and
names the time for which it wants nothing; its answers say so first.
"""

from collections.abc import Mapping
import time

from dotterelgrade import decision_log
from dotterelgrade_front import front_metrics
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import fleet as fleet_lib
from dotterelgrade_routing import holdoff
from dotterelgrade_routing import request_facts

# Characters of a malformed header that a log line repeats.
_MOST_STATED = 40


class ServerNotices:
    """Takes in notices, and says who may be sent to now."""

    def __init__(
        self,
        *,
        fleet: fleet_lib.Fleet,
        holdoffs: holdoff.Holdoffs,
        decisions: decision_log.DecisionLog,
        metrics: front_metrics.FrontMetrics,
    ) -> None:
        """Initializes the object.

        Args:
            fleet: The backend servers.
            holdoffs: Which of them want nothing for a while.
            decisions: Records what is taken in.
            metrics: Counts it.
        """
        self._fleet = fleet
        self._holdoffs = holdoffs
        self._decisions = decisions
        self._metrics = metrics

    def __repr__(self) -> str:
        """Shows who is left alone."""
        return f"<ServerNotices {self._holdoffs}>"

    def usable(self, service: str) -> list[backend_server.BackendServer]:
        """Returns the backend servers of a service that may be sent to now."""
        return self._holdoffs.free(
            self._fleet.ready(service), now=time.monotonic()
        )

    def held_off(self, server: backend_server.BackendServer) -> bool:
        """Returns whether a backend server wants nothing from this front."""
        return self._holdoffs.left_s(server, now=time.monotonic()) > 0

    def first_free_s(self, service: str) -> float:
        """Returns when the first full one of a service may be asked, s, or 0.

        Args:
            service: Name of the service.
        """
        return self._holdoffs.first_free_s(
            self._fleet.ready(service), now=time.monotonic()
        )

    def note_answer(
        self,
        server: backend_server.BackendServer | None,
        facts: request_facts.AnswerFacts,
    ) -> None:
        """Takes in what a backend server says of itself in an answer.

        Args:
            server: The incarnation that was asked, or None if it is unknown.
            facts: What its answer says.
        """
        if server is None or facts.misdirected:
            # Another incarnation may have answered at its address.
            return
        if facts.leaving:
            self.note_leaving(
                server.id, started_ms=server.started_ms, reason="said so itself"
            )
        if facts.retry_after:
            self.note_holdoff(server, facts.retry_after)

    def note_leaving(
        self, server_id: str, *, started_ms: int, reason: str
    ) -> None:
        """Takes a backend server that leaves out of choice.

        Args:
            server_id: The backend server.
            started_ms: Start of the process that leaves, ms since the epoch.
            reason: How this is known, in one clause.
        """
        if self._fleet.note_leaving(server_id, started_ms=started_ms):
            self._metrics.count_notice("leaving")
            self._decisions.record(
                "backend_server_leaving",
                reason=reason,
                server=server_id,
                started_ms=started_ms,
            )

    def note_all_leaving(self, leaving: Mapping[str, int]) -> None:
        """Takes in who said to other fronts that it leaves.

        Args:
            leaving: Starts of the processes that leave, by identifier.
        """
        for server_id, started_ms in leaving.items():
            self.note_leaving(
                server_id, started_ms=started_ms, reason="reported by a front"
            )

    def note_holdoff(
        self, server: backend_server.BackendServer, retry_after: str
    ) -> None:
        """Leaves a full backend server alone for the time it asked for.

        Args:
            server: The backend server.
            retry_after: The time, as it wrote it.
        """
        seconds = holdoff.seconds_of(retry_after)
        if seconds is None:
            self._decisions.record(
                "retry_after_rejected",
                reason="no number of seconds",
                server=server.id,
                stated=retry_after[:_MOST_STATED],
            )
            return
        now = time.monotonic()
        known = self._holdoffs.left_s(server, now=now)
        self._holdoffs.note(server, seconds=seconds, now=now)
        if not known and seconds:
            self._metrics.count_notice("full")
            self._decisions.record(
                "backend_server_held_off",
                reason="asked for it",
                server=server.id,
                for_s=round(seconds, 2),
            )
