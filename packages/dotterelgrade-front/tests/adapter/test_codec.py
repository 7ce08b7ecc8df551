import json

import hypothesis
from hypothesis import strategies
import pytest
from returns import pipeline

from dotterelgrade_platform import codec
from dotterelgrade_routing import backend_server

_ROUTE = {
    "name": "r",
    "host": "Shop.Example",
    "path_prefix": "/x/",
    "type": "streaming",
    "timeout_ms": 20000,
    "target_latency_ms": 500,
    "priority": 1,
    "service": "model",
    "max_attempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gap_target_ms": 250,
}
_ENGINE = {
    "layers": 80,
    "layer_mb": 1750.0,
    "kv_token_bytes": 1180000,
    "step_ms": 1.02,
    "read_per_s": 164000.0,
    "loads_at_once": 6,
    "usual": {"prompt": 775, "answer": 216},
    "kinds": [{"name": "k", "mb": 72000.0, "pace": 2.4, "read_x": 3.2}],
    "models": [{"name": "m", "load_s": 14.0}],
}
_CONFIGURATION = {
    "version": 7,
    "routes": [
        _ROUTE,
        {
            **_ROUTE,
            "path_prefix": "/x/y/",
            "type": "unsafe",
            "traffic_split": [
                {"service": "model", "weight": 90},
                {"service": "plain", "weight": 10},
            ],
        },
    ],
    "services": [
        {"name": "model", "max_connections": 9, "engine": _ENGINE},
        {"name": "plain", "max_connections": 9},
    ],
    "limits": {
        "max_header_bytes": 100,
        "max_body_bytes": 200,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}],
    "a new field": 1,
}
_SERVER = {
    "service": "model",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "sequence": 4,
    "type": "k",
    "layers": {"from": 3, "target": 9, "version": 1},
    "born": 12,
}


def _to_json(value):
    return json.dumps(value).encode()


def test_a_configuration_is_decoded_with_its_units():
    known = codec.decode_configuration(_to_json(_CONFIGURATION)).unwrap()
    assert known.version == 7
    route = known.route_for("shop.example:80", "/x/z")
    assert route.timeout_s == 20.0
    assert route.objective_s == 0.5
    assert route.longest_pause_s == 0.25
    assert route.streaming
    assert route.repeatable
    assert known.limits.idle_timeout_s == 15.0
    assert known.workspace_for("k2").name == "t"
    engine = known.service("model").engine
    assert engine.token_layer_bytes == 14750
    assert engine.accelerator("k").memory_mb == 72000
    assert known.service("plain").engine is None


def test_the_longest_prefix_wins_and_may_split_traffic():
    known = codec.decode_configuration(_to_json(_CONFIGURATION)).unwrap()
    route = known.route_for("shop.example", "/x/y/z")
    assert [share.weight for share in route.services] == [90, 10]
    assert not route.repeatable or route.resumable
    assert known.route_for("shop.example", "/x") is None
    assert known.route_for("other.example", "/x/") is None


def test_a_backend_server_is_decoded():
    server = codec.decode_backend_server(
        server_id="i", body=_to_json(_SERVER)
    ).unwrap()
    assert server.ready
    assert (server.layers.first, server.layers.end) == (3, 9)
    assert server.orders == 0


def test_a_draining_server_is_leaving():
    body = _to_json({**_SERVER, "state": "draining"})
    server = codec.decode_backend_server(server_id="i", body=body).unwrap()
    assert server.availability is backend_server.Availability.LEAVING


@pytest.mark.parametrize(
    "change",
    [
        {"state": "sleeping"},
        {"state": 5},
        {"address": None},
        {"address": "nowhere"},
        {"slots": "many"},
        {"layers": "all"},
        {"born": 1.5},
    ],
)
def test_a_malformed_registration_is_rejected(change):
    body = _to_json({**_SERVER, **change})
    decoded = codec.decode_backend_server(server_id="i", body=body)
    assert not pipeline.is_successful(decoded)


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:-1"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:" + "9" * 5000},
        {"address": "10.0.0.1:x"},
        {"address": "10.0.0.1:"},
        {"address": "10.0.0.1:\u0663\u0663"},
        {"address": "10.0.0.1: 80"},
        {"address": ":80"},
        {"address": "host-1:80"},
        {"address": "10.0.0.1.9:80"},
        {"address": "0.0.0.0:80"},
        {"address": "255.255.255.255:80"},
        {"address": "10.0.0.1\r\nX: y:80"},
        {"address": "10.0.0.1:80\n"},
        {"slots": -5},
        {"slots": 10**30},
        {"layers": {"from": -5, "target": 9}},
        {"layers": {"from": 0, "target": 10**9}},
        {"born": -1},
        {"born": 2**63},
        {"sequence": 10**30},
    ],
    ids=lambda change: repr(change)[:40],
)
def test_a_registration_out_of_range_names_no_server(change):
    """A port, address or count out of range was listed, chosen and excluded."""
    body = _to_json({**_SERVER, **change})
    decoded = codec.decode_backend_server(server_id="i", body=body)
    assert not pipeline.is_successful(decoded)


@pytest.mark.parametrize("server_id", ["", "i 1", "i\r\nx: y", "\ufffd"])
def test_a_registration_under_an_odd_key_names_no_server(server_id):
    """The key is sent as a header; a line break in it adds a header."""
    decoded = codec.decode_backend_server(
        server_id=server_id, body=_to_json(_SERVER)
    )
    assert not pipeline.is_successful(decoded)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("version", 10**30),
        ("tenants", [{"name": "t\r\nx: y", "api_keys": ["k"]}]),
        ("services", [{"name": "m", "engine": {**_ENGINE, "layers": 10**9}}]),
        ("services", [{"name": "m", "engine": {**_ENGINE, "layer_mb": 0}}]),
        ("services", [{"name": "m", "engine": {**_ENGINE, "step_ms": -1}}]),
        ("routes", [{**_ROUTE, "timeout_ms": -1}]),
        ("routes", [{**_ROUTE, "timeout_ms": 1e300}]),
        ("routes", [{**_ROUTE, "max_attempts": 10**30}]),
    ],
)
def test_a_configuration_out_of_range_is_rejected(field, value):
    """A model with 10^9 layers, or layers of no size, ended the planner."""
    body = _to_json({**_CONFIGURATION, field: value})
    assert not pipeline.is_successful(codec.decode_configuration(body))


@pytest.mark.parametrize("field", ["service", "address", "zone", "slots"])
def test_a_registration_without_a_required_field_is_rejected(field):
    body = _to_json({k: v for k, v in _SERVER.items() if k != field})
    decoded = codec.decode_backend_server(server_id="i", body=body)
    assert not pipeline.is_successful(decoded)


_NESTED = b"[" * 100_000 + b"]" * 100_000


def _with_nested_field(document):
    return _to_json(document)[:-1] + b', "note": ' + _NESTED + b"}"


@pytest.mark.parametrize(
    ("decode", "body"),
    [
        (codec.decode_configuration, _with_nested_field(_CONFIGURATION)),
        (
            codec.decode_configuration,
            _to_json({**_CONFIGURATION, "routes": []}).replace(
                b'"routes": []',
                b'"routes": [' + _with_nested_field(_ROUTE) + b"]",
            ),
        ),
        (
            lambda body: codec.decode_backend_server(server_id="i", body=body),
            _with_nested_field(_SERVER),
        ),
        (codec.report_of, _with_nested_field({"sequence": 1})),
    ],
    ids=["configuration", "route", "backend server", "report"],
)
def test_a_deeply_nested_document_is_rejected(decode, body):
    """A recursion error of the decoder ended the reader of the list."""
    assert not pipeline.is_successful(decode(body))


@hypothesis.given(strategies.binary(max_size=60))
def test_arbitrary_bytes_are_rejected_without_an_exception(body):
    for decode in (
        codec.decode_configuration,
        codec.report_of,
        lambda b: codec.decode_backend_server(server_id="i", body=b),
    ):
        assert not pipeline.is_successful(decode(body))


def test_a_report_is_decoded():
    report = codec.report_of(
        b'{"stage":"prefill_decode","models":[],"type":"k","layers":null,'
        b'"busy":true,"sequence":2,"waiting":1,"running":12,"kv_used":41000,'
        b'"kv_total":90000,"handles":0,"born":5,"pace":3.0,'
        b'"stalled":[{"id":"r","address":"10.0.0.2:80"}]}'
    ).unwrap()
    assert report.loading
    assert report.orders == 2
    assert report.slowness == 3.0
    assert report.stalled == {"r": "10.0.0.2:80"}


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("sequence", -1),
        ("sequence", 10**30),
        ("waiting", 10**30),
        ("kv_used", 1e300),
        ("pace", 1e300),
        ("born", 10**30),
        ("layers", {"from": 0, "target": 10**9}),
        ("layers", {"from": -5, "target": 9}),
    ],
)
def test_a_report_out_of_range_is_rejected(field, value):
    """A start time of 10^30 could not be sent to the other fronts."""
    body = _to_json({"sequence": 1, field: value})
    assert not pipeline.is_successful(codec.report_of(body))


def test_a_measured_value_below_zero_counts_as_zero():
    body = b'{"sequence":1,"kv_used":-0.5,"kv_total":-1,"pace":-1}'
    report = codec.report_of(body).unwrap()
    assert (report.used, report.total, report.slowness) == (0, 0, 0)


@pytest.mark.parametrize(
    ("body", "faulty_address"),
    [
        (b'{"address": "10.0.0.1:1"}', "10.0.0.1:1"),
        (b"{}", ""),
        (b"", ""),
        (b'{"address": 4}', ""),
        (b'{"address": "10.0.0.1:99999"}', ""),
        (_with_nested_field({"address": "10.0.0.1:1"}), ""),
    ],
    ids=["named", "unnamed", "empty", "odd", "no port", "nested"],
)
def test_a_refused_order_may_name_the_server_at_fault(body, faulty_address):
    assert codec.faulty_address_of(body) == faulty_address


def test_unchanged_routes_are_taken_from_the_version_before():
    """Load pattern: one route of 2,000 changes several times a second."""
    cache = codec.RouteCache()
    before = codec.decode_configuration(_to_json(_CONFIGURATION), cache=cache)
    first, second = _CONFIGURATION["routes"]
    changed = {**_CONFIGURATION, "routes": [{**first, "priority": 9}, second]}
    after = codec.decode_configuration(_to_json(changed), cache=cache)
    assert after.unwrap().routes[0].priority == 9
    assert after.unwrap().routes[1] is before.unwrap().routes[1]
    assert after == codec.decode_configuration(_to_json(changed))


def test_routes_with_equal_bytes_are_all_kept():
    doubled = {**_CONFIGURATION, "routes": [_ROUTE, _ROUTE]}
    decoded = codec.decode_configuration(_to_json(doubled))
    assert len(decoded.unwrap().routes) == 2


def test_a_malformed_route_leaves_the_known_ones():
    cache = codec.RouteCache()
    before = codec.decode_configuration(_to_json(_CONFIGURATION), cache=cache)
    malformed = {**_CONFIGURATION, "routes": [_ROUTE, {**_ROUTE, "host": 3}]}
    rejected = codec.decode_configuration(_to_json(malformed), cache=cache)
    assert "host" in rejected.failure().message
    again = codec.decode_configuration(_to_json(_CONFIGURATION), cache=cache)
    assert again.unwrap().routes[1] is before.unwrap().routes[1]
