"""A client's connection for one HTTP/1.1 exchange after another."""

import collections
from collections.abc import Iterator
import contextlib
import time

from gevent import socket
import httptools

from dotterelgrade import http_message

_RECEIVE_BYTES = 65_536
_LARGEST_HEAD_BYTES = 65_536
# Bytes between two pieces of a body are a chunk's head, or trailers.
_MOST_FRAMING_BYTES = 65_536
# A silent peer is noticed within about three seconds, also in a long wait.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_UNACKNOWLEDGED_MS = 3_000
_SHORTEST_WAIT_S = 0.001


class ConnectError(Exception):
    """The peer could not be reached; nothing was sent."""


class RefusedConnectionError(ConnectError):
    """The peer's host says that nobody listens there."""


class BrokenConnectionError(Exception):
    """The connection ended, or its bytes were no answer, too early."""


class AnswerTimeoutError(Exception):
    """The peer stayed silent for longer than the caller wanted to wait."""


class _Answer:
    """Collects what the parser finds; its methods are named by the parser."""

    def __init__(self, *, bodiless: bool) -> None:
        self.head: http_message.ResponseHead | None = None
        self.pieces: collections.deque[bytes] = collections.deque()
        self.complete = False
        self.framed = False
        self.surplus = False
        self.keeps_alive = False
        self.headers: http_message.Headers = []
        self.parser: httptools.HttpResponseParser | None = None
        self._reason = b""
        self._bodiless = bodiless

    def on_message_begin(self) -> None:
        self.surplus = self.surplus or self.complete

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.head is not None:
            # Trailers, or a further answer that belongs to no request.
            return
        lower = name.lower()
        self.headers.append((lower, value))
        if lower in (b"content-length", b"transfer-encoding"):
            self.framed = True

    def on_headers_complete(self) -> None:
        if self.complete:
            return
        status = self.parser.get_status_code()
        if status < 200:
            self.headers = []
            self._reason = b""
            return
        self.head = http_message.ResponseHead(
            status=status, reason=self._reason, headers=self.headers
        )
        if self._bodiless or status in (204, 304):
            self.framed = True
            self.complete = True

    def on_body(self, piece: bytes) -> None:
        if not self.complete:
            self.pieces.append(piece)

    def on_message_complete(self) -> None:
        if self.head is not None and not self.complete:
            self.complete = True
            self.keeps_alive = self.parser.should_keep_alive()


class HttpConnection:
    """One TCP connection to a peer, with a time limit on every wait."""

    def __init__(self, sock: socket.socket, *, address: str) -> None:
        """Initializes the connection.

        Args:
            sock: A connected socket, owned by this object.
            address: `IP:PORT` of the peer, for messages.
        """
        self._sock = sock
        self._address = address
        self._answer: _Answer | None = None
        self._heard = False

    def __repr__(self) -> str:
        """Shows the peer."""
        return f"<HttpConnection {self._address}>"

    @property
    def heard(self) -> bool:
        """Whether any byte of the current answer has arrived."""
        return self._heard

    @property
    def reusable(self) -> bool:
        """Whether a further request may follow the last one.

        Only behind a whole answer of known length, after which the peer has
        sent nothing and does not want to close.
        """
        answer = self._answer
        if answer is None or not answer.complete or answer.surplus:
            return False
        return answer.framed and answer.keeps_alive and self._quiet()

    def close(self) -> None:
        """Closes the connection at once."""
        self._sock.close()

    def exchange(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: http_message.Headers,
        body: bytes = b"",
        timeout_s: float,
        most_bytes: int,
    ) -> tuple[http_message.ResponseHead, bytes]:
        """Sends a whole request and waits for its whole answer.

        Args:
            method: Method of the request.
            target: Path and query.
            headers: Further headers beside host and length.
            body: Body of the request.
            timeout_s: Longest time for the answer, s.
            most_bytes: Largest body that is accepted.

        Returns:
            The head and the body of the answer.

        Raises:
            BrokenConnectionError: There was no whole answer.
            AnswerTimeoutError: There was no answer in time.
        """
        until = time.monotonic() + timeout_s
        self.send(
            method=method,
            target=target,
            headers=[(b"host", self._address.encode()), *headers],
            body=body,
            timeout_s=timeout_s,
        )
        head = self.read_head(until=until)
        return head, self.read_body(until=until, most_bytes=most_bytes)

    def send(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: http_message.Headers,
        body: bytes,
        timeout_s: float,
    ) -> None:
        """Sends a whole request.

        Args:
            method: Method of the request.
            target: Path and query.
            headers: All headers but the length.
            body: The body; may be empty.
            timeout_s: Longest time for sending, s.

        Raises:
            BrokenConnectionError: Perhaps only a part was sent.
        """
        answer = _Answer(bodiless=method == b"HEAD")
        answer.parser = httptools.HttpResponseParser(answer)
        self._answer = answer
        self._heard = False
        length = []
        if body or method not in (b"GET", b"HEAD"):
            length = [(b"content-length", str(len(body)).encode())]
        head = http_message.encode_head(
            method + b" " + target + b" HTTP/1.1", headers + length
        )
        self._sock.settimeout(max(timeout_s, _SHORTEST_WAIT_S))
        try:
            self._sock.sendall(head + body)
        except OSError as error:
            raise BrokenConnectionError(f"{self._address}: {error}") from error

    def read_head(self, *, until: float) -> http_message.ResponseHead:
        """Waits for the head of the answer.

        Args:
            until: Monotonic time at which to give up, s.

        Returns:
            The head of the final answer.

        Raises:
            AnswerTimeoutError: No whole head until then.
            BrokenConnectionError: The connection ended before it.
        """
        received = 0
        while self._answer.head is None:
            received += self._receive(until)
            if received > _LARGEST_HEAD_BYTES and self._answer.head is None:
                raise BrokenConnectionError(f"{self._address}: endless head")
        return self._answer.head

    def read_piece(self, *, until: float) -> bytes:
        """Waits for the next bytes of the body.

        Args:
            until: Monotonic time at which to give up, s.

        Returns:
            What has arrived; empty at the end of a complete answer.

        Raises:
            AnswerTimeoutError: Nothing arrived until then.
            BrokenConnectionError: The answer ended too early, or bytes that
                are no body don't end.
        """
        answer = self._answer
        received = 0
        while not answer.pieces and not answer.complete:
            received += self._receive(until)
            if received > _MOST_FRAMING_BYTES and not answer.pieces:
                raise BrokenConnectionError(f"{self._address}: endless framing")
        piece = b"".join(answer.pieces)
        answer.pieces.clear()
        return piece

    def read_body(self, *, until: float, most_bytes: int) -> bytes:
        """Waits for the whole body.

        Args:
            until: Monotonic time at which to give up, s.
            most_bytes: Largest body that is accepted.

        Raises:
            AnswerTimeoutError: It was not whole until then.
            BrokenConnectionError: It ended too early or is too large.
        """
        body = bytearray()
        while piece := self.read_piece(until=until):
            body += piece
            if len(body) > most_bytes:
                raise BrokenConnectionError(f"{self._address}: body too large")
        return bytes(body)

    def _receive(self, until: float) -> int:
        self._sock.settimeout(max(until - time.monotonic(), _SHORTEST_WAIT_S))
        try:
            data = self._sock.recv(_RECEIVE_BYTES)
        except TimeoutError as error:
            raise AnswerTimeoutError(f"{self._address}: silent") from error
        except OSError as error:
            raise BrokenConnectionError(f"{self._address}: {error}") from error
        if not data:
            self._end()
            return 0
        self._heard = True
        try:
            self._answer.parser.feed_data(data)
        except httptools.HttpParserError as error:
            # Bytes behind a complete answer belong to no request.
            if not self._answer.complete:
                raise BrokenConnectionError(
                    f"{self._address}: {error}"
                ) from error
            self._answer.surplus = True
        return len(data)

    def _quiet(self) -> bool:
        """Returns whether neither bytes nor the end wait to be read."""
        self._sock.settimeout(0.0)
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def _end(self) -> None:
        answer = self._answer
        if answer.head is not None and not answer.framed:
            answer.complete = True
        if not answer.complete:
            raise BrokenConnectionError(f"{self._address}: closed too early")


def connect(address: str, *, timeout_s: float) -> HttpConnection:
    """Opens a connection.

    Args:
        address: `IP:PORT`.
        timeout_s: Longest time to wait, s.

    Raises:
        RefusedConnectionError: Nobody listens there.
        ConnectError: The peer was not reached.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        set_liveness(sock)
        sock.connect((host, int(port)))
    except ConnectionRefusedError as error:
        sock.close()
        raise RefusedConnectionError(f"{address}: {error}") from error
    except (OSError, ValueError, OverflowError) as error:
        sock.close()
        raise ConnectError(f"{address}: {error}") from error
    except BaseException:
        # A greenlet that is killed while it connects leaves nothing open.
        sock.close()
        raise
    return HttpConnection(sock, address=address)


def set_liveness(sock: socket.socket) -> None:
    """Makes the kernel end a connection whose peer fell silent for good."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)


@contextlib.contextmanager
def opened(address: str, *, timeout_s: float) -> Iterator[HttpConnection]:
    """Opens a connection for the body of the context.

    Args:
        address: `IP:PORT`.
        timeout_s: Longest time to wait for the connection, s.

    Raises:
        ConnectError: The peer was not reached.
    """
    connection = connect(address, timeout_s=timeout_s)
    try:
        yield connection
    finally:
        connection.close()


def call(
    address: str,
    *,
    method: bytes,
    target: bytes,
    body: bytes = b"",
    headers: http_message.Headers | None = None,
    connect_timeout_s: float = 1.0,
    timeout_s: float,
    most_bytes: int = 16_777_216,
) -> tuple[http_message.ResponseHead, bytes]:
    """Makes one call on a connection of its own.

    Args:
        address: `IP:PORT`.
        method: Method of the request.
        target: Path and query.
        body: Body of the request.
        headers: Further headers.
        connect_timeout_s: Longest time for connecting, s.
        timeout_s: Longest time for the answer, s.
        most_bytes: Largest body that is accepted.

    Returns:
        The head and the body of the answer.

    Raises:
        ConnectError: The peer was not reached.
        BrokenConnectionError: There was no whole answer.
        AnswerTimeoutError: There was no answer in time.
    """
    with opened(address, timeout_s=connect_timeout_s) as connection:
        return connection.exchange(
            method=method,
            target=target,
            headers=headers or [],
            body=body,
            timeout_s=timeout_s,
            most_bytes=most_bytes,
        )
