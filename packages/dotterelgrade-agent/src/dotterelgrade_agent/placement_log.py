"""Keeps the placement up to date and appends to its stream."""

import random
from typing import Any

import gevent
from gevent import event
from returns import result

from dotterelgrade import follower as follower_lib
from dotterelgrade import journal as journal_lib
from dotterelgrade import log_client
from dotterelgrade_agent import placement as placement_lib

_FIRST_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.0


class PlacementLog:
    """The stream `placement` as one agent sees and writes it."""

    def __init__(
        self,
        log: log_client.Log,
        *,
        journal: journal_lib.Journal,
        wait_ms: int = log_client.MAX_WAIT_MS,
    ) -> None:
        """Initializes with an empty placement.

        Args:
            log: The log service.
            journal: Takes decisions.
            wait_ms: How long a read waits for a new record, ms.
        """
        self._log = log
        self._placement = placement_lib.Placement()
        self._follower = follower_lib.Follower(
            log,
            log_client.PLACEMENT_STREAM,
            self._handle,
            journal=journal,
            wait_ms=wait_ms,
        )
        self._waiting: dict[str, event.AsyncResult] = {}

    @property
    def placement(self) -> placement_lib.Placement:
        """The fold of the stream."""
        return self._placement

    @property
    def is_log_available(self) -> bool:
        """Whether the log answered the latest read."""
        return self._follower.is_connected

    @property
    def is_caught_up(self) -> bool:
        """Whether the end of the stream was reached once."""
        return self._follower.is_caught_up

    def run(self) -> None:
        """Follows the stream until killed."""
        backoff_s = _FIRST_BACKOFF_S
        while True:
            if self._follower.poll():
                self._placement.note_missing(self._follower.position)
                backoff_s = _FIRST_BACKOFF_S
                gevent.sleep(0)
                continue
            gevent.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)

    def _handle(self, record: log_client.Record) -> None:
        verdict = self._placement.apply(record)
        if verdict is None:
            return
        waiting = self._waiting.get(verdict[0])
        if waiting is not None:
            waiting.set(verdict[1])

    def append(self, item: placement_lib.Item) -> bool:
        """Appends a record; False when it may not have been appended."""
        answer = self._log.append(
            log_client.PLACEMENT_STREAM, placement_lib.encode(item)
        )
        return isinstance(answer, result.Success)

    def take_over(
        self, item: placement_lib.TakeOver, *, timeout_s: float
    ) -> placement_lib.Verdict | None:
        """Appends a take-over and waits until it is read back.

        Args:
            item: The take-over.
            timeout_s: Longest wait for it to be read back, s.

        Returns:
            The verdict, or None when it was not read back in time.
        """
        waiting = event.AsyncResult()
        self._waiting[item.id] = waiting
        try:
            # A lost answer does not matter: what counts is the stream.
            self.append(item)
            return waiting.get(timeout=timeout_s)
        except gevent.Timeout:
            return None
        finally:
            del self._waiting[item.id]

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "offset": self._placement.offset,
            "complete": self._placement.is_complete,
            "log_up": self.is_log_available,
            "spares": len(self._placement.spares),
        }
