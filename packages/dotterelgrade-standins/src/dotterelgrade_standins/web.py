"""Small JSON applications over WSGI, with connections that can be dropped."""

from collections.abc import Callable, Iterable, Iterator
import contextlib
import dataclasses
import json
import re
import socket
from typing import Any
import urllib.parse

from gevent import pywsgi

from dotterelgrade import wsgi

_SOCKET_KEY = "dotterelgrade.socket"
_STOP_TIMEOUT_S = 0.05


class DropConnectionError(Exception):
    """Ends a call without an answer, as a lost connection does."""


class HttpError(Exception):
    """Answers a call with an error status and a JSON value."""

    def __init__(self, status: int, value: Any) -> None:
        """Initializes the exception.

        Args:
            status: HTTP status.
            value: JSON value of the answer.
        """
        super().__init__(f"{status}: {value}")
        self.status = status
        self.value = value


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One HTTP call.

    Attributes:
        method: HTTP method.
        path: Path without the query string.
        query: Query parameters.
        headers: Headers in lower case.
        body: Request body.
        groups: What the groups of the route's pattern matched.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    groups: tuple[str, ...] = ()

    def json(self) -> Any:
        """Returns the decoded body.

        Raises:
            HttpError: 400, the body isn't JSON.
        """
        try:
            return json.loads(self.body or b"{}")
        except (ValueError, RecursionError) as error:
            raise HttpError(400, {"error": f"invalid JSON: {error}"}) from error

    def number(self, name: str, default: int) -> int:
        """Returns a whole number of the query, or the default.

        Raises:
            HttpError: 400, it isn't one.
        """
        text = self.query.get(name, str(default))
        if not text.isdecimal():
            raise HttpError(400, {"error": f"{name}: expected a whole number"})
        return int(text)


Handler = Callable[[Call], Any]


class JsonApp:
    """A WSGI application whose handlers take a call and return JSON values.

    A handler that returns bytes answers them as they are.
    """

    def __init__(
        self, *, headers: Callable[[], Iterable[tuple[str, str]]] = tuple
    ) -> None:
        """Initializes an application without routes.

        Args:
            headers: Returns further headers of every answer.
        """
        self._headers = headers
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []

    def route(self, method: str, pattern: str, handler: Handler) -> None:
        """Adds a route.

        Args:
            method: HTTP method.
            pattern: Regular expression that matches the whole path.
            handler: Called with the call.
        """
        self._routes.append((method, re.compile(pattern), handler))

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answers one HTTP call."""
        try:
            status, value = 200, self._dispatch(_to_call(environ))
        except HttpError as error:
            status, value = error.status, error.value
        except DropConnectionError:
            environ[_SOCKET_KEY].shutdown(socket.SHUT_RDWR)
            raise
        raw = isinstance(value, bytes)
        body = value if raw else json.dumps(value).encode()
        kind = "application/octet-stream" if raw else "application/json"
        headers = [("Content-Type", kind), ("Content-Length", str(len(body)))]
        headers += self._headers()
        start_response(f"{status} {'OK' if status < 400 else 'Error'}", headers)
        return [body]

    def _dispatch(self, call: Call) -> Any:
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(call.path)
            if match and method == call.method:
                groups = tuple(group or "" for group in match.groups())
                return handler(dataclasses.replace(call, groups=groups))
        raise HttpError(404, {"error": f"no route for {call.path}"})


def _to_call(environ: dict[str, Any]) -> Call:
    headers = {
        name[5:].lower().replace("_", "-"): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    return Call(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(urllib.parse.parse_qsl(environ["QUERY_STRING"])),
        headers=headers,
        body=environ["wsgi.input"].read(),
    )


class _Handler(wsgi.NoDelayHandler):
    """Gives applications their socket, and stays quiet about dropped calls."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[_SOCKET_KEY] = self.socket
        return environ

    def handle_error(self, kind: Any, value: Any, trace: Any) -> None:
        if isinstance(value, DropConnectionError):
            self.close_connection = True
            return
        super().handle_error(kind, value, trace)


@contextlib.contextmanager
def serving(
    app: Callable[..., Iterable[bytes]], *, host: str, port: int
) -> Iterator[pywsgi.WSGIServer]:
    """Serves an application while the context is open.

    Args:
        app: The application.
        host: IP number to bind.
        port: TCP port to bind.

    Yields:
        The listening server.

    Raises:
        OSError: The address can't be bound.
    """
    with wsgi.serving_unlimited(
        app,
        host=host,
        port=port,
        handler_class=_Handler,
        stop_timeout_s=_STOP_TIMEOUT_S,
    ) as server:
        yield server


def apply_changes(current: Any, changes: Any) -> Any:
    """Returns a settings object with the given fields replaced.

    Args:
        current: An instance of a frozen data class.
        changes: Map of field names to new values.

    Returns:
        The changed copy.

    Raises:
        HttpError: 400, for an unknown field or a value of another type.
    """
    if not isinstance(changes, dict):
        raise HttpError(400, {"error": "expected an object"})
    for name, value in changes.items():
        known = getattr(current, name, None)
        if known is None:
            raise HttpError(400, {"error": f"unknown field: {name}"})
        if isinstance(known, bool) != isinstance(value, bool) or not isinstance(
            value, bool | int | float
        ):
            raise HttpError(400, {"error": f"{name}: unexpected {value!r}"})
    return dataclasses.replace(current, **changes)
