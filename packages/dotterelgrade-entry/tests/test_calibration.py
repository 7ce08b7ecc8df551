import random

import pytest

from dotterelgrade_entry import calibration


def test_the_factor_is_the_95th_percentile_of_measured_over_predicted():
    source = random.Random(3)
    factor = calibration.Calibration()
    ratios = [source.uniform(0.8, 1.4) for _ in range(5_000)]
    for ratio in ratios:
        factor.note(measured_s=ratio * 0.1, predicted_s=0.1)
    expected = sorted(ratios)[int(len(ratios) * 0.95)]
    assert factor.factor == pytest.approx(expected, rel=0.1)


def test_the_factor_stays_within_limits_and_is_forgotten():
    now = [0.0]
    factor = calibration.Calibration(clock=lambda: now[0])
    for _ in range(1_000):
        factor.note(measured_s=100.0, predicted_s=0.001)
    assert 1 < factor.factor <= 1.6
    now[0] += 60
    assert factor.factor == pytest.approx(1.0, abs=0.01)
    for _ in range(1_000):
        factor.note(measured_s=0.0, predicted_s=1.0)
    assert factor.factor >= 0.5
