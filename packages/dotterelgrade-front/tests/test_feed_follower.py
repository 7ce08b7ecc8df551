import random
import time

import feed_fakes
import gevent
from gevent import event
import platform_fakes
import pytest

from dotterelgrade_front import feed_follower
from dotterelgrade_front import feed_sinks
from dotterelgrade_routing import feed_timing
from dotterelgrade_routing import platform_port


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


def test_newest_configuration_comes_into_force(follow):
    feed = feed_fakes.feed_with_versions(follow)
    feed.add("config", b"v1")
    feed_fakes.wait_until(lambda: follow.configuration is not None)
    feed.add("config", b"v3")
    feed_fakes.wait_until(lambda: follow.configuration.version == 3)


def test_older_version_is_ignored(follow):
    """Load pattern: the store answers with stale records."""
    feed = feed_fakes.feed_with_versions(follow)
    feed.add("config", b"v3")
    feed_fakes.wait_until(lambda: follow.configuration is not None)
    feed.add("config", b"v2")
    feed.add("other", b"v1")
    reads = feed.reads
    feed_fakes.wait_until(lambda: feed.reads > reads + 3)
    assert follow.configuration.version == 3


def test_unreadable_record_is_ignored(follow):
    feed = feed_fakes.feed_with_versions(follow)
    feed.add("config", b"v1")
    feed_fakes.wait_until(lambda: follow.configuration is not None)
    feed.add("config", b"forged")
    reads = feed.reads
    feed_fakes.wait_until(lambda: feed.reads > reads + 3)
    assert follow.configuration.version == 1


def test_follower_continues_after_an_outage_and_expired_records(follow):
    feed = feed_fakes.feed_with_versions(follow)
    feed.add("config", b"v1")
    feed_fakes.wait_until(lambda: follow.configuration is not None)
    feed.down = True
    gevent.sleep(0.3)
    feed.add("config", b"v2")
    feed.first = 2
    feed.down = False
    feed_fakes.wait_until(lambda: follow.configuration.version == 2)


def test_simultaneous_records_are_read_in_batches(front, put_server_document):
    """Load pattern: all backend servers join within two seconds."""
    state = front.state
    feed = state.platform.backend_servers
    follower = feed_fakes.server_follower(state, batch_delay_s=0.3)
    greenlet = gevent.spawn(follower.run)
    for number in range(40):
        put_server_document(state, f"s{number}")
        feed.add(f"s{number}", b"s%d" % number)
        gevent.sleep(0.02)
    feed_fakes.wait_until(lambda: state.fleet.get("s39") is not None)
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
    feed_fakes.wait_until(lambda: follow.fleet.get("s") is not None)
    assert [server.id for server in follow.fleet.servers] == ["s"]


def _fail_on(state, body):
    """Makes the decoder raise an exception for one record."""
    documents = state.platform.documents
    decode = documents.decode_backend_server

    def decode_others(*, server_id, body):
        if body == b"odd":
            raise ArithmeticError("odd record")
        return decode(server_id=server_id, body=body)

    documents.decode_backend_server = decode_others
    return body


def test_record_on_which_a_sink_fails_stops_no_other(
    front, put_server_document, caplog
):
    """The reader of the list ended at the record, and again when restarted."""
    state = front.state
    feed = state.platform.backend_servers
    odd = _fail_on(state, b"odd")
    for name in ("a", "z", "later"):
        put_server_document(state, name)
    for key, body in (("a", b"a"), ("m", odd), ("z", b"z")):
        feed.add(key, body)
    follower = feed_fakes.server_follower(state)
    running = gevent.spawn(follower.run)
    feed_fakes.wait_until(lambda: follower.end == 3)
    assert {s.id for s in state.fleet.servers} == {"a", "z"}
    feed.add("n", odd)
    feed.add("later", b"later")
    feed_fakes.wait_until(lambda: state.fleet.get("later") is not None)
    assert not running.ready()
    running.kill()
    failed = [r for r in caplog.records if r.message == "record_failed"]
    assert [(r.key, r.offset) for r in failed] == [("m", 1), ("n", 3)]


def test_records_that_cannot_be_relayed_are_followed_all_the_same(
    front, put_server_document, caplog
):
    """The other fronts read the store when they miss what it does not relay."""

    def fail(*_):
        raise OverflowError("integer out of range")

    state = front.state
    put_server_document(state, "s")
    state.platform.backend_servers.add("s", b"s")
    follower = feed_fakes.server_follower(state, on_page=fail)
    running = gevent.spawn(follower.run)
    feed_fakes.wait_until(lambda: state.fleet.get("s") is not None)
    gevent.sleep(0.05)
    assert not running.ready()
    running.kill()
    assert "relay_failed" in [record.message for record in caplog.records]


def test_entry_that_turns_odd_names_no_server_until_the_next_good_one(
    follow, put_server_document
):
    feed = follow.platform.backend_servers
    put_server_document(follow, "s")
    feed.add("s", b"s")
    feed_fakes.wait_until(lambda: follow.fleet.get("s") is not None)
    feed.add("s", b"odd")
    feed_fakes.wait_until(lambda: follow.fleet.get("s") is None)
    feed.add("s", b"s")
    feed_fakes.wait_until(lambda: follow.fleet.get("s") is not None)


def test_removed_entry_leaves_the_fleet(follow, put_server_document):
    feed = follow.platform.backend_servers
    put_server_document(follow, "s")
    feed.add("s", b"s")
    feed_fakes.wait_until(lambda: follow.fleet.get("s") is not None)
    feed.add("s", b"")
    feed_fakes.wait_until(lambda: follow.fleet.get("s") is None)


def test_restored_store_does_not_revert_the_configuration(follow):
    """Load pattern: the store is restored from a copy that is seconds old."""
    feed = feed_fakes.feed_with_versions(follow)
    feed.add("config", b"v1")
    feed.add("config", b"v2")
    feed_fakes.wait_until(lambda: follow.configuration is not None)
    feed.restore(end=1)
    reads = feed.reads
    feed_fakes.wait_until(lambda: feed.reads > reads + 3)
    assert follow.configuration.version == 2
    feed.add("config", b"v3")
    feed_fakes.wait_until(lambda: follow.configuration.version == 3)


def test_record_at_a_reused_offset_is_read(follow, put_server_document):
    feed = follow.platform.backend_servers
    for name in ("kept", "lost", "new"):
        put_server_document(follow, name)
    feed.add("kept", b"kept")
    feed.add("lost", b"lost")
    feed_fakes.wait_until(lambda: follow.fleet.get("lost") is not None)
    feed.restore(end=1)
    feed.add("new", b"new")
    feed_fakes.wait_until(lambda: follow.fleet.get("new") is not None)
    assert follow.fleet.get("kept") is not None
    # Its entry may return within the grace period after an outage.
    assert follow.fleet.get("lost") is not None


def test_removed_server_stays_removed_after_a_restore(
    follow, put_server_document
):
    feed = follow.platform.backend_servers
    put_server_document(follow, "s")
    feed.add("s", b"s")
    feed_fakes.wait_until(lambda: follow.fleet.get("s") is not None)
    feed.add("s", b"")
    feed_fakes.wait_until(lambda: follow.fleet.get("s") is None)
    feed.restore(end=1)
    reads = feed.reads
    feed_fakes.wait_until(lambda: feed.reads > reads + 3)
    assert follow.fleet.get("s") is None


def test_a_slow_answer_is_not_newer_than_its_question(delayed):
    """Load pattern: the store answers late, and a version follows meanwhile."""
    feed, follower = delayed
    feed.add("config", feed_fakes.LARGE + b"1")
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
    follower = feed_fakes.configuration_follower(front.state, feed)
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    feed.asked.wait()
    feed.add("config", b"v2")
    acknowledged_at = time.monotonic()
    feed_fakes.wait_until(lambda: follower.end == 2)
    running.kill()
    late_s = time.monotonic() - acknowledged_at
    assert late_s < feed_timing.CONFIGURATION_BOUND_S
