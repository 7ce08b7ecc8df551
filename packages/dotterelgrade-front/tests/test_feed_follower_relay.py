"""What a follower makes of what the planner relays."""

import time

import feed_fakes
import gevent
import platform_fakes

from dotterelgrade_front import copy_publisher
from dotterelgrade_routing import feed_freshness
from dotterelgrade_routing import feed_timing
from dotterelgrade_routing import fleet as fleet_lib
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import record_copy
from dotterelgrade_routing import relay_encoding


def test_front_does_not_read_while_the_planner_relays_all_records(
    front, follower
):
    """Load pattern: reads of many fronts would load the store."""
    feed, follower = follower
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    feed_fakes.wait_until(lambda: follower.end == 1)
    reads = None
    for _ in range(20):
        follower.note_relayed(
            end=1, heard_at=time.monotonic(), current_at=time.monotonic()
        )
        gevent.sleep(0.05)
        reads = feed.reads if reads is None else reads
    assert feed.reads - reads <= 1
    page = platform_port.Page(
        records=(platform_port.Record(key="config", value=b"v2", offset=1),),
        end=2,
    )
    follower.apply_relayed(1, page)
    assert front.state.configuration.version == 2
    running.kill()


def test_front_reads_the_store_if_the_planner_is_silent(front, follower):
    """Load pattern: the planner fails and the configuration changes."""
    feed, follower = follower
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    feed_fakes.wait_until(lambda: follower.end == 1)
    follower.note_relayed(
        end=1, heard_at=time.monotonic(), current_at=time.monotonic()
    )
    gevent.sleep(0.1)
    feed.add("config", b"v3")
    started = time.monotonic()
    feed_fakes.wait_until(lambda: front.state.configuration.version == 3)
    assert time.monotonic() - started < 1.7
    running.kill()


def test_relayed_record_on_which_a_sink_fails_stops_no_other(
    front, follower, caplog
):
    """It ended the link to the planner, which sent the record again."""
    feed, follower = follower
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    feed_fakes.wait_until(lambda: follower.end == 1)
    state = front.state
    decode = state.platform.documents.decode_configuration

    def decode_others(body):
        if body == b"odd":
            raise ArithmeticError("odd record")
        return decode(body)

    state.platform.documents.decode_configuration = decode_others
    records = tuple(
        platform_port.Record(key="config", value=value, offset=offset)
        for offset, value in ((1, b"odd"), (2, b"v3"))
    )
    follower.apply_relayed(1, platform_port.Page(records=records, end=3))
    assert state.configuration.version == 3
    assert "record_failed" in [record.message for record in caplog.records]
    running.kill()


def test_relayed_records_after_a_gap_are_ignored(front, follower):
    _, follower = follower
    page = platform_port.Page(
        records=(platform_port.Record(key="config", value=b"v2", offset=7),),
        end=8,
    )
    follower.apply_relayed(7, page)
    assert front.state.configuration is None


def test_relayed_records_of_an_earlier_era_are_ignored(front, follower):
    feed, follower = follower
    feed.add("config", b"v1")
    feed.restore(end=1)
    running = gevent.spawn(follower.run)
    feed_fakes.wait_until(lambda: follower.end == 1)
    page = platform_port.Page(
        records=(platform_port.Record(key="config", value=b"v2", offset=1),),
        end=2,
        era=0,
    )
    follower.apply_relayed(1, page)
    assert front.state.configuration.version == 1
    assert follower.end == 1
    running.kill()


def test_front_of_an_earlier_era_reads_the_store(front, follower):
    """Load pattern: the planner notices the restored store first."""
    feed, follower = follower
    feed.add("config", b"v1")
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    feed_fakes.wait_until(lambda: follower.end == 2)
    feed.restore(end=1)
    feed.add("config", b"v3")
    follower.note_relayed(
        end=2,
        heard_at=time.monotonic(),
        current_at=time.monotonic(),
        era=feed.era,
    )
    feed_fakes.wait_until(lambda: front.state.configuration.version == 3)
    running.kill()


def test_removal_is_immediate_after_an_outage_of_one_front(
    front, put_server_document
):
    """Load pattern: the store rejects one front and serves the others."""
    state = front.state
    feed = state.platform.backend_servers
    follower = feed_fakes.server_follower(state)
    put_server_document(state, "s")
    feed.add("s", b"s")
    running = gevent.spawn(follower.run)
    feed_fakes.wait_until(lambda: state.fleet.get("s") is not None)
    feed.down = True
    gevent.sleep(0.2)
    heard_at = time.monotonic() - fleet_lib.OUTAGE_GRACE_S
    follower.note_relayed(end=9, heard_at=heard_at, current_at=heard_at)
    feed.down = False
    feed.add("s", b"")
    feed_fakes.wait_until(lambda: follower.end == 2)
    assert state.fleet.get("s") is None
    running.kill()


def test_reads_during_an_outage_are_few_while_the_planner_tries_as_well(
    follower,
):
    """Load pattern: the store is away for eight seconds at 40 fronts."""
    feed, follower = follower
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    feed_fakes.wait_until(lambda: follower.end == 1)
    feed.down = True
    lost_at = time.monotonic()
    reads = feed.reads
    while time.monotonic() - lost_at < 6.0:
        follower.note_relayed(end=1, heard_at=lost_at, current_at=lost_at)
        gevent.sleep(0.1)
    assert feed.reads - reads <= 7
    feed.add("config", b"v2")
    feed.down = False
    follower.note_relayed(
        end=1, heard_at=time.monotonic(), current_at=time.monotonic()
    )
    feed_fakes.wait_until(lambda: follower.end == 2)
    running.kill()


def test_a_late_complete_state_takes_nothing_back(front, put_server_document):
    """The planner has read all keys anew, and its message is delayed."""
    state = front.state
    feed = state.platform.backend_servers
    follower = feed_fakes.server_follower(state)
    put_server_document(state, "s")
    feed.add("other", b"forged")
    late = feed.newest()
    feed.add("s", b"s")
    follower._read()
    page = relay_encoding.EncodedPage(
        records=tuple(
            relay_encoding.encode_all(
                relay_encoding.ENCODINGS.make("delta"), late.records, bases={}
            )
        ),
        end=late.end,
        era=late.era,
    )
    taken = []
    follower._sink.replace_all = taken.append
    follower.apply_changes(None, page)
    assert not taken
    assert follower.end == 2


class _SlowFeed(platform_fakes.FakeFeed):
    """A feed over a weak link: each answer takes a while to arrive."""

    ANSWER_S = 0.3

    def read(self, *, start, wait_s, answer_timeout_s):
        page = super().read(
            start=start, wait_s=wait_s, answer_timeout_s=answer_timeout_s
        )
        gevent.sleep(self.ANSWER_S)
        return page


def test_versions_after_a_missed_record_are_not_late(front):
    """Load pattern: versions follow each other while planners change.

    The front misses one record; each later one is relayed while its own read
    is under way, and the planner's last position looks like its own.
    """
    feed = _SlowFeed()
    follower = feed_fakes.configuration_follower(front.state, feed)
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    feed_fakes.wait_until(lambda: follower.end == 1)
    longest_lag_s = 0.0
    lags_since = time.monotonic()
    for number in range(1, 25):
        feed.add("config", b"v%d" % number)
        if number > 1:
            record = feed.records[number]
            page = platform_port.Page(records=(record,), end=number + 1)
            follower.apply_relayed(number, page)
        follower.note_relayed(
            end=number + 1,
            heard_at=time.monotonic(),
            current_at=time.monotonic(),
        )
        gevent.sleep(0.15)
        if follower.end == number + 1:
            lags_since = time.monotonic()
        longest_lag_s = max(longest_lag_s, time.monotonic() - lags_since)
    running.kill()
    assert longest_lag_s < 2 * feed.ANSWER_S + 0.2


def test_a_late_answer_does_not_replace_a_later_relayed_version(front, delayed):
    """The front is elected just then, and would relay and copy old versions."""
    feed, follower = delayed
    feed.add("config", feed_fakes.LARGE + b"1")
    reading = gevent.spawn(follower._read)
    gevent.sleep(0.05)
    feed.add("config", feed_fakes.LARGE + b"2")
    page = platform_port.Page(records=tuple(feed.records[1:3]), end=3)
    follower.apply_relayed(1, page)
    feed.answered.set()
    reading.join()
    assert follower.end == 3
    assert follower.latest("config").value == feed_fakes.LARGE + b"2"
    publisher = copy_publisher.CopyPublisher(
        front.state, follower=follower, leads=lambda: True
    )
    publisher.publish_once()
    copy = record_copy.decode(front.state.platform.copies.body).unwrap()
    assert (copy.offset, copy.end) == (2, 3)


def test_a_front_that_missed_records_asks_a_silent_store_sooner(follower):
    """The store is away, and the planner has a version that this front lacks.

    Nobody will relay it again once the store is back.
    """
    feed, follower = follower
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    feed_fakes.wait_until(lambda: follower.end == 1)
    feed.down = True
    lost_at = asked_at = time.monotonic()
    reads, longest_pause_s = feed.reads, 0.0
    while time.monotonic() - lost_at < 7.0:
        follower.note_relayed(end=2, heard_at=lost_at, current_at=lost_at)
        gevent.sleep(0.05)
        if feed.reads > reads:
            reads, asked_at = feed.reads, time.monotonic()
        longest_pause_s = max(longest_pause_s, time.monotonic() - asked_at)
    running.kill()
    assert longest_pause_s < 1.4


def test_a_late_relayed_page_takes_nothing_back(delayed):
    """A page of the planner before arrives after those of the next one."""
    feed, follower = delayed
    feed.add("config", feed_fakes.LARGE + b"1")
    feed.add("config", feed_fakes.LARGE + b"2")
    for start, end in ((0, 3), (0, 2)):
        page = platform_port.Page(
            records=tuple(feed.records[start:end]), end=end
        )
        follower.apply_relayed(start, page)
    assert follower.end == 3
    assert follower.latest("config").value == feed_fakes.LARGE + b"2"


def test_a_relayed_contact_ends_an_outage_when_the_store_answered(front):
    """A live server's entry that lapsed is back about 2 s after the store.

    The grace must not begin with the older time for which records are certain.
    """
    state = front.state
    follower = feed_fakes.server_follower(state)
    follower._read()
    follower._note_outage("down")
    now = time.monotonic()
    follower.note_relayed(end=0, heard_at=now, current_at=now - 1.0)
    assert state.fleet._available_at == now


def _proves_absence(front):
    freshness = front.state.known_configuration.freshness
    return freshness.proves_absence(now=time.monotonic())


def _relayed_state(version, *, end, era=0):
    """Returns the newest records of all keys as the planner relays them."""
    record = platform_port.Record(
        key="config", value=b"v%d" % version, offset=end - 1
    )
    encoded = relay_encoding.encode_all(
        relay_encoding.ENCODINGS.make("whole"), [record], bases={}
    )
    return relay_encoding.EncodedPage(records=tuple(encoded), end=end, era=era)


def test_a_front_that_starts_refuses_nothing_on_a_state_of_unknown_age(
    front, follower
):
    """Its first state is relayed; the planner may be cut off from the store."""
    _, follower = follower
    known = front.state.known_configuration
    known.freshness = feed_freshness.FeedFreshness()
    follower.apply_changes(None, _relayed_state(1, end=1))
    assert front.state.configuration.version == 1
    assert not _proves_absence(front)
    now = time.monotonic()
    old = now - feed_timing.CONFIGURATION_BOUND_S - 0.1
    follower.note_relayed(end=1, heard_at=now, current_at=old)
    assert not _proves_absence(front)
    follower.note_relayed(end=1, heard_at=now, current_at=now)
    assert _proves_absence(front)


def test_a_front_that_starts_takes_no_state_of_an_earlier_era(front, follower):
    """A planner that has not read the restored store answers first."""
    feed, follower = follower
    feed.add("config", b"v2")
    feed.restore(end=1)
    follower._read()
    assert follower.era == feed.era
    follower.apply_changes(None, _relayed_state(1, end=9, era=feed.era - 1))
    now = time.monotonic()
    follower.note_relayed(end=9, heard_at=now, current_at=now, era=feed.era - 1)
    assert front.state.configuration.version == 2
    assert follower.end == 1
