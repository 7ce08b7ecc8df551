"""Reader of one log stream that tolerates outages and expired records."""

from collections.abc import Callable
import logging
import random

import gevent
from returns import result

from dotterelgrade import errors
from dotterelgrade import journal as journal_lib
from dotterelgrade import log_client

_LOG = logging.getLogger(__name__)

Handler = Callable[[log_client.Record], None]

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class Follower:
    """Passes every record of a stream to a handler, in order and once.

    Failed reads are retried with backoff. A record that the handler rejects
    is counted and skipped, as are records that the log no longer keeps.
    """

    def __init__(
        self,
        log: log_client.Log,
        stream: str,
        handler: Handler,
        *,
        start: int = 1,
        journal: journal_lib.Journal | None = None,
        wait_ms: int = log_client.MAX_WAIT_MS,
        seed: int | None = None,
    ) -> None:
        """Initializes a follower positioned at `start`.

        Args:
            log: The log service.
            stream: Name of the stream.
            handler: Called with each record; its exceptions are logged.
            start: Offset of the first record to read.
            journal: Receives an entry per skipped record, or None.
            wait_ms: How long a read waits for a new record, ms.
            seed: Seed of the backoff jitter.
        """
        self._log = log
        self._stream = stream
        self._handler = handler
        self._position = start
        self._journal = journal or journal_lib.Journal(capacity=1)
        self._wait_ms = wait_ms
        self._random = random.Random(seed)
        self._backoff_s = INITIAL_BACKOFF_S
        self._first_kept = 1
        self._end: int | None = None
        self._is_connected = False
        self._failures = 0
        self._rejected = 0
        self._expired = 0

    def __repr__(self) -> str:
        """Shows the stream, the position and the end."""
        return f"<Follower {self._stream} at {self._position} of {self._end}>"

    @property
    def position(self) -> int:
        """Offset of the next record to read."""
        return self._position

    @property
    def end(self) -> int | None:
        """Offset of the next append; None before the first read."""
        return self._end

    @property
    def first_kept(self) -> int:
        """First offset that the stream kept at the latest read."""
        return self._first_kept

    @property
    def is_connected(self) -> bool:
        """Whether the latest read succeeded."""
        return self._is_connected

    @property
    def is_caught_up(self) -> bool:
        """Whether all records up to the end at the latest read were read."""
        return self._end is not None and self._position >= self._end

    @property
    def failed_reads(self) -> int:
        """Number of failed reads."""
        return self._failures

    @property
    def rejected_records(self) -> int:
        """Number of records that the handler rejected."""
        return self._rejected

    @property
    def expired_records(self) -> int:
        """Number of records that expired before they were read."""
        return self._expired

    def seek(self, position: int) -> None:
        """Sets the offset of the next record to read."""
        self._position = position

    def run(self) -> None:
        """Follows the stream until the greenlet is killed."""
        while True:
            if self.poll():
                self._backoff_s = INITIAL_BACKOFF_S
                gevent.sleep(0)
                continue
            gevent.sleep(self._backoff_s * self._random.uniform(0.5, 1.0))
            self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)

    def poll(self) -> bool:
        """Reads one page and handles its records, or waits for one.

        Returns:
            False when the read failed.
        """
        return self._read(wait_ms=self._wait_ms if self.is_caught_up else 0)

    def refresh(self) -> bool:
        """Reads what the log has now, without waiting for more.

        Returns:
            False when the read failed.
        """
        return self._read(wait_ms=0)

    def _read(self, *, wait_ms: int) -> bool:
        start = self._position
        read_result = self._log.read(self._stream, start=start, wait_ms=wait_ms)
        if isinstance(read_result, result.Failure):
            return self._handle_failure(read_result.failure())
        page = read_result.unwrap()
        self._is_connected = True
        self._first_kept = page.first_kept
        for record in page.records:
            if not self._handle_record(record):
                break
        # Set last, so that a partly handled page doesn't count as caught up.
        self._end = page.end
        return True

    def _handle_record(self, record: log_client.Record) -> bool:
        """Handles a record; False when the handler moved the position."""
        if record.offset < self._position:
            return True
        self._position = record.offset + 1
        try:
            self._handler(record)
        except Exception as error:
            self._record_skip(record, error)
        return self._position == record.offset + 1

    def _record_skip(self, record: log_client.Record, error: Exception) -> None:
        self._rejected += 1
        expected = isinstance(error, errors.DotterelgradeError)
        _LOG.warning(
            "record skipped",
            extra={
                "stream": self._stream,
                "offset": record.offset,
                "reason": str(error),
            },
            exc_info=None if expected else error,
        )
        self._journal.record(
            "record_skipped",
            reason=str(error)[:200],
            stream=self._stream,
            offset=record.offset,
        )

    def _handle_failure(self, error: errors.Error) -> bool:
        if isinstance(error, log_client.ExpiredError):
            return self._skip_expired(error.first_kept)
        if self._is_connected or not self._failures:
            _LOG.warning(
                "log unavailable",
                extra={"stream": self._stream, "reason": error.message},
            )
        self._failures += 1
        self._is_connected = False
        return False

    def _skip_expired(self, first_kept: int) -> bool:
        self._is_connected = True
        if first_kept <= self._position:
            return False
        self._expired += first_kept - self._position
        self._first_kept = first_kept
        self._journal.record(
            "records_expired",
            reason="the log no longer keeps them",
            stream=self._stream,
            offset=self._position,
            first_kept=first_kept,
        )
        self._position = first_kept
        return True
