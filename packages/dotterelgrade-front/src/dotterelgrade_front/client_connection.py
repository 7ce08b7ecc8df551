"""A caller's connection: whole requests in, answers out."""

import collections
from collections.abc import Iterator
import contextlib
import http
import time

import gevent
from gevent import socket
import httptools

from dotterelgrade import http_connection
from dotterelgrade import http_message
from dotterelgrade_routing import configuration

_RECEIVE_BYTES = 65_536
# Longest time in which a caller must take a part of an answer.
_SEND_TIMEOUT_S = 10.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerGoneError(Exception):
    """The caller closed its connection."""


class BadRequestError(Exception):
    """The caller's bytes are no acceptable request."""

    def __init__(self, status: http.HTTPStatus) -> None:
        """Initializes the exception.

        Args:
            status: The answer.
        """
        super().__init__(status.phrase)
        self._status = status

    @property
    def status(self) -> http.HTTPStatus:
        """The answer."""
        return self._status


class _Parsed:
    """Collects requests; its methods are named by the parser."""

    def __init__(self, limits: configuration.ClientLimits) -> None:
        self.requests: collections.deque[http_message.Request] = (
            collections.deque()
        )
        self.parser = httptools.HttpRequestParser(self)
        self.started = False
        self.expects_continue = False
        self._limits = limits
        self._target = b""
        self._headers: http_message.Headers = []
        self._head_bytes = 0
        self._body = bytearray()

    def on_message_begin(self) -> None:
        self.started = True
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._body = bytearray()

    def on_url(self, part: bytes) -> None:
        self._target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))
        self._count_head(len(name) + len(value))

    def on_headers_complete(self) -> None:
        names = [name for name, _ in self._headers]
        if names.count(b"host") != 1:
            raise BadRequestError(http.HTTPStatus.BAD_REQUEST)
        found = http_message.by_name(self._headers)
        length = found.get(b"content-length", b"0")
        if int(length or b"0") > self._limits.body_bytes:
            raise BadRequestError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if found.get(b"expect", b"").lower() == b"100-continue":
            self.expects_continue = True

    def on_body(self, part: bytes) -> None:
        self._body += part
        if len(self._body) > self._limits.body_bytes:
            raise BadRequestError(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        self.started = False
        self.requests.append(
            http_message.Request(
                method=self.parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=bytes(self._body),
                keep_alive=self.parser.should_keep_alive(),
            )
        )

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.header_bytes:
            raise BadRequestError(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )


class ClientConnection:
    """Reads requests one after another and writes their answers."""

    def __init__(
        self, sock: socket.socket, *, limits: configuration.ClientLimits
    ) -> None:
        """Initializes the connection.

        Args:
            sock: A connected socket, owned by the caller of this.
            limits: Bounds on what may be sent.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        http_connection.set_liveness(sock)
        self._sock = sock
        self._limits = limits
        self._parsed = _Parsed(limits)
        self._busy = False
        self._active_at = time.monotonic()
        self._ended = False

    def __repr__(self) -> str:
        """Shows how many requests wait."""
        return f"<ClientConnection {len(self._parsed.requests)} waiting>"

    @contextlib.contextmanager
    def working(self) -> Iterator[None]:
        """Marks the connection as busy for the body of the context."""
        self._busy = True
        try:
            yield
        finally:
            self._busy = False
            self._active_at = time.monotonic()

    def close_if_idle(self, *, for_s: float) -> None:
        """Ends the connection if no byte of a further request has come.

        Args:
            for_s: How long it must have been idle, s.
        """
        parsed = self._parsed
        if self._busy or parsed.started or parsed.requests:
            return
        if time.monotonic() - self._active_at < for_s:
            return
        if self._has_unread_bytes():
            return
        self._ended = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def read_request(self) -> http_message.Request | None:
        """Waits for the next whole request.

        Returns:
            The request, or None when the caller closed the connection or
            left it idle.

        Raises:
            BadRequestError: What arrived is no acceptable request.
        """
        parsed = self._parsed
        until = time.monotonic() + self._limits.idle_timeout_s
        while not parsed.requests:
            was_started = parsed.started
            data = self._receive(until)
            if self._ended:
                # What crosses the close was never read.
                return None
            if data is None:
                if parsed.started:
                    raise BadRequestError(http.HTTPStatus.REQUEST_TIMEOUT)
                return None
            if not data:
                return None
            self._feed(data)
            if parsed.started and not was_started:
                until = time.monotonic() + self._limits.header_timeout_s
        return parsed.requests.popleft()

    def write(self, data: bytes) -> None:
        """Sends bytes of an answer.

        Raises:
            CallerGoneError: The caller does not take them.
        """
        self._sock.settimeout(_SEND_TIMEOUT_S)
        try:
            self._sock.sendall(data)
        except OSError as error:
            raise CallerGoneError(str(error)) from error

    @contextlib.contextmanager
    def watched(self) -> Iterator[None]:
        """Interrupts the body with CallerGoneError when the caller leaves."""
        greenlet = gevent.getcurrent()
        watcher = gevent.get_hub().loop.io(self._sock.fileno(), 1)
        over = False

        def look() -> None:
            if over or not self._caller_left(watcher):
                return
            watcher.stop()
            greenlet.throw(CallerGoneError("connection closed"))

        watcher.start(look)
        try:
            yield
        finally:
            over = True
            watcher.stop()
            watcher.close()

    def _has_unread_bytes(self) -> bool:
        try:
            return bool(self._peek())
        except OSError:
            return False

    def _peek(self) -> bytes:
        """Returns what lies unread, without waiting for anything."""
        timeout_s = self._sock.gettimeout()
        self._sock.settimeout(0.0)
        try:
            return self._sock.recv(_RECEIVE_BYTES, socket.MSG_PEEK)
        finally:
            self._sock.settimeout(timeout_s)

    def _caller_left(self, watcher: object) -> bool:
        try:
            data = self._peek()
        except BlockingIOError:
            return False
        except OSError:
            return True
        if data:
            # A further request waits; what follows it can't be seen yet.
            watcher.stop()
            return False
        return True

    def _receive(self, until: float) -> bytes | None:
        """Returns what arrived, empty at the end, None when time is up."""
        left_s = until - time.monotonic()
        if left_s <= 0:
            return None
        self._sock.settimeout(left_s)
        try:
            return self._sock.recv(_RECEIVE_BYTES)
        except TimeoutError:
            return None
        except OSError:
            return b""

    def _feed(self, data: bytes) -> None:
        try:
            self._parsed.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, BadRequestError):
                raise cause from error
            raise BadRequestError(http.HTTPStatus.BAD_REQUEST) from error
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise BadRequestError(http.HTTPStatus.BAD_REQUEST) from error
        if self._parsed.expects_continue and self._parsed.started:
            self._parsed.expects_continue = False
            self.write(_CONTINUE)
