"""How long a new host takes to get its first work."""

import dataclasses
import time
from typing import Any

import gevent

from dotterelgrade import connection_frames
from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import experiments
from dotterelgrade_standins import faults
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import fleet_run
from dotterelgrade_standins import launcher as launcher_lib
from dotterelgrade_standins import load
from dotterelgrade_standins import workload

JOIN_AFTER_S = 3.0
AFTER_JOIN_S = 12.0
WORK_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Joining:
    """One host that joins.

    Attributes:
        seed: Seed of the stream.
        first_work_s: From the moment that its agent is ready and the host
            list was told to its first step, s; None when there was none.
        violations: The first promises that the oracle saw broken.
    """

    seed: int
    first_work_s: float | None
    violations: tuple[str, ...]


@experiments.register("joining")
def joining(context: experiments.Context) -> dict[str, Any]:
    """Takes a host out before the load and lets it join under the load."""
    found = []
    for seed in context.settings.seeds:
        with context.fleet(isolated=True) as fleet:
            found.append(_join(context, fleet, seed=seed))
        context.say(str(found[-1]))
    rows = [
        [
            str(j.seed),
            "-" if j.first_work_s is None else f"{j.first_work_s:.2f}",
        ]
        for j in found
    ]
    return {
        "experiment": "joining",
        "settings": context.settings,
        "joinings": found,
        "table": [["seed", "first work, s"], *rows],
    }


def _join(
    context: experiments.Context, fleet: fleet_run.Fleet, *, seed: int
) -> Joining:
    worker = faults.victim(fleet)
    _take_out(fleet, worker)
    fleet.forget_evidence()
    tool = load.LoadTool(fleet)
    stream = workload.requests(
        context.settings.workload,
        rate_per_s=context.settings.steady_rate_per_s,
        duration_s=JOIN_AFTER_S + AFTER_JOIN_S,
        seed=seed,
    )
    running = gevent.spawn(tool.run, stream)
    gevent.sleep(JOIN_AFTER_S)
    fleet.launcher.start(worker.backend_process)
    fleet.launcher.start(worker.agent_process)
    joined_at_s = time.monotonic()
    _tell_hosts(fleet, worker)
    is_working = launcher_lib.wait_until(
        lambda: _has_run(worker), timeout_s=WORK_TIMEOUT_S, pause_s=0.02
    )
    first_work_s = time.monotonic() - joined_at_s if is_working else None
    running.get()
    fleet.evidence.note_restart(worker)
    fleet.evidence.collect()
    return Joining(
        seed=seed,
        first_work_s=first_work_s,
        violations=tuple(fleet.oracle.violations()[:5]),
    )


def _take_out(fleet: fleet_run.Fleet, worker: fleet_plan.Worker) -> None:
    fleet.launcher.kill(worker.agent_process)
    fleet.launcher.kill(worker.backend_process)
    caller_lib.delete(
        fleet.plan.hosts_host, fleet_plan.HOSTS_PORT, f"/hosts/{worker.host}"
    )
    gevent.sleep(fleet.plan.settings.hosts_lag_s + 2.0)


def _tell_hosts(fleet: fleet_run.Fleet, worker: fleet_plan.Worker) -> None:
    entry = {
        "host": worker.host,
        "role": connection_frames.Role.AGENT.value,
        "peer_port": fleet_plan.PEER_PORT,
        "admin_port": fleet_plan.ADMIN_PORT,
        "failure_domain": worker.failure_domain,
        "state": "live",
    }
    caller_lib.post_json(
        fleet.plan.hosts_host, fleet_plan.HOSTS_PORT, "/hosts", entry
    )


def _has_run(worker: fleet_plan.Worker) -> bool:
    value = caller_lib.get_json(worker.host, fleet_plan.ENGINE_PORT, "/runs")
    return bool(value and value["runs"])
