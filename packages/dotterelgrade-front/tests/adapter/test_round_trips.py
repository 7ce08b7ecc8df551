"""Round trips between the stand-ins' encoders and the adapter's decoders."""

import dataclasses

import front_fakes as fakes
import pytest

from dotterelgrade_front import front_settings
from dotterelgrade_platform import backend_server_codec
from dotterelgrade_platform import codec
from dotterelgrade_platform import headers
from dotterelgrade_platform import operator_codec
from dotterelgrade_platform import settings_file
from dotterelgrade_platform import store
from dotterelgrade_platform import store_server_codec
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import request_metadata

_LAYERS = layer_range.LayerRange(2, 7)


def test_a_configuration_round_trips():
    body = operator_codec.configuration_body(fakes.CONFIGURATION)
    assert codec.decode_configuration(body).unwrap() == fakes.CONFIGURATION


@pytest.mark.parametrize("availability", backend_server.Availability)
def test_a_server_registration_round_trips(availability):
    server = backend_server.BackendServer(
        id="s",
        service="model",
        address="10.0.0.1:7",
        failure_domain="a",
        availability=availability,
        slots=3,
        accelerator="kind",
        layers=_LAYERS,
        started_ms=5,
    )
    body = backend_server_codec.registration_body(server, heartbeats=9)
    read = codec.decode_backend_server(server_id="s", body=body)
    assert read.unwrap() == server


def test_a_report_round_trips():
    report = backend_server.EngineReport(
        layers=_LAYERS,
        accelerator="kind",
        loading=True,
        orders=4,
        started_ms=5,
        waiting=1,
        running=2,
        used=3.0,
        total=9.0,
        slowness=1.5,
        stalled={"r": "10.0.0.2:7"},
    )
    body = backend_server_codec.report_body(report)
    assert codec.report_of(body).unwrap() == report


def test_records_round_trip():
    records = tuple(
        platform_port.Record(key=f"k{n}", value=b"v" * n, offset=n)
        for n in range(3, 6)
    )
    body = store_server_codec.records_body(records, end=6, first=1)
    answer = store.StoreResponse(status=200, body=body, era=2)
    page = store._decode_records(answer, 3)
    assert page == platform_port.Page(records=records, end=6, era=2)


def test_forwarded_headers_round_trip():
    sent = backend_server_codec.client_headers(
        request_id="r", time_left_s=2.0, api_key="k", answer_tokens=40
    )
    forwarded = headers.write_request(
        sent,
        request_metadata.ForwardingMetadata(
            time_left_s=1.5,
            instance_id="s",
            workspace="bench",
            priority=1,
            resume_after="3",
        ),
    )
    read = backend_server_codec.parse_forwarded_request(forwarded)
    assert read == backend_server_codec.ForwardedRequest(
        request_id="r",
        time_left_s=1.5,
        instance_id="s",
        workspace="bench",
        api_key_passed_on=False,
        hops=(),
        resume_after="3",
        answer_tokens=40,
    )


def test_settings_round_trip(settings, tmp_path):
    settings = dataclasses.replace(settings, spillover="fixed")
    path = tmp_path / "local.toml"
    path.write_text(operator_codec.settings_text(settings))
    read = settings_file.load(str(path))
    assert read == dataclasses.replace(
        settings, metrics_port=front_settings.DEFAULT_METRICS_PORT
    )
