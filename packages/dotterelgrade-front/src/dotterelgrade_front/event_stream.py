"""Splits a byte stream into complete server-sent events."""

import dataclasses

_MAX_EVENT_BYTES = 1_048_576
_ID = b"id:"


class EventTooLargeError(Exception):
    """An event exceeds the size limit."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Events:
    """Complete events that arrived together.

    Attributes:
        data: Their bytes, unchanged.
        last_id: The last event ID among them, or empty.
        count: Number of events.
    """

    data: bytes
    last_id: str
    count: int


class EventSplitter:
    """Buffers an incomplete event until the rest of it arrives."""

    def __init__(self) -> None:
        """Initializes an empty splitter."""
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
        """
        data = self._partial + piece
        end = max(_end_of_last(data, b"\n\n"), _end_of_last(data, b"\r\n\r\n"))
        complete, self._partial = data[:end], data[end:]
        if len(self._partial) > _MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f"{len(self._partial)} bytes of an incomplete event"
            )
        return Events(
            data=complete,
            last_id=_last_id(complete),
            count=_count_events(complete),
        )


def _end_of_last(data: bytes, separator: bytes) -> int:
    index = data.rfind(separator)
    return 0 if index < 0 else index + len(separator)


def _count_events(data: bytes) -> int:
    return data.count(b"\n\n") + data.count(b"\r\n\r\n")


def _last_id(data: bytes) -> str:
    for line in reversed(data.splitlines()):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return ""
