"""Clients that misbehave at a port for peers, before any handshake.

Guards against a process that has no descriptor or memory left, since strangers
connect to its peer port and send nothing, garbage, or far too much; peers that
know the key must still get in.
"""

import sys

import gevent
from gevent import subprocess
import pytest

from dotterelgrade import connection_frames
from dotterelgrade import errors
from dotterelgrade import handshake
from dotterelgrade import wire
from dotterelgrade_standins import crowd

_ADDRESS = ("127.0.78.2", 17_462)
_BOUNDS = crowd.Bounds(growth_bytes=16 * 1024 * 1024, descriptors=200)
_TRIES = 3
_SERVER = """
import resource
resource.setrlimit(resource.RLIMIT_NOFILE, (256, 256))
from gevent import monkey
monkey.patch_all()
import sys
import gevent
from dotterelgrade import connection_frames
from dotterelgrade import handshake
from dotterelgrade import wire

identity = handshake.ProcessIdentity(
    process="served", role=connection_frames.Role.AGENT, host=sys.argv[1],
    port=int(sys.argv[2]), failure_domain="a", shared_key=b"k" * 16)
with wire.listening(lambda peer: list(peer), identity=identity):
    print("ready", flush=True)
    gevent.sleep(300)
"""


def _can_connect():
    identity = handshake.ProcessIdentity(
        process="peer",
        role=connection_frames.Role.AGENT,
        host="127.0.78.3",
        port=0,
        failure_domain="a",
        shared_key=b"k" * 16,
    )
    for _ in range(_TRIES):
        try:
            wire.dial(*_ADDRESS, identity=identity).close("done")
        except errors.DotterelgradeError:
            continue
        return True
    return False


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
        assert _can_connect()
        yield crowd.Watch(child.pid)
    finally:
        child.kill()
        child.wait()


# A frame whose text is announced as 16 MiB long.
_HUGE = b"\x92\xa5Hello\xdb\x00\xff\xff\xff"
_CROWDS = {
    "nothing": (crowd.send(b""), 1_000),
    "garbage": (crowd.send(b"\xc1" * 100), 1_000),
    "announced-then-nothing": (crowd.send(_HUGE), 1_000),
    "just-below-what-is-kept": (crowd.send(_HUGE + b"a" * 60_000), 1_000),
    "without-end": (crowd.send(_HUGE + b"a" * 1_000_000, times=10), 200),
    "nested": (crowd.send(b"\x91" * 65_000), 200),
    "one-byte-at-a-time": (
        crowd.send_slowly(_HUGE + b"a" * 1_000, pause_s=0.02),
        1_000,
    ),
}


@pytest.mark.parametrize("name", _CROWDS)
def test_a_crowd_does_not_shut_out_a_peer(watch, name):
    behave, clients = _CROWDS[name]
    with crowd.gathered(_ADDRESS, crowd.come_again(behave), clients=clients):
        assert _can_connect()
        assert watch.faults(_BOUNDS) == []
    assert _can_connect()
