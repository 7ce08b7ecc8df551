"""Records of the log's contract stream, with validation on decoding."""

import dataclasses

import msgspec

from dotterelgrade import bounded
from dotterelgrade import decoding
from dotterelgrade import errors
from dotterelgrade import grammar

MAX_RECORD_BYTES = 16 * 1024 * 1024
MAX_ID_LENGTH = 100
MAX_AUTHOR_LENGTH = 200

_frozen = dataclasses.dataclass(frozen=True, kw_only=True)


@_frozen
class ActiveLine:
    """A contract line that is in force.

    Attributes:
        identity: Rule kind and subject.
        text: The line's text.
        offset: Offset of the record that set the line.
        author: Author of that record.
    """

    identity: str
    text: str
    offset: bounded.Count
    author: str


@_frozen
class Removal:
    """A removed line, remembered for a while.

    Edits whose author had not seen the removal are rejected by it.

    Attributes:
        identity: Rule kind and subject.
        offset: Offset of the record that removed it.
        author: Author of that record.
    """

    identity: str
    offset: bounded.Count
    author: str


@_frozen
class Edit:
    """The change of one line within an edit record.

    Attributes:
        identity: Rule kind and subject.
        text: The new text, or None to remove the line.
        seen: Offset of the line's version that the author saw, 0 for none.
    """

    identity: str
    text: str | None
    seen: bounded.Count


@_frozen
class EditRecord:
    """Edits that are applied together or not at all.

    Attributes:
        id: Identifier chosen by the author, to find the record again.
        author: Who appended the record.
        edits: The edits, each of a different line.
        base: Offset of the contract version that the author saw.
        type: Discriminates the records of the stream.
    """

    id: str
    author: str
    edits: tuple[Edit, ...]
    base: bounded.Count = 0
    type: str = "edit"


@_frozen
class SnapshotRecord:
    """The complete contract as of an offset.

    Attributes:
        covers: Offset of the last record included.
        lines: Every line in force.
        digest: `Contract.digest` at that offset.
        removals: Removed lines that are still remembered.
        forgotten: Highest offset of a removal no longer remembered.
        type: Discriminates the records of the stream.
    """

    covers: bounded.Count
    lines: tuple[ActiveLine, ...]
    digest: str
    removals: tuple[Removal, ...] = ()
    forgotten: bounded.Count = 0
    type: str = "snapshot"


@_frozen
class RestoredLine:
    """A line of a restore record, not based on an earlier version.

    Attributes:
        identity: Rule kind and subject.
        text: The line's text.
    """

    identity: str
    text: str


@_frozen
class RestoreRecord:
    """Replaces the whole contract after the log lost earlier records.

    Every process applies it regardless of its own state, but only directly
    after the last log offset that its author saw. A late copy is therefore
    rejected without looking at any state.

    Attributes:
        id: Identifier chosen by the author, to find the record again.
        author: Who appended the record.
        base: Offset of the log's last record that the author saw.
        lines: The whole contract.
        type: Discriminates the records of the stream.
    """

    id: str
    author: str
    base: bounded.Count
    lines: tuple[RestoredLine, ...]
    type: str = "restore"


ContractRecord = EditRecord | SnapshotRecord | RestoreRecord
_TYPES = {
    "edit": EditRecord,
    "snapshot": SnapshotRecord,
    "restore": RestoreRecord,
}


def encode(record: ContractRecord) -> bytes:
    """Returns the JSON body of a record."""
    return msgspec.json.encode(record)


def decode(body: bytes) -> ContractRecord:
    """Decodes and validates the body of a record.

    Args:
        body: The bytes from the log.

    Returns:
        The typed record.

    Raises:
        errors.DotterelgradeError: RECORD_INVALID, if the body is not valid.
    """
    if len(body) > MAX_RECORD_BYTES:
        raise _invalid(f"{len(body)} bytes, at most {MAX_RECORD_BYTES}")
    record = decoding.require(_convert, body, what="no contract record")
    if isinstance(record, EditRecord):
        _check_edit(record)
    elif isinstance(record, RestoreRecord):
        _check_restore(record)
    return record


def _convert(body: bytes) -> ContractRecord:
    value = msgspec.json.decode(body)
    return msgspec.convert(value, _TYPES[value["type"]])


def _invalid(reason: str) -> errors.DotterelgradeError:
    return errors.new_exception(errors.ErrorKind.RECORD_INVALID, reason)


def _check_edit(record: EditRecord) -> None:
    identities = {edit.identity for edit in record.edits}
    _check_id_and_author(record)
    if not record.edits:
        raise _invalid("an edit record has no edits")
    if len(identities) != len(record.edits):
        raise _invalid("an edit record has two edits of one line")
    for edit in record.edits:
        if edit.text is None:
            if edit.seen < 1:
                raise _invalid(
                    f"removal of {edit.identity!r} without the offset seen"
                )
        elif not grammar.is_well_formed(edit.text, identity=edit.identity):
            raise _invalid(
                f"{edit.identity!r} does not match the text of its line"
            )


def _check_id_and_author(record: EditRecord | RestoreRecord) -> None:
    if not 0 < len(record.id) <= MAX_ID_LENGTH:
        raise _invalid(f"expected an id of 1 to {MAX_ID_LENGTH} characters")
    if not 0 < len(record.author) <= MAX_AUTHOR_LENGTH:
        raise _invalid(
            f"expected an author of 1 to {MAX_AUTHOR_LENGTH} characters"
        )


def _check_restore(record: RestoreRecord) -> None:
    identities = {line.identity for line in record.lines}
    _check_id_and_author(record)
    if len(identities) != len(record.lines):
        raise _invalid("a restore record has one line twice")
    if len(record.lines) > grammar.MAX_LINES:
        raise _invalid(
            f"a restore record has more than {grammar.MAX_LINES} lines"
        )
    for line in record.lines:
        if not grammar.is_well_formed(line.text, identity=line.identity):
            raise _invalid(
                f"{line.identity!r} does not match the text of its line"
            )
