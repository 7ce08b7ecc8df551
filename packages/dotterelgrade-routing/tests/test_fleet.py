import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import fleet as fleet_lib
from dotterelgrade_routing import layer_range


def _seen(first, end, *, started_ms=0, at=0.0):
    return fleet_lib.Observation(
        layers=layer_range.LayerRange(first, end),
        started_ms=started_ms,
        slowness=1.0,
        loading=False,
        at=at,
    )


def test_a_removed_entry_is_gone_at_once_while_the_list_is_well(make_server):
    fleet = fleet_lib.Fleet()
    fleet.put(make_server("s"))
    assert fleet.remove("s", now=10.0)
    assert fleet.get("s") is None


def test_what_lapses_in_an_outage_is_kept_until_it_could_be_back(
    make_server,
):
    """Load pattern: the list is away and forgets those that live."""
    fleet = fleet_lib.Fleet()
    fleet.put(make_server("back"))
    fleet.put(make_server("lost"))
    fleet.note_outage()
    assert not fleet.remove("back", now=1.0)
    assert not fleet.remove("lost", now=1.0)
    fleet.note_contact(now=5.0)
    fleet.put(make_server("back"))
    assert fleet.settle(now=6.0) == []
    assert fleet.settle(now=5.0 + fleet_lib.RETURN_GRACE_S) == ["lost"]
    assert [s.id for s in fleet.servers] == ["back"]


def test_a_leaving_server_takes_no_new_work(make_server):
    fleet = fleet_lib.Fleet()
    leaving = backend_server.Availability.LEAVING
    fleet.put(make_server("s", availability=leaving))
    assert fleet.ready("model") == []


def test_a_report_is_newer_than_the_entry_until_the_entry_changes(
    make_server,
):
    fleet = fleet_lib.Fleet()
    server = make_server("s")
    fleet.put(server)
    fleet.observe("s", _seen(0, 4))
    assert len(fleet.layers_of(server)) == 4
    later = make_server("s", layers=layer_range.LayerRange(0, 6))
    fleet.put(later)
    assert len(fleet.layers_of(later)) == 6


def test_a_report_of_an_earlier_start_is_ignored(make_server):
    fleet = fleet_lib.Fleet()
    server = make_server("s", started_ms=200)
    fleet.put(server)
    assert not fleet.observe("s", _seen(0, 4, started_ms=100))
    assert fleet.layers_of(server) is None


def test_a_restart_under_the_same_id_drops_what_was_held(make_server):
    fleet = fleet_lib.Fleet()
    fleet.put(make_server("s", started_ms=1))
    fleet.observe("s", _seen(0, 4, started_ms=1))
    again = make_server("s", started_ms=2)
    fleet.put(again)
    assert fleet.layers_of(again) is None


class FollowedList(stateful.RuleBasedStateMachine):
    """Random records and outages against a list of what must be known."""

    def __init__(self):
        super().__init__()
        self.fleet = fleet_lib.Fleet()
        self.now = 0.0
        self.present = set()
        self.outage = False
        self.settled_at = float("-inf")

    def _server(self, server_id):
        return backend_server.BackendServer(
            id=server_id,
            service="model",
            address=f"{server_id}:1",
            failure_domain="a",
            availability=backend_server.Availability.READY,
            slots=1,
        )

    @stateful.rule(server_id=strategies.sampled_from("abcd"))
    def put(self, server_id):
        self.fleet.put(self._server(server_id))
        self.present.add(server_id)

    @stateful.rule(server_id=strategies.sampled_from("abcd"))
    def remove(self, server_id):
        calm = not self.outage and self.now >= self.settled_at
        gone = self.fleet.remove(server_id, now=self.now)
        if server_id in self.present:
            assert gone == calm
        self.present.discard(server_id)

    @stateful.rule()
    def outage_begins(self):
        self.fleet.note_outage()
        self.outage = True

    @stateful.rule()
    def outage_ends(self):
        self.fleet.note_contact(now=self.now)
        if self.outage:
            self.settled_at = self.now + fleet_lib.RETURN_GRACE_S
        self.outage = False

    @stateful.rule(seconds=strategies.floats(0.1, 3))
    def time_passes(self, seconds):
        self.now += seconds
        self.fleet.settle(now=self.now)

    @stateful.invariant()
    def nothing_present_is_forgotten(self):
        known = {server.id for server in self.fleet.servers}
        assert self.present <= known
        if not self.outage and self.now > self.settled_at:
            self.fleet.settle(now=self.now)
            known = {server.id for server in self.fleet.servers}
            assert known == self.present


FollowedList.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestFollowedList = FollowedList.TestCase


def _restored(*servers, now=10.0):
    """A fleet whose list came back from a copy with these entries."""
    fleet = fleet_lib.Fleet()
    for server in servers:
        fleet.put(server)
    fleet.note_copy(now=now)
    return fleet


def test_a_copy_brings_no_server_back_that_has_left(make_server):
    """Load pattern: a backend server leaves, then the store goes back."""
    gone = make_server("s", started_ms=7)
    fleet = fleet_lib.Fleet()
    fleet.put(gone)
    fleet.remove("s", now=9.0)
    fleet.note_copy(now=10.0)
    assert not fleet.put_copied(gone, now=10.0)
    assert fleet.get("s") is None
    fleet.remove("s", now=12.0)
    fleet.settle(now=60.0)
    assert fleet.get("s") is None


def test_who_only_lapsed_is_back_when_the_list_goes_on_to_have_it(make_server):
    lapsed = make_server("s", started_ms=7)
    fleet = fleet_lib.Fleet()
    fleet.put(lapsed)
    fleet.remove("s", now=9.0)
    fleet.note_copy(now=10.0)
    fleet.put_copied(lapsed, now=10.0)
    fleet.settle(now=10.0 + fleet_lib.COPY_EXPIRY_S)
    assert fleet.get("s") == lapsed


def test_a_new_record_brings_a_server_back_at_once(make_server):
    server = make_server("s", started_ms=7)
    fleet = fleet_lib.Fleet()
    fleet.put(server)
    fleet.remove("s", now=9.0)
    fleet.note_copy(now=10.0)
    fleet.put_copied(server, now=10.0)
    assert fleet.put(server)
    assert fleet.ready("model") == [server]


def test_a_copy_undoes_neither_a_drain_nor_a_restart(make_server):
    leaving = backend_server.Availability.LEAVING
    fleet = _restored(
        make_server("drains", availability=leaving, started_ms=1),
        make_server("restarted", started_ms=5),
    )
    fleet.put_copied(make_server("drains", started_ms=1), now=10.0)
    fleet.put_copied(make_server("restarted", started_ms=4), now=10.0)
    assert fleet.get("drains").availability is leaving
    assert fleet.get("restarted").started_ms == 5


def test_what_the_copy_lacks_stays_until_it_could_be_back(make_server):
    fleet = _restored(make_server("s"), now=10.0)
    assert not fleet.remove("s", now=10.0)
    assert fleet.settle(now=10.0 + fleet_lib.RETURN_GRACE_S) == ["s"]


def test_who_says_that_it_leaves_takes_no_new_work(make_server):
    """Load pattern: a backend server leaves while the list is away."""
    fleet = fleet_lib.Fleet()
    entry = make_server("s", started_ms=7)
    fleet.put(entry)
    assert not fleet.note_leaving("s", started_ms=6)
    assert fleet.note_leaving("s", started_ms=7)
    assert not fleet.note_leaving("s", started_ms=7)
    assert fleet.ready("model") == []
    fleet.put(entry)
    assert fleet.ready("model") == []
    assert fleet.leaving == {"s": 7}


def test_another_start_at_the_same_id_is_free_of_the_mark(make_server):
    fleet = fleet_lib.Fleet()
    fleet.put(make_server("s", started_ms=7))
    fleet.note_leaving("s", started_ms=7)
    again = make_server("s", started_ms=8)
    fleet.put(again)
    assert fleet.ready("model") == [again]


def test_a_mark_does_not_bring_a_missing_entry_back(make_server):
    """Load pattern: a backend server leaves and lapses in an outage."""
    fleet = fleet_lib.Fleet()
    fleet.put(make_server("s", started_ms=7))
    fleet.note_outage()
    fleet.remove("s", now=1.0)
    fleet.note_leaving("s", started_ms=7)
    fleet.note_contact(now=5.0)
    assert fleet.settle(now=5.0 + fleet_lib.RETURN_GRACE_S) == ["s"]
