"""Stand-ins of model workers that hold layers and run requests on paths.

Each worker serves at an address of its own; a request runs through the workers
of its path, in the process of the case. What the pages leave open, they do as
sound workers.
"""

from collections.abc import Callable
import dataclasses
import json
import random
import socket
import struct
import threading
import time

import deployment
import plain_servers

LAYERS = 80
LAYER_MB = 1750.0
LOAD_S = 14.0
# Loads before the first request take a tenth of the time.
EARLY_LOAD_FACTOR = 0.1
KINDS_MB = {"a100": 72000.0, "v100": 14400.0, "l4": 21600.0}
_PACES = {"a100": (2.4, 3.2), "v100": (5.3, 7.9), "l4": (16.0, 8.2)}
_TOKENS_PER_EVENT = 4
_EVENT_S = 0.02
_PREFILL_S = 0.1
_POLL_S = 0.02
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found"}
_REASONS |= {409: "Conflict", 421: "Misdirected Request"}
_REASONS |= {500: "Internal Server Error", 503: "Service Unavailable"}


def engine_description(kinds: dict[str, float]) -> dict:
    """Returns what a service says of its workers."""
    return {
        "slots": 96,
        "kv_cache_tokens": 50000,
        "kv_token_bytes": 1180000,
        "link_mbps": 400000.0,
        "stride": 4,
        "models": [{"name": "m0", "pace": 1.0, "load_s": LOAD_S}],
        "step_ms": 1.02,
        "per_seq_ms": 0.00918,
        "context_per_k": 0.0123,
        "read_per_s": 164000.0,
        "pairs_per_m": 0.199,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "loads_at_once": 6,
        "delays": [],
        "usual": {"prompt": 775, "answer": 216},
        "layers": LAYERS,
        "layer_mb": LAYER_MB,
        "act_bytes": 59000,
        "pipe_mbps": 13000.0,
        "kinds": [
            {
                "name": name,
                "mb": mb,
                "pace": _PACES[name][0],
                "read_x": _PACES[name][1],
            }
            for name, mb in kinds.items()
        ],
    }


@dataclasses.dataclass(frozen=True)
class Hop:
    """A worker's part of a path."""

    address: str
    first: int
    end: int


def _parse_hops(text: str) -> tuple[Hop, ...]:
    hops = []
    for part in text.split(","):
        address, _, layers = part.strip().partition("=")
        first, _, end = layers.partition("-")
        hops.append(Hop(address, int(first), int(end)))
    return tuple(hops)


@dataclasses.dataclass
class _Stream:
    hops: tuple[Hop, ...]
    incarnations: dict[str, str]
    waits_for: str = ""


class Fleet:
    """All model workers of a case.

    Attributes:
        on_arrival: Called with a request's headers when it reaches a worker.
        on_write: Called with them and the path when the first token is due.
        on_excess: Called when a worker is ordered to hold too many layers.
    """

    def __init__(self, made: deployment.Deployment) -> None:
        """Initializes a fleet without workers."""
        self.made = made
        self.by_address: dict[str, Engine] = {}
        self.requests_came = False
        self.on_arrival: Callable[[Engine, dict], None] = lambda *_: None
        self.on_write: Callable[[dict, tuple[Hop, ...]], None] = lambda *_: None
        self.on_excess: Callable[[Engine, int, int], None] = lambda *_: None

    @property
    def all_layers_held(self) -> bool:
        """Whether the workers that are not loading hold every layer."""
        held = set()
        for engine in self.by_address.values():
            if engine.alive and engine.layers and not engine.busy:
                held.update(range(*engine.layers))
        return len(held) == LAYERS


class Engine:
    """A model worker; `start` gives it an incarnation."""

    def __init__(
        self,
        fleet: Fleet,
        *,
        name: str,
        service: str,
        kind: str,
        zone: str,
        address: tuple[str, int],
    ) -> None:
        """Initializes a worker that is not started."""
        self._fleet = fleet
        self._name = name
        self._service = service
        self._zone = zone
        self._starts = 0
        self._listener: socket.socket | None = None
        self._socks: set[socket.socket] = set()
        self._streams: dict[str, _Stream] = {}
        self._bind = address
        self.kind = kind
        self.address = ""
        self.alive = False
        # Share of its requests that it answers with a 500.
        self.errors = 0.0
        self.server_id = ""
        self.born = 0
        self.sequence = 0
        self.busy = False
        self.layers: tuple[int, int] | None = None

    def start(self) -> None:
        """Starts a new incarnation, empty, and registers it."""
        self._listener = socket.create_server(self._bind)
        host, port = self._listener.getsockname()
        # It comes back at the address that it had.
        self._bind = (host, port)
        self.address = f"{host}:{port}"
        self._starts += 1
        self.server_id = f"i-{self._name}-{self._starts}"
        self.born = int(time.time() * 1000)
        self.sequence, self.busy, self.layers = 0, False, None
        self.alive = True
        self._fleet.by_address[self.address] = self
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()
        self._register()

    def crash(self) -> None:
        """Ends at once; its entry goes after three heartbeats of silence."""
        if not self.alive:
            return
        self.alive = False
        self._fleet.made.record.write(f"worker {self.server_id}: crashes")
        # A thread that waits in accept would keep the port open.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in list(self._socks):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            sock.close()
        lost = self.server_id
        timer = threading.Timer(
            3 * deployment.HEARTBEAT_S,
            self._fleet.made.write_server,
            (lost, None),
        )
        timer.daemon = True
        timer.start()

    def holds(self, hop: Hop) -> bool:
        """Returns whether it holds its part of a path."""
        if not self.layers or self.busy:
            return False
        return self.layers[0] <= hop.first and hop.end <= self.layers[1]

    def _layers_field(self) -> dict:
        if not self.layers:
            return {}
        first, end = self.layers
        return {"layers": {"from": first, "target": end, "version": 1}}

    def _register(self) -> None:
        entry = plain_servers.entry(
            self._service,
            self.address,
            zone=self._zone,
            type=self.kind,
            born=self.born,
            stage="prefill_decode",
            **self._layers_field(),
        )
        self._fleet.made.write_server(self.server_id, entry)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        self._socks.add(sock)
        try:
            with sock:
                data = b""
                while self.alive:
                    data = self._serve_one(sock, data)
        except OSError:
            pass
        finally:
            self._socks.discard(sock)

    def _serve_one(self, sock: socket.socket, data: bytes) -> bytes:
        while plain_servers.HEAD_END not in data:
            piece = sock.recv(65536)
            if not piece:
                raise ConnectionError("closed")
            data += piece
        head, _, body = data.partition(plain_servers.HEAD_END)
        first, headers = plain_servers.parse_head(head)
        length = int(headers.get("content-length", "0"))
        while len(body) < length:
            piece = sock.recv(65536)
            if not piece:
                raise ConnectionError("closed")
            body += piece
        rest, body = body[length:], body[:length]
        path = first.split(" ")[1]
        if path == "/report":
            self._send(sock, 200, self._report())
        elif path == "/order":
            self._obey(sock, json.loads(body))
        else:
            self._run(sock, headers)
        return rest

    def _send(
        self,
        sock: socket.socket,
        status: int,
        value: dict | None = None,
        **headers: str,
    ) -> None:
        body = b"" if value is None else json.dumps(value).encode()
        rows = [f"HTTP/1.1 {status} {_REASONS[status]}"]
        rows += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
        rows += ["Content-Type: application/json"]
        rows += [f"Content-Length: {len(body)}", "", ""]
        sock.sendall("\r\n".join(rows).encode() + body)

    def _report(self) -> dict:
        total = 0.0
        if self.layers:
            count = self.layers[1] - self.layers[0]
            free_bytes = (KINDS_MB[self.kind] - count * LAYER_MB) * 1e6
            total = free_bytes / (1180000 / LAYERS)
        return {
            "stage": "prefill_decode",
            "models": [{"name": "m0", "version": 1, "adapters": []}],
            "busy": self.busy,
            "sequence": self.sequence,
            "waiting": 0,
            "running": len(self._streams),
            "kv_used": 0,
            "kv_total": total,
            "handles": 0,
            "type": self.kind,
            "pace": 1.0,
            "born": self.born,
            "stalled": [
                {"id": request_id, "address": stream.waits_for}
                for request_id, stream in list(self._streams.items())
                if stream.waits_for
            ],
            **self._layers_field(),
        }

    def _obey(self, sock: socket.socket, order: dict) -> None:
        if order["operation"] == "repath":
            self._send(sock, self._repath(order))
            return
        text = f"{order} while sequence {self.sequence}, busy {self.busy}"
        self._fleet.made.record.write(f"worker {self.server_id}: order {text}")
        if order.get("precondition", self.sequence) != self.sequence:
            self._send(sock, 409)
            return
        if self.busy:
            self._send(sock, 409)
            return
        count = order["target"] - order["from"]
        self.sequence += 1
        self.busy = True
        self._send(sock, 202)
        most = int(KINDS_MB[self.kind] // LAYER_MB)
        if count > most:
            self._fleet.on_excess(self, count, most)
            self.crash()
            return
        load_s = LOAD_S * count / LAYERS
        if not self._fleet.requests_came:
            load_s *= EARLY_LOAD_FACTOR
        layers = (order["from"], order["target"])
        timer = threading.Timer(load_s, self._loaded, (self.server_id, layers))
        timer.daemon = True
        timer.start()

    def _loaded(self, server_id: str, layers: tuple[int, int]) -> None:
        if self.alive and self.server_id == server_id:
            self.layers, self.busy = layers, False
            self._register()

    def _repath(self, order: dict) -> int:
        stream = self._streams.get(order["id"])
        if stream is None:
            return 404
        hops = _parse_hops(order["path"])
        if self._faulty(hops):
            return 409
        self._fleet.made.record.write(
            f"worker {self.server_id}: repath {order['id']} {order['path']}"
        )
        stream.hops = hops
        stream.incarnations = self._incarnations(hops)
        return 200

    def _faulty(self, hops: tuple[Hop, ...]) -> tuple[int, str] | None:
        for hop in hops:
            engine = self._fleet.by_address.get(hop.address)
            if engine is None or not engine.alive:
                return 503, hop.address
            if not engine.holds(hop):
                return 421, hop.address
        return None

    def _incarnations(self, hops: tuple[Hop, ...]) -> dict[str, str]:
        engines = self._fleet.by_address
        return {hop.address: engines[hop.address].server_id for hop in hops}

    def _run(self, sock: socket.socket, headers: dict[str, str]) -> None:
        request_id = headers["x-dotterelgrade-attempt-id"]
        ids = {"X_Dotterelgrade_Attempt_Id": request_id}
        not_run = {"X_Dotterelgrade_Not_Executed": "1", **ids}
        expected = headers.get("x-dotterelgrade-expect-instance")
        if expected not in (None, self.server_id):
            self._send(sock, 421, **ids)
            return
        self._fleet.requests_came = True
        self._fleet.on_arrival(self, headers)
        hops = _parse_hops(headers["x-dotterelgrade-hops"])
        faulty = self._faulty(hops)
        if faulty:
            status, address = faulty
            self._send(sock, status, At_Server=address, **not_run)
            return
        if random.random() < self.errors:
            time.sleep(_PREFILL_S)
            seal = {"X_Dotterelgrade_Response_Seal": self.server_id}
            self._send(sock, 500, {"error": "failed"}, **ids, **seal)
            return
        stream = _Stream(hops, self._incarnations(hops))
        self._streams[request_id] = stream
        try:
            self._write_events(sock, headers, stream, not_run)
        finally:
            self._streams.pop(request_id, None)

    def _write_events(
        self,
        sock: socket.socket,
        headers: dict[str, str],
        stream: _Stream,
        not_run: dict[str, str],
    ) -> None:
        request_id = headers["x-dotterelgrade-attempt-id"]
        tokens = int(headers["x-dotterelgrade-token-counts"].split(",")[1])
        last = max(tokens // _TOKENS_PER_EVENT, 1)
        begin = int(headers.get("last-event-id") or 0) + 1
        time.sleep(_PREFILL_S)
        head = (
            f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Transfer-Encoding: chunked\r\n"
            f"X-Dotterelgrade-Attempt-Id: {request_id}\r\n"
            f"X-Dotterelgrade-Response-Seal: {self.server_id}\r\n\r\n"
        ).encode()
        for number in range(begin, last + 1):
            lost = self._make_token(sock, headers, stream)
            if lost and head:
                self._send(sock, 503, At_Server=lost, **not_run)
                return
            if lost:
                raise ConnectionError("cut off")
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            chunk = b"%x\r\n%s\r\n" % (len(event), event)
            sock.sendall(head + chunk)
            head = b""
            time.sleep(_EVENT_S)
        sock.sendall(head + b"0\r\n\r\n")

    def _make_token(
        self, sock: socket.socket, headers: dict[str, str], stream: _Stream
    ) -> str:
        """Returns the address of the worker that it waited for in vain."""
        hops = None
        stalled_at = time.monotonic()
        while self.alive:
            if hops is not stream.hops:
                hops = stream.hops
                stalled_at = time.monotonic()
                self._fleet.on_write(headers, hops)
            if not self.alive:
                break
            stream.waits_for = self._lost_stage(stream)
            if not stream.waits_for:
                return ""
            if time.monotonic() - stalled_at > deployment.STALL_S:
                return stream.waits_for
            if _is_closed(sock):
                break
            time.sleep(_POLL_S)
        raise ConnectionError("crashed, or the front has left")

    def _lost_stage(self, stream: _Stream) -> str:
        for hop in stream.hops:
            engine = self._fleet.by_address[hop.address]
            known = stream.incarnations.get(hop.address)
            if not engine.alive or engine.server_id != known:
                return hop.address
        return ""


def _is_closed(sock: socket.socket) -> bool:
    sock.setblocking(False)
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.setblocking(True)
