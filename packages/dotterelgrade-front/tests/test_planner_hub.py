import dataclasses
import time
import types

import front_fakes as fakes
import msgpack
import stream_fakes as streams

from dotterelgrade import frame_codec
from dotterelgrade_front import peer_frames
from dotterelgrade_front import planner as planner_lib
from dotterelgrade_front import planner_hub
from dotterelgrade_routing import rank_demand

_LOAD = peer_frames.FrontLoad(
    number=1,
    reserved={},
    excluded=[],
    refusing=[],
    leaving={},
    store_silent_s=0.0,
    strong=True,
)


class _Connection:
    """Connection whose front sends its load as the planner steps down."""

    def __init__(self, hub):
        self._hub = hub
        self.peer = types.SimpleNamespace(host="10.0.0.2", port=1)
        self.closed = ""

    def __iter__(self):
        self._hub.set_leading(False)
        yield _LOAD
        yield _LOAD

    def close(self, reason):
        self.closed = self.closed or reason


def test_front_that_connects_as_the_planner_steps_down_is_disconnected(front):
    """Fronts look for the planner while its role is handed over."""
    planner = planner_lib.Planner(front.state)
    hub = planner_hub.PlannerHub(front.state, planner=planner)
    hub.set_leading(True)
    connection = _Connection(hub)
    hub.serve(connection)
    assert connection.closed == "no longer the planner"
    assert not hub.has_fronts


class _SilentConnection:
    """Connection of a front that reports once and then loses power."""

    def __init__(self, load, *, during):
        self.peer = types.SimpleNamespace(host="10.0.0.2", port=1)
        self.sent = []
        self.unsent_bytes = 0
        self._load = load
        self._during = during

    def __iter__(self):
        yield self._load
        self._during()

    def send(self, frame):
        self.sent.append(frame)

    def send_encoded(self, data):
        self.sent.append(data)

    def close(self, reason):
        del reason


def test_reservations_of_a_front_that_lost_power_expire(front, monkeypatch):
    """Load pattern: 24 of 40 fronts lose power, and callers go to the rest.

    The connections stay open until their hosts are back. Reservations of both
    the lost and the repeated requests would fill the engines.
    """
    hub = planner_hub.PlannerHub(
        front.state, planner=planner_lib.Planner(front.state)
    )
    hub.set_leading(True)
    load = dataclasses.replace(_LOAD, reserved={"s": 900.0})
    used = []

    def lose_power():
        hub.send_snapshots()
        used.append(front.state.load.used("s"))
        later = time.monotonic() + planner_hub.REPORT_VALID_S + 0.1
        monkeypatch.setattr(planner_hub.time, "monotonic", lambda: later)
        hub.send_snapshots()
        used.append(front.state.load.used("s"))
        assert not hub.has_strong_front

    hub.serve(_SilentConnection(load, during=lose_power))
    assert used == [900.0, 0.0]


def test_a_front_that_lost_power_proves_no_contact_with_the_store(
    front, monkeypatch
):
    """Its last report must not look newer as time passes."""
    hub = planner_hub.PlannerHub(
        front.state, planner=planner_lib.Planner(front.state)
    )
    hub.set_leading(True)

    def lose_power():
        reported_at = time.monotonic()
        monkeypatch.setattr(
            planner_hub.time, "monotonic", lambda: reported_at + 5.0
        )
        assert hub.store_contact_at <= reported_at

    hub.serve(_SilentConnection(_LOAD, during=lose_power))


def test_snapshots_do_not_queue_up_on_a_full_link(front):
    """Load pattern: the planner's link is full; versions follow the snapshots.

    The first snapshot after it contains what the ones left out would have had.
    """
    hub = planner_hub.PlannerHub(
        front.state, planner=planner_lib.Planner(front.state)
    )
    hub.set_leading(True)
    frames = []

    def fill_link():
        hub.send_snapshots()
        connection.unsent_bytes = 60_000
        front.state.fleet.note_leaving("s", started_ms=1)
        sent = len(connection.sent)
        for _ in range(20):
            hub.send_snapshots()
        assert len(connection.sent) == sent
        connection.unsent_bytes = 0
        hub.send_snapshots()
        frames.extend(connection.sent[sent:])

    connection = _SilentConnection(_LOAD, during=fill_link)
    hub.serve(connection)
    assert len(frames) == 2
    assert isinstance(frames[0], peer_frames.ReportCounted)


class _ReportingConnection(_SilentConnection):
    """Connection of a front that sends several reports."""

    def __iter__(self):
        yield from self._load
        self._during()


def _row(load_per_s):
    return rank_demand.RankDemand(
        service="model", rank=0, load_per_s=load_per_s, moved_per_s=0.0
    )


def test_demand_of_all_fronts_is_added_up(front):
    """Rows that are not valid leave those before in force, and are logged.

    While no service has ranks, none are sent.
    """
    state = front.state
    hub = planner_hub.PlannerHub(state, planner=planner_lib.Planner(state))
    hub.set_leading(True)
    reports = [
        dataclasses.replace(_LOAD, demand=rows)
        for rows in ([_row(70.0)], [_row(1.0)] * 2)
    ]
    connection = _ReportingConnection([_LOAD], during=hub.send_snapshots)
    hub.serve(connection)
    assert _last_snapshot(connection).demand is None
    known = state.known_configuration
    known.configuration = fakes.with_ranks(known.configuration)
    connection = _ReportingConnection(reports, during=hub.send_snapshots)
    hub.serve(connection)
    demand = state.rank_admission.demand_for("model", fronts=2)
    assert demand.load_per_s == {0: 70.0}
    assert _last_snapshot(connection).demand == [_row(70.0)]
    (rejected,) = streams.decisions(front, "demand_rejected")
    assert rejected.details["peer"] == "10.0.0.2:1"


def _last_snapshot(connection):
    return frame_codec.from_wire(msgpack.unpackb(connection.sent[-1]))
