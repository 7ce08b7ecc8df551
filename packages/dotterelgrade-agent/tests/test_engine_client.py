"""Odd answers of an engine, and of the store of weights."""

import json

from gevent import server
import pytest
from returns import result

from dotterelgrade import errors
from dotterelgrade import settings as settings_lib
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import engine_client
from dotterelgrade_agent import weight_store_client

_HOST = "127.10.7.1"
_PORT = 18_120
_URL = f"http://{_HOST}:{_PORT}"
_NESTED = b'{"x": ' + b"[" * 100_000
_STATUS = {
    "engine": "e",
    "accelerator": "k",
    "model": "m",
    "version": "v",
    "first_layer": 0,
    "last_layer": 7,
    "running": 0,
    "waiting": 0,
    "max_sequences": 8,
}
_ORDER = engine_client.Order(
    order="load", model="m", version="v", first_layer=0, last_layer=7, fence=1
)


class _Answers:
    """Answers every request with the same status and body."""

    def __init__(self):
        self.status = b"200 OK"
        self.body = b""

    def __call__(self, sock, _):
        sock.recv(65_536)
        length = str(len(self.body)).encode()
        sock.sendall(
            b"HTTP/1.1 " + self.status + b"\r\nContent-Length: " + length
        )
        sock.sendall(b"\r\n\r\n" + self.body)
        sock.close()


@pytest.fixture
def answers():
    scripted = _Answers()
    listener = server.StreamServer((_HOST, _PORT), scripted)
    listener.start()
    yield scripted
    listener.stop()


def _client():
    return engine_client.EngineClient(
        agent_settings.BackendSettings(name="engine", kind="engine", url=_URL)
    )


def test_a_status_in_bounds_is_accepted(answers):
    answers.body = json.dumps(_STATUS).encode()
    assert _client().status().unwrap().max_sequences == 8


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("max_sequences", 10**30),
        ("max_sequences", -1),
        ("running", 10**30),
        ("first_layer", -5),
        ("last_layer", 10**9),
        ("fence", 10**30),
        ("cached_prefixes", [10**30]),
    ],
)
def test_a_status_out_of_bounds_is_an_error(answers, field, value):
    """The agent could not encode it for the entries, and reported no more."""
    answers.body = json.dumps({**_STATUS, field: value}).encode()
    failure = _client().status().failure()
    assert failure.kind is errors.ErrorKind.ENGINE_FAILED


@pytest.mark.parametrize(
    "body", [b"", b"{", _NESTED, b'{"fence": 1e400}', b"\xff"], ids=range(5)
)
def test_an_odd_refusal_of_an_order_is_a_refusal(answers, body):
    answers.status, answers.body = b"409 Conflict", body
    failure = _client().order(_ORDER).failure()
    assert failure.kind is errors.ErrorKind.ENGINE_REFUSED


@pytest.mark.parametrize(
    "value",
    [b"", b"{", _NESTED, b"[]", b'{"wait_ms": 1e400}', b'{"wait_ms": NaN}'],
    ids=range(6),
)
def test_an_odd_answer_of_the_weight_store_is_an_error(answers, value):
    """A wait that is not finite would never end."""
    answers.body = value
    client = weight_store_client.WeightStoreClient(
        settings_lib.PlatformSettings(
            log_url=_URL, hosts_url=_URL, weights_url=_URL, timeout_s=2.0
        )
    )
    asked = client.reserve(_ORDER, host=_HOST)
    assert isinstance(asked, result.Failure)
    assert asked.failure().kind is errors.ErrorKind.PEER_UNREACHABLE
