import contextlib
import itertools
import socket
import uuid

import gevent
from gevent import event
import pytest
from returns import result

from dotterelgrade import connection_frames
from dotterelgrade import contract
from dotterelgrade import contract_records
from dotterelgrade import grammar
from dotterelgrade import handshake
from dotterelgrade import messages
from dotterelgrade import settings as settings_lib
from dotterelgrade import wire
from dotterelgrade_agent import agent
from dotterelgrade_agent import agent_settings
from dotterelgrade_standins import engine
from dotterelgrade_standins import hosts_service
from dotterelgrade_standins import log_service

KEY = "k" * 16
LAYERS = 9
_GUARD_PORT = 17999
_BLOCKS = 200


class LocalHosts:
    """The host list without HTTP."""

    def __init__(self, service):
        self._service = service

    def read(self):
        return result.Success(self._service.entries())


class ImpatientLog(log_service.LocalLog):
    """Shows an outage sooner, since reads wait less for new records."""

    def read(self, stream, *, start, wait_ms=0):
        return super().read(stream, start=start, wait_ms=min(wait_ms, 300))


class FakeEntry:
    """Speaks the entry's side of the protocol, frame by frame."""

    def __init__(self, host, agents):
        self.host = host
        self.agents = agents
        self.process = f"entry-{host}"
        self.connections = {}
        self.received = []
        self._arrived = event.Event()

    def dial(self, target):
        identity = handshake.ProcessIdentity(
            process=self.process,
            role=connection_frames.Role.ENTRY,
            host=self.host,
            port=0,
            failure_domain="recife-a",
            shared_key=KEY.encode(),
        )
        process = target.settings.process
        connection = wire.dial(
            process.host, process.peer_port, identity=identity
        )
        self.connections[target] = connection
        gevent.spawn(self._read, target, connection)
        return connection

    def _read(self, target, connection):
        for message in connection:
            self.received.append((target, message))
            self._arrived.set()

    def send(self, target, message):
        if target not in self.connections:
            self.dial(target)
        assert self.connections[target].send(message)

    def wait(self, kind, *, where=lambda message: True, source=None):
        """Returns the first frame of a kind, and forgets it."""
        with gevent.Timeout(10):
            while True:
                self._arrived.clear()
                for target, frame in self.received:
                    if source not in (None, target):
                        continue
                    if isinstance(frame, kind) and where(frame):
                        self.received.remove((target, frame))
                        return frame
                self._arrived.wait()

    def frames(self, kind):
        return [frame for _, frame in self.received if isinstance(frame, kind)]


def _hop(target, backend="engine"):
    process = target.settings.process
    return messages.Hop(
        host=process.host, port=process.peer_port, backend=backend
    )


def _admit(request_id, *, stage, next_hop, **changes):
    values = {
        "request_id": request_id,
        "attempt": 1,
        "stage": stage,
        "backend": "engine",
        "model": "inlay",
        "first_layer": 3 * stage,
        "last_layer": 3 * stage + 2,
        "next_hop": next_hop,
        "workspace": "bench",
        "priority": 5,
        "deadline_ms": 1_000.0,
        "prompt_tokens": 3,
        "max_tokens": 500,
    }
    return messages.Admit(**{**values, **changes})


class Fleet:
    """Agents, engines and an entry on loopback addresses of one test."""

    def __init__(self, stack, number):
        self.stack = stack
        self.number = number
        self.log = log_service.LogService()
        self.hosts = hosts_service.HostsService(())
        self.engines = {}
        self.weights_url = ""
        self._next = itertools.count(1)
        self.entry = FakeEntry(self.address(), ())

    def address(self):
        return f"127.30.{self.number}.{next(self._next)}"

    def engine(self, stage, **options):
        host = self.address()
        values = {
            "name": f"engine-{stage}-{host}",
            "model": "inlay",
            "first_layer": 3 * stage,
            "last_layer": 3 * stage + 2,
            "models": {"inlay": LAYERS},
            "time_scale": 0.1,
            **options,
        }
        made = engine.Engine(engine.EngineSettings(**values))
        self.stack.enter_context(engine.serving(made, host=host, port=17700))
        return made, f"http://{host}:17700"

    def settings(
        self, backends, *, host=None, failure_domain="recife-a", **options
    ):
        return agent_settings.AgentSettings(
            process=settings_lib.ProcessSettings(
                host=host or self.address(),
                peer_port=17400,
                admin_port=17401,
                failure_domain=failure_domain,
                shared_key=KEY,
            ),
            platform=settings_lib.PlatformSettings(
                log_url="http://127.30.0.1:1",
                hosts_url="http://127.30.0.1:1",
                weights_url=self.weights_url,
            ),
            backends=tuple(backends),
            **options,
        )

    def start(self, settings):
        """Runs an agent until the test ends; `stack` can end it earlier."""
        stack = self.stack.enter_context(contextlib.ExitStack())
        started = stack.enter_context(
            agent.running(
                settings,
                log=ImpatientLog(self.log),
                hosts=LocalHosts(self.hosts),
            )
        )
        started.stack = stack
        return started

    def contract(self, *texts):
        """Puts lines into the contract, whatever stands there."""
        for text in texts:
            (line,) = grammar.parse(text).unwrap()
            self._edit(line.identity, text)

    def remove_line(self, identity):
        self._edit(identity, None)

    def _edit(self, identity, text):
        fold = contract.Contract()
        for record in self.log.records("contract"):
            fold.apply(record)
        line = fold.line(identity)
        edit = contract_records.Edit(
            identity=identity, text=text, seen=line.offset if line else 0
        )
        record = contract_records.EditRecord(
            id=uuid.uuid4().hex,
            author="operations",
            edits=(edit,),
            base=fold.offset,
        )
        self.log.append("contract", contract_records.encode(record))

    def backend(self, stage, *, name="engine", backend_options=None, **options):
        """Starts an engine and returns the settings that name it."""
        self.made, url = self.engine(stage, **options)
        return agent_settings.BackendSettings(
            name=name, kind="engine", url=url, **(backend_options or {})
        )

    def serve(self, module, app):
        """Serves a stand-in and returns its base URL."""
        host = self.address()
        self.stack.enter_context(module.serving(app, host=host, port=17800))
        return f"http://{host}:17800"

    def local_hosts(self, service):
        return LocalHosts(service)

    def service_backend(self, url):
        return agent_settings.BackendSettings(
            name="order", kind="service", service="order", url=url
        )

    def claim_settings(self):
        return agent_settings.ClaimSettings()

    def engine_agent(
        self, stage, *, agent=None, failure_domain="recife-a", **options
    ):
        backend = self.backend(stage, **options)
        settings = self.settings(
            [backend], failure_domain=failure_domain, **(agent or {})
        )
        started = self.start(settings)
        self.engines[started] = self.made
        return started

    def dial_as_agent(self, target):
        identity = handshake.ProcessIdentity(
            process="stranger",
            role=connection_frames.Role.AGENT,
            host=self.address(),
            port=0,
            failure_domain="recife-a",
            shared_key=KEY.encode(),
        )
        process = target.settings.process
        return wire.dial(process.host, process.peer_port, identity=identity)

    def chain(self, **options):
        agents = [self.engine_agent(stage, **options) for stage in range(3)]
        for item in agents:
            self.wait_usable(item)
        return agents

    def wait_usable(self, target):
        self.entry.send(target, messages.Ping(sequence=1))
        self.entry.wait(
            messages.Report,
            where=lambda report: (
                all(b.healthy for b in report.backends)
                and report.state == messages.ProcessState.READY
            ),
            source=target,
        )

    def wait_slot(self, target):
        with gevent.Timeout(10):
            while not target._engines["engine"].slots_free:
                gevent.sleep(0.01)

    def admit_chain(self, request_id, agents, **changes):
        hops = [_hop(item) for item in agents[1:]] + [None]
        for stage, (target, next_hop) in enumerate(
            zip(agents, hops, strict=True)
        ):
            self.entry.send(
                target,
                _admit(request_id, stage=stage, next_hop=next_hop, **changes),
            )
            self.entry.wait(messages.Admitted)

    def step(self, target, request_id, position, inputs, *, attempt=1, stage=0):
        step = messages.Step(
            request_id=request_id,
            attempt=attempt,
            stage=stage,
            position=position,
            inputs=tuple(inputs),
        )
        self.entry.send(target, messages.Steps(steps=(step,)))

    def token(self, request_id, position):
        """Waits for the token of a position."""
        frame = self.entry.wait(
            messages.Tokens,
            where=lambda tokens: any(
                token.request_id == request_id and token.position == position
                for token in tokens.tokens
            ),
        )
        return next(
            token.token
            for token in frame.tokens
            if token.request_id == request_id and token.position == position
        )

    def generate(self, target, request_id, prompt, count, *, attempt=1):
        """Drives a whole answer through a chain that was admitted."""
        tokens = []
        self.step(target, request_id, 0, prompt, attempt=attempt)
        for position in range(len(prompt), len(prompt) + count):
            tokens.append(self.token(request_id, position))
            self.step(
                target, request_id, position, tokens[-1:], attempt=attempt
            )
        return tuple(tokens)


@pytest.fixture
def hop():
    return _hop


@pytest.fixture
def admit():
    return _admit


def _take_block(stack):
    """Returns the number of a free block of addresses, and holds it."""
    for number in range(1, _BLOCKS):
        guard = stack.enter_context(socket.socket())
        with contextlib.suppress(OSError):
            guard.bind((f"127.30.{number}.254", _GUARD_PORT))
            return number
    raise OSError("no free block of loopback addresses")


@pytest.fixture
def fleet():
    # Runs of the tests at the same time must not meet on one address.
    with contextlib.ExitStack() as stack:
        yield Fleet(stack, _take_block(stack))
