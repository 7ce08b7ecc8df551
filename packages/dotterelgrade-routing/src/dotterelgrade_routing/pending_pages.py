"""Relayed pages that follow a gap, kept until a read closes the gap.

Load pattern: a front connects to another planner and misses one record, while
the configuration changes four times a second. Its own read takes longer than
the pause between two changes, so each record relayed meanwhile would leave
another gap.
"""

from collections.abc import Iterator
import dataclasses

from dotterelgrade_routing import feed_position
from dotterelgrade_routing import relay_encoding

# Bounds the memory held. A read takes a fraction of a second, in which a few
# records are relayed.
MAX_PAGES = 32
MAX_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, kw_only=True)
class PendingPage:
    """A page that could not be applied when it arrived.

    Attributes:
        start: Offset from which its records are complete.
        page: The records.
    """

    start: int
    page: relay_encoding.EncodedPage


class PendingPages:
    """Holds pages in the order of their arrival."""

    def __init__(self) -> None:
        """Initializes it without pages."""
        self._pages: list[PendingPage] = []

    def __repr__(self) -> str:
        """Shows the number of pages."""
        return f"<PendingPages {len(self._pages)}>"

    def add(self, page: PendingPage) -> None:
        """Keeps a page, and drops the oldest ones beyond the bounds."""
        self._pages.append(page)
        while len(self._pages) > MAX_PAGES or self._size > MAX_BYTES:
            del self._pages[0]

    def take_following(
        self, position: feed_position.FeedPosition
    ) -> Iterator[PendingPage]:
        """Yields the pages that follow a position, and forgets all others.

        Args:
            position: The position; the caller advances it after each page.
        """
        pages, self._pages = self._pages, []
        for pending in pages:
            if position.is_contiguous(pending.start, era=pending.page.era):
                yield pending

    @property
    def _size(self) -> int:
        """Bytes of all records."""
        return sum(
            record.size for p in self._pages for record in p.page.records
        )
