"""Fixtures of a front with fakes at its platform port."""

import feed_fakes
import front_fakes
import platform_fakes
import pytest

from dotterelgrade_front import front_settings
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import platform_port


@pytest.fixture
def platform():
    return platform_port.Platform(
        configurations=platform_fakes.FakeFeed(),
        backend_servers=platform_fakes.FakeFeed(),
        copies=platform_fakes.FakeCopies(),
        suspects=platform_fakes.FakeValues(),
        configuration_key="config",
        election=platform_fakes.FakeElection(),
        engines=platform_fakes.FakeEngines(),
        documents=platform_fakes.FakeDocuments(),
        headers=platform_fakes.FakeHeaders(),
    )


@pytest.fixture
def settings():
    return front_settings.FrontSettings(
        node="front-1",
        host="127.0.0.1",
        failure_domain="a",
        callers_address=f"127.0.0.1:{front_fakes.free_port()}",
        ready_address=f"127.0.0.1:{front_fakes.free_port()}",
        peer_port=front_fakes.free_port(),
        metrics_port=front_fakes.free_port(),
        store_address="127.0.0.1:1",
        retry_slack=1_000,
    )


@pytest.fixture
def front(settings, platform):
    running = front_fakes.FrontUnderTest(settings, platform)
    yield running
    running.stop()


@pytest.fixture
def follower(front):
    """The configuration feed, and a follower that is not started."""
    state = front.state
    state.known_configuration.configuration = None
    feed = feed_fakes.feed_with_versions(state)
    return feed, feed_fakes.configuration_follower(state, feed)


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


@pytest.fixture
def delayed(front):
    """A feed with one record, and a follower that has read it."""
    feed = feed_fakes.DelayedAnswer()
    follower = feed_fakes.configuration_follower(front.state, feed)
    feed.add("config", feed_fakes.LARGE + b"0")
    follower._read()
    return feed, follower
