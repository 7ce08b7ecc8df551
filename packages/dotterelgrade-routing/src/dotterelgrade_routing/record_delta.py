"""Differences between two versions of a record.

A record is split after each closing brace, so that a changed entry of a JSON
list differs in one piece. A difference names runs of pieces of the old version
and the bytes between them, with digests of both versions.
"""

from collections.abc import Sequence
import dataclasses

from returns import result
import xxhash

from dotterelgrade import errors
from dotterelgrade_routing import compression

_SEPARATOR = b"}"


@dataclasses.dataclass(frozen=True, kw_only=True)
class DeltaPart:
    """A run of pieces of the old version, then new bytes.

    Attributes:
        first: Index of the first piece.
        count: Number of pieces.
        literal: Bytes after the pieces.
    """

    first: int
    count: int
    literal: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delta:
    """How a record differs from an older version.

    Attributes:
        base_digest: Digest of the old version.
        digest: Digest of the new version.
        parts: The new version, from its start to its end.
    """

    base_digest: int
    digest: int
    parts: list[DeltaPart]

    @property
    def literal_bytes(self) -> int:
        """Size of the bytes that are not in the old version."""
        return sum(len(part.literal) for part in self.parts)


def compute(base: bytes, target: bytes) -> Delta:
    """Returns the difference between two versions.

    Args:
        base: The old version.
        target: The new version.
    """
    base_pieces = _split(base)
    positions = {piece: index for index, piece in enumerate(base_pieces)}
    parts: list[DeltaPart] = []
    first = count = 0
    literal: list[bytes] = []
    for piece in _split(target):
        following = first + count
        runs_on = not literal and following < len(base_pieces)
        if count and runs_on and base_pieces[following] == piece:
            count += 1
            continue
        position = positions.get(piece)
        if position is None:
            literal.append(piece)
            continue
        parts.append(_part(first, count, literal))
        first, count, literal = position, 1, []
    parts.append(_part(first, count, literal))
    return Delta(
        base_digest=_digest(base),
        digest=_digest(target),
        parts=[part for part in parts if part.count or part.literal],
    )


def apply(base: bytes, delta: Delta) -> result.Result[bytes, errors.Error]:
    """Returns the new version, or why it can't be derived.

    Args:
        base: The old version.
        delta: The difference, as received from a peer.
    """
    if _digest(base) != delta.base_digest:
        return _invalid("difference to another version")
    pieces = _split(base)
    target: list[bytes] = []
    size = 0
    for part in delta.parts:
        end = part.first + part.count
        if part.first < 0 or part.count < 0 or end > len(pieces):
            return _invalid(f"pieces {part.first} to {end} of {len(pieces)}")
        run = pieces[part.first : end]
        size += sum(map(len, run)) + len(part.literal)
        if size > compression.MAX_RECORD_BYTES:
            return _invalid(f"longer than {compression.MAX_RECORD_BYTES} bytes")
        target += run
        target.append(part.literal)
    body = b"".join(target)
    if _digest(body) != delta.digest:
        return _invalid("result has another digest")
    return result.Success(body)


def _part(first: int, count: int, literal: Sequence[bytes]) -> DeltaPart:
    return DeltaPart(first=first, count=count, literal=b"".join(literal))


def _split(body: bytes) -> list[bytes]:
    *pieces, rest = body.split(_SEPARATOR)
    return [*(piece + _SEPARATOR for piece in pieces), rest]


def _digest(body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(body)


def _invalid(reason: str) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(kind=errors.ErrorKind.RECORD_INVALID, message=reason)
    )
