"""Tests a front's link to the planner against a scripted connection."""

import dataclasses
import random

import front_fakes as fakes
import gevent
from gevent import queue
import pytest
import stream_fakes as streams

from dotterelgrade import connection_frames
from dotterelgrade import handshake
from dotterelgrade_front import feed_follower
from dotterelgrade_front import feed_sinks
from dotterelgrade_front import peer_frames
from dotterelgrade_front import planner_link
from dotterelgrade_routing import feed_timing
from dotterelgrade_routing import leadership
from dotterelgrade_routing import rank_demand

_PLANNER = "127.0.0.1:1"


class _QueuedConnection:
    """Connection to a planner whose frames wait on its full link."""

    close_reason = "test ended"

    def __init__(self, *, delay_s):
        self.is_open = True
        self._delay_s = delay_s
        self._frames = queue.Queue()

    def __iter__(self):
        return iter(self._frames.get, None)

    def send(self, frame):
        """Answers each report at once; the answer arrives later."""
        answer = [
            peer_frames.ReportCounted(number=frame.number),
            _snapshot(end=1),
        ]
        gevent.spawn_later(self._delay_s, self._deliver, answer)

    def _deliver(self, frames):
        for frame in frames:
            self._frames.put(frame)

    def close(self, reason):
        del reason
        self.is_open = False


def _snapshot(*, end):
    return peer_frames.FleetSnapshot(
        reserved={},
        servers=[],
        fronts=[],
        refusing=[],
        leaving={},
        feeds=[
            peer_frames.FeedProgress(
                feed=peer_frames.FeedName.CONFIGURATIONS,
                end=end,
                era=0,
                age_s=0.0,
            )
        ],
    )


@pytest.fixture
def follower(front):
    feed = front.state.platform.configurations
    feed.add("config", b"v1")
    follower = feed_follower.FeedFollower(
        feed,
        sink=feed_sinks.ConfigurationSink(front.state),
        rng=random.Random(1),
        count=lambda _: None,
    )
    running = gevent.spawn(follower.run)
    with gevent.Timeout(fakes.WAIT_S):
        while follower.end is None:
            gevent.sleep(0.01)
    yield follower
    running.kill()


def _make_link(front, follower):
    return planner_link.PlannerLink(
        front.state,
        identity=handshake.ProcessIdentity(
            process="p",
            role=connection_frames.Role.ENTRY,
            host="127.0.0.1",
            port=2,
            failure_domain="a",
            shared_key=b"",
        ),
        leadership=leadership.Leadership("127.0.0.1:2"),
        followers={peer_frames.FeedName.CONFIGURATIONS: follower},
    )


def _exchange(front, follower, monkeypatch, connection):
    """Starts a link that exchanges loads over a scripted connection."""
    monkeypatch.setattr(planner_link.wire, "dial", lambda *_, **__: connection)
    link = _make_link(front, follower)
    return gevent.spawn(link._exchange, _PLANNER)


@pytest.mark.parametrize(
    ("delay_s", "reads_itself"),
    [(0.05, False), (feed_timing.RELAY_VALID_S + 0.2, True)],
)
def test_a_snapshot_that_waited_on_the_link_is_not_fresh(
    front, follower, monkeypatch, delay_s, reads_itself
):
    """Load pattern: the planner's link is full, and snapshots arrive late.

    The versions wait behind them, so the front must read the store itself.
    """
    connection = _QueuedConnection(delay_s=delay_s)
    exchange = _exchange(front, follower, monkeypatch, connection)
    feed = front.state.platform.configurations
    gevent.sleep(delay_s + 0.5)
    reads = feed.reads
    gevent.sleep(0.6)
    assert (feed.reads > reads) == reads_itself
    exchange.kill()


@pytest.mark.parametrize(
    "planner",
    [
        "127.0.0.1:99999",
        "127.0.0.1:-1",
        "127.0.0.1:" + "9" * 5000,
        ":80",
        "nowhere",
        "\x00:80",
        "\ufffd:80",
    ],
    ids=lambda planner: repr(planner)[:24],
)
def test_a_planner_without_a_usable_address_is_unreachable(
    front, follower, planner
):
    """An odd election record ended the link again and again."""
    link = _make_link(front, follower)
    assert not link._exchange(planner)
    entries = front.state.decisions.journal.latest(50)
    assert "planner_unreachable" in [entry.decision for entry in entries]


def test_bad_rows_of_demand_leave_the_last_ones_in_force(front, follower):
    """A snapshot of an older planner has no rows, and changes nothing."""
    link = _make_link(front, follower)
    row = rank_demand.RankDemand(
        service="model", rank=0, load_per_s=9.0, moved_per_s=0.0
    )
    for rows in ([row], [row, row], None):
        snapshot = dataclasses.replace(_snapshot(end=1), demand=rows)
        link._apply_snapshot(snapshot)
        demand = front.state.rank_admission.demand_for("model", fronts=1)
        assert demand.load_per_s == {0: 9.0}
    assert len(streams.decisions(front, "demand_rejected")) == 1
