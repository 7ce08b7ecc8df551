import gevent
from gevent import queue
import pytest

from dotterelgrade import connection_frames
from dotterelgrade import handshake
from dotterelgrade import host_list
from dotterelgrade import messages
from dotterelgrade import wire
from dotterelgrade_agent import hops as hops_lib
from dotterelgrade_agent import host_view
from dotterelgrade_standins import hosts_service


def _identity(host, port):
    return handshake.ProcessIdentity(
        process=host,
        role=connection_frames.Role.AGENT,
        host=host,
        port=port,
        failure_domain="recife-a",
        shared_key=b"k" * 16,
    )


def _step(position):
    return messages.Step(
        request_id="r1", attempt=1, stage=1, position=position, inputs=(1,)
    )


@pytest.fixture
def pair(fleet):
    """Links of one agent, and the frames that another one receives."""
    received, failures = queue.Queue(), queue.Queue()
    host = fleet.address()

    def handle(connection):
        for frame in connection:
            received.put(frame)
            if isinstance(frame, messages.Ping) and answers:
                connection.send(messages.Pong(sequence=frame.sequence))

    answers = [True]
    identity = _identity(host, 17400)
    fleet.stack.enter_context(wire.listening(handle, identity=identity))
    hops = hops_lib.Hops(
        options=hops_lib.HopsOptions(identity=_identity(fleet.address(), 0)),
        on_failed=lambda address, reason: failures.put((address, reason)),
        deliver_locally=received.put,
    )
    fleet.stack.callback(hops.close)
    target = messages.Hop(host=host, port=17400, backend="engine")
    return hops, target, received, failures, answers


def test_steps_of_one_turn_leave_in_one_frame_and_in_order(pair):
    hops, target, received, _, _ = pair
    for position in range(100):
        hops.send(target, _step(position))
    positions = []
    frames = 0
    while len(positions) < 100:
        frame = received.get(timeout=10)
        if isinstance(frame, messages.Steps):
            frames += 1
            positions += [step.position for step in frame.steps]
    assert positions == list(range(100))
    assert frames == 1
    with gevent.Timeout(10):
        while not hops.links:
            gevent.sleep(0.01)


def test_a_peer_that_falls_silent_is_a_failure(pair):
    hops, target, _, failures, answers = pair
    answers.clear()
    hops.send(target, _step(0))
    address, reason = failures.get(timeout=10)
    assert address == (target.host, target.port)
    assert "ping" in reason


def test_a_new_host_counts_as_live_until_its_grace_is_over(fleet):
    service = hosts_service.HostsService(())
    view = host_view.HostView(
        fleet.local_hosts(service),
        poll_s=0.01,
        grace_s=0.1,
        on_change=lambda: None,
    )
    view.look()
    assert view.live({"a"}) == {"a"}
    gevent.sleep(0.15)
    assert view.live({"a"}) == set()


@pytest.mark.parametrize(
    ("count", "interval_s"), [(0, 1.0), (45, 1.0), (1_000, 21.7), (13_100, 60)]
)
def test_a_long_host_list_is_read_more_rarely(fleet, count, interval_s):
    entries = [
        host_list.HostEntry(
            host=f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}",
            role=connection_frames.Role.AGENT,
            peer_port=7400,
            admin_port=7401,
            failure_domain="recife-a",
        )
        for n in range(count)
    ]
    service = hosts_service.HostsService(entries)
    view = host_view.HostView(
        fleet.local_hosts(service),
        poll_s=1.0,
        grace_s=1.0,
        on_change=lambda: None,
    )
    view.look()
    assert round(view.interval_s, 1) == interval_s
    gone = {entry.host for entry in entries[:1]}
    assert view.live(gone) == gone
    for host in gone:
        service.remove(host)
    view.look()
    assert view.live(gone) == set()
