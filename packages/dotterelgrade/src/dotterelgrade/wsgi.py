"""WSGI servers with TCP_NODELAY and early listening sockets."""

from collections.abc import Callable, Iterable, Iterator
import contextlib
import logging
import socket

from gevent import pywsgi
from gevent import socket as gevent_socket

from dotterelgrade import client_refusals
from dotterelgrade import early_sockets
from dotterelgrade import limited_handler
from dotterelgrade import listen_limits as listen_limits_lib

_LOG = logging.getLogger(__name__)

STOP_TIMEOUT_S = 1.0


class NoDelayHandler(pywsgi.WSGIHandler):
    """Handles a connection with TCP_NODELAY set.

    A response is sent in two writes, the headers and the body. Nagle's
    algorithm would hold the second until the delayed acknowledgement of the
    first.
    """

    def handle(self) -> None:
        """Handles the connection until it ends."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()


def listener(host: str, port: int) -> gevent_socket.socket | tuple[str, int]:
    """Returns the listener argument for a gevent server.

    Args:
        host: IP number.
        port: TCP port.

    Returns:
        The early listening socket of this address, or else the address.
    """
    descriptor = early_sockets.take(host, port)
    if descriptor is None:
        return host, port
    sock = gevent_socket.socket(fileno=descriptor)
    sock.setblocking(False)
    return sock


@contextlib.contextmanager
def serving_unlimited(
    app: Callable[..., Iterable[bytes]],
    *,
    host: str,
    port: int,
    handler_class: type[NoDelayHandler] = NoDelayHandler,
    stop_timeout_s: float = STOP_TIMEOUT_S,
) -> Iterator[pywsgi.WSGIServer]:
    """Serves trusted clients of a WSGI application in the context.

    Args:
        app: The application.
        host: IP number to bind.
        port: TCP port to bind.
        handler_class: Class that handles each connection.
        stop_timeout_s: Time for open connections to finish at the end, s.

    Yields:
        The listening server.

    Raises:
        OSError: The address can't be bound.
    """
    server = pywsgi.WSGIServer(
        listener(host, port),
        app,
        log=None,
        error_log=_LOG,
        handler_class=handler_class,
    )
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=stop_timeout_s)


@contextlib.contextmanager
def serving(
    app: Callable[..., Iterable[bytes]],
    *,
    host: str,
    port: int,
    name: str = "admin",
    limits: listen_limits_lib.ListenLimits | None = None,
    refusals: client_refusals.ClientRefusals | None = None,
) -> Iterator[limited_handler.LimitedServer]:
    """Serves untrusted clients of a WSGI application in the context.

    Args:
        app: The application; it reads no request bodies.
        host: IP number to bind.
        port: TCP port to bind.
        name: Name of the socket in metrics and log lines.
        limits: What its clients may hold; None for the defaults.
        refusals: Counts those that are refused; None to log them only.

    Yields:
        The listening server.

    Raises:
        OSError: The address can't be bound.
    """
    server = limited_handler.LimitedServer(
        listener(host, port),
        app,
        name=name,
        limits=limits or listen_limits_lib.ListenLimits(),
        refusals=refusals or client_refusals.ClientRefusals(),
        error_log=_LOG,
        handler_class=limited_handler.LimitedHandler,
    )
    server.start()
    try:
        yield server
    finally:
        server.stop(timeout=STOP_TIMEOUT_S)
