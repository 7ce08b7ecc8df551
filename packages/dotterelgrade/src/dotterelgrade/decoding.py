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
    except Exception as error:
        return result.Failure(_describe(error, what, kind))


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
    try:
        return decode(data)
    except Exception as error:
        described = _describe(error, what, kind)
        raise errors.DotterelgradeError(described) from error


def _describe(
    error: Exception, what: str, kind: errors.ErrorKind
) -> errors.Error:
    if isinstance(error, errors.DotterelgradeError):
        reason = error.error.message
    else:
        reason = f"{type(error).__name__}: {error}"
    return errors.Error(
        kind=kind, message=f"{what}: {reason[:_MAX_REASON_LENGTH]}"
    )
