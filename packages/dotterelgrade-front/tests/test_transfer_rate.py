import pytest

from dotterelgrade_front import transfer_rate


@pytest.fixture
def rate():
    """At least 100 bytes in 10 s."""
    return transfer_rate.TransferRate(bytes_per_s=10, window_s=10)


def test_a_byte_now_and_then_is_too_slow(rate):
    """No single wait reached its timeout."""
    for _ in range(9):
        rate.add(1, waited_s=1.0)
        assert not rate.too_slow
    rate.add(1, waited_s=1.0)
    assert rate.too_slow


def test_the_least_rate_is_fast_enough(rate):
    for _ in range(100):
        rate.add(10, waited_s=1.0)
    assert not rate.too_slow


def test_each_window_counts_by_itself(rate):
    """A fast start must not pay for a stall without end."""
    rate.add(10_000, waited_s=10.0)
    rate.add(0, waited_s=rate.left_s)
    assert rate.too_slow
