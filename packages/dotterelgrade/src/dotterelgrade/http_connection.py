"""Reusable HTTP/1.1 client connections with a limit on every wait."""

from collections.abc import Iterator
import contextlib
import errno
import time

from gevent import socket

from dotterelgrade import http_message
from dotterelgrade import response_parser

# Each of many connections may hold as much while its peer is slow.
_RECEIVE_BYTES = 32_768
_MAX_HEAD_BYTES = 65_536
_MAX_BODY_BYTES = 4_194_304
# Limits chunk headers and trailers, which arrive between pieces of a body.
_MAX_FRAMING_BYTES = 65_536
# Detects a dead peer within about three seconds, even in a longer wait.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
_TCP_USER_TIMEOUT_MS = 3_000
_MIN_SOCKET_TIMEOUT_S = 0.001


class ConnectError(Exception):
    """The connection could not be opened; nothing was sent."""


class RefusedConnectionError(ConnectError):
    """The peer's host refused the connection: the port is not open."""


class BrokenConnectionError(Exception):
    """The connection failed, or the response was incomplete or invalid."""


class ResponseTooLargeError(BrokenConnectionError):
    """The body of the response is larger than permitted."""


class LostConnectionError(BrokenConnectionError):
    """The peer ended or reset the connection, as it does when it crashes."""


class ResponseTimeoutError(Exception):
    """The peer sent nothing within the time limit."""


class UnresponsivePeerError(OSError):
    """The kernel gave up the connection: the peer's host acknowledged nothing.

    Unlike the kernel's own error, it is no `TimeoutError`, which stands for a
    wait that may be repeated.
    """


class HttpConnection:
    """One TCP connection to a peer, with a timeout on every wait."""

    def __init__(self, sock: socket.socket, *, address: str) -> None:
        """Initializes the connection.

        Args:
            sock: A connected socket, owned by this object.
            address: `IP:PORT` of the peer, for the Host header and messages.
        """
        self._sock = sock
        self._address = address
        self._response: response_parser.ResponseParser | None = None
        self._any_received = False

    def __repr__(self) -> str:
        """Shows the peer."""
        return f"<HttpConnection {self._address}>"

    @property
    def address(self) -> str:
        """`IP:PORT` of the peer."""
        return self._address

    @property
    def response_started(self) -> bool:
        """Whether any byte of the current response has arrived."""
        return self._any_received

    @property
    def response_complete(self) -> bool:
        """Whether the whole response has arrived."""
        return self._response is not None and self._response.complete

    @property
    def response_delimited(self) -> bool:
        """Whether the response states its end, by a length or by chunks."""
        return self._response is not None and self._response.known_end

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection.

        This needs a complete response of known length without
        `Connection: close`, and no bytes or end of stream after it.
        """
        response = self._response
        if response is None or not response.complete or response.extra_bytes:
            return False
        return (
            response.known_end
            and response.keeps_alive
            and self._nothing_to_read()
        )

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
        max_body_bytes: int,
        head_timeout_s: float | None = None,
    ) -> tuple[http_message.ResponseHead, bytes]:
        """Sends a request and reads its complete response.

        Args:
            method: Method of the request.
            target: Path and query.
            headers: Headers except Host and Content-Length.
            body: Body of the request.
            timeout_s: Timeout of the response, s.
            max_body_bytes: Maximum size of the body.
            head_timeout_s: Timeout of the response's head, s; None for the
                timeout of the response.

        Returns:
            The head and the body of the response.

        Raises:
            BrokenConnectionError: The response was incomplete or invalid.
            ResponseTimeoutError: The response did not arrive in time.
        """
        asked_at = time.monotonic()
        deadline = asked_at + timeout_s
        head_deadline = deadline
        if head_timeout_s is not None:
            head_deadline = min(deadline, asked_at + head_timeout_s)
        self.send(
            method=method,
            target=target,
            headers=[(b"host", self._address.encode()), *headers],
            body=body,
            timeout_s=timeout_s,
        )
        head = self.read_head(deadline=head_deadline)
        return head, self.read_body(
            deadline=deadline, max_body_bytes=max_body_bytes
        )

    def send(
        self,
        *,
        method: bytes,
        target: bytes,
        headers: http_message.Headers,
        body: bytes,
        timeout_s: float,
    ) -> None:
        """Sends a complete request.

        Args:
            method: Method of the request.
            target: Path and query.
            headers: All headers except Content-Length.
            body: The body; may be empty.
            timeout_s: Timeout of sending, s.

        Raises:
            BrokenConnectionError: Sending failed; a part may have been sent.
        """
        response = response_parser.ResponseParser(
            without_body=method == b"HEAD"
        )
        self._response = response
        self._any_received = False
        length_header = []
        if body or method not in (b"GET", b"HEAD"):
            length_header = [(b"content-length", str(len(body)).encode())]
        head = http_message.encode_head(
            method + b" " + target + b" HTTP/1.1", headers + length_header
        )
        self._sock.settimeout(max(timeout_s, _MIN_SOCKET_TIMEOUT_S))
        try:
            # Joined they take one packet; a large body isn't copied.
            if len(body) <= _RECEIVE_BYTES:
                head, body = head + body, b""
            self._sock.sendall(head)
            self._sock.sendall(body)
        except ConnectionError as error:
            raise LostConnectionError(f"{self._address}: {error}") from error
        except OSError as error:
            raise BrokenConnectionError(f"{self._address}: {error}") from error

    def read_head(self, *, deadline: float) -> http_message.ResponseHead:
        """Waits for the head of the response.

        Args:
            deadline: Monotonic time at which to give up, s.

        Returns:
            The head of the final response, after any 1xx responses.

        Raises:
            ResponseTimeoutError: The head was incomplete at the deadline.
            BrokenConnectionError: The connection ended before it, or the head
                is too large.
        """
        received = 0
        while self._response.head is None:
            received += self._receive(deadline)
            if received > _MAX_HEAD_BYTES and self._response.head is None:
                raise BrokenConnectionError(
                    f"{self._address}: response head too large"
                )
        return self._response.head

    def read_piece(self, *, deadline: float) -> bytes:
        """Waits for the next bytes of the body.

        Args:
            deadline: Monotonic time at which to give up, s.

        Returns:
            The bytes that have arrived; empty at the end of the response.

        Raises:
            ResponseTimeoutError: Nothing arrived before the deadline.
            BrokenConnectionError: The response ended too early, or its chunk
                headers or trailers are too large.
        """
        response = self._response
        received = 0
        while not response.pieces and not response.complete:
            received += self._receive(deadline)
            if received > _MAX_FRAMING_BYTES and not response.pieces:
                raise BrokenConnectionError(
                    f"{self._address}: chunk framing too large"
                )
        piece = b"".join(response.pieces)
        response.pieces.clear()
        return piece

    def read_body(self, *, deadline: float, max_body_bytes: int) -> bytes:
        """Waits for the complete body.

        Args:
            deadline: Monotonic time at which to give up, s.
            max_body_bytes: Maximum size of the body.

        Raises:
            ResponseTimeoutError: The body was incomplete at the deadline.
            BrokenConnectionError: The body ended too early or is too large.
        """
        body = bytearray()
        while piece := self.read_piece(deadline=deadline):
            body += piece
            if len(body) > max_body_bytes:
                raise ResponseTooLargeError(
                    f"{self._address}: response body too large"
                )
        return bytes(body)

    def _receive(self, deadline: float) -> int:
        try:
            data = receive(self._sock, deadline=deadline)
        except TimeoutError as error:
            raise ResponseTimeoutError(
                f"{self._address}: response timed out"
            ) from error
        except ConnectionError as error:
            raise LostConnectionError(f"{self._address}: {error}") from error
        except OSError as error:
            raise BrokenConnectionError(f"{self._address}: {error}") from error
        if not data:
            self._handle_end_of_stream()
            return 0
        self._any_received = True
        try:
            self._response.feed(data)
        except response_parser.InvalidResponseError as error:
            raise BrokenConnectionError(f"{self._address}: {error}") from error
        return len(data)

    def _nothing_to_read(self) -> bool:
        """Returns whether neither bytes nor the end of stream are pending."""
        self._sock.settimeout(0.0)
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def _handle_end_of_stream(self) -> None:
        self._response.end()
        if not self._response.complete:
            raise LostConnectionError(
                f"{self._address}: closed before the response ended"
            )


def connect(address: str, *, timeout_s: float) -> HttpConnection:
    """Opens a connection.

    Args:
        address: `IP:PORT`.
        timeout_s: Timeout of connecting, s.

    Raises:
        RefusedConnectionError: The peer's host refused the connection.
        ConnectError: The connection could not be opened.
    """
    host, _, port = address.rpartition(":")
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise ConnectError(f"{address}: {error}") from error
    try:
        sock.settimeout(timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_keepalive(sock)
        sock.connect((host, int(port)))
    except ConnectionRefusedError as error:
        sock.close()
        raise RefusedConnectionError(f"{address}: {error}") from error
    except (OSError, ValueError, OverflowError) as error:
        sock.close()
        raise ConnectError(f"{address}: {error}") from error
    except BaseException:
        # Also closes the socket if the greenlet is killed while connecting.
        sock.close()
        raise
    return HttpConnection(sock, address=address)


def receive(
    sock: socket.socket, *, deadline: float, most_bytes: int = _RECEIVE_BYTES
) -> bytes:
    """Returns received bytes, empty at the end of the stream.

    Args:
        sock: A connected socket.
        deadline: Monotonic time at which to give up, s.
        most_bytes: Most bytes to return.

    Raises:
        TimeoutError: Nothing had arrived at the deadline.
        UnresponsivePeerError: The kernel gave up the connection.
        OSError: The connection failed.
    """
    timeout_s = max(deadline - time.monotonic(), _MIN_SOCKET_TIMEOUT_S)
    try:
        return _receive_once(sock, timeout_s=timeout_s, most_bytes=most_bytes)
    except TimeoutError:
        # A busy event loop may run the timer before it reports the bytes.
        pass
    try:
        return _receive_once(sock, timeout_s=0.0, most_bytes=most_bytes)
    except BlockingIOError as error:
        raise TimeoutError("nothing received") from error


def _receive_once(
    sock: socket.socket, *, timeout_s: float, most_bytes: int
) -> bytes:
    sock.settimeout(timeout_s)
    try:
        return sock.recv(most_bytes)
    except TimeoutError as error:
        if error.errno == errno.ETIMEDOUT:
            # The socket's error is cleared now: another read would report the
            # end of the stream.
            raise UnresponsivePeerError(*error.args) from error
        raise


def enable_keepalive(sock: socket.socket) -> None:
    """Makes the kernel close the connection when the peer is dead."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)


@contextlib.contextmanager
def open_connection(
    address: str, *, timeout_s: float
) -> Iterator[HttpConnection]:
    """Opens a connection and closes it when the context ends.

    Args:
        address: `IP:PORT`.
        timeout_s: Timeout of connecting, s.

    Raises:
        ConnectError: The connection could not be opened.
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
    head_timeout_s: float | None = None,
    timeout_s: float,
    max_body_bytes: int = _MAX_BODY_BYTES,
) -> tuple[http_message.ResponseHead, bytes]:
    """Makes one call on a new connection.

    Args:
        address: `IP:PORT`.
        method: Method of the request.
        target: Path and query.
        body: Body of the request.
        headers: Headers except Host and Content-Length.
        connect_timeout_s: Timeout of connecting, s.
        head_timeout_s: Timeout of the response's head, s; None for the timeout
            of the response.
        timeout_s: Timeout of the response, s.
        max_body_bytes: Maximum size of the body.

    Returns:
        The head and the body of the response.

    Raises:
        ConnectError: The connection could not be opened.
        BrokenConnectionError: The response was incomplete or invalid.
        ResponseTimeoutError: The response did not arrive in time.
    """
    with open_connection(address, timeout_s=connect_timeout_s) as connection:
        return connection.exchange(
            method=method,
            target=target,
            headers=headers or [],
            body=body,
            head_timeout_s=head_timeout_s,
            timeout_s=timeout_s,
            max_body_bytes=max_body_bytes,
        )
