"""Listening sockets that are opened before the program is loaded.

Load pattern: all processes of a deployment are killed at once, and callers come
back while the programs still load, which takes a second on a weak host. Their
connections wait in the queue of a socket that listens already, instead of being
refused. This module loads nothing but the standard library's sockets.
"""

import socket

_BACKLOG = 512

_listening: dict[tuple[str, int], socket.socket] = {}


def listen(host: str, port: int) -> None:
    """Opens a listening socket that a server takes over later.

    Args:
        host: IP number to bind.
        port: TCP port to bind.

    Raises:
        OSError: The address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(_BACKLOG)
    except OSError:
        sock.close()
        raise
    _listening[host, port] = sock


def take(host: str, port: int) -> int | None:
    """Hands a listening socket over to its server.

    Args:
        host: IP number that it is bound to.
        port: TCP port that it is bound to.

    Returns:
        Its file descriptor, now owned by the caller, or None if there is none.
    """
    sock = _listening.pop((host, port), None)
    return None if sock is None else sock.detach()
