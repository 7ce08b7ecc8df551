"""Batching of concurrent appends to one log stream."""

import collections
import dataclasses
import json
import logging
from typing import Any
import uuid

import gevent
from gevent import event
import msgspec
from returns import result

from dotterelgrade import decoding
from dotterelgrade import errors
from dotterelgrade import log_client

_LOG = logging.getLogger(__name__)

MAX_QUEUED = 10_000
MAX_BATCH_ITEMS = 500
MAX_BATCH_BYTES = 256 * 1024
_RETRY_AFTER_S = 1.0
BATCH_TYPE = "batch"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Batch:
    """Items that were appended together.

    Attributes:
        id: Identifier of the batch, the same in every copy of an append.
        items: The items in the order in which they were submitted.
    """

    id: str
    items: tuple[dict[str, Any], ...]


def encode(batch: Batch) -> bytes:
    """Returns the JSON body of a batch."""
    items = [json.dumps(item) for item in batch.items]
    return _encode_batch(batch.id, items)


def decode(body: bytes) -> Batch:
    """Decodes and validates the body of a batch record.

    Args:
        body: Body of the log record.

    Returns:
        The decoded batch.

    Raises:
        errors.DotterelgradeError: RECORD_INVALID, for any other body.
    """
    return decoding.require(_to_batch, body, what="invalid batch record")


def _to_batch(body: bytes) -> Batch:
    value = msgspec.json.decode(body)
    items = value["items"]
    if value["type"] != BATCH_TYPE or not isinstance(value["id"], str):
        raise ValueError("not a batch")
    if not all(isinstance(item, dict) for item in items):
        raise ValueError("an item is not an object")
    return Batch(id=value["id"], items=tuple(items))


def _encode_batch(batch_id: str, items: list[str]) -> bytes:
    head = json.dumps({"type": BATCH_TYPE, "id": batch_id})
    return f'{head[:-1]}, "items": [{", ".join(items)}]}}'.encode()


@dataclasses.dataclass(eq=False)
class _PendingItem:
    text: str
    append_result: event.AsyncResult
    is_cancelled: bool = False


class Appender:
    """Batches items of concurrent callers, one append in flight at a time.

    Items submitted during an append form the next batch, so batches grow with
    the load, and a single item is appended without delay.
    """

    def __init__(
        self,
        log: log_client.Log,
        stream: str,
        *,
        max_queued: int = MAX_QUEUED,
        max_batch_items: int = MAX_BATCH_ITEMS,
        max_batch_bytes: int = MAX_BATCH_BYTES,
    ) -> None:
        """Initializes an appender with an empty queue.

        Args:
            log: The log service.
            stream: Name of the stream.
            max_queued: Maximum number of queued items.
            max_batch_items: Maximum number of items per append.
            max_batch_bytes: Size at which a batch is closed, in bytes.
        """
        self._log = log
        self._stream = stream
        self._max_queued = max_queued
        self._max_batch_items = max_batch_items
        self._max_batch_bytes = max_batch_bytes
        self._queue: collections.deque[_PendingItem] = collections.deque()
        self._writer: gevent.Greenlet | None = None
        self._append_count = 0
        self._item_count = 0

    def __repr__(self) -> str:
        """Shows the stream and the queue length."""
        return f"<Appender {self._stream}, {len(self._queue)} queued>"

    @property
    def queue_length(self) -> int:
        """Number of items queued for an append."""
        return len(self._queue)

    @property
    def append_count(self) -> int:
        """Number of appends attempted."""
        return self._append_count

    @property
    def item_count(self) -> int:
        """Number of items in the attempted appends."""
        return self._item_count

    def submit(
        self, item: dict[str, Any], *, timeout_s: float
    ) -> result.Result[int, errors.Error]:
        """Appends an item, batched with those of other callers.

        Args:
            item: A JSON object.
            timeout_s: How long to wait, s.

        Returns:
            The offset of the batch, or LOG_UNAVAILABLE, in which case the
            item may still have been appended.
        """
        if len(self._queue) >= self._max_queued:
            return _unavailable("the append queue is full")
        pending = _PendingItem(
            text=json.dumps(item), append_result=event.AsyncResult()
        )
        self._queue.append(pending)
        if not self._writer:
            self._writer = gevent.spawn(self._write)
        pending.append_result.wait(timeout_s)
        if pending.append_result.ready():
            return pending.append_result.get()
        pending.is_cancelled = True
        return _unavailable(f"append timed out after {timeout_s} s")

    def _write(self) -> None:
        while batch := self._take_batch():
            body = _encode_batch(
                uuid.uuid4().hex, [item.text for item in batch]
            )
            self._append_count += 1
            self._item_count += len(batch)
            append_result = self._append(body)
            for item in batch:
                item.append_result.set(append_result)

    def _append(self, body: bytes) -> result.Result[int, errors.Error]:
        try:
            return self._log.append(self._stream, body)
        except Exception as error:
            # Every caller gets a failure, whatever the client raised.
            _LOG.exception("append failed", extra={"stream": self._stream})
            return _unavailable(repr(error))

    def _take_batch(self) -> list[_PendingItem]:
        batch: list[_PendingItem] = []
        size = 0
        while (
            self._queue
            and len(batch) < self._max_batch_items
            and size < self._max_batch_bytes
        ):
            item = self._queue.popleft()
            if not item.is_cancelled:
                batch.append(item)
                size += len(item.text)
        return batch


def _unavailable(reason: str) -> result.Result[int, errors.Error]:
    return result.Failure(
        errors.Error(
            kind=errors.ErrorKind.LOG_UNAVAILABLE,
            message=reason,
            retry_after_s=_RETRY_AFTER_S,
        )
    )
