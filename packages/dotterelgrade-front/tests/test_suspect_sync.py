import pytest
import stream_fakes as streams

from dotterelgrade import suspect as suspect_lib
from dotterelgrade import suspect_state
from dotterelgrade import suspicion
from dotterelgrade_front import front_state
from dotterelgrade_front import suspect_sync

_FINGERPRINT = f"{1:016x}"


class Clock:
    """The clock of all fronts, which a test moves."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    made = Clock()
    monkeypatch.setattr("time.monotonic", made)
    return made


class SyncedFront:
    """A front's state with its sync, whose role a test sets."""

    def __init__(self, settings, platform, *, clock, leads=False):
        self.state = front_state.FrontState(settings, platform=platform)
        self.rules = self.state.quarantine.rules
        self.rules._clock = self.clock = clock
        self.leads = leads
        self.planner_silent_s = 0.0
        self.sync = suspect_sync.SuspectSync(
            self.state,
            leads=lambda: self.leads,
            planner_silent_s=lambda: self.planner_silent_s,
        )

    def crash(self, servers=1):
        for number in range(servers):
            self.clock.now += 0.01
            sent_at = self.clock.now
            self.clock.now += 0.01
            self.rules.note_crash(
                suspect_state.ServerProcess(
                    server_id=f"{id(self)}-{number}", started_ms=1
                ),
                [_FINGERPRINT],
                request=f"{id(self) + number:016x}",
                sent_at=sent_at,
                request_id="r1",
            )

    def level(self):
        return self.rules.assess([_FINGERPRINT]).level


@pytest.fixture
def make_front(settings, platform, clock):
    def make(**rest):
        return SyncedFront(settings, platform, clock=clock, **rest)

    return make


def test_the_planner_keeps_suspects_in_the_store(make_front, platform):
    planner = make_front(leads=True)
    planner.crash()
    planner.sync.run_once()
    assert not platform.suspects.keys
    planner.crash(servers=2)
    planner.sync.run_once()
    assert platform.suspects.keys == [_FINGERPRINT]
    assert platform.suspects.writes == 1


def test_what_has_not_changed_is_not_written_again(make_front, platform):
    planner = make_front(leads=True)
    planner.crash(servers=5)
    for _ in range(5):
        planner.sync.run_once()
    assert platform.suspects.writes == 1


def test_a_front_leaves_the_store_to_the_planner(make_front, platform, clock):
    front = make_front()
    front.crash(servers=5)
    for _ in range(5):
        front.sync.run_once()
        clock.now += 1.0
    assert (platform.suspects.reads, platform.suspects.writes) == (1, 0)


def test_a_front_without_a_planner_tells_others_by_the_store(make_front, clock):
    """Even of a single crash, of which the lost planner told nobody."""
    fronts = [make_front() for _ in range(3)]
    for front in fronts:
        front.sync.run_once()
        front.crash()
        front.sync.run_once()
        front.planner_silent_s = 2.0
    for _ in range(3):
        for front in fronts:
            front.state.quarantine._requests += 1
            front.sync.run_once()
        clock.now += 1.0
    assert {front.level() for front in fronts} == {suspicion.Level.QUARANTINED}


def test_a_front_without_requests_does_not_read_for_them(
    make_front, platform, clock
):
    front = make_front()
    front.planner_silent_s = 2.0
    for _ in range(10):
        front.sync.run_once()
        clock.now += 1.0
    assert platform.suspects.reads == 1


def test_a_front_that_starts_knows_what_the_store_has(make_front, clock):
    planner = make_front(leads=True)
    planner.crash(servers=5)
    planner.sync.run_once()
    clock.now += 100.0
    front = make_front()
    front.sync.run_once()
    assert front.level() is suspicion.Level.QUARANTINED


def test_a_released_suspect_leaves_the_store(make_front, platform):
    planner = make_front(leads=True)
    planner.crash(servers=5)
    planner.sync.run_once()
    planner.rules.note_served([_FINGERPRINT])
    planner.sync.run_once()
    assert not platform.suspects.keys


def test_a_silent_store_is_asked_again(make_front, platform, clock):
    planner = make_front(leads=True)
    platform.suspects.down = True
    planner.crash(servers=5)
    for _ in range(8):
        planner.sync.run_once()
        clock.now += 0.25
    assert not planner.sync.has_read
    rows = streams.decisions_of(planner.state.decisions, "suspects_unsynced")
    assert len(rows) == 2
    platform.suspects.down = False
    clock.now += 1.0
    planner.sync.run_once()
    assert platform.suspects.keys == [_FINGERPRINT]


def test_a_restored_store_gets_what_it_lost(make_front, platform, clock):
    planner = make_front(leads=True)
    planner.crash(servers=5)
    planner.sync.run_once()
    platform.suspects.records.clear()
    platform.suspects.era = 1
    clock.now += 20.0
    planner.sync.run_once()
    planner.sync.run_once()
    assert platform.suspects.keys == [_FINGERPRINT]


def test_an_odd_record_is_skipped(make_front, platform):
    platform.suspects.put("odd", b"\xc1")
    front = make_front()
    front.sync.run_once()
    assert front.sync.has_read
    (row,) = streams.decisions_of(front.state.decisions, "suspect_rejected")
    assert row.details["key"] == "odd"


def test_a_record_of_another_program_stays_in_the_store(make_front, platform):
    platform.suspects.put("odd", b"\xc1")
    planner = make_front(leads=True)
    planner.crash(servers=5)
    planner.sync.run_once()
    assert platform.suspects.keys == ["odd", _FINGERPRINT]


def test_a_suspect_of_long_ago_is_not_taken_for_new_from_the_store(
    make_front, platform, clock
):
    planner = make_front(leads=True)
    planner.crash(servers=2)
    planner.sync.run_once()
    for _ in range(20):
        clock.now += 16.0
        planner.sync.run_once()
    assert not planner.rules.suspects
    assert not platform.suspects.keys


def test_fronts_that_write_together_lose_nothing(make_front, platform):
    """Each has read before any has written."""
    fronts = [make_front() for _ in range(4)]
    for front in fronts:
        front.planner_silent_s = 2.0
        front.sync._read()
        front.crash()
    for _ in range(4):
        for front in fronts:
            front.sync.run_once()
    body = platform.suspects.records[_FINGERPRINT].value
    assert len(suspect_state.decode(body).unwrap().crashes) == len(fronts)


def test_one_of_many_fronts_sends_the_probe(make_front, platform, clock):
    """A probe may crash a server, so that others don't send one as well."""
    fronts = [make_front(leads=number == 0) for number in range(10)]
    fronts[0].crash(servers=5)
    for front in fronts:
        front.sync.run_once()
    clock.now += suspect_lib.FIRST_PROBE_S
    for front in fronts:
        assert front.rules.assess([_FINGERPRINT]).probe_due
        front.state.quarantine._on_probe_due(_FINGERPRINT)
    for front in fronts:
        front.sync.run_once()
    granted = [front.rules.use_probe(_FINGERPRINT) for front in fronts]
    assert granted.count(True) == 1


def test_a_probe_is_not_sent_twice_by_fronts_that_ask_together(
    make_front, platform, clock
):
    """Both have read before either has written."""
    one, other = make_front(leads=True), make_front()
    one.crash(servers=5)
    for front in (one, other):
        front.sync.run_once()
    clock.now += suspect_lib.FIRST_PROBE_S
    read = platform.suspects.read

    def read_then_lose_the_race():
        page = read()
        platform.suspects.end += 1
        return page

    platform.suspects.read = read_then_lose_the_race
    other.state.quarantine._on_probe_due(_FINGERPRINT)
    other.sync.run_once()
    assert not other.rules.use_probe(_FINGERPRINT)


def test_the_probe_is_claimed_before_it_is_sent(make_front, platform, clock):
    """A front that is killed by it, or with it, must not send it again."""
    front = make_front(leads=True)
    front.crash(servers=5)
    front.sync.run_once()
    clock.now += suspect_lib.FIRST_PROBE_S
    front.state.quarantine._on_probe_due(_FINGERPRINT)
    front.sync.run_once()
    stored = suspect_state.decode(platform.suspects.records[_FINGERPRINT].value)
    assert stored.unwrap().probes == 1


def test_without_the_store_no_probe_is_sent(make_front, platform, clock):
    front = make_front(leads=True)
    front.crash(servers=5)
    front.sync.run_once()
    clock.now += suspect_lib.FIRST_PROBE_S
    platform.suspects.down = True
    front.state.quarantine._on_probe_due(_FINGERPRINT)
    front.sync.run_once()
    assert not front.rules.use_probe(_FINGERPRINT)
