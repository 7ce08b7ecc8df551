"""Limits on what clients may take up beside the configuration's own limits.

Load: many clients that each stay inside the size limits of one request, but
send or read slowly, send tiny chunks or pipeline requests without reading.
"""

import dataclasses

_MIN_BUFFER_BYTES = 4_096
# A piece of received bytes can complete two requests.
_MIN_PIPELINED = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClientBounds:
    """Limits on connections of clients, none of which a normal one reaches.

    Attributes:
        reserved_descriptors: Descriptors that no new client may take; they are
            left for answers, backend servers, the store and peers.
        address_share: Fraction of the connections that one address may hold
            while others wait.
        pipelined_requests: Most parsed requests that wait on a connection.
        slice_bytes: Most bytes that are parsed in one turn.
        tiny_chunk_share: Fraction of the processor time for bodies whose
            framing is longer than their content.
        body_bytes_per_s: Least rate at which a body arrives, bytes/s.
        body_window_s: Time over which that is averaged, s.
        answer_bytes_per_s: Least rate at which an answer is read, bytes/s.
        answer_window_s: Time over which that is averaged, s.
        receive_buffer_bytes: `SO_RCVBUF` of a client's connection.
        send_buffer_bytes: `SO_SNDBUF` of a client's connection.
    """

    reserved_descriptors: int = 64
    address_share: float = 0.5
    pipelined_requests: int = 16
    slice_bytes: int = 4_096
    tiny_chunk_share: float = 0.25
    body_bytes_per_s: float = 1_024.0
    body_window_s: float = 5.0
    answer_bytes_per_s: float = 1_024.0
    answer_window_s: float = 10.0
    receive_buffer_bytes: int = 65_536
    send_buffer_bytes: int = 65_536

    def __post_init__(self) -> None:
        """Validates the numbers."""
        least = {
            "reserved_descriptors": 0,
            "pipelined_requests": _MIN_PIPELINED,
            "slice_bytes": 1,
            "receive_buffer_bytes": _MIN_BUFFER_BYTES,
            "send_buffer_bytes": _MIN_BUFFER_BYTES,
        }
        for name, minimum in least.items():
            if getattr(self, name) < minimum:
                raise ValueError(f"{name} must be at least {minimum}")
        for name in ("address_share", "tiny_chunk_share"):
            if not 0 < getattr(self, name) <= 1:
                raise ValueError(f"{name} must be above 0 and at most 1")
        for name in ("body_bytes_per_s", "answer_bytes_per_s"):
            if not 0 <= getattr(self, name) < float("inf"):
                raise ValueError(f"{name} must not be negative")
        for name in ("body_window_s", "answer_window_s"):
            if not 0 < getattr(self, name) < float("inf"):
                raise ValueError(f"{name} must be positive")
