"""Charging of requests in numbered batches that are deduplicated on read."""

import collections
from collections.abc import Callable
import dataclasses
import random
from typing import Any

import gevent
from gevent import event
import msgspec
from returns import result

from dotterelgrade import appender
from dotterelgrade import bounded
from dotterelgrade import decoding
from dotterelgrade import errors
from dotterelgrade import log_client

MAX_PENDING = 20_000
MAX_BATCH_ITEMS = 500
MAX_PRODUCERS = 100_000
MIN_INTERVAL_S = 1.0
MAX_APPENDS_PER_S = 100.0
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0


def append_interval_s(sender_count: int) -> float:
    """Returns the append interval of each sender, s.

    The log takes several hundred appends per second in total, so all senders
    together stay below `MAX_APPENDS_PER_S`.

    Args:
        sender_count: Number of processes that send charges.
    """
    return max(MIN_INTERVAL_S, sender_count / MAX_APPENDS_PER_S)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Charge:
    """Tokens charged for one request.

    Attributes:
        workspace: Name of the workspace.
        request_id: Identifier of the request.
        prompt_tokens: Tokens of the prompt.
        generated_tokens: Tokens sent to the caller.
    """

    workspace: str
    request_id: str
    prompt_tokens: bounded.Count
    generated_tokens: bounded.Count


@dataclasses.dataclass(frozen=True, kw_only=True)
class Total:
    """Sum of the charges of a workspace.

    Attributes:
        requests: Number of requests.
        prompt_tokens: Sum over the requests.
        generated_tokens: Sum over the requests.
    """

    requests: int = 0
    prompt_tokens: int = 0
    generated_tokens: int = 0

    def plus(self, charge: Charge) -> "Total":
        """Returns the total with a charge added."""
        return Total(
            requests=self.requests + 1,
            prompt_tokens=self.prompt_tokens + charge.prompt_tokens,
            generated_tokens=self.generated_tokens + charge.generated_tokens,
        )


class ChargeSender:
    """Appends the charges of one process, in order and with retries.

    A batch is identified by the incarnation and a sequence number, and is
    retried with the same identifier and items until it is acknowledged; only
    then is the next one sent. Readers detect duplicates by the number alone.
    """

    def __init__(
        self,
        log: log_client.Log,
        *,
        incarnation: str,
        sender_count: Callable[[], int] = lambda: 1,
        max_pending: int = MAX_PENDING,
        max_batch_items: int = MAX_BATCH_ITEMS,
    ) -> None:
        """Initializes a sender with no pending charges.

        Args:
            log: The log service.
            incarnation: Identifier of the process, unique to each start.
            sender_count: Returns how many processes send charges.
            max_pending: Maximum number of charges pending in an outage.
            max_batch_items: Maximum number of charges per append.
        """
        self._log = log
        self._incarnation = incarnation
        self._sender_count = sender_count
        self._max_pending = max_pending
        self._max_batch_items = max_batch_items
        self._pending: collections.deque[Charge] = collections.deque()
        self._batch: tuple[Charge, ...] = ()
        self._sequence = 0
        self._dropped: collections.Counter[str] = collections.Counter()
        self._sent = 0
        self._is_drained = event.Event()
        self._is_drained.set()
        self._flush_requested = event.Event()

    def __repr__(self) -> str:
        """Shows the number of pending and dropped charges."""
        return f"<ChargeSender {self.pending} pending, {self.dropped} dropped>"

    @property
    def pending(self) -> int:
        """Number of charges that the log has not acknowledged."""
        return len(self._pending) + len(self._batch)

    @property
    def acknowledged(self) -> int:
        """Number of charges that the log acknowledged."""
        return self._sent

    @property
    def dropped(self) -> int:
        """Number of charges dropped in an outage, and so never billed."""
        return self._dropped.total()

    @property
    def dropped_by_workspace(self) -> dict[str, int]:
        """Number of dropped charges by workspace."""
        return dict(self._dropped)

    def charge(self, charge: Charge) -> None:
        """Queues a charge for the next batch; drops it when the queue is full.

        Args:
            charge: The charge of a finished request.
        """
        if self.pending >= self._max_pending:
            self._dropped[charge.workspace] += 1
            return
        self._pending.append(charge)
        self._is_drained.clear()

    def run(self) -> None:
        """Sends charges until the greenlet is killed."""
        backoff_s = _INITIAL_BACKOFF_S
        while True:
            if self.send():
                backoff_s = _INITIAL_BACKOFF_S
                # No pause while at least one more full batch is pending.
                pause_s = self._pause_s()
                self._flush_requested.wait(pause_s)
                self._flush_requested.clear()
                continue
            gevent.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)

    def _pause_s(self) -> float:
        if len(self._pending) >= self._max_batch_items:
            return 0.0
        return append_interval_s(self._sender_count())

    def flush(self, *, timeout_s: float) -> bool:
        """Skips the current pause and waits until no charge is pending.

        Args:
            timeout_s: How long to wait, s.

        Returns:
            Whether the log acknowledged every charge.
        """
        self._flush_requested.set()
        return self._is_drained.wait(timeout_s)

    def send(self) -> bool:
        """Appends one batch; False when the append failed."""
        if not self._batch:
            self._fill_batch()
        if not self._batch:
            return True
        batch = appender.Batch(
            id=f"{self._incarnation}:{self._sequence}",
            items=tuple(dataclasses.asdict(c) for c in self._batch),
        )
        append_result = self._log.append(
            log_client.CHARGES_STREAM, appender.encode(batch)
        )
        if isinstance(append_result, result.Failure):
            return False
        self._sent += len(self._batch)
        self._batch = ()
        if not self._pending:
            self._is_drained.set()
        return True

    def _fill_batch(self) -> None:
        count = min(len(self._pending), self._max_batch_items)
        self._batch = tuple(self._pending.popleft() for _ in range(count))
        self._sequence += bool(count)


class ChargeTotals:
    """Totals by workspace, computed from the charges stream.

    The highest batch number of each producer is kept, so that a duplicate
    append is detected however late it arrives.
    """

    def __init__(self, *, max_producers: int = MAX_PRODUCERS) -> None:
        """Initializes the totals without charges.

        Args:
            max_producers: Maximum number of incarnations tracked, beyond
                which the least recently active ones are evicted.
        """
        self._max_producers = max_producers
        self._latest_batch_numbers: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._totals: dict[str, Total] = {}
        self._duplicate_count = 0

    def __repr__(self) -> str:
        """Shows the number of charged workspaces."""
        return f"<ChargeTotals of {len(self._totals)} workspaces>"

    @property
    def duplicate_batches(self) -> int:
        """Number of duplicate batches in the log."""
        return self._duplicate_count

    @property
    def totals(self) -> dict[str, Total]:
        """Total of each workspace."""
        return dict(self._totals)

    def total(self, workspace: str) -> Total:
        """Returns the total of one workspace."""
        return self._totals.get(workspace, Total())

    def apply(self, record: log_client.Record) -> bool:
        """Applies one record.

        Args:
            record: A record of the charges stream.

        Returns:
            False when the batch was already applied.

        Raises:
            errors.DotterelgradeError: RECORD_INVALID; the totals are unchanged.
        """
        batch = appender.decode(record.body)
        producer, batch_number = _parse_batch_id(batch.id)
        charges = _to_charges(batch.items)
        if batch_number <= self._latest_batch_numbers.get(producer, 0):
            self._duplicate_count += 1
            return False
        self._latest_batch_numbers[producer] = batch_number
        self._latest_batch_numbers.move_to_end(producer)
        if len(self._latest_batch_numbers) > self._max_producers:
            self._latest_batch_numbers.popitem(last=False)
        for charge in charges:
            total = self._totals.get(charge.workspace, Total())
            self._totals[charge.workspace] = total.plus(charge)
        return True


def _parse_batch_id(batch_id: str) -> tuple[str, int]:
    producer, _, batch_number = batch_id.rpartition(":")
    if not producer or not batch_number.isdecimal() or len(batch_number) > 18:
        raise errors.new_exception(
            errors.ErrorKind.RECORD_INVALID,
            f"batch {batch_id[:80]!r} is not '<producer>:<number>'",
        )
    return producer, int(batch_number)


def _to_charges(items: tuple[dict[str, Any], ...]) -> tuple[Charge, ...]:
    return decoding.require(
        lambda values: msgspec.convert(values, tuple[Charge, ...]),
        items,
        what="invalid charge",
    )
