"""A real front process with lowered limits, and clients that misbehave."""

import contextlib
import dataclasses
import os
import pathlib
import random
import re
import resource

import gevent
from gevent import socket

from dotterelgrade_front import front_settings
from dotterelgrade_platform import operator_codec
from dotterelgrade_platform import store as store_names
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import configuration
from dotterelgrade_standins import loopback_range
from dotterelgrade_standins import platform_backends
from dotterelgrade_standins import platform_store
from dotterelgrade_standins import soak_configuration
from dotterelgrade_standins import soak_evidence
from dotterelgrade_standins import soak_fleet

# The memory of the smallest host.
SMALLEST_BYTES = 152e6
# Longer than any test: the crowd stays until its test ends.
FOREVER_S = 600.0
# An answer that takes longer counts as none.
_ANSWER_TIMEOUT_S = 20.0
_START_TIMEOUT_S = 20.0
_POLL_S = 0.02
# A front without requests uses at most a few ticks of 10 ms in this time.
_IDLE_POLL_S = 0.3
_IDLE_TICKS = 3
_STORE_HOST, _FRONT_HOST, _BACKEND_HOST = 1, 2, 3
_CROWD_HOST, _ORDINARY_HOST = 8, 9
_CALLERS_PORT, _READY_PORT, _PEER_PORT, _METRICS_PORT = 7001, 7002, 7003, 9464
LIMITS = configuration.ClientLimits(
    header_timeout_s=FOREVER_S, idle_timeout_s=FOREVER_S
)


class Site:
    """One front before one plain backend server that echoes bodies."""

    def __init__(self, hosts, front, store):
        self._hosts = hosts
        self._store = store
        self.front = front
        self.clients = []
        self._senders = []

    @property
    def pid(self):
        return self.front._child.pid

    @property
    def peak_bytes(self):
        """The largest resident memory since the start."""
        return self._status("VmHWM") * 1024

    @property
    def resident_bytes(self):
        return self._status("VmRSS") * 1024

    @property
    def descriptors(self):
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def _status(self, name):
        text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        return int(re.search(rf"{name}:\s+(\d+)", text)[1])

    def limit_descriptors(self, number):
        resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (number, number))

    def connect(self, *, source=_CROWD_HOST, receive_bytes=None):
        """Returns a connection that stays open until the test ends."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.clients.append(sock)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        sock.settimeout(_ANSWER_TIMEOUT_S)
        sock.bind((self._hosts.host(source), 0))
        host, _, port = self.front.settings.callers_address.rpartition(":")
        sock.connect((host, int(port)))
        return sock

    def crowd(self, number, data, *, pieces=None, **options):
        """Opens connections that send bytes and then stay open.

        A client whose connection the front closes is content with that.
        """
        for _ in range(number):
            try:
                sock = self.connect(**options)
            except OSError:
                continue
            sender = gevent.spawn(_send, sock, pieces or [data])
            self._senders.append(sender)

    def wait_for_senders(self, *, timeout_s=_ANSWER_TIMEOUT_S):
        """Waits until the clients have sent all that is accepted."""
        gevent.joinall(self._senders, timeout=timeout_s)

    def settle(self):
        """Waits until the front works on nothing, at most a short while."""
        with gevent.Timeout(_ANSWER_TIMEOUT_S, False):
            self.wait_for_senders()
            before = -1
            while (spent := self._processor_ticks()) - before > _IDLE_TICKS:
                before = spent
                gevent.sleep(_IDLE_POLL_S)

    def _processor_ticks(self):
        text = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return int(fields[11]) + int(fields[12])

    def leave(self):
        """Closes the connections of the crowd."""
        gevent.killall(self._senders)
        for sock in self.clients:
            sock.close()
        self.clients.clear()

    def ask(self, path="/safe/x", *, body=b"order"):
        """Sends an ordinary request; returns the status, or 0 for none."""
        rows = head(path, length=len(body))
        try:
            with self.connect(source=_ORDINARY_HOST) as sock:
                sock.sendall(rows + body)
                return _read_status(sock)
        except OSError:
            return 0

    def configure(self, limits):
        """Writes the first configuration."""
        _write_configuration(self._store, limits)

    def exit_code(self):
        """Waits for the end of the process; None if it goes on."""
        with gevent.Timeout(_ANSWER_TIMEOUT_S, False):
            return self.front._child.wait()

    def wait_until_serving(self, statuses=(200,)):
        """Waits for the first answer with one of the statuses."""
        with gevent.Timeout(_START_TIMEOUT_S):
            while self.ask() not in statuses:
                gevent.sleep(_POLL_S)


def head(path="/safe/x", *, length=None, rows=b"", request_id=b"r1"):
    """Returns a head that the front accepts; `rows` are added to it."""
    framing = b"transfer-encoding: chunked\r\n"
    if length is not None:
        framing = b"content-length: %d\r\n" % length
    return (
        b"POST %s HTTP/1.1\r\nhost: %s\r\nauthorization: Bearer %s\r\n"
        b"x-dotterelgrade-attempt-id: %s\r\n"
        % (
            path.encode(),
            soak_configuration.HOST.encode(),
            soak_configuration.KEY.encode(),
            request_id,
        )
        + framing
        + rows
        + b"\r\n"
    )


def _send(sock, pieces):
    with contextlib.suppress(OSError):
        for piece in pieces:
            sock.sendall(piece)
            gevent.sleep(0)


def _read_status(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        received = sock.recv(65_536)
        if not received:
            return 0
        data += received
    return int(data.split(b" ", 2)[1])


@contextlib.contextmanager
def running(directory, *, limits=LIMITS, configured=True, **changes):
    """Runs a front with other settings for the body of the context."""
    with contextlib.ExitStack() as stack:
        own = stack.enter_context(loopback_range.reserved())
        store = platform_store.PlatformStore()
        target = stack.enter_context(store.serving(own.host(_STORE_HOST)))
        if configured:
            _write_configuration(store, limits)
        stack.enter_context(_backend(store).running(own.host(_BACKEND_HOST)))
        settings = _settings(own, target, changes)
        front = soak_fleet.FrontProcess(settings, directory=directory)
        front.start()
        stack.callback(front.kill)
        site = Site(own, front, store)
        stack.callback(site.leave)
        site.wait_until_serving((200,) if configured else (503,))
        yield site


def _settings(own, target, changes):
    host = own.host(_FRONT_HOST)
    return front_settings.FrontSettings(
        **{
            "node": "front",
            "host": host,
            "failure_domain": "a",
            "callers_address": f"{host}:{_CALLERS_PORT}",
            "ready_address": f"{host}:{_READY_PORT}",
            "peer_port": _PEER_PORT,
            "store_address": f"{target[0]}:{target[1]}",
            "memory_bytes": SMALLEST_BYTES,
            "grace_s": 5.0,
            **changes,
        }
    )


def _write_configuration(store, limits):
    made = soak_configuration.make(1, soak_configuration.Variant())
    body = operator_codec.configuration_body(
        dataclasses.replace(made, limits=limits)
    )
    topic, key = store_names.CONFIGURATION_TOPIC, store_names.CONFIGURATION_KEY
    store.write(topic, key, body)


def _backend(store):
    entry = backend_server.BackendServer(
        id="plain-a-0",
        service="plain",
        address="",
        failure_domain="a",
        availability=backend_server.Availability.READY,
        slots=64,
        started_ms=1,
    )
    return platform_backends.BackendStandIn(
        entry,
        store=store,
        evidence=soak_evidence.Evidence(),
        rng=random.Random(1),
    )
