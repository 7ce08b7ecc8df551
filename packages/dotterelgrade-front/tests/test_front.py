"""Tests complete fronts in one process against a fake platform."""

import contextlib
import dataclasses
import socket as std_socket
import time

import front_fakes as fakes
import gevent
from gevent import socket
import pytest
import stream_fakes as streams

from dotterelgrade import early_sockets
from dotterelgrade import http_connection
from dotterelgrade_front import front as front_lib
from dotterelgrade_front import paced_election
from dotterelgrade_front import request_handler
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import leadership
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import stall_actions

# More answers than fit into any short fixed wait.
_MANY = 300


def _get(address, path):
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        return fakes.read_response(sock)


@pytest.fixture
def running(settings, platform):
    platform.documents.put(b"v1", fakes.CONFIGURATION)
    front = front_lib.Front(settings, platform=platform)
    with front.running():
        yield front


def test_front_is_ready_once_the_configuration_is_read(
    running, settings, platform
):
    assert _get(settings.ready_address, "/ready")[0] == 503
    platform.configurations.add("config", b"v1")
    fakes.until(lambda: _get(settings.ready_address, "/ready")[0] == 200)


def test_metrics_and_state_are_served(running, settings, platform):
    platform.configurations.add("config", b"v1")
    fakes.until(lambda: running.is_ready)
    address = f"{settings.host}:{settings.metrics_port}"
    assert b"front_answers" in _get(address, "/metrics")[2]
    assert b'"version": 1' in _get(address, "/state")[2]


def test_a_reload_keeps_the_addresses_at_which_the_front_listens(
    running, settings
):
    """A changed port was claimed as planner, where nobody listens."""
    running.reload(
        dataclasses.replace(settings, peer_port=1, host="127.0.0.2", grace_s=3)
    )
    assert running._settings.peer_address == settings.peer_address
    assert running._state.settings.peer_address == settings.peer_address
    assert running._state.settings.grace_s == 3


def test_drain_finishes_requests_in_flight(
    running, settings, platform, monkeypatch
):
    monkeypatch.setattr(front_lib, "_DEREGISTRATION_WAIT_S", 0.2)
    platform.configurations.add("config", b"v1")
    fakes.until(lambda: running.is_ready)
    fakes.until(lambda: platform.election.claims)

    def slow(sock, arrival):
        gevent.sleep(0.6)
        fakes.responding()(sock, arrival)

    backend = fakes.Backend(slow)
    running._state.fleet.put(
        backend_server.BackendServer(
            id="s",
            service="plain",
            address=backend.address,
            failure_domain="a",
            availability=backend_server.Availability.READY,
            slots=1,
        )
    )
    host, _, port = settings.callers_address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=5)
    sock.sendall(
        b"GET /safe/x HTTP/1.1\r\nhost: shop.example\r\nkey: secret\r\n\r\n"
    )
    fakes.until(lambda: backend.arrivals)
    drain = gevent.spawn(running.drain)
    gevent.sleep(0.05)
    assert _get(settings.ready_address, "/ready")[0] == 503
    assert fakes.read_response(sock)[0] == 200
    drain.join(fakes.WAIT_S)
    assert drain.ready()
    assert not running.dump()["leads"]
    claims = len(platform.election.claims)
    gevent.sleep(0.5)
    assert len(platform.election.claims) == claims
    backend.stop()


@pytest.mark.parametrize(
    ("connects", "status", "run"),
    [(True, 502, b"unknown"), (False, 503, b"not_run")],
)
def test_a_request_that_the_end_of_the_grace_time_cuts_is_answered(
    running, settings, platform, monkeypatch, connects, status, run
):
    """The connection was reset without an answer when the process exited."""
    monkeypatch.setattr(front_lib, "_DEREGISTRATION_WAIT_S", 0.0)
    if not connects:
        monkeypatch.setattr(
            http_connection, "connect", lambda *_, **__: gevent.sleep(30)
        )
    platform.configurations.add("config", b"v1")
    fakes.until(lambda: running.is_ready)
    backend = fakes.Backend(fakes.silent)
    running._state.fleet.put(
        backend_server.BackendServer(
            id="s",
            service="plain",
            address=backend.address,
            failure_domain="a",
            availability=backend_server.Availability.READY,
            slots=1,
        )
    )
    host, _, port = settings.callers_address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as sock:
        sock.sendall(
            b"GET /unsafe/x HTTP/1.1\r\nhost: shop.example\r\n"
            b"key: secret\r\n\r\n"
        )
        fakes.until(lambda: running._handler.requests_in_flight)
        gevent.sleep(0.1)
        running.reload(dataclasses.replace(settings, grace_s=0.7))
        running.drain()
        sock.settimeout(0.5)
        answered, headers, body = fakes.read_response(sock)
    assert (answered, headers[b"connection"]) == (status, b"close")
    assert run in body
    backend.stop()


def test_all_requests_that_the_end_of_the_grace_time_cuts_are_answered(
    running, settings, platform, monkeypatch
):
    """The process exited after a fixed time, before the last answers."""
    monkeypatch.setattr(front_lib, "_DEREGISTRATION_WAIT_S", 0.0)
    # No limit on the answers is reached on a slow host.
    monkeypatch.setattr(front_lib, "_ABORT_MARGIN_S", 30.0)
    monkeypatch.setattr(
        http_connection, "connect", lambda *_, **__: gevent.sleep(60)
    )
    send_interrupted = request_handler._send_interrupted

    def send_slowly(*args, **options):
        # Keeps the event loop busy, unlike a sleep of gevent.
        time.sleep(0.001)
        return send_interrupted(*args, **options)

    monkeypatch.setattr(request_handler, "_send_interrupted", send_slowly)
    platform.configurations.add("config", b"v1")
    fakes.until(lambda: running.is_ready)
    running._state.fleet.put(
        backend_server.BackendServer(
            id="s",
            service="plain",
            address="127.0.0.1:1",
            failure_domain="a",
            availability=backend_server.Availability.READY,
            slots=1,
        )
    )
    host, _, port = settings.callers_address.rpartition(":")
    with contextlib.ExitStack() as stack:
        callers = []
        for _ in range(_MANY):
            # Unlike a socket of gevent, it lets no other greenlet run.
            sock = std_socket.create_connection((host, int(port)))
            callers.append(stack.enter_context(sock))
            sock.sendall(
                b"GET /unsafe/x HTTP/1.1\r\nhost: shop.example\r\n"
                b"key: secret\r\n\r\n"
            )
            gevent.sleep(0)
        fakes.until(lambda: running._handler.requests_in_flight == _MANY)
        running.reload(dataclasses.replace(settings, grace_s=30.1))
        running.drain()
        # The process exits here: what is sent later, no caller receives.
        answered = sum(_has_received(sock) for sock in callers)
    assert answered == _MANY


def _has_received(sock):
    sock.setblocking(False)
    try:
        return sock.recv(12) == b"HTTP/1.1 503"
    except BlockingIOError:
        return False


@pytest.fixture
def queued(running, settings, platform, monkeypatch):
    """A drain, and a connection in the accept queue when accepting ends."""
    monkeypatch.setattr(front_lib, "_DEREGISTRATION_WAIT_S", 0.2)
    platform.configurations.add("config", b"v1")
    fakes.until(lambda: running.is_ready)
    drain = gevent.spawn(running.drain)
    gevent.sleep(0.1)
    host, _, port = settings.callers_address.rpartition(":")
    # Unlike a socket of gevent, it lets no other greenlet run.
    with std_socket.create_connection((host, int(port))) as sock:
        yield sock, drain


def _ask_in_a_thread(sock):
    """Sends a request; returns the thread's result, the response."""

    def ask():
        sock.sendall(
            b"GET /safe/x HTTP/1.1\r\nhost: shop.example\r\nkey: secret\r\n\r\n"
        )
        return fakes.read_response(sock)

    return gevent.get_hub().threadpool.spawn(ask)


def test_request_on_a_connection_accepted_late_in_drain_is_answered(queued):
    """A caller connects just before the front stops accepting."""
    sock, drain = queued
    time.sleep(0.2)
    gevent.sleep(0.1)
    answered = _ask_in_a_thread(sock)
    assert answered.get(timeout=fakes.WAIT_S)[0] == 503
    drain.join(fakes.WAIT_S)
    assert drain.ready()


def test_request_in_the_accept_queue_at_the_end_of_accepting_is_answered(
    queued,
):
    """The event loop is late, and stops accepting before it accepts."""
    sock, drain = queued
    answered = _ask_in_a_thread(sock)
    time.sleep(0.2)
    assert answered.get(timeout=fakes.WAIT_S)[0] == 503
    drain.join(fakes.WAIT_S)
    assert drain.ready()


def test_connections_are_refused_once_the_load_balancer_knows(
    running, settings, platform, monkeypatch
):
    """They lay unread in the accept queue until the process exited."""
    monkeypatch.setattr(front_lib, "_DEREGISTRATION_WAIT_S", 0.1)
    platform.configurations.add("config", b"v1")
    fakes.until(lambda: running.is_ready)
    running.drain()
    host, _, port = settings.callers_address.rpartition(":")
    with pytest.raises(ConnectionRefusedError):
        std_socket.create_connection((host, int(port)))


def test_drain_finishes_a_stream_with_two_attempts(
    running, settings, monkeypatch
):
    """A stop comes while an engine is silent and a second one is asked."""
    monkeypatch.setattr(front_lib, "_DEREGISTRATION_WAIT_S", 0.05)
    monkeypatch.setattr(stall_actions, "STANDBY_SILENCE_S", 0.2)
    running._state.platform.configurations.add("config", b"v1")
    fakes.until(lambda: running.is_ready)
    drain = []

    def pause():
        fakes.until(lambda: other.arrivals)
        drain.append(gevent.spawn(running.drain))
        gevent.sleep(0.3)

    def stuck(sock, arrival):
        fakes.streaming(1, 0, after=fakes.silent)(sock, arrival)

    first = fakes.Backend(streams.pausing(3, last=6, pause=pause))
    other = fakes.Backend(stuck)
    for server_id, backend in (("a1", first), ("b1", other)):
        running._state.fleet.put(
            backend_server.BackendServer(
                id=server_id,
                service="model",
                address=backend.address,
                failure_domain=server_id[0],
                availability=backend_server.Availability.READY,
                slots=4,
                accelerator="kind",
                layers=layer_range.LayerRange(0, 8),
            )
        )
    running._state.rng.random = lambda: 0.0
    host, _, port = settings.callers_address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=5)
    sock.sendall(
        b"POST /stream/x HTTP/1.1\r\nhost: shop.example\r\nkey: secret\r\n"
        b"request-id: r1\r\ncontent-length: 0\r\n\r\n"
    )
    assert fakes.read_response(sock)[2] == streams.events(1, 6)
    drain[0].join(fakes.WAIT_S)
    assert drain[0].ready()
    assert other.closed.wait(fakes.WAIT_S)
    for backend in (first, other):
        backend.stop()


def test_failed_task_is_restarted(running, platform, monkeypatch):
    monkeypatch.setattr("dotterelgrade.supervision.RESTART_DELAY_S", 0.01)
    platform.documents.put(b"broken", None)
    platform.configurations.add("config", b"broken")
    gevent.sleep(0.1)
    platform.configurations.add("config", b"v1")
    fakes.until(lambda: running.is_ready)


def test_front_is_ready_without_a_planner(running, platform):
    """No front can be elected while the store answers no question on terms."""
    platform.election.down = True
    platform.configurations.add("config", b"v1")
    fakes.until(lambda: running.is_ready)
    assert not running.dump()["leads"]
    gevent.sleep(leadership.CLAIM_STAGGER_S * leadership.MAX_CLAIM_STEPS)
    assert running.is_ready
    assert not running.dump()["leads"]


def test_front_without_a_configuration_claims_no_term(running, platform):
    """A planner without a configuration could order and relay nothing."""
    gevent.sleep(leadership.CLAIM_STAGGER_S * leadership.MAX_CLAIM_STEPS)
    assert not platform.election.claims
    platform.configurations.add("config", b"v1")
    fakes.until(lambda: platform.election.claims)


def test_a_front_that_is_cut_off_asks_seldom_for_the_term(
    running, platform, monkeypatch
):
    """Load pattern: twelve fronts lose the store and the planner for 8 s.

    Both the claim of a term and the search for the planner ask.
    """
    asked = []

    def refuse():
        asked.append(time.monotonic())
        raise platform_port.StoreError("reset")

    monkeypatch.setattr(running, "_should_claim", lambda now: True)
    monkeypatch.setattr(platform.election, "current", refuse)
    gevent.sleep(2.0)
    assert len(asked) <= 2.0 / paced_election.PAUSE_S + 1


def test_requests_received_during_start_are_answered(
    settings, platform, monkeypatch
):
    """All fronts are killed, and callers reconnect at once."""
    platform.documents.put(b"v1", fakes.CONFIGURATION)
    platform.configurations.add("config", b"v1")
    host, _, port = settings.callers_address.rpartition(":")
    early_sockets.listen(host, int(port))
    early = socket.create_connection((host, int(port)), timeout=5)
    early.sendall(b"GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n")
    # With an empty list of backend servers the front waits the whole timeout.
    monkeypatch.setattr(front_lib, "_FIRST_READ_TIMEOUT_S", 0.1)
    with front_lib.Front(settings, platform=platform).running():
        # The configuration was read before the first request.
        assert fakes.read_response(early)[0] == 404
