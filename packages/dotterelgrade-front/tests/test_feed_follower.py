import dataclasses
import random
import time

import front_fakes as fakes
import gevent
import pytest

from dotterelgrade_front import beliefs
from dotterelgrade_front import feed_follower
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import fleet as fleet_lib
from dotterelgrade_routing import platform_port


@pytest.fixture
def follow(front):
    """Follows both feeds; returns the state."""
    state = front.state
    state.known_configuration.configuration = None
    greenlets = [
        gevent.spawn(
            feed_follower.FeedFollower(
                feed, sink=sink, rng=random.Random(1), count=lambda _: None
            ).run
        )
        for feed, sink in (
            (state.platform.configurations, beliefs.ConfigurationSink(state)),
            (state.platform.backend_servers, beliefs.ServerSink(state)),
        )
    ]
    yield state
    gevent.killall(greenlets)


def _until(condition):
    with gevent.Timeout(fakes.WAIT_S):
        while not condition():
            gevent.sleep(0.01)


def _versions(state):
    for version in (1, 2, 3):
        state.platform.documents.put(
            b"v%d" % version,
            dataclasses.replace(fakes.CONFIGURATION, version=version),
        )
    return state.platform.configurations


def test_the_newest_configuration_comes_into_force(follow):
    feed = _versions(follow)
    feed.add("config", b"v1")
    _until(lambda: follow.configuration is not None)
    feed.add("config", b"v3")
    _until(lambda: follow.configuration.version == 3)


def test_an_older_version_never_comes_back(follow):
    """Load pattern: the store answers with a stale state."""
    feed = _versions(follow)
    feed.add("config", b"v3")
    _until(lambda: follow.configuration is not None)
    feed.add("config", b"v2")
    feed.add("other", b"v1")
    reads = feed.reads
    _until(lambda: feed.reads > reads + 3)
    assert follow.configuration.version == 3


def test_an_unreadable_record_changes_nothing(follow):
    feed = _versions(follow)
    feed.add("config", b"v1")
    _until(lambda: follow.configuration is not None)
    feed.add("config", b"forged")
    reads = feed.reads
    _until(lambda: feed.reads > reads + 3)
    assert follow.configuration.version == 1


def test_the_follower_goes_on_after_an_outage_and_lost_history(follow):
    feed = _versions(follow)
    feed.add("config", b"v1")
    _until(lambda: follow.configuration is not None)
    feed.down = True
    gevent.sleep(0.3)
    feed.add("config", b"v2")
    feed.first = 2
    feed.down = False
    _until(lambda: follow.configuration.version == 2)


def test_news_that_comes_together_is_read_together(front, make_entry):
    """Load pattern: all backend servers join within two seconds."""
    state = front.state
    feed = state.platform.backend_servers
    follower = feed_follower.FeedFollower(
        feed,
        sink=beliefs.ServerSink(state),
        rng=random.Random(1),
        count=lambda _: None,
        gather_s=0.3,
    )
    greenlet = gevent.spawn(follower.run)
    for number in range(40):
        make_entry(state, f"s{number}")
        feed.add(f"s{number}", b"s%d" % number)
        gevent.sleep(0.02)
    _until(lambda: state.fleet.get("s39") is not None)
    greenlet.kill()
    assert feed.reads <= 10


def test_an_outage_is_not_met_with_a_flood_of_reads(follow):
    feed = follow.platform.configurations
    feed.down = True
    gevent.sleep(0.5)
    before = feed.reads
    gevent.sleep(1.0)
    assert feed.reads - before <= 8


def test_a_forged_entry_names_no_server(follow, make_entry):
    feed = follow.platform.backend_servers
    make_entry(follow, "s")
    feed.add("forged", b"bytes")
    feed.add("s", b"s")
    _until(lambda: follow.fleet.get("s") is not None)
    assert [server.id for server in follow.fleet.servers] == ["s"]


def test_a_removed_entry_leaves_the_fleet(follow, make_entry):
    feed = follow.platform.backend_servers
    make_entry(follow, "s")
    feed.add("s", b"s")
    _until(lambda: follow.fleet.get("s") is not None)
    feed.add("s", b"")
    _until(lambda: follow.fleet.get("s") is None)


@pytest.fixture
def follower(front):
    """A follower of the configurations, and its feed, that is not run yet."""
    state = front.state
    state.known_configuration.configuration = None
    feed = _versions(state)
    return feed, feed_follower.FeedFollower(
        feed,
        sink=beliefs.ConfigurationSink(state),
        rng=random.Random(1),
        count=lambda _: None,
    )


def test_a_front_that_the_planner_tells_everything_reads_nothing(
    front, follower
):
    """Load pattern: many fronts, each read has a price."""
    feed, follower = follower
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    _until(lambda: follower.end == 1)
    reads = None
    for _ in range(20):
        follower.note_relayed(end=1, heard_at=time.monotonic())
        gevent.sleep(0.05)
        reads = feed.reads if reads is None else reads
    assert feed.reads - reads <= 1
    page = platform_port.Page(
        records=(platform_port.Record(key="config", value=b"v2", offset=1),),
        end=2,
    )
    follower.take_in(1, page)
    assert front.state.configuration.version == 2
    running.kill()


def test_a_front_reads_itself_once_the_planner_falls_silent(front, follower):
    """Load pattern: the planner is lost and the configuration changes."""
    feed, follower = follower
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    _until(lambda: follower.end == 1)
    follower.note_relayed(end=1, heard_at=time.monotonic())
    gevent.sleep(0.1)
    feed.add("config", b"v3")
    started = time.monotonic()
    _until(lambda: front.state.configuration.version == 3)
    assert time.monotonic() - started < 1.7
    running.kill()


def test_records_behind_a_gap_are_left_to_a_read(front, follower):
    _, follower = follower
    page = platform_port.Page(
        records=(platform_port.Record(key="config", value=b"v2", offset=7),),
        end=8,
    )
    follower.take_in(7, page)
    assert front.state.configuration is None


@pytest.fixture
def make_entry():
    def make(state, server_id):
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

    return make


def test_a_copy_brings_no_older_configuration_back(follow):
    """Load pattern: the store comes back from a copy, seconds old."""
    feed = _versions(follow)
    feed.add("config", b"v1")
    feed.add("config", b"v2")
    _until(lambda: follow.configuration is not None)
    feed.restore(end=1)
    reads = feed.reads
    _until(lambda: feed.reads > reads + 3)
    assert follow.configuration.version == 2
    feed.add("config", b"v3")
    _until(lambda: follow.configuration.version == 3)


def test_a_record_at_an_offset_given_out_again_is_read(follow, make_entry):
    feed = follow.platform.backend_servers
    for name in ("kept", "lost", "new"):
        make_entry(follow, name)
    feed.add("kept", b"kept")
    feed.add("lost", b"lost")
    _until(lambda: follow.fleet.get("lost") is not None)
    feed.restore(end=1)
    feed.add("new", b"new")
    _until(lambda: follow.fleet.get("new") is not None)
    assert follow.fleet.get("kept") is not None
    # It may be back within the time that live servers take after an outage.
    assert follow.fleet.get("lost") is not None


def test_a_server_that_left_stays_out_after_a_copy(follow, make_entry):
    feed = follow.platform.backend_servers
    make_entry(follow, "s")
    feed.add("s", b"s")
    _until(lambda: follow.fleet.get("s") is not None)
    feed.add("s", b"")
    _until(lambda: follow.fleet.get("s") is None)
    feed.restore(end=1)
    reads = feed.reads
    _until(lambda: feed.reads > reads + 3)
    assert follow.fleet.get("s") is None


def test_what_a_planner_of_an_ended_era_passes_on_is_not_taken_in(
    front, follower
):
    feed, follower = follower
    feed.add("config", b"v1")
    feed.restore(end=1)
    running = gevent.spawn(follower.run)
    _until(lambda: follower.end == 1)
    page = platform_port.Page(
        records=(platform_port.Record(key="config", value=b"v2", offset=1),),
        end=2,
        era=0,
    )
    follower.take_in(1, page)
    assert front.state.configuration.version == 1
    assert follower.end == 1
    running.kill()


def test_a_front_that_has_the_old_era_reads_the_new_one_itself(front, follower):
    """Load pattern: the planner saw the store's return before this front."""
    feed, follower = follower
    feed.add("config", b"v1")
    feed.add("config", b"v1")
    running = gevent.spawn(follower.run)
    _until(lambda: follower.end == 2)
    feed.restore(end=1)
    feed.add("config", b"v3")
    follower.note_relayed(end=2, heard_at=time.monotonic(), era=feed.era)
    _until(lambda: front.state.configuration.version == 3)
    running.kill()


def test_who_leaves_is_gone_at_once_after_an_outage_of_this_front_alone(
    front, make_entry
):
    """Load pattern: the store turns one front away and serves the others."""
    state = front.state
    feed = state.platform.backend_servers
    follower = feed_follower.FeedFollower(
        feed,
        sink=beliefs.ServerSink(state),
        rng=random.Random(1),
        count=lambda _: None,
    )
    make_entry(state, "s")
    feed.add("s", b"s")
    running = gevent.spawn(follower.run)
    _until(lambda: state.fleet.get("s") is not None)
    feed.down = True
    gevent.sleep(0.2)
    heard_at = time.monotonic() - fleet_lib.RETURN_GRACE_S
    follower.note_relayed(end=9, heard_at=heard_at)
    feed.down = False
    feed.add("s", b"")
    _until(lambda: follower.end == 2)
    assert state.fleet.get("s") is None
    running.kill()
