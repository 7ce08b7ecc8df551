"""Writes answers to a caller."""

import http
import json

from dotterelgrade import errors
from dotterelgrade import http_message
from dotterelgrade_front import client_connection

_JSON = (b"content-type", b"application/json")
_CLOSE = (b"connection", b"close")
_CHUNKED = (b"transfer-encoding", b"chunked")
LAST_CHUNK = b"0\r\n\r\n"


def status_line(status: int, reason: bytes = b"") -> bytes:
    """Returns the first line of an answer."""
    if not reason:
        try:
            reason = http.HTTPStatus(status).phrase.encode()
        except ValueError:
            reason = b"Unknown"
    return b"HTTP/1.1 " + str(status).encode() + b" " + reason


def send_whole(
    client: client_connection.ClientConnection,
    *,
    head: http_message.ResponseHead,
    body: bytes,
    close: bool,
    bodiless: bool = False,
) -> None:
    """Sends a whole answer with its length.

    Args:
        client: The caller.
        head: Status and headers of the answer, without those of a connection.
        body: The body.
        close: Whether the connection ends with it.
        bodiless: Whether only the head is sent, as for HEAD.
    """
    headers = list(head.headers)
    headers.append((b"content-length", str(len(body)).encode()))
    if close:
        headers.append(_CLOSE)
    first = status_line(head.status, head.reason)
    data = http_message.encode_head(first, headers)
    client.write(data if bodiless else data + body)


def send_error(
    client: client_connection.ClientConnection,
    error: errors.Error,
    *,
    request_id: str,
    close: bool,
) -> None:
    """Sends an answer of our own.

    Args:
        client: The caller.
        error: What went wrong.
        request_id: The request, for the body.
        close: Whether the connection ends with it.
    """
    headers = [_JSON]
    if error.retry_after_s is not None:
        wait = f"{error.retry_after_s:.2f}".encode()
        headers.append((b"retry-after", wait))
    send_whole(
        client,
        head=http_message.ResponseHead(
            status=error.answer.status, reason=b"", headers=headers
        ),
        body=json.dumps(error.as_body(request_id=request_id)).encode(),
        close=close,
    )


def stream_head(head: http_message.ResponseHead, *, close: bool) -> bytes:
    """Returns the head of an answer whose body follows in chunks."""
    headers = [*head.headers, _CHUNKED]
    if close:
        headers.append(_CLOSE)
    return http_message.encode_head(
        status_line(head.status, head.reason), headers
    )


def chunk(data: bytes) -> bytes:
    """Returns one chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
