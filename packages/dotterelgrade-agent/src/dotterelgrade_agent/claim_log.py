"""Keeps the claim ledger up to date and appends to its stream."""

import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import random
import time
from typing import Any

import gevent
from gevent import event
import gevent.pool
from returns import result

from dotterelgrade import appender as appender_lib
from dotterelgrade import follower as follower_lib
from dotterelgrade import journal as journal_lib
from dotterelgrade import log_client
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import claim_items
from dotterelgrade_agent import claim_ledger

_FIRST_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.0
_APPEND_TIMEOUT_S = 5.0
_RECORD_RETRY_S = 0.5
_MAX_UNRECORDED = 1_000
_MAX_OWN_OUTCOMES = 100
_MAX_ABANDONED = 10_000


class ClaimLog:
    """The stream `claims` as one agent sees and writes it."""

    def __init__(
        self,
        log: log_client.Log,
        settings: agent_settings.ClaimSettings,
        *,
        journal: journal_lib.Journal,
        wait_ms: int = log_client.MAX_WAIT_MS,
    ) -> None:
        """Initializes with an empty ledger.

        Args:
            log: The log service.
            settings: Limits for keyed calls.
            journal: Takes decisions.
            wait_ms: How long a read waits for a new record, ms.
        """
        self._settings = settings
        self._journal = journal
        self._ledger = claim_ledger.ClaimLedger(settings)
        self._appender = appender_lib.Appender(log, log_client.CLAIMS_STREAM)
        self._follower = follower_lib.Follower(
            log,
            log_client.CLAIMS_STREAM,
            self._handle,
            journal=journal,
            wait_ms=wait_ms,
        )
        self._by_claim: dict[str, event.AsyncResult] = {}
        self._by_key: dict[claim_items.Key, list[event.Event]] = {}
        self._abandoned: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._unrecorded: dict[str, claim_items.Item] = {}
        self._own_outcomes: collections.OrderedDict[
            str, claim_items.Outcome
        ] = collections.OrderedDict()
        self._writers = gevent.pool.Group()

    def __repr__(self) -> str:
        """Shows the ledger and what waits for the log."""
        return f"<ClaimLog {self._ledger!r}, {self.unrecorded} unrecorded>"

    @property
    def ledger(self) -> claim_ledger.ClaimLedger:
        """The fold of the stream."""
        return self._ledger

    @property
    def is_current(self) -> bool:
        """Whether the log answers and the ledger has reached its end."""
        return self._follower.is_connected and self._follower.is_caught_up

    @property
    def unrecorded(self) -> int:
        """Outcomes and releases that are not known to be in the log."""
        return len(self._unrecorded)

    def standing(
        self, subject: claim_items.Key
    ) -> claim_ledger.Standing | None:
        """Returns the claim that holds a key, or None.

        An outcome of this process counts before it is read back.

        Args:
            subject: The key within its workspace.
        """
        standing = self._ledger.standing(subject)
        if standing is None or standing.outcome is not None:
            return standing
        outcome = self._own_outcomes.get(standing.claim)
        return dataclasses.replace(standing, outcome=outcome)

    def run(self) -> None:
        """Follows the stream until killed."""
        backoff_s = _FIRST_BACKOFF_S
        while True:
            if self.step():
                backoff_s = _FIRST_BACKOFF_S
                gevent.sleep(0)
                continue
            gevent.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)

    def step(self) -> bool:
        """Reads the log once; False when it did not answer."""
        if not self._follower.poll():
            return False
        position = self._follower.position
        self._ledger.note_missing(position)
        self._ledger.note_seen(through=position - 1, at_s=time.time())
        return True

    def _handle(self, record: log_client.Record) -> None:
        for change in self._ledger.apply(record, now_s=time.time()):
            self._tell(change)

    def _tell(self, change: claim_ledger.Change) -> None:
        kinds = claim_ledger.ChangeKind
        if change.kind in (kinds.WON, kinds.BEATEN):
            waiting = self._by_claim.get(change.claim)
            if waiting is not None:
                waiting.set(change.kind)
            elif change.claim in self._abandoned:
                self._settle_abandoned(change)
            return
        self._own_outcomes.pop(change.claim, None)
        for waiting in self._by_key.get(change.subject, ()):
            waiting.set()

    def _settle_abandoned(self, change: claim_ledger.Change) -> None:
        del self._abandoned[change.claim]
        if change.kind == claim_ledger.ChangeKind.WON:
            self._journal.record(
                "claim_released",
                reason="the claimer had given up before it saw its claim",
                claim=change.claim,
            )
            self.record(_release(change))

    def claim(
        self, item: claim_items.Claim, *, timeout_s: float
    ) -> claim_ledger.ChangeKind | None:
        """Appends a claim and waits until it is read back.

        Args:
            item: The claim.
            timeout_s: Longest wait, s.

        Returns:
            WON or BEATEN, or None when it was not read back in time; then the
            claim is released as soon as it shows as the first.
        """
        waiting = event.AsyncResult()
        self._by_claim[item.claim] = waiting
        # The answer to the append does not matter, since it can be lost;
        # what counts is the claim itself in the stream.
        self._writers.spawn(
            self._appender.submit,
            claim_items.to_json(item),
            timeout_s=timeout_s,
        )
        try:
            return waiting.get(timeout=timeout_s)
        except gevent.Timeout:
            self._abandon(item.claim)
            return None
        finally:
            del self._by_claim[item.claim]

    def _abandon(self, claim: str) -> None:
        self._abandoned[claim] = None
        if len(self._abandoned) > _MAX_ABANDONED:
            self._abandoned.popitem(last=False)

    @contextlib.contextmanager
    def watching(self, subject: claim_items.Key) -> Iterator[event.Event]:
        """Yields an event that is set by the key's outcome or release."""
        waiting = event.Event()
        self._by_key.setdefault(subject, []).append(waiting)
        try:
            yield waiting
        finally:
            self._by_key[subject].remove(waiting)
            if not self._by_key[subject]:
                del self._by_key[subject]

    def record(self, item: claim_items.Outcome | claim_items.Release) -> None:
        """Appends an outcome or a release, again and again until it is in.

        Args:
            item: The item; with too many unrecorded ones it is dropped, and
                repeats of its key are answered `unknown`.
        """
        if isinstance(item, claim_items.Outcome):
            self._keep(item)
        if len(self._unrecorded) >= _MAX_UNRECORDED:
            self._journal.record(
                "claim_item_dropped",
                reason="too many wait for the log",
                claim=item.claim,
            )
            return
        self._unrecorded[item.claim] = item
        self._writers.spawn(self._write, item)

    def _keep(self, outcome: claim_items.Outcome) -> None:
        self._own_outcomes[outcome.claim] = outcome
        if len(self._own_outcomes) > _MAX_OWN_OUTCOMES:
            self._own_outcomes.popitem(last=False)

    def _write(self, item: claim_items.Item) -> None:
        give_up_at = time.monotonic() + self._settings.window_s
        try:
            while time.monotonic() < give_up_at:
                answer = self._appender.submit(
                    claim_items.to_json(item), timeout_s=_APPEND_TIMEOUT_S
                )
                if isinstance(answer, result.Success):
                    return
                gevent.sleep(_RECORD_RETRY_S)
        finally:
            self._unrecorded.pop(item.claim, None)

    def close(self) -> None:
        """Ends every append under way."""
        self._writers.kill()

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "offset": self._ledger.offset,
            "keys": len(self._ledger),
            "body_bytes": self._ledger.body_bytes,
            "current": self.is_current,
            "unrecorded": self.unrecorded,
            "abandoned": len(self._abandoned),
        }


def _release(change: claim_ledger.Change) -> claim_items.Release:
    workspace, key = change.subject
    return claim_items.Release(workspace=workspace, key=key, claim=change.claim)
