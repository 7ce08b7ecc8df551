"""Several fronts in one process: the planner among them, and its relays."""

import contextlib
import dataclasses
import time

import front_fakes as fakes
import gevent
import platform_fakes

from dotterelgrade_front import front as front_lib
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import leadership

_REPORT = dataclasses.replace(fakes.REPORT, layers=layer_range.LayerRange(0, 8))


def _other_settings(settings, node):
    """Returns settings of another front."""
    return dataclasses.replace(
        settings,
        node=node,
        callers_address=f"127.0.0.1:{fakes.free_port()}",
        ready_address=f"127.0.0.1:{fakes.free_port()}",
        peer_port=fakes.free_port(),
        metrics_port=fakes.free_port(),
    )


def _three_fronts(settings, platform):
    """Returns three fronts that are not running; the first wins a claim."""
    platform.documents.put(b"v1", fakes.CONFIGURATION)
    platform.configurations.add("config", b"v1")
    all_settings = [_other_settings(settings, f"front-{n}") for n in range(3)]
    platform.election.winner = all_settings[0].peer_address
    return [front_lib.Front(s, platform=platform) for s in all_settings]


def _leading(fronts):
    """Returns the addresses of the fronts that lead."""
    return [f._settings.peer_address for f in fronts if f.dump()["leads"]]


def test_fronts_share_their_reservations(settings, platform):
    """One front is elected and sends the totals to the other."""
    platform.documents.put(b"v1", fakes.CONFIGURATION)
    platform.configurations.add("config", b"v1")
    platform.election.winner = settings.peer_address
    other_settings = _other_settings(settings, "front-2")
    planner = front_lib.Front(settings, platform=platform)
    other = front_lib.Front(other_settings, platform=platform)
    with planner.running(), other.running():
        fakes.until(lambda: planner.dump()["leads"])
        other._state.load._own["s"] = 500.0
        fakes.until(lambda: planner._state.load.used("s") == 500.0)
        planner._state.load._own["s"] = 70.0
        fakes.until(lambda: other._state.load.used("s") == 570.0)
        other._state.load._own.clear()
        fakes.until(lambda: planner._state.load.used("s") == 70.0)


def test_restarted_front_does_not_claim_while_a_planner_answers(
    settings, platform
):
    """A claim would end the planner's term."""
    platform.documents.put(b"v1", fakes.CONFIGURATION)
    platform.configurations.add("config", b"v1")
    platform.election.winner = settings.peer_address
    other_settings = _other_settings(settings, "front-2")
    planner = front_lib.Front(settings, platform=platform)
    with planner.running():
        fakes.until(lambda: planner.dump()["leads"])
        platform.election.claims.clear()
        other = front_lib.Front(other_settings, platform=platform)
        with other.running():
            fakes.until(lambda: other._state.fronts)
            gevent.sleep(1.0)
            assert not platform.election.claims


def test_one_front_acts_if_store_and_planner_fail_together(settings, platform):
    """The other fronts agree on one acting planner."""
    fronts = _three_fronts(settings, platform)
    with contextlib.ExitStack() as stack:
        first = contextlib.ExitStack()
        first.enter_context(fronts[0].running())
        for front in fronts[1:]:
            stack.enter_context(front.running())
        fakes.until(lambda: all(len(f._state.fronts) == 3 for f in fronts[1:]))
        platform.election.down = True
        platform.configurations.down = True
        first.close()
        with gevent.Timeout(15):
            while not any(f.dump()["leads"] for f in fronts[1:]):
                gevent.sleep(0.05)
        gevent.sleep(1.0)
        assert sum(f.dump()["leads"] for f in fronts[1:]) == 1
        platform.election.down = False
        platform.configurations.down = False
        acting = next(f for f in fronts[1:] if f.dump()["leads"])
        other = next(f for f in fronts[1:] if f is not acting)
        # The other front's claim, which the acting planner has not read yet.
        platform.election.winner = other._settings.peer_address
        fakes.until(lambda: not acting.dump()["leads"])
        fakes.until(lambda: _leading(fronts[1:]) == [platform.election.winner])


def test_planner_without_store_access_names_a_successor(settings, platform):
    """The store rejects some hosts and serves the others."""
    platform.documents.put(b"v1", fakes.CONFIGURATION)
    platform.configurations.add("config", b"v1")
    platform.election.winner = settings.peer_address
    own = dataclasses.replace(
        platform,
        configurations=platform_fakes.FakeFeed(),
        backend_servers=platform_fakes.FakeFeed(),
        election=platform_fakes.FakeElection(),
    )
    own.configurations.records = platform.configurations.records
    own.election.winner = settings.peer_address
    planner = front_lib.Front(settings, platform=own)
    other = front_lib.Front(
        _other_settings(settings, "front-2"), platform=platform
    )
    with planner.running(), other.running():
        fakes.until(
            lambda: planner._is_planner and other._link.has_recent_snapshot
        )
        for client in (own.configurations, own.backend_servers, own.election):
            client.down = True
        with gevent.Timeout(2 * leadership.TERM_CONFIRMATION_TIMEOUT_S):
            while not other._is_planner:
                gevent.sleep(0.01)
        fakes.until(lambda: not planner._is_planner)
        fakes.until(lambda: platform.election.winner != settings.peer_address)


def test_leaving_planner_names_a_successor(settings, platform):
    """The planner is stopped while the store is unreachable."""
    fronts = _three_fronts(settings, platform)
    with contextlib.ExitStack() as stack:
        for front in fronts:
            stack.enter_context(front.running())
        fakes.until(lambda: all(len(f._state.fronts) == 3 for f in fronts))
        platform.election.down = True
        platform.configurations.down = True
        fronts[0]._state.mark_leaving()
        started = time.monotonic()
        fakes.until(lambda: any(f.dump()["leads"] for f in fronts[1:]))
        # Without its message the others would wait out the store timeout.
        assert time.monotonic() - started < leadership.STORE_OUTAGE_AFTER_S / 2
        fakes.until(
            lambda: all(
                f._link.has_recent_snapshot
                for f in fronts[1:]
                if not f._is_planner
            )
        )
        assert sum(f.dump()["leads"] for f in fronts) == 1


def test_planner_relays_store_reads_to_all_fronts(settings, platform):
    """There are many fronts, and each read of the store has a cost."""
    for version in (1, 2):
        platform.documents.put(
            b"v%d" % version,
            dataclasses.replace(fakes.CONFIGURATION, version=version),
        )
    platform.configurations.add("config", b"v1")
    other_settings = _other_settings(settings, "front-2")
    platform.election.winner = settings.peer_address
    own_feeds = dataclasses.replace(
        platform,
        configurations=platform_fakes.FakeFeed(),
        backend_servers=platform_fakes.FakeFeed(),
    )
    own_feeds.configurations.records = platform.configurations.records
    planner = front_lib.Front(settings, platform=platform)
    other = front_lib.Front(other_settings, platform=own_feeds)
    with planner.running(), other.running():
        fakes.until(lambda: other._link.has_recent_snapshot and other.is_ready)
        gevent.sleep(0.5)
        # The next version can only come through the planner.
        own_feeds.configurations.down = True
        reads = own_feeds.configurations.reads
        platform.configurations.add("config", b"v2")
        fakes.until(lambda: other.dump()["configuration"]["version"] == 2)
        assert own_feeds.configurations.reads - reads <= 1
        assert other.dump()["configuration"]["age_s"] < 1.0


def test_fronts_started_together_elect_one_stable_planner(
    settings, platform, monkeypatch
):
    """All processes start almost at the same time."""
    platform.documents.put(b"v1", fakes.CONFIGURATION)
    platform.configurations.add("config", b"v1")
    fronts = [
        front_lib.Front(
            _other_settings(settings, f"front-{n}"), platform=platform
        )
        for n in range(8)
    ]
    changes = []
    for front in fronts:
        set_leading = front._set_leading
        monkeypatch.setattr(
            front,
            "_set_leading",
            lambda leads, *, hands_over, front=front, set_leading=set_leading: (
                leads != front._is_planner and changes.append((front, leads)),
                set_leading(leads, hands_over=hands_over),
            ),
        )
    with contextlib.ExitStack() as stack:
        for front in fronts:
            stack.enter_context(front.running())
        fakes.until(
            lambda: all(
                f._is_planner or f._link.has_recent_snapshot for f in fronts
            )
        )
        gevent.sleep(2.5)
        assert [leads for _, leads in changes] == [True]
        assert platform.election.term.number == 1


def test_planner_on_a_weak_host_hands_over_to_a_strong_one(
    settings, platform, monkeypatch
):
    """A weak host was the only one up; strong ones start later."""
    monkeypatch.setattr(leadership, "MIN_LEAD_TIME_S", 0.3)
    platform.documents.put(b"v1", fakes.CONFIGURATION)
    platform.configurations.add("config", b"v1")
    weak_settings = dataclasses.replace(settings, link_bits_per_s=7e6)
    platform.election.winner = settings.peer_address
    weak = front_lib.Front(weak_settings, platform=platform)
    strong = front_lib.Front(
        _other_settings(settings, "front-2"), platform=platform
    )
    with weak.running():
        fakes.until(lambda: weak.dump()["leads"])
        gevent.sleep(0.5)
        assert weak.dump()["leads"]
        platform.election.down = True
        with strong.running():
            strong._link._successor = settings.peer_address
            fakes.until(lambda: strong.dump()["leads"])
            fakes.until(lambda: not weak.dump()["leads"])


def test_snapshots_contain_only_changed_servers(settings, platform):
    """There are many fronts on links with little bandwidth."""
    platform.documents.put(b"v1", fakes.CONFIGURATION)
    platform.configurations.add("config", b"v1")
    platform.election.winner = settings.peer_address
    server = backend_server.BackendServer(
        id="s",
        service="model",
        address="127.0.0.1:1",
        failure_domain="a",
        availability=backend_server.Availability.READY,
        slots=1,
        accelerator="kind",
    )
    platform.documents.put(b"s", server)
    platform.backend_servers.add("s", b"s")
    platform.engines.reports[server.address] = _REPORT
    planner = front_lib.Front(settings, platform=platform)
    other = front_lib.Front(
        _other_settings(settings, "front-2"), platform=platform
    )
    snapshots = []
    apply = other._link._apply_snapshot
    other._link._apply_snapshot = lambda s: (snapshots.append(s), apply(s))
    with planner.running(), other.running():
        fakes.until(lambda: any(snapshot.servers for snapshot in snapshots))
        snapshots.clear()
        fakes.until(lambda: len(snapshots) >= 4)
        assert not any(snapshot.servers for snapshot in snapshots)
        assert other._state.fleet.layers_of(server) == _REPORT.layers
        del platform.engines.reports[server.address]
        fakes.until(lambda: other._link._silent_ids == {"s"})
        fakes.until(
            lambda: other._state.exclusions.excluded("s", now=time.monotonic())
        )


def test_engine_that_refuses_one_front_is_excluded_by_all(settings, platform):
    """Engines leave while the list of backend servers is unavailable."""
    platform.documents.put(b"v1", fakes.CONFIGURATION)
    platform.configurations.add("config", b"v1")
    other_settings = _other_settings(settings, "front-2")
    platform.election.winner = settings.peer_address
    planner = front_lib.Front(settings, platform=platform)
    other = front_lib.Front(other_settings, platform=platform)
    with planner.running(), other.running():
        fakes.until(lambda: other._link.has_recent_snapshot)
        for now in (0.0, 1.0):
            planner._state.exclusions.note_refusal(
                "s", now=now + time.monotonic()
            )
        fakes.until(
            lambda: other._state.exclusions.excluded("s", now=time.monotonic())
        )
        assert not other._state.exclusions.refusing_ids(now=time.monotonic())


def test_reported_refusals_do_not_echo(settings, platform, monkeypatch):
    """An engine sheds load for a while and then recovers.

    Fronts that repeat each other's reports would exclude it forever.
    """
    monkeypatch.setattr("dotterelgrade_routing.exclusions.REFUSAL_VALID_S", 0.5)
    monkeypatch.setattr("dotterelgrade_routing.exclusions.MAX_EXCLUSION_S", 0.2)
    platform.documents.put(b"v1", fakes.CONFIGURATION)
    platform.configurations.add("config", b"v1")
    platform.election.winner = settings.peer_address
    planner = front_lib.Front(settings, platform=platform)
    other = front_lib.Front(
        _other_settings(settings, "front-2"), platform=platform
    )
    with planner.running(), other.running():
        fakes.until(lambda: other._link.has_recent_snapshot)
        now = time.monotonic()
        other._state.exclusions.note_refusal("s", now=now - 0.4)
        other._state.exclusions.note_refusal("s", now=now)
        fakes.until(lambda: planner._hub.refusing)
        fakes.until(lambda: not planner._hub.refusing)
        gevent.sleep(1.0)
        for front in (planner, other):
            now = time.monotonic()
            assert not front._state.exclusions.excluded("s", now=now)
