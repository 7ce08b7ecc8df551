import pytest

from dotterelgrade_standins import loopback_range


def test_two_runs_get_different_ranges():
    with loopback_range.reserved() as one, loopback_range.reserved() as other:
        assert one.host(1) != other.host(1)


def test_a_range_is_free_again_after_its_run():
    with loopback_range.reserved() as one:
        prefix = one.host(1)
    assert prefix.startswith("127.")


def test_a_taken_range_is_one_clear_error():
    with loopback_range.reserved() as own:
        prefix = own.host(1).rpartition(".")[0]
        with (
            pytest.raises(loopback_range.RangeTakenError, match="in use"),
            loopback_range.held(prefix),
        ):
            pass


def test_two_demos_choose_different_networks():
    """Each run of a fleet owns its network while it runs."""
    first = loopback_range.free_network()
    owned = loopback_range.owner_range(first)
    with loopback_range.held(owned):
        others = {loopback_range.free_network() for _ in range(100)}
    assert first not in others


def test_without_a_free_range_one_clear_error_says_so(monkeypatch):
    monkeypatch.setattr(loopback_range, "_NETWORKS", range(0))
    with pytest.raises(loopback_range.RangeTakenError, match="no free"):
        loopback_range.free_network()
