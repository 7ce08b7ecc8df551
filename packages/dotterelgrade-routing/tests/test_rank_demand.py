import pytest

from dotterelgrade import bounded
from dotterelgrade_routing import arrival_counter
from dotterelgrade_routing import demand_totals
from dotterelgrade_routing import rank_demand


def _row(rank, load, *, service="model", moved=0.0):
    return rank_demand.RankDemand(
        service=service, rank=rank, load_per_s=load, moved_per_s=moved
    )


@pytest.fixture
def clock():
    return [100.0]


@pytest.fixture
def arrivals(clock):
    return arrival_counter.ArrivalCounter(clock=lambda: clock[0])


@pytest.fixture
def totals(arrivals, clock):
    return demand_totals.DemandTotals(arrivals, clock=lambda: clock[0])


def test_the_planner_adds_up_and_counts_older_builds_as_the_mean():
    reports = [[_row(0, 10.0)], None, [_row(0, 20.0), _row(1, 6.0)], []]
    rows = rank_demand.combined(reports)
    assert {row.rank: row.load_per_s for row in rows} == {0: 40.0, 1: 8.0}
    assert rank_demand.combined([None, None]) is None
    assert rank_demand.combined([[]]) == []


def test_sums_and_rows_are_bounded():
    """Many services, or amounts at the limit of a frame, must fit into one."""
    many = [_row(r, r, service=f"s{s}") for s in range(9) for r in range(20)]
    rows = rank_demand.combined([many])
    rank_demand.check(rows)
    assert len(rows) == rank_demand.MAX_ROWS
    (row,) = rank_demand.combined([[_row(0, bounded.MAX_AMOUNT)]] * 2)
    assert row.load_per_s == bounded.MAX_AMOUNT


@pytest.mark.parametrize(
    "rows", [[_row(r, 1.0) for r in range(65)], [_row(0, 1.0)] * 2]
)
def test_bad_rows_leave_the_totals_in_force(totals, rows):
    totals.set_totals([_row(0, 5.0)])
    with pytest.raises(ValueError, match="rows of demand"):
        totals.set_totals(rows)
    assert totals.demand_for("model", fronts=1).load_per_s == {0: 5.0}


def test_a_burst_shows_within_seconds_and_is_dropped_again(arrivals, clock):
    for _ in range(100):
        clock[0] += 0.05
        arrivals.note_arrival("model", 1, load=50.0)
    (row,) = arrivals.rows()
    assert 800 < row.load_per_s < 1_100
    clock[0] += rank_demand.SEEN_S + 0.1
    assert arrivals.rows() == []


def test_moved_streams_count_for_a_minute(arrivals, totals, clock):
    arrivals.note_moved("model", 1, load=300.0)
    clock[0] += 30
    arrivals.note_moved("model", 1, load=300.0)
    demand = totals.demand_for("model", fronts=1)
    assert demand.moved == pytest.approx(600.0)
    assert not demand.seen
    clock[0] += 40
    assert totals.demand_for("model", fronts=1).moved == pytest.approx(300.0)
    clock[0] += 60
    assert totals.demand_for("model", fronts=1).moved == 0.0


def test_without_a_planner_totals_approach_the_own_part(
    arrivals, totals, clock
):
    """Load pattern: the planner is lost while a rank is no longer asked.

    A new front has no demand.
    """
    assert not totals.demand_for("model", fronts=4).load_per_s
    totals.set_totals([_row(0, 800.0), _row(1, 80.0)])
    assert totals.demand_for("model", fronts=4).load_above(1) == 800.0
    clock[0] += demand_totals.FRESH_S + demand_totals.HALF_LIFE_S
    arrivals.note_arrival("model", 1, load=20.0)
    demand = totals.demand_for("model", fronts=4)
    # The own rate is 10 per second.
    assert demand.load_per_s == {0: 400.0, 1: 60.0}
    assert demand.is_seen_above(1)
    clock[0] += 3.0
    assert not totals.demand_for("model", fronts=4).is_seen_above(1)
    # So does a front that was suspended, at once.
    clock[0] += demand_totals.MAX_AGE_S
    assert not totals.demand_for("model", fronts=4).load_per_s


def test_the_position_follows_the_demand():
    demand = rank_demand.ServiceDemand(load_per_s={0: 10.0, 1: 20.0, 2: 10.0})
    positions = [demand.position(rank) for rank in range(4)]
    assert positions == [0.125, 0.5, 0.875, 1.0]
    assert rank_demand.ServiceDemand(load_per_s={}).position(2) == 0.5
