"""How long an accepted contract line takes to be in force everywhere."""

import dataclasses
import statistics
import time
from typing import Any

import gevent
from returns import result

from dotterelgrade import grammar
from dotterelgrade import log_client
from dotterelgrade_entry import contract_session
from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import experiments
from dotterelgrade_standins import faults
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import fleet_run
from dotterelgrade_standins import launcher as launcher_lib

EDITS = 12
POLL_S = 0.02
IN_FORCE_TIMEOUT_S = 20.0
RESTART_EVERY = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spread:
    """One edit on its way to every process.

    Attributes:
        number: Number of the edit.
        offset: Its offset in the log.
        accepted_s: From the append to *accepted*, s.
        in_force_s: From *accepted* to in force at every process that is
            ready, s; None when it did not happen in time.
        restarted: Whether a process was killed and started meanwhile.
        restarted_s: From *accepted* until that process had it too, s.
    """

    number: int
    offset: int
    accepted_s: float
    in_force_s: float | None
    restarted: bool
    restarted_s: float | None


class ContractError(Exception):
    """An edit was not accepted."""


@experiments.register("contract")
def contract(context: experiments.Context) -> dict[str, Any]:
    """Edits one line again and again, with processes restarting meanwhile."""
    found: list[Spread] = []
    with context.fleet(isolated=True) as fleet:
        log = log_client.LogClient(fleet.plan.platform())
        for number in range(EDITS):
            found.append(_edit(fleet, log, number))
            context.say(str(found[-1]))
    times = [item.in_force_s for item in found if item.in_force_s is not None]
    return {
        "experiment": "contract",
        "settings": context.settings,
        "spreads": found,
        "in_force_everywhere_worst_s": max(times, default=0.0),
        "in_force_everywhere_median_s": statistics.median(times),
        "table": _table(found),
    }


def _edit(
    fleet: fleet_run.Fleet, log: log_client.LogClient, number: int
) -> Spread:
    restarted = number % RESTART_EVERY == RESTART_EVERY - 1
    worker = faults.victim(fleet)
    starting = None
    if restarted:
        fleet.launcher.kill(worker.agent_process)
        starting = gevent.spawn(fleet.launcher.start, worker.agent_process)
    started_s = time.monotonic()
    offset = _apply(fleet, log, number)
    accepted_at_s = time.monotonic()
    hosts = _hosts(fleet)
    if restarted:
        hosts.remove(worker.host)
    in_force_s = _await_offset(hosts, offset, accepted_at_s)
    restarted_s = None
    if starting is not None:
        starting.get()
        restarted_s = _await_offset([worker.host], offset, accepted_at_s)
    return Spread(
        number=number,
        offset=offset,
        accepted_s=accepted_at_s - started_s,
        in_force_s=in_force_s,
        restarted=restarted,
        restarted_s=restarted_s,
    )


def _apply(
    fleet: fleet_run.Fleet, log: log_client.LogClient, number: int
) -> int:
    line = f"drain host=127.40.250.{number + 1}  # operations: experiment\n"
    lines = grammar.parse(fleet.plan.contract_text + line).unwrap()
    session = contract_session.ContractSession(log)
    session.catch_up()
    outcome = session.apply(lines, author="experiment")
    if not isinstance(outcome, result.Success):
        raise ContractError(outcome.failure().message)
    return outcome.unwrap().offset


def _hosts(fleet: fleet_run.Fleet) -> list[str]:
    plan = fleet.plan
    processes = (*plan.entries, *plan.workers, *plan.order_workers)
    return [process.host for process in processes]


def _await_offset(
    hosts: list[str], offset: int, accepted_at_s: float
) -> float | None:
    waiting = set(hosts)

    def poll(host: str) -> None:
        value = caller_lib.get_json(host, fleet_plan.ADMIN_PORT, "/state")
        if value and value["contract"]["offset"] >= offset:
            waiting.discard(host)

    def is_everywhere() -> bool:
        gevent.joinall([gevent.spawn(poll, host) for host in list(waiting)])
        return not waiting

    if not launcher_lib.wait_until(
        is_everywhere, timeout_s=IN_FORCE_TIMEOUT_S, pause_s=POLL_S
    ):
        return None
    return time.monotonic() - accepted_at_s


def _table(found: list[Spread]) -> list[list[str]]:
    header = ["edit", "accepted, s", "in force everywhere, s", "restarted, s"]
    rows = [
        [
            str(item.number),
            f"{item.accepted_s:.2f}",
            "-" if item.in_force_s is None else f"{item.in_force_s:.2f}",
            "-" if item.restarted_s is None else f"{item.restarted_s:.2f}",
        ]
        for item in found
    ]
    return [header, *rows]
