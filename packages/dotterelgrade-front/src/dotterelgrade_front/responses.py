"""Encodes and sends HTTP responses to a caller."""

from collections.abc import Iterable
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
    """Returns the status line of a response, without the line end."""
    if not reason:
        try:
            reason = http.HTTPStatus(status).phrase.encode()
        except ValueError:
            reason = b"Unknown"
    return b"HTTP/1.1 " + str(status).encode() + b" " + reason


def send_response(
    client: client_connection.ClientConnection,
    *,
    head: http_message.ResponseHead,
    body: bytes,
    close: bool,
    bodiless: bool = False,
) -> None:
    """Sends a complete response with a `Content-Length` header.

    Args:
        client: The connection to the caller.
        head: Status and end-to-end headers.
        body: The body.
        close: Whether to send `Connection: close`.
        bodiless: Whether to send only the head, as for HEAD requests.
    """
    encoded_head = _encode_head(head, length=len(body), close=close)
    client.write(encoded_head if bodiless else encoded_head + body)


def _encode_head(
    head: http_message.ResponseHead, *, length: int, close: bool
) -> bytes:
    headers = [*head.headers, (b"content-length", str(length).encode())]
    if close:
        headers.append(_CLOSE)
    return http_message.encode_head(
        status_line(head.status, head.reason), headers
    )


def send_piecewise(
    client: client_connection.ClientConnection,
    *,
    head: http_message.ResponseHead,
    pieces: Iterable[bytes],
    length: int | None,
    close: bool,
) -> None:
    """Sends a response whose body arrives in pieces.

    Args:
        client: The connection to the caller.
        head: Status and end-to-end headers.
        pieces: The body; none of them is empty.
        length: Size of the body, bytes, or None for a chunked response.
        close: Whether to send `Connection: close`.
    """
    if length is None:
        client.write(encode_stream_head(head, close=close))
        for piece in pieces:
            client.write(encode_chunk(piece))
        client.write(LAST_CHUNK)
        return
    client.write(_encode_head(head, length=length, close=close))
    for piece in pieces:
        client.write(piece)


def send_error(
    client: client_connection.ClientConnection,
    error: errors.Error,
    *,
    request_id: str,
    close: bool,
) -> None:
    """Sends an error response that the front generates itself.

    Args:
        client: The connection to the caller.
        error: The error; it sets status, `Retry-After` and body.
        request_id: Request ID to include in the body.
        close: Whether to send `Connection: close`.
    """
    headers = [_JSON]
    if error.retry_after_s is not None:
        retry_after = f"{error.retry_after_s:.2f}".encode()
        headers.append((b"retry-after", retry_after))
    send_response(
        client,
        head=http_message.ResponseHead(
            status=error.response.status, reason=b"", headers=headers
        ),
        body=json.dumps(error.as_body(request_id=request_id)).encode(),
        close=close,
    )


def encode_stream_head(
    head: http_message.ResponseHead, *, close: bool
) -> bytes:
    """Returns the encoded head of a response with a chunked body."""
    headers = [*head.headers, _CHUNKED]
    if close:
        headers.append(_CLOSE)
    return http_message.encode_head(
        status_line(head.status, head.reason), headers
    )


def encode_chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
