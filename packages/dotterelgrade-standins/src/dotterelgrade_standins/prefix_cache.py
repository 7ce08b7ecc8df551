"""Prompt prefixes that an engine keeps in limited memory, with late events."""

import collections
from collections.abc import Sequence
import dataclasses
import time

from dotterelgrade_standins import layers

_MAX_EVENTS = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheEvent:
    """A prefix was stored or evicted.

    Attributes:
        number: Number of the event; lost events leave gaps.
        kind: "stored" or "evicted".
        prefix: Digest of the prefix.
    """

    number: int
    kind: str
    prefix: int


class PrefixCache:
    """Blocks of prefixes, the least recently used one leaves first."""

    def __init__(
        self, *, capacity: int, event_lag_s: float = 0.0, event_gap: int = 0
    ) -> None:
        """Initializes an empty cache.

        Args:
            capacity: Blocks that fit.
            event_lag_s: Age at which events show, s.
            event_gap: Every so many events one is lost; 0 for none.
        """
        self._capacity = capacity
        self._event_lag_s = event_lag_s
        self._event_gap = event_gap
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, CacheEvent]] = (
            collections.deque(maxlen=_MAX_EVENTS)
        )
        self._event_count = 0

    def digests(self) -> list[int]:
        """Returns the digests of the cached prefixes."""
        return list(self._blocks)

    def use(self, inputs: Sequence[int]) -> int:
        """Stores the prefixes of a prompt.

        Args:
            inputs: What the first layer held gets for the prompt.

        Returns:
            How many of the inputs were cached before.
        """
        cached = 0
        is_cached = True
        for digest in layers.prefix_digests(inputs):
            is_cached = is_cached and digest in self._blocks
            if is_cached:
                cached += layers.PREFIX_BLOCK_TOKENS
                self._blocks.move_to_end(digest)
            else:
                self._store(digest)
        return cached

    def clear(self) -> None:
        """Drops every prefix."""
        for digest in list(self._blocks):
            self._evict(digest)

    def events(self, start: int) -> list[CacheEvent]:
        """Returns the events from a number on that show by now."""
        shown_at = time.monotonic() - self._event_lag_s
        return [
            item
            for at, item in self._events
            if at <= shown_at and item.number >= start
        ]

    def _store(self, digest: int) -> None:
        self._blocks[digest] = None
        self._note("stored", digest)
        while len(self._blocks) > self._capacity:
            self._evict(next(iter(self._blocks)))

    def _evict(self, digest: int) -> None:
        del self._blocks[digest]
        self._note("evicted", digest)

    def _note(self, kind: str, digest: int) -> None:
        self._event_count += 1
        if self._event_gap and self._event_count % self._event_gap == 0:
            return
        event = CacheEvent(number=self._event_count, kind=kind, prefix=digest)
        self._events.append((time.monotonic(), event))
