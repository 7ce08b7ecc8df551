"""Faults of backend servers, their links and their entries in the list."""

import dataclasses
import time

import gevent

from dotterelgrade_platform import backend_server_codec
from dotterelgrade_platform import store as store_names
from dotterelgrade_standins import fault_proxy
from dotterelgrade_standins import platform_backends
from dotterelgrade_standins import soak_evidence
from dotterelgrade_standins import soak_fault
from dotterelgrade_standins import soak_fleet

FAULTS = soak_fault.Faults()
# Pause before the store is asked once more to remove an entry.
_ASK_AGAIN_S = 0.2
_LEAVES_S = 3.0
_USUAL = {"slowness": 1.0, "mistake": None, "unframed": False}
_MISTAKES = (
    platform_backends.Mistake.SWITCH_OF_PROTOCOLS,
    platform_backends.Mistake.REFUSAL,
)
_MISTAKES_OF_RESUMED = (
    platform_backends.Mistake.TEXT,
    platform_backends.Mistake.ERROR,
    platform_backends.Mistake.NOTHING,
    platform_backends.Mistake.ANEW,
    platform_backends.Mistake.GAP,
)
_CLOSED_PORT = 1
_DEPTH = 2_000
# Fields that replace those before them in an entry.
_ODD_FIELDS = (
    b'"unknown":' + b"[" * _DEPTH + b"]" * _DEPTH,
    b'"address":"127.0.0.1:99999"',
    b'"address":"127.0.0.1:0"',
    b'"address":"127.0.0.1:-1"',
    b'"slots":' + b"9" * 30,
    b'"layers":{"from":-5,"target":12,"version":1}',
    b'"layers":{"from":0,"target":1000000000,"version":1}',
)
# A sound backend server that is silent goes on within these times.
_SHORTEST_SILENCE_S = 0.5
_LONGEST_SILENCE_S = 3.0


def _backend(fleet: soak_fleet.Fleet) -> platform_backends.BackendStandIn:
    """Returns a plain backend server or an engine, each as often."""
    return fleet.rng.choice(fleet.rng.choice([fleet.plain, fleet.engines]))


@FAULTS.register("backend_crashes")
def _backend_crashes(fleet: soak_fleet.Fleet, for_s: float) -> None:
    backend = _backend(fleet)
    if not backend.alive:
        return
    with soak_fault.disturbing(fleet, soak_evidence.Part.SERVER, backend.name):
        backend.crash()
        gevent.sleep(for_s)
        backend.restart()


@FAULTS.register("backend_silent")
def _backend_silent(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _link_fault(fleet, fault_proxy.LinkMode.SILENT, for_s)


@FAULTS.register("backend_reset")
def _backend_reset(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _link_fault(fleet, fault_proxy.LinkMode.RESET, for_s / 4)


@FAULTS.register("backend_one_way")
def _backend_one_way(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _link_fault(fleet, fault_proxy.LinkMode.ONE_WAY, for_s)


@FAULTS.register("backend_delayed")
def _backend_delayed(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _link_fault(fleet, fault_proxy.LinkMode.DELAY, for_s, delay_s=0.2)


def _link_fault(
    fleet: soak_fleet.Fleet,
    mode: fault_proxy.LinkMode,
    for_s: float,
    **rest: float,
) -> None:
    backend = _backend(fleet)
    with soak_fault.disturbing(fleet, soak_evidence.Part.SERVER, backend.name):
        backend.proxy.set_mode(mode, **rest)
        gevent.sleep(for_s)
        backend.proxy.set_mode(fault_proxy.LinkMode.PASS)


@FAULTS.register("connections_muted")
def _connections_muted(fleet: soak_fleet.Fleet, _: float) -> None:
    with soak_fault.disturbing(fleet, soak_evidence.Part.SERVER):
        for backend in fleet.backends:
            backend.proxy.mute_open()
        fleet.store_link.mute_open()


@FAULTS.register("backend_leaves", planned=True)
def _backend_leaves(fleet: soak_fleet.Fleet, for_s: float) -> None:
    backend = _backend(fleet)
    if not (backend.alive and backend.server.ready):
        return
    backend.leave()
    gevent.sleep(_LEAVES_S + for_s)
    with soak_fault.disturbing(fleet, soak_evidence.Part.SERVER, backend.name):
        backend.crash()
        gevent.sleep(for_s)
        backend.restart()


@FAULTS.register("backend_full", planned=True)
def _backend_full(fleet: soak_fleet.Fleet, for_s: float) -> None:
    backend = _backend(fleet)
    backend.full_until = time.monotonic() + for_s
    gevent.sleep(for_s)


@FAULTS.register("backend_slow")
def _backend_slow(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _mistake(_backend(fleet), "slowness", 6.0, for_s)


@FAULTS.register("backend_stands_still", planned=True)
def _backend_stands_still(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _silence(fleet, platform_backends.Silence.REQUESTS, for_s)


@FAULTS.register("backend_frozen", planned=True)
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


@FAULTS.register("backends_crash_together")
def _backends_crash_together(fleet: soak_fleet.Fleet, for_s: float) -> None:
    """A failure domain or a release fails, with no request at fault."""
    share = fleet.rng.uniform(0.3, 1.0)
    alive = [backend for backend in fleet.backends if backend.alive]
    chosen = fleet.rng.sample(alive, round(share * len(alive)))
    with soak_fault.disturbing(fleet, soak_evidence.Part.SERVER):
        for backend in chosen:
            backend.crash()
        gevent.sleep(for_s)
        for backend in chosen:
            backend.restart()


@FAULTS.register("answers_unframed", planned=True)
def _answers_unframed(fleet: soak_fleet.Fleet, for_s: float) -> None:
    """Answers have neither a length nor chunks, which excuses nothing."""
    _mistake(_backend(fleet), "unframed", True, for_s)


@FAULTS.register("backend_fails")
def _backend_fails(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _mistake(fleet.rng.choice(fleet.plain), "errors", 0.5, for_s)


@FAULTS.register("backend_refuses")
def _backend_refuses(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _mistake(_backend(fleet), "refuses", 0.5, for_s)


@FAULTS.register("answers_lost")
def _answers_lost(fleet: soak_fleet.Fleet, for_s: float) -> None:
    backend = _backend(fleet)
    # An engine may lose its answer at each event.
    share = 0.5 if backend in fleet.plain else 0.1
    with soak_fault.disturbing(fleet, soak_evidence.Part.SERVER, backend.name):
        _mistake(backend, "loses_answers", share, for_s)


@FAULTS.register("answers_mistaken")
def _answers_mistaken(fleet: soak_fleet.Fleet, for_s: float) -> None:
    backend = _backend(fleet)
    mistake = fleet.rng.choice(_MISTAKES)
    with soak_fault.disturbing(fleet, soak_evidence.Part.SERVER, backend.name):
        _mistake(backend, "mistake", mistake, for_s)


@FAULTS.register("streams_resumed_wrongly")
def _streams_resumed_wrongly(fleet: soak_fleet.Fleet, for_s: float) -> None:
    mistake = fleet.rng.choice(_MISTAKES_OF_RESUMED)
    with soak_fault.disturbing(fleet, soak_evidence.Part.SERVER):
        wrong = [
            gevent.spawn(_mistake, engine, name, value, for_s)
            for engine in fleet.engines
            for name, value in (("mistake", mistake), ("loses_answers", 0.05))
        ]
        gevent.joinall(wrong, raise_error=True)


@FAULTS.register("entry_odd")
def _entry_odd(fleet: soak_fleet.Fleet, for_s: float) -> None:
    """Another writer leaves an entry that names no server to use."""
    like = _backend(fleet).entry()
    host, _, _ = like.address.rpartition(":")
    body = backend_server_codec.registration_body(
        dataclasses.replace(like, address=f"{host}:{_CLOSED_PORT}")
    )
    odd = fleet.rng.choice(_ODD_FIELDS)
    topic = store_names.SERVERS_TOPIC
    server_id = f"odd-{len(odd)}"
    fleet.store.write(topic, server_id, body[:-1] + b"," + odd + b"}")
    gevent.sleep(for_s)
    while not fleet.store.write(topic, server_id, b""):
        gevent.sleep(_ASK_AGAIN_S)


@FAULTS.register("orders_late")
def _orders_late(fleet: soak_fleet.Fleet, for_s: float) -> None:
    _mistake(fleet.rng.choice(fleet.engines), "late_orders_s", for_s, for_s)


def _mistake(
    backend: platform_backends.BackendStandIn,
    name: str,
    value: float | platform_backends.Mistake,
    for_s: float,
) -> None:
    setattr(backend, name, value)
    gevent.sleep(for_s)
    setattr(backend, name, _USUAL.get(name, 0.0))
