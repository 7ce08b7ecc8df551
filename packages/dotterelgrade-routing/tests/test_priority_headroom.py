import pytest

from dotterelgrade_routing import admission
from dotterelgrade_routing import priority_headroom
from dotterelgrade_routing import rank_demand


@pytest.fixture
def limit():
    def limit(rank, *, moved=0.0, **loads):
        by_rank = {int(name[1:]): load for name, load in loads.items()}
        demand = rank_demand.ServiceDemand(load_per_s=by_rank, moved=moved)
        return priority_headroom.limit(
            rank, demand=demand, capacity=100.0, turnover_s=2.0
        )

    return limit


def test_less_urgent_requests_leave_what_more_urgent_ones_need(limit):
    limits = [limit(rank, r0=5.0, r1=10.0, r2=99.0) for rank in range(3)]
    assert limits == pytest.approx([0.95, 0.85, 0.65])


def test_moved_streams_are_given_headroom_up_to_a_bound(limit):
    assert limit(1, moved=10.0) == pytest.approx(0.85)
    assert limit(1, moved=90.0) == pytest.approx(0.80)
    assert limit(0, moved=90.0) == admission.MAX_UTILIZATION


def test_no_demand_takes_half_of_the_memory(limit):
    assert limit(9, r0=1e12, moved=1e12) == priority_headroom.MIN_LIMIT


def test_without_known_memory_the_limit_is_that_of_all():
    demand = rank_demand.ServiceDemand(load_per_s={0: 1.0})
    assert (
        priority_headroom.limit(1, demand=demand, capacity=0.0, turnover_s=1.0)
        == admission.MAX_UTILIZATION
    )
