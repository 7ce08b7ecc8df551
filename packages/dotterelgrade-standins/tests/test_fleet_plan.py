import pathlib

import pytest

from dotterelgrade_standins import fleet_plan

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("name", ["tabuleiro", "isimbi"])
def test_a_whole_deployment_has_the_sizes_of_the_users(name):
    text = (EXAMPLES / f"{name}.contract").read_text()
    plan = fleet_plan.FleetPlan(text, fleet_plan.PlanSettings())
    assert len(plan.workers) == 40
    assert len(plan.order_workers) == 3
    assert len(plan.failure_domains) == 3
    hosts = [item.host for item in (*plan.workers, *plan.entries)]
    assert len(set(hosts)) == len(hosts)


def test_addresses_are_used_once():
    text = (EXAMPLES / "tabuleiro.contract").read_text()
    settings = fleet_plan.PlanSettings(workers_per_process=4, isolated=True)
    deployment = fleet_plan.FleetPlan(text, settings).deployment()
    addresses = [a for plan in deployment.processes for a in plan.addresses]
    assert len(set(addresses)) == len(addresses)


def test_processes_hold_workers_of_one_failure_domain():
    text = (EXAMPLES / "tabuleiro.contract").read_text()
    settings = fleet_plan.PlanSettings(workers_per_process=4)
    plan = fleet_plan.FleetPlan(text, settings)
    domains = {}
    for worker in plan.workers:
        domains.setdefault(worker.agent_process, set()).add(
            worker.failure_domain
        )
    assert all(len(found) == 1 for found in domains.values())


def test_bounds_and_limits_are_scaled():
    text = "bound workspace=* first_token_p95=340ms between_tokens_p95=1s # a"
    scaled = fleet_plan.scaled_bounds(text, 8.0)
    assert "first_token_p95=2720ms between_tokens_p95=8s" in scaled
    limits = fleet_plan.scaled_limits("x rate=10/s concurrent=4 p=1", 2.5)
    assert limits == "x rate=25/s concurrent=10 p=1"


def test_a_faulty_contract_is_refused():
    with pytest.raises(fleet_plan.PlanError):
        fleet_plan.FleetPlan("nonsense", fleet_plan.PlanSettings())
