import hypothesis
from hypothesis import strategies
import pytest

from dotterelgrade_routing import compression


@hypothesis.given(strategies.binary(max_size=300))
def test_a_compressed_value_is_restored(value):
    data = compression.compress(value)
    assert compression.decompress(data).unwrap() == value


@pytest.mark.parametrize("data", [b"", b"no zlib"])
def test_other_bytes_are_rejected(data):
    assert compression.decompress(data).failure().message


def test_truncated_data_is_rejected():
    data = compression.compress(b"x" * 50_000)[:-8]
    assert "truncated" in compression.decompress(data).failure().message


def test_data_that_grows_beyond_the_limit_is_rejected():
    """A faulty peer sends few bytes that decompress to very many."""
    data = compression.compress(b"x" * (compression.MAX_RECORD_BYTES + 1))
    assert "too long" in compression.decompress(data).failure().message
