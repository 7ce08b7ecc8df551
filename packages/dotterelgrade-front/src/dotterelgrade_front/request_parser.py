"""Parses the bytes of a caller's connection into complete requests."""

import collections
from collections.abc import Callable
import http

import httptools

from dotterelgrade import http_message
from dotterelgrade import memory_budget
from dotterelgrade_routing import configuration


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
    ) -> None:
        """Initializes a parser without any bytes.

        Args:
            limits: Returns the size limits in force.
            account: Is charged for the bodies.
        """
        self._limits = limits
        self._account = account
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

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            BadRequestError: They are not an acceptable request.
        """
        while data:
            data = self._feed_until_upgrade(data)

    def release_taken(self) -> None:
        """Stops charging for the requests that were taken; they have ended."""
        self._account.resize(self._buffered_bytes())

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

    def on_url(self, part: bytes) -> None:
        """Adds a part of the target."""
        self._target += part
        self._check_head_size(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; drops trailers, which are not checked as headers."""
        self._check_head_size(len(name) + len(value))
        if not self._head_complete:
            self._headers.append((name.lower(), value))

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
        """Adds a part of the body."""
        self._body += part
        if len(self._body) > self._limits().body_bytes:
            raise BadRequestError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if not self._account.resize(self._buffered_bytes()):
            raise BadRequestError(http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _buffered_bytes(self) -> int:
        complete = sum(len(request.body) for request in self._requests)
        return complete + len(self._body)

    def on_message_complete(self) -> None:
        """Queues the request, unless it is parsed again without its offer."""
        self._started = False
        if self._parser.should_upgrade():
            return
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
