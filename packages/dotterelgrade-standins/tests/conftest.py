"""Fixtures of the stand-ins' tests."""

import pytest

from dotterelgrade_standins import caller
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import load
from dotterelgrade_standins import workload

CONTRACT = """
bound workspace=* first_token_p95=100ms between_tokens_p95=10ms  # a: b
bound workspace=slow first_token_p95=1s between_tokens_p95=100ms  # a: b
model name=m layers=4  # a: b
place model=m layers=0-3 failure_domain=x,y replicas=2  # a: b
"""
PLAN = fleet_plan.FleetPlan(CONTRACT, fleet_plan.PlanSettings(order_workers=0))


def _make_sample(at_s, *, workspace="quick", first_s=0.05, gap_s=0.005, run=""):
    request = workload.Request(
        name=f"{workspace}-{at_s}",
        at_s=at_s,
        workspace=workspace,
        model="m",
        prompt="p",
        max_tokens=2,
    )
    whole = caller.Answer(
        status=200,
        text=" t1 t2",
        is_complete=True,
        first_token_s=first_s,
        arrivals_s=(100 + at_s + first_s, 100 + at_s + first_s + gap_s),
    )
    answer = caller.Answer(kind="over_bound", run=run) if run else whole
    return load.Sample(
        request=request,
        intended_s=100 + at_s,
        entry="127.0.0.1",
        answer=answer,
        ended_s=100 + at_s + first_s + gap_s,
    )


@pytest.fixture
def make_sample():
    """Makes a sample of a call that was due at a time."""
    return _make_sample


@pytest.fixture
def small_plan():
    """A plan with a quick bound and a slow one."""
    settings = fleet_plan.PlanSettings(order_workers=0)
    return fleet_plan.FleetPlan(CONTRACT, settings)
