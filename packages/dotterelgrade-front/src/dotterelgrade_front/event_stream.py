"""Splits a byte stream into complete server-sent events."""

import dataclasses
import re

from dotterelgrade import memory_budget

_MAX_EVENT_BYTES = 1_048_576
_ID = b"id:"
_COMMENT = b":"
# Fields without a value need no colon.
_EMPTY_FIELDS = frozenset({b"data", b"event", b"id", b"retry"})
_SEPARATOR = re.compile(rb"\n\n|\r\n\r\n")


class InvalidEventError(Exception):
    """Bytes of a stream are no event."""


class NoRoomError(InvalidEventError):
    """The memory for events is used up, whoever uses it."""


class EventTooLargeError(InvalidEventError):
    """An event exceeds the size limit."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Events:
    """Complete events that arrived together.

    Attributes:
        data: Their bytes, unchanged.
        ids: The ID of each event, empty if it has none; comments are left out.
        count: Number of events and comments.
    """

    data: bytes
    ids: tuple[str, ...]
    count: int


class EventSplitter:
    """Buffers an incomplete event until the rest of it arrives."""

    def __init__(self, account: memory_budget.Account) -> None:
        """Initializes an empty splitter.

        Args:
            account: Is charged for the events until the next bytes are added,
                since their reader may take them slowly.
        """
        self._account = account
        self._partial = b""

    def __repr__(self) -> str:
        """Shows the number of buffered bytes."""
        return f"<EventSplitter {len(self._partial)} bytes buffered>"

    @property
    def partial(self) -> bytes:
        """Buffered bytes of an incomplete event."""
        return self._partial

    def feed(self, piece: bytes) -> Events:
        """Adds bytes and returns the events that they complete.

        Args:
            piece: The next bytes of the stream.

        Raises:
            EventTooLargeError: An event exceeds the size limit.
            NoRoomError: There is no room for the events.
            InvalidEventError: A line of an event is no field.
        """
        size = len(self._partial) + len(piece)
        if not self._account.resize(size):
            raise NoRoomError(f"no room for {size} bytes of events")
        data = self._partial + piece
        end = max(_end_of_last(data, b"\n\n"), _end_of_last(data, b"\r\n\r\n"))
        complete, self._partial = data[:end], data[end:]
        if len(self._partial) > _MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"{len(self._partial)} bytes of an incomplete event"
            )
        blocks = _SEPARATOR.split(complete)[:-1]
        ids = [_event_id(b) for b in blocks if not _is_comment(b)]
        return Events(data=complete, ids=tuple(ids), count=len(blocks))


def _end_of_last(data: bytes, separator: bytes) -> int:
    index = data.rfind(separator)
    return 0 if index < 0 else index + len(separator)


def _is_comment(block: bytes) -> bool:
    return all(line.startswith(_COMMENT) for line in block.splitlines() if line)


def _event_id(block: bytes) -> str:
    event_id = b""
    for line in block.splitlines():
        if line.startswith(_ID):
            event_id = line[len(_ID) :].strip()
        elif line and b":" not in line and line not in _EMPTY_FIELDS:
            raise InvalidEventError("line of an event is no field")
    return event_id.decode("latin-1")
