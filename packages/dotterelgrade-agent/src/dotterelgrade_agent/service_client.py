"""HTTP client of a plain service that sends each call at most once."""

import dataclasses
import time
import urllib.parse

import gevent
from returns import result

from dotterelgrade import errors
from dotterelgrade import http_connection
from dotterelgrade import http_message
from dotterelgrade import messages
from dotterelgrade_agent import agent_settings

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
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
        self._address = f"{self._host}:{self._port}"
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
        request = self._request(call)
        if request is None:
            return _failed(
                errors.ErrorKind.BAD_REQUEST,
                "a name or value can't be sent",
                run=errors.RunState.NOT_RUN,
            )
        ends_at = time.monotonic() + limit_s
        try:
            with http_connection.open_connection(
                self._address, timeout_s=limit_s
            ) as connection:
                return self._exchange(connection, request, ends_at=ends_at)
        except http_connection.ConnectError as error:
            return _failed(
                errors.ErrorKind.PEER_UNREACHABLE,
                str(error),
                run=errors.RunState.NOT_RUN,
            )
        except http_connection.ResponseTooLargeError as error:
            return _failed(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                str(error),
                run=errors.RunState.RAN,
            )
        except (
            http_connection.BrokenConnectionError,
            http_connection.ResponseTimeoutError,
        ) as error:
            return _failed(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                str(error),
                run=errors.RunState.UNKNOWN,
            )

    def _request(self, call: messages.Call) -> http_message.Request | None:
        """Returns the request of a call, or None if it can't be sent."""
        path = call.path if call.path.startswith("/") else f"/{call.path}"
        try:
            request = http_message.Request(
                method=call.method.encode("latin-1"),
                target=(self._prefix + path).encode("latin-1"),
                headers=_forwarded(call),
                body=call.body,
                keep_alive=False,
            )
        except UnicodeEncodeError:
            return None
        return request if http_message.is_sendable(request) else None

    def _exchange(
        self,
        connection: http_connection.HttpConnection,
        request: http_message.Request,
        *,
        ends_at: float,
    ) -> result.Result[Reply, errors.Error]:
        head, body = connection.exchange(
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            timeout_s=ends_at - time.monotonic(),
            max_body_bytes=MAX_RESPONSE_BYTES,
        )
        return result.Success(
            Reply(
                status=head.status, headers=_returned(head.headers), body=body
            )
        )


def _forwarded(call: messages.Call) -> http_message.Headers:
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in call.headers.items()
        if name.lower() not in _NOT_FORWARDED
    ]
    if call.key:
        headers.append((_KEY_HEADER.encode(), call.key.encode()))
    return headers


def _returned(headers: http_message.Headers) -> dict[str, str]:
    return {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in headers
        if name.decode("latin-1").lower()
        not in _HOP_BY_HOP | {"content-length"}
    }


def _failed(
    kind: errors.ErrorKind, message: str, *, run: errors.RunState
) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(kind=kind, message=f"service: {message}", run=run)
    )
