import dataclasses
import random
import time

import front_fakes as fakes
import gevent
from gevent import event
import platform_fakes
import pytest

from dotterelgrade_front import copy_publisher
from dotterelgrade_front import feed_follower
from dotterelgrade_front import feed_sinks
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import feed_freshness
from dotterelgrade_routing import feed_timing
from dotterelgrade_routing import fleet as fleet_lib
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import record_copy
from dotterelgrade_routing import relay_encoding


@pytest.fixture
def follow(front):
    """Follows both feeds, and returns the state of the front."""
    state = front.state
    state.known_configuration.configuration = None
    greenlets = [
        gevent.spawn(
            feed_follower.FeedFollower(
                feed, sink=sink, rng=random.Random(1), count=lambda _: None
            ).run
        )
        for feed, sink in (
            (
                state.platform.configurations,
                feed_sinks.ConfigurationSink(state),
            ),
            (state.platform.backend_servers, feed_sinks.ServerSink(state)),
        )
    ]
    yield state
    gevent.killall(greenlets)


def _wait_until(condition):
    with gevent.Timeout(fakes.WAIT_S):
        while not condition():
            gevent.sleep(0.01)


def _feed_with_versions(state):
    for version in (1, 2, 3):
        state.platform.documents.put(
            b"v%d" % version,
            dataclasses.replace(fakes.CONFIGURATION, version=version),
        )
    return state.platform.configurations


def test_newest_configuration_comes_into_force(follow):
    feed = _feed_with_versions(follow)
    feed.add("config", b"v1")
    _wait_until(lambda: follow.configuration is not None)
    feed.add("config", b"v3")
    _wait_until(lambda: follow.configuration.version == 3)


def test_older_version_is_ignored(follow):
    """Load pattern: the store answers with stale records."""
    feed = _feed_with_versions(follow)
    feed.add("config", b"v3")
    _wait_until(lambda: follow.configuration is not None)
    feed.add("config", b"v2")
    feed.add("other", b"v1")
    reads = feed.reads
    _wait_until(lambda: feed.reads > reads + 3)
    assert follow.configuration.version == 3


def test_unreadable_record_is_ignored(follow):
    feed = _feed_with_versions(follow)
    feed.add("config", b"v1")
    _wait_until(lambda: follow.configuration is not None)
    feed.add("config", b"forged")
    reads = feed.reads
    _wait_until(lambda: feed.reads > reads + 3)
    assert follow.configuration.version == 1


def test_follower_continues_after_an_outage_and_expired_records(follow):
    feed = _feed_with_versions(follow)
    feed.add("config", b"v1")
    _wait_until(lambda: follow.configuration is not None)
    feed.down = True
    gevent.sleep(0.3)
    feed.add("config", b"v2")
    feed.first = 2
    feed.down = False
    _wait_until(lambda: follow.configuration.version == 2)


def _configuration_follower(state, feed):
    """Returns a follower of the configurations, not started."""
    return feed_follower.FeedFollower(
        feed,
        sink=feed_sinks.ConfigurationSink(state),
        rng=random.Random(1),
        count=lambda _: None,
    )


def _server_follower(state, **options):
    """Returns a follower of the list of backend servers, not started."""
    return feed_follower.FeedFollower(
        state.platform.backend_servers,
        sink=feed_sinks.ServerSink(state),
        rng=random.Random(1),
        count=lambda _: None,
        **options,
    )


def test_simultaneous_records_are_read_in_batches(front, put_server_document):
    """Load pattern: all backend servers join within two seconds."""
    state = front.state
    feed = state.platform.backend_servers
    follower = _server_follower(state, batch_delay_s=0.3)
    greenlet = gevent.spawn(follower.run)
    for number in range(40):
        put_server_document(state, f"s{number}")
        feed.add(f"s{number}", b"s%d" % number)
        gevent.sleep(0.02)
    _wait_until(lambda: state.fleet.get("s39") is not None)
    greenlet.kill()
    assert feed.reads <= 10


def test_reads_are_limited_during_an_outage(follow):
    feed = follow.platform.configurations
    feed.down = True
    gevent.sleep(0.5)
    before = feed.reads
    gevent.sleep(1.0)
    assert feed.reads - before <= 8


def test_invalid_entry_adds_no_server(follow, put_server_document):
    feed = follow.platform.backend_servers
    put_server_document(follow, "s")
    feed.add("forged", b"bytes")
    feed.add("s", b"s")
    _wait_until(lambda: follow.fleet.get("s") is not None)
    assert [server.id for server in follow.fleet.servers] == ["s"]


def test_removed_entry_leaves_the_fleet(follow, put_server_document):
    feed = follow.platform.backend_servers
    put_server_document(follow, "s")
    feed.add("s", b"s")
    _wait_until(lambda: follow.fleet.get("s") is not None)
    feed.add("s", b"")
    _wait_until(lambda: follow.fleet.get("s") is None)


@pytest.fixture
def follower(front):
    """The configuration feed, and a follower that is not started."""
    state = front.state
    state.known_configuration.configuration = None
    feed = _feed_with_versions(state)
    return feed, _configuration_follower(state, feed)


def test_front_does_not_read_while_the_planner_relays_all_records(
    front, follower
):
    """Load pattern: reads of many fronts would load the store."""
    feed, follower = follower
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    _wait_until(lambda: follower.end == 1)
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
    _wait_until(lambda: follower.end == 1)
    follower.note_relayed(
        end=1, heard_at=time.monotonic(), current_at=time.monotonic()
    )
    gevent.sleep(0.1)
    feed.add("config", b"v3")
    started = time.monotonic()
    _wait_until(lambda: front.state.configuration.version == 3)
    assert time.monotonic() - started < 1.7
    running.kill()


def test_relayed_records_after_a_gap_are_ignored(front, follower):
    _, follower = follower
    page = platform_port.Page(
        records=(platform_port.Record(key="config", value=b"v2", offset=7),),
        end=8,
    )
    follower.apply_relayed(7, page)
    assert front.state.configuration is None


@pytest.fixture
def put_server_document():
    def put(state, server_id):
        state.platform.documents.put(
            server_id.encode(),
            backend_server.BackendServer(
                id=server_id,
                service="plain",
                address="127.0.0.1:1",
                failure_domain="a",
                availability=backend_server.Availability.READY,
                slots=1,
            ),
        )

    return put


def test_restored_store_does_not_revert_the_configuration(follow):
    """Load pattern: the store is restored from a copy that is seconds old."""
    feed = _feed_with_versions(follow)
    feed.add("config", b"v1")
    feed.add("config", b"v2")
    _wait_until(lambda: follow.configuration is not None)
    feed.restore(end=1)
    reads = feed.reads
    _wait_until(lambda: feed.reads > reads + 3)
    assert follow.configuration.version == 2
    feed.add("config", b"v3")
    _wait_until(lambda: follow.configuration.version == 3)


def test_record_at_a_reused_offset_is_read(follow, put_server_document):
    feed = follow.platform.backend_servers
    for name in ("kept", "lost", "new"):
        put_server_document(follow, name)
    feed.add("kept", b"kept")
    feed.add("lost", b"lost")
    _wait_until(lambda: follow.fleet.get("lost") is not None)
    feed.restore(end=1)
    feed.add("new", b"new")
    _wait_until(lambda: follow.fleet.get("new") is not None)
    assert follow.fleet.get("kept") is not None
    # Its entry may return within the grace period after an outage.
    assert follow.fleet.get("lost") is not None


def test_removed_server_stays_removed_after_a_restore(
    follow, put_server_document
):
    feed = follow.platform.backend_servers
    put_server_document(follow, "s")
    feed.add("s", b"s")
    _wait_until(lambda: follow.fleet.get("s") is not None)
    feed.add("s", b"")
    _wait_until(lambda: follow.fleet.get("s") is None)
    feed.restore(end=1)
    reads = feed.reads
    _wait_until(lambda: feed.reads > reads + 3)
    assert follow.fleet.get("s") is None


def test_relayed_records_of_an_earlier_era_are_ignored(front, follower):
    feed, follower = follower
    feed.add("config", b"v1")
    feed.restore(end=1)
    running = gevent.spawn(follower.run)
    _wait_until(lambda: follower.end == 1)
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
    _wait_until(lambda: follower.end == 2)
    feed.restore(end=1)
    feed.add("config", b"v3")
    follower.note_relayed(
        end=2,
        heard_at=time.monotonic(),
        current_at=time.monotonic(),
        era=feed.era,
    )
    _wait_until(lambda: front.state.configuration.version == 3)
    running.kill()


def test_removal_is_immediate_after_an_outage_of_one_front(
    front, put_server_document
):
    """Load pattern: the store rejects one front and serves the others."""
    state = front.state
    feed = state.platform.backend_servers
    follower = _server_follower(state)
    put_server_document(state, "s")
    feed.add("s", b"s")
    running = gevent.spawn(follower.run)
    _wait_until(lambda: state.fleet.get("s") is not None)
    feed.down = True
    gevent.sleep(0.2)
    heard_at = time.monotonic() - fleet_lib.OUTAGE_GRACE_S
    follower.note_relayed(end=9, heard_at=heard_at, current_at=heard_at)
    feed.down = False
    feed.add("s", b"")
    _wait_until(lambda: follower.end == 2)
    assert state.fleet.get("s") is None
    running.kill()


def test_reads_during_an_outage_are_few_while_the_planner_tries_as_well(
    follower,
):
    """Load pattern: the store is away for eight seconds at 40 fronts."""
    feed, follower = follower
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    _wait_until(lambda: follower.end == 1)
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
    _wait_until(lambda: follower.end == 2)
    running.kill()


def test_a_late_complete_state_takes_nothing_back(front, put_server_document):
    """The planner has read all keys anew, and its message is delayed."""
    state = front.state
    feed = state.platform.backend_servers
    follower = _server_follower(state)
    put_server_document(state, "s")
    feed.add("other", b"forged")
    late = feed.newest()
    feed.add("s", b"s")
    follower._read()
    page = relay_encoding.EncodedPage(
        records=tuple(
            relay_encoding.encode_all(
                relay_encoding.make_encoding("delta"), late.records, bases={}
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
    follower = _configuration_follower(front.state, feed)
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    _wait_until(lambda: follower.end == 1)
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


class _DelayedAnswer(platform_fakes.FakeFeed):
    """A feed whose next answer waits until the test lets it through."""

    def __init__(self):
        super().__init__()
        self.answered = event.Event()
        self.complete = True

    def read(self, *, start, wait_s, answer_timeout_s):
        del wait_s
        page = super().read(
            start=start, wait_s=0.0, answer_timeout_s=answer_timeout_s
        )
        self.answered.wait()
        return dataclasses.replace(page, complete=self.complete)


@pytest.fixture
def delayed(front):
    """A feed with one record, and a follower that has read it."""
    feed = _DelayedAnswer()
    follower = _configuration_follower(front.state, feed)
    feed.add("config", _LARGE + b"0")
    follower._read()
    return feed, follower


_LARGE = b"{x}" * record_copy.MIN_RECORD_BYTES


def test_a_slow_answer_is_not_newer_than_its_question(delayed):
    """Load pattern: the store answers late, and a version follows meanwhile."""
    feed, follower = delayed
    feed.add("config", _LARGE + b"1")
    asked_at = time.monotonic()
    reading = gevent.spawn(follower._read)
    gevent.sleep(0.2)
    feed.answered.set()
    reading.join()
    assert follower.end == 2
    assert asked_at <= follower.current_at < asked_at + 0.1
    assert follower.heard_at >= asked_at + 0.2


def test_a_page_that_leaves_records_out_proves_nothing_newer(delayed):
    feed, follower = delayed
    feed.complete = False
    current_at = follower.current_at
    feed.add("config", b"v1")
    feed.answered.set()
    follower._read()
    assert follower.end == 2
    assert follower.current_at == current_at


def test_a_late_answer_does_not_replace_a_later_relayed_version(front, delayed):
    """The front is elected just then, and would relay and copy old versions."""
    feed, follower = delayed
    feed.add("config", _LARGE + b"1")
    reading = gevent.spawn(follower._read)
    gevent.sleep(0.05)
    feed.add("config", _LARGE + b"2")
    page = platform_port.Page(records=tuple(feed.records[1:3]), end=3)
    follower.apply_relayed(1, page)
    feed.answered.set()
    reading.join()
    assert follower.end == 3
    assert follower.latest("config").value == _LARGE + b"2"
    publisher = copy_publisher.CopyPublisher(
        front.state, follower=follower, leads=lambda: True
    )
    publisher.publish_once()
    copy = record_copy.decode(front.state.platform.copies.body).unwrap()
    assert (copy.offset, copy.end) == (2, 3)


class _SilentOnce(platform_fakes.FakeFeed):
    """A feed on whose connection one waiting read gets no answer."""

    def __init__(self):
        super().__init__()
        self.asked = event.Event()

    def read(self, *, start, wait_s, answer_timeout_s=None):
        if answer_timeout_s is None:
            answer_timeout_s = wait_s + 1.0
        if self.asked.is_set():
            return super().read(
                start=start, wait_s=wait_s, answer_timeout_s=answer_timeout_s
            )
        self.asked.set()
        gevent.sleep(answer_timeout_s)
        raise platform_port.StoreError("response timed out")


def test_a_silent_connection_does_not_make_a_version_late(front):
    """The front reads for itself, and a version follows just then."""
    feed = _SilentOnce()
    follower = _configuration_follower(front.state, feed)
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    feed.asked.wait()
    feed.add("config", b"v2")
    acknowledged_at = time.monotonic()
    _wait_until(lambda: follower.end == 2)
    running.kill()
    late_s = time.monotonic() - acknowledged_at
    assert late_s < feed_timing.CONFIGURATION_BOUND_S


def test_a_front_that_missed_records_asks_a_silent_store_sooner(follower):
    """The store is away, and the planner has a version that this front lacks.

    Nobody will relay it again once the store is back.
    """
    feed, follower = follower
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    _wait_until(lambda: follower.end == 1)
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
    feed.add("config", _LARGE + b"1")
    feed.add("config", _LARGE + b"2")
    for start, end in ((0, 3), (0, 2)):
        page = platform_port.Page(
            records=tuple(feed.records[start:end]), end=end
        )
        follower.apply_relayed(start, page)
    assert follower.end == 3
    assert follower.latest("config").value == _LARGE + b"2"


def test_a_relayed_contact_ends_an_outage_when_the_store_answered(front):
    """A live server's entry that lapsed is back about 2 s after the store.

    The grace must not begin with the older time for which records are certain.
    """
    state = front.state
    follower = _server_follower(state)
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
        relay_encoding.make_encoding("whole"), [record], bases={}
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
