"""Client of the admin addresses of the system's processes."""

import json
from typing import Any
import urllib.parse

import geventhttpclient
import geventhttpclient.response
from returns import result

from dotterelgrade import errors

DEFAULT_PORT = 7401
TIMEOUT_S = 2.0
_HTTP_OK = 200
_HTTP_NOT_FOUND = 404


def parse_address(text: str) -> tuple[str, int]:
    """Checks `HOST` or `HOST:PORT`.

    Args:
        text: What the operator wrote.

    Returns:
        Host and port.

    Raises:
        ValueError: It is no address.
    """
    try:
        parts = urllib.parse.urlsplit(f"//{text}")
        host, port = parts.hostname, parts.port
    except ValueError:
        host, port = None, None
    if not host or parts.path or parts.query:
        raise ValueError(
            f"{text!r}: expected HOST or HOST:PORT of an admin address"
        )
    return host, port or DEFAULT_PORT


def fetch(
    host: str, port: int, path: str, *, timeout_s: float = TIMEOUT_S
) -> result.Result[Any, errors.Error]:
    """Reads a JSON value from an admin address.

    Args:
        host: IP number of the process.
        port: Its admin port.
        path: Path with a leading slash.
        timeout_s: Time limit, s.

    Returns:
        The value, NOT_FOUND, or PEER_UNREACHABLE.
    """
    client = geventhttpclient.HTTPClient(
        host, port, connection_timeout=timeout_s, network_timeout=timeout_s
    )
    try:
        answer = client.get(path)
        data = answer.read()
        if answer.status_code == _HTTP_NOT_FOUND:
            return _failure(
                errors.ErrorKind.NOT_FOUND, f"{host}:{port} has no {path}"
            )
        if answer.status_code != _HTTP_OK:
            return _unreachable(host, port, f"answered {answer.status_code}")
        return result.Success(json.loads(data))
    except (
        OSError,
        ValueError,
        RecursionError,
        geventhttpclient.response.HTTPParseError,
    ) as error:
        return _unreachable(host, port, repr(error))
    finally:
        client.close()


def _unreachable(
    host: str, port: int, reason: str
) -> result.Failure[errors.Error]:
    return _failure(
        errors.ErrorKind.PEER_UNREACHABLE, f"{host}:{port}: {reason}"
    )


def _failure(
    kind: errors.ErrorKind, message: str
) -> result.Failure[errors.Error]:
    return result.Failure(errors.Error(kind=kind, message=message))
