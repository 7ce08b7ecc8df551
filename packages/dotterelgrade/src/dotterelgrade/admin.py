"""Admin HTTP endpoint: state, metrics, health checks and decision journal."""

from collections.abc import Callable, Iterable
import dataclasses
import json
from typing import Any, Protocol
import urllib.parse

from dotterelgrade import journal as journal_lib
from dotterelgrade import metrics as metrics_lib
from dotterelgrade import work_share

Handler = Callable[[str, dict[str, str]], tuple[int, Any]]

_CHECKS = frozenset(("ready", "readyz", "healthz"))


class Process(Protocol):
    """Interface of a process that the admin endpoint exposes."""

    @property
    def metrics(self) -> metrics_lib.Metrics:
        """The metrics of the process."""

    @property
    def journal(self) -> journal_lib.Journal:
        """The journal of decisions of the process."""

    @property
    def is_ready(self) -> bool:
        """Whether the process accepts new requests."""

    def dump(self) -> dict[str, Any]:
        """Returns the complete state as JSON values."""


class AdminApp:
    """WSGI application with the routes that both programs share.

    `GET /state`, `/metrics`, `/healthz`, `/readyz`, `/journal`,
    `/explain/REQUEST_ID`; each program adds its own with `route`.
    """

    def __init__(self, process: Process) -> None:
        """Initializes the application.

        Args:
            process: The process to expose.
        """
        self._process = process
        self._share = work_share.WorkShare()
        self._routes: dict[tuple[str, str], Handler] = {}
        self.route("GET", "state", lambda _, __: (200, process.dump()))
        self.route("GET", "healthz", lambda _, __: (200, {"healthy": True}))
        self.route("GET", "readyz", self.ready)
        self.route("GET", "journal", self._handle_journal)
        self.route("GET", "explain", self._handle_explain)

    def route(self, method: str, name: str, handler: Handler) -> None:
        """Adds a route.

        Args:
            method: HTTP method.
            name: First segment of the path.
            handler: Takes the rest of the path and the query; returns the
                status and a JSON value.
        """
        self._routes[(method, name)] = handler

    def ready(self, _: str, __: dict[str, str]) -> tuple[int, Any]:
        """Handles `GET /readyz`: 200 if new requests are accepted, else 503."""
        ready = self._process.is_ready
        return (200 if ready else 503), {"ready": ready}

    def _handle_journal(self, _: str, query: dict[str, str]) -> tuple[int, Any]:
        count = query.get("count", "100")
        if not count.isdecimal():
            return 400, {"error": "count: expected a non-negative integer"}
        entries = self._process.journal.latest(int(count))
        return 200, [dataclasses.asdict(entry) for entry in entries]

    def _handle_explain(
        self, request_id: str, _: dict[str, str]
    ) -> tuple[int, Any]:
        entries = self._process.journal.for_request(request_id)
        status = 200 if entries else 404
        return status, [dataclasses.asdict(entry) for entry in entries]

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serves one HTTP request.

        What is costly to compute takes turns, so that checks are answered
        while many clients ask for it.
        """
        path = environ["PATH_INFO"].strip("/")
        name, _, rest = path.partition("/")
        if name in _CHECKS:
            return self._answer(environ, start_response, path, rest)
        with self._share.turn():
            if name == "metrics":
                body = self._process.metrics.as_text()
                return _respond(start_response, 200, body, "text/plain")
            return self._answer(environ, start_response, path, rest)

    def _answer(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
        path: str,
        rest: str,
    ) -> Iterable[bytes]:
        name = path.partition("/")[0]
        handler = self._routes.get((environ["REQUEST_METHOD"], name))
        if handler is None:
            status, value = 404, {"error": f"no route for /{path}"}
        else:
            query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
            status, value = handler(rest, query)
        body = json.dumps(value, default=str).encode()
        return _respond(start_response, status, body, "application/json")


def _respond(
    start_response: Callable[..., Any],
    status: int,
    body: bytes,
    content_type: str,
) -> list[bytes]:
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
    ]
    start_response(f"{status} {'OK' if status < 400 else 'Error'}", headers)
    return [body]
