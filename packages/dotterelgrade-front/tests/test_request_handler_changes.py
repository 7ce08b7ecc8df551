"""Requests that run while everything around them changes, from seeds.

Routes, weights, services, keys, limits, times, settings and the list of backend
servers change many times a second, in the end a stop is requested. Each whole
request gets exactly one answer or refusal of its own, and a refusal of a call
that may run once is true.
"""

import collections
import contextlib
import dataclasses
import random
import time

import front_fakes as fakes
import gevent
import pytest
import stream_fakes as streams

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import configuration

_CALLERS = 8
_RUN_S = 1.5
_MOST_PAUSE_S = 0.05
# A sound server may fall silent for so long and go on.
_SILENCE_S = 1.2
_SILENT_RUN_S = 4.0
_STOP_ROUNDS = 20
_EVENTS = 5
_KEYS = ("secret", "other")
_SERVICES = ("plain", "second")
_PATHS = ("safe", "unsafe", "public", "brief", "split", "stream", "nowhere")
_OFFER = {"connection": "upgrade", "upgrade": "h2c", "http2-settings": "AA"}
_NOT_RUN = (408, 421, 429, 503)


class _Server:
    """Answers as drawn, and counts which requests it ran."""

    def __init__(self, rng, ran, *, silent):
        self._rng = rng
        self._ran = ran
        self._scripts = (
            self._respond,
            self._respond,
            self._respond_late,
            self._fail,
            self._refuse,
            self._reset,
        )
        if silent:
            self._scripts = (
                self._respond,
                self._respond_unframed,
                self._respond_after_a_silence,
                self._pause_in_the_answer,
            )

    def __call__(self, sock, arrival):
        self._rng.choice(self._scripts)(sock, arrival)

    def _run(self, arrival):
        self._ran[arrival.headers[b"request-id"].decode()] += 1

    def _respond(self, sock, arrival):
        self._run(arrival)
        body = arrival.headers[b"request-id"]
        fakes.responding(body)(sock, arrival)

    def _respond_late(self, sock, arrival):
        gevent.sleep(self._rng.random() * 0.4)
        self._respond(sock, arrival)

    def _respond_unframed(self, sock, arrival, *, silence_s=0.0):
        self._run(arrival)
        name = arrival.headers[b"request-id"]
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nseal: 1\r\nrequest-id: %s\r\n\r\n%s"
            % (name, name[:3])
        )
        gevent.sleep(silence_s)
        sock.sendall(name[3:])

    def _respond_after_a_silence(self, sock, arrival):
        gevent.sleep(_SILENCE_S)
        self._respond(sock, arrival)

    def _pause_in_the_answer(self, sock, arrival):
        self._respond_unframed(sock, arrival, silence_s=_SILENCE_S)

    def _fail(self, sock, arrival):
        self._run(arrival)
        fakes.responding(b"", b"500 Ill")(sock, arrival)

    def _refuse(self, sock, arrival):
        fakes.refusing()(sock, arrival)

    def _reset(self, sock, arrival):
        self._run(arrival)
        fakes.resetting(sock, arrival)


class _Reader:
    """Reads responses one by one from a kept connection."""

    def __init__(self, sock):
        self._sock = sock
        self._data = b""

    def read(self):
        """Returns status, headers and body, or None at the end."""
        head = self._until(b"\r\n\r\n")
        if head is None:
            return None
        line, *rows = head[:-4].split(b"\r\n")
        headers = dict(row.split(b": ", 1) for row in rows)
        status = int(line.split()[1])
        if status == 100:
            return self.read()
        if b"transfer-encoding" in headers:
            body = self._until(b"0\r\n\r\n")
        else:
            body = self._exactly(int(headers[b"content-length"]))
        return None if body is None else (status, headers, body)

    def _more(self):
        try:
            piece = self._sock.recv(65536)
        except ConnectionError:
            return False
        self._data += piece
        return bool(piece)

    def _until(self, end):
        while end not in self._data:
            if not self._more():
                return None
        at = self._data.index(end) + len(end)
        return self._exactly(at)

    def _exactly(self, count):
        while len(self._data) < count:
            if not self._more():
                return None
        taken, self._data = self._data[:count], self._data[count:]
        return taken


class _Storm:
    """Callers, operators and servers around one front."""

    def __init__(self, front, settings, seed, *, silent):
        self.rng = random.Random(seed)
        self.silent = silent
        self.front = front
        self.settings = settings
        self.ran = collections.Counter()
        self.answers = collections.Counter()
        self.lost = []
        self.untrue = []
        self.stopping = False
        self.ended = False
        self._numbers = iter(range(1_000_000))
        # The fixture makes all draws alike.
        del front.state.rng.random
        front.state.rng.seed(seed)

    def run(self):
        self._add_servers()
        self._change_configuration()
        callers = [gevent.spawn(self._call) for _ in range(_CALLERS)]
        operator = gevent.spawn(self._operate)
        gevent.sleep(_SILENT_RUN_S if self.silent else _RUN_S)
        self._stop()
        self.ended = True
        gevent.joinall([*callers, operator], timeout=30, raise_error=True)
        assert all(greenlet.ready() for greenlet in callers)

    def _stop(self):
        """Stops as the front does, while callers go on."""
        self.stopping = True
        self.front.state.mark_leaving()
        for _ in range(_STOP_ROUNDS):
            self.front.handler.close_idle(for_s=_MOST_PAUSE_S / 2)
            gevent.sleep(_MOST_PAUSE_S / 2)

    def _add_servers(self):
        for name in ("a", "b", "c"):
            self.front.add(
                name,
                _Server(self.rng, self.ran, silent=self.silent),
                service=_SERVICES[name == "c"],
                failure_domain="ab"[name == "b"],
            )
        engine = fakes.streaming(1, _EVENTS)
        if self.silent:
            engine = streams.pausing(
                2, last=_EVENTS, pause=lambda: gevent.sleep(_SILENCE_S)
            )
        self.front.add("e", engine, service="model", layers=(0, 8))
        streams.add_reports(self.front)
        self._servers = list(self.front.state.fleet.servers)

    def _operate(self):
        changes = (
            self._change_configuration,
            self._change_configuration,
            self._change_settings,
            self._change_servers,
            self._delay_event_loop,
        )
        while not self.ended:
            gevent.sleep(self.rng.random() * 0.03)
            self.rng.choice(changes)()

    def _change_configuration(self):
        known = self.front.state.known_configuration
        rng = self.rng
        names = [name for name in _PATHS[:-1] if rng.random() < 0.9]
        services = [s for s in ("plain", "second") if rng.random() < 0.9]
        engine = [fakes.ENGINE] if rng.random() < 0.9 else []
        known.configuration = configuration.Configuration(
            version=(known.version or 0) + 1,
            routes=tuple(self._route(name) for name in names),
            services=(
                *(
                    configuration.Service(
                        name=name, max_connections=9, engine=None
                    )
                    for name in services
                ),
                *(
                    configuration.Service(
                        name="model", max_connections=9, engine=each
                    )
                    for each in engine
                ),
            ),
            limits=configuration.ClientLimits(
                header_bytes=rng.choice((100, 2_000, 20_000)),
                body_bytes=rng.choice((10, 5_000)),
                header_timeout_s=rng.choice((1.0, 3.0)),
                idle_timeout_s=rng.choice((1.0, 15.0)),
            ),
            workspaces=tuple(
                configuration.Workspace(
                    name=key, api_keys=(key,), priority=None
                )
                for key in _KEYS
                if rng.random() < 0.9
            ),
        )

    def _route(self, name):
        rng = self.rng
        weights = tuple(
            configuration.ServiceWeight(
                service=service, weight=rng.choice((-1, 0, 1, 3, 1e308))
            )
            for service in _SERVICES
            if rng.random() < 0.9
        )
        streaming = name == "stream"
        if streaming:
            weights = (configuration.ServiceWeight(service="model", weight=1),)
        return fakes.route(
            name,
            services=weights,
            idempotent=name not in ("unsafe", "stream"),
            streaming=streaming,
            resumable=streaming,
            public=name == "public",
            timeout_s=self._timeout_s(name),
            objective_s=rng.choice((0.0, 0.1, 0.5)),
            max_attempts=rng.choice((1, 2, 3)),
        )

    def _timeout_s(self, name):
        if self.silent:
            # Longer than a server is silent, so that no answer is cut.
            return self.rng.choice((5.0, 8.0))
        return 0.1 if name == "brief" else self.rng.choice((0.8, 3.0))

    def _delay_event_loop(self):
        time.sleep(self.rng.random() * _MOST_PAUSE_S)

    def _change_settings(self):
        rng = self.rng
        self.front.state.reload(
            dataclasses.replace(
                self.settings,
                retry_slack=rng.choice((0.0, 100.0)),
                retry_ratio=rng.choice((0.0, 0.2)),
                grace_s=rng.choice((1.0, 9.0)),
            )
        )
        self.front.state.set_fronts(
            f"10.0.0.{number}:1" for number in range(rng.randrange(4))
        )

    def _change_servers(self):
        fleet = self.front.state.fleet
        server = self.rng.choice(self._servers)
        if self.rng.random() < 0.3:
            fleet.remove(server.id, now=0.0)
            return
        availability = self.rng.choice(
            (
                backend_server.Availability.READY,
                backend_server.Availability.READY,
                backend_server.Availability.LEAVING,
            )
        )
        fleet.put(dataclasses.replace(server, availability=availability))

    def _call(self):
        while not self.ended:
            with self.front.connect() as sock:
                sock.settimeout(20)
                self._use(sock)

    def _use(self, sock):
        """Sends requests until the connection is announced to close."""
        reader = _Reader(sock)
        while not self.ended:
            names = [self._next_name() for _ in range(self.rng.choice((1, 2)))]
            data = b"".join(self._request(name) for name in names)
            # Whether an answer may be missing is judged after reading.
            with contextlib.suppress(ConnectionError):
                for piece in self._pieces(data):
                    sock.sendall(piece)
            for name in names:
                answer = reader.read()
                if answer is None:
                    self._note_end(name)
                    return
                self._check(name, answer)
                if answer[1].get(b"connection") == b"close":
                    # What is pipelined behind it is not read.
                    return
            gevent.sleep(self.rng.random() * _MOST_PAUSE_S)

    def _note_end(self, name):
        """Notes a request without an answer, unless it crossed the stop."""
        journal = self.front.state.decisions.journal
        if not self.stopping or journal.for_request(name):
            self.lost.append(name)

    def _next_name(self):
        return f"{self.rng.choice(_PATHS)}-{next(self._numbers)}"

    def _request(self, name):
        rng = self.rng
        path = name.partition("-")[0]
        rows = {
            "host": "shop.example",
            "request-id": name,
            "key": rng.choice((*_KEYS, *_KEYS, "wrong")),
        }
        if rng.random() < 0.2:
            rows.update(_OFFER)
        if rng.random() < 0.1:
            rows["connection"] = "close"
        if rng.random() < 0.1:
            rows["filler"] = "x" * 3_000
        body = b"x" * rng.choice((0, 0, 5, 1_000))
        if rng.random() < 0.5:
            rows["transfer-encoding"] = "chunked"
            body = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
            body += b"0\r\n\r\n"
        else:
            rows["content-length"] = str(len(body))
        head = "".join(f"{n}: {v}\r\n" for n, v in rows.items())
        return f"POST /{path}/x HTTP/1.1\r\n{head}\r\n".encode() + body

    def _pieces(self, data):
        if self.rng.random() < 0.7:
            yield data
            return
        at = self.rng.randrange(1, len(data))
        yield data[:at]
        gevent.sleep(self.rng.random() * _MOST_PAUSE_S)
        yield data[at:]

    def _check(self, name, answer):
        status, headers, body = answer
        self.answers[status] += 1
        own = headers.get(b"request-id", name.encode()) == name.encode()
        if status == 200 and name.startswith("stream"):
            own = own and body.count(b"data: ") == _EVENTS
        elif status == 200:
            own = own and body == name.encode()
        if not own:
            self.untrue.append((name, answer))
        once = name.startswith("unsafe")
        if once and self.ran[name] > (0 if status in _NOT_RUN else 1):
            self.untrue.append((name, answer))


@pytest.mark.parametrize("seed", range(3))
def test_each_whole_request_is_answered_while_everything_changes(
    front, settings, caplog, seed
):
    storm = _Storm(front, settings, seed, silent=False)
    storm.run()
    assert not storm.lost
    assert not storm.untrue
    assert storm.answers[200] > 10
    assert "request failed" not in caplog.text


@pytest.mark.parametrize("seed", range(3))
def test_no_request_is_lost_at_a_silent_server_while_everything_changes(
    front, settings, caplog, seed
):
    """A sound server falls silent beside changes of the configuration."""
    storm = _Storm(front, settings, seed, silent=True)
    storm.run()
    assert not storm.lost
    assert not storm.untrue
    assert storm.answers[200] > 10
    assert "request failed" not in caplog.text
