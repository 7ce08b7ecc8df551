import pytest

from dotterelgrade_routing import admission
from dotterelgrade_routing import priority_headroom
from dotterelgrade_routing import rank_demand


def _limit(rank, *loads, moved=0.0, capacity=100.0):
    return priority_headroom.limit(
        rank,
        demand=rank_demand.ServiceDemand(
            load_per_s=dict(enumerate(loads)), moved=moved
        ),
        capacity=capacity,
        turnover_s=2.0,
    )


def test_less_urgent_requests_leave_what_more_urgent_ones_need():
    limits = [_limit(rank, 5.0, 10.0, 99.0) for rank in range(3)]
    assert limits == pytest.approx([0.95, 0.85, 0.65])
    assert _limit(9, 1e12, moved=1e12) == priority_headroom.MIN_LIMIT
    assert _limit(1, 1.0, capacity=0.0) == admission.MAX_UTILIZATION


def test_moved_streams_are_given_headroom_up_to_a_bound():
    assert _limit(1, moved=7.0) == pytest.approx(0.88)
    assert _limit(1, moved=90.0) == pytest.approx(0.85)
    assert _limit(0, moved=90.0) == admission.MAX_UTILIZATION
