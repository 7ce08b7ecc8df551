from dotterelgrade_routing import latest_records
from dotterelgrade_routing import platform_port

_LARGE = b"x" * latest_records.MIN_RECORD_BYTES


def _record(key, value):
    return platform_port.Record(key=key, value=value, offset=0)


def test_the_newest_large_value_is_kept():
    latest = latest_records.LatestRecords()
    latest.note(_record("a", _LARGE))
    latest.note(_record("a", _LARGE + b"y"))
    assert latest.values() == {"a": _LARGE + b"y"}


def test_a_value_that_became_small_is_dropped():
    latest = latest_records.LatestRecords()
    latest.note(_record("a", _LARGE))
    latest.note(_record("a", b"x"))
    assert latest.values() == {}


def test_further_keys_beyond_the_limit_are_not_kept():
    latest = latest_records.LatestRecords()
    for number in range(latest_records.MAX_KEYS + 3):
        latest.note(_record(str(number), _LARGE))
    assert len(latest.values()) == latest_records.MAX_KEYS
