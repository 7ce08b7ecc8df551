"""The items of the stream `claims` and their JSON form."""

from collections.abc import Iterator
import logging
from typing import Annotated, Any

import msgspec
from returns import result

from dotterelgrade import appender
from dotterelgrade import bounded
from dotterelgrade import decoding
from dotterelgrade import log_client

_LOG = logging.getLogger(__name__)

Key = tuple[str, str]
_Status = Annotated[int, msgspec.Meta(ge=0, le=999)]


class _Item(msgspec.Struct, frozen=True, kw_only=True, tag_field="type"):
    workspace: str
    key: str
    claim: str

    @property
    def subject(self) -> Key:
        """The key within its workspace."""
        return (self.workspace, self.key)


class Claim(_Item, frozen=True, kw_only=True, tag="claim"):
    """Asks for the right to run the call of a key.

    Attributes:
        workspace: Workspace of the caller.
        key: Idempotency key.
        claim: Identifier of the claim.
        key_time_s: When the key was made, s since the epoch.
        digest: Digest of the request.
        claimer: Incarnation that claims.
        seen: Offset up to which the claimer had read the stream.
        at_s: Wall-clock time when it had, s since the epoch.
    """

    key_time_s: bounded.Amount
    digest: str
    claimer: str
    seen: bounded.Count
    at_s: bounded.Amount


class Outcome(_Item, frozen=True, kw_only=True, tag="outcome"):
    """What came of the call.

    Attributes:
        workspace: Workspace of the caller.
        key: Idempotency key.
        claim: The claim under which the call ran.
        status: HTTP status; 0 when nobody knows what came of the call.
        headers: Headers of the answer.
        body: Body of the answer.
        is_whole: Whether the body was small enough to be recorded.
    """

    status: _Status
    headers: dict[str, str]
    body: bytes
    is_whole: bool = True

    @property
    def is_known(self) -> bool:
        """Whether the service answered."""
        return self.status != 0


class Release(_Item, frozen=True, kw_only=True, tag="release"):
    """Gives a claim up under which nothing ran or will run."""


Item = Claim | Outcome | Release


def to_json(item: Item) -> dict[str, Any]:
    """Returns the JSON object that stands for an item."""
    return msgspec.to_builtins(item)


def decode(record: log_client.Record) -> Iterator[Item]:
    """Yields the valid items of a record; invalid ones are logged.

    Args:
        record: A record of the stream.

    Yields:
        The items in their order.

    Raises:
        errors.DotterelgradeError: RECORD_INVALID, when it is no batch.
    """
    for value in appender.decode(record.body).items:
        item = decoding.attempt(_convert, value, what="claim item")
        if isinstance(item, result.Success):
            yield item.unwrap()
            continue
        _LOG.warning(
            "claim item skipped",
            extra={"offset": record.offset, "reason": item.failure().message},
        )


def _convert(value: dict[str, Any]) -> Item:
    return msgspec.convert(value, Item)
