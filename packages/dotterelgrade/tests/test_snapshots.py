from dotterelgrade import snapshots

_SETTINGS = snapshots.SnapshotSettings(
    max_records_uncovered=10, max_age_s=60.0, max_wait_s=5.0
)


def _schedule():
    return snapshots.SnapshotSchedule(_SETTINGS, now=0.0, seed=1)


def test_no_snapshot_is_due_without_new_records():
    schedule = _schedule()
    assert not schedule.is_due(offset=0, first_kept=1, now=1_000.0)
    schedule.register_snapshot(covers=7, now=0.0)
    assert not schedule.is_due(offset=7, first_kept=1, now=1_000.0)


def test_snapshot_is_due_by_record_count_age_or_retention():
    schedule = _schedule()
    schedule.register_snapshot(covers=5, now=0.0)
    assert not schedule.is_due(offset=14, first_kept=6, now=59.0)
    assert schedule.is_due(offset=15, first_kept=6, now=59.0)
    assert schedule.is_due(offset=6, first_kept=6, now=60.0)
    assert schedule.is_due(offset=6, first_kept=7, now=0.0)


def test_older_snapshot_is_ignored():
    schedule = _schedule()
    schedule.register_snapshot(covers=5, now=0.0)
    schedule.register_snapshot(covers=4, now=50.0)
    assert schedule.covered_offset == 5
    assert schedule.is_due(offset=6, first_kept=6, now=60.0)


def test_few_of_many_processes_get_a_short_wait():
    schedule = _schedule()
    waits = sorted(schedule.wait_s() for _ in range(13_000))
    assert waits[0] >= 0.0
    assert waits[-1] <= _SETTINGS.max_wait_s
    # Others read an append within about 100 ms and then suppress their own.
    assert sum(wait < waits[0] + 0.1 for wait in waits) < 50
