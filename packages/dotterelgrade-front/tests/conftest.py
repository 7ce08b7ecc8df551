"""Fixtures of a front with fakes at its platform port."""

import front_fakes
import platform_fakes
import pytest

from dotterelgrade_front import front_settings
from dotterelgrade_routing import platform_port


@pytest.fixture
def platform():
    return platform_port.Platform(
        configurations=platform_fakes.FakeFeed(),
        backend_servers=platform_fakes.FakeFeed(),
        copies=platform_fakes.FakeCopies(),
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
