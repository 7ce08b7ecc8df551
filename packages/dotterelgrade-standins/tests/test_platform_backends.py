import random
import time

import gevent
from gevent import socket
import pytest

from dotterelgrade import http_connection
from dotterelgrade_platform import backend_server_codec
from dotterelgrade_platform import store as store_names
from dotterelgrade_routing import backend_server
from dotterelgrade_standins import platform_backends
from dotterelgrade_standins import platform_store
from dotterelgrade_standins import soak_evidence


@pytest.fixture
def store():
    return platform_store.PlatformStore()


@pytest.fixture
def evidence():
    return soak_evidence.Evidence()


@pytest.fixture
def backend(store, evidence):
    server = backend_server.BackendServer(
        id="s",
        service="plain",
        address="",
        failure_domain="a",
        availability=backend_server.Availability.READY,
        slots=4,
        started_ms=1,
    )
    made = platform_backends.BackendStandIn(
        server, store=store, evidence=evidence, rng=random.Random(1)
    )
    with made.running("127.0.0.1"):
        yield made


def _note_sent(evidence):
    evidence.sent["r"] = soak_evidence.Sent(
        request_id="r",
        front="f",
        once=True,
        allowed=True,
        workspace="",
        timeout_s=1.0,
        sent_at=time.monotonic(),
    )


def _ask(backend, instance):
    return _call(backend, instance).status


def _call(backend, instance):
    headers = backend_server_codec.client_headers(
        request_id="r", time_left_s=1.0, api_key="k"
    )
    head, _ = http_connection.call(
        backend.server.address,
        method=b"POST",
        target=b"/x",
        headers=[
            *headers,
            (backend_server_codec.INSTANCE_HEADER, instance.encode()),
        ],
        body=b"r",
        timeout_s=2.0,
    )
    return head


def _listed(store):
    found = {}
    for record in store._topic(store_names.SERVERS_TOPIC).records:
        found[record.key] = record.value
    return {key for key, value in found.items() if value}


def _until(condition):
    with gevent.Timeout(5.0):
        while not condition():
            gevent.sleep(0.01)


def test_a_request_for_the_incarnation_before_counts_as_none(
    backend, evidence, monkeypatch
):
    """Soak seed 223: it gets 421, though the new incarnation leaves."""
    monkeypatch.setattr(soak_evidence, "DRAIN_S", 0.0)
    monkeypatch.setattr(soak_evidence, "STABILITY_S", 0.0)
    evidence.drained("s")
    _note_sent(evidence)
    assert _ask(backend, "other") == 421
    assert not evidence.violations
    assert not evidence.runs


def test_an_entry_lapses_once_the_store_is_back(backend, store):
    """Soak seed 223: a restart beside an outage left two entries for good."""
    _until(lambda: _listed(store) == {"s"})
    store.outage = platform_store.Outage.BUSY
    backend.crash()
    backend.restart()
    gevent.sleep(0.1)
    store.outage = None
    _until(lambda: _listed(store) == {"s.1"})


@pytest.mark.parametrize("silence", platform_backends.Silence)
def test_a_silent_server_answers_when_it_goes_on(backend, evidence, silence):
    _note_sent(evidence)
    backend.silence = silence
    asked = gevent.spawn(_ask, backend, "s")
    gevent.sleep(0.2)
    assert not asked.ready()
    backend.silence = None
    assert asked.get(timeout=5.0) == 200
    assert len(evidence.runs["r"]) == 1


def test_a_server_that_falls_silent_behind_its_head_goes_on(
    backend, evidence, monkeypatch
):
    _note_sent(evidence)
    headers = backend.answer_headers

    def then_silent(told, **facts):
        backend.silence = platform_backends.Silence.REQUESTS
        gevent.spawn_later(0.2, setattr, backend, "silence", None)
        return headers(told, **facts)

    monkeypatch.setattr(backend, "answer_headers", then_silent)
    assert _ask(backend, "s") == 200
    assert backend.silence is None


@pytest.fixture
def mistaken(monkeypatch):
    monkeypatch.setattr(platform_backends, "_MISTAKEN_SHARE", 1.0)


def test_a_server_repeats_its_refusal_of_an_earlier_request(
    backend, evidence, mistaken
):
    _note_sent(evidence)
    backend.full_until = float("inf")
    assert _ask(backend, "s") == 503
    backend.full_until = 0.0
    backend._refused = "earlier"
    backend.mistake = platform_backends.Mistake.REFUSAL
    head = _call(backend, "s")
    assert head.status == 503
    assert b"earlier" in dict(head.headers).values()
    assert len(evidence.runs["r"]) == 1


def test_a_server_switches_protocols_and_ends_the_run(
    backend, evidence, mistaken
):
    _note_sent(evidence)
    backend.mistake = platform_backends.Mistake.SWITCH_OF_PROTOCOLS
    host, _, port = backend.server.address.rpartition(":")
    instance = backend_server_codec.INSTANCE_HEADER + b": s"
    ids = b"\r\n".join(
        name + b": " + value
        for name, value in backend_server_codec.client_headers(
            request_id="r", time_left_s=1.0, api_key="k"
        )
    )
    with socket.create_connection((host, int(port)), timeout=5.0) as sock:
        head = b"GET /x HTTP/1.1\r\nhost: h\r\n"
        sock.sendall(head + instance + b"\r\n" + ids + b"\r\n\r\n")
        received = b"".join(iter(lambda: sock.recv(65_536), b""))
    assert received.startswith(b"HTTP/1.1 101 ")
    assert evidence.runs["r"][0].broke_off


def test_an_answer_without_framing_ends_with_its_connection(backend, evidence):
    _note_sent(evidence)
    backend.unframed = True
    head = _call(backend, "s")
    names = {name for name, _ in head.headers}
    assert head.status == 200
    assert not names & {b"content-length", b"transfer-encoding"}
