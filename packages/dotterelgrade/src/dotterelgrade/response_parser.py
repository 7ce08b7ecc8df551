"""Parses the bytes of a connection into one HTTP response."""

import collections
import http
import re

import httptools

from dotterelgrade import http_message

_STATUSES = range(100, 600)
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class InvalidResponseError(Exception):
    """The received bytes are not a response."""


class _InvalidHeadError(Exception):
    """The HTTP parser accepts a head that is none of a response."""


class ResponseParser:
    """Collects the parts of a response; the HTTP parser calls `on_` methods.

    Attributes:
        head: The final head, or None while it is incomplete.
        pieces: Parts of the body that nobody has taken yet.
        complete: Whether the response is complete.
        known_end: Whether it states its end, by a length or by chunks.
        extra_bytes: Whether bytes followed that belong to no request.
        keeps_alive: Whether the peer keeps the connection open.
    """

    def __init__(self, *, without_body: bool) -> None:
        """Initializes a parser without any bytes.

        Args:
            without_body: Whether the request was one for a head alone.
        """
        self.head: http_message.ResponseHead | None = None
        self.pieces: collections.deque[bytes] = collections.deque()
        self.complete = False
        self.known_end = False
        self.extra_bytes = False
        self.keeps_alive = False
        self._headers: http_message.Headers = []
        self._parser = httptools.HttpResponseParser(self)
        self._reason = b""
        self._without_body = without_body

    def __repr__(self) -> str:
        """Shows what has arrived."""
        state = "complete" if self.complete else "incomplete"
        return f"<ResponseParser {self.head!r}, {state}>"

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Args:
            data: The bytes.

        Raises:
            InvalidResponseError: They are not a response.
        """
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            # Bytes after a complete response belong to no request.
            if not self.complete:
                reason = error.__context__ or error
                raise InvalidResponseError(str(reason)) from error
            self.extra_bytes = True

    def end(self) -> None:
        """Takes the end of the connection, which may be that of the body."""
        if self.head is not None and not self.known_end:
            self.complete = True

    def on_message_begin(self) -> None:
        """Starts a response; a second one belongs to no request."""
        self.extra_bytes = self.extra_bytes or self.complete

    def on_status(self, reason: bytes) -> None:
        """Adds a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        if self.head is not None:
            # Trailers, or an extra response that belongs to no request.
            return
        lower = name.lower()
        self._headers.append((lower, value))
        if lower in (b"content-length", b"transfer-encoding"):
            self.known_end = True

    def on_headers_complete(self) -> None:
        """Takes a head; one of an interim response is dropped."""
        if self.complete:
            return
        status = self._parser.get_status_code()
        self._check_status_line(status)
        if status < 200:
            self._headers = []
            self._reason = b""
            return
        self.head = http_message.ResponseHead(
            status=status, reason=self._reason, headers=self._headers
        )
        if self._without_body or status in (204, 304):
            self.known_end = True
            self.complete = True

    def _check_status_line(self, status: int) -> None:
        # No request asks for another protocol.
        switched = status == http.HTTPStatus.SWITCHING_PROTOCOLS
        if switched or status not in _STATUSES:
            raise _InvalidHeadError(f"unexpected status {status}")
        if _CONTROL_CHARACTER.search(self._reason):
            raise _InvalidHeadError("control character in the status line")

    def on_body(self, piece: bytes) -> None:
        """Adds a part of the body."""
        if not self.complete:
            self.pieces.append(piece)

    def on_message_complete(self) -> None:
        """Notes the end that the response states itself."""
        if self.head is not None and not self.complete:
            self.complete = True
            self.keeps_alive = self._parser.should_keep_alive()
