"""Connections that are kept for the next call to the same address.

Load pattern: one process asks a hundred others for their state, each every
second or two; a connection for each question costs both sides more than the
question. Only calls that may be repeated and whose answers may be a little old
go this way: a peer may have dropped an idle connection without notice, and an
answer may come twice.
"""

from collections.abc import Callable
import dataclasses
import time

from dotterelgrade import http_connection
from dotterelgrade import http_message

# Peers close idle connections after a few seconds.
LONGEST_IDLE_S = 2.5
MOST_IDLE = 512
# A kept connection may have fallen silent; the rest is for a new one.
_KEPT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Idle:
    connection: http_connection.HttpConnection
    since: float


class KeptConnections:
    """At most one idle connection for each address."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Initializes a store without connections.

        Args:
            clock: Monotonic time, s.
        """
        self._clock = clock
        self._idle: dict[str, _Idle] = {}

    def __repr__(self) -> str:
        """Shows how many connections are idle."""
        return f"<KeptConnections {len(self._idle)} idle>"

    def get(
        self,
        address: str,
        *,
        target: bytes,
        connect_timeout_s: float,
        timeout_s: float,
        most_bytes: int,
    ) -> tuple[http_message.ResponseHead, bytes]:
        """Reads a resource.

        Args:
            address: `IP:PORT`.
            target: Path and query.
            connect_timeout_s: Longest time for a new connection, s.
            timeout_s: Longest time for the answer, s.
            most_bytes: Largest body that is accepted.

        Returns:
            The head and the body of the answer.

        Raises:
            http_connection.ConnectError: The peer was not reached.
            http_connection.BrokenConnectionError: There was no whole answer.
            http_connection.AnswerTimeoutError: There was no answer in time.
        """
        kept = self._take(address)
        if kept is not None:
            try:
                return self._exchange(
                    address,
                    kept,
                    target=target,
                    timeout_s=timeout_s * _KEPT_SHARE,
                    most_bytes=most_bytes,
                )
            except (
                http_connection.BrokenConnectionError,
                http_connection.AnswerTimeoutError,
            ):
                # It was lost while idle; a new one shows how the peer is.
                timeout_s -= timeout_s * _KEPT_SHARE
        return self._exchange(
            address,
            http_connection.connect(address, timeout_s=connect_timeout_s),
            target=target,
            timeout_s=timeout_s,
            most_bytes=most_bytes,
        )

    def _exchange(
        self,
        address: str,
        connection: http_connection.HttpConnection,
        *,
        target: bytes,
        timeout_s: float,
        most_bytes: int,
    ) -> tuple[http_message.ResponseHead, bytes]:
        try:
            answer = connection.exchange(
                method=b"GET",
                target=target,
                headers=[],
                timeout_s=timeout_s,
                most_bytes=most_bytes,
            )
        except BaseException:
            connection.close()
            raise
        self._keep(address, connection)
        return answer

    def _take(self, address: str) -> http_connection.HttpConnection | None:
        """Returns an idle connection if it is fit for a further call."""
        idle = self._idle.pop(address, None)
        if idle is None:
            return None
        young = self._clock() - idle.since <= LONGEST_IDLE_S
        if young and idle.connection.reusable:
            return idle.connection
        idle.connection.close()
        return None

    def _keep(
        self, address: str, connection: http_connection.HttpConnection
    ) -> None:
        self._close_old()
        full = len(self._idle) >= MOST_IDLE
        if full or address in self._idle or not connection.reusable:
            connection.close()
            return
        self._idle[address] = _Idle(connection=connection, since=self._clock())

    def _close_old(self) -> None:
        """Closes connections to addresses that nobody asks any more.

        The oldest ones come first, since each is put in at the end.
        """
        oldest = self._clock() - LONGEST_IDLE_S
        for address, idle in list(self._idle.items()):
            if idle.since >= oldest:
                return
            del self._idle[address]
            idle.connection.close()
