"""Keeps in the store what is known of requests that may crash servers.

Fronts tell each other over their links to the planner. The store has what must
outlive them, and is how they tell each other while no planner answers.
"""

from collections.abc import Callable, Mapping
import dataclasses
import time

import gevent
from returns import result

from dotterelgrade import quarantine as quarantine_lib
from dotterelgrade import suspect_state
from dotterelgrade_front import front_state
from dotterelgrade_routing import platform_port

_TICK_S = 0.25
# A planner without a snapshot for this time may be lost.
_PLANNER_SILENCE_S = 0.8
# Pause between reads while no planner answers and requests come.
_READ_INTERVAL_S = 1.0
# The planner reads what fronts wrote that can't reach it.
_PLANNER_READ_INTERVAL_S = 15.0
_FAILURE_PAUSE_S = 1.0
_NEVER = float("-inf")


class SuspectSync:
    """Reads and writes the suspects in the store."""

    def __init__(
        self,
        state: front_state.FrontState,
        *,
        leads: Callable[[], bool],
        planner_silent_s: Callable[[], float],
    ) -> None:
        """Initializes it; `run` starts it.

        Args:
            state: Shared by the front's greenlets.
            leads: Returns whether this front is the planner.
            planner_silent_s: Returns the time since the last snapshot, s.
        """
        self._state = state
        self._rules = state.quarantine.rules
        self._leads = leads
        self._planner_silent_s = planner_silent_s
        self._read_at = _NEVER
        self._failed_at = _NEVER
        self._requests_at_read = 0
        self._era = 0
        # Offsets by key; the odd records can't be read, and are left alone.
        self._stored: dict[str, int] = {}
        self._odd: set[str] = set()
        self._written = 0
        self._was_alone = False
        self._probes_due: set[str] = set()
        state.quarantine.set_on_probe_due(self._probes_due.add)

    def __repr__(self) -> str:
        """Shows the number of suspects in the store."""
        return f"<SuspectSync {len(self._stored)} stored>"

    @property
    def has_read(self) -> bool:
        """Whether the suspects in the store were read since the start."""
        return self._read_at > _NEVER

    def run(self) -> None:
        """Keeps the store and this front up to date until it is killed."""
        while True:
            self.run_once()
            gevent.sleep(_TICK_S)

    def run_once(self) -> None:
        """Reads and writes what is due; a failure is tried again later."""
        self._state.quarantine.expire()
        if time.monotonic() < self._failed_at + _FAILURE_PAUSE_S:
            return
        try:
            if not self.has_read:
                self._read()
            self._write_if_due()
            if self._read_due():
                self._read()
            self._claim_probes()
        except platform_port.StoreError as error:
            self._failed_at = time.monotonic()
            self._state.decisions.record(
                "suspects_unsynced",
                reason=str(error),
                suspects=len(self._rules.suspects),
                stored=len(self._stored),
            )

    @property
    def _alone(self) -> bool:
        """Whether no planner passes on what this front and others know."""
        if self._leads():
            return False
        return self._planner_silent_s() > _PLANNER_SILENCE_S

    def _read_due(self) -> bool:
        since_s = time.monotonic() - self._read_at
        if self._leads():
            return since_s >= _PLANNER_READ_INTERVAL_S
        requests = self._state.quarantine.requests
        if not self._alone or requests == self._requests_at_read:
            return False
        return since_s >= _READ_INTERVAL_S

    def _read(self) -> platform_port.Page:
        """Takes in what others have written to the store since the last read.

        Raises:
            platform_port.StoreError: There was no usable answer.
        """
        requests = self._state.quarantine.requests
        page = self._state.platform.suspects.read()
        self._read_at = time.monotonic()
        self._requests_at_read = requests
        if page.era > self._era:
            # The store was restored, and lacks what was written since.
            self._era = page.era
            self._stored.clear()
            self._written = 0
        written = [r for r in page.records if not self._is_known(r)]
        decoded = [state for r in written if (state := self._decode(r))]
        self._stored = {record.key: record.offset for record in page.records}
        self._odd &= self._stored.keys()
        self._state.quarantine.merge(
            suspect_state.SuspectNews(suspects=decoded)
        )
        return page

    def _is_known(self, record: platform_port.Record) -> bool:
        """Returns whether a record was read before, or is one of this front."""
        return self._stored.get(record.key) == record.offset

    def _decode(
        self, record: platform_port.Record
    ) -> suspect_state.SuspectState | None:
        decoded = suspect_state.decode(record.value)
        if isinstance(decoded, result.Success):
            self._odd.discard(record.key)
            return decoded.unwrap().undated()
        self._odd.add(record.key)
        self._state.decisions.record(
            "suspect_rejected",
            reason=decoded.failure().message,
            key=record.key,
            offset=record.offset,
        )
        return None

    def _write_if_due(self) -> None:
        """Writes what has changed if no other front does."""
        alone = self._alone
        if alone and not self._was_alone:
            # The planner that is lost may have told nobody.
            self._written = 0
        self._was_alone = alone
        if alone or self._leads():
            self._write()

    def _write(self) -> None:
        """Writes the suspects that have changed, and removes former ones."""
        if not self._changed_values():
            self._written = self._rules.version
            return
        page = self._read()
        version = self._rules.version
        if self._replace(self._changed_values(), since=page):
            self._written = version

    def _changed_values(self) -> dict[str, bytes]:
        """Returns what the store lacks, by fingerprint."""
        known = set(self._rules.suspects)
        former = self._stored.keys() - known - self._odd
        values = dict.fromkeys(former, b"")
        for state in self._rules.news_since(self._written).suspects:
            if state.fingerprint in known and self._is_kept(state):
                values[state.fingerprint] = suspect_state.encode(state)
        return values

    def _replace(
        self, values: Mapping[str, bytes], *, since: platform_port.Page
    ) -> bool:
        """Writes values unless another front has written meanwhile."""
        store = self._state.platform.suspects
        if not values or not store.write_if_unchanged(values, since=since):
            return not values
        for offset, (key, value) in enumerate(values.items(), since.end):
            if value:
                self._stored[key] = offset
            else:
                self._stored.pop(key, None)
        return True

    def _is_kept(self, state: suspect_state.SuspectState) -> bool:
        """Returns whether the store is to have a suspect.

        A single crash is not worth a call, unless no planner passes it on.
        """
        if self._alone or state.quarantined_age_s is not None:
            return True
        return len(state.crashes) >= quarantine_lib.SUSPECTED_CRASHES

    def _claim_probes(self) -> None:
        """Claims the probes that are due, so that no other front sends one."""
        while self._probes_due:
            fingerprint = self._probes_due.pop()
            page = self._read()
            if not self._rules.assess([fingerprint]).probe_due:
                continue
            state = self._rules.state_of(fingerprint)
            claim = dataclasses.replace(
                state, probes=state.probes + 1, probed_age_s=0.0
            )
            values = {fingerprint: suspect_state.encode(claim)}
            if self._replace(values, since=page):
                self._rules.grant_probe(fingerprint)
