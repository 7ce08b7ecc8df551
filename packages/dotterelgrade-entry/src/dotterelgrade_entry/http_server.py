"""The HTTP server for callers, with time limits and hang-up detection."""

from collections.abc import Callable, Iterable, Iterator
import contextlib
import logging
import socket
from typing import Any

import gevent

from dotterelgrade import client_refusals
from dotterelgrade import client_slots
from dotterelgrade import errors
from dotterelgrade import limited_handler
from dotterelgrade import listen_limits
from dotterelgrade import memory_budget
from dotterelgrade import work_share
from dotterelgrade_entry import caller_body
from dotterelgrade_entry import entry_settings

_LOG = logging.getLogger(__name__)

HANDLER_KEY = "dotterelgrade.handler"
_BACKLOG = 1_024
_LINGER_BYTES = 4 * 1024 * 1024
_BUFFER_BYTES = 128 * 1024
# What a field costs beside its bytes, and what any head may cost for nothing.
_FIELD_BYTES = 300
_ORDINARY_HEAD_BYTES = 16 * 1024

App = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class CallerGone(gevent.GreenletExit):  # noqa: N818
    """Raised in a request's greenlet when its caller has hung up.

    It is a `GreenletExit`, so that nothing takes it for a fault of the
    request.
    """


class _Handler(limited_handler.LimitedHandler):
    """One caller's connection."""

    service_phase = client_slots.Phase.SERVICE
    takes_bodies = True
    wanted_fields = None

    def handle_one_response(self) -> None:
        with self.server.counting():
            super().handle_one_response()

    def handle_one_request(self) -> Any:
        with self.server.memory.open() as self.account:
            return super().handle_one_request()

    def charge_head(self, *, size: int, fields: int) -> bool:
        cost = 2 * size + fields * _FIELD_BYTES - _ORDINARY_HEAD_BYTES
        return self.account.resize(max(cost, 0))

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        if self.server.is_leaving:
            self.close_connection = True
        environ[HANDLER_KEY] = self
        self.wsgi_input = environ["wsgi.input"] = caller_body.CallerBody(
            self, limits=self.server.body_limits, account=self.account
        )
        return environ


class CallerServer(limited_handler.LimitedServer):
    """Listens for callers."""

    def __init__(
        self,
        app: App,
        settings: entry_settings.EntrySettings,
        *,
        refusals: client_refusals.ClientRefusals,
    ) -> None:
        """Initializes a server that does not listen yet.

        Args:
            app: The WSGI application.
            settings: The settings of the entry.
            refusals: Counts the callers that are refused.
        """
        super().__init__(
            (settings.process.host, settings.http_port),
            app,
            name="callers",
            limits=_limits(settings),
            refusals=refusals,
            error_log=_LOG,
            handler_class=_Handler,
            backlog=_BACKLOG,
        )
        self._settings = settings
        self._memory = memory_budget.MemoryBudget(
            capacity_bytes=settings.max_body_memory_bytes,
            accounts=settings.max_connections,
        )
        self._body_limits = caller_body.BodyLimits(
            min_rate=settings.min_body_rate,
            rate_window_s=settings.body_rate_window_s,
            framing=work_share.WorkShare(),
        )
        self._in_flight = 0
        self._is_leaving = False

    @property
    def memory(self) -> memory_budget.MemoryBudget:
        """Bounds the bytes of heads and bodies."""
        return self._memory

    @property
    def body_limits(self) -> caller_body.BodyLimits:
        """Limits of each body."""
        return self._body_limits

    @property
    def entry_settings(self) -> entry_settings.EntrySettings:
        """The settings of the entry."""
        return self._settings

    @property
    def in_flight(self) -> int:
        """Requests whose answer is not yet written whole."""
        return self._in_flight

    @property
    def is_leaving(self) -> bool:
        """Whether connections are closed after their next answer."""
        return self._is_leaving

    def leave(self) -> None:
        """Closes each connection after its next answer from now on."""
        self._is_leaving = True

    @contextlib.contextmanager
    def counting(self) -> Iterator[None]:
        """Counts a request in flight while the context is open."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1


def _limits(
    settings: entry_settings.EntrySettings,
) -> listen_limits.ListenLimits:
    return listen_limits.ListenLimits(
        connections=listen_limits.within_descriptors(settings.max_connections),
        head_bytes=settings.max_head_bytes,
        head_timeout_s=settings.header_timeout_s,
        idle_timeout_s=settings.idle_timeout_s,
        write_timeout_s=settings.write_timeout_s,
        answer_bytes=settings.max_answer_memory_bytes,
        buffer_bytes=_BUFFER_BYTES,
    )


@contextlib.contextmanager
def reading_body(
    environ: dict[str, Any],
) -> Iterator[caller_body.CallerBody]:
    """Yields the body of a request, to be read while the context is open.

    Args:
        environ: The WSGI environment of the request.
    """
    slot = environ[HANDLER_KEY].slot
    slot.enter(client_slots.Phase.BODY)
    try:
        yield environ["wsgi.input"]
    finally:
        slot.enter(client_slots.Phase.SERVICE)


def release_body(environ: dict[str, Any]) -> None:
    """Notes that the bytes of a body are no longer held."""
    environ[HANDLER_KEY].account.resize(0)


_BODY_REASONS = {
    errors.ErrorKind.REQUEST_TIMEOUT: client_refusals.Reason.BODY_TOO_SLOW,
    errors.ErrorKind.NO_MEMORY: client_refusals.Reason.BODIES_FULL,
}


def note_body(environ: dict[str, Any], kind: errors.ErrorKind) -> None:
    """Counts a body that was refused for its rate or for want of memory."""
    if kind in _BODY_REASONS:
        environ[HANDLER_KEY].note(_BODY_REASONS[kind])


@contextlib.contextmanager
def watching_caller(environ: dict[str, Any]) -> Iterator[None]:
    """Raises `CallerGone` in the current greenlet if the caller hangs up.

    Args:
        environ: The WSGI environment of the request.

    Yields:
        Nothing; the watch ends with the context.
    """
    handler = environ.get(HANDLER_KEY)
    if handler is None:
        yield
        return
    watcher = gevent.spawn(_watch, handler, gevent.getcurrent())
    try:
        yield
    finally:
        watcher.kill()


def _watch(handler: _Handler, waiting: gevent.Greenlet) -> None:
    while True:
        try:
            if handler.socket.recv(1, socket.MSG_PEEK):
                # The next request is already here, so nothing can be seen.
                return
        except TimeoutError:
            continue
        except (OSError, AttributeError):
            pass
        handler.close_connection = True
        waiting.kill(CallerGone("the caller has hung up"), block=False)
        return


def close_after_answer(environ: dict[str, Any]) -> None:
    """Closes the connection after the answer, whatever was not read."""
    handler = environ.get(HANDLER_KEY)
    if handler is not None:
        handler.close_connection = True
        handler.wsgi_input = limited_handler.UnreadBody(
            handler, most_bytes=_LINGER_BYTES
        )


@contextlib.contextmanager
def serving(
    app: App,
    settings: entry_settings.EntrySettings,
    *,
    refusals: client_refusals.ClientRefusals | None = None,
) -> Iterator[CallerServer]:
    """Serves callers while the context is open.

    Args:
        app: The WSGI application.
        settings: The settings of the entry.
        refusals: Counts the callers that are refused; None to log them only.

    Yields:
        The listening server.

    Raises:
        OSError: The address can't be bound.
    """
    server = CallerServer(
        app, settings, refusals=refusals or client_refusals.ClientRefusals()
    )
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=1)
