"""Idempotency keys of service calls: UUIDv7, so that their age is known."""

import hashlib
import time
import uuid

from returns import result

from dotterelgrade import errors

_VERSION = 7
_TIMESTAMP_SHIFT = 80
_MS_PER_S = 1000
_MAX_FUTURE_S = 60.0


def check_key(
    text: str, *, max_age_s: float, now_s: float | None = None
) -> result.Result[str, errors.Error]:
    """Checks a key and returns it in its usual form.

    Args:
        text: The header's value.
        max_age_s: Age from which a key is refused, s.
        now_s: Wall-clock time, s since the epoch; now when None.

    Returns:
        The key, or KEY_INVALID or KEY_TOO_OLD.
    """
    try:
        key = uuid.UUID(text.strip())
    except ValueError:
        return _failure(
            errors.ErrorKind.KEY_INVALID, "Idempotency-Key: expected a UUIDv7"
        )
    if key.version != _VERSION:
        return _failure(
            errors.ErrorKind.KEY_INVALID,
            f"Idempotency-Key: expected a UUIDv7, got version {key.version}",
        )
    now = time.time() if now_s is None else now_s
    age_s = now - (key.int >> _TIMESTAMP_SHIFT) / _MS_PER_S
    if age_s > max_age_s:
        return _failure(
            errors.ErrorKind.KEY_TOO_OLD,
            f"the key is {age_s:.0f} s old, the limit is {max_age_s:.0f} s",
        )
    if age_s < -_MAX_FUTURE_S:
        return _failure(
            errors.ErrorKind.KEY_INVALID,
            f"the key's time is {-age_s:.0f} s in the future",
        )
    return result.Success(str(key))


def _failure(
    kind: errors.ErrorKind, message: str
) -> result.Failure[errors.Error]:
    return result.Failure(errors.Error(kind=kind, message=message))


def digest(
    *, workspace: str, service: str, method: str, path: str, body: bytes
) -> str:
    """Returns the SHA-256 that tells two calls under one key apart."""
    state = hashlib.sha256()
    for part in (workspace, service, method, path):
        data = part.encode(errors="surrogateescape")
        state.update(len(data).to_bytes(8, "big"))
        state.update(data)
    state.update(body)
    return state.hexdigest()
