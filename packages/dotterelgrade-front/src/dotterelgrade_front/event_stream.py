"""Splits a stream of bytes into whole events."""

import dataclasses

_LARGEST_EVENT_BYTES = 1_048_576
_ID = b"id:"


class EventTooLargeError(Exception):
    """An event does not end within the bound."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Events:
    """Whole events that arrived together.

    Attributes:
        data: Their bytes, as they came.
        last_id: Identifier of the last one that has one, or empty.
        count: How many they are.
    """

    data: bytes
    last_id: str
    count: int


class EventSplitter:
    """Holds back the part of an event that has not arrived as a whole."""

    def __init__(self) -> None:
        """Initializes an empty splitter."""
        self._partial = b""

    def __repr__(self) -> str:
        """Shows how much is held back."""
        return f"<EventSplitter {len(self._partial)} bytes held back>"

    @property
    def partial(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._partial

    def feed(self, piece: bytes) -> Events:
        """Takes bytes and returns the events that are whole now.

        Args:
            piece: The next bytes of the stream.

        Raises:
            EventTooLargeError: An event does not end.
        """
        data = self._partial + piece
        end = max(_end_of(data, b"\n\n"), _end_of(data, b"\r\n\r\n"))
        whole, self._partial = data[:end], data[end:]
        if len(self._partial) > _LARGEST_EVENT_BYTES:
            raise EventTooLargeError(f"{len(self._partial)} bytes")
        return Events(
            data=whole,
            last_id=_last_id(whole),
            count=_count(whole),
        )


def _end_of(data: bytes, separator: bytes) -> int:
    found = data.rfind(separator)
    return 0 if found < 0 else found + len(separator)


def _count(data: bytes) -> int:
    return data.count(b"\n\n") + data.count(b"\r\n\r\n")


def _last_id(data: bytes) -> str:
    for line in reversed(data.splitlines()):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return ""
