"""A loopback proxy that delays, resets, cuts one way and silences."""

import contextlib
import enum
import struct

import gevent
from gevent import event
from gevent import server as gevent_server
from gevent import socket

_RECEIVE_BYTES = 65_536
_CONNECT_TIMEOUT_S = 1.0
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkMode(enum.Enum):
    """What a link does to the bytes on it."""

    PASS = "pass"  # noqa: S105
    DELAY = "delay"
    RESET = "reset"
    # Nothing comes back; what is sent arrives.
    ONE_WAY = "one_way"
    SILENT = "silent"


class FaultProxy:
    """Forwards connections to one target, as its link's mode allows.

    Bytes that a silent link holds up go on when it is well again.
    """

    def __init__(
        self, listen: tuple[str, int], target: tuple[str, int]
    ) -> None:
        """Initializes a proxy that listens and passes everything on.

        Args:
            listen: Where clients connect.
            target: Where their bytes go.

        Raises:
            OSError: The address is taken.
        """
        self._target = target
        self._mode = LinkMode.PASS
        self._delay_s = 0.0
        self._changed = event.Event()
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._muted: set[socket.socket] = set()
        self._server = gevent_server.StreamServer(listen, self._serve)
        self._server.start()
        self.address = f"{listen[0]}:{self._server.server_port}"

    def __repr__(self) -> str:
        """Shows the target and the mode."""
        return f"<FaultProxy to {self._target} {self._mode.value}>"

    def set_mode(self, mode: LinkMode, *, delay_s: float = 0.0) -> None:
        """Changes what the link does.

        Args:
            mode: From now on.
            delay_s: Delay of each piece, s.
        """
        self._mode = mode
        self._delay_s = delay_s
        self._changed.set()
        self._changed.clear()
        if mode is LinkMode.RESET:
            for pair in list(self._pairs):
                reset(*pair)

    def mute_open(self) -> None:
        """Lets the connections that are open fall silent for good."""
        for pair in self._pairs:
            self._muted.update(pair)

    def stop(self) -> None:
        """Ends all connections and stops listening."""
        self._server.stop(timeout=0)
        for pair in list(self._pairs):
            reset(*pair)

    def _serve(self, near: socket.socket, _: object) -> None:
        if self._mode is LinkMode.RESET:
            reset(near)
            return
        try:
            far = socket.create_connection(
                self._target, timeout=_CONNECT_TIMEOUT_S
            )
        except OSError:
            reset(near)
            return
        far.settimeout(None)
        pair = (near, far)
        self._pairs.add(pair)
        try:
            back = gevent.spawn(self._pump, far, near, True)
            self._pump(near, far, False)
            back.join()
        finally:
            self._pairs.discard(pair)
            self._muted.difference_update(pair)
            near.close()
            far.close()

    def _pump(
        self, source: socket.socket, sink: socket.socket, back: bool
    ) -> None:
        try:
            while data := source.recv(_RECEIVE_BYTES):
                self._hold(source, back)
                sink.sendall(data)
            self._hold(source, back)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            reset(source, sink)

    def _hold(self, source: socket.socket, back: bool) -> None:
        """Waits for as long as the link keeps bytes back."""
        if self._mode is LinkMode.DELAY:
            gevent.sleep(self._delay_s)
        while source in self._muted or self._holds(back):
            self._changed.wait(0.05)
            if source.fileno() < 0:
                raise OSError("closed meanwhile")

    def _holds(self, back: bool) -> bool:
        silent = self._mode is LinkMode.SILENT
        return silent or (back and self._mode is LinkMode.ONE_WAY)


def reset(*socks: socket.socket) -> None:
    """Resets connections, so that their peers can't take them for ended."""
    for sock in socks:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        # Without a shutdown before it, which would end the connection.
        sock.close()
