"""Faults of a soak, all from outside the programs under test."""

from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import random
import signal
import time

import gevent

from dotterelgrade_standins import fault_proxy
from dotterelgrade_standins import platform_backends
from dotterelgrade_standins import platform_store
from dotterelgrade_standins import soak_evidence
from dotterelgrade_standins import soak_fleet

Fault = Callable[[soak_fleet.Fleet, float], None]
_FAULTS: dict[str, Fault] = {}
# Work that excuses nothing: checks with a time bound hold beside it.
_PLANNED = frozenset(
    {
        "backend_frozen",
        "backend_full",
        "backend_leaves",
        "backend_stands_still",
        "configuration_changes",
        "front_reloads",
        "front_stopped",
    }
)
# Faults begin so often on average, planned work so often, s.
_FAULT_EVERY_S = 0.8
_PLANNED_EVERY_S = 1.5
# An entry that lapsed is back about two seconds after a store's return.
_SETTLE_S = 2.5
_LEAVES_S = 3.0
# A sound backend server that is silent goes on within these times.
_SHORTEST_SILENCE_S = 0.5
_LONGEST_SILENCE_S = 3.0
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


def fault(name: str) -> Callable[[Fault], Fault]:
    """Registers a fault: it strikes a fleet for about so long, s."""

    def register(function: Fault) -> Fault:
        _FAULTS[name] = function
        return function

    return register


def names() -> list[str]:
    """Returns the names of the registered faults."""
    return sorted(_FAULTS)


def strike(fleet: soak_fleet.Fleet, name: str, for_s: float) -> None:
    """Lets a fault strike, and waits until it is over."""
    fleet.evidence.faults[name] += 1
    _FAULTS[name](fleet, for_s)


def storm(fleet: soak_fleet.Fleet, plan: Plan) -> None:
    """Lets faults of all kinds strike, one after another and overlapping."""
    _series(fleet, plan, plan.chosen(names()), every_s=_FAULT_EVERY_S)


def planned_work(fleet: soak_fleet.Fleet, plan: Plan) -> None:
    """Lets only planned work go on, likewise."""
    chosen = plan.chosen(sorted(_PLANNED))
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


@contextlib.contextmanager
def _disturbing(
    fleet: soak_fleet.Fleet, part: soak_evidence.Part, name: str = ""
) -> Iterator[None]:
    disturbance = fleet.evidence.disturb(part, name)
    try:
        yield
    finally:
        fleet.evidence.calm(disturbance)


def _front(fleet: soak_fleet.Fleet) -> soak_fleet.FrontProcess:
    return fleet.rng.choice(fleet.fronts)


def _backend(fleet: soak_fleet.Fleet) -> platform_backends.BackendStandIn:
    """Returns a plain backend server or an engine, each as often."""
    return fleet.rng.choice(fleet.rng.choice([fleet.plain, fleet.engines]))


@fault("front_killed")
def _front_killed(fleet: soak_fleet.Fleet, for_s: float) -> None:
    front = _front(fleet)
    with _disturbing(fleet, soak_evidence.Part.FRONT, front.name):
        front.kill()
        gevent.sleep(for_s / 4)
        _start(front)


@fault("front_stopped")
def _front_stopped(fleet: soak_fleet.Fleet, for_s: float) -> None:
    front = _front(fleet)
    if not front.runs:
        return
    # A graceful stop excuses no lost answer, so that only the start of the
    # next process is a disturbance.
    stop = fleet.losses.stopping(front.name, grace_s=front.settings.grace_s)
    ended = front.stop()
    stop.ended_at = time.monotonic()
    if not ended:
        fleet.evidence.broken("stop", "", f"{front} did not end in time")
    gevent.sleep(for_s / 4)
    with _disturbing(fleet, soak_evidence.Part.FRONT, front.name):
        _start(front)


@fault("all_fronts_killed")
def _all_fronts_killed(fleet: soak_fleet.Fleet, for_s: float) -> None:
    with _disturbing(fleet, soak_evidence.Part.FRONT):
        for front in fleet.fronts:
            front.kill()
        gevent.sleep(for_s / 4)
        for front in fleet.fronts:
            _start(front)


@fault("front_paused")
def _front_paused(fleet: soak_fleet.Fleet, for_s: float) -> None:
    front = _front(fleet)
    with _disturbing(fleet, soak_evidence.Part.FRONT, front.name):
        front.signal(signal.SIGSTOP)
        gevent.sleep(for_s)
        front.signal(signal.SIGCONT)


@fault("front_reloads")
def _front_reloads(fleet: soak_fleet.Fleet, _: float) -> None:
    _front(fleet).signal(signal.SIGHUP)


def _start(front: soak_fleet.FrontProcess) -> None:
    if not front.runs:
        front.start()


@fault("backend_crashes")
def _backend_crashes(fleet: soak_fleet.Fleet, for_s: float) -> None:
    backend = _backend(fleet)
    if not backend.alive:
        return
    with _disturbing(fleet, soak_evidence.Part.SERVER, backend.name):
        backend.crash()
        gevent.sleep(for_s)
        backend.restart()


@fault("backend_silent")
def _backend_silent(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _link_fault(fleet, fault_proxy.LinkMode.SILENT, for_s)


@fault("backend_reset")
def _backend_reset(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _link_fault(fleet, fault_proxy.LinkMode.RESET, for_s / 4)


@fault("backend_one_way")
def _backend_one_way(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _link_fault(fleet, fault_proxy.LinkMode.ONE_WAY, for_s)


@fault("backend_delayed")
def _backend_delayed(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _link_fault(fleet, fault_proxy.LinkMode.DELAY, for_s, delay_s=0.2)


def _link_fault(
    fleet: soak_fleet.Fleet,
    mode: fault_proxy.LinkMode,
    for_s: float,
    **rest: float,
) -> None:
    backend = _backend(fleet)
    with _disturbing(fleet, soak_evidence.Part.SERVER, backend.name):
        backend.proxy.set_mode(mode, **rest)
        gevent.sleep(for_s)
        backend.proxy.set_mode(fault_proxy.LinkMode.PASS)


@fault("connections_muted")
def _connections_muted(fleet: soak_fleet.Fleet, _: float) -> None:
    with _disturbing(fleet, soak_evidence.Part.SERVER):
        for backend in fleet.backends:
            backend.proxy.mute_open()
        fleet.store_link.mute_open()


@fault("backend_leaves")
def _backend_leaves(fleet: soak_fleet.Fleet, for_s: float) -> None:
    backend = _backend(fleet)
    if not (backend.alive and backend.server.ready):
        return
    backend.leave()
    gevent.sleep(_LEAVES_S + for_s)
    with _disturbing(fleet, soak_evidence.Part.SERVER, backend.name):
        backend.crash()
        gevent.sleep(for_s)
        backend.restart()


@fault("backend_full")
def _backend_full(fleet: soak_fleet.Fleet, for_s: float) -> None:
    backend = _backend(fleet)
    backend.full_until = time.monotonic() + for_s
    gevent.sleep(for_s)


@fault("backend_slow")
def _backend_slow(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _mistake(_backend(fleet), "slowness", 6.0, for_s)


@fault("backend_stands_still")
def _backend_stands_still(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _silence(fleet, platform_backends.Silence.REQUESTS, for_s)


@fault("backend_frozen")
def _backend_frozen(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _silence(fleet, platform_backends.Silence.ALL, for_s)


def _silence(
    fleet: soak_fleet.Fleet, kind: platform_backends.Silence, for_s: float
) -> None:
    """Lets a sound backend server put off its work, which excuses nothing."""
    backend = _backend(fleet)
    backend.silence = kind
    gevent.sleep(min(max(for_s, _SHORTEST_SILENCE_S), _LONGEST_SILENCE_S))
    backend.silence = None


@fault("backend_fails")
def _backend_fails(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _mistake(fleet.rng.choice(fleet.plain), "errors", 0.5, for_s)


@fault("backend_refuses")
def _backend_refuses(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _mistake(_backend(fleet), "refuses", 0.5, for_s)


@fault("answers_lost")
def _answers_lost(fleet: soak_fleet.Fleet, for_s: float) -> None:
    backend = _backend(fleet)
    # An engine may lose its answer at each event.
    share = 0.5 if backend in fleet.plain else 0.1
    with _disturbing(fleet, soak_evidence.Part.SERVER, backend.name):
        _mistake(backend, "loses_answers", share, for_s)


@fault("orders_late")
def _orders_late(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _mistake(fleet.rng.choice(fleet.engines), "late_orders_s", for_s, for_s)


def _mistake(
    backend: platform_backends.BackendStandIn,
    name: str,
    value: float,
    for_s: float,
) -> None:
    usual = 1.0 if name == "slowness" else 0.0
    setattr(backend, name, value)
    gevent.sleep(for_s)
    setattr(backend, name, usual)


@fault("store_away")
def _store_away(fleet: soak_fleet.Fleet, for_s: float) -> None:
    with _disturbing(fleet, soak_evidence.Part.STORE):
        fleet.store.outage = fleet.rng.choice(list(platform_store.Outage))
        gevent.sleep(for_s * 2)
        fleet.store.outage = None
        gevent.sleep(_SETTLE_S)


@fault("store_slow")
def _store_slow(fleet: soak_fleet.Fleet, for_s: float) -> None:
    with _disturbing(fleet, soak_evidence.Part.STORE):
        fleet.store.delay_s = 0.4
        gevent.sleep(for_s)
        fleet.store.delay_s = 0.0


@fault("store_loses_answers")
def _store_loses_answers(fleet: soak_fleet.Fleet, for_s: float) -> None:
    with _disturbing(fleet, soak_evidence.Part.STORE):
        fleet.store.loses_answers = True
        gevent.sleep(for_s)
        fleet.store.loses_answers = False


@fault("store_forgets")
def _store_forgets(fleet: soak_fleet.Fleet, _: float) -> None:
    with _disturbing(fleet, soak_evidence.Part.STORE):
        fleet.store.forget_history()


@fault("store_restored")
def _store_restored(fleet: soak_fleet.Fleet, for_s: float) -> None:
    copy = fleet.store.copy()
    gevent.sleep(for_s)
    with _disturbing(fleet, soak_evidence.Part.STORE):
        fleet.store.outage = platform_store.Outage.BUSY
        gevent.sleep(_RESTORE_S)
        fleet.store.restore(copy)
        fleet.store.outage = None
        fleet.write_again()
        gevent.sleep(_SETTLE_S)


@fault("store_link_one_way")
def _store_link_one_way(fleet: soak_fleet.Fleet, for_s: float) -> None:
    with _disturbing(fleet, soak_evidence.Part.STORE):
        fleet.store_link.set_mode(fault_proxy.LinkMode.ONE_WAY)
        gevent.sleep(for_s * 2)
        fleet.store_link.set_mode(fault_proxy.LinkMode.PASS)


@fault("configuration_changes")
def _configuration_changes(fleet: soak_fleet.Fleet, _: float) -> None:
    fleet.write_configuration(changing=not fleet.changing)
