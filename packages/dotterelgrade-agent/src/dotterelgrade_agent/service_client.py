"""HTTP client of a plain service that sends each call at most once."""

import dataclasses
from typing import Any
import urllib.parse

import gevent
import geventhttpclient.connectionpool
from returns import result

from dotterelgrade import errors
from dotterelgrade import messages
from dotterelgrade_agent import agent_settings

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
_READ_BYTES = 64 * 1024
_FAILURES = (OSError, ValueError, geventhttpclient.response.HTTPParseError)
_KEY_HEADER = "idempotency-key"
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_NOT_FORWARDED = _HOP_BY_HOP | {
    "host",
    "content-length",
    "expect",
    _KEY_HEADER,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """The whole answer of a service.

    Attributes:
        status: HTTP status.
        headers: Headers to pass back.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class _SecondSendError(OSError):
    """The library wanted to send a request again."""


class _SingleUsePool(geventhttpclient.connectionpool.ConnectionPool):
    """Hands out one fresh connection, so that a request is sent once."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.is_connected = False

    def get_socket(self) -> Any:
        if self.is_connected:
            raise _SecondSendError("a request is sent only once")
        sock = super().get_socket()
        self.is_connected = True
        return sock


class _SingleUseClient(geventhttpclient.HTTPClient):
    """Sends one request over one fresh connection."""

    def __init__(self, host: str, port: int, *, timeout_s: float) -> None:
        super().__init__(host, port)
        self._connection_pool = _SingleUsePool(
            host,
            port,
            host,
            port,
            size=1,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )

    @property
    def is_connected(self) -> bool:
        return self._connection_pool.is_connected


class ServiceClient:
    """Calls one plain service; it tells what may have run."""

    def __init__(self, settings: agent_settings.BackendSettings) -> None:
        """Initializes the client.

        Args:
            settings: The backend server.
        """
        parts = urllib.parse.urlsplit(settings.url)
        self._host = parts.hostname or ""
        self._port = parts.port or 80
        self._prefix = parts.path.rstrip("/")

    def __repr__(self) -> str:
        """Shows the service's address."""
        return f"<ServiceClient {self._host}:{self._port}>"

    def answers(self, *, timeout_s: float) -> bool:
        """Whether the service accepts connections."""
        try:
            sock = gevent.socket.create_connection(
                (self._host, self._port), timeout_s
            )
        except OSError:
            return False
        sock.close()
        return True

    def call(
        self, call: messages.Call, *, limit_s: float
    ) -> result.Result[Reply, errors.Error]:
        """Sends a call once.

        Args:
            call: The call.
            limit_s: Time limit, s.

        Returns:
            The answer, or an error whose run state is `not_run` only when
            nothing of the call reached the service.
        """
        client = _SingleUseClient(self._host, self._port, timeout_s=limit_s)
        try:
            with gevent.Timeout(limit_s, TimeoutError("no answer in time")):
                return self._exchange(client, call)
        except _FAILURES as error:
            return _failed(error, may_have_run=client.is_connected)
        finally:
            client.close()

    def _exchange(
        self, client: _SingleUseClient, call: messages.Call
    ) -> result.Result[Reply, errors.Error]:
        path = call.path if call.path.startswith("/") else f"/{call.path}"
        response = client.request(
            call.method,
            self._prefix + path,
            body=call.body,
            headers=_forwarded(call),
        )
        body = bytearray()
        while chunk := response.read(_READ_BYTES):
            body += chunk
            if len(body) > MAX_RESPONSE_BYTES:
                return result.Failure(
                    errors.Error(
                        kind=errors.ErrorKind.OUTCOME_UNKNOWN,
                        message="the service's answer is too large",
                        run=errors.RunState.RAN,
                    )
                )
        return result.Success(
            Reply(
                status=response.status_code,
                headers=_returned(response.items()),
                body=bytes(body),
            )
        )


def _forwarded(call: messages.Call) -> dict[str, str]:
    headers = {
        name: value
        for name, value in call.headers.items()
        if name.lower() not in _NOT_FORWARDED
    }
    if call.key:
        headers["Idempotency-Key"] = call.key
    return headers


def _returned(items: Any) -> dict[str, str]:
    return {
        name: value
        for name, value in items
        if name.lower() not in _HOP_BY_HOP | {"content-length"}
    }


def _failed(
    error: Exception, *, may_have_run: bool
) -> result.Failure[errors.Error]:
    if may_have_run:
        kind, run = errors.ErrorKind.OUTCOME_UNKNOWN, errors.RunState.UNKNOWN
    elif isinstance(error, ValueError):
        kind, run = errors.ErrorKind.BAD_REQUEST, errors.RunState.NOT_RUN
    else:
        kind, run = errors.ErrorKind.PEER_UNREACHABLE, errors.RunState.NOT_RUN
    return result.Failure(
        errors.Error(kind=kind, message=f"service: {error!r}", run=run)
    )
