import pytest

from dotterelgrade_standins import timeline


@pytest.fixture
def bins_of(small_plan):
    def find_bins(samples, *, fault_at_s, excused=frozenset()):
        return timeline.bins(
            samples,
            plan=small_plan,
            fault_at_s=fault_at_s,
            length_s=0.5,
            excused=excused,
        )

    return find_bins


def test_a_stall_counts_when_it_ends(bins_of, make_sample):
    samples = [
        make_sample(0.0),
        make_sample(0.4, gap_s=2.0),
        make_sample(4.0),
    ]
    found = bins_of(samples, fault_at_s=100.5)
    assert timeline.recovered_s(found, length_s=0.5) == 2.0
    assert max(item.longest_s for item in found) == 2.0


def test_nothing_outside_means_no_recovery_time(bins_of, make_sample):
    found = bins_of([make_sample(1.0)], fault_at_s=100.5)
    assert timeline.recovered_s(found, length_s=0.5) == 0.0


def test_a_failed_call_is_outside_unless_excused(bins_of, make_sample):
    samples = [make_sample(1.0, run="unknown")]
    found = bins_of(samples, fault_at_s=100.5)
    assert timeline.recovered_s(found, length_s=0.5) > 0
    excused = frozenset({"127.0.0.1"})
    assert bins_of(samples, fault_at_s=100.5, excused=excused) == []


def test_a_refused_call_is_counted_and_not_outside(bins_of, make_sample):
    samples = [make_sample(1.0, run="not_run")]
    found = bins_of(samples, fault_at_s=100.5)
    assert [item.refused for item in found] == [1]
    assert timeline.recovered_s(found, length_s=0.5) == 0.0
