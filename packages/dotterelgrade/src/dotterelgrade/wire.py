"""Authenticated msgpack connections between processes.

Each connection has one reader, the greenlet that iterates over it, and one
writer greenlet. Frames sent in one iteration of the event loop are written
together.
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

from dotterelgrade import client_refusals
from dotterelgrade import client_slots
from dotterelgrade import connection_frames
from dotterelgrade import errors
from dotterelgrade import frame_codec
from dotterelgrade import handshake
from dotterelgrade import listen_limits

_LOG = logging.getLogger(__name__)

MAX_UNSENT_BYTES = 64 * 1024 * 1024
HANDSHAKE_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 2.0
_READ_BYTES = 256 * 1024
_MAX_ACCEPT = 8
_LISTENER = "peers"


class Shaper(Protocol):
    """Emulates link delay and link failure."""

    def delay_s(self, peer: connection_frames.Hello, size: int) -> float | None:
        """Returns the delay of a write in seconds, or None to cut the link."""


class Connection:
    """One authenticated connection to a peer.

    Iterating yields valid frames until the connection ends; `send` never
    blocks.
    """

    def __init__(
        self,
        sock: gevent.socket.socket,
        *,
        peer: connection_frames.Hello,
        unpacker: msgpack.Unpacker,
        shaper: Shaper | None = None,
    ) -> None:
        """Initializes a connection after its handshake.

        Args:
            sock: The connected socket, which the connection takes over.
            peer: The hello of the peer.
            unpacker: The decoder, which may hold bytes received after the
                handshake.
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
        self._last_received_at = time.monotonic()
        self._bytes_sent = 0
        self._bytes_received = 0
        self._writer = gevent.spawn(self._write_loop)

    def __repr__(self) -> str:
        """Returns the peer's address and whether the connection is open."""
        state = f"closed: {self._close_reason}" if self._closed else "open"
        return f"<Connection {self._peer.host}:{self._peer.port} {state}>"

    @property
    def peer(self) -> connection_frames.Hello:
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
    def last_received_at(self) -> float:
        """Monotonic time of the last bytes received from the peer, s."""
        return self._last_received_at

    @property
    def bytes_sent(self) -> int:
        """Bytes handed to the kernel so far."""
        return self._bytes_sent

    @property
    def unsent_bytes(self) -> int:
        """Bytes queued and not yet handed to the kernel."""
        return self._unsent_bytes

    @property
    def bytes_received(self) -> int:
        """Bytes read so far."""
        return self._bytes_received

    def send(self, message: Any) -> bool:
        """Queues a frame.

        Args:
            message: An instance of a registered frame.

        Returns:
            False if the connection is closed and the frame is dropped.
        """
        return not self._closed and self.send_encoded(
            frame_codec.encode(message)
        )

    def send_encoded(self, data: bytes) -> bool:
        """Queues a frame encoded by `frame_codec.encode`; see `send`.

        Args:
            data: One frame; the same bytes may be sent to many connections.

        Returns:
            False if the connection is closed and the frame is dropped.
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
        """Yields frames until the connection ends, then closes it."""
        try:
            while not self._closed:
                yield from self._decode_buffered()
                data = self._sock.recv(_READ_BYTES)
                if not data:
                    self.close("peer closed")
                    return
                self._last_received_at = time.monotonic()
                self._bytes_received += len(data)
                self._unpacker.feed(data)
        except OSError as error:
            self.close(f"read failed: {error}")
        except errors.DotterelgradeError as error:
            self._close_invalid(error.error.message)
        except (ValueError, msgpack.UnpackException) as error:
            self._close_invalid(f"undecodable bytes: {error!r}")

    def _decode_buffered(self) -> Iterator[Any]:
        for value in self._unpacker:
            if self._closed:
                return
            yield frame_codec.from_wire(value)

    def _close_invalid(self, reason: str) -> None:
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
                if not self._emulate_link(len(chunk)):
                    break
                self._sock.sendall(chunk)
                self._unsent_bytes -= len(chunk)
                self._bytes_sent += len(chunk)
        except OSError as error:
            self.close(f"write failed: {error}")
        finally:
            self._closed = True
            _close_socket(self._sock)

    def _emulate_link(self, size: int) -> bool:
        if self._shaper is None:
            return True
        delay_s = self._shaper.delay_s(self._peer, size)
        if delay_s is None:
            self.close("emulated link cut")
            return False
        if delay_s > 0:
            gevent.sleep(delay_s)
        return True

    def close(self, reason: str) -> None:
        """Closes the connection once the queued frames are written.

        Args:
            reason: One clause for the log.
        """
        if self._closed:
            return
        self._closed = True
        self._close_reason = reason
        self._wakeup.set()
        gevent.spawn_later(HANDSHAKE_TIMEOUT_S, _close_socket, self._sock)


def _close_socket(sock: gevent.socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def _handshake(
    sock: gevent.socket.socket,
    *,
    identity: handshake.ProcessIdentity,
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
        _close_socket(sock)
        raise
    except gevent.GreenletExit:
        _close_socket(sock)
        raise
    except (OSError, ValueError, msgpack.UnpackException) as error:
        _close_socket(sock)
        kind = (
            errors.ErrorKind.PEER_UNREACHABLE
            if isinstance(error, OSError)
            else errors.ErrorKind.FRAME_INVALID
        )
        raise errors.new_exception(
            kind, f"handshake failed: {error!r}"
        ) from error
    return Connection(sock, peer=peer, unpacker=unpacker, shaper=shaper)


def dial(
    host: str,
    port: int,
    *,
    identity: handshake.ProcessIdentity,
    shaper: Shaper | None = None,
) -> Connection:
    """Connects to a peer and performs the handshake.

    Args:
        host: IP address of the peer.
        port: Port of the peer.
        identity: Identity of this process.
        shaper: Emulated link, or None.

    Returns:
        An open connection.

    Raises:
        errors.DotterelgradeError: PEER_UNREACHABLE, PEER_UNAUTHENTICATED or
            FRAME_INVALID.
    """
    try:
        # Binds the process's own address, so that peers and emulated links
        # see the expected host.
        sock = gevent.socket.create_connection(
            (host, port), CONNECT_TIMEOUT_S, source_address=(identity.host, 0)
        )
    except OSError as error:
        raise errors.new_exception(
            errors.ErrorKind.PEER_UNREACHABLE,
            f"cannot connect to {host}:{port}: {error}",
        ) from error
    sock.settimeout(None)
    return _handshake(sock, identity=identity, dialing=True, shaper=shaper)


class _Strangers:
    """The connections whose handshake has not succeeded yet."""

    def __init__(
        self,
        limits: listen_limits.ListenLimits,
        *,
        refusals: client_refusals.ClientRefusals,
    ) -> None:
        self._slots = client_slots.ClientSlots(
            capacity=limits.handshakes,
            on_closed=lambda slot: refusals.note(
                _LISTENER, client_refusals.Reason.FULL, slot.address
            ),
        )
        self._lines = client_refusals.BoundedLines()

    def meet(
        self, address: str, make: Callable[[], Connection]
    ) -> Connection | None:
        """Returns the connection after its handshake, or None if it failed."""
        greenlet = gevent.getcurrent()
        with self._slots.hold(address, lambda: greenlet.kill(block=False)):
            try:
                return make()
            except errors.DotterelgradeError as error:
                self._log(address, error.error)
                return None
            except gevent.GreenletExit:
                # It made room. An exit that is kept as the result of the
                # greenlet would keep its frames until a full collection.
                return None

    def _log(self, address: str, error: errors.Error) -> None:
        is_lost = error.kind is errors.ErrorKind.PEER_UNREACHABLE
        left_out = self._lines.admit("lost" if is_lost else "refused")
        if left_out is not None:
            _LOG.warning(
                "peer lost" if is_lost else "peer refused",
                extra={
                    "peer": address,
                    "reason": error.message,
                    "left_out": left_out,
                },
            )


@contextlib.contextmanager
def listening(
    handler: Callable[[Connection], None],
    *,
    identity: handshake.ProcessIdentity,
    shaper: Shaper | None = None,
    limits: listen_limits.ListenLimits | None = None,
    refusals: client_refusals.ClientRefusals | None = None,
) -> Iterator[gevent_server.StreamServer]:
    """Accepts connections on the identity's address within the context.

    The bind is exclusive, so two processes can't share an address.

    Args:
        handler: Called with each new connection, in its own greenlet.
        identity: Identity of this process.
        shaper: Emulated link, or None.
        limits: What clients may hold before they have shown that they know
            the key; None for the defaults.
        refusals: Counts those that are refused; None to log them only.

    Yields:
        The listening server.

    Raises:
        OSError: The address is in use or does not belong to this host.
    """
    strangers = _Strangers(
        limits or listen_limits.ListenLimits(),
        refusals=refusals or client_refusals.ClientRefusals(),
    )

    def serve(sock: gevent.socket.socket, address: tuple[str, int]) -> None:
        connection = strangers.meet(
            address[0],
            lambda: _handshake(
                sock, identity=identity, dialing=False, shaper=shaper
            ),
        )
        if connection is None:
            _close_socket(sock)
            return
        try:
            handler(connection)
        finally:
            connection.close("handler ended")

    listener = gevent_server.StreamServer((identity.host, identity.port), serve)
    # Strangers that make room must have gone before many more come.
    listener.max_accept = _MAX_ACCEPT
    listener.start()
    try:
        yield listener
    finally:
        listener.stop(timeout=1)
