"""Which backend servers are left out of choice for a while.

Load pattern: a backend server crashes, flaps or fails a share of its
requests while its health answer says otherwise. Trust comes from what
requests show; exclusion grows while failures go on, and ends by real work.
One that is leaving refuses every request while its report still shows layers
and room; during an outage of the list nothing else shows that it leaves.
A connection that broke may be a crash, or one answer that was lost; such a
backend server is passed over only while there are others. When most lose
answers at once, they are used all the same.
"""

import dataclasses

FIRST_EXCLUSION_S = 0.6
LONGEST_EXCLUSION_S = 6.0
# A backend server that was short of memory or gave up layers is taken last for
# a moment; that is no failure. One that refuses for no known reason is passed
# over for as long.
BUSY_S = 0.3
# One silence may be a long request; so many in a row are a failure.
SILENCES = 3
# One refusal may come from a report that lags; so many in a row, with room
# reported each time, come from a backend server that is leaving.
REFUSALS = 2
# Who leaves refuses at each try, and tries come at least this often; without a
# further refusal it is no longer taken to leave.
REFUSING_FOR_S = 7.0
# A backend server without a failure for so long starts with a clean record.
FORGET_AFTER_S = 20.0


@dataclasses.dataclass(kw_only=True)
class _Record:
    failures: int = 0
    silences: int = 0
    refusals: int = 0
    firm: bool = False
    last_refusal: float = float("-inf")
    last_failure: float = 0.0
    excluded_until: float = 0.0
    busy_until: float = 0.0


class Trust:
    """Failures by backend server and the exclusions that follow."""

    def __init__(self) -> None:
        """Initializes an empty record."""
        self._records: dict[str, _Record] = {}

    def __repr__(self) -> str:
        """Shows how many backend servers have failed lately."""
        return f"<Trust {len(self._records)} records>"

    def note_failure(
        self, server_id: str, *, now: float, firm: bool = True
    ) -> float:
        """Excludes a backend server for a time that grows.

        Failures during an exclusion belong to the same incident.

        Args:
            server_id: The backend server.
            now: Monotonic time, s.
            firm: Whether it is known to be at fault; else it is only passed
                over while there are others.

        Returns:
            The time left of its exclusion, s.
        """
        record = self._records.setdefault(server_id, _Record())
        record.firm = firm or (record.firm and now < record.excluded_until)
        if now - record.last_failure > FORGET_AFTER_S:
            record.failures = 0
        record.last_failure = now
        if now < record.excluded_until:
            return record.excluded_until - now
        exclusion_s = min(
            FIRST_EXCLUSION_S * 2**record.failures, LONGEST_EXCLUSION_S
        )
        record.failures += 1
        record.excluded_until = now + exclusion_s
        return exclusion_s

    def note_busy(self, server_id: str, *, now: float) -> None:
        """Takes a backend server that could not take more last for a moment.

        It may be the only one that holds its layers, and requests end all the
        time.
        """
        record = self._records.setdefault(server_id, _Record())
        record.busy_until = max(record.busy_until, now + BUSY_S)

    def note_silence(self, server_id: str, *, now: float) -> bool:
        """Counts an answer that did not come in time.

        Args:
            server_id: The backend server.
            now: Monotonic time, s.

        Returns:
            Whether there were so many in a row that it counts as failed.
        """
        record = self._records.setdefault(server_id, _Record())
        record.silences += 1
        if record.silences < SILENCES:
            return False
        record.silences = 0
        self.note_failure(server_id, now=now)
        return True

    def note_refusal(self, server_id: str, *, now: float) -> bool:
        """Counts a refusal that the backend server's report doesn't explain.

        Refusals during an exclusion belong to the same incident.

        Args:
            server_id: The backend server.
            now: Monotonic time, s.

        Returns:
            Whether there were so many in a row that it counts as leaving.
        """
        record = self._records.setdefault(server_id, _Record())
        if now < record.excluded_until:
            return False
        if now - record.last_refusal > REFUSING_FOR_S:
            record.refusals = 0
        record.last_refusal = now
        record.refusals += 1
        if record.refusals < REFUSALS:
            record.excluded_until = now + BUSY_S
            return False
        self.note_failure(server_id, now=now)
        return True

    def note_success(
        self, server_id: str, *, now: float, began_at: float
    ) -> None:
        """Halves what is held against a backend server.

        Work that began before the last failure proves nothing: who leaves
        finishes what it has.

        Args:
            server_id: The backend server.
            now: Monotonic time, s.
            began_at: Monotonic time at which the work began, s.
        """
        record = self._records.get(server_id)
        if record is None or began_at < record.last_failure:
            return
        record.silences = 0
        record.refusals = 0
        if now < record.excluded_until:
            return
        record.failures //= 2
        if not record.failures:
            del self._records[server_id]

    def forgive(self, server_id: str) -> None:
        """Forgets a backend server, such as one that has started again."""
        self._records.pop(server_id, None)

    def excluded(self, server_id: str, *, now: float) -> bool:
        """Returns whether the backend server is left out now."""
        record = self._records.get(server_id)
        return record is not None and now < record.excluded_until

    def excluded_ids(
        self, *, now: float, only_firm: bool = False
    ) -> frozenset[str]:
        """Returns the backend servers that are left out now.

        Args:
            now: Monotonic time, s.
            only_firm: Whether to leave out only those known to be at fault.
        """
        return frozenset(
            server_id
            for server_id, record in self._records.items()
            if now < record.excluded_until and (record.firm or not only_firm)
        )

    def busy_ids(self, *, now: float) -> frozenset[str]:
        """Returns the backend servers that could not take more just now."""
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
            if record.refusals >= REFUSALS
            and now - record.last_refusal < REFUSING_FOR_S
        )
