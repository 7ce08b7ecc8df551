"""Charges: sent in numbered batches, folded so that a double is harmless."""

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
from dotterelgrade import errors
from dotterelgrade import log_client

MAX_HELD = 20_000
MAX_BATCH_ITEMS = 500
MAX_PRODUCERS = 100_000
MIN_INTERVAL_S = 1.0
MAX_APPENDS_PER_S = 100.0
_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0


def interval_s(senders: int) -> float:
    """Returns how often each of so many senders may append, s.

    The log takes several hundred appends a second from everybody, so that all
    senders together keep to `MAX_APPENDS_PER_S`.

    Args:
        senders: Processes that send charges.
    """
    return max(MIN_INTERVAL_S, senders / MAX_APPENDS_PER_S)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Charge:
    """What one request is charged with.

    Attributes:
        workspace: Name of the workspace.
        request_id: Identifier of the request.
        prompt_tokens: Tokens of the prompt.
        generated_tokens: Tokens that the caller was sent.
    """

    workspace: str
    request_id: str
    prompt_tokens: int
    generated_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Total:
    """What a workspace was charged with.

    Attributes:
        requests: Number of requests.
        prompt_tokens: Sum over the requests.
        generated_tokens: Sum over the requests.
    """

    requests: int = 0
    prompt_tokens: int = 0
    generated_tokens: int = 0

    def plus(self, charge: Charge) -> "Total":
        """Returns the total with one more charge."""
        return Total(
            requests=self.requests + 1,
            prompt_tokens=self.prompt_tokens + charge.prompt_tokens,
            generated_tokens=self.generated_tokens + charge.generated_tokens,
        )


class ChargeSender:
    """Appends the charges of one process, in order and each batch until read.

    A batch is named by the incarnation and a sequence number, and the next
    one leaves only after the one before was answered. A retry carries the same
    name and items, so the fold knows a double by its number alone.
    """

    def __init__(
        self,
        log: log_client.Log,
        *,
        incarnation: str,
        senders: Callable[[], int] = lambda: 1,
        max_held: int = MAX_HELD,
        max_batch_items: int = MAX_BATCH_ITEMS,
    ) -> None:
        """Initializes a sender without charges.

        Args:
            log: The log service.
            incarnation: Identifier of the process, new at each start.
            senders: Returns how many processes send charges.
            max_held: The most charges held in an outage of the log.
            max_batch_items: The most charges in one append.
        """
        self._log = log
        self._incarnation = incarnation
        self._senders = senders
        self._max_held = max_held
        self._max_batch_items = max_batch_items
        self._held: collections.deque[Charge] = collections.deque()
        self._batch: tuple[Charge, ...] = ()
        self._sequence = 0
        self._dropped: collections.Counter[str] = collections.Counter()
        self._sent = 0
        self._is_empty = event.Event()
        self._is_empty.set()
        self._hurry = event.Event()

    def __repr__(self) -> str:
        """Shows what is held and what was dropped."""
        return f"<ChargeSender {self.held} held, {self.dropped} dropped>"

    @property
    def held(self) -> int:
        """Charges not yet answered for by the log."""
        return len(self._held) + len(self._batch)

    @property
    def sent(self) -> int:
        """Charges that the log took."""
        return self._sent

    @property
    def dropped(self) -> int:
        """Charges dropped in an outage, to the good of the workspaces."""
        return self._dropped.total()

    @property
    def dropped_by_workspace(self) -> dict[str, int]:
        """Charges dropped, by workspace."""
        return dict(self._dropped)

    def charge(self, charge: Charge) -> None:
        """Holds a charge until the next batch; drops it when too many wait.

        Args:
            charge: The charge of a finished request.
        """
        if self.held >= self._max_held:
            self._dropped[charge.workspace] += 1
            return
        self._held.append(charge)
        self._is_empty.clear()

    def run(self) -> None:
        """Sends charges until the greenlet is killed."""
        backoff_s = _FIRST_BACKOFF_S
        while True:
            if self.send():
                backoff_s = _FIRST_BACKOFF_S
                # What is left after a full batch does not wait.
                pause_s = self._pause_s()
                self._hurry.wait(pause_s)
                self._hurry.clear()
                continue
            gevent.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)

    def _pause_s(self) -> float:
        if len(self._held) >= self._max_batch_items:
            return 0.0
        return interval_s(self._senders())

    def flush(self, *, timeout_s: float) -> bool:
        """Makes the running sender hurry and waits until nothing is left.

        Args:
            timeout_s: How long to wait, s.

        Returns:
            Whether every charge was taken by the log.
        """
        self._hurry.set()
        return self._is_empty.wait(timeout_s)

    def send(self) -> bool:
        """Appends one batch; False when the log did not answer."""
        if not self._batch:
            self._next_batch()
        if not self._batch:
            return True
        batch = appender.Batch(
            id=f"{self._incarnation}:{self._sequence}",
            items=tuple(dataclasses.asdict(c) for c in self._batch),
        )
        answer = self._log.append(
            log_client.CHARGES_STREAM, appender.encode(batch)
        )
        if isinstance(answer, result.Failure):
            return False
        self._sent += len(self._batch)
        self._batch = ()
        if not self._held:
            self._is_empty.set()
        return True

    def _next_batch(self) -> None:
        count = min(len(self._held), self._max_batch_items)
        self._batch = tuple(self._held.popleft() for _ in range(count))
        self._sequence += bool(count)


class ChargeBook:
    """The fold of the charges stream.

    Of each producer it keeps the highest batch number, so a doubled append is
    known however late it comes.
    """

    def __init__(self, *, max_producers: int = MAX_PRODUCERS) -> None:
        """Initializes an empty book.

        Args:
            max_producers: Incarnations whose numbers are kept; the ones idle
                for longest are forgotten.
        """
        self._max_producers = max_producers
        self._latest: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._totals: dict[str, Total] = {}
        self._doubled = 0

    def __repr__(self) -> str:
        """Shows how many workspaces were charged."""
        return f"<ChargeBook of {len(self._totals)} workspaces>"

    @property
    def doubled(self) -> int:
        """Batches that were in the log before."""
        return self._doubled

    @property
    def totals(self) -> dict[str, Total]:
        """What each workspace was charged with."""
        return dict(self._totals)

    def total(self, workspace: str) -> Total:
        """Returns what one workspace was charged with."""
        return self._totals.get(workspace, Total())

    def apply(self, record: log_client.Record) -> bool:
        """Folds one record in.

        Args:
            record: A record of the charges stream.

        Returns:
            False when the batch was folded in before.

        Raises:
            errors.DotterelgradeError: RECORD_INVALID; nothing is charged.
        """
        batch = appender.decode(record.body)
        producer, number = _split(batch.id)
        charges = _to_charges(batch.items)
        if number <= self._latest.get(producer, 0):
            self._doubled += 1
            return False
        self._latest[producer] = number
        self._latest.move_to_end(producer)
        if len(self._latest) > self._max_producers:
            self._latest.popitem(last=False)
        for charge in charges:
            total = self._totals.get(charge.workspace, Total())
            self._totals[charge.workspace] = total.plus(charge)
        return True


def _split(batch_id: str) -> tuple[str, int]:
    producer, _, number = batch_id.rpartition(":")
    if not producer or not number.isdecimal() or len(number) > 18:
        raise errors.fail(
            errors.ErrorKind.RECORD_INVALID,
            f"batch {batch_id[:80]!r} has no producer and number",
        )
    return producer, int(number)


def _to_charges(items: tuple[dict[str, Any], ...]) -> tuple[Charge, ...]:
    try:
        return tuple(msgspec.convert(item, Charge) for item in items)
    except msgspec.ValidationError as error:
        raise errors.fail(
            errors.ErrorKind.RECORD_INVALID, f"no charge: {error}"
        ) from error
