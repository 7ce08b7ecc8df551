"""Deterministic state machine over the log's contract stream."""

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
_TEXT_AND_NUMBER = re.compile(r"(\D*)(\d*)")

_frozen = dataclasses.dataclass(frozen=True, kw_only=True)


class OutcomeKind(enum.StrEnum):
    """Effect of a record on the contract."""

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
    """Reason why one line of an edit was rejected.

    Attributes:
        identity: Kind and subject.
        seen: Offset of the line that the edit was based on.
        winner: The line in force, or the removal that preceded the edit.
    """

    identity: str
    seen: int
    winner: contract_records.ActiveLine | contract_records.Removal | None


@_frozen
class Outcome:
    """Result of applying one record.

    Attributes:
        kind: The effect.
        offset: Offset of the record.
        id: Identifier of an edit record, or empty.
        author: Author of an edit record, or empty.
        changed: Identities whose lines changed.
        conflicts: Every rejected line, for CONFLICT.
        reason: Reason, for INVALID and for rejections without a conflict.
    """

    kind: OutcomeKind
    offset: int
    id: str = ""
    author: str = ""
    changed: tuple[str, ...] = ()
    conflicts: tuple[Conflict, ...] = ()
    reason: str = ""


def _hash_fields(identity: str, text: str, offset: int, author: str) -> int:
    fields = json.dumps([identity, text, offset, author]).encode()
    return int.from_bytes(hashlib.sha256(fields).digest(), "big")


class Contract(rule_index.RuleIndex):
    """The lines in force at one offset of the log.

    The state depends on the records alone, so that all processes agree on
    which edits were accepted. The offset never decreases.
    """

    def __init__(self) -> None:
        """Initializes an empty contract at offset 0."""
        super().__init__()
        self._offset = 0
        self._lines: dict[str, contract_records.ActiveLine] = {}
        self._removals: dict[str, contract_records.Removal] = {}
        self._evicted_removal_offset = 0
        self._hash_sum = 0
        self._text_bytes = 0

    def __repr__(self) -> str:
        """Shows the offset and the number of lines."""
        return f"<Contract at {self._offset}, {len(self._lines)} lines>"

    @property
    def offset(self) -> int:
        """Offset of the last record applied; 0 before the first."""
        return self._offset

    @property
    def lines(self) -> tuple[contract_records.ActiveLine, ...]:
        """Every line in force, sorted by kind and subject."""
        order = {keyword: rank for rank, keyword in enumerate(rules.kinds())}

        def sort_key(line: contract_records.ActiveLine) -> tuple[Any, ...]:
            keyword = line.identity.partition(" ")[0]
            numbered = tuple(
                (word, int(part or 0))
                for word, part in _TEXT_AND_NUMBER.findall(line.identity)
            )
            return order.get(keyword, len(order)), numbered

        return tuple(sorted(self._lines.values(), key=sort_key))

    @property
    def line_count(self) -> int:
        """Number of lines in force."""
        return len(self._lines)

    @property
    def digest(self) -> str:
        """Hexadecimal digest of the state, the same at every process."""
        state = f"{self._hash_sum:064x} {self._evicted_removal_offset}"
        return hashlib.sha256(state.encode()).hexdigest()

    def line(self, identity: str) -> contract_records.ActiveLine | None:
        """Returns the line with an identity, or None."""
        return self._lines.get(identity)

    def apply(self, record: log_client.Record) -> Outcome:
        """Applies one record.

        A record beyond the next offset changes nothing, unless it is a
        snapshot or restore that replaces the state.

        Args:
            record: A record of the contract stream.

        Returns:
            Its effect; malformed records are INVALID and only move the offset.
        """
        if record.offset <= self._offset:
            return Outcome(kind=OutcomeKind.STALE, offset=record.offset)
        try:
            body = contract_records.decode(record.body)
        except errors.DotterelgradeError as error:
            outcome = self._advance(
                record, OutcomeKind.INVALID, reason=error.error.message
            )
        else:
            if isinstance(body, contract_records.SnapshotRecord):
                return self._apply_snapshot(record, body)
            if isinstance(body, contract_records.RestoreRecord):
                return self._apply_restore(record, body)
            outcome = self._apply_edit(record, body)
        return outcome

    def _advance(
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
            if (conflict := self._find_conflict(edit, body.base)) is not None
        )
        if conflicts:
            return self._advance(
                record,
                OutcomeKind.CONFLICT,
                id=body.id,
                author=body.author,
                conflicts=conflicts,
            )
        if not self._is_within_limits(body):
            return self._advance(
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
            self._apply_line_edit(
                edit, offset=record.offset, author=body.author
            )
        self._evict_oldest_removals()
        return self._advance(
            record,
            OutcomeKind.ACCEPTED,
            id=body.id,
            author=body.author,
            changed=tuple(edit.identity for edit in body.edits),
        )

    def _is_within_limits(self, body: contract_records.EditRecord) -> bool:
        """Whether the lines still fit into a snapshot after an edit."""
        lines, size = len(self._lines), self._text_bytes
        for edit in body.edits:
            old = self._lines.get(edit.identity)
            if old is not None:
                lines -= 1
                size -= _size_bytes(old.text)
            if edit.text is not None:
                lines += 1
                size += _size_bytes(edit.text)
        return lines <= MAX_LINES and size <= MAX_TEXT_BYTES

    def _find_conflict(
        self, edit: contract_records.Edit, base: int
    ) -> Conflict | None:
        line = self._lines.get(edit.identity)
        if edit.seen:
            if line is not None and line.offset == edit.seen:
                return None
            winner = line or self._removals.get(edit.identity)
        else:
            # A delayed duplicate of a line's first edit must not restore the
            # line after its removal.
            removal = self._removals.get(edit.identity)
            removed_at = (
                removal.offset if removal else self._evicted_removal_offset
            )
            if line is None and base >= removed_at:
                return None
            winner = line or removal
        return Conflict(identity=edit.identity, seen=edit.seen, winner=winner)

    def _apply_line_edit(
        self, edit: contract_records.Edit, *, offset: int, author: str
    ) -> None:
        self._remove_line(edit.identity)
        if edit.text is None:
            self._add_removal(
                contract_records.Removal(
                    identity=edit.identity, offset=offset, author=author
                )
            )
            return
        removal = self._removals.pop(edit.identity, None)
        if removal is not None:
            self._add_hash(-_hash_removal(removal))
        self._add_line(
            contract_records.ActiveLine(
                identity=edit.identity,
                text=edit.text,
                offset=offset,
                author=author,
            )
        )

    def _add_line(self, line: contract_records.ActiveLine) -> None:
        self._lines[line.identity] = line
        self._text_bytes += _size_bytes(line.text)
        self._add_hash(_hash_line(line))
        self.add_rule(line.identity, line.text)

    def _remove_line(self, identity: str) -> None:
        line = self._lines.pop(identity, None)
        if line is None:
            return
        self._text_bytes -= _size_bytes(line.text)
        self._add_hash(-_hash_line(line))
        self.remove_rule(identity)

    def _add_removal(self, removal: contract_records.Removal) -> None:
        self._removals[removal.identity] = removal
        self._add_hash(_hash_removal(removal))

    def _evict_oldest_removals(self) -> None:
        while len(self._removals) > MAX_REMOVALS_KEPT:
            oldest = next(iter(self._removals.values()))
            del self._removals[oldest.identity]
            self._add_hash(-_hash_removal(oldest))
            self._evicted_removal_offset = max(
                self._evicted_removal_offset, oldest.offset
            )

    def _add_hash(self, value: int) -> None:
        self._hash_sum = (self._hash_sum + value) % (1 << _DIGEST_BITS)

    def snapshot(self) -> contract_records.SnapshotRecord:
        """Returns a record that represents the current state."""
        return contract_records.SnapshotRecord(
            covers=self._offset,
            lines=tuple(self._lines.values()),
            digest=self.digest,
            removals=tuple(self._removals.values()),
            forgotten=self._evicted_removal_offset,
        )

    def _apply_snapshot(
        self, record: log_client.Record, body: contract_records.SnapshotRecord
    ) -> Outcome:
        if body.covers <= self._offset:
            return self._advance(record, OutcomeKind.SNAPSHOT)
        replacement = _from_snapshot(body)
        if replacement is None or body.covers >= record.offset:
            reason = "the snapshot's digest does not match its lines"
            return self._advance(record, OutcomeKind.INVALID, reason=reason)
        return self._replace_state(replacement, record.offset)

    def _apply_restore(
        self, record: log_client.Record, body: contract_records.RestoreRecord
    ) -> Outcome:
        if record.offset != body.base + 1:
            return self._advance(
                record,
                OutcomeKind.CONFLICT,
                id=body.id,
                author=body.author,
                reason=f"a restore based on offset {body.base} must follow it",
            )
        replacement = Contract()
        replacement._offset = record.offset
        replacement._evicted_removal_offset = record.offset
        for line in body.lines:
            replacement._add_line(
                contract_records.ActiveLine(
                    identity=line.identity,
                    text=line.text,
                    offset=record.offset,
                    author=body.author,
                )
            )
        adopted = self._replace_state(replacement, record.offset)
        return dataclasses.replace(
            adopted,
            kind=OutcomeKind.RESTORED,
            id=body.id,
            author=body.author,
        )

    def adopt(self, body: contract_records.SnapshotRecord) -> Outcome:
        """Replaces the state with a snapshot from a peer.

        Args:
            body: The snapshot.

        Returns:
            ADOPTED, STALE when it covers no later offset, or INVALID.
        """
        if body.covers <= self._offset:
            return Outcome(kind=OutcomeKind.STALE, offset=body.covers)
        replacement = _from_snapshot(body)
        if replacement is None:
            return Outcome(
                kind=OutcomeKind.INVALID,
                offset=body.covers,
                reason="the snapshot's digest does not match its lines",
            )
        return self._replace_state(replacement, body.covers)

    def _replace_state(self, replacement: "Contract", offset: int) -> Outcome:
        old_lines = self._lines
        changed = tuple(
            identity
            for identity in {**old_lines, **replacement._lines}
            if old_lines.get(identity) != replacement._lines.get(identity)
        )
        # A single update, so that no reader sees a partial state.
        vars(self).update(vars(replacement))
        return Outcome(kind=OutcomeKind.ADOPTED, offset=offset, changed=changed)


def _size_bytes(text: str) -> int:
    return len(text.encode())


def _hash_line(line: contract_records.ActiveLine) -> int:
    return _hash_fields(line.identity, line.text, line.offset, line.author)


def _hash_removal(removal: contract_records.Removal) -> int:
    return _hash_fields(removal.identity, "", removal.offset, removal.author)


def _from_snapshot(body: contract_records.SnapshotRecord) -> Contract | None:
    replacement = Contract()
    replacement._offset = body.covers
    replacement._evicted_removal_offset = body.forgotten
    for line in body.lines:
        replacement._add_line(line)
    for removal in body.removals:
        replacement._add_removal(removal)
    return replacement if replacement.digest == body.digest else None
