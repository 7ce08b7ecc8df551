"""A crowd of clients that misbehave, and what it costs the process it meets.

Each client connects, does what a test says and then holds its connection. The
process is judged by what does not depend on the speed of the machine: that it
lives, its resident memory and its open descriptors.
"""

from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import os
import pathlib
import socket

import gevent
import gevent.socket

_SETTLE_S = 4.0
_CONNECT_S = 5.0
_ADDRESSES = 5
_SMALL_BUFFER_BYTES = 4_096
_KIB = 1024

Behaviour = Callable[[gevent.socket.socket], None]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """What a process may need more than before a crowd.

    Attributes:
        growth_bytes: Peak of its resident memory above the one before.
        descriptors: Open descriptors in all.
    """

    growth_bytes: int
    descriptors: int


class Watch:
    """The life, memory and descriptors of one process."""

    def __init__(self, pid: int) -> None:
        """Takes the resident memory of a process as the one to compare with.

        Args:
            pid: Identifier of the process.
        """
        self._proc = pathlib.Path("/proc") / str(pid)
        self._before_bytes = self._memory_bytes("VmRSS")

    def __repr__(self) -> str:
        """Shows the process and its memory before the crowd."""
        return f"<Watch {self._proc.name} {self._before_bytes} bytes>"

    def _memory_bytes(self, name: str) -> int:
        for line in (self._proc / "status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) * _KIB
        return 0

    @property
    def growth_bytes(self) -> int:
        """Peak of the resident memory above the one at the beginning."""
        return self._memory_bytes("VmHWM") - self._before_bytes

    @property
    def descriptors(self) -> int:
        """Open descriptors."""
        return len(os.listdir(self._proc / "fd"))

    def faults(self, bounds: Bounds) -> list[str]:
        """Returns what exceeds the bounds, or that the process has ended."""
        try:
            growth, descriptors = self.growth_bytes, self.descriptors
        except OSError:
            return ["the process has ended"]
        found = []
        if growth > bounds.growth_bytes:
            found.append(f"memory grew by {growth} bytes")
        if descriptors > bounds.descriptors:
            found.append(f"{descriptors} descriptors are open")
        return found


def _connect(
    address: tuple[str, int], number: int, reads: bool
) -> gevent.socket.socket:
    sock = gevent.socket.socket()
    if not reads:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
        )
    sock.bind((f"127.77.0.{number % _ADDRESSES + 1}", 0))
    sock.settimeout(_CONNECT_S)
    sock.connect(address)
    return sock


@contextlib.contextmanager
def gathered(
    address: tuple[str, int],
    behave: Behaviour,
    *,
    clients: int,
    reads: bool = True,
) -> Iterator[None]:
    """Lets clients misbehave and holds their connections in the context.

    Args:
        address: IP number and port that they connect to.
        behave: What each does with its connected socket; it may end with an
            OSError.
        clients: How many there are.
        reads: Whether a client has an ordinary receive buffer; a small one
            makes the peer hold what is not read.

    Yields:
        When all have done it, or after some seconds; those that have not
        ended by then go on.
    """
    with contextlib.ExitStack() as held:

        def run(number: int) -> None:
            with contextlib.suppress(OSError):
                sock = held.enter_context(_connect(address, number, reads))
                behave(sock)

        greenlets = [gevent.spawn(run, number) for number in range(clients)]
        try:
            gevent.joinall(greenlets, timeout=_SETTLE_S)
            yield
        finally:
            gevent.killall(greenlets)


def send(data: bytes, *, times: int = 1) -> Behaviour:
    """Returns the behaviour that sends bytes, and then nothing more."""

    def behave(sock: gevent.socket.socket) -> None:
        for _ in range(times):
            sock.sendall(data)

    return behave


def send_slowly(data: bytes, *, pause_s: float) -> Behaviour:
    """Returns the behaviour that sends one byte at a time."""

    def behave(sock: gevent.socket.socket) -> None:
        for number in range(len(data)):
            sock.sendall(data[number : number + 1])
            gevent.sleep(pause_s)

    return behave


def come_again(behave: Behaviour) -> Behaviour:
    """Returns a behaviour that opens a new connection when one is closed."""

    def repeat(sock: gevent.socket.socket) -> None:
        address = sock.getpeername()
        while True:
            with contextlib.suppress(OSError):
                sock.settimeout(None)
                behave(sock)
                while sock.recv(_KIB):
                    pass
            sock.close()
            gevent.sleep(0.1)
            with contextlib.suppress(OSError):
                sock = gevent.socket.create_connection(address, _CONNECT_S)

    return repeat
