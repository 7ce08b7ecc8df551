"""Clients that misbehave at a readiness or metrics address.

Guards against a process that has no descriptor or memory left, or hangs, since
anybody who reaches that address opens connections, leaves requests open, sends
without end or does not read. The load balancer's check must be answered
meanwhile.
"""

import sys

import gevent
from gevent import subprocess
import geventhttpclient
import pytest

from dotterelgrade_standins import crowd

_ADDRESS = ("127.0.78.1", 17_461)
_BOUNDS = crowd.Bounds(growth_bytes=24 * 1024 * 1024, descriptors=200)
# The process has few descriptors, and large answers.
_SERVER = """
import resource
resource.setrlimit(resource.RLIMIT_NOFILE, (256, 256))
from gevent import monkey
monkey.patch_all()
import sys
import gevent
from dotterelgrade import admin
from dotterelgrade import journal
from dotterelgrade import metrics
from dotterelgrade import wsgi

class Process:
    def __init__(self):
        self.metrics = metrics.Metrics()
        self.journal = journal.Journal()
        self.is_ready = True
        family = self.metrics.counter("things", "Things.", ("kind",))
        for number in range(3000):
            family.labels(f"a-long-name-of-a-kind-of-things-{number}").inc()

    def dump(self):
        return {"text": "x" * 1_000_000}

app = admin.AdminApp(Process())
app.route("GET", "ready", app.ready)
with wsgi.serving(app, host=sys.argv[1], port=int(sys.argv[2])):
    print("ready", flush=True)
    gevent.sleep(300)
"""


def _get(path):
    client = geventhttpclient.HTTPClient(
        *_ADDRESS, connection_timeout=20, network_timeout=20
    )
    try:
        response = client.get(path)
        response.read()
        return response.status_code
    finally:
        client.close()


@pytest.fixture
def watch():
    child = subprocess.Popen(
        [sys.executable, "-c", _SERVER, _ADDRESS[0], str(_ADDRESS[1])],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        with gevent.Timeout(30):
            assert child.stdout.readline() == b"ready\n"
        assert _get("/metrics") == 200
        assert _get("/state") == 200
        yield crowd.Watch(child.pid)
    finally:
        child.kill()
        child.wait()


def _fields(count):
    return b"".join(b"a%d: b\r\n" % number for number in range(count))


_GET = b"GET /ready HTTP/1.1\r\nHost: a\r\n"
_POST = b"POST /nowhere HTTP/1.1\r\nHost: a\r\n"
_CHUNKED = (
    _POST + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 10_000
)
_CROWDS = {
    "idle": (crowd.send(b""), 1_000),
    "half-a-line": (crowd.send(b"GET /re"), 1_000),
    "half-a-head": (crowd.send(_GET), 1_000),
    "unknown-path-then-idle": (
        crowd.send(b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"),
        1_000,
    ),
    "head-without-end": (
        crowd.send(_GET + (b"a: " + b"b" * 60_000 + b"\r\n") * 90),
        30,
    ),
    "one-byte-at-a-time": (
        crowd.send_slowly(_GET + _fields(100), pause_s=0.05),
        300,
    ),
    "many-fields": (crowd.send(_GET + _fields(1_700)), 200),
    "body-with-a-length": (
        crowd.send(
            _POST + b"Content-Length: 99999999999\r\n\r\n" + b"a" * 4_000_000
        ),
        300,
    ),
    "body-without-a-length": (
        crowd.send(_POST + b"\r\n" + b"a" * 4_000_000),
        50,
    ),
    "body-in-chunks-of-a-byte": (crowd.send(_CHUNKED, times=1_000), 300),
    "body-that-stops": (
        crowd.send(_POST + b"Content-Length: 100\r\n\r\n" + b"a" * 99),
        1_000,
    ),
}


@pytest.mark.parametrize("name", _CROWDS)
def test_a_crowd_leaves_the_check_answered(watch, name):
    behave, clients = _CROWDS[name]
    with crowd.gathered(_ADDRESS, behave, clients=clients):
        assert _get("/ready") == 200
        assert watch.faults(_BOUNDS) == []
    assert _get("/ready") == 200


@pytest.mark.parametrize("path", ["metrics", "state", "ready"])
@pytest.mark.parametrize("requests", [1, 2_000])
def test_answers_that_nobody_reads_are_bounded(watch, path, requests):
    data = f"GET /{path} HTTP/1.1\r\nHost: a\r\n\r\n".encode() * requests
    with crowd.gathered(_ADDRESS, crowd.send(data), clients=150, reads=False):
        assert _get("/ready") == 200
        assert watch.faults(_BOUNDS) == []
    assert _get("/ready") == 200


def test_connections_that_come_and_go_leave_nothing(watch):
    with crowd.gathered(
        _ADDRESS, crowd.come_again(crowd.send(_GET)), clients=400
    ):
        assert _get("/ready") == 200
        assert watch.faults(_BOUNDS) == []
