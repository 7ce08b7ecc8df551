import math

import pytest

from dotterelgrade_standins import slope_fleet
from dotterelgrade_standins import slope_probes

_FAST = (
    "step_frames",
    "report_frames",
    "contract",
    "host_list",
    "charge_batches",
    "journal",
)


@pytest.mark.parametrize("name", _FAST)
def test_a_probe_measures_positive_costs(name):
    costs = slope_probes.probes()[name].run(2)
    assert costs
    assert all(math.isfinite(cost) and cost >= 0 for cost in costs.values())


def test_every_probe_has_two_growing_sizes_at_least():
    assert slope_fleet.__name__
    for probe in slope_probes.probes().values():
        assert len(probe.sizes) >= 2
        assert list(probe.sizes) == sorted(set(probe.sizes))
