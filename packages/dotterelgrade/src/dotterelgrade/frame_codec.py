"""Encodes and decodes the frames that processes exchange.

A frame is a two-element array `[tag, fields]` in msgpack: the tag is the class
name of a registered frozen data class, and the fields are a map. Durations are
milliseconds relative to receipt, since clocks of different hosts differ.
"""

from collections.abc import Callable
import dataclasses
from typing import Any, TypeVar

import msgpack
import msgspec

from dotterelgrade import decoding
from dotterelgrade import errors

_T = TypeVar("_T")
_FRAMES: dict[str, type] = {}
_PACKER = msgpack.Packer()

# Class decorator: a frozen data class with keyword-only fields.
frozen: Callable[[type[_T]], type[_T]] = dataclasses.dataclass(
    frozen=True, kw_only=True
)


def frame(cls: type[_T]) -> type[_T]:
    """Registers a frozen data class as a frame."""
    _FRAMES[cls.__name__] = cls
    return cls


def registered_frames() -> dict[str, type]:
    """Returns the registered frames by tag."""
    return dict(_FRAMES)


def to_wire(message: Any) -> list[Any]:
    """Converts a frame to its `[tag, fields]` array."""
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    return [type(message).__name__, fields]


def encode(message: Any) -> bytes:
    """Serializes a frame.

    Args:
        message: An instance of a registered frame.
    """
    return _PACKER.pack(to_wire(message))


def from_wire(value: Any) -> Any:
    """Validates a decoded array and converts it to a frame.

    Args:
        value: The value that the msgpack decoder returned.

    Returns:
        An instance of the registered data class.

    Raises:
        errors.DotterelgradeError: FRAME_INVALID if it is not a valid frame.
    """
    return decoding.require(
        _convert,
        value,
        what="invalid frame",
        kind=errors.ErrorKind.FRAME_INVALID,
    )


def _convert(value: Any) -> Any:
    tag, fields = value
    return msgspec.convert(fields, _FRAMES[tag])
