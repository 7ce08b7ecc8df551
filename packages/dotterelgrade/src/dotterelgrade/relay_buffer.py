"""Buffer of the latest contract records, relayed to peers on request."""

import collections

from dotterelgrade import log_client
from dotterelgrade import messages

MAX_RECORDS = 1_000
MAX_BYTES = 2 * 1024 * 1024


class RelayBuffer:
    """Keeps consecutive records, dropping the oldest ones when full."""

    def __init__(
        self, *, max_records: int = MAX_RECORDS, max_bytes: int = MAX_BYTES
    ) -> None:
        """Initializes an empty buffer.

        Args:
            max_records: Maximum number of records kept.
            max_bytes: Maximum total size of the bodies, in bytes.
        """
        self._records: collections.deque[messages.RelayedRecord] = (
            collections.deque()
        )
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._bytes = 0

    def __repr__(self) -> str:
        """Shows the number of records and their size."""
        return f"<RelayBuffer {len(self._records)} records, {self._bytes} B>"

    def __len__(self) -> int:
        """Returns the number of records kept."""
        return len(self._records)

    def add(self, record: log_client.Record) -> None:
        """Appends a record; after an offset gap, drops all earlier records.

        Args:
            record: The record that the contract last applied.
        """
        if self._records and record.offset != self._records[-1].offset + 1:
            self._records.clear()
            self._bytes = 0
        self._records.append(
            messages.RelayedRecord(offset=record.offset, body=record.body)
        )
        self._bytes += len(record.body)
        while self._records and (
            len(self._records) > self._max_records
            or self._bytes > self._max_bytes
        ):
            self._bytes -= len(self._records.popleft().body)

    def records_after(
        self, offset: int
    ) -> tuple[messages.RelayedRecord, ...] | None:
        """Returns all records after an offset; None if some were dropped."""
        if not self._records or self._records[0].offset > offset + 1:
            return None
        return tuple(r for r in self._records if r.offset > offset)
