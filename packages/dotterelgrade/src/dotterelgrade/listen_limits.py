"""Limits of a socket that untrusted clients can reach."""

import dataclasses
import resource

# Descriptors that connections of clients never take.
RESERVED_DESCRIPTORS = 64

_COUNTS = (
    "connections",
    "handshakes",
    "head_bytes",
    "answer_bytes",
    "buffer_bytes",
)
_TIMES = ("head_timeout_s", "idle_timeout_s", "write_timeout_s")


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListenLimits:
    """What the clients of one listening socket may hold.

    Attributes:
        connections: Most connections open at once.
        handshakes: Most peers whose handshake has not succeeded yet.
        head_bytes: Largest head of a request.
        answer_bytes: Bytes of answers that wait for clients to read them,
            over all connections; a single answer may be larger.
        buffer_bytes: Size of each of the kernel's two buffers of a connection.
        head_timeout_s: Time limit for a client to send a head, s.
        idle_timeout_s: Time that an unused connection stays open, s.
        write_timeout_s: Time over which the rate of reading is averaged, s.
        min_read_rate: Least rate at which a client reads an answer, byte/s.
    """

    connections: int = 32
    handshakes: int = 128
    head_bytes: int = 16_384
    answer_bytes: int = 4 * 1024 * 1024
    buffer_bytes: int = 65_536
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    write_timeout_s: float = 10.0
    min_read_rate: int = 1_024

    def __post_init__(self) -> None:
        """Checks what the types can't express."""
        for name in (*_COUNTS, *_TIMES, "min_read_rate"):
            if not 0 < getattr(self, name) < float("inf"):
                raise ValueError(f"{name}: expected a positive number")

    @property
    def write_piece_bytes(self) -> int:
        """Bytes that a client must take within `write_timeout_s`."""
        return max(1, int(self.min_read_rate * self.write_timeout_s))


def within_descriptors(connections: int) -> int:
    """Returns how many connections the process has descriptors for.

    Args:
        connections: The most that are wanted.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return connections
    return max(1, min(connections, limit - RESERVED_DESCRIPTORS))
