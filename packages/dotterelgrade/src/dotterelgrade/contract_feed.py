"""Replication of the contract from the log, with peers as fallback."""

from collections.abc import Callable, Collection
import logging
import time
from typing import Any

import gevent

from dotterelgrade import contract as contract_lib
from dotterelgrade import contract_records
from dotterelgrade import errors
from dotterelgrade import follower as follower_lib
from dotterelgrade import journal as journal_lib
from dotterelgrade import log_client
from dotterelgrade import messages
from dotterelgrade import relay_buffer
from dotterelgrade import snapshots

_LOG = logging.getLogger(__name__)

Listener = Callable[[contract_lib.Outcome], None]

_SNAPSHOT_CHECK_S = 1.0
CHANGING_OUTCOMES = frozenset(
    {
        contract_lib.OutcomeKind.ACCEPTED,
        contract_lib.OutcomeKind.ADOPTED,
        contract_lib.OutcomeKind.RESTORED,
    }
)


class ContractFeed:
    """Applies the contract stream and relays records to peers.

    While the log is down, records are fetched from peers. They carry their
    log offset, so the resulting contract is the same.
    """

    def __init__(
        self,
        log: log_client.Log,
        *,
        journal: journal_lib.Journal | None = None,
        settings: snapshots.SnapshotSettings | None = None,
        relay: relay_buffer.RelayBuffer | None = None,
        wait_ms: int = log_client.MAX_WAIT_MS,
        seed: int | None = None,
    ) -> None:
        """Initializes a feed at the start of the stream.

        Args:
            log: The log service.
            journal: Receives the outcomes of records, or None.
            settings: Limits that make a snapshot due.
            relay: Keeps records for peers; default-sized if None.
            wait_ms: How long a read waits for a new record, ms.
            seed: Seed of the random waits.
        """
        self._log = log
        self._journal = journal or journal_lib.Journal(capacity=1)
        self._contract = contract_lib.Contract()
        self._relay = relay_buffer.RelayBuffer() if relay is None else relay
        self._schedule = snapshots.SnapshotSchedule(
            settings or snapshots.SnapshotSettings(),
            now=time.monotonic(),
            seed=seed,
        )
        self._follower = follower_lib.Follower(
            log,
            log_client.CONTRACT_STREAM,
            self._handle,
            journal=self._journal,
            wait_ms=wait_ms,
            seed=seed,
        )
        self._listeners: list[
            tuple[Listener, Collection[contract_lib.OutcomeKind]]
        ] = []
        self._has_caught_up = False
        self._peer_offset = 0
        self._counts = dict.fromkeys(contract_lib.OutcomeKind, 0)

    def __repr__(self) -> str:
        """Shows the contract and whether it is caught up."""
        state = "caught up" if self.is_caught_up else "behind"
        return f"<ContractFeed {self._contract!r} {state}>"

    @property
    def contract(self) -> contract_lib.Contract:
        """Current contract of this process."""
        return self._contract

    @property
    def offset(self) -> int:
        """Offset of the last record applied to the contract."""
        return self._contract.offset

    @property
    def is_log_available(self) -> bool:
        """Whether the latest read of the log succeeded."""
        return self._follower.is_connected

    @property
    def outcome_counts(self) -> dict[contract_lib.OutcomeKind, int]:
        """Number of records by outcome."""
        return dict(self._counts)

    @property
    def position(self) -> int:
        """Offset of the next record to read."""
        return self._follower.position

    @property
    def first_kept(self) -> int:
        """First offset that the log kept at the latest read."""
        return self._follower.first_kept

    @property
    def log_end(self) -> int | None:
        """Offset of the next append; None before the first read."""
        return self._follower.end

    @property
    def has_reached_log_end(self) -> bool:
        """Whether the contract includes all records up to the known log end."""
        end = self._follower.end
        return end is not None and self._contract.offset + 1 >= end

    @property
    def needs_peer_records(self) -> bool:
        """Whether records must come from peers, as the log can't serve them."""
        return not self.is_log_available or self.first_kept > self.offset + 1

    @property
    def is_caught_up(self) -> bool:
        """Whether the process may accept work with this contract.

        Stays True once the contract has reached the end of the log or, while
        the log is down, the highest offset of the peers.
        """
        if not self._has_caught_up:
            self._has_caught_up = (
                self.has_reached_log_end or self._has_reached_peers()
            )
        return self._has_caught_up

    def _has_reached_peers(self) -> bool:
        down = self._follower.failed_reads and not self._follower.is_connected
        return bool(down) and 0 < self._peer_offset <= self._contract.offset

    def run(self) -> None:
        """Follows the log until the greenlet is killed."""
        snapshot_greenlet = gevent.spawn(self._run_snapshots)
        try:
            self._follower.run()
        finally:
            snapshot_greenlet.kill()

    def poll(self) -> bool:
        """Reads the log once; False when the read failed."""
        return self._follower.poll()

    def add_listener(
        self,
        listener: Listener,
        *,
        kinds: Collection[contract_lib.OutcomeKind] = CHANGING_OUTCOMES,
    ) -> None:
        """Adds a listener for outcomes of records.

        Args:
            listener: Called with each outcome.
            kinds: The kinds to pass on; by default those that change lines.
        """
        self._listeners.append((listener, kinds))

    def _handle(self, record: log_client.Record) -> None:
        outcome = self._apply(record)
        if outcome.kind is contract_lib.OutcomeKind.ADOPTED:
            self._follower.seek(self._contract.offset + 1)

    def _apply(self, record: log_client.Record) -> contract_lib.Outcome:
        outcome = self._contract.apply(record)
        if self._contract.offset == record.offset:
            self._relay.add(record)
        if outcome.kind is contract_lib.OutcomeKind.SNAPSHOT:
            self._register_snapshot(record)
        self._report_outcome(outcome)
        return outcome

    def _register_snapshot(self, record: log_client.Record) -> None:
        body = contract_records.decode(record.body)
        self._schedule.register_snapshot(
            covers=body.covers, now=time.monotonic()
        )

    def _report_outcome(self, outcome: contract_lib.Outcome) -> None:
        self._counts[outcome.kind] += 1
        kinds = contract_lib.OutcomeKind
        if outcome.kind is kinds.INVALID:
            _LOG.warning(
                "contract record skipped",
                extra={"offset": outcome.offset, "reason": outcome.reason},
            )
        if outcome.kind not in (kinds.STALE, kinds.GAP, kinds.SNAPSHOT):
            self._journal.record(
                f"contract_{outcome.kind}",
                reason=outcome.reason or f"record of {outcome.author or 'log'}",
                offset=outcome.offset,
                id=outcome.id,
                lines=len(outcome.changed) or len(outcome.conflicts),
            )
        for listener, listener_kinds in self._listeners:
            if outcome.kind in listener_kinds:
                listener(outcome)

    def records_after(self, offset: int) -> messages.Records:
        """Returns what a peer needs to catch up from an offset.

        Args:
            offset: Offset of the peer's contract.

        Returns:
            The records after it, or a snapshot if some were dropped.
        """
        covers = self._contract.offset
        records: tuple[messages.RelayedRecord, ...] = ()
        if offset < covers:
            kept = self._relay.records_after(offset)
            records = kept if kept is not None else (self._snapshot_record(),)
        return messages.Records(records=records, covers=covers)

    def _snapshot_record(self) -> messages.RelayedRecord:
        body = contract_records.encode(self._contract.snapshot())
        return messages.RelayedRecord(offset=self._contract.offset, body=body)

    def apply_relayed_records(self, records: messages.Records) -> None:
        """Applies records relayed by a peer.

        Args:
            records: The peer's answer to `RecordsWanted`.
        """
        for relayed in records.records:
            if relayed.offset <= self._contract.offset:
                continue
            if not self._adopt_snapshot(relayed):
                self._apply(
                    log_client.Record(offset=relayed.offset, body=relayed.body)
                )
        self.register_peer_offset(records.covers)
        self._follower.seek(
            max(self._follower.position, self._contract.offset + 1)
        )

    def _adopt_snapshot(self, relayed: messages.RelayedRecord) -> bool:
        try:
            body = contract_records.decode(relayed.body)
        except errors.DotterelgradeError:
            return False
        # Only a peer's snapshot covers its own offset; one in the log doesn't.
        if (
            not isinstance(body, contract_records.SnapshotRecord)
            or body.covers != relayed.offset
        ):
            return False
        self._report_outcome(self._contract.adopt(body))
        return True

    def register_peer_offset(self, offset: int) -> None:
        """Registers the contract offset of a reachable peer.

        Args:
            offset: Offset of the last record that the peer applied.
        """
        self._peer_offset = max(self._peer_offset, offset)

    def _run_snapshots(self) -> None:
        while True:
            gevent.sleep(_SNAPSHOT_CHECK_S)
            if self.is_snapshot_due():
                gevent.sleep(self._schedule.wait_s())
                self.append_snapshot_if_due()

    def append_snapshot_if_due(self) -> None:
        """Appends a snapshot unless the log has a newer one by now.

        On a busy host the follower may not have read the snapshot that another
        process appended during the wait.
        """
        if self.is_snapshot_due():
            self._follower.refresh()
        if self.is_snapshot_due():
            self.append_snapshot()

    def is_snapshot_due(self) -> bool:
        """Whether this process should append a newer snapshot."""
        return (
            self._follower.is_connected
            and self.has_reached_log_end
            and self._schedule.is_due(
                offset=self._contract.offset,
                first_kept=self._follower.first_kept,
                now=time.monotonic(),
            )
        )

    def append_snapshot(self) -> None:
        """Appends a snapshot of the current contract."""
        body = contract_records.encode(self._contract.snapshot())
        append_result = self._log.append(log_client.CONTRACT_STREAM, body)
        self._journal.record(
            "contract_snapshot",
            reason="the latest one was too old",
            covers=self._contract.offset,
            appended=str(append_result),
        )

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "offset": self._contract.offset,
            "lines": self._contract.line_count,
            "unreadable": sorted(self._contract.unreadable),
            "digest": self._contract.digest,
            "caught_up": self.is_caught_up,
            "log_up": self._follower.is_connected,
            "log_end": self._follower.end,
            "log_first_kept": self._follower.first_kept,
            "peer_offset": self._peer_offset,
            "snapshot_covers": self._schedule.covered_offset,
            "relay_records": len(self._relay),
            "outcomes": {kind.value: n for kind, n in self._counts.items()},
        }
