"""The contract: the deterministic fold of the log's contract stream."""

import dataclasses
import enum
import hashlib
import json
import re
from typing import Any

from dotterelgrade import contract_records
from dotterelgrade import errors
from dotterelgrade import grammar
from dotterelgrade import log_client
from dotterelgrade import rule_index
from dotterelgrade import rules

MAX_LINES = grammar.MAX_LINES
MAX_TEXT_BYTES = 2 * 1024 * 1024
MAX_REMOVALS_KEPT = 1_000
_DIGEST_BITS = 256
_NUMBERS = re.compile(r"(\D*)(\d*)")

_frozen = dataclasses.dataclass(frozen=True, kw_only=True)


class OutcomeKind(enum.StrEnum):
    """What a record did to the contract."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    SNAPSHOT = "snapshot"
    ADOPTED = "adopted"
    RESTORED = "restored"
    STALE = "stale"
    GAP = "gap"
    INVALID = "invalid"


@_frozen
class Conflict:
    """Why one line of an edit lost.

    Attributes:
        identity: Kind and subject.
        seen: Offset that the edit had seen.
        winner: The line in force, or the removal that came before the edit.
    """

    identity: str
    seen: int
    winner: contract_records.HeldLine | contract_records.Removal | None


@_frozen
class Outcome:
    """What one record did.

    Attributes:
        kind: The verdict.
        offset: Offset of the record.
        id: Identifier of an edit record, or empty.
        author: Author of an edit record, or empty.
        changed: Identities whose lines changed.
        conflicts: Every line that lost, for CONFLICT.
        reason: Why, for INVALID and what is refused without a conflict.
    """

    kind: OutcomeKind
    offset: int
    id: str = ""
    author: str = ""
    changed: tuple[str, ...] = ()
    conflicts: tuple[Conflict, ...] = ()
    reason: str = ""


def _line_hash(identity: str, text: str, offset: int, author: str) -> int:
    fields = json.dumps([identity, text, offset, author]).encode()
    return int.from_bytes(hashlib.sha256(fields).digest(), "big")


class Contract(rule_index.RuleIndex):
    """Every line in force at one offset of the log, and nothing else.

    The fold depends on the records alone, so that all processes agree on
    which edits were accepted. The offset never goes back.
    """

    def __init__(self) -> None:
        """Initializes the contract before the first record."""
        super().__init__()
        self._offset = 0
        self._lines: dict[str, contract_records.HeldLine] = {}
        self._removals: dict[str, contract_records.Removal] = {}
        self._forgotten = 0
        self._hash_sum = 0
        self._text_bytes = 0

    def __repr__(self) -> str:
        """Shows the offset and the number of lines."""
        return f"<Contract at {self._offset}, {len(self._lines)} lines>"

    @property
    def offset(self) -> int:
        """Offset of the last record folded in; 0 before the first."""
        return self._offset

    @property
    def lines(self) -> tuple[contract_records.HeldLine, ...]:
        """Every line in force, by kind and subject."""
        order = {keyword: place for place, keyword in enumerate(rules.kinds())}

        def place(line: contract_records.HeldLine) -> tuple[Any, ...]:
            keyword = line.identity.partition(" ")[0]
            numbered = tuple(
                (word, int(part or 0))
                for word, part in _NUMBERS.findall(line.identity)
            )
            return order.get(keyword, len(order)), numbered

        return tuple(sorted(self._lines.values(), key=place))

    @property
    def line_count(self) -> int:
        """How many lines are in force."""
        return len(self._lines)

    @property
    def digest(self) -> str:
        """Hexadecimal digest of the fold, the same at every process."""
        state = f"{self._hash_sum:064x} {self._forgotten}"
        return hashlib.sha256(state.encode()).hexdigest()

    def line(self, identity: str) -> contract_records.HeldLine | None:
        """Returns the line of that identity, or None."""
        return self._lines.get(identity)

    def apply(self, record: log_client.Record) -> Outcome:
        """Folds one record in.

        A record past the next offset changes nothing, unless it is a snapshot
        from which the fold can go on.

        Args:
            record: A record of the contract stream.

        Returns:
            What it did; broken records are INVALID and only move the offset.
        """
        if record.offset <= self._offset:
            return Outcome(kind=OutcomeKind.STALE, offset=record.offset)
        try:
            body = contract_records.decode(record.body)
        except errors.DotterelgradeError as error:
            outcome = self._verdict(
                record, OutcomeKind.INVALID, reason=error.error.message
            )
        else:
            if isinstance(body, contract_records.SnapshotRecord):
                return self._apply_snapshot(record, body)
            if isinstance(body, contract_records.RestoreRecord):
                return self._apply_restore(record, body)
            outcome = self._apply_edit(record, body)
        return outcome

    def _verdict(
        self, record: log_client.Record, kind: OutcomeKind, **fields: Any
    ) -> Outcome:
        if record.offset != self._offset + 1:
            return Outcome(kind=OutcomeKind.GAP, offset=record.offset)
        self._offset = record.offset
        return Outcome(kind=kind, offset=record.offset, **fields)

    def _apply_edit(
        self, record: log_client.Record, body: contract_records.EditRecord
    ) -> Outcome:
        if record.offset != self._offset + 1:
            return Outcome(kind=OutcomeKind.GAP, offset=record.offset)
        conflicts = tuple(
            conflict
            for edit in body.edits
            if (conflict := self._conflict(edit, body.base)) is not None
        )
        if conflicts:
            return self._verdict(
                record,
                OutcomeKind.CONFLICT,
                id=body.id,
                author=body.author,
                conflicts=conflicts,
            )
        if not self._has_room(body):
            return self._verdict(
                record,
                OutcomeKind.CONFLICT,
                id=body.id,
                author=body.author,
                reason=(
                    f"a contract has at most {MAX_LINES} lines and"
                    f" {MAX_TEXT_BYTES} bytes"
                ),
            )
        for edit in body.edits:
            self._put(edit, offset=record.offset, author=body.author)
        self._trim_removals()
        return self._verdict(
            record,
            OutcomeKind.ACCEPTED,
            id=body.id,
            author=body.author,
            changed=tuple(edit.identity for edit in body.edits),
        )

    def _has_room(self, body: contract_records.EditRecord) -> bool:
        """Whether a snapshot could still hold the lines after an edit."""
        lines, size = len(self._lines), self._text_bytes
        for edit in body.edits:
            old = self._lines.get(edit.identity)
            if old is not None:
                lines -= 1
                size -= _size(old.text)
            if edit.text is not None:
                lines += 1
                size += _size(edit.text)
        return lines <= MAX_LINES and size <= MAX_TEXT_BYTES

    def _conflict(
        self, edit: contract_records.Edit, base: int
    ) -> Conflict | None:
        line = self._lines.get(edit.identity)
        if edit.seen:
            if line is not None and line.offset == edit.seen:
                return None
            winner = line or self._removals.get(edit.identity)
        else:
            # A delayed duplicate of a line's first edit must not bring the
            # line back after it was removed.
            removal = self._removals.get(edit.identity)
            removed_at = removal.offset if removal else self._forgotten
            if line is None and base >= removed_at:
                return None
            winner = line or removal
        return Conflict(identity=edit.identity, seen=edit.seen, winner=winner)

    def _put(
        self, edit: contract_records.Edit, *, offset: int, author: str
    ) -> None:
        self._drop(edit.identity)
        if edit.text is None:
            self._hold_removal(
                contract_records.Removal(
                    identity=edit.identity, offset=offset, author=author
                )
            )
            return
        removal = self._removals.pop(edit.identity, None)
        if removal is not None:
            self._add_hash(-_removal_hash(removal))
        self._hold(
            contract_records.HeldLine(
                identity=edit.identity,
                text=edit.text,
                offset=offset,
                author=author,
            )
        )

    def _hold(self, line: contract_records.HeldLine) -> None:
        self._lines[line.identity] = line
        self._text_bytes += _size(line.text)
        self._add_hash(_held_hash(line))
        self.add_rule(line.identity, line.text)

    def _drop(self, identity: str) -> None:
        line = self._lines.pop(identity, None)
        if line is None:
            return
        self._text_bytes -= _size(line.text)
        self._add_hash(-_held_hash(line))
        self.drop_rule(identity)

    def _hold_removal(self, removal: contract_records.Removal) -> None:
        self._removals[removal.identity] = removal
        self._add_hash(_removal_hash(removal))

    def _trim_removals(self) -> None:
        while len(self._removals) > MAX_REMOVALS_KEPT:
            oldest = next(iter(self._removals.values()))
            del self._removals[oldest.identity]
            self._add_hash(-_removal_hash(oldest))
            self._forgotten = max(self._forgotten, oldest.offset)

    def _add_hash(self, value: int) -> None:
        self._hash_sum = (self._hash_sum + value) % (1 << _DIGEST_BITS)

    def snapshot(self) -> contract_records.SnapshotRecord:
        """Returns a record that stands for everything folded in so far."""
        return contract_records.SnapshotRecord(
            covers=self._offset,
            lines=tuple(self._lines.values()),
            digest=self.digest,
            removals=tuple(self._removals.values()),
            forgotten=self._forgotten,
        )

    def _apply_snapshot(
        self, record: log_client.Record, body: contract_records.SnapshotRecord
    ) -> Outcome:
        if body.covers <= self._offset:
            return self._verdict(record, OutcomeKind.SNAPSHOT)
        fold = _from_snapshot(body)
        if fold is None or body.covers >= record.offset:
            reason = "the snapshot's digest does not match its lines"
            return self._verdict(record, OutcomeKind.INVALID, reason=reason)
        return self._adopt(fold, record.offset)

    def _apply_restore(
        self, record: log_client.Record, body: contract_records.RestoreRecord
    ) -> Outcome:
        if record.offset != body.base + 1:
            return self._verdict(
                record,
                OutcomeKind.CONFLICT,
                id=body.id,
                author=body.author,
                reason=f"restores after {body.base}, not here",
            )
        fold = Contract()
        fold._offset = record.offset
        fold._forgotten = record.offset
        for line in body.lines:
            fold._hold(
                contract_records.HeldLine(
                    identity=line.identity,
                    text=line.text,
                    offset=record.offset,
                    author=body.author,
                )
            )
        adopted = self._adopt(fold, record.offset)
        return dataclasses.replace(
            adopted,
            kind=OutcomeKind.RESTORED,
            id=body.id,
            author=body.author,
        )

    def adopt(self, body: contract_records.SnapshotRecord) -> Outcome:
        """Takes over a snapshot handed over by a peer.

        Args:
            body: The snapshot.

        Returns:
            ADOPTED, STALE when it covers no more than is held, or INVALID.
        """
        if body.covers <= self._offset:
            return Outcome(kind=OutcomeKind.STALE, offset=body.covers)
        fold = _from_snapshot(body)
        if fold is None:
            return Outcome(
                kind=OutcomeKind.INVALID,
                offset=body.covers,
                reason="the snapshot's digest does not match its lines",
            )
        return self._adopt(fold, body.covers)

    def _adopt(self, fold: "Contract", offset: int) -> Outcome:
        before = self._lines
        changed = tuple(
            identity
            for identity in {**before, **fold._lines}
            if before.get(identity) != fold._lines.get(identity)
        )
        # Everything at once, so that no reader sees half of it.
        vars(self).update(vars(fold))
        return Outcome(kind=OutcomeKind.ADOPTED, offset=offset, changed=changed)


def _size(text: str) -> int:
    return len(text.encode())


def _held_hash(line: contract_records.HeldLine) -> int:
    return _line_hash(line.identity, line.text, line.offset, line.author)


def _removal_hash(removal: contract_records.Removal) -> int:
    return _line_hash(removal.identity, "", removal.offset, removal.author)


def _from_snapshot(body: contract_records.SnapshotRecord) -> Contract | None:
    fold = Contract()
    fold._offset = body.covers
    fold._forgotten = body.forgotten
    for line in body.lines:
        fold._hold(line)
    for removal in body.removals:
        fold._hold_removal(removal)
    return fold if fold.digest == body.digest else None
