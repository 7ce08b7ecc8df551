"""Ways to encode a record that the planner relays to all fronts.

Load pattern: a configuration of 1,800 routes changes up to 16 times a second,
and a front on a link of 7 Mbit/s takes half a second to receive it whole; the
events of its streams wait behind it.
"""

from collections.abc import Iterable, Mapping
import dataclasses
from typing import Protocol

from returns import result

from dotterelgrade import bounded
from dotterelgrade import errors
from dotterelgrade import registry
from dotterelgrade_routing import compression
from dotterelgrade_routing import latest_records
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import record_delta

# All records of a page; a few kilobytes can hold compressed gigabytes.
MAX_PAGE_BYTES = 4 * compression.MAX_RECORD_BYTES


@dataclasses.dataclass(frozen=True, kw_only=True)
class EncodedRecord:
    """A record as the planner sends it.

    Attributes:
        key: Key of the record.
        offset: Position in the feed.
        value: Whole value, or empty if `delta` is given.
        compressed: Whether `value` is compressed.
        delta: Difference to the value before, or None.
    """

    key: str
    offset: bounded.Count
    value: bytes = b""
    compressed: bool = False
    delta: record_delta.Delta | None = None

    @property
    def size(self) -> int:
        """Bytes that it holds."""
        if self.delta is None:
            return len(self.value)
        return len(self.value) + self.delta.literal_bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class EncodedPage:
    """Encoded records; see `platform_port.Page`."""

    records: tuple[EncodedRecord, ...]
    end: int
    era: int


class RelayEncoding(Protocol):
    """Encodes a record for fronts that may know the value before."""

    def encode(
        self, record: platform_port.Record, *, base: bytes | None
    ) -> EncodedRecord:
        """Returns the encoded record.

        Args:
            record: The record; its value is not empty.
            base: The value before, or None if it is unknown.
        """


ENCODINGS = registry.Registry[RelayEncoding]("relay encoding")


@ENCODINGS.register("whole")
class WholeEncoding:
    """Sends each record as it is."""

    def encode(
        self, record: platform_port.Record, *, base: bytes | None
    ) -> EncodedRecord:
        """See `RelayEncoding`."""
        del base
        return EncodedRecord(
            key=record.key, offset=record.offset, value=record.value
        )


@ENCODINGS.register("compressed")
class CompressedEncoding:
    """Compresses each large record."""

    def encode(
        self, record: platform_port.Record, *, base: bytes | None
    ) -> EncodedRecord:
        """See `RelayEncoding`."""
        if len(record.value) < latest_records.MIN_RECORD_BYTES:
            return WholeEncoding().encode(record, base=base)
        return EncodedRecord(
            key=record.key,
            offset=record.offset,
            value=compression.compress(record.value),
            compressed=True,
        )


@ENCODINGS.register("delta")
class DeltaEncoding:
    """Sends the difference to the value before, where it is known and small."""

    def encode(
        self, record: platform_port.Record, *, base: bytes | None
    ) -> EncodedRecord:
        """See `RelayEncoding`."""
        if base is None or not record.value:
            return CompressedEncoding().encode(record, base=base)
        delta = record_delta.compute(base, record.value)
        if delta.literal_bytes >= latest_records.MIN_RECORD_BYTES:
            return CompressedEncoding().encode(record, base=base)
        return EncodedRecord(key=record.key, offset=record.offset, delta=delta)


def encode_whole(page: platform_port.Page) -> EncodedPage:
    """Returns a page with all its records as they are."""
    return EncodedPage(
        records=tuple(
            encode_all(WholeEncoding(), page.records, bases={}),
        ),
        end=page.end,
        era=page.era,
    )


def encode_all(
    encoding: RelayEncoding,
    records: Iterable[platform_port.Record],
    *,
    bases: Mapping[str, bytes],
) -> list[EncodedRecord]:
    """Encodes records, each with the one before it as its base.

    Args:
        encoding: How to encode them.
        records: In order of their offsets.
        bases: Newest large values by key before the first record.
    """
    latest = dict(bases)
    encoded = []
    for record in records:
        encoded.append(encoding.encode(record, base=latest.get(record.key)))
        if record.key in latest:
            latest[record.key] = record.value
    return encoded


def decode_all(
    records: Iterable[EncodedRecord], *, bases: Mapping[str, bytes]
) -> result.Result[tuple[platform_port.Record, ...], errors.Error]:
    """Decodes records that a peer has encoded with `encode_all`.

    Args:
        records: As received.
        bases: Newest large values by key before the first record.

    Returns:
        All records, or why one of them can't be decoded.
    """
    latest = dict(bases)
    decoded = []
    size = 0
    for record in records:
        value = _decode(record, latest.get(record.key))
        if isinstance(value, result.Failure):
            return value
        size += len(value.unwrap())
        if size > MAX_PAGE_BYTES:
            return result.Failure(_too_long(record))
        latest[record.key] = value.unwrap()
        decoded.append(
            platform_port.Record(
                key=record.key, value=value.unwrap(), offset=record.offset
            )
        )
    return result.Success(tuple(decoded))


def _decode(
    record: EncodedRecord, base: bytes | None
) -> result.Result[bytes, errors.Error]:
    if record.delta is None and not record.compressed:
        return result.Success(record.value)
    if record.delta is None:
        decoded = compression.decompress(record.value)
    else:
        decoded = record_delta.apply(base or b"", record.delta)
    return decoded.alt(lambda error: _with_position(error, record))


def _too_long(record: EncodedRecord) -> errors.Error:
    error = errors.Error(
        kind=errors.ErrorKind.RECORD_INVALID,
        message=f"page longer than {MAX_PAGE_BYTES} bytes",
    )
    return _with_position(error, record)


def _with_position(error: errors.Error, record: EncodedRecord) -> errors.Error:
    """Returns the error with the record that it concerns."""
    position = f"record {record.key!r} at {record.offset}"
    return dataclasses.replace(error, message=f"{position}: {error.message}")
