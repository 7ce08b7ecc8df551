"""A front in the test process, with scripted backend servers."""

import contextlib
import dataclasses
import itertools
import random
import socket as std_socket

import gevent
from gevent import event
from gevent import server as gevent_server
from gevent import socket

from dotterelgrade_front import front_state
from dotterelgrade_front import request_handler
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import configuration
from dotterelgrade_routing import feed_freshness
from dotterelgrade_routing import layer_range

WAIT_S = 5.0


# Below the ports that the kernel gives to outgoing connections.
_RANGE = range(12_000, 32_000)
_BLOCK_PORTS = 2_000


def _claim_block():
    """Returns the ports of a block that no other run uses, and its guard.

    The first port of the block stays bound as long as this run lives.
    """
    starts = list(_RANGE[::_BLOCK_PORTS])
    random.SystemRandom().shuffle(starts)
    for start in starts:
        guard = std_socket.socket()
        try:
            guard.bind(("127.0.0.1", start))
        except OSError:
            guard.close()
            continue
        return range(start + 1, start + _BLOCK_PORTS), guard
    raise AssertionError("no free block of ports")


_BLOCK, _GUARD = _claim_block()
_PORTS = itertools.cycle(_BLOCK)


def free_port():
    """Returns an unused port, a different one each time."""
    for port in _PORTS:
        with std_socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
    raise AssertionError("no free port")


def until(condition):
    """Waits until a condition holds."""
    with gevent.Timeout(WAIT_S):
        while not condition():
            gevent.sleep(0.01)


@dataclasses.dataclass
class Arrival:
    """A request received by a scripted backend server."""

    line: bytes
    headers: dict
    body: bytes


class Backend:
    """A backend server that runs one script per request.

    A script gets the socket and the arrival; the last one repeats.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.arrivals = []
        self.closed = event.Event()
        self._server = gevent_server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _):
        data = b""
        while b"\r\n\r\n" not in data:
            piece = sock.recv(65536)
            if not piece:
                return
            data += piece
        head, _, body = data.partition(b"\r\n\r\n")
        line, *rows = head.split(b"\r\n")
        headers = dict(row.split(b": ", 1) for row in rows)
        while len(body) < int(headers.get(b"content-length", 0)):
            body += sock.recv(65536)
        arrival = Arrival(line=line, headers=headers, body=body)
        self.arrivals.append(arrival)
        script = self.scripts[0]
        if len(self.scripts) > 1:
            self.scripts.pop(0)
        try:
            script(sock, arrival)
        finally:
            sock.close()
            self.closed.set()


def responding(body=b"done", status=b"200 OK", headers=b"seal: 1\r\n"):
    """A script that sends a complete response."""

    def script(sock, arrival):
        request_id = arrival.headers.get(b"request-id", b"")
        sock.sendall(
            b"HTTP/1.1 "
            + status
            + b"\r\n"
            + headers
            + b"request-id: "
            + request_id
            + b"\r\n"
            + b"content-length: "
            + str(len(body)).encode()
            + b"\r\n\r\n"
            + body
        )

    return script


def refusing(culprit=b""):
    """A script that states that the request has not run."""
    rows = b"not-run: 1\r\n"
    if culprit:
        rows += b"culprit: " + culprit + b"\r\n"
    return responding(b"", b"503 Busy", rows)


def resetting(sock, _):
    """A script that resets the connection without a response."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, linger)


def silent(sock, _):
    """A script that sends nothing and waits for the peer to close."""
    with contextlib.suppress(OSError):
        while sock.recv(65536):
            pass


def event_bytes(number):
    return b"id: %d\ndata: token %d\n\n" % (number, number)


def streaming(first, last, *, torn=b"", end=True, pause_s=0.0, after=None):
    """A script that sends events in chunks, then ends or breaks the stream."""

    def script(sock, arrival):
        request_id = arrival.headers.get(b"request-id", b"")
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nseal: 1\r\n"
            b"content-type: text/event-stream\r\n"
            b"request-id: " + request_id + b"\r\n"
            b"transfer-encoding: chunked\r\n\r\n"
        )
        for number in range(first, last + 1):
            data = event_bytes(number)
            sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
            gevent.sleep(pause_s)
        if torn:
            sock.sendall(b"%x\r\n%s\r\n" % (len(torn), torn))
        if after is not None:
            after(sock, arrival)
        if end:
            sock.sendall(b"0\r\n\r\n")

    return script


REPORT = backend_server.EngineReport(
    layers=None,
    accelerator="kind",
    loading=False,
    orders=0,
    started_ms=0,
    waiting=0,
    running=0,
    used=0,
    total=1e6,
    slowness=1.0,
    stalled={},
)

ENGINE = configuration.Engine(
    layers=8,
    layer_mb=100,
    token_layer_bytes=1_000,
    step_s=0.001,
    prefill_tokens_per_s=1e5,
    load_s=1.0,
    loads_at_once=4,
    mean_prompt_tokens=10,
    mean_answer_tokens=10,
    accelerators=(
        configuration.Accelerator(
            name="kind", memory_mb=2_000, step_factor=1.0, prefill_factor=1.0
        ),
    ),
)


def route(name, **rest):
    rest.setdefault(
        "services", (configuration.ServiceWeight(service="plain", weight=1),)
    )
    for flag in ("idempotent", "streaming", "resumable", "public"):
        rest.setdefault(flag, False)
    rest.setdefault("timeout_s", 3.0)
    rest.setdefault("objective_s", 0.5)
    rest.setdefault("max_attempts", 2)
    return configuration.Route(
        name=name,
        host="shop.example",
        path_prefix=f"/{name}/",
        longest_pause_s=0.25,
        priority=1,
        **rest,
    )


_MODEL = (configuration.ServiceWeight(service="model", weight=1),)
CONFIGURATION = configuration.Configuration(
    version=1,
    routes=(
        route("safe", idempotent=True),
        route("unsafe"),
        route("public", public=True, idempotent=True),
        route("brief", timeout_s=0.2, objective_s=0.2),
        route("stream", streaming=True, resumable=True, services=_MODEL),
        route("once", streaming=True, services=_MODEL),
    ),
    services=(
        configuration.Service(name="plain", max_connections=9, engine=None),
        configuration.Service(name="model", max_connections=9, engine=ENGINE),
    ),
    limits=configuration.ClientLimits(
        header_bytes=2_000,
        body_bytes=5_000,
        header_timeout_s=0.3,
        idle_timeout_s=2.0,
    ),
    workspaces=(
        configuration.Workspace(name="bench", api_keys=("secret",), priority=0),
    ),
)


def with_ranks(current):
    """Returns a configuration whose route `once` is the most urgent one."""
    return dataclasses.replace(
        current,
        routes=tuple(
            dataclasses.replace(r, priority=0) if r.name == "once" else r
            for r in current.routes
        ),
    )


class FrontUnderTest:
    """A request handler behind a listening socket."""

    def __init__(self, settings, platform):
        self.state = front_state.FrontState(settings, platform=platform)
        self.state.known_configuration.configuration = CONFIGURATION
        self.state.known_configuration.freshness = feed_freshness.FeedFreshness(
            current_at=float("inf"), source=feed_freshness.ContactSource.STORE
        )
        # Makes the random choice among chains pick the first one.
        self.state.rng.random = lambda: 0.0
        self.handler = request_handler.RequestHandler(self.state)
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", 0), self.handler.serve_connection
        )
        self._server.start()
        self.backends = []

    def stop(self):
        self._server.stop(timeout=0)
        for backend in self.backends:
            backend.stop()

    def add(self, server_id, *scripts, service="plain", layers=None, **rest):
        backend = Backend(*scripts)
        self.backends.append(backend)
        layers_held = (
            None if layers is None else layer_range.LayerRange(*layers)
        )
        rest.setdefault("failure_domain", "a")
        self.state.fleet.put(
            backend_server.BackendServer(
                id=server_id,
                service=service,
                address=backend.address,
                availability=backend_server.Availability.READY,
                slots=4,
                accelerator="" if layers is None else "kind",
                layers=layers_held,
                **rest,
            )
        )
        return backend

    def connect(self):
        return socket.create_connection(
            ("127.0.0.1", self._server.server_port), timeout=WAIT_S
        )

    def send(self, path, *, method="GET", body=b"", sock=None, **headers):
        sock = sock or self.connect()
        rows = {"host": "shop.example", "key": "secret", "request-id": "r1"}
        rows.update({k.replace("_", "-"): v for k, v in headers.items()})
        if body:
            rows["content-length"] = str(len(body))
        head = "".join(
            f"{n}: {v}\r\n" for n, v in rows.items() if v is not None
        )
        sock.sendall(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        return sock

    def ask(self, path, **rest):
        """Sends a request and returns status, headers and body."""
        with self.send(path, **rest) as sock:
            return read_response(sock)


def read_response(sock):
    """Returns status, headers and body; a truncated body is None."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65536)
        if not piece:
            return None, {}, None
        data += piece
    head, _, rest = data.partition(b"\r\n\r\n")
    line, *rows = head.split(b"\r\n")
    headers = dict(row.split(b": ", 1) for row in rows)
    status = int(line.split()[1])
    if b"transfer-encoding" in headers:
        while not rest.endswith(b"0\r\n\r\n"):
            piece = sock.recv(65536)
            if not piece:
                return status, headers, None
            rest += piece
        return status, headers, _decode_chunked(rest)
    while len(rest) < int(headers.get(b"content-length", 0)):
        rest += sock.recv(65536)
    return status, headers, rest


def _decode_chunked(data):
    body = b""
    while data:
        size, _, data = data.partition(b"\r\n")
        length = int(size, 16)
        body += data[:length]
        data = data[length + 2 :]
    return body
