"""Reading request bodies and writing answers to callers."""

from collections.abc import Callable, Iterable
import json
import math
from typing import Any

import gevent

from dotterelgrade import errors
from dotterelgrade_entry import entry_settings
from dotterelgrade_entry import http_server

StartResponse = Callable[..., Any]

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_NOT_PASSED_ON = _HOP_BY_HOP | {"authorization", "idempotency-key", "expect"}
_MAX_HEADER_BYTES = 8_192


def read_body(
    environ: dict[str, Any], settings: entry_settings.EntrySettings
) -> bytes:
    """Reads a request body within its limits of size and time.

    Args:
        environ: The WSGI environment.
        settings: The limits.

    Returns:
        The whole body.

    Raises:
        errors.DotterelgradeError: BODY_TOO_LARGE, REQUEST_TIMEOUT, NO_MEMORY
            or BAD_REQUEST; the connection then closes after the answer.
    """
    limit = settings.max_body_bytes
    timeout = errors.new_exception(
        errors.ErrorKind.REQUEST_TIMEOUT,
        f"the body took longer than {settings.body_timeout_s:g} s",
    )
    try:
        if int(environ.get("CONTENT_LENGTH") or 0) > limit:
            raise _too_large(limit)
        with (
            http_server.reading_body(environ) as body,
            gevent.Timeout(settings.body_timeout_s, timeout),
        ):
            return body.read_whole(most_bytes=limit)
    except errors.DotterelgradeError as error:
        http_server.close_after_answer(environ)
        http_server.note_body(environ, error.error.kind)
        raise
    except (OSError, ValueError) as error:
        http_server.close_after_answer(environ)
        raise errors.new_exception(
            errors.ErrorKind.BAD_REQUEST, f"unreadable body: {error}"
        ) from error


def _too_large(limit: int) -> errors.DotterelgradeError:
    return errors.new_exception(
        errors.ErrorKind.BODY_TOO_LARGE,
        f"the body is larger than {limit} bytes",
    )


def request_headers(environ: dict[str, Any]) -> dict[str, str]:
    """Returns the headers that are passed on to a plain service."""
    headers = {}
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    for name, value in environ.items():
        if not name.startswith("HTTP_"):
            continue
        header = name[5:].replace("_", "-").title()
        if header.lower() not in _NOT_PASSED_ON:
            headers[header] = value
    return headers


def response_headers(headers: dict[str, str]) -> list[tuple[str, str]]:
    """Returns a service's headers that are passed back to a caller."""
    return [
        (name, value)
        for name, value in headers.items()
        if name.lower() not in _HOP_BY_HOP and _is_plain(name, value)
    ]


def _is_plain(name: str, value: str) -> bool:
    text = name + value
    return (
        bool(name)
        and text.isprintable()
        and text.isascii()
        and len(text) <= _MAX_HEADER_BYTES
    )


def respond(
    start_response: StartResponse,
    status: int,
    body: bytes,
    *,
    request_id: str,
    headers: Iterable[tuple[str, str]] = (
        ("Content-Type", "application/json"),
    ),
) -> list[bytes]:
    """Writes a whole answer.

    Args:
        start_response: From the WSGI server.
        status: HTTP status.
        body: The body.
        request_id: Identifier of the request.
        headers: Headers besides the length and the identifier.

    Returns:
        The body for the WSGI server.
    """
    all_headers = [
        *headers,
        ("Content-Length", str(len(body))),
        ("X-Request-Id", request_id),
    ]
    start_response(f"{status} {_reason(status)}", all_headers)
    return [body]


def _reason(status: int) -> str:
    return "OK" if status < 400 else "Error"


def respond_error(
    start_response: StartResponse, error: errors.Error, *, request_id: str
) -> list[bytes]:
    """Writes the answer that belongs to an error.

    Args:
        start_response: From the WSGI server.
        error: The error.
        request_id: Identifier of the request.

    Returns:
        The body for the WSGI server.
    """
    headers = [("Content-Type", "application/json")]
    if error.retry_after_s is not None:
        seconds = max(1, math.ceil(error.retry_after_s))
        headers.append(("Retry-After", str(seconds)))
    if error.kind is errors.ErrorKind.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    return respond(
        start_response,
        error.response.status.value,
        json.dumps(error.as_body(request_id=request_id)).encode(),
        request_id=request_id,
        headers=headers,
    )
