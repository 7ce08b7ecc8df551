"""Decoding of data from outside the process, with one kind of failure.

Every decoder of such data runs through `attempt` or `require`. Decoders do no
I/O, so whatever one raises is a fault of the data: besides the errors of its
format that may be a `RecursionError` for deep nesting, an `OverflowError` for a
large number, or a `ZeroDivisionError` in a conversion.
"""

from collections.abc import Callable
from typing import TypeVar

from returns import result

from dotterelgrade import errors

_InputT = TypeVar("_InputT")
_OutputT = TypeVar("_OutputT")
# A decoder may quote the data; messages go to logs and to callers.
_MAX_REASON_LENGTH = 200


def attempt(
    decode: Callable[[_InputT], _OutputT],
    data: _InputT,
    *,
    what: str,
    kind: errors.ErrorKind = errors.ErrorKind.RECORD_INVALID,
) -> result.Result[_OutputT, errors.Error]:
    """Decodes data, or returns why it can't be used.

    Args:
        decode: The decoder; it does no I/O.
        data: The data.
        what: What the data should be, for the message.
        kind: Kind of the error.

    Returns:
        What the decoder returned, or an error for whatever it raised.
    """
    try:
        return result.Success(decode(data))
    except errors.DotterelgradeError as error:
        reason = error.error.message
    except Exception as error:
        reason = f"{type(error).__name__}: {error}"
    message = f"{what}: {reason[:_MAX_REASON_LENGTH]}"
    return result.Failure(errors.Error(kind=kind, message=message))


def require(
    decode: Callable[[_InputT], _OutputT],
    data: _InputT,
    *,
    what: str,
    kind: errors.ErrorKind = errors.ErrorKind.RECORD_INVALID,
) -> _OutputT:
    """Decodes data; see `attempt`.

    Raises:
        errors.DotterelgradeError: The data can't be used.
    """
    decoded = attempt(decode, data, what=what, kind=kind)
    if isinstance(decoded, result.Failure):
        raise errors.DotterelgradeError(decoded.failure())
    return decoded.unwrap()
