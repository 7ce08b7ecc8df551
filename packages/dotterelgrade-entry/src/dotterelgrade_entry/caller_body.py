"""Reads the body of a caller's request, within limits of rate and memory.

Load pattern: many bodies of legal size that stop short of their end, or come in
chunks of a byte. Bytes are charged to one budget as they arrive, and framing
that costs more than its content shares a part of the processor time.
"""

from collections.abc import Iterator
import dataclasses
from typing import Any

import gevent

from dotterelgrade import client_slots
from dotterelgrade import errors
from dotterelgrade import memory_budget
from dotterelgrade import work_share
from dotterelgrade_entry import chunk_decoder

_READ_BYTES = 16 * 1024
_SLICE_BYTES = 4 * 1024
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_LINGER_S = 0.3
_LINGER_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class BodyLimits:
    """What a body may take.

    Attributes:
        min_rate: Least rate at which it is sent, byte/s.
        rate_window_s: Time over which that is averaged, s.
        framing: Turns of bodies whose framing costs more than their content.
    """

    min_rate: int
    rate_window_s: float
    framing: work_share.WorkShare

    @property
    def window_bytes(self) -> int:
        """Bytes that must arrive within `rate_window_s`."""
        return max(1, int(self.min_rate * self.rate_window_s))


class CallerBody:
    """The body of one request; stands in for the input of `pywsgi`."""

    def __init__(
        self,
        handler: Any,
        *,
        limits: BodyLimits,
        account: memory_budget.Account,
    ) -> None:
        """Initializes a body of which nothing was read.

        Args:
            handler: The `pywsgi` handler, with its head parsed.
            limits: What it may take.
            account: What its bytes are charged to.
        """
        self._handler = handler
        self._limits = limits
        self._account = account
        self._left = handler.content_length or 0
        fields = handler.headers
        coding = fields.get("transfer-encoding", "").lower()
        self._chunks = None
        if coding == "chunked":
            self._chunks = chunk_decoder.ChunkDecoder()
        self._expects_continue = (
            fields.get("expect", "").lower() == "100-continue"
        )
        self._arrived_bytes = 0
        self._head_cost_bytes = account.held_bytes
        self._is_costly = False

    def __repr__(self) -> str:
        """Shows the bytes that have arrived."""
        return f"<CallerBody {self._arrived_bytes} bytes>"

    @property
    def is_complete(self) -> bool:
        """Whether nothing of it is left to read."""
        if self._chunks is not None:
            return self._chunks.is_complete
        return not self._left

    def read_whole(self, *, most_bytes: int) -> bytes:
        """Reads the body.

        Args:
            most_bytes: Its largest size.

        Raises:
            errors.DotterelgradeError: BODY_TOO_LARGE, REQUEST_TIMEOUT or
                NO_MEMORY.
            OSError: The caller has left.
            ValueError: The framing is broken.
        """
        if self._expects_continue:
            self._expects_continue = False
            self._handler.socket.sendall(_CONTINUE)
        body = bytearray()
        slow = errors.new_exception(
            errors.ErrorKind.REQUEST_TIMEOUT,
            f"the body came slower than {self._limits.min_rate} bytes/s",
        )
        while not self.is_complete:
            with gevent.Timeout(self._limits.rate_window_s, slow):
                for content in self._pieces(self._limits.window_bytes):
                    self._keep(body, content, most_bytes)
        return bytes(body)

    def _keep(self, body: bytearray, content: bytes, most_bytes: int) -> None:
        if len(body) + len(content) > most_bytes:
            raise errors.new_exception(
                errors.ErrorKind.BODY_TOO_LARGE,
                f"the body is larger than {most_bytes} bytes",
            )
        size = self._head_cost_bytes + len(body) + len(content)
        if not self._account.resize(size):
            raise errors.new_exception(
                errors.ErrorKind.NO_MEMORY, "no memory for the body"
            )
        body += content

    def _pieces(self, count: int) -> Iterator[bytes]:
        """Yields content until so many bytes have arrived, or the end."""
        ends_at = self._arrived_bytes + count
        while self._arrived_bytes < ends_at and not self.is_complete:
            if self._chunks is None:
                yield self._read_plain()
            else:
                yield self._read_chunked()
            gevent.sleep(0)

    def _read_plain(self) -> bytes:
        data = self._handler.rfile.read1(min(self._left, _READ_BYTES))
        if not data:
            raise OSError("the caller has left")
        self._left -= len(data)
        self._arrived_bytes += len(data)
        return data

    def _read_chunked(self) -> bytes:
        data = self._handler.rfile.peek(1)[:_SLICE_BYTES]
        if not data:
            raise OSError("the caller has left")
        if self._is_costly:
            with self._limits.framing.turn():
                content = self._chunks.feed(data)
        else:
            content = self._chunks.feed(data)
        used = len(data)
        if self._chunks.is_complete:
            used -= len(self._chunks.rest)
        self._handler.rfile.read(used)
        self._arrived_bytes += used
        self._is_costly = 2 * len(content) < used
        return content

    def _discard(self) -> None:
        """Reads the rest for a moment; the connection ends if it is longer."""
        if self.is_complete or self._expects_continue:
            self._handler.close_connection |= self._expects_continue
            return
        self._handler.slot.enter(client_slots.Phase.CLOSING)
        try:
            with gevent.Timeout(_LINGER_S, TimeoutError("linger")):
                for _ in self._pieces(_LINGER_BYTES):
                    pass
        except (OSError, ValueError):
            self._handler.close_connection = True
        if not self.is_complete:
            self._handler.close_connection = True
