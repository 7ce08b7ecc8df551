"""Whether what leaves gets no new work and cuts nothing in flight."""

from collections.abc import Callable
import dataclasses
import time
from typing import Any

import gevent

from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import experiments
from dotterelgrade_standins import faults
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import fleet_run
from dotterelgrade_standins import load
from dotterelgrade_standins import oracle as oracle_lib
from dotterelgrade_standins import timeline
from dotterelgrade_standins import workload

ORDER_AFTER_S = 5.0
AFTER_ORDER_S = 10.0
EXIT_TIMEOUT_S = 30.0
BIN_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leaving:
    """What one order to leave did.

    Attributes:
        way: How it was ordered.
        seed: Seed of the stream.
        last_new_work_s: Last new sequence on it, s after the order; 0 when
            there was none.
        exit_code: Exit code of the process; None when it runs on.
        exited_s: When it ended, s after the order.
        outside_s: Time after the order with the bound not held, s.
        refused: Calls refused after the order.
        calls: All calls.
        oracle: What the oracle counted.
        violations: The first promises that the oracle saw broken.
    """

    way: str
    seed: int
    last_new_work_s: float
    exit_code: int | None
    exited_s: float | None
    outside_s: float
    refused: int
    calls: int
    oracle: oracle_lib.Counts
    violations: tuple[str, ...]


Order = Callable[[fleet_run.Fleet], str]


def _drain_command(fleet: fleet_run.Fleet) -> str:
    worker = faults.victim(fleet)
    caller_lib.post_json(worker.host, fleet_plan.ADMIN_PORT, "/drain", {})
    return ""


def _terminate_agent(fleet: fleet_run.Fleet) -> str:
    name = faults.victim(fleet).agent_process
    fleet.launcher.terminate(name)
    return name


def _terminate_entry(fleet: fleet_run.Fleet) -> str:
    name = fleet.plan.entries[-1].process
    fleet.launcher.terminate(name)
    return name


def _drain_rule(fleet: fleet_run.Fleet) -> str:
    host = faults.victim(fleet).host
    line = f"drain host={host}  # operations: experiment\n"
    fleet.apply(fleet.plan.contract_text + line)
    return ""


ORDERS: dict[str, Order] = {
    "drain command": _drain_command,
    "drain rule": _drain_rule,
    "SIGTERM to an agent": _terminate_agent,
    "SIGTERM to an entry": _terminate_entry,
}


@experiments.register("leaving")
def leaving(context: experiments.Context) -> dict[str, Any]:
    """Orders an agent or an entry to leave under a steady load."""
    found: list[Leaving] = []
    for way in ORDERS:
        for seed in context.settings.seeds:
            with context.fleet(isolated=True) as fleet:
                found.append(_order(context, fleet, way=way, seed=seed))
            context.say(str(found[-1]))
    return {
        "experiment": "leaving",
        "settings": context.settings,
        "leavings": found,
        "table": _table(found),
    }


def _order(
    context: experiments.Context,
    fleet: fleet_run.Fleet,
    *,
    way: str,
    seed: int,
) -> Leaving:
    # A fleet in use has measured its engines; a cold one has not.
    warm_up = context.settings.steady_rate_per_s / 2
    context.measure(fleet, rate_per_s=warm_up, seed=0, minutes=1)
    fleet.forget_evidence()
    tool = load.LoadTool(fleet)
    stream = workload.requests(
        context.settings.workload,
        rate_per_s=context.settings.steady_rate_per_s,
        duration_s=ORDER_AFTER_S + AFTER_ORDER_S,
        seed=seed,
    )
    running = gevent.spawn(tool.run, stream)
    gevent.sleep(ORDER_AFTER_S)
    ordered_at_s = time.monotonic()
    worker = faults.victim(fleet)
    if "entry" not in way:
        fleet.oracle.leaving(host=worker.host, at_s=ordered_at_s)
    process = ORDERS[way](fleet)
    exit_code, exited_s = _await_exit(fleet, process, ordered_at_s)
    samples = running.get()
    last_new_work_s = _last_new_work_s(worker, ordered_at_s)
    fleet.evidence.collect()
    bins = timeline.bins(
        samples, plan=fleet.plan, fault_at_s=ordered_at_s, length_s=BIN_S
    )
    after = [item for item in bins if item.start_s >= 0]
    return Leaving(
        way=way,
        seed=seed,
        last_new_work_s=last_new_work_s if "entry" not in way else 0.0,
        exit_code=exit_code,
        exited_s=exited_s,
        outside_s=BIN_S * sum(item.p95_ratio > 1 for item in after),
        refused=sum(item.refused for item in after),
        calls=len(samples),
        oracle=fleet.oracle.counts(),
        violations=tuple(fleet.oracle.violations()[:5]),
    )


def _await_exit(
    fleet: fleet_run.Fleet, process: str, ordered_at_s: float
) -> tuple[int | None, float | None]:
    if not process:
        return None, None
    code = fleet.launcher.wait(process, timeout_s=EXIT_TIMEOUT_S)
    return code, time.monotonic() - ordered_at_s


def _last_new_work_s(worker: fleet_plan.Worker, ordered_at_s: float) -> float:
    value = caller_lib.get_json(worker.host, fleet_plan.ENGINE_PORT, "/runs")
    begun = [
        run["at_s"] - ordered_at_s
        for run in (value or {"runs": []})["runs"]
        if run["position"] == 0
    ]
    return max([0.0, *begun])


def _table(found: list[Leaving]) -> list[list[str]]:
    header = [
        "order",
        "seed",
        "last new work, s",
        "exit",
        "exit after, s",
        "outside, s",
        "refused",
        "lost/doubled/wrong",
    ]
    rows = [
        [
            item.way,
            str(item.seed),
            f"{item.last_new_work_s:.2f}",
            "-" if item.exit_code is None else str(item.exit_code),
            "-" if item.exited_s is None else f"{item.exited_s:.1f}",
            f"{item.outside_s:.1f}",
            f"{item.refused} of {item.calls}",
            f"{item.oracle.lost}/{item.oracle.doubled}/{item.oracle.wrong}",
        ]
        for item in found
    ]
    return [header, *rows]
