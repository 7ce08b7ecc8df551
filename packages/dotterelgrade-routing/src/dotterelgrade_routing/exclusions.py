"""Temporary exclusion of backend servers that fail requests.

Load pattern: a backend server crashes, flaps or fails a share of its requests
while its health check passes. Exclusion therefore depends on the outcome of
requests; it grows while failures continue, and successful requests reset it.
A backend server that is shutting down refuses every request while its report
still shows layers and free memory; during an outage of the list nothing else
shows that it is leaving. A broken connection may be a crash or a single lost
answer; such a backend server is avoided only while there are others, so that
the fleet stays in use when most backend servers lose answers at once.
"""

import dataclasses

FIRST_EXCLUSION_S = 0.6
MAX_EXCLUSION_S = 6.0
# A backend server that lacked memory or released layers is the last choice for
# this time, without counting as failed. One that refuses for no known reason is
# excluded for the same time.
BUSY_S = 0.3
# One timeout may be a long request; this many in a row count as a failure.
TIMEOUTS_FOR_FAILURE = 3
# One refusal may be due to an outdated report; this many in a row, while the
# report shows free memory, mean that the backend server is leaving.
REFUSALS_FOR_LEAVING = 2
# A backend server that is leaving refuses every attempt, and attempts come at
# least this often; without a further refusal it no longer counts as leaving.
REFUSAL_VALID_S = 7.0
# The count of failures is reset after this time without one.
FAILURE_RESET_S = 20.0


@dataclasses.dataclass(kw_only=True)
class _Record:
    failures: int = 0
    timeouts: int = 0
    refusals: int = 0
    confirmed: bool = False
    last_refusal: float = float("-inf")
    last_failure: float = 0.0
    excluded_until: float = 0.0
    busy_until: float = 0.0


class ExclusionTracker:
    """Failures by backend server, and the resulting exclusions."""

    def __init__(self) -> None:
        """Initializes it without failures."""
        self._records: dict[str, _Record] = {}

    def __repr__(self) -> str:
        """Shows how many backend servers failed recently."""
        return f"<ExclusionTracker {len(self._records)} records>"

    def note_failure(
        self, server_id: str, *, now: float, confirmed: bool = True
    ) -> float:
        """Excludes a backend server for a time that grows with each failure.

        Failures during an exclusion belong to the same incident.

        Args:
            server_id: The backend server.
            now: Monotonic time, s.
            confirmed: Whether it is known to be at fault; otherwise it is only
                avoided while there are others.

        Returns:
            Remaining time of its exclusion, s.
        """
        record = self._records.setdefault(server_id, _Record())
        record.confirmed = confirmed or (
            record.confirmed and now < record.excluded_until
        )
        if now - record.last_failure > FAILURE_RESET_S:
            record.failures = 0
        record.last_failure = now
        if now < record.excluded_until:
            return record.excluded_until - now
        exclusion_s = min(
            FIRST_EXCLUSION_S * 2**record.failures, MAX_EXCLUSION_S
        )
        record.failures += 1
        record.excluded_until = now + exclusion_s
        return exclusion_s

    def note_busy(self, server_id: str, *, now: float) -> None:
        """Makes a full backend server the last choice for a short time.

        It is not excluded: it may be the only holder of its layers, and running
        requests free memory all the time.
        """
        record = self._records.setdefault(server_id, _Record())
        record.busy_until = max(record.busy_until, now + BUSY_S)

    def note_timeout(self, server_id: str, *, now: float) -> bool:
        """Counts an answer that timed out.

        Args:
            server_id: The backend server.
            now: Monotonic time, s.

        Returns:
            Whether it counts as failed after this one.
        """
        record = self._records.setdefault(server_id, _Record())
        record.timeouts += 1
        if record.timeouts < TIMEOUTS_FOR_FAILURE:
            return False
        record.timeouts = 0
        self.note_failure(server_id, now=now)
        return True

    def note_refusal(self, server_id: str, *, now: float) -> bool:
        """Counts a refusal that the backend server's report doesn't explain.

        Refusals during an exclusion belong to the same incident.

        Args:
            server_id: The backend server.
            now: Monotonic time, s.

        Returns:
            Whether it counts as leaving after this one.
        """
        record = self._records.setdefault(server_id, _Record())
        if now < record.excluded_until:
            return False
        if now - record.last_refusal > REFUSAL_VALID_S:
            record.refusals = 0
        record.last_refusal = now
        record.refusals += 1
        if record.refusals < REFUSALS_FOR_LEAVING:
            record.excluded_until = now + BUSY_S
            return False
        self.note_failure(server_id, now=now)
        return True

    def note_success(
        self, server_id: str, *, now: float, began_at: float
    ) -> None:
        """Resets timeouts and refusals, and halves the count of failures.

        A request that started before the last failure proves nothing: a backend
        server that is leaving still finishes its running requests.

        Args:
            server_id: The backend server.
            now: Monotonic time, s.
            began_at: Monotonic time at which the request started, s.
        """
        record = self._records.get(server_id)
        if record is None or began_at < record.last_failure:
            return
        record.timeouts = 0
        record.refusals = 0
        if now < record.excluded_until:
            return
        record.failures //= 2
        if not record.failures:
            del self._records[server_id]

    def reset(self, server_id: str) -> None:
        """Clears the record of a backend server, such as after a restart."""
        self._records.pop(server_id, None)

    def excluded(self, server_id: str, *, now: float) -> bool:
        """Returns whether a backend server is excluded."""
        record = self._records.get(server_id)
        return record is not None and now < record.excluded_until

    def excluded_ids(
        self, *, now: float, confirmed_only: bool = False
    ) -> frozenset[str]:
        """Returns the backend servers that are excluded.

        Args:
            now: Monotonic time, s.
            confirmed_only: Whether to return only those known to be at fault.
        """
        return frozenset(
            server_id
            for server_id, record in self._records.items()
            if now < record.excluded_until
            and (record.confirmed or not confirmed_only)
        )

    def busy_ids(self, *, now: float) -> frozenset[str]:
        """Returns the backend servers that were full a moment ago."""
        return frozenset(
            server_id
            for server_id, record in self._records.items()
            if now < record.busy_until
        )

    def refusing_ids(self, *, now: float) -> frozenset[str]:
        """Returns the backend servers that count as leaving."""
        return frozenset(
            server_id
            for server_id, record in self._records.items()
            if record.refusals >= REFUSALS_FOR_LEAVING
            and now - record.last_refusal < REFUSAL_VALID_S
        )
