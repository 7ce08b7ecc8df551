"""Follows a feed of the store through its outages."""

from collections.abc import Callable, Mapping
import logging
import random
import time
from typing import Protocol

import gevent

from dotterelgrade_front import peer_frames
from dotterelgrade_routing import feed_position
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import store_era

_LOG = logging.getLogger(__name__)

# A read that finds nothing new ends after this time; a connection that fell
# silent is given up soon after, so that no change is missed for long.
WAIT_S = 2.0
# Who reads for all fronts shows them more often that the store still answers.
RELAYING_WAIT_S = 0.5
RELAYING_GATHER_S = 0.1
_FIRST_PAUSE_S = 0.15
_LONGEST_PAUSE_S = 0.8
# A relayed record may come while a read begins.
_SHORTEST_REST_S = 0.01


class Sink(Protocol):
    """Takes in what a feed says."""

    def whole(self, page: platform_port.Page) -> None:
        """Takes in the newest record of every key."""

    def change(self, record: platform_port.Record) -> None:
        """Takes in one further record."""

    def contact(self, *, heard_at: float) -> None:
        """Takes in when the store last answered, monotonic time, s."""

    def outage(self) -> None:
        """Takes in that the store did not answer, nor others lately."""

    def others_heard(self, *, at: float) -> None:
        """Takes in when the store last answered the planner, monotonic, s."""


class FeedFollower:
    """Follows one feed in a greenlet of its own.

    Reads the store, unless the planner has passed everything on lately.
    """

    def __init__(
        self,
        feed: platform_port.Feed,
        *,
        sink: Sink,
        rng: random.Random,
        count: Callable[[str], None],
        gather_s: float = 0.0,
        pass_on: Callable[[int, platform_port.Page], None] | None = None,
    ) -> None:
        """Initializes the follower; `run` follows.

        Args:
            feed: What to follow.
            sink: Takes in what it says.
            rng: Spreads the reads of many fronts after an outage.
            count: Counts reads by their result.
            gather_s: Pause after news, in which further news gathers, s.
            pass_on: Gets the records from an offset on that were read.
        """
        self._feed = feed
        self._sink = sink
        self._rng = rng
        self._count = count
        self._gather_s = gather_s
        self._pass_on = pass_on
        self._relaying = False
        self._position = feed_position.FeedPosition()
        self._heard_at = self._others_heard_at = float("-inf")
        self._pause_s = _FIRST_PAUSE_S
        self._lost_at: float | None = None

    def __repr__(self) -> str:
        """Shows the feed and the position."""
        return f"<FeedFollower {self._feed} at {self._position}>"

    @property
    def end(self) -> int | None:
        """Offset behind the last record, or None before the first read."""
        return self._position.end

    @property
    def heard_at(self) -> float:
        """Monotonic time at which the store last answered, s."""
        return self._heard_at

    @property
    def era(self) -> int:
        """Era of the store to which the offset belongs."""
        return self._position.era

    def set_relaying(self, relaying: bool) -> None:
        """Takes in whether this front reads for all."""
        self._relaying = relaying

    def run(self) -> None:
        """Follows the feed until the greenlet is killed."""
        while True:
            self._enter_era(self._feed.era)
            covered_s = self._position.covered_s(now=time.monotonic())
            if covered_s > 0 and not self._relaying:
                gevent.sleep(max(covered_s, _SHORTEST_REST_S))
                continue
            try:
                self._read()
            except platform_port.RecordsExpiredError as error:
                _LOG.info("feed_expired", extra={"feed": str(error)})
                self._position.reset()
                self._count("expired")
            except platform_port.StoreError as error:
                self._note_outage(str(error))
                gevent.sleep(self._pause_s * (0.5 + self._rng.random()))
                self._pause_s = min(self._pause_s * 2, _LONGEST_PAUSE_S)
            except Exception:
                # Who starts this again logs it; the newest records may not hold
                # what could not be taken in.
                self._position.reset()
                raise

    def take_in(self, start: int, page: platform_port.Page) -> None:
        """Takes in records that the planner passes on.

        Args:
            start: Offset from which on the page holds all records.
            page: The records.
        """
        self._enter_era(page.era)
        if not self._position.continues(start, era=page.era):
            return
        for record in page.records:
            if record.offset >= self._position.end:
                self._sink.change(record)
        self._position.advance(page.end, era=page.era)

    def note_relayed(
        self, *, end: int, heard_at: float, era: int = store_era.UNCOUNTED
    ) -> None:
        """Takes in how far the planner is and when it heard the store.

        Args:
            end: Offset behind its last record.
            heard_at: Monotonic time, s.
            era: Era of the store to which the offset belongs.
        """
        self._enter_era(era)
        self._position.note_relayed(end=end, heard_at=heard_at, era=era)
        self._others_heard_at = max(self._others_heard_at, heard_at)
        self._sink.others_heard(at=heard_at)
        if self._position.covered_s(now=time.monotonic()) > 0:
            self._note_contact(heard_at)

    def _read(self) -> None:
        start = self._position.end
        if start is None:
            page = self._feed.newest()
            self._note_answer()
            self._enter_era(page.era)
            if page.era != self._position.era:
                return
            self._sink.whole(page)
        else:
            page = self._feed.read(start=start, wait_s=self._wait_s())
            self._note_answer()
            if not self._position.continues(start, era=page.era):
                # The position was dropped meanwhile; all is read anew.
                return
            for record in page.records:
                self._sink.change(record)
        self._position.advance(page.end, era=page.era)
        if not page.records:
            return
        if start is not None and self._pass_on is not None:
            self._pass_on(start, page)
        gevent.sleep(self._pause_after_news_s())

    def _enter_era(self, era: int) -> None:
        """Drops the position if the store came back from a copy since."""
        before, end = self._position.era, self._position.end
        if not self._position.enter(era):
            return
        if before == store_era.UNCOUNTED and end is None:
            # The first answer of all.
            return
        self._count("era_risen")
        _LOG.warning(
            "store_era_risen",
            extra={
                "feed": repr(self._feed),
                "era": era,
                "era_before": before,
                "dropped_end": end,
            },
        )

    def _pause_after_news_s(self) -> float:
        if self._relaying:
            return min(self._gather_s, RELAYING_GATHER_S)
        return self._gather_s

    def _wait_s(self) -> float:
        if self._lost_at is not None:
            # The first read after an outage shows at once that it is over.
            return 0.0
        return RELAYING_WAIT_S if self._relaying else WAIT_S

    def _note_answer(self) -> None:
        self._count("answered")
        self._note_contact(time.monotonic())

    def _note_contact(self, heard_at: float) -> None:
        self._heard_at = max(self._heard_at, heard_at)
        self._pause_s = _FIRST_PAUSE_S
        if self._lost_at is not None:
            away_s = time.monotonic() - self._lost_at
            self._lost_at = None
            _LOG.info(
                "store_regained",
                extra={"feed": repr(self._feed), "away_s": round(away_s, 2)},
            )
        self._sink.contact(heard_at=self._heard_at)

    def _note_outage(self, reason: str) -> None:
        self._count("failed")
        if self._lost_at is None:
            self._lost_at = time.monotonic()
            _LOG.warning(
                "store_lost",
                extra={"feed": repr(self._feed), "reason": reason},
            )
        others_silent_s = time.monotonic() - self._others_heard_at
        if others_silent_s > feed_position.RELAY_VALID_S:
            self._sink.outage()


Followers = Mapping[peer_frames.FeedName, FeedFollower]
