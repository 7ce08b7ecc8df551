"""Reads the bodies of HTTP answers with a bound on their size."""

from typing import Any

MAX_BYTES = 16 * 1024 * 1024
_READ_BYTES = 64 * 1024


def read(response: Any, *, max_bytes: int = MAX_BYTES) -> bytes:
    """Reads a whole body.

    Args:
        response: An answer of geventhttpclient.
        max_bytes: The largest body that is accepted.

    Returns:
        The body.

    Raises:
        OSError: The connection failed.
        ValueError: The body is larger; the connection is given up.
    """
    body = bytearray()
    while chunk := response.read(_READ_BYTES):
        body += chunk
        if len(body) > max_bytes:
            response.release()
            raise ValueError(f"the answer has more than {max_bytes} bytes")
    return bytes(body)
