"""Clients that misbehave at the two ports of a running agent.

Guards against an agent that strangers leave without descriptors, so that its
entries lose it; its parts must pass the limits on to both sockets.
"""

import json
import resource
import sys

import gevent
from gevent import subprocess
import geventhttpclient
import pytest

from dotterelgrade import connection_frames
from dotterelgrade import errors
from dotterelgrade import handshake
from dotterelgrade import wire
from dotterelgrade_standins import crowd

_HOST = "127.30.252.1"
_PEER_PORT = 17_463
_ADMIN_PORT = 17_464
_BOUNDS = crowd.Bounds(growth_bytes=24 * 1024 * 1024, descriptors=200)
_SETTINGS = {
    "process": {
        "host": _HOST,
        "peer_port": _PEER_PORT,
        "admin_port": _ADMIN_PORT,
        "failure_domain": "recife-a",
        "shared_key": "k" * 16,
    },
    "platform": {
        "log_url": "http://127.0.0.1:1",
        "hosts_url": "http://127.0.0.1:1",
    },
    "backends": [{"name": "e", "kind": "engine", "url": "http://127.0.0.1:1"}],
}


def _has_answer():
    client = geventhttpclient.HTTPClient(
        _HOST, _ADMIN_PORT, connection_timeout=20, network_timeout=20
    )
    try:
        return client.get("/healthz").status_code == 200
    except OSError:
        return False
    finally:
        client.close()


def _can_connect():
    identity = handshake.ProcessIdentity(
        process="peer",
        role=connection_frames.Role.AGENT,
        host="127.30.252.2",
        port=0,
        failure_domain="recife-a",
        shared_key=b"k" * 16,
    )
    for _ in range(3):
        try:
            wire.dial(_HOST, _PEER_PORT, identity=identity).close("done")
        except errors.DotterelgradeError:
            continue
        return True
    return False


@pytest.fixture
def watch(tmp_path):
    path = tmp_path / "agent.json"
    path.write_text(json.dumps(_SETTINGS))
    child = subprocess.Popen(
        [sys.executable, "-m", "dotterelgrade_agent.cli", "serve"]
        + ["--settings", str(path)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        with gevent.Timeout(30):
            while not _has_answer():
                gevent.sleep(0.1)
        resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (256, 256))
        yield crowd.Watch(child.pid)
    finally:
        child.kill()
        child.wait()


@pytest.mark.parametrize(
    "port", [_PEER_PORT, _ADMIN_PORT], ids=["peers", "admin"]
)
@pytest.mark.parametrize(
    "data", [b"", b"GET /readyz HTTP/1.1\r\n"], ids=["nothing", "half-a-head"]
)
def test_a_crowd_at_one_port_leaves_both_open(watch, port, data):
    behave = crowd.come_again(crowd.send(data))
    with crowd.gathered((_HOST, port), behave, clients=1_000):
        assert _has_answer()
        assert _can_connect()
        assert watch.faults(_BOUNDS) == []
    assert _has_answer()
