import json
import random

import pytest
from returns import pipeline

from dotterelgrade_routing import compression
from dotterelgrade_routing import latest_records
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import relay_encoding

# The weakest front of the sheets, and the delay that one event may have.
_LINK_BITS_PER_S = 7e6
_MAX_DELAY_S = 0.05
_ROUTES = 2_000


def _configuration(rng, *, version, changed=()):
    routes = [
        {
            "name": f"r-{number:05}",
            "host": f"{rng.getrandbits(40):x}.example",
            "path_prefix": f"/{rng.getrandbits(40):x}/",
            "service": "other" if number in changed else "model",
            "timeout_ms": 20_000,
            "max_attempts": 2,
            "resumable": True,
        }
        for number in range(_ROUTES)
    ]
    document = {"version": version, "routes": routes}
    return json.dumps(document, separators=(",", ":")).encode()


def _versions(count):
    """Returns versions in each of which one route has changed."""
    return [
        _configuration(random.Random(1), version=n, changed={7 * n})
        for n in range(count)
    ]


def _record(value, offset=1):
    return platform_port.Record(key="config", value=value, offset=offset)


@pytest.mark.parametrize("name", relay_encoding.ENCODINGS.names())
@pytest.mark.parametrize("known", [True, False])
def test_each_encoding_carries_every_version(name, known):
    encoding = relay_encoding.ENCODINGS.make(name)
    first, *later = _versions(4)
    records = [_record(value, n) for n, value in enumerate(later)]
    records.append(_record(b"", 9))
    bases = {"config": first} if known else {}
    encoded = relay_encoding.encode_all(encoding, records, bases=bases)
    decoded = relay_encoding.decode_all(encoded, bases=bases)
    assert list(decoded.unwrap()) == records


def test_unknown_encoding_names_the_known_ones():
    with pytest.raises(ValueError, match="compressed, delta, whole"):
        relay_encoding.ENCODINGS.make("other")


def test_one_changed_route_of_two_thousand_holds_no_event_back():
    """Load pattern: three versions a second on a link of 7 Mbit/s.

    Sent whole, each of them keeps the link busy for half a second.
    """
    old, new = _versions(2)
    delta, whole = (
        relay_encoding.ENCODINGS.make(name).encode(_record(new), base=old)
        for name in ("delta", "whole")
    )
    literal_bits = delta.delta.literal_bytes * 8
    assert literal_bits / _LINK_BITS_PER_S < _MAX_DELAY_S
    assert len(whole.value) * 8 / _LINK_BITS_PER_S > _MAX_DELAY_S


def test_a_configuration_that_grows_by_many_routes_is_compressed():
    """Load pattern: 1,500 routes are added at once."""
    (new,) = _versions(1)
    old = json.dumps({"version": 0, "routes": []}).encode()
    old += b" " * latest_records.MIN_RECORD_BYTES
    encoding = relay_encoding.ENCODINGS.make("delta")
    encoded = encoding.encode(_record(new), base=old)
    assert encoded.compressed
    assert len(encoded.value) < len(new) / 4


def test_a_front_without_the_version_before_rejects_a_difference():
    old, new = _versions(2)
    encoding = relay_encoding.ENCODINGS.make("delta")
    encoded = [encoding.encode(_record(new), base=old)]
    for bases in ({}, {"config": new}):
        decoded = relay_encoding.decode_all(encoded, bases=bases)
        assert not pipeline.is_successful(decoded)


@pytest.mark.parametrize("value", [b"", b"no zlib", None])
def test_a_broken_compressed_record_is_rejected(value):
    (new,) = _versions(1)
    encoding = relay_encoding.ENCODINGS.make("compressed")
    whole = encoding.encode(_record(new), base=None)
    cut = whole.value[:-10] if value is None else value
    broken = relay_encoding.EncodedRecord(
        key="config", offset=1, value=cut, compressed=True
    )
    decoded = relay_encoding.decode_all([broken], bases={})
    assert "record 'config' at 1" in decoded.failure().message


def test_records_that_grow_beyond_the_limit_together_are_rejected():
    """A page of a few kilobytes can hold many records of 16 MB."""
    bomb = relay_encoding.EncodedRecord(
        key="config",
        offset=1,
        value=compression.compress(bytes(compression.MAX_RECORD_BYTES)),
        compressed=True,
    )
    decoded = relay_encoding.decode_all([bomb] * 9, bases={})
    assert "longer than" in decoded.failure().message
