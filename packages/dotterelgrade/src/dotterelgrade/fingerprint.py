"""Short fingerprints by which requests with equal parts are recognized.

Callers choose the identifiers of their prompts' segments, so that these may be
of any length. A fingerprint has a fixed one, and is what logs, messages between
processes and records hold.
"""

from collections.abc import Iterable
import hashlib

# Of all segments known at a time, none is likely to share a fingerprint.
_DIGEST_BYTES = 8
# A prompt has a handful; the rest of a longer list is ignored.
MAX_SEGMENTS = 64
# Separates the parts of what is hashed; no header holds it.
_SEPARATOR = b"\x00"


def of_segments(scope: str, segments: Iterable[str]) -> tuple[str, ...]:
    """Returns the fingerprints of the segments of a prompt.

    Args:
        scope: What the segments belong to, such as the name of a service.
        segments: Their identifiers, in order.

    Returns:
        Hexadecimal digits, each once, in the order of the segments.
    """
    unique = dict.fromkeys(segments)
    kept = list(unique)[:MAX_SEGMENTS]
    return tuple(_digest(b"segment", scope, s.encode()) for s in kept)


def of_request(scope: str, *, method: bytes, target: bytes, body: bytes) -> str:
    """Returns the fingerprint of a whole request, which equal ones share.

    Args:
        scope: Where it is sent to, such as the name of a service.
        method: HTTP method.
        target: Path and query.
        body: The body.

    Returns:
        Hexadecimal digits.
    """
    whole = _SEPARATOR.join((method, target, body))
    return _digest(b"request", scope, whole)


def of_all(fingerprints: Iterable[str]) -> str:
    """Returns the fingerprint of a request that has all of the given ones."""
    return _digest(b"all", "", " ".join(fingerprints).encode())


def _digest(kind: bytes, scope: str, value: bytes) -> str:
    content = _SEPARATOR.join((kind, scope.encode(), value))
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()
