"""The records of the log's contract stream, checked on receipt."""

import dataclasses
import json

import msgspec

from dotterelgrade import errors
from dotterelgrade import grammar

MAX_RECORD_BYTES = 16 * 1024 * 1024
MAX_ID_LENGTH = 100
MAX_AUTHOR_LENGTH = 200

_frozen = dataclasses.dataclass(frozen=True, kw_only=True)


@_frozen
class HeldLine:
    """A line in force.

    Attributes:
        identity: Kind and subject.
        text: The line's text.
        offset: Offset of the record that brought it.
        author: Who appended that record.
    """

    identity: str
    text: str
    offset: int
    author: str


@_frozen
class Removal:
    """A removed line, kept for a while to refuse edits that never saw it go.

    Attributes:
        identity: Kind and subject.
        offset: Offset of the record that removed it.
        author: Who appended that record.
    """

    identity: str
    offset: int
    author: str


@_frozen
class Edit:
    """One line's part of an edit record.

    Attributes:
        identity: Kind and subject.
        text: The new text, or None to remove the line.
        seen: Offset of the line that the author saw, 0 for none.
    """

    identity: str
    text: str | None
    seen: int


@_frozen
class EditRecord:
    """Edits that pass together or not at all.

    Attributes:
        id: Identifier by which the author finds the record again.
        author: Who appended it.
        edits: The edits, each of another line.
        base: Offset of the contract that the author saw.
        type: Discriminates the records of the stream.
    """

    id: str
    author: str
    edits: tuple[Edit, ...]
    base: int = 0
    type: str = "edit"


@_frozen
class SnapshotRecord:
    """The whole fold up to an offset.

    Attributes:
        covers: Offset of the last record folded in.
        lines: Every line in force.
        digest: `Contract.digest` at that offset.
        removals: Removed lines still remembered.
        forgotten: Highest offset of a removal no longer remembered.
        type: Discriminates the records of the stream.
    """

    covers: int
    lines: tuple[HeldLine, ...]
    digest: str
    removals: tuple[Removal, ...] = ()
    forgotten: int = 0
    type: str = "snapshot"


@_frozen
class NewLine:
    """A line that an operator gives without having seen another.

    Attributes:
        identity: Kind and subject.
        text: The line's text.
    """

    identity: str
    text: str


@_frozen
class RestoreRecord:
    """Begins the contract anew when the log lost what came before.

    It holds at every process, whatever that process has, but only directly
    after the offset that its author saw as the log's last; so a late copy is
    refused without looking at any state.

    Attributes:
        id: Identifier by which the author finds the record again.
        author: Who appended it.
        base: Offset of the log's last record that the author saw.
        lines: The whole contract.
        type: Discriminates the records of the stream.
    """

    id: str
    author: str
    base: int
    lines: tuple[NewLine, ...]
    type: str = "restore"


Body = EditRecord | SnapshotRecord | RestoreRecord
_TYPES = {
    "edit": EditRecord,
    "snapshot": SnapshotRecord,
    "restore": RestoreRecord,
}


def encode(record: Body) -> bytes:
    """Returns the JSON body of a record."""
    return msgspec.json.encode(record)


def decode(body: bytes) -> Body:
    """Checks the body of a record.

    Args:
        body: What the log holds.

    Returns:
        The typed record.

    Raises:
        errors.DotterelgradeError: RECORD_INVALID, for anything else.
    """
    if len(body) > MAX_RECORD_BYTES:
        raise _invalid(f"{len(body)} bytes, at most {MAX_RECORD_BYTES}")
    try:
        value = json.loads(body)
        record = msgspec.convert(value, _TYPES[value["type"]])
    except (
        ValueError,
        KeyError,
        TypeError,
        RecursionError,
        msgspec.ValidationError,
    ) as error:
        raise _invalid(repr(error)) from error
    if isinstance(record, EditRecord):
        _check_edit(record)
    elif isinstance(record, RestoreRecord):
        _check_restore(record)
    return record


def _invalid(reason: str) -> errors.DotterelgradeError:
    return errors.fail(errors.ErrorKind.RECORD_INVALID, reason)


def _check_edit(record: EditRecord) -> None:
    identities = {edit.identity for edit in record.edits}
    _check_origin(record)
    if not record.edits:
        raise _invalid("an edit needs a line")
    if len(identities) != len(record.edits):
        raise _invalid("an edit names one line twice")
    for edit in record.edits:
        if edit.text is None:
            if edit.seen < 1:
                raise _invalid(f"removes {edit.identity!r} unseen")
        elif not grammar.is_framed(edit.text, identity=edit.identity):
            raise _invalid(f"{edit.identity!r} is no line with a name")


def _check_origin(record: EditRecord | RestoreRecord) -> None:
    if not 0 < len(record.id) <= MAX_ID_LENGTH:
        raise _invalid(f"expected an id of 1 to {MAX_ID_LENGTH} characters")
    if not 0 < len(record.author) <= MAX_AUTHOR_LENGTH:
        raise _invalid(
            f"expected an author of 1 to {MAX_AUTHOR_LENGTH} characters"
        )


def _check_restore(record: RestoreRecord) -> None:
    identities = {line.identity for line in record.lines}
    _check_origin(record)
    if len(identities) != len(record.lines):
        raise _invalid("a restore names one line twice")
    if len(record.lines) > grammar.MAX_LINES:
        raise _invalid(f"a restore has more than {grammar.MAX_LINES} lines")
    for line in record.lines:
        if not grammar.is_framed(line.text, identity=line.identity):
            raise _invalid(f"{line.identity!r} is no line with a name")
