import pytest

from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import reservations

_STAGE = chain_choice.Stage(
    server_id="s",
    address="10.0.0.1:1",
    failure_domain="a",
    layers=layer_range.LayerRange(0, 10),
)
_CHAIN = chain_choice.Chain(stages=(_STAGE,), step_s=0.01)


def test_reservation_ends_with_its_request():
    load = reservations.Reservations()
    with load.reserved(_CHAIN, tokens=7.0):
        assert load.used("s") == 70.0
        assert load.in_flight == 1
    assert load.used("s") == 0.0


def test_reservations_of_other_fronts_are_added():
    load = reservations.Reservations()
    load.set_others({"s": 30.0})
    with load.reserved(_CHAIN, tokens=7.0):
        assert load.used("s") == 100.0


@pytest.mark.parametrize(("fronts", "used"), [(0, 70), (1, 70), (10, 700)])
def test_other_fronts_are_assumed_equal_without_totals(fronts, used):
    """Load pattern: the planner fails; all fronts choose the same chain."""
    load = reservations.Reservations()
    load.set_others({"s": 30.0})
    load.assume_others(fronts=fronts)
    with load.reserved(_CHAIN, tokens=7.0):
        assert load.used("s") == used
    load.set_others({})
    assert load.used("s") == 0.0


def test_own_part_of_the_totals_is_counted_once():
    """Load pattern: dozens of fronts receive the same totals."""
    load = reservations.Reservations()
    with load.reserved(_CHAIN, tokens=100):
        first = load.report()
        with load.reserved(_CHAIN, tokens=50):
            # The totals lack what was reserved after the report.
            totals = {name: used + 300 for name, used in first.reserved.items()}
            load.set_totals(totals, counted=first.number)
            for name in totals:
                assert load.used(name) == load.own[name] + 300


def test_own_part_is_counted_twice_without_its_report():
    """A front that has just connected is counted twice for a moment."""
    load = reservations.Reservations()
    with load.reserved(_CHAIN, tokens=100):
        totals = dict(load.own)
        load.set_totals(totals, counted=0)
        for name, own in totals.items():
            assert load.used(name) == 2 * own


def test_old_reports_are_discarded():
    load = reservations.Reservations()
    for _ in range(1_000):
        load.report()
    assert len(load._reports) < 50
