"""A pool with one idle HTTP connection per address.

One process polls a hundred others for their state, each every second or two; a
new connection for each poll costs both sides more than the poll itself. Use the
pool only for calls that may be repeated and whose response may be slightly out
of date: a peer may have dropped an idle connection without notice, and a
response may arrive twice.
"""

from collections.abc import Callable
import dataclasses
import http
import time

from dotterelgrade import http_connection
from dotterelgrade import http_message

# Peers close idle connections after a few seconds.
MAX_IDLE_S = 2.5
MAX_IDLE_CONNECTIONS = 512
# Part of the timeout that a reused connection may take. If it is dead, the rest
# is left for a new one.
_REUSED_TIMEOUT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class _IdleConnection:
    connection: http_connection.HttpConnection
    idle_since: float


class ConnectionPool:
    """A pool of at most one idle connection per address."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Initializes an empty pool.

        Args:
            clock: Returns the monotonic time, s.
        """
        self._clock = clock
        self._idle: dict[str, _IdleConnection] = {}

    def __repr__(self) -> str:
        """Shows how many connections are idle."""
        return f"<ConnectionPool {len(self._idle)} idle>"

    def get(
        self,
        address: str,
        *,
        target: bytes,
        connect_timeout_s: float,
        timeout_s: float,
        max_body_bytes: int,
    ) -> tuple[http_message.ResponseHead, bytes]:
        """Gets a resource.

        Args:
            address: `IP:PORT`.
            target: Path and query.
            connect_timeout_s: Timeout of opening a connection, s.
            timeout_s: Timeout of the response, s.
            max_body_bytes: Maximum size of the body.

        Returns:
            The head and the body of the response.

        Raises:
            http_connection.ConnectError: The connection could not be opened.
            http_connection.BrokenConnectionError: The response was incomplete
                or invalid.
            http_connection.ResponseTimeoutError: The response did not arrive in
                time.
        """
        reused = self._take(address)
        if reused is not None:
            reused_timeout_s = timeout_s * _REUSED_TIMEOUT_SHARE
            response = self._exchange_reused(
                address,
                reused,
                target=target,
                timeout_s=reused_timeout_s,
                max_body_bytes=max_body_bytes,
            )
            if response is not None:
                return response
            timeout_s -= reused_timeout_s
        return self._exchange(
            address,
            http_connection.connect(address, timeout_s=connect_timeout_s),
            target=target,
            timeout_s=timeout_s,
            max_body_bytes=max_body_bytes,
        )

    def _exchange_reused(
        self,
        address: str,
        connection: http_connection.HttpConnection,
        *,
        target: bytes,
        timeout_s: float,
        max_body_bytes: int,
    ) -> tuple[http_message.ResponseHead, bytes] | None:
        """Returns the response, or None if a new connection has to confirm it.

        The connection may have been lost while idle, and a failure may be a
        duplicate of an earlier response.
        """
        try:
            head, body = self._exchange(
                address,
                connection,
                target=target,
                timeout_s=timeout_s,
                max_body_bytes=max_body_bytes,
            )
        except (
            http_connection.BrokenConnectionError,
            http_connection.ResponseTimeoutError,
        ):
            return None
        if head.status == http.HTTPStatus.OK:
            return head, body
        self._drop(address)
        return None

    def _exchange(
        self,
        address: str,
        connection: http_connection.HttpConnection,
        *,
        target: bytes,
        timeout_s: float,
        max_body_bytes: int,
    ) -> tuple[http_message.ResponseHead, bytes]:
        try:
            response = connection.exchange(
                method=b"GET",
                target=target,
                headers=[],
                timeout_s=timeout_s,
                max_body_bytes=max_body_bytes,
            )
        except BaseException:
            connection.close()
            raise
        self._put(address, connection)
        return response

    def _take(self, address: str) -> http_connection.HttpConnection | None:
        """Returns the idle connection of an address if it can be reused."""
        idle = self._idle.pop(address, None)
        if idle is None:
            return None
        fresh = self._clock() - idle.idle_since <= MAX_IDLE_S
        if fresh and idle.connection.reusable:
            return idle.connection
        idle.connection.close()
        return None

    def _put(
        self, address: str, connection: http_connection.HttpConnection
    ) -> None:
        self._close_expired()
        full = len(self._idle) >= MAX_IDLE_CONNECTIONS
        if full or address in self._idle or not connection.reusable:
            connection.close()
            return
        self._idle[address] = _IdleConnection(
            connection=connection, idle_since=self._clock()
        )

    def _drop(self, address: str) -> None:
        """Closes the idle connection of an address, if there is one."""
        idle = self._idle.pop(address, None)
        if idle is not None:
            idle.connection.close()

    def _close_expired(self) -> None:
        """Closes connections that have been idle for too long.

        The oldest ones come first, because new ones are added at the end.
        """
        oldest_usable_s = self._clock() - MAX_IDLE_S
        for address, idle in list(self._idle.items()):
            if idle.idle_since >= oldest_usable_s:
                return
            del self._idle[address]
            idle.connection.close()
