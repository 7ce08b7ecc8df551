import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import fleet as fleet_lib
from dotterelgrade_routing import layer_range


def _report(first, end, *, started_ms=0, at=0.0):
    return fleet_lib.Observation(
        layers=layer_range.LayerRange(first, end),
        started_ms=started_ms,
        slowness=1.0,
        loading=False,
        at=at,
    )


def test_a_removed_entry_is_dropped_at_once_without_an_outage(make_server):
    fleet = fleet_lib.Fleet()
    fleet.put(make_server("s"))
    assert fleet.remove("s", now=10.0)
    assert fleet.get("s") is None


def test_an_entry_that_expires_in_an_outage_is_kept_for_a_grace_time(
    make_server,
):
    """Guards against a list that drops live servers in its own outage."""
    fleet = fleet_lib.Fleet()
    fleet.put(make_server("back"))
    fleet.put(make_server("lost"))
    fleet.note_outage()
    assert not fleet.remove("back", now=1.0)
    assert not fleet.remove("lost", now=1.0)
    fleet.note_contact(now=5.0)
    fleet.put(make_server("back"))
    assert fleet.drop_missing(now=6.0) == []
    assert fleet.drop_missing(now=5.0 + fleet_lib.OUTAGE_GRACE_S) == ["lost"]
    assert [s.id for s in fleet.servers] == ["back"]


def test_a_leaving_server_takes_no_new_work(make_server):
    fleet = fleet_lib.Fleet()
    leaving = backend_server.Availability.LEAVING
    fleet.put(make_server("s", availability=leaving))
    assert fleet.ready("model") == []


def test_a_report_takes_precedence_until_the_entry_changes(
    make_server,
):
    fleet = fleet_lib.Fleet()
    server = make_server("s")
    fleet.put(server)
    fleet.note_report("s", _report(0, 4))
    assert len(fleet.layers_of(server)) == 4
    later = make_server("s", layers=layer_range.LayerRange(0, 6))
    fleet.put(later)
    assert len(fleet.layers_of(later)) == 6


def test_a_report_of_an_earlier_process_is_ignored(make_server):
    fleet = fleet_lib.Fleet()
    server = make_server("s", started_ms=200)
    fleet.put(server)
    assert not fleet.note_report("s", _report(0, 4, started_ms=100))
    assert fleet.layers_of(server) is None


def test_a_restart_under_the_same_id_clears_its_layers(make_server):
    fleet = fleet_lib.Fleet()
    fleet.put(make_server("s", started_ms=1))
    fleet.note_report("s", _report(0, 4, started_ms=1))
    again = make_server("s", started_ms=2)
    fleet.put(again)
    assert fleet.layers_of(again) is None


class FleetMachine(stateful.RuleBasedStateMachine):
    """Random records and outages, compared with a model of the list."""

    def __init__(self):
        super().__init__()
        self.fleet = fleet_lib.Fleet()
        self.now = 0.0
        self.listed = set()
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
        self.listed.add(server_id)

    @stateful.rule(server_id=strategies.sampled_from("abcd"))
    def remove(self, server_id):
        settled = not self.outage and self.now >= self.settled_at
        gone = self.fleet.remove(server_id, now=self.now)
        if server_id in self.listed:
            assert gone == settled
        self.listed.discard(server_id)

    @stateful.rule()
    def begin_outage(self):
        self.fleet.note_outage()
        self.outage = True

    @stateful.rule()
    def end_outage(self):
        self.fleet.note_contact(now=self.now)
        if self.outage:
            self.settled_at = self.now + fleet_lib.OUTAGE_GRACE_S
        self.outage = False

    @stateful.rule(seconds=strategies.floats(0.1, 3))
    def advance_time(self, seconds):
        self.now += seconds
        self.fleet.drop_missing(now=self.now)

    @stateful.invariant()
    def keeps_all_listed_servers(self):
        known = {server.id for server in self.fleet.servers}
        assert self.listed <= known
        if not self.outage and self.now > self.settled_at:
            self.fleet.drop_missing(now=self.now)
            known = {server.id for server in self.fleet.servers}
            assert known == self.listed


FleetMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestFleet = FleetMachine.TestCase


def _restored(*servers, now=10.0):
    """A fleet with these entries whose list was restored from a backup."""
    fleet = fleet_lib.Fleet()
    for server in servers:
        fleet.put(server)
    fleet.note_restore(now=now)
    return fleet


def test_a_restored_list_does_not_bring_back_a_server_that_left(make_server):
    """Guards against a store restored to before a server left."""
    gone = make_server("s", started_ms=7)
    fleet = fleet_lib.Fleet()
    fleet.put(gone)
    fleet.remove("s", now=9.0)
    fleet.note_restore(now=10.0)
    assert not fleet.put_restored(gone, now=10.0)
    assert fleet.get("s") is None
    fleet.remove("s", now=12.0)
    fleet.drop_missing(now=60.0)
    assert fleet.get("s") is None


def test_a_restored_server_that_stays_listed_is_known_again(make_server):
    expired = make_server("s", started_ms=7)
    fleet = fleet_lib.Fleet()
    fleet.put(expired)
    fleet.remove("s", now=9.0)
    fleet.note_restore(now=10.0)
    fleet.put_restored(expired, now=10.0)
    fleet.drop_missing(now=10.0 + fleet_lib.RESTORED_ENTRY_GRACE_S)
    assert fleet.get("s") == expired


def test_a_new_record_confirms_a_restored_server_at_once(make_server):
    server = make_server("s", started_ms=7)
    fleet = fleet_lib.Fleet()
    fleet.put(server)
    fleet.remove("s", now=9.0)
    fleet.note_restore(now=10.0)
    fleet.put_restored(server, now=10.0)
    assert fleet.put(server)
    assert fleet.ready("model") == [server]


def test_a_restored_list_undoes_neither_a_drain_nor_a_restart(make_server):
    leaving = backend_server.Availability.LEAVING
    fleet = _restored(
        make_server("drains", availability=leaving, started_ms=1),
        make_server("restarted", started_ms=5),
    )
    fleet.put_restored(make_server("drains", started_ms=1), now=10.0)
    fleet.put_restored(make_server("restarted", started_ms=4), now=10.0)
    assert fleet.get("drains").availability is leaving
    assert fleet.get("restarted").started_ms == 5


def test_an_entry_missing_from_a_restored_list_is_kept_for_a_grace_time(
    make_server,
):
    fleet = _restored(make_server("s"), now=10.0)
    assert not fleet.remove("s", now=10.0)
    assert fleet.drop_missing(now=10.0 + fleet_lib.OUTAGE_GRACE_S) == ["s"]


def test_a_server_that_announced_to_leave_takes_no_new_work(make_server):
    """Guards against a server that leaves in an outage of the list."""
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


def test_a_restart_under_the_same_id_clears_the_leaving_mark(make_server):
    fleet = fleet_lib.Fleet()
    fleet.put(make_server("s", started_ms=7))
    fleet.note_leaving("s", started_ms=7)
    again = make_server("s", started_ms=8)
    fleet.put(again)
    assert fleet.ready("model") == [again]


def test_a_leaving_mark_does_not_restore_a_missing_entry(make_server):
    """Guards against a server that leaves and expires in an outage."""
    fleet = fleet_lib.Fleet()
    fleet.put(make_server("s", started_ms=7))
    fleet.note_outage()
    fleet.remove("s", now=1.0)
    fleet.note_leaving("s", started_ms=7)
    fleet.note_contact(now=5.0)
    assert fleet.drop_missing(now=5.0 + fleet_lib.OUTAGE_GRACE_S) == ["s"]
