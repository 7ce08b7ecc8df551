"""Follows a feed of the store through its outages."""

from collections.abc import Callable
import logging
import random
import time
from typing import Protocol

import gevent

from dotterelgrade_routing import platform_port

_LOG = logging.getLogger(__name__)

# A read that finds nothing new ends after this time; a connection that fell
# silent is given up soon after, so that no change is missed for long.
WAIT_S = 2.0
_FIRST_PAUSE_S = 0.15
_LONGEST_PAUSE_S = 0.8


class Sink(Protocol):
    """Takes in what a feed says."""

    def whole(self, page: platform_port.Page) -> None:
        """Takes in the newest record of every key."""

    def change(self, record: platform_port.Record) -> None:
        """Takes in one further record."""

    def contact(self) -> None:
        """Takes in that the store answered."""

    def outage(self) -> None:
        """Takes in that the store did not answer."""


class FeedFollower:
    """Reads one feed in a greenlet of its own."""

    def __init__(
        self,
        feed: platform_port.Feed,
        *,
        sink: Sink,
        rng: random.Random,
        count: Callable[[str], None],
        gather_s: float = 0.0,
    ) -> None:
        """Initializes the follower; `run` follows.

        Args:
            feed: What to follow.
            sink: Takes in what it says.
            rng: Spreads the reads of many fronts after an outage.
            count: Counts reads by their result.
            gather_s: Pause after news, in which further news gathers, s.
        """
        self._feed = feed
        self._sink = sink
        self._rng = rng
        self._count = count
        self._gather_s = gather_s
        self._position: int | None = None
        self._pause_s = _FIRST_PAUSE_S
        self._lost_at: float | None = None

    def __repr__(self) -> str:
        """Shows the feed and the position."""
        return f"<FeedFollower {self._feed} at {self._position}>"

    def run(self) -> None:
        """Follows the feed until the greenlet is killed."""
        while True:
            try:
                self._read()
            except platform_port.RecordsExpiredError as error:
                _LOG.info("feed_expired", extra={"feed": str(error)})
                self._position = None
                self._count("expired")
            except platform_port.StoreError as error:
                self._note_outage(str(error))
                gevent.sleep(self._pause_s * (0.5 + self._rng.random()))
                self._pause_s = min(self._pause_s * 2, _LONGEST_PAUSE_S)

    def _read(self) -> None:
        if self._position is None:
            page = self._feed.newest()
            self._note_contact()
            self._sink.whole(page)
        else:
            # The first read after an outage does not wait: it shows at once
            # that the store is back.
            wait_s = WAIT_S if self._lost_at is None else 0.0
            page = self._feed.read(start=self._position, wait_s=wait_s)
            self._note_contact()
            for record in page.records:
                self._sink.change(record)
        self._position = page.end
        if page.records:
            gevent.sleep(self._gather_s)

    def _note_contact(self) -> None:
        self._count("answered")
        self._pause_s = _FIRST_PAUSE_S
        if self._lost_at is not None:
            away_s = time.monotonic() - self._lost_at
            self._lost_at = None
            _LOG.info(
                "store_regained",
                extra={"feed": repr(self._feed), "away_s": round(away_s, 2)},
            )
        self._sink.contact()

    def _note_outage(self, reason: str) -> None:
        self._count("failed")
        if self._lost_at is None:
            self._lost_at = time.monotonic()
            _LOG.warning(
                "store_lost",
                extra={"feed": repr(self._feed), "reason": reason},
            )
        self._sink.outage()
