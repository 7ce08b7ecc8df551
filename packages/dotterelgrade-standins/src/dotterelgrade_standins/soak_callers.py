"""Callers of a soak: they judge each answer that they get."""

from collections.abc import Sequence
import contextlib
import dataclasses
import itertools
import time

import gevent
from gevent import socket

from dotterelgrade import http_connection
from dotterelgrade import http_message
from dotterelgrade_platform import backend_server_codec
from dotterelgrade_standins import platform_engines
from dotterelgrade_standins import soak_configuration
from dotterelgrade_standins import soak_evidence
from dotterelgrade_standins import soak_fleet

_PATIENCE_S = 8.0
_CONNECT_TIMEOUT_S = 1.0
_READY_EVERY_S = 0.5
_READY_TIMEOUT_S = 0.4
_MOST_PAUSE_S = 0.15
_LEAVES_AFTER_S = 0.1
_PROMISES = frozenset({408, 421, 429, 503})
_KEYS = frozenset({soak_configuration.KEY, soak_configuration.SPARE_KEY})
_UPGRADE = [(b"connection", b"upgrade"), (b"upgrade", b"h2c")]
# A caller reuses a connection that was idle for this part of the timeout.
_IDLE_PART = 0.8
_OK = 200
_NOT_FOUND = 404
_UNAUTHORIZED = 401
_ids = itertools.count(1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """A kind of request.

    Attributes:
        path: Its path; the first part is the name of its route.
        weight: How often it is made, relative to the others.
        events: Events of the answer; 0 for plain ones.
        key: The caller's key.
        leaves: Whether the caller leaves early.
        half_closes: Whether the caller closes its side behind the request,
            which a front may take for its leaving.
        offers_upgrade: Whether the caller offers another protocol, which a
            front may ignore.
        segments: First segments of the prompt; drawn if there are none.
        crashes: Whether engines crash under it.
    """

    path: str
    weight: float
    events: int = 0
    key: str = soak_configuration.KEY
    leaves: bool = False
    half_closes: bool = False
    offers_upgrade: bool = False
    segments: tuple[str, ...] = ()
    crashes: bool = False


FIRST_SEGMENTS = ("5ac50", "5ac51", "5ac52")
PLANS = (
    Plan(path="/stream/a", weight=6, events=20),
    Plan(path="/stream/b", weight=2, events=50),
    Plan(path="/stream/c", weight=1, events=50, leaves=True),
    Plan(path="/stream/d", weight=1, events=120),
    Plan(path="/once/a", weight=3, events=20),
    Plan(path="/once/b", weight=1, events=50),
    # Longer than most of what a stopping front has left.
    Plan(path="/once/c", weight=1, events=200),
    Plan(path="/safe/a", weight=4),
    Plan(path="/unsafe/a", weight=6),
    Plan(path="/changing/a", weight=2),
    Plan(path="/safe/b", weight=0.5, key="no-such-key"),
    Plan(path="/safe/c", weight=1, key=soak_configuration.SPARE_KEY),
    Plan(path="/safe/d", weight=0.5, half_closes=True),
    Plan(path="/stream/e", weight=0.5, events=20, half_closes=True),
    Plan(path="/unsafe/b", weight=0.5, offers_upgrade=True),
    Plan(path="/nowhere/a", weight=0.5),
)


class Rotation:
    """Which fronts are ready, as a balancer sees them."""

    def __init__(self, fleet: soak_fleet.Fleet) -> None:
        """Initializes a rotation in which no front is ready yet.

        Args:
            fleet: The fleet.
        """
        self._fleet = fleet
        self._misses = {front.name: 2 for front in fleet.fronts}

    def __repr__(self) -> str:
        """Shows the checks that failed in a row."""
        return f"<Rotation {self._misses}>"

    def run(self) -> None:
        """Checks all fronts until the greenlet is killed."""
        while True:
            gevent.joinall(
                [gevent.spawn(self._check, f) for f in self._fleet.fronts]
            )
            gevent.sleep(_READY_EVERY_S)

    def choose(self) -> soak_fleet.FrontProcess:
        """Returns a front that is ready, or any if none is."""
        fronts = self._fleet.fronts
        ready = [f for f in fronts if self._misses[f.name] < 2]
        return self._fleet.rng.choice(ready or fronts)

    def all_ready(self) -> bool:
        """Returns whether every front is ready."""
        return not any(self._misses.values())

    def _check(self, front: soak_fleet.FrontProcess) -> None:
        try:
            head, _ = http_connection.call(
                front.settings.ready_address,
                method=b"GET",
                target=b"/ready",
                connect_timeout_s=_READY_TIMEOUT_S,
                timeout_s=_READY_TIMEOUT_S,
            )
            good = head.status == 200
        except (
            http_connection.ConnectError,
            http_connection.BrokenConnectionError,
            http_connection.ResponseTimeoutError,
        ):
            good = False
        self._misses[front.name] = 0 if good else self._misses[front.name] + 1


@dataclasses.dataclass(kw_only=True)
class _Kept:
    sock: socket.socket
    connection: http_connection.HttpConnection
    used_at: float


class Caller:
    """Makes one request after another, over connections that it keeps."""

    def __init__(self, fleet: soak_fleet.Fleet, rotation: Rotation) -> None:
        """Initializes a caller.

        Args:
            fleet: The fleet.
            rotation: Chooses its fronts.
        """
        self._fleet = fleet
        self._evidence = fleet.evidence
        self._rotation = rotation
        self._kept: dict[str, _Kept] = {}

    def __repr__(self) -> str:
        """Shows the open connections."""
        return f"<Caller {sorted(self._kept)}>"

    def run(self) -> None:
        """Calls until the greenlet is killed."""
        while True:
            gevent.sleep(self._fleet.rng.random() * _MOST_PAUSE_S)
            plan = self._fleet.rng.choices(PLANS, _WEIGHTS)[0]
            self.call(plan, front=self._front())

    def call(self, plan: Plan, *, front: soak_fleet.FrontProcess) -> None:
        """Makes one request and judges its answer.

        Args:
            plan: The kind of request.
            front: The front to send it to.
        """
        kept = self._connection(front)
        if kept is None:
            self._evidence.outcomes["no connection"] += 1
            return
        sent = self._note_sent(plan, front)
        segments = self._segments(plan, sent)
        try:
            self._exchange(kept, plan, sent, segments)
        except http_connection.ResponseTimeoutError:
            self._drop(front.name, kept)
            self._evidence.outcomes["no answer in time"] += 1
        except http_connection.BrokenConnectionError as error:
            self._drop(front.name, kept)
            sent.ended_at = time.monotonic()
            self._evidence.outcomes["broken off"] += 1
            if not plan.half_closes:
                self._fleet.losses.broken_off(
                    sent,
                    str(error),
                    answer_began=kept.connection.response_started,
                )
        if segments and not (plan.crashes or plan.leaves or plan.half_closes):
            self._fleet.crashes.served(sent, segments[0], served=sent.succeeded)

    def _segments(self, plan: Plan, sent: soak_evidence.Sent) -> list[str]:
        """Returns the segments of a prompt; the last one is its own."""
        if not plan.events:
            return []
        drawn = (self._fleet.rng.choice(FIRST_SEGMENTS),)
        return [*(plan.segments or drawn), f"0{sent.request_id}"]

    def _front(self) -> soak_fleet.FrontProcess:
        """Keeps to open connections for as long as the process exists."""
        kept = [f for f in self._fleet.fronts if f.name in self._kept]
        if kept and self._fleet.rng.random() < 0.7:
            return self._fleet.rng.choice(kept)
        return self._rotation.choose()

    def _connection(self, front: soak_fleet.FrontProcess) -> _Kept | None:
        known = self._kept.get(front.name)
        if known is not None and not self._is_idle_for_long(known):
            if _has_unread_bytes(known.sock):
                self._evidence.broken("mixed", "", f"unasked at {front}")
            return known
        if known is not None:
            self._drop(front.name, known)
        address = front.settings.callers_address
        host, _, port = address.rpartition(":")
        try:
            sock = socket.create_connection(
                (host, int(port)), timeout=_CONNECT_TIMEOUT_S
            )
        except OSError:
            return None
        made = _Kept(
            sock=sock,
            connection=http_connection.HttpConnection(sock, address=address),
            used_at=time.monotonic(),
        )
        self._kept[front.name] = made
        return made

    def _is_idle_for_long(self, kept: _Kept) -> bool:
        timeout_s = self._fleet.variant.idle_timeout_s
        return time.monotonic() - kept.used_at > timeout_s * _IDLE_PART

    def _drop(self, front: str, kept: _Kept) -> None:
        self._kept.pop(front, None)
        kept.connection.close()

    def _note_sent(
        self, plan: Plan, front: soak_fleet.FrontProcess
    ) -> soak_evidence.Sent:
        name = plan.path.split("/")[1]
        routes = {r.name: r for r in soak_configuration.STEADY_ROUTES}
        steady = routes.get(name)
        sent = soak_evidence.Sent(
            request_id=f"r{next(_ids)}",
            front=front.name,
            once=steady is not None
            and not (steady.idempotent or steady.resumable),
            allowed=steady is not None
            and plan.key == soak_configuration.KEY
            and not plan.crashes,
            workspace=soak_configuration.WORKSPACE,
            timeout_s=soak_configuration.LONGEST_TIMEOUT_S,
            sent_at=time.monotonic(),
        )
        self._evidence.sent[sent.request_id] = sent
        return sent

    def _exchange(
        self,
        kept: _Kept,
        plan: Plan,
        sent: soak_evidence.Sent,
        segments: Sequence[str],
    ) -> None:
        connection = kept.connection
        body = sent.request_id.encode()
        tokens = plan.events * platform_engines.TOKENS_PER_EVENT
        connection.send(
            method=b"POST",
            target=plan.path.encode(),
            headers=[
                (b"host", soak_configuration.HOST.encode()),
                *backend_server_codec.client_headers(
                    request_id=sent.request_id,
                    time_left_s=_PATIENCE_S,
                    api_key=plan.key,
                    answer_tokens=tokens,
                    segments=segments,
                ),
                *(_UPGRADE if plan.offers_upgrade else []),
            ],
            body=body,
            timeout_s=1.0,
        )
        sent.sent_at = time.monotonic()
        if plan.half_closes:
            with contextlib.suppress(OSError):
                kept.sock.shutdown(socket.SHUT_WR)
        until = sent.sent_at + _PATIENCE_S
        if plan.leaves:
            until = sent.sent_at + _LEAVES_AFTER_S
        try:
            head = connection.read_head(deadline=until)
            data = self._read_body(connection, head, until, plan, body)
        except http_connection.ResponseTimeoutError:
            if plan.leaves:
                sent.left_at = time.monotonic()
            raise
        sent.ended_at = kept.used_at = time.monotonic()
        self._judge(plan, sent, head, data)
        found = http_message.by_name(head.headers)
        closes = found.get(b"connection", b"").lower() == b"close"
        if closes or plan.half_closes:
            self._drop(sent.front, kept)

    def _read_body(
        self,
        connection: http_connection.HttpConnection,
        head: http_message.ResponseHead,
        until: float,
        plan: Plan,
        body: bytes,
    ) -> bytes:
        """Returns the whole body; checks a success as it comes."""
        whole = _whole_answer(plan, body)
        ok = head.status == _OK
        data = b""
        while piece := connection.read_piece(deadline=until):
            data += piece
            if ok and not whole.startswith(data):
                rule = "order" if plan.events else "mixed"
                self._evidence.broken(rule, body.decode(), repr(piece))
                ok = False
        return data

    def _judge(
        self,
        plan: Plan,
        sent: soak_evidence.Sent,
        head: http_message.ResponseHead,
        data: bytes,
    ) -> None:
        self._evidence.outcomes[str(head.status)] += 1
        seal = backend_server_codec.seal_of(head.headers)
        if head.status in _PROMISES:
            self._evidence.promise(sent, head.status)
        elif 300 <= head.status < 500 and not seal:
            self._judge_denial(plan, sent, head.status)
        elif head.status < 300:
            sent.succeeded = True
            self._judge_success(plan, sent, seal, data)

    def _judge_success(
        self, plan: Plan, sent: soak_evidence.Sent, seal: str, data: bytes
    ) -> None:
        request_id = sent.request_id
        server_id, _, answered = seal.partition("/")
        runs = self._evidence.runs.get(request_id, ())
        if answered != request_id or server_id not in {
            run.server_id for run in runs
        }:
            self._evidence.broken("mixed", request_id, f"seal {seal!r}")
        if data != _whole_answer(plan, request_id.encode()):
            self._evidence.broken("mixed", request_id, f"{data[-60:]!r}")
        if plan.key not in _KEYS:
            self._evidence.broken("key", request_id, "served without a key")
        if plan.path.startswith("/changing/"):
            self._judge_changing(sent, served=True)

    def _judge_denial(
        self, plan: Plan, sent: soak_evidence.Sent, status: int
    ) -> None:
        if plan.path.startswith("/changing/") and status == _NOT_FOUND:
            self._judge_changing(sent, served=False)
            return
        expected = _NOT_FOUND
        if plan.key != soak_configuration.KEY:
            expected = _UNAUTHORIZED
        if sent.allowed or status != expected:
            self._evidence.broken("denied", sent.request_id, f"{status}")

    def _judge_changing(
        self, sent: soak_evidence.Sent, *, served: bool
    ) -> None:
        """Checks that the newest configuration is in force."""
        fleet = self._fleet
        since = fleet.changed_at
        if sent.sent_at < since + soak_evidence.APPLY_S:
            return
        if not self._evidence.in_touch(sent.front, since, sent.ended_at):
            return
        if served != fleet.variant.changing:
            self._evidence.broken(
                "configuration", sent.request_id, f"version {fleet.version}"
            )


def _has_unread_bytes(sock: socket.socket) -> bool:
    """Returns whether bytes came on a connection where none is awaited."""
    sock.settimeout(0.0)
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def _whole_answer(plan: Plan, body: bytes) -> bytes:
    if not plan.events:
        return body + b" ran"
    return b"".join(
        platform_engines.event_of(body, number)
        for number in range(1, plan.events + 1)
    )


_WEIGHTS = [plan.weight for plan in PLANS]
