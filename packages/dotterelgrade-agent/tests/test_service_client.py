import socket
import struct

import gevent
from gevent import server
import pytest
from returns import result

from dotterelgrade import errors
from dotterelgrade import messages
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import service_client
from dotterelgrade_standins import deposits
from dotterelgrade_standins import web


def _client(url):
    return service_client.ServiceClient(
        agent_settings.BackendSettings(
            name="order", kind="service", service="order", url=url
        )
    )


def _call(method="POST", path="/deposits", headers=None):
    return messages.Call(
        request_id="call",
        backend="order",
        service="order",
        workspace="bench",
        method=method,
        path=path,
        headers=headers or {},
        body=b'{"account": "a1"}',
        key="",
        digest="",
        deadline_ms=1_000.0,
    )


def _answered(fleet, *parts, reset=False):
    """Returns what the client makes of bytes that a service sends."""

    def answer(sock, _):
        sock.recv(65_536)
        for number, part in enumerate(parts):
            gevent.sleep(0.05 if number else 0.0)
            sock.sendall(part)
        if reset:
            no_linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        sock.close()

    address = (fleet.address(), 17_800)
    listener = server.StreamServer(address, answer)
    listener.start()
    try:
        client = _client(f"http://{address[0]}:{address[1]}")
        return client.call(_call(), limit_s=2.0)
    finally:
        listener.stop()


_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "sent",
    [
        (b"HTTP/1.1 101 Switching Protocols\r\n\r\n",),
        (
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
            b"Connection: Upgrade\r\n\r\n",
            _OK,
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",),
        (_CHUNKED + b"3\r\nabc\r\n",),
        (b"no answer",),
        (),
    ],
    ids=["101", "upgrade", "cut", "cut chunks", "no answer", "nothing"],
)
def test_an_answer_that_is_none_may_have_run(fleet, sent):
    """Changes of the protocol and cut answers must not look complete."""
    error = _answered(fleet, *sent).failure()
    assert error.run_state == errors.RunState.UNKNOWN


_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
_WHOLE_CHUNKS = _CHUNKED + b"2\r\nok\r\n0\r\n\r\n"


@pytest.mark.parametrize(
    "answer",
    [_OK, _WHOLE_CHUNKS, _INTERIM + _OK, b"HTTP/1.1 200 OK\r\nX: y\r\n\r\n"],
    ids=["length", "chunks", "interim", "head without framing"],
)
def test_an_answer_that_is_cut_anywhere_may_have_run(fleet, answer):
    """A service stops in its head or in its framing, and closes."""
    taken_for_whole = [
        answer[:end]
        for end in range(len(answer))
        if isinstance(_answered(fleet, answer[:end]), result.Success)
    ]
    assert taken_for_whole == []


@pytest.mark.parametrize(
    "answer",
    [_OK, _WHOLE_CHUNKS, _INTERIM + _OK, b"HTTP/1.1 200 OK\r\n\r\nok"],
    ids=["length", "chunks", "interim", "unframed"],
)
def test_an_answer_may_arrive_in_pieces(fleet, answer):
    for middle in (1, 20, len(answer) - 1):
        reply = _answered(fleet, answer[:middle], answer[middle:])
        assert reply.unwrap().body == b"ok"


def test_a_reset_answer_without_a_length_may_have_run(fleet):
    answer = _answered(fleet, b"HTTP/1.1 200 OK\r\n\r\nabc", reset=True)
    assert answer.failure().run_state == errors.RunState.UNKNOWN


def test_the_answer_after_an_interim_one_counts(fleet):
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    assert _answered(fleet, interim, _OK).unwrap().body == b"ok"


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET"])
def test_a_lost_connection_never_sends_again(fleet, method):
    seen = []

    def drop(_):
        seen.append(method)
        raise web.DropConnectionError

    app = web.JsonApp()
    app.route(method, "/deposits", drop)
    url = fleet.serve(web, app)
    answer = _client(url).call(_call(method), limit_s=5.0)
    assert answer.failure().run_state == errors.RunState.UNKNOWN
    assert seen == [method]


def test_no_connection_is_not_run(fleet):
    client = _client(f"http://{fleet.address()}:17800")
    error = client.call(_call(), limit_s=1.0).failure()
    assert error.run_state == errors.RunState.NOT_RUN


@pytest.mark.parametrize(
    "changes",
    [
        {"headers": {"X-A": "1\r\nInjected: 2"}},
        {"path": "/deposits HTTP/1.1\r\nX: "},
        {"method": "PO ST"},
        {"headers": {"X-A": "\u20ac"}},
        {"headers": {"X A": "1"}},
    ],
)
def test_a_request_that_can_not_be_sent_is_not_run(fleet, changes):
    service = deposits.DepositService()
    client = _client(fleet.serve(deposits, service))
    error = client.call(_call(**changes), limit_s=1.0).failure()
    assert error.kind == errors.ErrorKind.BAD_REQUEST
    assert error.run_state == errors.RunState.NOT_RUN
    assert service.ledger == []


def test_an_answer_that_is_too_large_is_said_to_have_run(fleet, monkeypatch):
    monkeypatch.setattr(service_client, "MAX_RESPONSE_BYTES", 10)
    client = _client(fleet.serve(deposits, deposits.DepositService()))
    answer = client.call(_call(), limit_s=5.0)
    assert isinstance(answer, result.Failure)
    assert answer.failure().run_state == errors.RunState.RAN
