"""Probe of what one changed route costs a front, whole and as a difference."""

import dataclasses
import time
import uuid

from dotterelgrade import frame_codec
from dotterelgrade_front import peer_frames
from dotterelgrade_platform import codec
from dotterelgrade_platform import operator_codec
from dotterelgrade_routing import configuration
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import relay_encoding
from dotterelgrade_standins import slope_probes

_REPEATS = 40
_MS = 1e3


@slope_probes.probe(
    "relay_by_routes", varied="routes", sizes=(250, 1_000, 2_000)
)
def _relay_by_routes(size: int) -> dict[str, float]:
    """Changes one route and relays the version to a front that has the last."""
    routes = [_route(number) for number in range(size)]
    before = _body(routes, version=1)
    middle = size // 2
    routes[middle] = dataclasses.replace(routes[middle], priority=9)
    after = _body(routes, version=2)
    costs: dict[str, float] = {}
    bases = {"config": before}
    record = platform_port.Record(key="config", value=after, offset=1)
    for name in relay_encoding.ENCODINGS.names():
        encoding = relay_encoding.ENCODINGS.make(name)
        encoded = relay_encoding.encode_all(encoding, [record], bases=bases)
        costs[f"{name}_bytes"] = float(len(_frame(encoded)))
        started = time.process_time()
        for _ in range(_REPEATS):
            relay_encoding.encode_all(encoding, [record], bases=bases)
        costs[f"{name}_encode_ms"] = _ms_each(started)
        started = time.process_time()
        for _ in range(_REPEATS):
            relay_encoding.decode_all(encoded, bases=bases)
        costs[f"{name}_decode_ms"] = _ms_each(started)
    started = time.process_time()
    for _ in range(_REPEATS):
        codec.decode_configuration(after)
    costs["all_routes_ms"] = _ms_each(started)
    cache = codec.RouteCache()
    codec.decode_configuration(before, cache=cache)
    started = time.process_time()
    for _ in range(_REPEATS):
        codec.decode_configuration(after, cache=cache)
    costs["changed_routes_ms"] = _ms_each(started)
    return costs


def _ms_each(started: float) -> float:
    return (time.process_time() - started) / _REPEATS * _MS


def _frame(records: list[relay_encoding.EncodedRecord]) -> bytes:
    return frame_codec.encode(
        peer_frames.RelayedChanges(
            feed=peer_frames.FeedName.CONFIGURATIONS,
            start=1,
            end=2,
            era=0,
            records=records,
        )
    )


def _route(number: int) -> configuration.Route:
    name = uuid.uuid5(uuid.NAMESPACE_OID, str(number)).hex
    return configuration.Route(
        name=f"r-{name[:8]}",
        host=f"{name[8:16]}.example",
        path_prefix=f"/{name[16:24]}/",
        services=(configuration.ServiceWeight(service="model", weight=1),),
        idempotent=False,
        streaming=True,
        resumable=True,
        timeout_s=20.0,
        objective_s=0.5,
        longest_pause_s=0.25,
        priority=1,
        max_attempts=2,
        public=False,
    )


def _body(routes: list[configuration.Route], *, version: int) -> bytes:
    return operator_codec.configuration_body(
        configuration.Configuration(
            version=version,
            routes=tuple(routes),
            services=(),
            limits=configuration.ClientLimits(),
            workspaces=(),
        )
    )
