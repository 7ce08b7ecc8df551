"""Parses the bytes of a caller's connection into complete requests."""

import collections
from collections.abc import Callable, Iterator
import http
import re

import httptools

from dotterelgrade import http_message
from dotterelgrade import memory_budget
from dotterelgrade_routing import configuration

# What a field takes in memory beside its bytes: two objects of bytes, their
# pair and its place in the list.
FIELD_BYTES = 150
# Framing of a chunked body beyond the limit of a head: enough for chunks of one
# byte with long sizes, not for chunk extensions without end.
_FRAMING_BYTES_EACH = 16
# Bytes between the name and the value of a field, and behind it.
_SEPARATOR_BYTES = 64
_EMPTY_LINE = re.compile(rb"\n\r?\n")
# Each request has it once, at least.
_VERSION = b"HTTP/"


class BadRequestError(Exception):
    """The received bytes are not an acceptable HTTP request."""

    def __init__(self, status: http.HTTPStatus) -> None:
        """Initializes the exception.

        Args:
            status: Status of the error response.
        """
        super().__init__(status.phrase)
        self._status = status

    @property
    def status(self) -> http.HTTPStatus:
        """Status of the error response."""
        return self._status


class RequestParser:
    """Collects requests; the HTTP parser calls the `on_` methods."""

    def __init__(
        self,
        limits: Callable[[], configuration.ClientLimits],
        *,
        account: memory_budget.Account,
        most_requests: int | None = None,
    ) -> None:
        """Initializes a parser without any bytes.

        Args:
            limits: Returns the size limits in force.
            account: Is charged for the heads and the bodies.
            most_requests: Most complete requests that wait, or None for any
                number; bytes behind them are not parsed.
        """
        self._limits = limits
        self._account = account
        self._most_requests = most_requests
        # What each of the waiting requests is charged with, bytes.
        self._costs: collections.deque[int] = collections.deque()
        self._requests: collections.deque[http_message.Request] = (
            collections.deque()
        )
        self._parser = httptools.HttpRequestParser(self)
        self._started = False
        self._expects_continue = False
        self._head_complete = False
        self._target = b""
        self._headers: http_message.Headers = []
        self._head_bytes = 0
        self._body = bytearray()
        self._fields_cost = 0
        self._framing_bytes = 0
        self._framing_heavy = False
        # Bytes since the HTTP parser last called back: it holds an incomplete
        # field, whatever its size.
        self._silent_bytes = 0

    def __repr__(self) -> str:
        """Shows the number of complete requests."""
        return f"<RequestParser {len(self._requests)} requests>"

    @property
    def requests(self) -> collections.deque[http_message.Request]:
        """Complete requests that nobody has taken yet."""
        return self._requests

    @property
    def started(self) -> bool:
        """Whether a part of a further request has arrived."""
        return self._started

    @property
    def reading_body(self) -> bool:
        """Whether the head of a further request is complete, not its body."""
        return self._started and self._head_complete

    @property
    def framing_heavy(self) -> bool:
        """Whether the last bytes of a body were mostly framing."""
        return self.reading_body and self._framing_heavy

    @property
    def framing_too_large(self) -> bool:
        """Whether a body was refused for its framing."""
        return self._framing_bytes > self._framing_limit()

    def feed(self, data: bytes) -> bytes:
        """Parses received bytes.

        Returns:
            The bytes behind the last request that may wait.

        Raises:
            BadRequestError: They are not an acceptable request.
        """
        start = 0
        for end in self._piece_ends(data):
            if self._is_full():
                break
            self._feed_piece(data[start:end])
            start = end
        return data[start:]

    def release_taken(self) -> None:
        """Stops charging for the requests that were taken; they have ended."""
        while len(self._costs) > len(self._requests):
            self._costs.popleft()
        self._account.resize(self._held_bytes())

    def discard(self) -> None:
        """Drops what has arrived of an unacceptable request."""
        self._headers = []
        self._target = b""
        self._body = bytearray()
        self._fields_cost = 0
        self._silent_bytes = 0
        self._parser = httptools.HttpRequestParser(self)
        self._account.resize(self._held_bytes())

    def take_expect_continue(self) -> bool:
        """Returns whether the caller waits for a 100 response, only once."""
        expected = self._expects_continue and self._started
        if expected:
            self._expects_continue = False
        return expected

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._started = True
        self._expects_continue = False
        self._head_complete = False
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._body = bytearray()
        self._fields_cost = 0
        self._framing_bytes = 0
        self._framing_heavy = False

    def on_url(self, part: bytes) -> None:
        """Adds a part of the target."""
        self._target += part
        self._fields_cost += len(part)
        self._check_head_size(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; drops trailers, which are not checked as headers."""
        self._check_head_size(len(name) + len(value))
        if not self._head_complete:
            self._headers.append((name.lower(), value))
            self._fields_cost += FIELD_BYTES + len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Checks the head before the body is read."""
        self._head_complete = True
        names = [name for name, _ in self._headers]
        if names.count(b"host") != 1:
            raise BadRequestError(http.HTTPStatus.BAD_REQUEST)
        header_values = http_message.by_name(self._headers)
        length = header_values.get(b"content-length", b"0")
        if int(length or b"0") > self._limits().body_bytes:
            raise BadRequestError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if header_values.get(b"expect", b"").lower() == b"100-continue":
            self._expects_continue = True

    def on_body(self, part: bytes) -> None:
        """Adds a part of the body; its size is checked piece by piece."""
        self._body += part

    def on_message_complete(self) -> None:
        """Queues the request, unless it is parsed again without its offer."""
        self._check_body()
        self._started = False
        if self._parser.should_upgrade():
            return
        self._costs.append(self._fields_cost + len(self._body))
        self._requests.append(
            http_message.Request(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=bytes(self._body),
                keep_alive=self._parser.should_keep_alive(),
            )
        )
        self._body = bytearray()
        self._fields_cost = 0

    def _is_full(self) -> bool:
        # One piece can complete two requests: one by the end of its body, and
        # one without a body behind it.
        most = self._most_requests
        return most is not None and len(self._requests) >= most - 1

    def _piece_ends(self, data: bytes) -> Iterator[int]:
        """Yields where to stop parsing, to see how many requests wait."""
        most = self._most_requests
        if most is not None and data.count(_VERSION) + 2 > most - len(
            self._requests
        ):
            for found in _EMPTY_LINE.finditer(data):
                yield found.end()
        yield len(data)

    def _feed_piece(self, data: bytes) -> None:
        was_reading = self.reading_body
        before = len(self._body)
        progress = self._progress()
        piece_bytes = len(data)
        while data:
            data = self._feed_until_upgrade(data)
        if self._progress() != progress:
            self._silent_bytes = 0
        else:
            self._note_silence(piece_bytes)
        if not self._started:
            return
        if was_reading and self.reading_body:
            content_bytes = len(self._body) - before
            framing_bytes = max(piece_bytes - content_bytes, 0)
            self._framing_heavy = framing_bytes > content_bytes
            self._framing_bytes += framing_bytes
        self._check_body()

    def _progress(self) -> tuple[int, int, int]:
        return len(self._costs), self._head_bytes, len(self._body)

    def _note_silence(self, piece_bytes: int) -> None:
        """Limits a field, or other bytes, that come to no end."""
        self._silent_bytes += piece_bytes
        limit = self._limits().header_bytes + _SEPARATOR_BYTES
        if self._silent_bytes > limit:
            status = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            if self.reading_body:
                status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            raise BadRequestError(status)

    def _check_body(self) -> None:
        """Checks the request so far against the limits and the memory.

        Raises:
            BadRequestError: It is too large, or there is no room for it.
        """
        too_large = len(self._body) > self._limits().body_bytes
        if too_large or self.framing_too_large:
            raise BadRequestError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if not self._account.resize(self._held_bytes()):
            raise BadRequestError(http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _framing_limit(self) -> int:
        return self._limits().header_bytes + (
            _FRAMING_BYTES_EACH * len(self._body)
        )

    def _held_bytes(self) -> int:
        partial_bytes = self._fields_cost + self._silent_bytes + len(self._body)
        return sum(self._costs) + partial_bytes

    def _feed_until_upgrade(self, data: bytes) -> bytes:
        """Parses bytes; returns those to parse anew after an upgrade offer."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            (end,) = offer.args
            return self._decline_upgrade() + data[end:]
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, BadRequestError):
                raise cause from error
            raise BadRequestError(http.HTTPStatus.BAD_REQUEST) from error
        except httptools.HttpParserError as error:
            raise BadRequestError(http.HTTPStatus.BAD_REQUEST) from error
        return b""

    def _decline_upgrade(self) -> bytes:
        """Returns the head of the last request without its upgrade offer.

        The HTTP parser stops after the head of such a request. Parsed anew, it
        is followed by its body and by further requests in HTTP/1.1.

        Raises:
            BadRequestError: The request asks for a tunnel.
        """
        parser = self._parser
        method = parser.get_method()
        if method == b"CONNECT":
            raise BadRequestError(http.HTTPStatus.BAD_REQUEST)
        version = parser.get_http_version().encode()
        self._parser = httptools.HttpRequestParser(self)
        return http_message.encode_head(
            b"%s %s HTTP/%s" % (method, self._target, version),
            [row for row in self._headers if row[0] != b"upgrade"],
        )

    def _check_head_size(self, added_bytes: int) -> None:
        self._head_bytes += added_bytes
        if self._head_bytes > self._limits().header_bytes:
            raise BadRequestError(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )
