"""Idempotency keys: UUIDv7 values, whose age is known."""

import dataclasses
import uuid

from returns import result

from dotterelgrade import errors
from dotterelgrade_agent import agent_settings

_VERSION = 7
_TIME_SHIFT = 80
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class IdempotencyKey:
    """A checked key.

    Attributes:
        text: Canonical text of the key.
        time_s: When the caller made it, s since the epoch.
    """

    text: str
    time_s: float


def parse(
    text: str, *, now_s: float, settings: agent_settings.ClaimSettings
) -> result.Result[IdempotencyKey, errors.Error]:
    """Checks a key and its age.

    Args:
        text: What the caller sent.
        now_s: Wall-clock time, s since the epoch.
        settings: The claim window and the bound on clock skew.

    Returns:
        The key, KEY_INVALID when it is no UUIDv7 or comes from the future, or
        KEY_TOO_OLD when it lies before the claim window.
    """
    try:
        value = uuid.UUID(text)
    except ValueError:
        return _failure(errors.ErrorKind.KEY_INVALID, "expected a UUIDv7")
    if value.version != _VERSION or value.variant != uuid.RFC_4122:
        return _failure(errors.ErrorKind.KEY_INVALID, "expected a UUIDv7")
    time_s = (value.int >> _TIME_SHIFT) / _MS_PER_S
    if time_s > now_s + settings.clock_skew_s:
        return _failure(
            errors.ErrorKind.KEY_INVALID,
            f"the key was made {time_s - now_s:.0f} s in the future",
        )
    if time_s < now_s - settings.window_s:
        return _failure(
            errors.ErrorKind.KEY_TOO_OLD,
            f"the key is {now_s - time_s:.0f} s old, the window is "
            f"{settings.window_s:.0f} s",
        )
    return result.Success(IdempotencyKey(text=str(value), time_s=time_s))


def _failure(
    kind: errors.ErrorKind, message: str
) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(
            kind=kind,
            message=f"idempotency key: {message}",
        )
    )
