"""Bytes of any kind from outside: a clear error, and nothing is lost."""

import contextlib
import json
import random

import gevent
from gevent import server as gevent_server
from gevent import socket
import hypothesis
from hypothesis import strategies
import msgpack
import pytest
from returns import result

from dotterelgrade import connection_frames
from dotterelgrade import contract as contract_lib
from dotterelgrade import errors
from dotterelgrade import frame_codec
from dotterelgrade import grammar
from dotterelgrade import handshake
from dotterelgrade import host_list
from dotterelgrade import http_connection
from dotterelgrade import log_client
from dotterelgrade import messages
from dotterelgrade import settings as settings_lib
from dotterelgrade import wire
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import claim_ledger
from dotterelgrade_agent import engine_client
from dotterelgrade_agent import placement
from dotterelgrade_agent import service_client
from dotterelgrade_entry import entry_settings
from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import local_fleet

_BOUND = (
    "bound workspace=* first_token_p95=340ms between_tokens_p95=25ms"
    "  # bench: veneer dries"
)
_WORKSPACE = (
    "workspace name=bench key=sha256:"
    + "ab" * 32
    + " weight=4 rate=40/s concurrent=32 priority=1  # bench: craftsmen"
)
_LIAR_PORT = 17_900
_HTTP_PORT = 8080
_fuzzed = hypothesis.settings(
    max_examples=200,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
_few = hypothesis.settings(_fuzzed, max_examples=60)
_json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        )
    ),
    max_leaves=12,
)


def _cut(data, source):
    """Returns the bytes with a few of them changed, lost or doubled."""
    mangled = bytearray(data)
    for _ in range(source.randint(1, 4)):
        place = source.randrange(len(mangled) + 1)
        kind = source.randrange(3)
        if kind == 0 and place < len(mangled):
            mangled[place] = source.randrange(256)
        elif kind == 1:
            del mangled[place : place + source.randint(1, 8)]
        else:
            mangled[place:place] = mangled[place : place + 8] or b"\x00"
    return bytes(mangled)


_sources = strategies.integers(0, 2**32).map(random.Random)


def mangled(*samples):
    return strategies.builds(
        _cut, strategies.sampled_from(samples), _sources
    ) | strategies.binary(max_size=200)


@_fuzzed
@hypothesis.given(
    strategies.text(max_size=300)
    | mangled(_BOUND.encode(), _WORKSPACE.encode(), b"drain host=\n\n#").map(
        lambda data: data.decode(errors="replace")
    )
)
def test_contract_text_gets_rules_or_faults_with_places(text):
    answer = grammar.parse(text)
    lines = text.split("\n")
    for fault in answer.swap().value_or(()):
        assert 1 <= fault.line <= len(lines)
        assert 1 <= fault.column <= grammar.MAX_LINE_LENGTH + 1
        assert fault.message
        assert fault.expected
    for line in answer.value_or(()):
        again = grammar.parse_line(line.text).unwrap()
        assert again.rule == line.rule


@_fuzzed
@hypothesis.given(
    value=_json_values
    | strategies.fixed_dictionaries(
        {"process": _json_values, "platform": _json_values},
        optional={"backends": _json_values, "http_port": _json_values},
    ),
    cls=strategies.sampled_from(
        (entry_settings.EntrySettings, agent_settings.AgentSettings)
    ),
)
def test_settings_get_an_object_or_every_fault(value, cls):
    answer = settings_lib.structure(value, cls)
    if isinstance(answer, result.Failure):
        assert answer.failure().kind is errors.ErrorKind.SETTINGS_INVALID
        assert answer.failure().message


@_fuzzed
@hypothesis.given(data=mangled(b'{"process": {"host": "10.0.0.1"}}', b"[[["))
def test_settings_file_of_any_bytes_is_refused(data, tmp_path_factory):
    path = tmp_path_factory.getbasetemp() / "settings.json"
    path.write_bytes(data)
    answer = settings_lib.load(path, entry_settings.EntrySettings)
    assert answer.failure().kind is errors.ErrorKind.SETTINGS_INVALID


_EDIT = json.dumps(
    {
        "type": "edit",
        "id": "e1",
        "author": "operations",
        "base": 0,
        "edits": [{"identity": "bound workspace=*", "text": _BOUND, "seen": 0}],
    }
).encode()
_CLAIM = json.dumps(
    {
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
).encode()


@_fuzzed
@hypothesis.given(bodies=strategies.lists(mangled(_EDIT), max_size=6))
def test_broken_contract_records_only_move_the_offset(bodies):
    fold = contract_lib.Contract()
    for offset, body in enumerate(bodies, 1):
        fold.apply(log_client.Record(offset=offset, body=body))
    assert fold.offset == len(bodies)
    end = log_client.Record(offset=len(bodies) + 1, body=_EDIT)
    fold.apply(end)
    assert fold.offset == len(bodies) + 1


@_fuzzed
@hypothesis.given(bodies=strategies.lists(mangled(_CLAIM), max_size=6))
def test_broken_claims_and_placements_are_skipped(bodies):
    ledger = claim_ledger.ClaimLedger(agent_settings.ClaimSettings())
    placed = placement.Placement()
    for offset, body in enumerate(bodies, 1):
        record = log_client.Record(offset=offset, body=body)
        for apply in (
            lambda record: ledger.apply(record, now_s=1.0),
            placed.apply,
        ):
            with contextlib.suppress(errors.DotterelgradeError):
                apply(record)
    assert ledger.offset == len(bodies)


_FRAMES = tuple(
    msgpack.packb(frame_codec.to_wire(frame))
    for frame in (
        messages.Ping(sequence=1),
        messages.Report(
            state=messages.ProcessState.READY,
            contract_offset=3,
            backends=(messages.BackendReport(backend="e", kind="engine"),),
        ),
        messages.Steps(
            steps=(
                messages.Step(
                    request_id="r", attempt=1, stage=0, position=0, inputs=(1,)
                ),
            )
        ),
    )
)


@_fuzzed
@hypothesis.given(data=mangled(*_FRAMES))
def test_frame_of_any_bytes_is_checked_or_refused(data):
    unpacker = msgpack.Unpacker(max_buffer_size=1 << 20, raw=False)
    unpacker.feed(data)
    with contextlib.suppress(ValueError, msgpack.UnpackException):
        for value in unpacker:
            with contextlib.suppress(errors.DotterelgradeError):
                frame = frame_codec.from_wire(value)
                assert type(frame).__name__ in frame_codec.registered_frames()


class Liar:
    """Answers every connection with the bytes that a test says."""

    def __init__(self):
        self.answer = b""
        self.repeat = 0
        self.sent = 0

    def handle(self, sock, address):
        with contextlib.suppress(OSError):
            sock.settimeout(5)
            sock.recv(65_536)
            sock.sendall(self.answer)
            for _ in range(self.repeat):
                sock.sendall(b"1" * 1_000_000)
                self.sent += 1
        sock.close()


@pytest.fixture(scope="module")
def liar():
    made = Liar()
    address = ("127.50.255.1", _LIAR_PORT)
    server = gevent_server.StreamServer(address, made.handle)
    server.start()
    yield made
    server.stop(timeout=1)


def _http(body, status=b"200 OK"):
    return (
        b"HTTP/1.1 "
        + status
        + b"\r\nContent-Length: "
        + str(len(body)).encode()
        + b"\r\n\r\n"
        + body
    )


_URL = f"http://127.50.255.1:{_LIAR_PORT}"
_answers = (
    strategies.binary(max_size=200)
    | mangled(_http(b'{"results": [], "step_ms": 1}'))
    | _json_values.map(lambda value: _http(json.dumps(value).encode()))
)
_BACKEND = agent_settings.BackendSettings(
    name="engine", kind="engine", url=_URL, timeout_s=2.0
)
_SERVICE = agent_settings.BackendSettings(
    name="order", kind="service", service="order", url=_URL, timeout_s=2.0
)
_PLATFORM = settings_lib.PlatformSettings(
    log_url=_URL, hosts_url=f"{_URL}/hosts", timeout_s=2.0
)
_CALL = messages.Call(
    request_id="r",
    backend="order",
    service="order",
    workspace="bench",
    method="POST",
    path="/deposits",
    headers={},
    body=b"{}",
    key="",
    digest="",
    deadline_ms=1_000.0,
)


def _ask_engine():
    client = engine_client.EngineClient(_BACKEND)
    item = engine_client.BatchItem(
        sequence="r.1.0", position=0, inputs=(1,), priority=5
    )
    with contextlib.closing(client):
        yield client.status()
        yield client.steps([item], limit_s=2.0)
        yield client.held()


def _ask_platform():
    log = log_client.LogClient(_PLATFORM)
    yield log.read("contract", start=1)
    yield log.append("contract", b"x")
    yield host_list.HostListClient(_PLATFORM).read()


def _ask_service():
    yield service_client.ServiceClient(_SERVICE).call(_CALL, limit_s=2.0)


_ASKERS = (_ask_engine, _ask_platform, _ask_service)


@pytest.mark.parametrize("ask", _ASKERS)
def test_answer_of_any_bytes_is_a_result(liar, ask):
    @_few
    @hypothesis.given(answer=_answers)
    def check(answer):
        liar.answer, liar.repeat = answer, 0
        for got in ask():
            assert isinstance(got, result.Success | result.Failure)

    check()


@pytest.mark.parametrize("ask", _ASKERS)
def test_answer_without_an_end_is_not_kept(liar, ask):
    liar.answer = b"HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n"
    liar.repeat, liar.sent = 300, 0
    with gevent.Timeout(60):
        for got in ask():
            assert isinstance(got, result.Failure)
            assert liar.sent < 100
            liar.sent = 0


_HEADS = (
    _http(b"ok"),
    _http(b"", b"101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x"),
    b"HTTP/1.1 103 Early\r\n\r\n" + _http(b"ok"),
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n0\r\n\r\n",
)


def test_response_of_any_bytes_to_a_front_is_one_or_a_broken_connection(liar):
    @_few
    @hypothesis.given(answer=mangled(*_HEADS))
    def check(answer):
        liar.answer, liar.repeat = answer, 0
        with contextlib.suppress(http_connection.BrokenConnectionError):
            head, _ = http_connection.call(
                f"127.50.255.1:{_LIAR_PORT}",
                method=b"GET",
                target=b"/",
                timeout_s=5.0,
            )
            assert 200 <= head.status <= 599

    check()


@pytest.fixture(scope="module")
def fleet():
    with local_fleet.running() as started:
        yield started


def _is_served(fleet):
    caller = caller_lib.Caller(fleet.entries[0].host, key=local_fleet.KEY)
    answer = caller.complete("a b", model=local_fleet.MODEL, max_tokens=2)
    return answer.is_complete


def _request(body, *, path="/v1/chat/completions"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: e\r\n"
        f"Authorization: Bearer {local_fleet.KEY}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    ).encode() + body


_CHAT = json.dumps(
    {
        "model": local_fleet.MODEL,
        "messages": [{"role": "user", "content": "a"}],
        "max_tokens": 1,
    }
).encode()


def _send(host, port, data, *, is_closed=True):
    with contextlib.closing(
        socket.create_connection((host, port), timeout=5)
    ) as sock:
        sock.settimeout(15)
        got = b""
        with contextlib.suppress(ConnectionError):
            sock.sendall(data)
            if is_closed:
                sock.shutdown(socket.SHUT_WR)
            while chunk := sock.recv(65_536):
                got += chunk
        return got


def test_http_request_of_any_bytes_gets_an_answer_or_a_close(fleet):
    @_few
    @hypothesis.given(
        data=mangled(_request(_CHAT), _request(b"{}", path="/services/x"))
    )
    def check(data):
        got = _send(fleet.entries[0].host, _HTTP_PORT, data)
        assert not got or got.startswith(b"HTTP/1.1 ")

    check()
    assert _is_served(fleet)


def test_http_body_of_any_json_gets_a_clear_error(fleet):
    chat = json.loads(_CHAT)

    @_few
    @hypothesis.given(
        value=_json_values
        | strategies.builds(
            lambda name, value: {**chat, name: value},
            strategies.sampled_from((*chat, "stream", "stop", "n")),
            _json_values,
        )
    )
    def check(value):
        body = json.dumps(value).encode()
        host = fleet.entries[0].host
        got = _send(host, _HTTP_PORT, _request(body), is_closed=False)
        head, _, answer = got.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        assert status < 500, got
        if status != 200:
            error = json.loads(answer)["error"]
            assert error["run"] == "not_run"
            assert error["message"]

    check()
    assert _is_served(fleet)


def test_peer_port_survives_any_bytes(fleet):
    agent = fleet.agents[0]
    port = agent.process.settings.process.peer_port

    @_few
    @hypothesis.given(data=mangled(*_FRAMES) | strategies.binary(max_size=50))
    def check(data):
        _send(agent.host, port, data)

    check()
    assert _is_served(fleet)


def test_authenticated_peer_with_any_bytes_harms_only_its_connection(fleet):
    agent = fleet.agents[0]
    settings = agent.process.settings.process
    identity = handshake.ProcessIdentity(
        process="stranger",
        role=connection_frames.Role.ENTRY,
        host="127.50.255.2",
        port=0,
        failure_domain="recife-a",
        shared_key=settings.shared_key.encode(),
    )

    @_few
    @hypothesis.given(data=mangled(*_FRAMES))
    def check(data):
        connection = wire.dial(
            agent.host, settings.peer_port, identity=identity
        )
        connection._outbox.append(data)
        connection.send(messages.Ping(sequence=1))
        gevent.sleep(0.01)
        connection.close("done")

    check()
    assert _is_served(fleet)
