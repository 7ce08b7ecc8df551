from dotterelgrade import log_client
from dotterelgrade import relay_buffer


def _fill(buffer, offsets, body=b"x"):
    for offset in offsets:
        buffer.add(log_client.Record(offset=offset, body=body))


def _offsets(buffer, after):
    records = buffer.records_after(after)
    return None if records is None else [r.offset for r in records]


def test_records_after_returns_all_following_records_or_none():
    buffer = relay_buffer.RelayBuffer(max_records=3)
    _fill(buffer, range(1, 6))
    assert _offsets(buffer, 2) == [3, 4, 5]
    assert _offsets(buffer, 4) == [5]
    assert _offsets(buffer, 5) == []
    assert _offsets(buffer, 1) is None


def test_total_size_is_bounded():
    buffer = relay_buffer.RelayBuffer(max_bytes=10)
    _fill(buffer, range(1, 100), body=b"1234")
    assert len(buffer) == 2
    _fill(buffer, [100], body=b"12345678901")
    assert len(buffer) == 0
    assert _offsets(buffer, 99) is None


def test_offset_gap_drops_earlier_records():
    buffer = relay_buffer.RelayBuffer()
    _fill(buffer, [1, 2, 7])
    assert _offsets(buffer, 2) is None
    assert _offsets(buffer, 6) == [7]
