"""Handles an HTTP connection of an untrusted client within limits."""

import contextlib
import http
import socket
import time
from typing import Any, ClassVar

import gevent
from gevent import pool
from gevent import pywsgi

from dotterelgrade import client_refusals
from dotterelgrade import client_slots
from dotterelgrade import head_fields
from dotterelgrade import listen_limits

_MAX_LINE_BYTES = 8_192
_SLICE_BYTES = 4_096
_LINGER_S = 0.3
_LINGER_BYTES = 256 * 1024
# Connections that are being closed while their successors are accepted.
_CLOSING = 8
_FRAMING = frozenset(
    ("connection", "content-length", "content-type", "transfer-encoding")
)

Reason = client_refusals.Reason


class HeadError(ValueError):
    """A head that is refused, with its answer."""

    def __init__(self, status: http.HTTPStatus, reason: Reason) -> None:
        """Initializes the error.

        Args:
            status: Status of the answer.
            reason: Why it was refused.
        """
        super().__init__(reason.value)
        self.status = status
        self.reason = reason


class UnreadBody:
    """The unread rest of a request body, read for a moment only.

    Closing at once would reset the connection before the client has read its
    answer; reading on would let a client hold it for as long as it sends.
    """

    def __init__(
        self, handler: pywsgi.WSGIHandler, *, most_bytes: int = _LINGER_BYTES
    ) -> None:
        """Initializes it.

        Args:
            handler: The handler of the connection.
            most_bytes: Most bytes that are read.
        """
        self._handler = handler
        self._most_bytes = most_bytes

    def read(self, _: int | None = None) -> bytes:
        """Returns nothing: the body is not read."""
        return b""

    def _discard(self) -> None:
        left = self._most_bytes
        self._handler.slot.enter(client_slots.Phase.CLOSING)
        with contextlib.suppress(OSError), gevent.Timeout(_LINGER_S, False):
            while left > 0:
                data = self._handler.socket.recv(min(left, _LINGER_BYTES))
                if not data:
                    return
                left -= len(data)
                gevent.sleep(0)


class LimitedHandler(pywsgi.WSGIHandler):
    """Handles a connection; request bodies are not read."""

    service_phase: ClassVar = client_slots.Phase.ANSWER
    takes_bodies: ClassVar = False
    wanted_fields: ClassVar = _FRAMING

    def handle(self) -> None:
        """Handles the connection until it ends or makes room for another."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        greenlet = gevent.getcurrent()
        holding = self.server.slots.hold(
            self.client_address[0], lambda: greenlet.kill(block=False)
        )
        with holding as slot:
            if slot is None:
                self.rfile.close()
                self.socket.close()
                return
            self.slot = slot
            # An exit that is kept as the result of the greenlet would keep its
            # frames, and with them the greenlet, until a full collection.
            with contextlib.suppress(OSError, gevent.GreenletExit):
                super().handle()

    def note(self, reason: Reason) -> None:
        """Counts a refusal of this client."""
        self.server.note(reason, self.client_address[0])

    def read_requestline(self) -> str:
        """Waits for a request, then reads its first line.

        Raises:
            TimeoutError: The connection is idle for too long.
        """
        limits = self.server.limits
        if self.requestline is not None:
            self.slot.enter(client_slots.Phase.IDLE)
            # Pipelined requests take turns with those of other connections.
            gevent.sleep(0)
        idle = TimeoutError("idle")
        with gevent.Timeout(limits.idle_timeout_s, idle):
            if not self.rfile.peek(1):
                return ""
        self.slot.enter(client_slots.Phase.HEAD)
        self._head_ends_at = time.monotonic() + limits.head_timeout_s
        try:
            with gevent.Timeout(limits.head_timeout_s, TimeoutError("head")):
                return self.rfile.readline(_MAX_LINE_BYTES).decode("latin-1")
        except TimeoutError:
            self.note(Reason.HEAD_TIMEOUT)
            raise

    def read_request(self, raw_requestline: str) -> bool:
        """Reads the fields and parses the head.

        Raises:
            ValueError: The head is refused.
        """
        late = HeadError(http.HTTPStatus.REQUEST_TIMEOUT, Reason.HEAD_TIMEOUT)
        left_s = max(self._head_ends_at - time.monotonic(), 0.001)
        with gevent.Timeout(left_s, late):
            lines = self._read_lines(
                self.server.limits.head_bytes - len(raw_requestline)
            )
        self._fields = head_fields.parse(lines, wanted=self.wanted_fields)
        size = len(raw_requestline) + len(lines)
        if not self.charge_head(size=size, fields=len(self._fields)):
            raise HeadError(
                http.HTTPStatus.SERVICE_UNAVAILABLE, Reason.HEADS_FULL
            )
        return super().read_request(raw_requestline)

    def charge_head(self, **_: int) -> bool:
        """Returns whether there is memory for a head of a size and fields."""
        return True

    def _read_lines(self, most_bytes: int) -> bytes:
        lines = bytearray()
        slices = 0
        while True:
            line = self.rfile.readline(max(most_bytes - len(lines), 0) + 2)
            if line in (b"\r\n", b"\n"):
                return bytes(lines)
            lines += line
            if len(lines) > most_bytes:
                raise HeadError(
                    http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    Reason.HEAD_TOO_LARGE,
                )
            if not line.endswith(b"\n"):
                raise ValueError("the head has no end")
            if len(lines) // _SLICE_BYTES > slices:
                slices = len(lines) // _SLICE_BYTES
                gevent.sleep(0)

    def MessageClass(self, *_: Any) -> head_fields.HeadFields:  # noqa: N802
        """Returns the fields that were read."""
        return self._fields

    def get_environ(self) -> dict[str, Any]:
        """Returns the environment; the request is in service from now on."""
        environ = super().get_environ()
        self.slot.enter(self.service_phase)
        has_body = bool(self.content_length) or self.wsgi_input.chunked_input
        if has_body and not self.takes_bodies:
            self.note(Reason.BODY_UNREAD)
            self.close_connection = True
            self.wsgi_input = environ["wsgi.input"] = UnreadBody(self)
        return environ

    def handle_one_request(self) -> Any:
        """Handles one request, and keeps nothing of it."""
        try:
            return super().handle_one_request()
        finally:
            self.headers = self.environ = self._fields = None

    def write(self, data: bytes) -> None:
        """Writes a part of the answer, which counts until it is taken."""
        self.slot.resize(len(data))
        try:
            super().write(data)
        finally:
            self.slot.resize(0)

    def _sendall(self, data: bytes) -> None:
        limits = self.server.limits
        view = memoryview(data)
        self.socket.settimeout(limits.write_timeout_s)
        try:
            for start in range(0, len(view), limits.write_piece_bytes):
                super()._sendall(view[start : start + limits.write_piece_bytes])
        except TimeoutError:
            self.note(Reason.SLOW_READER)
            raise
        finally:
            self.socket.settimeout(None)

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Ends the connection quietly if the client or the server ended it."""
        if isinstance(v, OSError | gevent.GreenletExit):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)

    def _handle_client_error(self, ex: BaseException) -> tuple[str, bytes]:
        status, reason = http.HTTPStatus.BAD_REQUEST, Reason.HEAD_INVALID
        if isinstance(ex, HeadError):
            status, reason = ex.status, ex.reason
        self.note(reason)
        answer = (
            f"HTTP/1.1 {status.value} {status.phrase}\r\n"
            "Connection: close\r\nContent-Length: 0\r\n\r\n"
        )
        return str(status.value), answer.encode()


class LimitedServer(pywsgi.WSGIServer):
    """Listens for untrusted clients."""

    # A connection that makes room must have ended before many more come.
    max_accept = _CLOSING

    def __init__(
        self,
        listener: Any,
        app: Any,
        *,
        name: str,
        limits: listen_limits.ListenLimits,
        refusals: client_refusals.ClientRefusals,
        **options: Any,
    ) -> None:
        """Initializes a server that does not listen yet.

        Args:
            listener: Address or listening socket.
            app: The WSGI application.
            name: Name of the socket in metrics and log lines.
            limits: What its clients may hold.
            refusals: Counts those that are refused.
            **options: See `pywsgi.WSGIServer`.
        """
        super().__init__(
            listener,
            app,
            log=None,
            spawn=pool.Pool(limits.connections + _CLOSING),
            **options,
        )
        self._name = name
        self._limits = limits
        self._refusals = refusals
        self._slots = client_slots.ClientSlots(
            capacity=limits.connections,
            held_bytes=limits.answer_bytes,
            on_closed=lambda slot: self.note(Reason.FULL, slot.address),
            on_overfull=lambda slot: self.note(
                Reason.ANSWERS_FULL, slot.address
            ),
        )

    @property
    def limits(self) -> listen_limits.ListenLimits:
        """What the clients may hold."""
        return self._limits

    @property
    def slots(self) -> client_slots.ClientSlots:
        """The open connections."""
        return self._slots

    def init_socket(self) -> None:
        """Opens the socket; its connections have small kernel buffers."""
        super().init_socket()
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            self.socket.setsockopt(
                socket.SOL_SOCKET, option, self._limits.buffer_bytes
            )

    def note(self, reason: Reason, peer: str) -> None:
        """Counts and logs a refused client."""
        self._refusals.note(self._name, reason, peer)

    def stop(self, timeout: float | None = None) -> None:
        """Closes connections without a request, then waits for the others."""
        self.close()
        self._slots.close_unused()
        super().stop(timeout=timeout)
