"""How long it takes until the bound holds again after something breaks."""

import dataclasses
import time
from typing import Any

import gevent
import uuid6

from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import experiments
from dotterelgrade_standins import faults
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import fleet_run
from dotterelgrade_standins import load
from dotterelgrade_standins import oracle as oracle_lib
from dotterelgrade_standins import timeline
from dotterelgrade_standins import workload

FAULT_AFTER_S = 5.0
AFTER_FAULT_S = 12.0
BIN_S = 0.5
DEPOSIT_PAUSE_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Recovery:
    """What one fault did.

    Attributes:
        fault: Name of the fault.
        seed: Seed of the stream.
        recovered_s: Time until the bound holds for good, s.
        longest_wait_s: Longest wait for a token after the fault, s.
        refused: Calls refused after the fault.
        errors: Error answers by their kinds.
        calls: All calls.
        oracle: What the oracle counted.
        violations: The first promises that the oracle saw broken.
        deposits: Keyed deposits after the fault by how they ended.
        bins: What callers saw.
    """

    fault: str
    seed: int
    recovered_s: float
    longest_wait_s: float
    refused: int
    errors: dict[str, int]
    calls: int
    oracle: oracle_lib.Counts
    violations: tuple[str, ...]
    deposits: dict[str, int]
    bins: tuple[timeline.Bin, ...]


@experiments.register("recovery")
def recovery(context: experiments.Context) -> dict[str, Any]:
    """Causes each fault in a fresh fleet under a steady load."""
    found: list[Recovery] = []
    names = context.settings.faults or tuple(faults.registered())
    for name in names:
        for seed in context.settings.seeds:
            with context.fleet(isolated=True) as fleet:
                found.append(_cause(context, fleet, fault=name, seed=seed))
            context.say(_describe(found[-1]))
    return {
        "experiment": "recovery",
        "settings": context.settings,
        "recoveries": found,
        "timelines": {
            f"{item.fault} {item.seed}": [
                (b.start_s, b.p95_ratio) for b in item.bins
            ]
            for item in found
        },
        "table": _table(found),
    }


def _cause(
    context: experiments.Context,
    fleet: fleet_run.Fleet,
    *,
    fault: str,
    seed: int,
) -> Recovery:
    settings = context.settings
    # A fleet in use has measured its engines; a cold one has not.
    warm_up = settings.steady_rate_per_s / 2
    context.measure(fleet, rate_per_s=warm_up, seed=0, minutes=1)
    fleet.forget_evidence()
    tool = load.LoadTool(fleet)
    stream = workload.requests(
        settings.workload,
        rate_per_s=settings.steady_rate_per_s,
        duration_s=FAULT_AFTER_S + AFTER_FAULT_S,
        seed=seed,
    )
    running = gevent.spawn(tool.run, stream)
    gevent.sleep(FAULT_AFTER_S)
    fleet.oracle.fault()
    fault_at_s = time.monotonic()
    deposits = gevent.spawn(_deposit, fleet, tool)
    breaking = gevent.spawn(faults.registered()[fault], fleet, tool)
    samples = running.get()
    breaking.get()
    fleet.evidence.collect()
    bins = timeline.bins(
        samples,
        plan=fleet.plan,
        fault_at_s=fault_at_s,
        length_s=BIN_S,
        excused=frozenset(tool.killed),
    )
    after = [item for item in bins if item.start_s >= 0]
    return Recovery(
        fault=fault,
        seed=seed,
        recovered_s=timeline.recovered_s(bins, length_s=BIN_S),
        longest_wait_s=max(item.longest_s for item in after),
        refused=sum(item.refused for item in after),
        errors=load.error_kinds(samples),
        calls=len(samples),
        oracle=fleet.oracle.counts(),
        violations=tuple(fleet.oracle.violations()[:5]),
        deposits=deposits.get(),
        bins=tuple(bins),
    )


def _deposit(fleet: fleet_run.Fleet, tool: load.LoadTool) -> dict[str, int]:
    """Sends keyed deposits for a while after the fault."""
    ended: dict[str, int] = {}
    workspace = fleet.plan.workspaces[0].name
    until_s = time.monotonic() + AFTER_FAULT_S
    number = 0
    while time.monotonic() < until_s:
        number += 1
        call, account = f"deposit-{number}", f"account-{number}"
        fleet.oracle.sent(call=call, account=account)
        entry = tool.balancer.pick()
        answer = caller_lib.Caller(
            entry, key=f"key-{workspace}", port=fleet_plan.HTTP_PORT
        ).call_service(
            "deposits",
            "deposits",
            {"account": account, "amount": 100},
            key=str(uuid6.uuid7()),
        )
        excused = entry in tool.killed
        fleet.evidence.tell_deposit(call, answer, excused=excused)
        name = "whole" if answer.is_complete else answer.run or "broken"
        ended[name] = ended.get(name, 0) + 1
        gevent.sleep(DEPOSIT_PAUSE_S)
    return ended


def _describe(item: Recovery) -> str:
    return (
        f"{item.fault:<26} seed {item.seed}: bound holds again after "
        f"{item.recovered_s:4.1f} s, longest wait {item.longest_wait_s:4.1f} s,"
        f" {item.refused} of {item.calls} refused {item.errors}, oracle "
        f"{item.oracle.whole} whole {item.oracle.lost} lost "
        f"{item.oracle.doubled} doubled {item.oracle.wrong} wrong, "
        f"deposits {item.deposits} {item.violations[:2] or ''}"
    )


def _table(found: list[Recovery]) -> list[list[str]]:
    header = [
        "fault",
        "seed",
        "bound holds again, s",
        "longest wait, s",
        "refused",
        "lost/doubled/wrong",
        "deposits",
    ]
    rows = [
        [
            item.fault,
            str(item.seed),
            f"{item.recovered_s:.1f}",
            f"{item.longest_wait_s:.1f}",
            f"{item.refused} of {item.calls}",
            f"{item.oracle.lost}/{item.oracle.doubled}/{item.oracle.wrong}",
            " ".join(f"{k} {n}" for k, n in item.deposits.items()),
        ]
        for item in found
    ]
    return [header, *rows]
