"""Listening sockets that are opened before the program is loaded.

When all processes of a deployment are killed at once, callers reconnect while
the programs still load, which takes a second on a slow host. Their connections
wait in the accept queue of the early socket instead of being refused. This
module imports nothing but the standard library's sockets.
"""

import socket

_MAX_QUEUED_CONNECTIONS = 512

_sockets: dict[tuple[str, int], socket.socket] = {}


def listen(host: str, port: int) -> None:
    """Opens a listening socket that a server takes over later.

    Args:
        host: IP number to bind.
        port: TCP port to bind.

    Raises:
        OSError: The address can't be bound.
        OverflowError: There is no such port.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(_MAX_QUEUED_CONNECTIONS)
    except BaseException:
        sock.close()
        raise
    _sockets[host, port] = sock


def take(host: str, port: int) -> int | None:
    """Returns the listening socket of an address and forgets it.

    Args:
        host: IP number that it is bound to.
        port: TCP port that it is bound to.

    Returns:
        Its file descriptor, now owned by the caller, or None if there is none.
    """
    sock = _sockets.pop((host, port), None)
    return None if sock is None else sock.detach()
