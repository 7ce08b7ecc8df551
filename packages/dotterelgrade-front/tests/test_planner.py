import dataclasses
import time

import front_fakes as fakes
import gevent
from gevent import event
import pytest

from dotterelgrade_front import planner as planner_lib
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import placement
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import poll_schedule


@pytest.fixture
def planner(front, monkeypatch):
    """A planner that polls all engines at each tick."""
    monkeypatch.setattr(planner_lib, "_POLL_INTERVAL_S", 0.0)
    monkeypatch.setattr(planner_lib, "_FAST_POLL_INTERVAL_S", 0.0)
    monkeypatch.setattr(
        "dotterelgrade_routing.placement.JOIN_QUIET_PERIOD_S", 0.0
    )
    return planner_lib.Planner(front.state)


def _add_engines(front, count=2):
    engines = front.state.platform.engines
    for number in range(count):
        server_id = f"e{number}"
        front.add(server_id, fakes.silent, service="model", layers=None)
        server = dataclasses.replace(
            front.state.fleet.get(server_id), accelerator="kind"
        )
        front.state.fleet.put(server)
        engines.reports[server.address] = fakes.REPORT
    return engines


def test_empty_engines_are_ordered_to_load_all_layers(front, planner):
    engines = _add_engines(front)
    planner.tick()
    held = [layers for _, layers, _ in engines.place_orders]
    whole = layer_range.LayerRange(0, fakes.ENGINE.layers)
    assert layer_range.gaps(whole, held) == ()


def test_order_carries_the_order_count_of_the_report(front, planner):
    """A delayed order must not override a newer one."""
    engines = _add_engines(front, count=1)
    address = front.state.fleet.get("e0").address
    engines.reports[address] = dataclasses.replace(fakes.REPORT, orders=7)
    planner.tick()
    assert [orders for _, _, orders in engines.place_orders] == [7]


def test_order_without_response_is_not_resent_at_once(front, planner):
    """Engines don't respond to an order and execute it later."""
    engines = _add_engines(front, count=1)
    engines.outcome = platform_port.OrderOutcome.UNKNOWN
    for _ in range(5):
        planner.tick()
    assert len(engines.place_orders) == 1


def test_conflicting_order_is_planned_again_from_a_new_report(front, planner):
    engines = _add_engines(front, count=1)
    engines.outcome = platform_port.OrderOutcome.CONFLICT
    planner.tick()
    address = front.state.fleet.get("e0").address
    engines.reports[address] = dataclasses.replace(fakes.REPORT, orders=3)
    planner.tick()
    assert [orders for _, _, orders in engines.place_orders] == [0, 3]


def test_silent_engine_gets_no_orders_and_is_excluded(front, planner):
    engines = _add_engines(front, count=2)
    gone = front.state.fleet.get("e1")
    del engines.reports[gone.address]
    for _ in range(3):
        planner.tick()
    assert {address for address, _, _ in engines.place_orders} == {
        front.state.fleet.get("e0").address
    }
    assert "e1" in front.state.exclusions.excluded_ids(now=0.0)


def test_another_process_at_the_address_gets_no_orders(front, planner):
    """It was ordered to hold the layers of its larger predecessor (LIMIT)."""
    engines = _add_engines(front, count=1)
    server = front.state.fleet.get("e0")
    engines.reports[server.address] = dataclasses.replace(
        fakes.REPORT, started_ms=server.started_ms + 2_000
    )
    for _ in range(5):
        planner.tick()
    assert engines.place_orders == []
    assert "e0" in front.state.exclusions.excluded_ids(now=time.monotonic())
    front.state.fleet.put(
        dataclasses.replace(server, started_ms=server.started_ms + 2_000)
    )
    planner.tick()
    assert engines.ordered_ids == ["e0"]


def test_engine_listed_as_leaving_gets_no_orders(front, planner):
    engines = _add_engines(front, count=1)
    server = front.state.fleet.get("e0")
    front.state.fleet.put(
        dataclasses.replace(
            server, availability=backend_server.Availability.LEAVING
        )
    )
    planner.tick()
    assert not engines.place_orders


def test_reported_layers_are_used_for_chains(front, planner):
    engines = _add_engines(front, count=1)
    server = front.state.fleet.get("e0")
    held = layer_range.LayerRange(0, 8)
    engines.reports[server.address] = dataclasses.replace(
        fakes.REPORT, layers=held
    )
    planner.tick()
    service = fakes.CONFIGURATION.service("model")
    (chain,) = front.state.chains.offer(service).chains
    assert chain.first.server_id == "e0"


def _report_layers(front, engines, server_id, *layers):
    """Makes an engine report layers."""
    server = front.state.fleet.get(server_id)
    engines.reports[server.address] = dataclasses.replace(
        fakes.REPORT, layers=layer_range.LayerRange(*layers)
    )
    return server.address


def test_layers_of_refusing_engine_are_placed_elsewhere(front, planner):
    """Engines leave while the list of backend servers is unavailable."""
    engines = _add_engines(front, count=4)
    _report_layers(front, engines, "e0", 0, 8)
    planner.tick()
    engines.place_orders.clear()
    for number in range(1, 4):
        address = front.state.fleet.get(f"e{number}").address
        engines.reports[address] = fakes.REPORT
    planner.tick()
    planner.tick(refusing={"e0"})
    held = [layers for _, layers, _ in engines.place_orders]
    assert layer_range.gaps(layer_range.LayerRange(0, 8), held) == ()


def test_slow_reports_do_not_delay_orders(front, planner, monkeypatch):
    """Some engines stop responding while others need orders."""
    engines = _add_engines(front, count=3)
    silent = front.state.fleet.get("e0").address
    answer = engines.report

    def report(address):
        if address == silent:
            gevent.sleep(5.0)
        return answer(address)

    monkeypatch.setattr(engines, "report", report)
    started = time.monotonic()
    for _ in range(2):
        planner.tick()
    assert time.monotonic() - started < 1.0
    assert engines.place_orders


def test_a_planner_of_many_silent_engines_is_not_held(
    front, planner, monkeypatch
):
    """Snapshots wait for the tick; without them the planner is replaced."""
    engines = _add_engines(front, count=100)
    answered = event.Event()
    monkeypatch.setattr(engines, "report", lambda _: answered.wait())
    with gevent.Timeout(fakes.WAIT_S):
        planner.tick()


def test_orders_that_wait_for_others_are_sent_later_and_once(
    front, planner, monkeypatch
):
    """A hundred empty engines join, and none answers its order."""
    engines = _add_engines(front, count=100)
    answered = event.Event()
    taken = engines.place

    def place(*args, **kwargs):
        answered.wait()
        return taken(*args, **kwargs)

    monkeypatch.setattr(engines, "place", place)
    monkeypatch.setattr(placement, "plan", _order_all_empty)
    with gevent.Timeout(fakes.WAIT_S):
        planner.tick()
        answered.set()
        planner.tick()
        planner.tick()
    addresses = [address for address, _, _ in engines.place_orders]
    assert len(addresses) == 100
    assert len(set(addresses)) == 100


def _order_all_empty(engine, servers, *, policy):
    """Stands for `placement.plan`: every empty engine takes all layers."""
    del policy
    return [
        placement.Placement(
            server_id=server.server_id,
            layers=engine.all_layers(),
            reason="test",
        )
        for server in servers
        if server.layers is None and server.movable
    ]


def test_layers_of_engines_not_polled_yet_count_as_listed(front, planner):
    """After an election the first polls of a large fleet take a while."""
    engines = _add_engines(front, count=poll_schedule.MAX_BURST + 1)
    whole = layer_range.LayerRange(0, fakes.ENGINE.layers)
    for server in front.state.fleet.servers:
        if server.accelerator:
            front.state.fleet.put(dataclasses.replace(server, layers=whole))
            engines.reports[server.address] = dataclasses.replace(
                fakes.REPORT, layers=whole, orders=1
            )
    planner.tick()
    assert not engines.place_orders
    (row,) = [
        row
        for row in front.state.decisions.journal.latest(100)
        if row.decision == "layers_at_risk"
    ]
    assert row.details["engines"] == poll_schedule.MAX_BURST + 1


def test_one_missed_poll_suffices_if_a_front_excludes_the_engine(
    front, planner
):
    engines = _add_engines(front, count=2)
    planner.tick()
    server = front.state.fleet.get("e1")
    del engines.reports[server.address]
    planner.add_suspects(["e1"])
    planner.tick()
    assert planner.tracked_engine(server).silent


def test_engine_that_refused_an_order_gets_no_other_at_once(front, planner):
    """A leaving engine refuses orders; the layers must go to others."""
    engines = _add_engines(front, count=1)
    engines.outcome = platform_port.OrderOutcome.REFUSED
    for _ in range(4):
        planner.tick()
    assert len(engines.place_orders) == 1


def test_layers_of_engine_reported_leaving_move_elsewhere(front, planner):
    """An engine reports that it is leaving."""
    engines = _add_engines(front, count=3)
    planner.tick()
    address, layers, _ = engines.place_orders[0]
    engines.reports[address] = dataclasses.replace(
        fakes.REPORT, layers=layers, orders=1, leaving=True
    )
    engines.place_orders.clear()
    planner.tick()
    planner.tick()
    others = [at for at, _, _ in engines.place_orders]
    assert others
    assert address not in others


def test_held_off_engine_is_not_polled(front, planner):
    engines = _add_engines(front, count=1)
    server = front.state.fleet.get("e0")
    front.state.notices.note_holdoff(server, "30")
    polled = []
    engines.report = lambda at: polled.append(at)
    planner.tick()
    assert not polled
    assert planner.tracked_engine(server).missed_polls == 0


def test_layers_beyond_the_model_count_for_nothing(front, planner):
    """The figures of each layer were counted to the end of the range."""
    engines = _add_engines(front, count=1)
    address = front.state.fleet.get("e0").address
    engines.reports[address] = dataclasses.replace(
        fakes.REPORT, layers=layer_range.LayerRange(0, 60_000), orders=1
    )
    planner.tick()
    (row,) = [
        row.details["single_holder"]
        for row in front.state.decisions.journal.latest(100)
        if row.decision == "layers_at_risk"
    ]
    assert row == {"e0": [f"0-{fakes.ENGINE.layers}"]}


def test_layers_with_a_single_holder_are_recorded_once(front, planner):
    """One of two holders crashes."""
    engines = _add_engines(front, count=2)
    whole = layer_range.LayerRange(0, fakes.ENGINE.layers)
    for number in range(2):
        address = front.state.fleet.get(f"e{number}").address
        engines.reports[address] = dataclasses.replace(
            fakes.REPORT, layers=whole, orders=1
        )
    planner.tick()
    del engines.reports[front.state.fleet.get("e1").address]
    for _ in range(6):
        planner.tick()
    rows = [
        row.details["single_holder"]
        for row in front.state.decisions.journal.latest(100)
        if row.decision == "layers_at_risk"
    ]
    assert sorted(map(len, rows)) == [0, 1]
