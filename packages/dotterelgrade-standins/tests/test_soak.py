"""A short seeded soak of the real front program.

Seeds that ever failed stay here, with one line on the cause.
"""

import pytest

from dotterelgrade_standins import soak
from dotterelgrade_standins import soak_faults


@pytest.mark.parametrize("seed", [1])
def test_the_promises_hold_under_faults(seed):
    evidence = soak.run(soak.Settings(seed=seed, storm_s=5.0, planned_s=5.0))
    assert evidence.violations == []
    assert evidence.faults
    assert evidence.outcomes["200"] > evidence.outcomes["broken off"]


def test_faults_strike_processes_links_backends_and_the_store():
    names = soak_faults.names()
    for kind in ("front_", "backend_", "store_", "configuration_"):
        assert any(name.startswith(kind) for name in names)
