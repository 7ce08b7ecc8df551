"""Reads a feed of the store continuously, with retries during outages."""

from collections.abc import Callable, Mapping
import dataclasses
import logging
import random
import time
from typing import Protocol, TypeVar

import gevent
from gevent import event
from returns import result

from dotterelgrade import errors
from dotterelgrade_front import guarded_records
from dotterelgrade_front import peer_frames
from dotterelgrade_routing import feed_freshness
from dotterelgrade_routing import feed_position
from dotterelgrade_routing import feed_timing
from dotterelgrade_routing import latest_records
from dotterelgrade_routing import pending_pages
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import relay_encoding
from dotterelgrade_routing import store_era

_LOG = logging.getLogger(__name__)

# A planner that has sent no snapshot for this time may be lost.
_PLANNER_SILENCE_S = 0.8
# A relayed record may arrive just before a read starts.
_MIN_SLEEP_S = 0.01


class Sink(Protocol):
    """Receives the records of a feed and the state of its connection."""

    def replace_all(self, page: platform_port.Page) -> None:
        """Applies the newest record of every key."""

    def apply(self, record: platform_port.Record) -> None:
        """Applies one further record."""

    def note_contact(self, *, heard_at: float) -> None:
        """Notes when the store last answered, monotonic time, s."""

    def note_freshness(self, freshness: feed_freshness.FeedFreshness) -> None:
        """Notes up to when all records are known."""

    def note_outage(self) -> None:
        """Notes that the store is unreachable from all fronts."""

    def note_relayed_contact(self, *, at: float) -> None:
        """Notes when the store last answered the planner, monotonic time, s."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _UnknownRecords:
    """Records that a read has brought.

    Attributes:
        start: Offset from which they are complete, or None if they are the
            newest of all keys.
        page: The records.
        bases: Newest large values by key before them.
    """

    start: int | None
    page: platform_port.Page
    bases: Mapping[str, bytes]


_PageT = TypeVar("_PageT", platform_port.Page, relay_encoding.EncodedPage)
OnPage = Callable[[int | None, platform_port.Page, Mapping[str, bytes]], None]


class FeedFollower:
    """Follows one feed in a greenlet of its own.

    It reads the store only while the planner does not relay all records.
    """

    def __init__(
        self,
        feed: platform_port.Feed,
        *,
        sink: Sink,
        rng: random.Random,
        count: Callable[[str], None],
        batch_delay_s: float = 0.0,
        on_page: OnPage | None = None,
    ) -> None:
        """Initializes the follower; `run` starts it.

        Args:
            feed: The feed to follow.
            sink: Receives the records.
            rng: Jitter for the reads of many fronts after an outage.
            count: Counts reads by their result.
            batch_delay_s: Pause after new records, to read later ones in one
                batch, s.
            on_page: Called with the start offset and the records of each read,
                and the newest large values by key before them; the offset is
                None if the records are the newest of all keys.
        """
        self._feed = feed
        self._sink = sink
        self._rng = rng
        self._count = count
        self._batch_delay_s = batch_delay_s
        self._on_page = on_page
        self._relaying = False
        self._position = feed_position.FeedPosition()
        self._latest = latest_records.LatestRecords()
        self._pending = pending_pages.PendingPages()
        self._left_behind = event.Event()
        self._heard_at = self._others_heard_at = float("-inf")
        self._current_at = self._snapshot_at = float("-inf")
        self._retry_pause_s = feed_timing.MIN_RETRY_PAUSE_S
        self._lost_at: float | None = None
        self._cover_ended = False
        self._failures = 0

    def __repr__(self) -> str:
        """Shows the feed and the position."""
        return f"<FeedFollower {self._feed} at {self._position}>"

    @property
    def end(self) -> int | None:
        """Offset after the last record, or None before the first read."""
        return self._position.end

    @property
    def heard_at(self) -> float:
        """Monotonic time at which the store last answered, s."""
        return self._heard_at

    @property
    def current_at(self) -> float:
        """All records acknowledged by this monotonic time are applied, s."""
        return self._current_at

    @property
    def era(self) -> int:
        """Era of the store to which the offset belongs."""
        return self._position.era

    def latest(self, key: str) -> platform_port.Record | None:
        """Returns the newest large record of a key, as of the offset."""
        return self._latest.get(key)

    def set_relaying(self, relaying: bool) -> None:
        """Sets whether this front reads the feed for all fronts."""
        self._relaying = relaying

    def run(self) -> None:
        """Follows the feed until the greenlet is killed."""
        while True:
            self._enter_era(self._feed.era)
            covered_s = self._position.relay_valid_for_s(now=time.monotonic())
            if covered_s > 0 and not self._relaying:
                self._left_behind.clear()
                self._left_behind.wait(max(covered_s, _MIN_SLEEP_S))
                self._cover_ended = True
                continue
            try:
                self._read()
            except platform_port.RecordsExpiredError as error:
                _LOG.info("feed_expired", extra={"feed": str(error)})
                self._position.reset()
                self._count("expired")
            except platform_port.StoreError as error:
                self._note_outage(str(error))
                gevent.sleep(
                    feed_timing.spread_pause_s(
                        self._retry_pause_s, jitter=self._rng.random()
                    )
                )
                self._retry_pause_s = min(
                    self._retry_pause_s * 2, self._max_retry_pause_s()
                )
            except Exception:
                # The supervisor logs this and restarts the follower, which then
                # reads the newest records; the failing one may not be in them.
                self._position.reset()
                raise

    def apply_relayed(self, start: int, page: platform_port.Page) -> None:
        """Applies records that the planner relays.

        Args:
            start: Offset of the first record of the page.
            page: The records.
        """
        self._enter_era(page.era)
        if self._position.is_contiguous(start, era=page.era):
            self._apply_page(self._unknown(page))
        else:
            self._keep_pending(start, relay_encoding.encode_whole(page))

    def apply_changes(
        self, start: int | None, page: relay_encoding.EncodedPage
    ) -> result.Result[None, errors.Error]:
        """Applies encoded records that the planner relays.

        Args:
            start: Offset from which the records are complete, or None if they
                are the newest of all keys.
            page: The records.

        Returns:
            Why a record can't be decoded; then none of them is applied, and
            the next read of the store brings them.
        """
        self._enter_era(page.era)
        if start is None:
            return self._apply_newest(page)
        if self._position.is_contiguous(start, era=page.era):
            return self._apply_following(page)
        self._keep_pending(start, page)
        return result.Success(None)

    def _apply_newest(
        self, page: relay_encoding.EncodedPage
    ) -> result.Result[None, errors.Error]:
        """Applies the newest records of all keys, unless they are known."""
        known_end = -1 if self._position.end is None else self._position.end
        if page.era != self._position.era or page.end <= known_end:
            return result.Success(None)
        return self._decode(page).map(self._replace_all)

    def _apply_following(
        self, page: relay_encoding.EncodedPage
    ) -> result.Result[None, errors.Error]:
        """Applies the records of a page that leaves no gap."""
        return self._decode(self._unknown(page)).map(self._apply_page)

    def _unknown(self, page: _PageT) -> _PageT:
        """Returns a page without the records that are applied already."""
        end = self._position.end
        records = tuple(r for r in page.records if r.offset >= end)
        return dataclasses.replace(page, records=records)

    def _decode(
        self, page: relay_encoding.EncodedPage
    ) -> result.Result[platform_port.Page, errors.Error]:
        decoded = relay_encoding.decode_all(
            page.records, bases=self._latest.values()
        )
        return decoded.map(
            lambda records: platform_port.Page(
                records=records, end=page.end, era=page.era
            )
        )

    def _apply_page(self, page: platform_port.Page) -> None:
        guarded_records.apply_each(page.records, self._sink.apply)
        for record in page.records:
            self._latest.note(record)
        self._position.advance(page.end, era=page.era)

    def _keep_pending(
        self, start: int, page: relay_encoding.EncodedPage
    ) -> None:
        """Keeps a page until a read of the store closes the gap before it."""
        if page.era != self._position.era:
            return
        self._pending.add(pending_pages.PendingPage(start=start, page=page))
        self._position.note_gap(page.end)
        self._left_behind.set()

    def _apply_pending(self) -> None:
        """Applies the pages that a read has made contiguous."""
        for pending in self._pending.take_following(self._position):
            applied = self._apply_following(pending.page)
            if isinstance(applied, result.Failure):
                _LOG.warning(
                    "pending_records_rejected",
                    extra={
                        "feed": repr(self._feed),
                        "reason": applied.failure().message,
                        "start": pending.start,
                        "known_end": self._position.end,
                    },
                )
                return

    def note_relayed(
        self,
        *,
        end: int,
        heard_at: float,
        current_at: float,
        era: int = store_era.UNCOUNTED,
    ) -> None:
        """Notes the planner's offset, and when the store last answered it.

        Args:
            end: Offset after its last record.
            heard_at: Monotonic time of the answer, s, as if the planner's
                message had taken no time.
            current_at: Monotonic time, s; the planner certainly had all records
                that were acknowledged by then.
            era: Era of the store to which the offset belongs.
        """
        self._enter_era(era)
        self._position.note_planner_position(
            end=end, current_at=current_at, era=era
        )
        self._others_heard_at = max(self._others_heard_at, heard_at)
        self._snapshot_at = time.monotonic()
        self._sink.note_relayed_contact(at=heard_at)
        if self._position.is_behind_planner:
            self._left_behind.set()
        if self._position.relay_valid_for_s(now=time.monotonic()) > 0:
            self._note_contact(heard_at)
            self._note_current(current_at, feed_freshness.ContactSource.PLANNER)

    def _read(self) -> None:
        """Reads the store once, and passes on what was not known before."""
        if self._position.end is None:
            unknown = self._read_newest()
        else:
            unknown = self._read_following()
        if unknown is None:
            return
        changed = bool(unknown.page.records)
        if changed and self._on_page is not None:
            self._pass_on(unknown)
        self._apply_pending()
        if changed:
            gevent.sleep(self._current_batch_delay_s())

    def _pass_on(self, unknown: _UnknownRecords) -> None:
        """Passes records on; fronts that don't get them read the store."""
        try:
            self._on_page(unknown.start, unknown.page, unknown.bases)
        except Exception:
            _LOG.exception(
                "relay_failed",
                extra={"feed": repr(self._feed), "end": unknown.page.end},
            )

    def _read_newest(self) -> _UnknownRecords | None:
        """Returns the newest records of all keys, unless they are outdated."""
        asked_at = time.monotonic()
        page = self._feed.newest()
        self._note_answer()
        self._enter_era(page.era)
        if page.era != self._position.era:
            return None
        if (self._position.end or 0) > page.end:
            # The planner has relayed a later state meanwhile.
            return None
        bases = self._latest.values()
        self._replace_all(page)
        self._note_current(asked_at, feed_freshness.ContactSource.STORE)
        return _UnknownRecords(start=None, page=page, bases=bases)

    def _read_following(self) -> _UnknownRecords | None:
        """Returns the records after the position that are still unknown."""
        start = self._position.end
        wait_s = self._poll_timeout_s()
        asked_at = time.monotonic()
        page = self._feed.read(
            start=start,
            wait_s=wait_s,
            answer_timeout_s=feed_timing.answer_timeout_s(
                wait_s=wait_s, failures=self._failures
            ),
        )
        answered_at = time.monotonic()
        self._note_answer()
        if not self._position.is_contiguous(start, era=page.era):
            # The position was reset meanwhile; the next read starts anew.
            return None
        bases = self._latest.values()
        known_end = self._position.end
        unknown = self._unknown(page)
        self._apply_page(unknown)
        if page.complete:
            current_at = feed_freshness.answer_current_at(
                asked_at=asked_at,
                wait_s=wait_s,
                answered_at=answered_at,
                changed=bool(page.records),
            )
            self._note_current(current_at, feed_freshness.ContactSource.STORE)
        return _UnknownRecords(start=known_end, page=unknown, bases=bases)

    def _replace_all(self, page: platform_port.Page) -> None:
        self._sink.replace_all(page)
        self._latest.clear()
        for record in page.records:
            self._latest.note(record)
        self._position.advance(page.end, era=page.era)

    def _enter_era(self, era: int) -> None:
        """Resets the position if the store was restored from a copy."""
        before, end = self._position.era, self._position.end
        if not self._position.start_era(era):
            return
        if before == store_era.UNCOUNTED and end is None:
            # The first answer since the start.
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

    def _current_batch_delay_s(self) -> float:
        if self._relaying:
            return min(self._batch_delay_s, feed_timing.RELAYING_BATCH_DELAY_S)
        return self._batch_delay_s

    def _max_retry_pause_s(self) -> float:
        silence_s = time.monotonic() - self._snapshot_at
        planner_silent = silence_s > _PLANNER_SILENCE_S
        if self._relaying or planner_silent or self._position.is_behind_planner:
            return feed_timing.MAX_RETRY_PAUSE_S
        return feed_timing.MAX_COVERED_RETRY_PAUSE_S

    def _poll_timeout_s(self) -> float:
        if self._lost_at is not None or self._cover_ended:
            # The first read after an outage, or after the planner fell silent,
            # does not wait: a lost answer is noticed sooner.
            return 0.0
        return (
            feed_timing.RELAYING_POLL_TIMEOUT_S
            if self._relaying
            else feed_timing.POLL_TIMEOUT_S
        )

    def _note_answer(self) -> None:
        self._count("answered")
        self._failures = 0
        self._cover_ended = False
        self._note_contact(time.monotonic())

    def _note_contact(self, heard_at: float) -> None:
        self._heard_at = max(self._heard_at, heard_at)
        self._retry_pause_s = feed_timing.MIN_RETRY_PAUSE_S
        if self._lost_at is not None:
            away_s = time.monotonic() - self._lost_at
            self._lost_at = None
            _LOG.info(
                "store_regained",
                extra={"feed": repr(self._feed), "away_s": round(away_s, 2)},
            )
        self._sink.note_contact(heard_at=self._heard_at)

    def _note_current(
        self, at: float, source: feed_freshness.ContactSource
    ) -> None:
        """Notes that all records acknowledged by a time are applied."""
        if at < self._current_at:
            return
        self._current_at = at
        self._sink.note_freshness(
            feed_freshness.FeedFreshness(
                end=self._position.end,
                era=self._position.era,
                current_at=at,
                source=source,
            )
        )

    def _note_outage(self, reason: str) -> None:
        self._count("failed")
        self._failures += 1
        if self._lost_at is None:
            self._lost_at = time.monotonic()
            _LOG.warning(
                "store_lost",
                extra={"feed": repr(self._feed), "reason": reason},
            )
        others_silence_s = time.monotonic() - self._others_heard_at
        if others_silence_s > feed_timing.RELAY_VALID_S:
            self._sink.note_outage()


Followers = Mapping[peer_frames.FeedName, FeedFollower]
