import types

from dotterelgrade_front import peer_frames
from dotterelgrade_front import planner as planner_lib
from dotterelgrade_front import planner_hub

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
