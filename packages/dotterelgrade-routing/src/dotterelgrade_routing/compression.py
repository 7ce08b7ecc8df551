"""Compression of records, with a limit on what is decompressed."""

import zlib

from returns import result

from dotterelgrade import errors

# The longest record that is decoded, bytes.
MAX_RECORD_BYTES = 16_777_216
# The fastest level; higher ones save little on JSON and cost the planner time.
_LEVEL = 1


def compress(value: bytes) -> bytes:
    """Returns the compressed value."""
    return zlib.compress(value, _LEVEL)


def decompress(data: bytes) -> result.Result[bytes, errors.Error]:
    """Returns the value, or why the bytes can't be decompressed.

    Args:
        data: As `compress` has returned it, or anything else.
    """
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, MAX_RECORD_BYTES)
    except zlib.error as error:
        return _invalid(str(error))
    if not decompressor.eof:
        return _invalid("truncated, or too long")
    return result.Success(value)


def _invalid(reason: str) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(kind=errors.ErrorKind.RECORD_INVALID, message=reason)
    )
