"""Prompts under which engines crash, as a fault of a soak."""

import itertools
import time

import gevent

from dotterelgrade_standins import soak_callers
from dotterelgrade_standins import soak_crashes
from dotterelgrade_standins import soak_fault
from dotterelgrade_standins import soak_fleet

FAULTS = soak_fault.Faults()
_EVENTS = 20
_PAUSE_S = 0.4
# Long enough for the checks, which begin some seconds after the crashes.
_LENGTH_FACTOR = 4.0
_numbers = itertools.count(1)


@FAULTS.register("prompt_crashes_engines")
def _prompt_crashes_engines(fleet: soak_fleet.Fleet, for_s: float) -> None:
    """Requests with one segment come at all fronts, no two of them alike."""
    if fleet.crashes.goes_on:
        return
    first = fleet.rng.choice(soak_callers.FIRST_SEGMENTS)
    bad = soak_crashes.BadSegment(name=f"bad{next(_numbers)}", first=first)
    fleet.crashes.add(bad)
    plan = soak_callers.Plan(
        path=fleet.rng.choice(("/stream/bad", "/once/bad")),
        weight=0.0,
        events=_EVENTS,
        segments=(first, bad.name),
        crashes=True,
    )
    until = time.monotonic() + for_s * _LENGTH_FACTOR
    rotation = soak_callers.Rotation(fleet)
    calls = []
    while time.monotonic() < until:
        caller = soak_callers.Caller(fleet, rotation)
        front = fleet.rng.choice(fleet.fronts)
        calls.append(gevent.spawn(caller.call, plan, front=front))
        gevent.sleep(fleet.rng.expovariate(1.0 / _PAUSE_S))
    bad.ended_at = time.monotonic()
    gevent.joinall(calls, raise_error=True)
