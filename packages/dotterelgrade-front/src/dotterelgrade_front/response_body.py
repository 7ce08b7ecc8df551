"""The body of a response, held while it is small and read in pieces beyond."""

from collections.abc import Iterator
import time

import gevent

from dotterelgrade import http_connection
from dotterelgrade import http_message
from dotterelgrade import memory_budget

# A response up to this size can be tried again at another backend server if it
# breaks off; of a larger one the caller has received a part.
MAX_HELD_BYTES = 262_144
MAX_BODY_BYTES = 16_777_216
# Wait for a piece once a caller that reads slowly has passed the deadline.
_LATE_PIECE_TIMEOUT_S = 1.0


class ResponseBody:
    """Reads the body of one response within the memory that is granted."""

    def __init__(
        self,
        connection: http_connection.HttpConnection,
        *,
        head: http_message.ResponseHead,
        account: memory_budget.Account,
        deadline: float,
    ) -> None:
        """Initializes a body of which nothing has been read.

        Args:
            connection: Delivers the body; it stays open for the rest of it.
            head: Head of the response.
            account: Is charged for the bytes held.
            deadline: Monotonic time at which to give up, s.

        Raises:
            http_connection.ResponseTooLargeError: The head states a larger
                body than is permitted.
        """
        self._connection = connection
        self._account = account
        self._deadline = deadline
        self._start = b""
        self._whole = False
        self._length = None
        if not connection.response_complete:
            # A response without a body may state a length all the same.
            self._length = http_message.content_length(head.headers)
        self._check_size(self._length or 0)

    def __repr__(self) -> str:
        """Shows the bytes held."""
        kind = "whole" if self._whole else "partial"
        return f"<ResponseBody {len(self._start)} bytes, {kind}>"

    @property
    def start(self) -> bytes:
        """The bytes held, all of them if it is whole."""
        return self._start

    @property
    def whole(self) -> bool:
        """Whether the complete body is held."""
        return self._whole

    @property
    def length(self) -> int | None:
        """Size that the head states, bytes, or None."""
        return self._length

    def read_start(self) -> None:
        """Reads until the body is complete or no more of it may be held.

        Raises:
            http_connection.BrokenConnectionError: It ended too early.
            http_connection.ResponseTimeoutError: The deadline passed.
        """
        if (self._length or 0) > MAX_HELD_BYTES:
            return
        pieces = []
        held_bytes = 0
        while self._account.resize(held_bytes) and held_bytes <= MAX_HELD_BYTES:
            piece = self._read_piece(self._deadline)
            if not piece:
                self._whole = True
                break
            pieces.append(piece)
            held_bytes += len(piece)
        self._start = b"".join(pieces)

    def pieces(self) -> Iterator[bytes]:
        """Yields what is held, then the rest as it arrives; never empty bytes.

        A caller may read more slowly than the deadline allows. It gets the rest
        of a body of known size as long as bytes arrive.

        Raises:
            http_connection.ResponseTooLargeError: It exceeds the size limit.
            http_connection.BrokenConnectionError: It ended too early.
            http_connection.ResponseTimeoutError: The deadline passed.
        """
        size = len(self._start)
        if self._start:
            yield self._start
        self._start = b""
        self._account.close()
        while not self._whole:
            piece = self._read_piece(self._piece_deadline())
            if not piece:
                return
            size += len(piece)
            self._check_size(size)
            yield piece

    def _piece_deadline(self) -> float:
        now = time.monotonic()
        if self._length is not None:
            return max(self._deadline, now + _LATE_PIECE_TIMEOUT_S)
        if now > self._deadline:
            raise http_connection.ResponseTimeoutError(
                f"{self._connection.address}: no end before the deadline"
            )
        return self._deadline

    def _read_piece(self, deadline: float) -> bytes:
        piece = self._connection.read_piece(deadline=deadline)
        if piece:
            # A socket with unread bytes returns at once: a turn for others.
            gevent.sleep(0)
        return piece

    def _check_size(self, size: int) -> None:
        if size > MAX_BODY_BYTES:
            raise http_connection.ResponseTooLargeError(
                f"{self._connection.address}: response body of over "
                f"{MAX_BODY_BYTES} bytes"
            )


def read_whole(
    connection: http_connection.HttpConnection,
    *,
    head: http_message.ResponseHead,
    account: memory_budget.Account,
    deadline: float,
) -> bytes:
    """Reads a body that can't be passed on in pieces.

    Args:
        connection: Delivers the body.
        head: Head of the response.
        account: Is charged for the bytes; the caller closes it.
        deadline: Monotonic time at which to give up, s.

    Raises:
        http_connection.ResponseTooLargeError: No more of it may be held.
        http_connection.BrokenConnectionError: It ended too early.
        http_connection.ResponseTimeoutError: The deadline passed.
    """
    body = ResponseBody(
        connection, head=head, account=account, deadline=deadline
    )
    body.read_start()
    if not body.whole:
        raise http_connection.ResponseTooLargeError(
            f"{connection.address}: no room for the response body"
        )
    return body.start
