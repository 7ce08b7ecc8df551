"""Odd documents from outside: each decoder gives a value in bounds or an error.

Other programs may write deep nesting, numbers out of any range, bytes that are
no text, odd addresses, fields that are missing, twice there or of another type.
"""

import json
import math
import time

import hypothesis
from hypothesis import strategies
import msgpack
import msgspec
import pytest
from returns import result

from dotterelgrade import addresses
from dotterelgrade import appender
from dotterelgrade import contract_records
from dotterelgrade import errors
from dotterelgrade import frame_codec
from dotterelgrade import log_client
from dotterelgrade_agent import claim_items
from dotterelgrade_agent import placement
from dotterelgrade_front import peer_frames
from dotterelgrade_platform import codec
from dotterelgrade_platform import headers
from dotterelgrade_platform import settings_file
from dotterelgrade_platform import store
from dotterelgrade_routing import compression
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import record_copy
from dotterelgrade_routing import record_delta
from dotterelgrade_routing import relay_encoding

# A decoder that hangs takes far longer, one of a slow host far less.
_MAX_DECODING_S = 5.0
_MAX_NUMBER = 2**63
_fuzzed = hypothesis.settings(
    max_examples=300,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

_odd_strings = strategies.sampled_from(
    (
        b'""',
        b'"\xff\xfe"',
        b'"\\ud800"',
        b'"a\\r\\nX-Y: z"',
        b'"10.0.0.1:0"',
        b'"10.0.0.1:65536"',
        b'"10.0.0.1:-1"',
        b'"10.0.0.1:"',
        b'"0.0.0.0:80"',
        b'":80"',
    )
)
_odd_literals = strategies.one_of(
    _odd_strings,
    strategies.integers(5, 6_000).map(lambda digits: b"9" * digits),
    strategies.integers(5, 6_000).map(lambda digits: b"-" + b"9" * digits),
    strategies.sampled_from(
        (
            b"1e400",
            b"-1e400",
            b"1e300",
            b"NaN",
            b"Infinity",
            b"-1",
            b"0",
            b"-0.0",
            b"1.5",
            b"null",
            b"true",
            b"[]",
            b"{}",
            b'""',
        )
    ),
    strategies.sampled_from((1_000, 2_000, 100_000)).map(
        lambda depth: b"[" * depth + b"]" * depth
    ),
    strategies.sampled_from((1_000, 100_000)).map(
        lambda depth: b'{"a":' * depth + b"1" + b"}" * depth
    ),
    strategies.binary(max_size=20),
)


def _encode(value):
    """Encodes a document, in which bytes stand for themselves."""
    if isinstance(value, bytes):
        return value
    if isinstance(value, list):
        return b"[" + b",".join(map(_encode, value)) + b"]"
    if isinstance(value, dict):
        members = (
            json.dumps(key).encode() + b":" + _encode(item)
            for key, item in value.items()
        )
        return b"{" + b",".join(members) + b"}"
    return json.dumps(value).encode()


def _places(value, place=()):
    """Yields the place of each value in a document."""
    yield place
    members = ()
    if isinstance(value, dict):
        members = value.items()
    elif isinstance(value, list):
        members = enumerate(value)
    for key, member in members:
        yield from _places(member, (*place, key))


def _find(value, place):
    for key in place:
        value = value[key]
    return value


def _replace(value, place, odd):
    if not place:
        return odd
    copied = dict(value) if isinstance(value, dict) else list(value)
    copied[place[0]] = _replace(value[place[0]], place[1:], odd)
    return copied


@strategies.composite
def _documents(draw, document):
    """Draws the bytes of a document with odd values, fields or ends."""
    value = document
    for _ in range(draw(strategies.integers(0, 2))):
        place = draw(strategies.sampled_from(list(_places(document))))
        is_text = isinstance(_find(document, place), str)
        odd = draw(_odd_strings | _odd_literals if is_text else _odd_literals)
        try:
            value = _replace(value, place, odd)
        except (TypeError, IndexError):
            hypothesis.reject()
    body = _encode(value)
    kind = draw(strategies.sampled_from(("whole", "cut", "unknown", "twice")))
    if kind == "cut":
        return body[: draw(strategies.integers(0, len(body)))]
    if kind == "unknown" and body.endswith(b"}"):
        return body[:-1] + b',"unknown":' + draw(_odd_literals) + b"}"
    if kind == "twice" and body.endswith(b"}"):
        name = json.dumps(draw(strategies.sampled_from(list(document))))
        return (
            body[:-1] + b"," + name.encode() + b":" + draw(_odd_literals) + b"}"
        )
    return body


_SERVER = {
    "service": "model",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 96,
    "state": "ready",
    "sequence": 4,
    "type": "k",
    "layers": {"from": 3, "target": 9, "version": 1},
    "born": 12,
}
_REPORT = {
    "sequence": 1,
    "busy": False,
    "waiting": 1,
    "running": 2,
    "kv_used": 1.0,
    "kv_total": 9.0,
    "pace": 1.0,
    "type": "k",
    "layers": {"from": 0, "target": 9},
    "born": 5,
    "stalled": [{"id": "r", "address": "10.0.0.2:80"}],
}
_CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "shop.example",
            "path_prefix": "/x/",
            "type": "streaming",
            "timeout_ms": 20000,
            "target_latency_ms": 500,
            "priority": 1,
            "traffic_split": [{"service": "model", "weight": 90}],
            "max_attempts": 2,
            "resumable": True,
            "gap_target_ms": 250,
        }
    ],
    "services": [
        {
            "name": "model",
            "max_connections": 9,
            "engine": {
                "layers": 80,
                "layer_mb": 1750.0,
                "kv_token_bytes": 1180000,
                "step_ms": 1.02,
                "read_per_s": 164000.0,
                "loads_at_once": 6,
                "usual": {"prompt": 775, "answer": 216},
                "kinds": [
                    {"name": "k", "mb": 72000.0, "pace": 2.4, "read_x": 3.2}
                ],
                "models": [{"name": "m", "load_s": 14.0}],
            },
        }
    ],
    "limits": {
        "max_header_bytes": 100,
        "max_body_bytes": 200,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "t", "api_keys": ["k1"], "priority": 1}],
}
_NEWEST = {
    "items": [{"key": "a", "offset": 1, "value": "eA=="}],
    "end": 2,
    "has_more": False,
}


def _numbers(value):
    """Yields all numbers in a decoded value."""
    if isinstance(value, bool):
        return
    if isinstance(value, int | float):
        yield value
    elif isinstance(value, dict):
        for member in value.values():
            yield from _numbers(member)
    elif isinstance(value, list | tuple):
        for member in value:
            yield from _numbers(member)
    elif hasattr(value, "__dataclass_fields__"):
        for name in value.__dataclass_fields__:
            yield from _numbers(getattr(value, name))


def _check_bounds(value):
    for number in _numbers(value):
        assert math.isfinite(number)
        assert abs(number) <= _MAX_NUMBER


def _timed(decode, *arguments):
    started_at = time.process_time()
    decoded = decode(*arguments)
    assert time.process_time() - started_at < _MAX_DECODING_S
    return decoded


_servers_anywhere = strategies.builds(
    lambda host, port: _encode({**_SERVER, "address": f"{host}:{port}"}),
    strategies.sampled_from(("10.0.0.1", "", "10.0.0.256", "::1", "a b")),
    strategies.sampled_from((-1, 0, 80, 65_535, 65_536, 99_999, "", "x"))
    | strategies.integers(-5, 70_000),
)


@_fuzzed
@hypothesis.given(
    body=_documents(_SERVER) | _servers_anywhere,
    server_id=strategies.just("i-1")
    | strategies.sampled_from(("", "i 1", "i\r\nx: y", "\ufffd")),
)
def test_list_entry_names_a_usable_server_or_none(body, server_id):
    decoded = _timed(
        lambda: codec.decode_backend_server(server_id=server_id, body=body)
    )
    if isinstance(decoded, result.Failure):
        assert decoded.failure().kind is errors.ErrorKind.RECORD_INVALID
        assert len(decoded.failure().message) < 1_000
        return
    server = decoded.unwrap()
    assert server_id == "i-1"
    assert str(addresses.parse(server.address)) == server.address
    assert 1 <= int(server.address.rpartition(":")[2]) <= 65_535
    assert 0 <= server.slots <= 65_535
    assert server.layers is None or 0 <= server.layers.first < server.layers.end
    _check_bounds(server)
    msgpack.packb(server.started_ms)


@_fuzzed
@hypothesis.given(body=_documents(_REPORT))
def test_report_is_in_bounds_or_an_error(body):
    decoded = _timed(codec.report_of, body)
    if isinstance(decoded, result.Success):
        report = decoded.unwrap()
        _check_bounds(report)
        assert min(report.used, report.total, report.slowness) >= 0
        assert min(report.orders, report.waiting, report.running) >= 0


@_fuzzed
@hypothesis.given(body=_documents({"address": "10.0.0.1:1"}))
def test_refused_order_names_an_address_or_none(body):
    address = _timed(codec.faulty_address_of, body)
    assert address == "" or str(addresses.parse(address)) == address


@_fuzzed
@hypothesis.given(body=_documents(_CONFIGURATION))
def test_configuration_is_in_bounds_or_an_error(body):
    cache = codec.RouteCache()
    decoded = _timed(lambda: codec.decode_configuration(body, cache=cache))
    if isinstance(decoded, result.Failure):
        return
    known = decoded.unwrap()
    _check_bounds(known)
    for service in known.model_services:
        engine = service.engine
        for kind in engine.accelerators:
            engine.max_layers(kind)
            engine.capacity_tokens(kind, 1)
    for workspace in known.workspaces:
        assert "\n" not in workspace.name


@_fuzzed
@hypothesis.given(body=_documents(_NEWEST))
def test_page_of_the_store_is_in_bounds_or_an_error(body):
    response = store.StoreResponse(status=200, body=body, era=0)
    try:
        page = _timed(store._decode_newest, response)
    except platform_port.StoreError:
        return
    _check_bounds([page.end, *(item.offset for item in page.items)])


@_fuzzed
@hypothesis.given(
    body=strategies.binary(max_size=60)
    | strategies.tuples(
        strategies.integers(0, 2**64 - 1), strategies.integers(0, 2**64 - 1)
    ).map(lambda pair: store.OFFSETS_FORMAT.pack(*pair) + b"\0\0\0\2\1a"),
    start=strategies.integers(0, 100),
)
def test_records_of_the_store_are_in_bounds_or_an_error(body, start):
    response = store.StoreResponse(status=200, body=body, era=0)
    try:
        page = _timed(store._decode_records, response, start)
    except (platform_port.StoreError, platform_port.RecordsExpiredError):
        return
    assert page.end >= start
    _check_bounds([page.end, *(record.offset for record in page.records)])


@_fuzzed
@hypothesis.given(
    values=strategies.lists(
        strategies.binary(max_size=20)
        | strategies.integers(1, 6_000).map(lambda digits: b"9" * digits)
        | strategies.sampled_from(
            (b"1e400", b"nan", b"-1", b"1,2", b"1_0", b"\xff", b"1e300,1e300")
        ),
        min_size=7,
        max_size=7,
    )
)
def test_headers_of_any_bytes_are_read(values):
    names = (
        headers.ATTEMPT_ID,
        headers.DEADLINE_MS,
        headers.TOKEN_COUNTS,
        headers.LENGTH_HINT,
        headers.RETRY_AFTER,
        headers.AT_SERVER,
        headers.AUTHORIZATION,
    )
    rows = list(zip(names, values, strict=True))
    facts = _timed(headers.read_request, rows)
    _check_bounds(facts)
    _timed(lambda: headers.read_answer(status=503, headers=rows))


_LOAD = {
    "number": 1,
    "reserved": {"e": 1.0},
    "excluded": ["e"],
    "refusing": [],
    "leaving": {"e": 1},
    "store_silent_s": 0.5,
    "strong": True,
}
_CHANGES = {
    "feed": "configurations",
    "start": 1,
    "end": 2,
    "era": 0,
    "records": [
        {
            "key": "config",
            "offset": 1,
            "value": b"x",
            "compressed": True,
            "delta": {
                "base_digest": 1,
                "digest": 1,
                "parts": [{"first": 0, "count": 1, "literal": b"y"}],
            },
        }
    ],
}
_SNAPSHOT = {
    "reserved": {"e": 1},
    "servers": [
        {
            "id": "e",
            "started_ms": 1,
            "first": 0,
            "end": 8,
            "slowness": 1.0,
            "loading": False,
            "silent": False,
        }
    ],
    "fronts": ["10.0.0.1:1"],
    "refusing": [],
    "leaving": {"e": 1},
    "feeds": [{"feed": "configurations", "end": 1, "era": 0, "age_s": 0.5}],
}
_odd_values = strategies.one_of(
    strategies.sampled_from(
        (
            math.nan,
            math.inf,
            -math.inf,
            1e300,
            -1,
            2**64 - 1,
            -(2**63),
            None,
            True,
            "",
            "a\r\nb",
            b"\xff",
            [],
            {},
            [[]] * 3,
        )
    ),
    strategies.integers(1, 400).map(
        lambda depth: msgpack.unpackb(b"\x91" * depth + b"\x90")
    ),
)


@_fuzzed
@hypothesis.given(
    tag_and_fields=strategies.sampled_from(
        (
            ("FrontLoad", _LOAD),
            ("RelayedChanges", _CHANGES),
            ("FleetSnapshot", _SNAPSHOT),
        )
    ),
    data=strategies.data(),
)
def test_frame_of_a_front_is_in_bounds_or_refused(tag_and_fields, data):
    tag, fields = tag_and_fields
    place = data.draw(strategies.sampled_from(list(_places(fields))))
    odd = data.draw(_odd_values)
    encoded = msgpack.packb([tag, _replace(fields, place, odd)])
    unpacker = msgpack.Unpacker(max_buffer_size=1 << 20, raw=False)
    unpacker.feed(encoded)
    try:
        frame = _timed(frame_codec.from_wire, next(iter(unpacker)))
    except errors.DotterelgradeError as error:
        assert error.error.kind is errors.ErrorKind.FRAME_INVALID
        return
    if isinstance(frame, peer_frames.FrontLoad):
        sum(round(amount) for amount in frame.reserved.values())
    if isinstance(frame, peer_frames.RelayedChanges):
        _timed(
            lambda: relay_encoding.decode_all(
                frame.records, bases={"config": b"{}"}
            )
        )
    frame_codec.encode(frame)


@_fuzzed
@hypothesis.given(
    body=strategies.binary(max_size=60)
    | strategies.integers(1, 100_000).map(
        lambda depth: b"\x81\xa3key" + b"\x91" * depth
    )
    | _odd_values.map(
        lambda odd: msgpack.packb(
            {"key": "k", "offset": odd, "end": 2, "era": 0, "compressed": b""}
        )
    )
)
def test_copy_is_in_bounds_or_an_error(body):
    decoded = _timed(record_copy.decode, body)
    if isinstance(decoded, result.Failure):
        return
    copy = decoded.unwrap()
    _check_bounds([copy.offset, copy.end])
    restored = record_copy.restore(copy)
    if isinstance(restored, result.Success):
        assert len(restored.unwrap().value) <= compression.MAX_RECORD_BYTES


@_fuzzed
@hypothesis.given(
    parts=strategies.lists(
        strategies.builds(
            record_delta.DeltaPart,
            first=strategies.integers(-(2**63), 2**63),
            count=strategies.integers(-(2**63), 2**63),
            literal=strategies.binary(max_size=5),
        ),
        max_size=4,
    ),
    base=strategies.binary(max_size=20),
)
def test_difference_gives_a_record_in_bounds_or_an_error(parts, base):
    known = record_delta.compute(base, base)
    delta = record_delta.Delta(
        base_digest=known.base_digest, digest=known.digest, parts=parts
    )
    applied = _timed(record_delta.apply, base, delta)
    if isinstance(applied, result.Success):
        assert applied.unwrap() == base


_SETTINGS = """
node = "front-a-1"
ip = "10.1.0.40"
zone = "a"
internal_ports = [7340, 7355]
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[limits]
file_descriptors = 1570
cores = 2.0
[bounds]
grace_s = 8
[platform]
address = "10.200.1.7:8223"
"""


@_fuzzed
@hypothesis.given(
    old=strategies.sampled_from(
        (b"7340", b'"10.1.0.40:8227"', b"1570", b"2.0", b"= 8", b'"a"', b"]")
    ),
    odd=_odd_literals
    | strategies.sampled_from((b"= nan", b"= -inf", b"nan", b"0x1f", b"'")),
)
def test_settings_file_is_in_bounds_or_an_error(old, odd, tmp_path_factory):
    path = tmp_path_factory.getbasetemp() / "local.toml"
    path.write_bytes(_SETTINGS.encode().replace(old, odd))
    try:
        settings = _timed(settings_file.load, str(path))
    except errors.DotterelgradeError as error:
        assert error.error.kind is errors.ErrorKind.SETTINGS_INVALID
        return
    _check_bounds(settings)
    addresses.parse(settings.callers_address)


_EDIT = {
    "type": "edit",
    "id": "e1",
    "author": "operations",
    "base": 0,
    "edits": [{"identity": "bound workspace=*", "text": None, "seen": 1}],
}
_BATCH = {
    "type": "batch",
    "id": "p:1",
    "items": [
        {
            "type": "claim",
            "workspace": "bench",
            "key": "k",
            "claim": "c",
            "key_time_s": 1.0,
            "digest": "d",
            "claimer": "p",
            "seen": 0,
            "at_s": 1.0,
        }
    ],
}
_SEAT = {
    "type": "take_over",
    "seat": "place model=m layers=0-7#0",
    "host": "10.0.0.1",
    "peer_port": 1,
    "backend": "engine",
    "id": "p:1",
    "expects": 0,
}


def _decode_claims(body):
    record = log_client.Record(offset=1, body=body)
    return list(claim_items.decode(record))


@pytest.mark.parametrize(
    ("decode", "document"),
    [
        (contract_records.decode, _EDIT),
        (appender.decode, _BATCH),
        (_decode_claims, _BATCH),
        (placement._decode, _SEAT),
    ],
    ids=["contract", "batch", "claims", "seat"],
)
def test_record_of_the_log_is_decoded_or_an_error(decode, document):
    @_fuzzed
    @hypothesis.given(body=_documents(document))
    def check(body):
        try:
            decoded = _timed(decode, body)
        except errors.DotterelgradeError as error:
            assert error.error.kind is errors.ErrorKind.RECORD_INVALID
            return
        if decode is not appender.decode:
            _check_bounds(msgspec.to_builtins(decoded))

    check()


@_fuzzed
@hypothesis.given(
    body=_documents(
        {
            "records": [{"offset": 1, "body": "eA=="}],
            "first_kept": 1,
            "end": 1,
            "offset": 1,
        }
    )
)
def test_page_of_the_log_is_in_bounds_or_an_error(body):
    for decode in (log_client.decode_page, log_client.decode_offset):
        decoded = _timed(decode, body)
        if isinstance(decoded, result.Failure):
            assert decoded.failure().kind is errors.ErrorKind.LOG_UNAVAILABLE
        else:
            _check_bounds(decoded.unwrap())
