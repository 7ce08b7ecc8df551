"""An operator's edits of the contract, from the file to the log."""

from collections.abc import Iterable
import dataclasses
import time
import uuid

import gevent
from returns import pipeline
from returns import result

from dotterelgrade import contract as contract_lib
from dotterelgrade import contract_feed
from dotterelgrade import contract_records
from dotterelgrade import errors
from dotterelgrade import grammar
from dotterelgrade import log_client

CATCH_UP_TIMEOUT_S = 10.0
VERDICT_TIMEOUT_S = 15.0
MAX_HISTORY = 10_000
_PAUSE_S = 0.1
_VERDICTS = frozenset(
    {
        contract_lib.OutcomeKind.ACCEPTED,
        contract_lib.OutcomeKind.CONFLICT,
        contract_lib.OutcomeKind.INVALID,
        contract_lib.OutcomeKind.SNAPSHOT,
        contract_lib.OutcomeKind.ADOPTED,
        contract_lib.OutcomeKind.RESTORED,
    }
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """A file that is the contract now.

    Attributes:
        offset: Offset at which it is in force.
        changed: Identities whose lines changed.
    """

    offset: int
    changed: tuple[str, ...]


class ContractSession:
    """Follows the contract for the length of one command."""

    def __init__(self, log: log_client.Log) -> None:
        """Initializes a session that has read nothing.

        Args:
            log: The log service.
        """
        self._log = log
        self._feed = contract_feed.ContractFeed(log, wait_ms=0)
        self._history: list[contract_lib.Outcome] = []
        self._feed.add_listener(self._remember, kinds=_VERDICTS)

    def __repr__(self) -> str:
        """Shows the contract read so far."""
        return f"<ContractSession {self._feed.contract!r}>"

    @property
    def contract(self) -> contract_lib.Contract:
        """The contract read so far."""
        return self._feed.contract

    @property
    def history(self) -> tuple[contract_lib.Outcome, ...]:
        """What the records read so far did, oldest first."""
        return tuple(self._history)

    def _remember(self, outcome: contract_lib.Outcome) -> None:
        self._history.append(outcome)
        del self._history[:-MAX_HISTORY]

    def catch_up(
        self, *, timeout_s: float = CATCH_UP_TIMEOUT_S
    ) -> result.Result[contract_lib.Contract, errors.Error]:
        """Reads to the end of the log.

        Args:
            timeout_s: How long to try, s.

        Returns:
            The contract, LOG_UNAVAILABLE, or RECORD_EXPIRED when the log
            keeps neither every record nor a snapshot to start from.
        """
        deadline = time.monotonic() + timeout_s
        while not self._read_to_end():
            if time.monotonic() >= deadline:
                return _failure(*self._why_behind())
            gevent.sleep(_PAUSE_S)
        return result.Success(self._feed.contract)

    def _read_to_end(self) -> bool:
        """Reads until nothing new comes; whether the fold is at the end."""
        position = -1
        while self._feed.poll():
            if self._feed.position == position:
                return self._feed.has_reached_log_end
            position = self._feed.position
        return False

    def _why_behind(self) -> tuple[errors.ErrorKind, str]:
        if not self._feed.is_log_available:
            return errors.ErrorKind.LOG_UNAVAILABLE, "the log does not answer"
        return (
            errors.ErrorKind.RECORD_EXPIRED,
            "the log no longer keeps the records before offset "
            f"{self._feed.first_kept} and holds no snapshot of them yet; a "
            "running process appends one within a minute",
        )

    def edits_for(
        self, lines: Iterable[grammar.Line]
    ) -> tuple[contract_records.Edit, ...]:
        """Returns the edits that make a file the whole contract.

        Args:
            lines: The checked lines of the file.

        Returns:
            One edit for each line that is new, other or missing.
        """
        wanted = {line.identity: line.text for line in lines}
        held = {line.identity: line for line in self.contract.lines}
        changed = [
            contract_records.Edit(
                identity=identity,
                text=text,
                seen=held[identity].offset if identity in held else 0,
            )
            for identity, text in wanted.items()
            if identity not in held or held[identity].text != text
        ]
        removed = [
            contract_records.Edit(
                identity=identity, text=None, seen=line.offset
            )
            for identity, line in held.items()
            if identity not in wanted
        ]
        return (*changed, *removed)

    def apply(
        self,
        lines: Iterable[grammar.Line],
        *,
        author: str,
        timeout_s: float = VERDICT_TIMEOUT_S,
    ) -> result.Result[Accepted, errors.Error]:
        """Makes a file the whole contract, or changes nothing.

        The session must have caught up; the edits carry what it saw.

        Args:
            lines: The checked lines of the file.
            author: Who asks.
            timeout_s: How long to try, s.

        Returns:
            What was accepted once it was read back in order, or
            CONTRACT_CONFLICT, LOG_UNAVAILABLE or RECORD_INVALID.
        """
        edits = self.edits_for(lines)
        if not edits:
            return result.Success(
                Accepted(offset=self.contract.offset, changed=())
            )
        record = contract_records.EditRecord(
            id=uuid.uuid4().hex,
            author=author,
            edits=edits,
            base=self.contract.offset,
        )
        return self._append(record, deadline=time.monotonic() + timeout_s)

    def restore(
        self,
        lines: Iterable[grammar.Line],
        *,
        author: str,
        timeout_s: float = VERDICT_TIMEOUT_S,
    ) -> result.Result[Accepted, errors.Error]:
        """Begins the contract anew, when the log can't be caught up with.

        Args:
            lines: The checked lines of the file.
            author: Who asks.
            timeout_s: How long to try, s.

        Returns:
            What was accepted, CONTRACT_CONFLICT when the log still tells the
            contract or moved on meanwhile, or LOG_UNAVAILABLE.
        """
        self._read_to_end()
        if not self._feed.is_log_available or self._feed.log_end is None:
            return _failure(*self._why_behind())
        if self._feed.has_reached_log_end:
            return _failure(
                errors.ErrorKind.CONTRACT_CONFLICT,
                "the log still tells the contract; use `contract apply`",
            )
        record = contract_records.RestoreRecord(
            id=uuid.uuid4().hex,
            author=author,
            base=self._feed.log_end - 1,
            lines=tuple(
                contract_records.RestoredLine(
                    identity=line.identity, text=line.text
                )
                for line in lines
            ),
        )
        return self._append(record, deadline=time.monotonic() + timeout_s)

    def _append(
        self, record: contract_records.ContractRecord, *, deadline: float
    ) -> result.Result[Accepted, errors.Error]:
        body = contract_records.encode(record)
        if len(body) > contract_records.MAX_RECORD_BYTES:
            return _failure(
                errors.ErrorKind.RECORD_INVALID, f"{len(body)} bytes at once"
            )
        appended = False
        while True:
            # After a lost answer the same record is appended again: the fold
            # accepts at most the first copy, since the others saw old lines.
            if not appended:
                answer = self._log.append(log_client.CONTRACT_STREAM, body)
                appended = pipeline.is_successful(answer)
            self._read_to_end()
            verdict = self._verdict_on(record.id)
            if verdict is not None:
                return _judge(verdict)
            if time.monotonic() >= deadline:
                return _lost()
            gevent.sleep(_PAUSE_S)

    def _verdict_on(self, record_id: str) -> contract_lib.Outcome | None:
        for outcome in self._history:
            if outcome.id == record_id:
                return outcome
        return None


def _judge(
    outcome: contract_lib.Outcome,
) -> result.Result[Accepted, errors.Error]:
    if outcome.kind in contract_feed.CHANGING_OUTCOMES:
        return result.Success(
            Accepted(offset=outcome.offset, changed=outcome.changed)
        )
    return _failure(
        errors.ErrorKind.CONTRACT_CONFLICT,
        "; ".join(describe_conflict(c) for c in outcome.conflicts)
        + outcome.reason
        + "; nothing of the file was applied",
    )


def describe_conflict(conflict: contract_lib.Conflict) -> str:
    """Returns who won a line and with what, as one clause."""
    winner = conflict.winner
    if isinstance(winner, contract_records.ActiveLine):
        return (
            f"{conflict.identity!r}: {winner.author} won at offset "
            f"{winner.offset} with: {winner.text}"
        )
    if winner is not None:
        return (
            f"{conflict.identity!r}: {winner.author} removed it at offset "
            f"{winner.offset}"
        )
    return f"{conflict.identity!r}: the line seen is no longer there"


def _lost() -> result.Result[Accepted, errors.Error]:
    return result.Failure(
        errors.Error(
            kind=errors.ErrorKind.LOG_UNAVAILABLE,
            message=(
                "the log did not show the record in time; it may still be "
                "accepted, see `contract log`, or apply the file again"
            ),
            run=errors.RunState.UNKNOWN,
        )
    )


def _failure(
    kind: errors.ErrorKind, message: str
) -> result.Result[Accepted, errors.Error]:
    return result.Failure(errors.Error(kind=kind, message=message))
