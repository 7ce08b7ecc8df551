import math

import pytest

from dotterelgrade_entry import retry_after


@pytest.mark.parametrize(
    ("milliseconds", "seconds"),
    [
        (250.0, 0.25),
        (60_000.0, 60.0),
        (0.0, retry_after.DEFAULT_S),
        (-5.0, retry_after.DEFAULT_S),
        (1e12, retry_after.DEFAULT_S),
        (math.inf, retry_after.DEFAULT_S),
        (math.nan, retry_after.DEFAULT_S),
    ],
)
def test_only_sensible_times_are_passed_on(milliseconds, seconds):
    assert retry_after.checked_s(milliseconds) == seconds
