"""Runs of the claims' machine that its fuzzing seldom meets."""

import pytest

from dotterelgrade_standins import fuzz_claims

_LONG_S = 60.0


@pytest.fixture
def machine():
    machine = fuzz_claims.ClaimsMachine()
    machine.start(window_s=3_600.0, drops_records=True)
    yield machine
    machine.teardown()


def _append(machine, place):
    held = machine._appends.pop(place)
    held.answer.set(machine._client.append(held.stream, held.body))
    machine._settle()


def _read(machine, process):
    for _ in range(2):
        machine._processes[process].claims.step()
        machine._settle()


def test_first_claim_among_dropped_records_is_not_overlooked(machine):
    machine.call((0, 1), 0, "a", _LONG_S)
    _append(machine, 1)
    _read(machine, 1)
    assert len(machine._service.held) == 1
    machine._log.set_faults(keep_records=0)
    machine._log.set_faults(keep_records=1_000_000)
    _append(machine, 0)
    _read(machine, 0)
    assert len(machine._service.held) == 1
    machine.no_promise_is_broken()


def test_claim_that_was_given_up_does_not_run_when_it_shows(machine):
    machine.call((0,), 0, "a", _LONG_S)
    machine.let_time_pass()
    _append(machine, 0)
    _read(machine, 0)
    assert machine._service.held == []
    machine.no_promise_is_broken()
