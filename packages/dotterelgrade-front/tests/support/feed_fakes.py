"""Followers of the store's feeds, and feeds whose answers are late."""

import dataclasses
import random

import front_fakes as fakes
import gevent
from gevent import event
import platform_fakes

from dotterelgrade_front import feed_follower
from dotterelgrade_front import feed_sinks
from dotterelgrade_routing import record_copy


def wait_until(condition):
    with gevent.Timeout(fakes.WAIT_S):
        while not condition():
            gevent.sleep(0.01)


def feed_with_versions(state):
    for version in (1, 2, 3):
        state.platform.documents.put(
            b"v%d" % version,
            dataclasses.replace(fakes.CONFIGURATION, version=version),
        )
    return state.platform.configurations


def configuration_follower(state, feed):
    """Returns a follower of the configurations, not started."""
    return feed_follower.FeedFollower(
        feed,
        sink=feed_sinks.ConfigurationSink(state),
        rng=random.Random(1),
        count=lambda _: None,
    )


def server_follower(state, **options):
    """Returns a follower of the list of backend servers, not started."""
    return feed_follower.FeedFollower(
        state.platform.backend_servers,
        sink=feed_sinks.ServerSink(state),
        rng=random.Random(1),
        count=lambda _: None,
        **options,
    )


class DelayedAnswer(platform_fakes.FakeFeed):
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


LARGE = b"{x}" * record_copy.MIN_RECORD_BYTES
