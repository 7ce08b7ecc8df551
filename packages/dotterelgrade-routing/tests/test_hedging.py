import pytest

from dotterelgrade_routing import hedging

_NOW = 100.0
_OBJECTIVE_S = 1.0


def _next_start_at(*started_at, **rest):
    rest.setdefault("idempotent", True)
    return hedging.OpenAttempts(
        started_at=started_at, objective_s=_OBJECTIVE_S, **rest
    ).next_start_at()


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("has_server_error", [True, False])
def test_without_an_open_attempt_the_next_one_starts_at_once(
    idempotent, has_server_error
):
    start_at = _next_start_at(
        idempotent=idempotent, has_server_error=has_server_error
    )
    assert start_at < 0


def test_an_open_attempt_is_left_alone_until_it_is_late():
    assert _next_start_at(_NOW) == _NOW + hedging.late_after_s(_OBJECTIVE_S)


def test_a_failed_hedge_is_followed_by_the_next_one_at_once():
    """The younger attempt has ended, and the older one is late already."""
    late_s = hedging.late_after_s(_OBJECTIVE_S)
    assert _next_start_at(_NOW, _NOW + late_s) > _NOW + late_s
    assert _next_start_at(_NOW) == _NOW + late_s


def test_a_call_that_is_not_idempotent_has_one_open_attempt():
    assert _next_start_at(_NOW, idempotent=False) == float("inf")


def test_a_server_error_in_hand_waits_for_the_open_attempts():
    assert _next_start_at(_NOW, has_server_error=True) == float("inf")


def test_a_tiny_objective_causes_no_busy_loop():
    assert hedging.late_after_s(0.0) > 0
