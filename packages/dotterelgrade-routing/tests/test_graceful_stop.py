import pytest

from dotterelgrade_routing import graceful_stop

_STOP = graceful_stop.GracefulStop(deregistered_at=12.0, aborts_at=17.0)


@pytest.mark.parametrize(
    ("now", "deadline", "permitted"),
    [
        (11.9, 99.0, True),
        (12.0, 99.0, False),
        (12.0, 17.0, True),
        (12.0, 17.1, False),
        (16.9, 17.0, True),
        (18.0, 18.5, False),
    ],
)
def test_only_what_ends_in_time_is_begun(now, deadline, permitted):
    assert _STOP.permits(deadline=deadline, now=now) is permitted
