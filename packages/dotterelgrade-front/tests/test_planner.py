import dataclasses
import time

import front_fakes as fakes
import gevent
import pytest

from dotterelgrade_front import planner as planner_lib
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import platform_port


@pytest.fixture
def planner(front, monkeypatch):
    """A planner whose reports are due at each tick."""
    monkeypatch.setattr(planner_lib, "_REPORT_EVERY_S", 0.0)
    monkeypatch.setattr(planner_lib, "_BUSY_REPORT_EVERY_S", 0.0)
    monkeypatch.setattr("dotterelgrade_routing.placement.FORMING_QUIET_S", 0.0)
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


def test_empty_engines_are_ordered_to_hold_the_layers(front, planner):
    engines = _add_engines(front)
    planner.tick()
    held = [layers for _, layers, _ in engines.placed]
    whole = layer_range.LayerRange(0, fakes.ENGINE.layers)
    assert layer_range.gaps(whole, held) == ()


def test_an_order_names_the_orders_that_were_seen(front, planner):
    """A late order must not undo a newer one."""
    engines = _add_engines(front, count=1)
    address = front.state.fleet.get("e0").address
    engines.reports[address] = dataclasses.replace(fakes.REPORT, orders=7)
    planner.tick()
    assert [orders for _, _, orders in engines.placed] == [7]


def test_an_order_without_an_answer_is_not_repeated_at_once(front, planner):
    """Load pattern: engines leave orders unanswered and obey later."""
    engines = _add_engines(front, count=1)
    engines.outcome = platform_port.OrderOutcome.UNKNOWN
    for _ in range(5):
        planner.tick()
    assert len(engines.placed) == 1


def test_a_conflicting_order_is_decided_anew_from_a_fresh_report(
    front, planner
):
    engines = _add_engines(front, count=1)
    engines.outcome = platform_port.OrderOutcome.CONFLICT
    planner.tick()
    address = front.state.fleet.get("e0").address
    engines.reports[address] = dataclasses.replace(fakes.REPORT, orders=3)
    planner.tick()
    assert [orders for _, _, orders in engines.placed] == [0, 3]


def test_a_silent_engine_is_left_out_of_plan_and_choice(front, planner):
    engines = _add_engines(front, count=2)
    gone = front.state.fleet.get("e1")
    del engines.reports[gone.address]
    for _ in range(3):
        planner.tick()
    assert {address for address, _, _ in engines.placed} == {
        front.state.fleet.get("e0").address
    }
    assert "e1" in front.state.trust.excluded_ids(now=0.0)


def test_a_leaving_engine_gets_no_orders(front, planner):
    engines = _add_engines(front, count=1)
    server = front.state.fleet.get("e0")
    front.state.fleet.put(
        dataclasses.replace(
            server, availability=backend_server.Availability.LEAVING
        )
    )
    planner.tick()
    assert not engines.placed


def test_reports_reach_the_choice_of_chains(front, planner):
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


def _hold(front, engines, server_id, *layers):
    """Lets an engine report layers."""
    server = front.state.fleet.get(server_id)
    engines.reports[server.address] = dataclasses.replace(
        fakes.REPORT, layers=layer_range.LayerRange(*layers)
    )
    return server.address


def test_layers_of_an_engine_that_refuses_are_placed_elsewhere(front, planner):
    """Load pattern: engines leave while the list is away."""
    engines = _add_engines(front, count=4)
    _hold(front, engines, "e0", 0, 8)
    planner.tick()
    engines.placed.clear()
    for number in range(1, 4):
        address = front.state.fleet.get(f"e{number}").address
        engines.reports[address] = fakes.REPORT
    planner.tick()
    planner.tick(refusing={"e0"})
    held = [layers for _, layers, _ in engines.placed]
    assert layer_range.gaps(layer_range.LayerRange(0, 8), held) == ()


def test_engines_slow_to_answer_hold_up_nobody(front, planner, monkeypatch):
    """Load pattern: some engines fall silent, others need orders."""
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
    assert engines.placed


def test_one_miss_is_enough_where_a_front_found_a_fault(front, planner):
    engines = _add_engines(front, count=2)
    planner.tick()
    server = front.state.fleet.get("e1")
    del engines.reports[server.address]
    planner.suspect(["e1"])
    planner.tick()
    assert planner.watched(server).silent


def test_an_engine_that_refused_an_order_is_not_asked_again_at_once(
    front, planner
):
    """Load pattern: engines that leave get no layers, others do."""
    engines = _add_engines(front, count=1)
    engines.outcome = platform_port.OrderOutcome.REFUSED
    for _ in range(4):
        planner.tick()
    assert len(engines.placed) == 1


def test_the_layers_of_one_that_leaves_are_ordered_elsewhere(front, planner):
    """Load pattern: an engine says in a report that it leaves."""
    engines = _add_engines(front, count=3)
    planner.tick()
    address, layers, _ = engines.placed[0]
    engines.reports[address] = dataclasses.replace(
        fakes.REPORT, layers=layers, orders=1, leaving=True
    )
    engines.placed.clear()
    planner.tick()
    planner.tick()
    others = [at for at, _, _ in engines.placed]
    assert others
    assert address not in others


def test_a_full_engine_is_not_asked_for_reports(front, planner):
    engines = _add_engines(front, count=1)
    server = front.state.fleet.get("e0")
    front.state.notices.note_holdoff(server, "30")
    asked = []
    engines.report = lambda at: asked.append(at)
    planner.tick()
    assert not asked
    assert planner.watched(server).misses == 0


def test_layers_that_hang_on_one_engine_are_recorded_once(front, planner):
    """Load pattern: one of two holders crashes."""
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
        row.details["hanging"]
        for row in front.state.decisions.journal.latest(100)
        if row.decision == "layers_at_risk"
    ]
    assert sorted(map(len, rows)) == [0, 1]
