"""The HTTP server for callers, with time limits and hang-up detection."""

from collections.abc import Callable, Iterable, Iterator
import contextlib
import logging
import socket
from typing import Any

import gevent
from gevent import pool
from gevent import pywsgi

from dotterelgrade import wsgi
from dotterelgrade_entry import entry_settings

_LOG = logging.getLogger(__name__)

HANDLER_KEY = "dotterelgrade.handler"
_BACKLOG = 1_024
_LINGER_S = 0.3
_LINGER_BYTES = 4 * 1024 * 1024
_READ_BYTES = 64 * 1024

App = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class CallerGone(gevent.GreenletExit):  # noqa: N818
    """Raised in a request's greenlet when its caller has hung up.

    It is a `GreenletExit`, so that nothing takes it for a fault of the
    request.
    """


class _Handler(wsgi.NoDelayHandler):
    """One caller's connection."""

    def read_requestline(self) -> Any:
        settings = self.server.entry_settings
        self.socket.settimeout(settings.write_timeout_s)
        with gevent.Timeout(settings.idle_timeout_s, TimeoutError("idle")):
            return super().read_requestline()

    def read_request(self, raw_requestline: str) -> Any:
        limit = self.server.entry_settings.header_timeout_s
        with gevent.Timeout(limit, ValueError("headers took too long")):
            return super().read_request(raw_requestline)

    def handle_one_response(self) -> None:
        with self.server.counting():
            super().handle_one_response()

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        if self.server.is_leaving:
            self.close_connection = True
        environ[HANDLER_KEY] = self
        return environ

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        if isinstance(v, OSError | gevent.GreenletExit):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)

    def _handle_client_error(self, ex: BaseException) -> tuple[str, bytes]:
        if not isinstance(ex, ValueError | OSError):
            ex = ValueError(repr(ex))
        return super()._handle_client_error(ex)


class CallerServer(pywsgi.WSGIServer):
    """Listens for callers."""

    def __init__(
        self, app: App, settings: entry_settings.EntrySettings
    ) -> None:
        """Initializes a server that does not listen yet.

        Args:
            app: The WSGI application.
            settings: The settings of the entry.
        """
        super().__init__(
            (settings.process.host, settings.http_port),
            app,
            log=None,
            error_log=_LOG,
            handler_class=_Handler,
            spawn=pool.Pool(settings.max_connections),
            backlog=_BACKLOG,
        )
        self._settings = settings
        self._in_flight = 0
        self._is_leaving = False

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


class _Leftover:
    """The unread rest of a request body, read for a moment only.

    Closing at once would reset the connection before the caller has read its
    answer; reading on would let a caller hold it for as long as it sends.
    """

    def __init__(self, handler: _Handler) -> None:
        self._handler = handler

    def _discard(self) -> None:
        left = _LINGER_BYTES
        with gevent.Timeout(_LINGER_S, False):
            while left > 0:
                data = self._handler.socket.recv(_READ_BYTES)
                if not data:
                    return
                left -= len(data)


def close_after_answer(environ: dict[str, Any]) -> None:
    """Closes the connection after the answer, whatever was not read."""
    handler = environ.get(HANDLER_KEY)
    if handler is not None:
        handler.close_connection = True
        handler.wsgi_input = _Leftover(handler)


@contextlib.contextmanager
def serving(
    app: App, settings: entry_settings.EntrySettings
) -> Iterator[CallerServer]:
    """Serves callers while the context is open.

    Args:
        app: The WSGI application.
        settings: The settings of the entry.

    Yields:
        The listening server.

    Raises:
        OSError: The address can't be bound.
    """
    server = CallerServer(app, settings)
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=1)
