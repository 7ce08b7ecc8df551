"""Reads HTTP response bodies with a size limit."""

from typing import Any

MAX_BYTES = 16 * 1024 * 1024
_CHUNK_BYTES = 64 * 1024


def read(response: Any, *, max_bytes: int = MAX_BYTES) -> bytes:
    """Reads a whole body.

    Args:
        response: A response of geventhttpclient.
        max_bytes: Maximum size of the body.

    Returns:
        The body.

    Raises:
        OSError: The connection failed.
        ValueError: The body is larger; the connection is released.
    """
    body = bytearray()
    while chunk := response.read(_CHUNK_BYTES):
        body += chunk
        if len(body) > max_bytes:
            response.release()
            raise ValueError(f"response body is larger than {max_bytes} bytes")
    return bytes(body)
