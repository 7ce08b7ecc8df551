"""Series of the faults of a soak, and those of fronts, store and operators.

All faults come from outside the programs under test.
"""

import dataclasses
import random
import signal
import time

import gevent

from dotterelgrade_standins import fault_proxy
from dotterelgrade_standins import platform_store
from dotterelgrade_standins import soak_configuration
from dotterelgrade_standins import soak_evidence
from dotterelgrade_standins import soak_fault
from dotterelgrade_standins import soak_fleet
from dotterelgrade_standins import soak_prompt_faults
from dotterelgrade_standins import soak_server_faults

FAULTS = soak_fault.Faults()
# Faults begin so often on average, planned work so often, s.
_FAULT_EVERY_S = 0.8
_PLANNED_EVERY_S = 1.5
# An entry that lapsed is back about two seconds after a store's return.
_SETTLE_S = 2.5
# Retry budgets of new settings.
_RETRY_RATIOS = (0.2, 0.0)
_RETRY_SLACKS = (100.0, 0.0)
# How long the store is away before it comes back from a copy.
_RESTORE_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """How a series is drawn.

    Attributes:
        rng: Draws kinds, times and lengths.
        for_s: How long faults begin, s.
        only: Names of the faults to draw from; empty for all.
    """

    rng: random.Random
    for_s: float
    only: tuple[str, ...] = ()

    def chosen(self, found: list[str]) -> list[str]:
        """Returns those of some names that may be drawn."""
        return [n for n in found if not self.only or n in self.only]


def names() -> list[str]:
    """Returns the names of the registered faults."""
    return sorted(_all())


def strike(fleet: soak_fleet.Fleet, name: str, for_s: float) -> None:
    """Lets a fault strike, and waits until it is over."""
    fleet.evidence.faults[name] += 1
    _all()[name].strike(fleet, for_s)


def _all() -> dict[str, soak_fault.Fault]:
    return {
        **FAULTS.by_name,
        **soak_server_faults.FAULTS.by_name,
        **soak_prompt_faults.FAULTS.by_name,
    }


def storm(fleet: soak_fleet.Fleet, plan: Plan) -> None:
    """Lets faults of all kinds strike, one after another and overlapping."""
    _series(fleet, plan, plan.chosen(names()), every_s=_FAULT_EVERY_S)


def planned_work(fleet: soak_fleet.Fleet, plan: Plan) -> None:
    """Lets only planned work go on, likewise."""
    chosen = plan.chosen([n for n in names() if _all()[n].planned])
    _series(fleet, plan, chosen, every_s=_PLANNED_EVERY_S)


def _series(
    fleet: soak_fleet.Fleet, plan: Plan, chosen: list[str], *, every_s: float
) -> None:
    until = time.monotonic() + plan.for_s
    struck = []
    while chosen and time.monotonic() < until:
        name = plan.rng.choice(chosen)
        for_s = plan.rng.uniform(0.3, 3.5)
        struck.append(gevent.spawn(strike, fleet, name, for_s))
        gevent.sleep(plan.rng.expovariate(1.0 / every_s))
    gevent.joinall(struck, raise_error=True)


def _front(fleet: soak_fleet.Fleet) -> soak_fleet.FrontProcess:
    return fleet.rng.choice(fleet.fronts)


@FAULTS.register("front_killed")
def _front_killed(fleet: soak_fleet.Fleet, for_s: float) -> None:
    front = _front(fleet)
    with soak_fault.disturbing(fleet, soak_evidence.Part.FRONT, front.name):
        front.kill()
        gevent.sleep(for_s / 4)
        front.start()


@FAULTS.register("front_stopped", planned=True)
def _front_stopped(fleet: soak_fleet.Fleet, for_s: float) -> None:
    front = _front(fleet)
    if not front.runs:
        return
    # A graceful stop excuses no lost answer, so that only the start of the
    # next process is a disturbance.
    stop = fleet.losses.stopping(front.name, grace_s=front.settings.grace_s)
    ended = front.stop()
    stop.ended_at = time.monotonic()
    # A process that was paused meanwhile lost that time.
    if not ended and fleet.evidence.undisturbed(
        soak_evidence.Part.FRONT, front.name, stop.began_at, stop.ended_at
    ):
        fleet.evidence.broken("stop", "", f"{front} did not end in time")
    gevent.sleep(for_s / 4)
    with soak_fault.disturbing(fleet, soak_evidence.Part.FRONT, front.name):
        front.start()


@FAULTS.register("all_fronts_killed")
def _all_fronts_killed(fleet: soak_fleet.Fleet, for_s: float) -> None:
    with soak_fault.disturbing(fleet, soak_evidence.Part.FRONT):
        for front in fleet.fronts:
            front.kill()
        gevent.sleep(for_s / 4)
        for front in fleet.fronts:
            front.start()


@FAULTS.register("front_paused")
def _front_paused(fleet: soak_fleet.Fleet, for_s: float) -> None:
    front = _front(fleet)
    with soak_fault.disturbing(fleet, soak_evidence.Part.FRONT, front.name):
        front.signal(signal.SIGSTOP)
        gevent.sleep(for_s)
        front.signal(signal.SIGCONT)


@FAULTS.register("front_reloads", planned=True)
def _front_reloads(fleet: soak_fleet.Fleet, _: float) -> None:
    _front(fleet).change_settings(
        retry_ratio=fleet.rng.choice(_RETRY_RATIOS),
        retry_slack=fleet.rng.choice(_RETRY_SLACKS),
    )


@FAULTS.register("store_away")
def _store_away(fleet: soak_fleet.Fleet, for_s: float) -> None:
    with soak_fault.disturbing(fleet, soak_evidence.Part.STORE):
        fleet.store.outage = fleet.rng.choice(list(platform_store.Outage))
        gevent.sleep(for_s * 2)
        fleet.store.outage = None
        gevent.sleep(_SETTLE_S)


@FAULTS.register("store_slow")
def _store_slow(fleet: soak_fleet.Fleet, for_s: float) -> None:
    with soak_fault.disturbing(fleet, soak_evidence.Part.STORE):
        fleet.store.delay_s = 0.4
        gevent.sleep(for_s)
        fleet.store.delay_s = 0.0


@FAULTS.register("store_loses_answers")
def _store_loses_answers(fleet: soak_fleet.Fleet, for_s: float) -> None:
    with soak_fault.disturbing(fleet, soak_evidence.Part.STORE):
        fleet.store.loses_answers = True
        gevent.sleep(for_s)
        fleet.store.loses_answers = False


@FAULTS.register("store_forgets")
def _store_forgets(fleet: soak_fleet.Fleet, _: float) -> None:
    with soak_fault.disturbing(fleet, soak_evidence.Part.STORE):
        fleet.store.forget_history()


@FAULTS.register("store_restored")
def _store_restored(fleet: soak_fleet.Fleet, for_s: float) -> None:
    copy = fleet.store.copy()
    gevent.sleep(for_s)
    with soak_fault.disturbing(fleet, soak_evidence.Part.STORE):
        fleet.store.outage = platform_store.Outage.BUSY
        gevent.sleep(_RESTORE_S)
        fleet.store.restore(copy)
        fleet.store.outage = None
        fleet.write_again()
        gevent.sleep(_SETTLE_S)


@FAULTS.register("store_link_one_way")
def _store_link_one_way(fleet: soak_fleet.Fleet, for_s: float) -> None:
    with soak_fault.disturbing(fleet, soak_evidence.Part.STORE):
        fleet.store_link.set_mode(fault_proxy.LinkMode.ONE_WAY)
        gevent.sleep(for_s * 2)
        fleet.store_link.set_mode(fault_proxy.LinkMode.PASS)


@FAULTS.register("configuration_changes", planned=True)
def _configuration_changes(fleet: soak_fleet.Fleet, _: float) -> None:
    variant = soak_configuration.draw(
        fleet.rng, changing=not fleet.variant.changing
    )
    fleet.write_configuration(variant)
