"""A stand-in of a plain backend server, the base of those that hold layers.

Uses the wire formats of `dotterelgrade_platform.backend_server_codec`, and runs
requests so that the evidence of a soak sees them.
"""

from collections.abc import Collection, Iterator
import contextlib
import dataclasses
import enum
import random
import time
from typing import NoReturn

import gevent
from gevent import server as gevent_server
from gevent import socket

from dotterelgrade import http_message
from dotterelgrade import memory_budget
from dotterelgrade_front import client_connection
from dotterelgrade_front import request_parser
from dotterelgrade_front import responses
from dotterelgrade_platform import backend_server_codec
from dotterelgrade_platform import store as store_names
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import configuration
from dotterelgrade_standins import fault_proxy
from dotterelgrade_standins import platform_store
from dotterelgrade_standins import soak_evidence

_BEAT_S = 0.5
_LAPSE_S = 1.5
_WORK_S = 0.02
POLL_S = 0.02
# Share of its requests that a faulty server answers wrongly.
_MISTAKEN_SHARE = 0.3
_PLAIN_TEXT = (b"content-type", b"text/plain")
_SWITCH_OF_PROTOCOLS = (
    b"HTTP/1.1 101 Switching Protocols\r\n"
    b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
)
OK = 200
_MISDIRECTED = 421
ERROR = 500
FULL = 503


class Silence(enum.Enum):
    """What a backend server that is alive puts off until it goes on."""

    # Reports and orders are still answered.
    REQUESTS = "requests"
    ALL = "all"


class Mistake(enum.Enum):
    """An answer that a faulty backend server writes to some requests."""

    SWITCH_OF_PROTOCOLS = "switch of protocols"
    # Of an earlier request, written once more before the answer.
    REFUSAL = "refusal"
    # These only in place of the rest of a stream.
    TEXT = "text"
    ERROR = "error"
    NOTHING = "nothing"
    ANEW = "anew"
    GAP = "gap"


class _BrokenOffError(client_connection.CallerDisconnectedError):
    """A backend server ends a connection without the rest of an answer."""


class BackendStandIn:
    """A plain backend server behind a proxy, with its entry in the list."""

    def __init__(
        self,
        server: backend_server.BackendServer,
        *,
        store: platform_store.PlatformStore,
        evidence: soak_evidence.Evidence,
        rng: random.Random,
    ) -> None:
        """Initializes a backend server that is not started.

        Args:
            server: Its entry; the address is that of its proxy.
            store: Where it writes its entry.
            evidence: Takes in what it sees.
            rng: Draws its mistakes.
        """
        self.server = server
        self.alive = False
        self.errors = 0.0
        self.loses_answers = 0.0
        self.refuses = 0.0
        self.slowness = 1.0
        self.unframed = False
        self.mistake: Mistake | None = None
        self.silence: Silence | None = None
        self.full_until = float("-inf")
        self._store = store
        self._evidence = evidence
        self._rng = rng
        self._socks: set[socket.socket] = set()
        self._entry = b""
        self._refused = "unknown"
        self._lapsed: set[str] = set()
        self._withdrawn: set[str] = set()
        self._down_since = time.monotonic()
        self.proxy: fault_proxy.FaultProxy | None = None

    def __repr__(self) -> str:
        """Shows the identifier."""
        return f"<{type(self).__name__} {self.server.id}>"

    @property
    def name(self) -> str:
        """The name that all its incarnations share."""
        return soak_evidence.name_of(self.server.id)

    @contextlib.contextmanager
    def running(self, host: str) -> Iterator[None]:
        """Serves on a host for the body of the context.

        Args:
            host: IP number of the server and of its proxy.
        """
        inner = gevent_server.StreamServer((host, 0), self._serve)
        inner.start()
        self.proxy = fault_proxy.FaultProxy(
            (host, 0), (host, inner.server_port)
        )
        self.server = dataclasses.replace(
            self.server, address=self.proxy.address
        )
        self.alive = True
        beats = gevent.spawn(self._keep_entry)
        try:
            yield
        finally:
            beats.kill()
            self.proxy.stop()
            inner.stop(timeout=0)

    def crash(self) -> None:
        """Ends at once; every connection is reset."""
        self.alive = False
        self._down_since = time.monotonic()
        fault_proxy.reset(*self._socks)

    def restart(self) -> None:
        """Starts again, knowing nothing of before, under a new identifier."""
        stem, _, number = self.server.id.partition(".")
        if self._entry:
            self._lapsed.add(self.server.id)
        self.server = dataclasses.replace(
            self.server,
            id=f"{stem}.{int(number or 0) + 1}",
            availability=backend_server.Availability.READY,
            started_ms=int(time.time() * 1000),
        )
        self._entry = b""
        self.silence = None
        self.alive = True

    def leave(self) -> None:
        """Says that it leaves; it serves on for the time of a drain."""
        self.server = dataclasses.replace(
            self.server, availability=backend_server.Availability.LEAVING
        )

    def write_again(self) -> None:
        """Writes once more what a store that lost it had acknowledged."""
        self._entry = b""
        self._refused = "unknown"
        self._lapsed |= self._withdrawn

    def entry(self) -> backend_server.BackendServer:
        """Returns its entry as it should stand in the list."""
        return self.server

    def _keep_entry(self) -> None:
        while True:
            self._withdraw_lapsed()
            if self.alive:
                self._publish()
            elif self._entry and self._down_for_s > _LAPSE_S:
                self._lapsed.add(self.server.id)
                self._entry = b""
            gevent.sleep(_BEAT_S)

    @property
    def _down_for_s(self) -> float:
        return time.monotonic() - self._down_since

    def _publish(self) -> None:
        body = backend_server_codec.registration_body(self.entry())
        if body == self._entry:
            return
        topic = store_names.SERVERS_TOPIC
        if not self._store.write(topic, self.server.id, body):
            return
        self._entry = body
        if not self.server.ready:
            self._evidence.drained(self.server.id)

    def _withdraw_lapsed(self) -> None:
        """Removes entries of incarnations that ended, once the store works."""
        topic = store_names.SERVERS_TOPIC
        for server_id in list(self._lapsed):
            if self._store.write(topic, server_id, b""):
                self._lapsed.discard(server_id)
                self._withdrawn.add(server_id)

    def _serve(self, sock: socket.socket, _: object) -> None:
        self._socks.add(sock)
        client = client_connection.ClientConnection(
            sock,
            limits=configuration.ClientLimits,
            account=memory_budget.unlimited(),
        )
        try:
            while self.alive and (request := client.read_request()):
                self._wait_while_silent((Silence.ALL,))
                if self.alive:
                    self._answer(client, request)
        except _BrokenOffError:
            if self.unframed:
                # Else it would look like the end of the answer.
                fault_proxy.reset(sock)
        except (
            client_connection.CallerDisconnectedError,
            request_parser.BadRequestError,
        ):
            pass
        finally:
            self._socks.discard(sock)
            sock.close()

    def _answer(
        self,
        client: client_connection.ClientConnection,
        request: http_message.Request,
    ) -> None:
        told = backend_server_codec.parse_forwarded_request(request.headers)
        if told.instance_id != self.server.id:
            self._evidence.reached.add(told.request_id)
            # It was meant for the incarnation before, and does not count.
            self.refuse(client, told, _MISDIRECTED)
            return
        self._evidence.arrived(told.request_id, self.server.id)
        wait_s = self.full_until - time.monotonic()
        if wait_s > 0:
            self._evidence.held_off(
                told.request_id, self.server.id, until=self.full_until
            )
            self.refuse(client, told, FULL, retry_after_s=wait_s)
        elif self._rng.random() < self.refuses:
            self.refuse(client, told, FULL)
        else:
            with client.interrupt_on_disconnect():
                self._run(client, request, told)

    def _run(
        self,
        client: client_connection.ClientConnection,
        request: http_message.Request,
        told: backend_server_codec.ForwardedRequest,
    ) -> None:
        with self._noted(told) as run:
            self._make_mistake(client, run)
            gevent.sleep(_WORK_S * self.slowness)
            self._wait_while_silent()
            if not self.alive or self._rng.random() < self.loses_answers:
                self.break_off(run, "answer lost")
            failed = self._rng.random() < self.errors
            self._send(
                client,
                told,
                ERROR if failed else OK,
                request.body + b" ran",
                seal=f"{self.server.id}/{told.request_id}",
            )
            run.answered = True
            self.end_unframed()

    def _make_mistake(
        self,
        client: client_connection.ClientConnection,
        run: soak_evidence.Run,
    ) -> None:
        """Writes an answer that is not that of the run, to some requests."""
        if self._rng.random() > _MISTAKEN_SHARE:
            return
        if self.mistake is Mistake.SWITCH_OF_PROTOCOLS:
            client.write(_SWITCH_OF_PROTOCOLS)
            self.break_off(run, "switched protocols")
        if self.mistake is Mistake.REFUSAL:
            headers = backend_server_codec.response_headers(
                request_id=self._refused, not_run=True
            )
            self._write(client, FULL, headers, b"")

    def break_off(self, run: soak_evidence.Run, reason: str) -> NoReturn:
        """Ends the connection of a run without the rest of its answer."""
        run.broke_off = True
        raise _BrokenOffError(reason)

    def end_unframed(self) -> None:
        """Ends the connection if that is how the answer ends."""
        if self.unframed:
            raise client_connection.CallerDisconnectedError("answer ended")

    def _wait_while_silent(
        self, kinds: Collection[Silence] = tuple(Silence)
    ) -> None:
        """Waits until it goes on or has crashed."""
        while self.alive and self.silence in kinds:
            gevent.sleep(POLL_S)

    @contextlib.contextmanager
    def _noted(
        self, told: backend_server_codec.ForwardedRequest
    ) -> Iterator[soak_evidence.Run]:
        run = self._evidence.begin_run(
            told.request_id,
            self.server.id,
            workspace=told.workspace,
            key_passed_on=told.api_key_passed_on,
        )
        try:
            yield run
        finally:
            self._evidence.end_run(run)

    def refuse(
        self,
        client: client_connection.ClientConnection,
        told: backend_server_codec.ForwardedRequest,
        status: int,
        *,
        faulty_address: str = "",
        retry_after_s: float = 0.0,
    ) -> None:
        """Tells a front that its request has not run.

        Args:
            client: The front's connection.
            told: What the front said.
            status: HTTP status.
            faulty_address: Address of the stage at fault, or empty.
            retry_after_s: For how long it wants nothing, s, or 0.
        """
        self._refused = told.request_id
        self._send(
            client,
            told,
            status,
            b"",
            not_run=True,
            faulty_address=faulty_address,
            retry_after_s=retry_after_s,
        )

    def answer_headers(
        self,
        told: backend_server_codec.ForwardedRequest,
        **facts: str | bool | float,
    ) -> http_message.Headers:
        """Returns the headers of an answer; they say whether it leaves."""
        leaving = not self.server.ready
        if leaving and facts.get("seal"):
            self._evidence.marked(told.request_id, self.server.id)
        return backend_server_codec.response_headers(
            request_id=told.request_id, leaving=leaving, **facts
        )

    def _send(
        self,
        client: client_connection.ClientConnection,
        told: backend_server_codec.ForwardedRequest,
        status: int,
        body: bytes,
        **facts: str | bool | float,
    ) -> None:
        self._write(client, status, self.answer_headers(told, **facts), body)

    def _write(
        self,
        client: client_connection.ClientConnection,
        status: int,
        headers: http_message.Headers,
        body: bytes,
    ) -> None:
        head = [_PLAIN_TEXT, *headers]
        if not (self.unframed and status == OK):
            head.append((b"content-length", str(len(body)).encode()))
        first_line = responses.status_line(status)
        client.write(http_message.encode_head(first_line, head))
        self._wait_while_silent()
        client.write(body)
