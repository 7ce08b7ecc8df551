"""Faults that an experiment causes in a fleet, registered by name."""

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import gevent

from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import fleet_run
from dotterelgrade_standins import load
from dotterelgrade_standins import shaper as shaper_lib

PAUSE_S = 3.0
DEGRADED_FACTOR = 100.0
LOG_DOWN_S = 8.0
LINK_DOWN_S = 5.0

Fault = Callable[[fleet_run.Fleet, load.LoadTool], None]
_F = TypeVar("_F", bound=Fault)
_FAULTS: dict[str, Fault] = {}


def register(name: str) -> Callable[[_F], _F]:
    """Registers a fault under its name."""

    def add(fault: _F) -> _F:
        _FAULTS[name] = fault
        return fault

    return add


def registered() -> Mapping[str, Fault]:
    """Returns the faults by name."""
    return dict(_FAULTS)


def victim(fleet: fleet_run.Fleet, *, number: int = 1) -> fleet_plan.Worker:
    """Returns a worker whose processes run nothing else.

    Args:
        fleet: A fleet planned with `isolated`.
        number: Which of them: one per place rule.
    """
    alone = [w for w in fleet.plan.workers if "-alone-" in w.agent_process]
    return alone[number]


def set_log_faults(fleet: fleet_run.Fleet, **changes: Any) -> None:
    """Changes what the log service plays."""
    caller_lib.post_json(
        fleet.plan.log_host, fleet_plan.LOG_PORT, "/faults", changes
    )


def kill(
    fleet: fleet_run.Fleet, worker: fleet_plan.Worker, *processes: str
) -> None:
    """Kills processes of a worker after its record was read."""
    fleet.evidence.collect_engine(worker)
    for name in processes:
        fleet.launcher.kill(name)


@register("none")
def none(_: fleet_run.Fleet, __: load.LoadTool) -> None:
    """Breaks nothing, for comparison."""


@register("engine_killed")
def engine_killed(fleet: fleet_run.Fleet, _: load.LoadTool) -> None:
    """Kills the engine of one stage; its agent lives on."""
    worker = victim(fleet)
    kill(fleet, worker, worker.backend_process)


@register("agent_killed")
def agent_killed(fleet: fleet_run.Fleet, _: load.LoadTool) -> None:
    """Kills the agent of one stage; its engine lives on."""
    worker = victim(fleet)
    kill(fleet, worker, worker.agent_process)


@register("host_killed")
def host_killed(fleet: fleet_run.Fleet, _: load.LoadTool) -> None:
    """Kills a host: engine and agent."""
    worker = victim(fleet)
    kill(fleet, worker, worker.backend_process, worker.agent_process)


@register("agent_paused")
def agent_paused(fleet: fleet_run.Fleet, _: load.LoadTool) -> None:
    """Stops an agent for a while and lets it run on."""
    name = victim(fleet).agent_process
    fleet.launcher.pause(name)
    gevent.sleep(PAUSE_S)
    fleet.launcher.resume(name)


@register("engine_paused")
def engine_paused(fleet: fleet_run.Fleet, _: load.LoadTool) -> None:
    """Stops an engine for a while and lets it run on."""
    name = victim(fleet).backend_process
    fleet.launcher.pause(name)
    gevent.sleep(PAUSE_S)
    fleet.launcher.resume(name)


@register("entry_killed")
def entry_killed(fleet: fleet_run.Fleet, tool: load.LoadTool) -> None:
    """Kills one entry; its open calls are excused."""
    entry = fleet.plan.entries[-1]
    tool.note_killed(entry.host)
    fleet.launcher.kill(entry.process)


@register("domain_lost")
def domain_lost(fleet: fleet_run.Fleet, tool: load.LoadTool) -> None:
    """Kills every process of one failure domain."""
    domain = fleet.plan.failure_domains[-1]
    workers = (*fleet.plan.workers, *fleet.plan.order_workers)
    lost = [w for w in workers if w.failure_domain == domain]
    names = {w.agent_process for w in lost} | {w.backend_process for w in lost}
    for entry in fleet.plan.entries:
        if entry.failure_domain == domain:
            tool.note_killed(entry.host)
            names.add(entry.process)
    for name in sorted(names):
        fleet.launcher.kill(name)


@register("link_degraded")
def link_degraded(fleet: fleet_run.Fleet, _: load.LoadTool) -> None:
    """Makes the link between two failure domains a hundred times slower."""
    one, other, *_rest = fleet.plan.failure_domains
    delay_ms = fleet.plan.settings.domain_delay_ms * DEGRADED_FACTOR
    fleet.launcher.set_link(
        shaper_lib.LinkSettings(between=(one, other), delay_ms=delay_ms)
    )


@register("link_cut")
def link_cut(fleet: fleet_run.Fleet, _: load.LoadTool) -> None:
    """Cuts the link between two failure domains for a while."""
    one, other, *_rest = fleet.plan.failure_domains
    link = shaper_lib.LinkSettings(between=(one, other), cut=True)
    fleet.launcher.set_link(link)
    gevent.sleep(LINK_DOWN_S)
    fleet.launcher.set_link(
        shaper_lib.LinkSettings(
            between=(one, other),
            delay_ms=fleet.plan.settings.domain_delay_ms,
        )
    )


@register("log_down")
def log_down(fleet: fleet_run.Fleet, _: load.LoadTool) -> None:
    """Takes the log service down for a while."""
    set_log_faults(fleet, down=True)
    gevent.sleep(LOG_DOWN_S)
    set_log_faults(fleet, down=False)


@register("host_killed_and_log_down")
def host_killed_and_log_down(
    fleet: fleet_run.Fleet, tool: load.LoadTool
) -> None:
    """Kills a host while the log service is down."""
    set_log_faults(fleet, down=True)
    host_killed(fleet, tool)
    gevent.sleep(LOG_DOWN_S)
    set_log_faults(fleet, down=False)


@register("two_hosts_killed")
def two_hosts_killed(fleet: fleet_run.Fleet, tool: load.LoadTool) -> None:
    """Kills two hosts that serve neighbouring layers, at once."""
    host_killed(fleet, tool)
    other = victim(fleet, number=2)
    kill(fleet, other, other.backend_process, other.agent_process)
