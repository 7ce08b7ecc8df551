"""A feed whose large record is read from a compressed copy where possible."""

import logging

from returns import result

from dotterelgrade_routing import platform_port
from dotterelgrade_routing import record_copy

_LOG = logging.getLogger(__name__)


class CopiedFeed:
    """Wraps a feed; see `platform_port.Feed`."""

    def __init__(
        self, feed: platform_port.Feed, *, copies: platform_port.CopyStore
    ) -> None:
        """Initializes the feed.

        Args:
            feed: The feed itself.
            copies: Holds the copy of its large record.
        """
        self._feed = feed
        self._copies = copies

    def __repr__(self) -> str:
        """Shows the feed."""
        return repr(self._feed)

    @property
    def era(self) -> int:
        """The newest era that any answer of the store has stated."""
        return self._feed.era

    def newest(self, *, after: str = "") -> platform_port.Page:
        """Returns the newest record of each key; see `platform_port.Feed`."""
        if after:
            return self._feed.newest(after=after)
        return self._from_copy() or self._feed.newest()

    def read(
        self, *, start: int, wait_s: float, answer_timeout_s: float
    ) -> platform_port.Page:
        """Returns the records from an offset on; see `platform_port.Feed`."""
        return self._feed.read(
            start=start, wait_s=wait_s, answer_timeout_s=answer_timeout_s
        )

    def _from_copy(self) -> platform_port.Page | None:
        """Returns the newest records, or None if the copy is not current."""
        body = self._copies.read()
        if not body:
            return None
        decoded = record_copy.decode(body)
        restored = decoded.bind(record_copy.restore)
        if isinstance(restored, result.Failure):
            _LOG.warning(
                "record_copy_rejected",
                extra={"reason": restored.failure().message},
            )
            return None
        copy, record = decoded.unwrap(), restored.unwrap()
        others = self._feed.newest(after=copy.key)
        if not _is_current(copy, others):
            _LOG.info(
                "record_copy_outdated",
                extra={
                    "end": others.end,
                    "copy_end": copy.end,
                    "copy_offset": copy.offset,
                },
            )
            return None
        return platform_port.Page(
            records=(record, *others.records), end=copy.end, era=copy.era
        )


def _is_current(
    copy: record_copy.RecordCopy, others: platform_port.Page
) -> bool:
    """Returns whether no later record of the copied key can exist.

    The end alone does not tell: a planner of an earlier build may have copied
    an old record with the end of the feed. Every later offset must belong to
    one of the other records.

    Args:
        copy: The copy.
        others: The newest records of the keys after the copied one.
    """
    if (others.end, others.era) != (copy.end, copy.era):
        return False
    later = sum(record.offset > copy.offset for record in others.records)
    return later == copy.end - copy.offset - 1
