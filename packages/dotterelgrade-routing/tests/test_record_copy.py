import dataclasses

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from returns import pipeline

from dotterelgrade_routing import platform_port
from dotterelgrade_routing import record_copy

_RECORD = platform_port.Record(key="config", value=b"x" * 50_000, offset=6)


def test_a_copy_gives_the_record_and_the_state_of_its_feed():
    body = record_copy.encode(_RECORD, end=7, era=2)
    copy = record_copy.decode(body).unwrap()
    assert (copy.end, copy.era) == (7, 2)
    assert record_copy.restore(copy).unwrap() == _RECORD


@hypothesis.given(strategies.binary(max_size=40))
def test_other_bytes_are_no_copy(body):
    assert not pipeline.is_successful(record_copy.decode(body))


def test_a_deeply_nested_copy_is_rejected():
    """A recursion error of the decoder ended a front that started."""
    nested = b"\x81\xa1x" + b"\x91" * 100_000
    assert not pipeline.is_successful(record_copy.decode(nested))


@pytest.mark.parametrize(
    "change", [{"offset": -1}, {"end": -1}, {"end": 2**64 - 1}], ids=str
)
def test_a_copy_with_odd_offsets_is_rejected(change):
    """Its end became the position of the front that read it."""
    body = record_copy.encode(_RECORD, end=7, era=2)
    copy = dataclasses.replace(record_copy.decode(body).unwrap(), **change)
    odd = record_copy.decode(msgspec.msgpack.encode(copy))
    assert not pipeline.is_successful(odd)


def test_a_copy_with_truncated_contents_is_rejected():
    body = record_copy.encode(_RECORD, end=7, era=2)
    copy = record_copy.decode(body).unwrap()
    cut = record_copy.RecordCopy(
        key=copy.key,
        offset=copy.offset,
        end=copy.end,
        era=copy.era,
        compressed=copy.compressed[:-8],
    )
    restored = record_copy.restore(cut)
    assert "truncated" in restored.failure().message
