"""Checks that the events passed to a caller form one sequence.

A stream that breaks off is resumed at another backend server. That one may
respond with something else than events, begin at the first event again, or
leave events out. IDs increase within a stream; they need not be consecutive.
"""

import dataclasses

from dotterelgrade import http_message
from dotterelgrade_front import event_stream

_MEDIA_TYPE = b"text/event-stream"
# Fits 64 bits; Python refuses to convert thousands of digits.
_MAX_ID_DIGITS = 18


class BrokenSequenceError(Exception):
    """A response does not continue the stream."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Position:
    """The events up to one of them.

    Attributes:
        number: The last numeric ID, or None.
        last_id: The same as received, or empty.
        events: Number of events in all responses.
        in_response: Number of events in the current response.
        consecutive: Whether each ID was the successor of the one before.
        numbered: Whether the last event has a numeric ID.
    """

    number: int | None
    last_id: str = ""
    events: int = 0
    in_response: int = 0
    consecutive: bool = True
    numbered: bool = True

    @property
    def resumed(self) -> bool:
        """Whether earlier responses had events."""
        return self.events > self.in_response


class EventSequence:
    """Checks each response of a stream against the events passed on so far."""

    def __init__(self, *, caller_has: str = "") -> None:
        """Initializes the sequence.

        Args:
            caller_has: ID of the last event that the caller received before
                this request, or empty.
        """
        self._position = _Position(number=_number(caller_has))
        self._status = 0
        self._declared = False

    def __repr__(self) -> str:
        """Shows the last event passed on."""
        return f"<EventSequence {self._position.events} events>"

    @property
    def last_id(self) -> str:
        """ID of the last event passed on, or empty before the first."""
        return self._position.last_id

    @property
    def resumable(self) -> bool:
        """Whether a continuation of the stream could be checked.

        Without a numeric ID, the last event might be repeated.
        """
        return self._position.numbered

    def begin(self, head: http_message.ResponseHead) -> None:
        """Starts a response to the first or a resumed request.

        Args:
            head: The head of the response.

        Raises:
            BrokenSequenceError: The response can't be a part of the stream.
        """
        media_type = _media_type(head)
        if media_type not in (b"", _MEDIA_TYPE):
            raise BrokenSequenceError(
                f"content type {media_type.decode('latin-1')} of a stream"
            )
        if self._position.events and head.status != self._status:
            raise BrokenSequenceError(
                f"stream resumed with status {head.status}"
            )
        self._status = head.status
        self._declared = media_type == _MEDIA_TYPE
        self._position = dataclasses.replace(self._position, in_response=0)

    def add(self, events: event_stream.Events) -> None:
        """Checks the next events of the response, to be passed on together.

        Args:
            events: Complete events.

        Raises:
            BrokenSequenceError: They don't follow the events passed on so far;
                none of them is recorded.
        """
        position = self._position
        for event_id in events.ids:
            position = self._successor(position, event_id)
        self._position = position

    def end(self, *, delimited: bool) -> None:
        """Checks that the response is a complete one.

        A server that has nothing left to send ends an event stream without
        events; any other response without events may be a failure.

        Args:
            delimited: Whether the response stated where it ends, rather than
                ending with its connection.

        Raises:
            BrokenSequenceError: The response may not be complete.
        """
        if self._position.in_response or (self._declared and delimited):
            return
        raise BrokenSequenceError("response without events")

    def _successor(self, position: _Position, event_id: str) -> _Position:
        number = _number(event_id)
        if number is None:
            self._check_unnumbered(position)
            return dataclasses.replace(
                position,
                events=position.events + 1,
                in_response=position.in_response + 1,
                numbered=False,
            )
        return _Position(
            number=number,
            last_id=event_id,
            events=position.events + 1,
            in_response=position.in_response + 1,
            consecutive=_check_number(position, number),
        )

    def _check_unnumbered(self, position: _Position) -> None:
        numbered = position.number is not None
        undeclared = not position.in_response and not self._declared
        if numbered or position.resumed or undeclared:
            raise BrokenSequenceError("event without a numeric ID")


def _check_number(position: _Position, number: int) -> bool:
    """Returns whether all IDs up to this number are consecutive.

    Raises:
        BrokenSequenceError: The event was passed on already, or events between
            two responses are missing.
    """
    last = position.number
    if last is None:
        return position.consecutive
    if number <= last:
        raise BrokenSequenceError(f"event {number} after event {last}")
    if not position.events:
        # The caller received the preceding events in an earlier response.
        return True
    if number == last + 1:
        return position.consecutive
    if position.consecutive and not position.in_response:
        raise BrokenSequenceError(
            f"stream resumed with event {number} after event {last}"
        )
    return False


def _media_type(head: http_message.ResponseHead) -> bytes:
    value = http_message.by_name(head.headers).get(b"content-type", b"")
    return value.partition(b";")[0].strip().lower()


def _number(event_id: str) -> int | None:
    is_number = event_id.isascii() and event_id.isdigit()
    if not is_number or len(event_id) > _MAX_ID_DIGITS:
        return None
    return int(event_id)
