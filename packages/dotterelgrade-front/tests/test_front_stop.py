"""Requests that a front reads while it is told to stop.

Callers keep connections, and a request may be under way, or trickle in, while
the process has only a part of its grace period left.
"""

import dataclasses

import front_fakes as fakes
import gevent
from gevent import socket
import pytest

from dotterelgrade_front import front as front_lib
from dotterelgrade_routing import backend_server

_GRACE_S = 3.0
_WORK_S = 1.5
_LATE_S = 1.2


@pytest.fixture
def stopping(settings, platform, monkeypatch):
    """A front with a slow server, whose stop a test begins."""
    monkeypatch.setattr(front_lib, "_DEREGISTRATION_WAIT_S", 0.5)
    settings = dataclasses.replace(settings, grace_s=_GRACE_S)
    platform.documents.put(b"v1", _configuration())
    backend = fakes.Backend(_slow)
    front = front_lib.Front(settings, platform=platform)
    with front.running():
        platform.configurations.add("config", b"v1")
        fakes.until(lambda: front.is_ready)
        front._state.fleet.put(
            backend_server.BackendServer(
                id="p1",
                service="plain",
                address=backend.address,
                failure_domain="a",
                availability=backend_server.Availability.READY,
                slots=4,
            )
        )
        yield front, backend
    backend.stop()


def _configuration():
    limits = dataclasses.replace(
        fakes.CONFIGURATION.limits, header_timeout_s=9.0
    )
    routes = tuple(
        dataclasses.replace(route, timeout_s=0.5 if name == "brief" else 20.0)
        for route in fakes.CONFIGURATION.routes
        for name in [route.name]
    )
    return dataclasses.replace(
        fakes.CONFIGURATION, limits=limits, routes=routes
    )


def _slow(sock, arrival):
    gevent.sleep(0.0 if b"/brief/" in arrival.line else _WORK_S)
    fakes.responding()(sock, arrival)


def _ask_late(front, path, *, after_s):
    """Sends the end of a request so long after the stop has begun."""
    host, _, port = front._settings.callers_address.rpartition(":")
    rows = (
        f"POST /{path}/x HTTP/1.1\r\nhost: shop.example\r\nkey: secret\r\n"
        "request-id: r1\r\ncontent-length: 1\r\n\r\np"
    ).encode()
    with socket.create_connection((host, int(port)), timeout=9) as sock:
        sock.sendall(rows[:-4])
        fakes.until(lambda: front._handler.connections)
        draining = gevent.spawn(front.drain)
        gevent.sleep(after_s)
        sock.sendall(rows[-4:])
        response = fakes.read_response(sock)
        draining.join()
    return response


@pytest.mark.parametrize("path", ["unsafe", "safe"])
def test_a_request_that_a_stop_would_cut_is_not_begun(stopping, path):
    """It was passed on and cut at the end, though it may not be repeated."""
    front, backend = stopping
    status, headers, body = _ask_late(front, path, after_s=_LATE_S)
    assert not backend.arrivals
    assert (status, headers[b"connection"]) == (503, b"close")
    assert b'"not_run"' in body
    assert float(headers[b"retry-after"]) <= 1.0


def test_a_request_whose_deadline_is_before_the_end_of_a_stop_is_served(
    stopping,
):
    front, backend = stopping
    assert _ask_late(front, "brief", after_s=_LATE_S)[0] == 200
    assert len(backend.arrivals) == 1


def test_a_request_at_the_beginning_of_a_stop_is_served(stopping):
    """The load balancer sends new connections until it has noticed."""
    front, backend = stopping
    assert _ask_late(front, "unsafe", after_s=0.1)[0] == 200
    assert len(backend.arrivals) == 1
