"""A compressed copy of a large record, for fronts that start.

Load pattern: all fronts lose power and read a configuration of 1,800 routes at
once when they are back, 0.7 s on a link of 7 Mbit/s. The planner keeps a copy
of a tenth of that size in the store. A front uses it only if the feed has not
grown since.
"""

import dataclasses

import msgspec
from returns import result

from dotterelgrade import bounded
from dotterelgrade import decoding
from dotterelgrade import errors
from dotterelgrade_routing import compression
from dotterelgrade_routing import platform_port

# A smaller record is read as quickly as its copy.
MIN_RECORD_BYTES = 32_768


@dataclasses.dataclass(frozen=True, kw_only=True)
class RecordCopy:
    """A copied record, with the state of the feed that it belongs to.

    Attributes:
        key: Key of the record.
        offset: Position in the feed.
        end: Offset after the last record of the feed.
        era: Era of the store to which the offsets belong.
        compressed: The compressed value.
    """

    key: str
    offset: bounded.Count
    end: bounded.Count
    era: int
    compressed: bytes


_decoder = msgspec.msgpack.Decoder(RecordCopy)


def encode(record: platform_port.Record, *, end: int, era: int) -> bytes:
    """Encodes a copy of a record.

    Args:
        record: The newest record of its key.
        end: Offset after the last record of the feed.
        era: Era of the store to which the offsets belong.
    """
    return msgspec.msgpack.encode(
        RecordCopy(
            key=record.key,
            offset=record.offset,
            end=end,
            era=era,
            compressed=compression.compress(record.value),
        )
    )


def decode(body: bytes) -> result.Result[RecordCopy, errors.Error]:
    """Decodes a copy, or returns why it can't be used.

    Args:
        body: As `encode` has returned it, or anything else.
    """
    return decoding.attempt(_decoder.decode, body, what="copy")


def restore(
    copy: RecordCopy,
) -> result.Result[platform_port.Record, errors.Error]:
    """Returns the copied record, or why it can't be used."""
    return compression.decompress(copy.compressed).map(
        lambda value: platform_port.Record(
            key=copy.key, value=value, offset=copy.offset
        )
    )
