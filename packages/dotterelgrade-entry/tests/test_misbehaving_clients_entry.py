"""Clients that misbehave at the HTTP interface of a running entry.

Guards against an entry that has no memory, connection or processor time left
for ordinary callers: bodies of legal size that stop short of their end or come
in chunks of a byte, connections that are held, requests whose answers nobody
reads.
"""

import contextlib
import hashlib
import json
import resource
import sys
import uuid

import gevent
from gevent import subprocess
import gevent.socket
import geventhttpclient
import pytest

from dotterelgrade import contract_records
from dotterelgrade import grammar
from dotterelgrade import log_client
from dotterelgrade_standins import crowd
from dotterelgrade_standins import hosts_service
from dotterelgrade_standins import log_service
from dotterelgrade_standins import web

_HOST = "127.10.5.1"
_PORT = 17_465
_BODY_BYTES = 1024 * 1024
_BOUNDS = crowd.Bounds(growth_bytes=48 * 1024 * 1024, descriptors=200)
_KEY = "key-bench"
_CONTRACT = (
    "model name=inlay layers=2  # studio: drafts",
    "workspace name=bench key=sha256:"
    f"{hashlib.sha256(_KEY.encode()).hexdigest()}"
    " rate=100000/s concurrent=10000  # bench: craftsmen",
    "service name=deposits to=order repeat=never  # orders: money",
)
_SETTINGS = {
    "process": {
        "host": _HOST,
        "peer_port": 17_466,
        "admin_port": 17_467,
        "failure_domain": "recife-a",
        "shared_key": "k" * 16,
    },
    "platform": {
        "log_url": f"http://{_HOST}:18082",
        "hosts_url": f"http://{_HOST}:18083/hosts",
    },
    "http_port": _PORT,
    "max_connections": 100,
}


def _write_contract(log):
    lines = [grammar.parse(text).unwrap()[0] for text in _CONTRACT]
    record = contract_records.EditRecord(
        id=uuid.uuid4().hex,
        author="operations",
        edits=tuple(
            contract_records.Edit(
                identity=line.identity, text=line.text, seen=0
            )
            for line in lines
        ),
        base=0,
    )
    log_service.LocalLog(log).append(
        log_client.CONTRACT_STREAM, contract_records.encode(record)
    )


def _status(**headers):
    client = geventhttpclient.HTTPClient(
        _HOST, _PORT, connection_timeout=20, network_timeout=20
    )
    try:
        response = client.get(
            "/v1/models", headers={"Authorization": f"Bearer {_KEY}", **headers}
        )
        response.read()
        return response.status_code
    except OSError:
        return 0
    finally:
        client.close()


@pytest.fixture(scope="module")
def platform():
    with contextlib.ExitStack() as stack:
        log = log_service.LogService()
        _write_contract(log)
        hosts = hosts_service.HostsService([])
        stack.enter_context(web.serving(log, host=_HOST, port=18_082))
        stack.enter_context(web.serving(hosts, host=_HOST, port=18_083))
        yield


@pytest.fixture
def watch(platform, tmp_path):
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(_SETTINGS))
    child = subprocess.Popen(
        [sys.executable, "-m", "dotterelgrade_entry.cli", "serve"]
        + ["--settings", str(path)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        with gevent.Timeout(30):
            while _status() != 200:
                gevent.sleep(0.1)
        resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (256, 256))
        yield crowd.Watch(child.pid)
    finally:
        child.kill()
        child.wait()


def _post(path="/v1/completions", *, key=_KEY, body=b"", **headers):
    fields = {"Host": "a", "Authorization": f"Bearer {key}", **headers}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body


def _short(path, key=_KEY):
    return _post(
        path,
        key=key,
        body=b" " * (_BODY_BYTES - 1),
        **{"Content-Length": _BODY_BYTES},
    )


_IN_CHUNKS = _post(
    body=b"1\r\n \r\n" * 100_000, **{"Transfer-Encoding": "chunked"}
)
_FIELDS = b"".join(b"a%d: b\r\n" % number for number in range(1_400))
_LIST = f"GET /v1/models HTTP/1.1\r\nAuthorization: Bearer {_KEY}\r\n".encode()
_CROWDS = {
    "body-just-short": (crowd.send(_short("/v1/completions")), 90),
    "call-body-just-short": (crowd.send(_short("/services/deposits/a")), 90),
    "body-of-a-stranger": (
        crowd.send_slowly(_short("/v1/completions", key="none"), pause_s=0.1),
        300,
    ),
    "unknown-path-body-that-stops": (
        crowd.send(_short("/nowhere")),
        300,
    ),
    "body-in-chunks-of-a-byte": (crowd.send(_IN_CHUNKS), 90),
    "body-without-end": (
        crowd.send(
            _post(**{"Transfer-Encoding": "chunked"})
            + b"10000\r\n"
            + b" " * 65_536
            + b"\r\n",
        ),
        300,
    ),
    "trailer-without-end": (
        crowd.send(
            _post(**{"Transfer-Encoding": "chunked"})
            + b"0\r\n"
            + b"a: b\r\n" * 200_000,
        ),
        50,
    ),
    "idle": (crowd.send(b""), 300),
    "half-a-head": (crowd.send(_LIST), 300),
    "many-fields": (crowd.send(_LIST + _FIELDS), 90),
    "head-without-end": (
        crowd.send(_LIST + (b"a: " + b"b" * 60_000 + b"\r\n") * 90),
        30,
    ),
    "pipelined-not-read": (crowd.send((_LIST + b"\r\n") * 3_000), 90),
}


@pytest.mark.parametrize("name", _CROWDS)
def test_a_crowd_leaves_an_ordinary_caller_served(watch, name):
    behave, clients = _CROWDS[name]
    reads = "not-read" not in name
    with crowd.gathered((_HOST, _PORT), behave, clients=clients, reads=reads):
        assert _status() == 200
        assert watch.faults(_BOUNDS) == []
    assert _status() == 200


def test_a_single_request_of_many_fields_is_served(watch):
    fields = {f"a{number}": "b" for number in range(1_200)}
    assert _status(**fields) == 200


def test_a_single_body_in_chunks_of_a_byte_is_read(watch):
    body = json.dumps({"model": "none", "prompt": "a " * 5_000}).encode()
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body) + b"0\r\n\r\n"
    with gevent.socket.create_connection((_HOST, _PORT), 20) as sock:
        sock.sendall(_post(body=chunks, **{"Transfer-Encoding": "chunked"}))
        answer = sock.recv(65_536)
    assert answer.startswith(b"HTTP/1.1 404")
