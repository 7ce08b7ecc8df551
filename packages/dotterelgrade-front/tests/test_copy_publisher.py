import random

import pytest

from dotterelgrade_front import copied_feed
from dotterelgrade_front import copy_publisher
from dotterelgrade_front import feed_follower
from dotterelgrade_front import feed_sinks
from dotterelgrade_routing import record_copy

_LARGE = b"x" * record_copy.MIN_RECORD_BYTES


@pytest.fixture
def follower(front):
    return feed_follower.FeedFollower(
        front.state.platform.configurations,
        sink=feed_sinks.ConfigurationSink(front.state),
        rng=random.Random(1),
        count=lambda _: None,
    )


@pytest.fixture
def publisher(front, follower):
    return copy_publisher.CopyPublisher(
        front.state, follower=follower, leads=lambda: True
    )


def test_each_version_is_published_once(front, follower, publisher):
    platform = front.state.platform
    for version in range(1, 4):
        platform.configurations.add("config", _LARGE + b"%d" % version)
        follower._read()
        publisher.publish_once()
        publisher.publish_once()
        assert platform.copies.writes == version
        feed = copied_feed.CopiedFeed(
            platform.configurations, copies=platform.copies
        )
        assert feed.newest() == platform.configurations.newest()


def test_a_small_configuration_is_not_copied(front, follower, publisher):
    front.state.platform.configurations.add("config", b"small")
    follower._read()
    publisher.publish_once()
    assert not front.state.platform.copies.writes


def test_a_failed_write_is_logged_and_repeated(front, follower, publisher):
    platform = front.state.platform
    platform.configurations.add("config", _LARGE)
    follower._read()
    platform.copies.down = True
    assert not publisher.publish_once()
    assert "record_copy_failed" in str(front.state.decisions.journal.latest())
    platform.copies.down = False
    assert publisher.publish_once()
    assert platform.copies.writes == 1
