"""Authenticated msgpack streams between the system's processes.

Each connection has one reader, the greenlet that iterates over it, and one
writer greenlet. Frames sent in one turn of the event loop leave in one write.
"""

from collections.abc import Callable, Iterator
import contextlib
import logging
import socket
import time
from typing import Any, Protocol

import gevent
from gevent import event
from gevent import server as gevent_server
import gevent.socket
import msgpack

from dotterelgrade import errors
from dotterelgrade import frame_codec
from dotterelgrade import greetings
from dotterelgrade import handshake

_LOG = logging.getLogger(__name__)

MAX_UNSENT_BYTES = 64 * 1024 * 1024
HANDSHAKE_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 2.0
_READ_BYTES = 256 * 1024


class Shaper(Protocol):
    """Delays or cuts frames, for emulated links."""

    def delay_s(self, peer: greetings.Hello, size: int) -> float | None:
        """Returns the delay of a write in seconds, or None to drop the link."""


class Connection:
    """One authenticated stream to a peer.

    Iterating yields checked frames until the stream ends; `send` never blocks.
    """

    def __init__(
        self,
        sock: gevent.socket.socket,
        *,
        peer: greetings.Hello,
        unpacker: msgpack.Unpacker,
        shaper: Shaper | None = None,
    ) -> None:
        """Initializes a connection after its handshake.

        Args:
            sock: The connected socket; the connection owns it from now on.
            peer: The hello of the peer.
            unpacker: The decoder, with what it read past the handshake.
            shaper: Emulated link, or None.
        """
        self._sock = sock
        self._peer = peer
        self._unpacker = unpacker
        self._shaper = shaper
        self._outbox: list[bytes] = []
        self._unsent_bytes = 0
        self._wakeup = event.Event()
        self._closed = False
        self._close_reason = ""
        self._last_heard = time.monotonic()
        self._bytes_sent = 0
        self._bytes_received = 0
        self._writer = gevent.spawn(self._write_loop)

    def __repr__(self) -> str:
        """Shows the peer and whether the stream is open."""
        state = f"closed: {self._close_reason}" if self._closed else "open"
        return f"<Connection {self._peer.host}:{self._peer.port} {state}>"

    @property
    def peer(self) -> greetings.Hello:
        """The hello of the peer."""
        return self._peer

    @property
    def is_open(self) -> bool:
        """Whether frames can still be sent."""
        return not self._closed

    @property
    def close_reason(self) -> str:
        """Why the connection was closed."""
        return self._close_reason

    @property
    def last_heard(self) -> float:
        """Monotonic time in seconds of the last bytes from the peer."""
        return self._last_heard

    @property
    def bytes_sent(self) -> int:
        """Bytes handed to the kernel so far."""
        return self._bytes_sent

    @property
    def bytes_received(self) -> int:
        """Bytes read so far."""
        return self._bytes_received

    def send(self, message: Any) -> bool:
        """Queues a frame.

        Args:
            message: An instance of a registered frame.

        Returns:
            False when the connection is closed, so that the frame is lost.
        """
        return not self._closed and self.send_encoded(
            frame_codec.encode(message)
        )

    def send_encoded(self, data: bytes) -> bool:
        """Queues a frame that `frame_codec.encode` returned; see `send`.

        Args:
            data: One frame, which many connections may share.

        Returns:
            False when the connection is closed, so that the frame is lost.
        """
        if self._closed:
            return False
        self._outbox.append(data)
        self._unsent_bytes += len(data)
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            self.close("peer reads too slowly")
            return False
        self._wakeup.set()
        return True

    def __iter__(self) -> Iterator[Any]:
        """Yields frames until the stream ends, then closes it."""
        try:
            while not self._closed:
                yield from self._decoded()
                data = self._sock.recv(_READ_BYTES)
                if not data:
                    self.close("peer closed")
                    return
                self._last_heard = time.monotonic()
                self._bytes_received += len(data)
                self._unpacker.feed(data)
        except OSError as error:
            self.close(f"read failed: {error}")
        except errors.DotterelgradeError as error:
            self._reject(error.error.message)
        except (ValueError, msgpack.UnpackException) as error:
            self._reject(f"undecodable bytes: {error!r}")

    def _decoded(self) -> Iterator[Any]:
        for value in self._unpacker:
            if self._closed:
                return
            yield frame_codec.from_wire(value)

    def _reject(self, reason: str) -> None:
        _LOG.warning(
            "peer sent an invalid frame",
            extra={"peer": self._peer.host, "reason": reason},
        )
        self.close(reason)

    def _write_loop(self) -> None:
        try:
            while self._outbox or not self._closed:
                if not self._outbox:
                    self._wakeup.wait()
                    self._wakeup.clear()
                    continue
                chunk = b"".join(self._outbox)
                self._outbox.clear()
                if not self._shape(len(chunk)):
                    break
                self._sock.sendall(chunk)
                self._unsent_bytes -= len(chunk)
                self._bytes_sent += len(chunk)
        except OSError as error:
            self.close(f"write failed: {error}")
        finally:
            self._closed = True
            _shut(self._sock)

    def _shape(self, size: int) -> bool:
        if self._shaper is None:
            return True
        delay = self._shaper.delay_s(self._peer, size)
        if delay is None:
            self.close("link cut")
            return False
        if delay > 0:
            gevent.sleep(delay)
        return True

    def close(self, reason: str) -> None:
        """Closes the stream after what is queued was written.

        Args:
            reason: One clause for the log.
        """
        if self._closed:
            return
        self._closed = True
        self._close_reason = reason
        self._wakeup.set()
        gevent.spawn_later(HANDSHAKE_TIMEOUT_S, _shut, self._sock)


def _shut(sock: gevent.socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def _open(
    sock: gevent.socket.socket,
    *,
    identity: handshake.Identity,
    dialing: bool,
    shaper: Shaper | None,
) -> Connection:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        with gevent.Timeout(HANDSHAKE_TIMEOUT_S, TimeoutError("handshake")):
            peer, unpacker = handshake.perform(
                sock, identity=identity, dialing=dialing
            )
    except errors.DotterelgradeError:
        _shut(sock)
        raise
    except (OSError, ValueError, msgpack.UnpackException) as error:
        _shut(sock)
        raise errors.fail(
            errors.ErrorKind.PEER_UNREACHABLE, f"handshake failed: {error!r}"
        ) from error
    return Connection(sock, peer=peer, unpacker=unpacker, shaper=shaper)


def dial(
    host: str,
    port: int,
    *,
    identity: handshake.Identity,
    shaper: Shaper | None = None,
) -> Connection:
    """Connects to a peer and proves the shared key.

    Args:
        host: IP number of the peer.
        port: Port of the peer.
        identity: What this process says about itself.
        shaper: Emulated link, or None.

    Returns:
        An open connection.

    Raises:
        errors.DotterelgradeError: PEER_UNREACHABLE, PEER_UNAUTHENTICATED or
            FRAME_INVALID.
    """
    try:
        # The source address is the process's own, so that peers and emulated
        # links see the host they expect.
        sock = gevent.socket.create_connection(
            (host, port), CONNECT_TIMEOUT_S, source_address=(identity.host, 0)
        )
    except OSError as error:
        raise errors.fail(
            errors.ErrorKind.PEER_UNREACHABLE,
            f"cannot connect to {host}:{port}: {error}",
        ) from error
    sock.settimeout(None)
    return _open(sock, identity=identity, dialing=True, shaper=shaper)


@contextlib.contextmanager
def listening(
    handler: Callable[[Connection], None],
    *,
    identity: handshake.Identity,
    shaper: Shaper | None = None,
) -> Iterator[gevent_server.StreamServer]:
    """Accepts peers on the identity's address while the context is open.

    Binding is exclusive, so two processes can't serve one address.

    Args:
        handler: Called in a greenlet of its own with each open connection.
        identity: What this process says about itself.
        shaper: Emulated link, or None.

    Yields:
        The listening server.

    Raises:
        OSError: The address is in use or not of this host.
    """

    def serve(sock: gevent.socket.socket, address: tuple[str, int]) -> None:
        try:
            connection = _open(
                sock, identity=identity, dialing=False, shaper=shaper
            )
        except errors.DotterelgradeError as error:
            _LOG.warning(
                "peer refused",
                extra={"peer": address[0], "reason": error.error.message},
            )
            return
        try:
            handler(connection)
        finally:
            connection.close("handler ended")

    listener = gevent_server.StreamServer((identity.host, identity.port), serve)
    listener.start()
    try:
        yield listener
    finally:
        listener.stop(timeout=1)
