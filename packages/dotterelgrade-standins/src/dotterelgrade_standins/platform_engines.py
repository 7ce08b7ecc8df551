"""A stand-in of a backend server that holds layers of the model.

Engines check the chains that they are given, and make the tokens of a stream
together; work behind a dead stage stalls, then is cut off.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import time
from typing import NoReturn

import gevent

from dotterelgrade import http_message
from dotterelgrade_front import client_connection
from dotterelgrade_front import responses
from dotterelgrade_platform import backend_server_codec
from dotterelgrade_platform import engines as engine_names
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import configuration
from dotterelgrade_routing import layer_range
from dotterelgrade_standins import platform_backends
from dotterelgrade_standins import soak_crashes
from dotterelgrade_standins import soak_evidence

TOKENS_PER_EVENT = 4
_STEP_S = 0.008
_LOAD_S = 0.3
_DOWN_S = 1.0
_STALL_S = 2.0
_TEXT = b"internal error\n\n"
_EVENTS = (b"content-type", b"text/event-stream")
_ACCEPTED = 202
_NOT_FOUND = 404
_CONFLICT = 409


def event_of(body: bytes, number: int) -> bytes:
    """Returns an event of the answer to a request, wherever it is made."""
    return b"id: %d\ndata: %s %d\n\n" % (number, body, number)


@dataclasses.dataclass(kw_only=True)
class _Stream:
    hops: tuple[backend_server_codec.Hop, ...]
    incarnations: dict[str, str]
    run: soak_evidence.Run
    waits_for: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _WrongAnswer:
    status: int
    body: bytes


_IN_PLACE_OF_THE_REST = {
    platform_backends.Mistake.TEXT: _WrongAnswer(
        status=platform_backends.OK, body=_TEXT
    ),
    platform_backends.Mistake.ERROR: _WrongAnswer(
        status=platform_backends.ERROR, body=_TEXT
    ),
    platform_backends.Mistake.NOTHING: _WrongAnswer(
        status=platform_backends.OK, body=b""
    ),
}


class CrashMoment(enum.Enum):
    """When an engine crashes under a request that makes it crash."""

    BEFORE_HEAD = "before the head"
    AFTER_HEAD = "after the head"
    AFTER_EVENT = "after an event"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Framing:
    """How a stream is delimited: by chunks, or by the connection's end."""

    unframed: bool

    @property
    def end(self) -> bytes:
        return b"" if self.unframed else responses.LAST_CHUNK

    def head(self, head: http_message.ResponseHead) -> bytes:
        if not self.unframed:
            return responses.encode_stream_head(head, close=False)
        first_line = responses.status_line(head.status)
        return http_message.encode_head(first_line, head.headers)

    def piece(self, data: bytes) -> bytes:
        return data if self.unframed else responses.encode_chunk(data)


class EngineStandIn(platform_backends.BackendStandIn):
    """A backend server that holds layers and makes streams with others."""

    def __init__(
        self,
        server: backend_server.BackendServer,
        *,
        engine: configuration.Engine,
        fleet: dict[str, "EngineStandIn"],
        crashes: soak_crashes.PromptCrashes,
        **rest: object,
    ) -> None:
        """Initializes an engine without layers.

        Args:
            server: Its entry.
            engine: Figures of the model.
            fleet: All engines by their address; it adds itself.
            crashes: Knows under which prompts engines crash.
            **rest: As for `BackendStandIn`.
        """
        super().__init__(server, **rest)
        self._engine = engine
        self._fleet = fleet
        self._crashes = crashes
        self._held: layer_range.LayerRange | None = None
        self._orders = 0
        self._loading = False
        self._streams: dict[str, _Stream] = {}
        self.late_orders_s = 0.0

    @contextlib.contextmanager
    def running(self, host: str) -> Iterator[None]:
        """Serves on a host; see `BackendStandIn.running`."""
        with super().running(host):
            self._fleet[self.server.address] = self
            yield

    def restart(self) -> None:
        """Starts again without layers; see `BackendStandIn.restart`."""
        self._held = None
        self._orders = 0
        self._loading = False
        super().restart()

    def entry(self) -> backend_server.BackendServer:
        """Returns its entry with its layers."""
        return dataclasses.replace(self.server, layers=self._held)

    def holds(self, layers: layer_range.LayerRange) -> bool:
        """Returns whether it takes new work on these layers."""
        held = self._held is not None and self._held.covers(layers)
        return self.alive and self.server.ready and held

    def _answer(
        self,
        client: client_connection.ClientConnection,
        request: http_message.Request,
    ) -> None:
        if request.path == engine_names.REPORT_PATH:
            self._send_own(
                client,
                platform_backends.OK,
                backend_server_codec.report_body(self._report()),
            )
        elif request.path == engine_names.ORDER_PATH:
            self._obey(client, backend_server_codec.read_order(request.body))
        else:
            super()._answer(client, request)

    def _report(self) -> backend_server.EngineReport:
        return backend_server.EngineReport(
            layers=self._held,
            accelerator=self.server.accelerator,
            loading=self._loading,
            orders=self._orders,
            started_ms=self.server.started_ms,
            waiting=0,
            running=len(self._streams),
            used=0.0,
            total=1e6,
            slowness=self.slowness,
            stalled={
                request_id: stream.waits_for
                for request_id, stream in self._streams.items()
                if stream.waits_for
            },
        )

    def _send_own(
        self,
        client: client_connection.ClientConnection,
        status: int,
        body: bytes = b"",
    ) -> None:
        headers = backend_server_codec.response_headers(
            request_id="", leaving=not self.server.ready
        )
        head = http_message.ResponseHead(
            status=status, reason=b"", headers=headers
        )
        responses.send_response(client, head=head, body=body, close=False)

    def _obey(
        self,
        client: client_connection.ClientConnection,
        order: backend_server_codec.Order,
    ) -> None:
        if order.layers is None:
            self._send_own(client, self._reroute(order))
        elif self.late_orders_s:
            gevent.spawn_later(self.late_orders_s, self._place, order)
            raise client_connection.CallerDisconnectedError(
                "order left unanswered"
            )
        else:
            self._send_own(client, self._place(order))

    def _place(self, order: backend_server_codec.Order) -> int:
        if order.accepted != self._orders or self._loading or not self.alive:
            return _CONFLICT
        kind = self._engine.accelerator(self.server.accelerator)
        if len(order.layers) > self._engine.max_layers(kind):
            self._evidence.broken("memory", "", f"{self} {order.layers}")
        self._orders += 1
        self._loading = True
        self._held = None
        gevent.spawn_later(_LOAD_S, self._load, order.layers, self.server.id)
        return _ACCEPTED

    def _load(self, layers: layer_range.LayerRange, server_id: str) -> None:
        if self.alive and self.server.id == server_id:
            self._held = layers
            self._loading = False

    def _reroute(self, order: backend_server_codec.Order) -> int:
        stream = self._streams.get(order.request_id)
        if stream is None:
            return _NOT_FOUND
        if self._faulty_address(order.hops[1:]):
            return _CONFLICT
        self._check_chain(order.request_id, order.hops)
        stream.hops = order.hops
        stream.incarnations = self._incarnations(order.hops)
        stream.run.servers |= self._names(order.hops)
        return platform_backends.OK

    def _faulty_address(
        self, hops: tuple[backend_server_codec.Hop, ...]
    ) -> str:
        """Returns the address of a stage that refuses, or empty."""
        for hop in hops:
            engine = self._fleet.get(hop.address)
            if engine is None or not engine.holds(hop.layers):
                return hop.address
        return ""

    def _check_chain(
        self, request_id: str, hops: tuple[backend_server_codec.Hop, ...]
    ) -> None:
        position = 0
        for hop in hops:
            if hop.layers.first != position:
                break
            position = hop.layers.end
        addresses = {hop.address for hop in hops}
        whole = position == self._engine.layers
        if not whole or len(addresses) < len(hops):
            self._evidence.broken("layers", request_id, f"{hops}")

    def _incarnations(
        self, hops: tuple[backend_server_codec.Hop, ...]
    ) -> dict[str, str]:
        return {h.address: self._fleet[h.address].server.id for h in hops}

    def _names(self, hops: tuple[backend_server_codec.Hop, ...]) -> set[str]:
        return {self._fleet[hop.address].name for hop in hops}

    def _run(
        self,
        client: client_connection.ClientConnection,
        request: http_message.Request,
        told: backend_server_codec.ForwardedRequest,
    ) -> None:
        self._crashes.arrived(told.request_id, told.segments)
        faulty_address = self._faulty_address(told.hops)
        if faulty_address:
            self.refuse(
                client,
                told,
                platform_backends.FULL,
                faulty_address=faulty_address,
            )
            return
        with self._noted(told) as run:
            stream = _Stream(
                hops=told.hops,
                incarnations=self._incarnations(told.hops),
                run=run,
            )
            run.servers |= self._names(told.hops)
            self._streams[told.request_id] = stream
            try:
                self._check_chain(told.request_id, told.hops)
                self._make_events(client, request, told, stream)
            finally:
                self._streams.pop(told.request_id, None)

    def _make_events(
        self,
        client: client_connection.ClientConnection,
        request: http_message.Request,
        told: backend_server_codec.ForwardedRequest,
        stream: _Stream,
    ) -> None:
        seal = f"{self.server.id}/{told.request_id}"
        framing = _Framing(unframed=self.unframed)
        last = int(told.answer_tokens) // TOKENS_PER_EVENT
        first = 1
        if not told.resume_after:
            self._make_mistake(client, stream.run)
        elif self.mistake in _IN_PLACE_OF_THE_REST:
            wrong = _IN_PLACE_OF_THE_REST[self.mistake]
            self._send(client, told, wrong.status, wrong.body, seal=seal)
            self.break_off(stream.run, "resumed wrongly")
        else:
            first = self._first_event(told.resume_after, last=last)
        headers = [_EVENTS, *self.answer_headers(told, seal=seal)]
        head = http_message.ResponseHead(
            status=platform_backends.OK, reason=b"", headers=headers
        )
        data = framing.head(head)
        crash = self._crash_under(told)
        if crash is CrashMoment.BEFORE_HEAD:
            self._crash_for(told, stream)
        if crash is CrashMoment.AFTER_HEAD:
            client.write(data)
            self._crash_for(told, stream)
        for number in range(first, last + 1):
            self._make_token(stream)
            event = event_of(request.body, number)
            if self._rng.random() < self.loses_answers:
                client.write(data + framing.piece(event[: len(event) // 2]))
                self.break_off(stream.run, "answer lost")
            client.write(data + framing.piece(event))
            data = b""
            if crash is not None:
                self._crash_for(told, stream)
        client.write(data + framing.end)
        stream.run.answered = True
        self.end_unframed()

    def _crash_under(
        self, told: backend_server_codec.ForwardedRequest
    ) -> "CrashMoment | None":
        """Returns when it crashes under a request, or None if it does not."""
        if self._crashes.bad_segment(told.segments) is None:
            return None
        return self._rng.choice(list(CrashMoment))

    def _crash_for(
        self, told: backend_server_codec.ForwardedRequest, stream: _Stream
    ) -> NoReturn:
        """Crashes as it begins to answer, and is back after a while."""
        gevent.sleep(_STEP_S)
        if self.alive:
            self._crashes.crashed(told.segments)
            gevent.spawn(self._crash_for_a_while)
        self.break_off(stream.run, "crashed")

    def _crash_for_a_while(self) -> None:
        server = soak_evidence.Part.SERVER
        disturbance = self._evidence.disturb(server, self.name)
        self.crash()
        gevent.sleep(_DOWN_S)
        self.restart()
        self._evidence.calm(disturbance)

    def _first_event(self, resume_after: str, *, last: int) -> int:
        """Returns the event at which it resumes a stream, right or wrong."""
        following = int(resume_after) + 1
        if self.mistake is platform_backends.Mistake.ANEW:
            return 1
        # Without any event the answer would look like that to a stream which
        # broke off behind its last event.
        leaves_out = self.mistake is platform_backends.Mistake.GAP
        return following + 1 if leaves_out and following < last else following

    def _make_token(self, stream: _Stream) -> None:
        stalled_at = time.monotonic()
        while self.alive:
            stages = [self._fleet[hop.address] for hop in stream.hops]
            stream.waits_for = self._lost_stage(stream)
            is_silent = any(stage.silence is not None for stage in stages)
            if not stream.waits_for:
                stalled_at = time.monotonic()
                if not is_silent:
                    gevent.sleep(_STEP_S * sum(s.slowness for s in stages))
                    return
            if time.monotonic() - stalled_at > _STALL_S:
                break
            gevent.sleep(platform_backends.POLL_S)
        self.break_off(stream.run, "cut off")

    def _lost_stage(self, stream: _Stream) -> str:
        for hop in stream.hops:
            engine = self._fleet[hop.address]
            known = stream.incarnations[hop.address]
            if not engine.alive or engine.server.id != known:
                return hop.address
        return ""
