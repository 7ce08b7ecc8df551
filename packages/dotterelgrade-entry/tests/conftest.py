import contextlib
import dataclasses
import hashlib
import itertools
import json
import time

import gevent
from gevent import event
import geventhttpclient
import pytest
from returns import result

from dotterelgrade import connection_frames
from dotterelgrade import contract_records
from dotterelgrade import grammar
from dotterelgrade import handshake
from dotterelgrade import host_list
from dotterelgrade import messages
from dotterelgrade import settings as settings_lib
from dotterelgrade import wire
from dotterelgrade_agent import agent
from dotterelgrade_agent import agent_settings
from dotterelgrade_entry import entry
from dotterelgrade_entry import entry_settings
from dotterelgrade_standins import deposits
from dotterelgrade_standins import engine
from dotterelgrade_standins import layers
from dotterelgrade_standins import log_service

KEY = "k" * 16
LAYERS = 9
_NUMBERS = itertools.count(1)
_PLATFORM = settings_lib.PlatformSettings(
    log_url="http://127.0.0.1:1", hosts_url="http://127.0.0.1:1/hosts"
)


def key_digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


CONTRACT = "\n".join(
    (
        "bound workspace=* first_token_p95=5s between_tokens_p95=500ms"
        "  # bench: tests",
        f"model name=inlay layers={LAYERS}  # studio: drafts",
        f"workspace name=bench key=sha256:{key_digest('key-bench')}"
        " rate=1000/s concurrent=200  # bench: craftsmen",
        f"workspace name=small key=sha256:{key_digest('key-small')}"
        " rate=1000/s concurrent=1  # school: lessons",
        "service name=deposits to=order repeat=never  # orders: money",
        "service name=status to=order repeat=safe  # orders: reads",
    )
)


def wait_until(condition, *, timeout_s=15):
    ends_at = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < ends_at, "the condition did not come true"
        gevent.sleep(0.01)


class FreezableShaper:
    """Holds back what a process sends while it is frozen."""

    def __init__(self):
        self._thawed = event.Event()
        self._thawed.set()

    def freeze(self):
        self._thawed.clear()

    def thaw(self):
        self._thawed.set()

    def delay_s(self, peer, size):
        self._thawed.wait()
        return 0.0


class FakeAgent:
    """Reports a fast, free engine and answers as a test says."""

    def __init__(self, process, first, last, on_frame):
        self.process = process
        self.frames = []
        self.connections = []
        self._on_frame = on_frame
        self.report = messages.BackendReport(
            backend="engine",
            kind="engine",
            model="inlay",
            version="1",
            first_layer=first,
            last_layer=last,
            slots_free=16,
            step_ms=0.001,
            token_ms=0.001,
        )

    def handle(self, connection):
        self.connections.append(connection)
        connection.send(
            messages.Report(
                state=messages.ProcessState.READY,
                contract_offset=0,
                backends=(self.report,),
            )
        )
        for frame in connection:
            if isinstance(frame, messages.Ping):
                connection.send(messages.Pong(sequence=frame.sequence))
            else:
                self.frames.append(frame)
                self._on_frame(self, connection, frame)

    def admitted(self, frame):
        return messages.Admitted(
            request_id=frame.request_id,
            attempt=frame.attempt,
            stage=frame.stage,
            report=self.report,
        )

    def of(self, kind):
        return [frame for frame in self.frames if isinstance(frame, kind)]


class LocalHosts:
    def __init__(self):
        self.entries = {}

    def put(self, process, role, **changes):
        item = host_list.HostEntry(
            host=process.host,
            role=role,
            peer_port=process.peer_port,
            admin_port=process.admin_port,
            failure_domain=process.failure_domain,
            **changes,
        )
        self.entries[process.host] = item

    def read(self):
        return result.Success(tuple(self.entries.values()))


@dataclasses.dataclass
class Answer:
    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)

    @property
    def error(self):
        return self.json()["error"]

    def events(self):
        lines = self.body.decode().split("\n\n")
        return [line.removeprefix("data: ") for line in lines if line]


@dataclasses.dataclass
class Node:
    host: str
    agent: agent.Agent
    engine: engine.Engine
    stack: contextlib.ExitStack

    def kill(self):
        self.stack.close()


class Cell:
    """Real entries and agents on loopback, with stand-ins beside them."""

    def __init__(self, stack, number):
        self.stack = stack
        self.number = number
        self._hosts = itertools.count(1)
        self.log = log_service.LogService()
        self.local_log = log_service.LocalLog(self.log)
        self.hosts = LocalHosts()
        self.apply(CONTRACT)

    def apply(self, text, *, seen=0):
        lines = grammar.parse(text).unwrap()
        record = contract_records.EditRecord(
            id=f"edit-{next(_NUMBERS)}",
            author="tests",
            edits=tuple(
                contract_records.Edit(
                    identity=line.identity, text=line.text, seen=seen
                )
                for line in lines
            ),
            base=1_000,
        )
        return self.log.append("contract", contract_records.encode(record))

    def process(self, failure_domain="recife-a"):
        return settings_lib.ProcessSettings(
            host=f"127.20.{self.number}.{next(self._hosts)}",
            failure_domain=failure_domain,
            shared_key=KEY,
        )

    def start_agent(
        self, first, last, *, failure_domain="recife-a", shaper=None, **options
    ):
        process = self.process(failure_domain)
        stack = contextlib.ExitStack()
        self.stack.enter_context(stack)
        options = {"max_sequences": 16, "time_scale": 0.2, **options}
        server = engine.Engine(
            engine.EngineSettings(
                name=process.host,
                model="inlay",
                first_layer=first,
                last_layer=last,
                models={"inlay": LAYERS},
                **options,
            )
        )
        stack.enter_context(
            engine.serving(server, host=process.host, port=9000)
        )
        backend = agent_settings.BackendSettings(
            name="engine", kind="engine", url=f"http://{process.host}:9000"
        )
        running = self._start(process, (backend,), stack, shaper)
        return Node(process.host, running, server, stack)

    def start_fake_agent(self, first, last, on_frame):
        process = self.process()
        fake = FakeAgent(process, first, last, on_frame)
        identity = handshake.ProcessIdentity(
            process=f"fake-{process.host}",
            role=connection_frames.Role.AGENT,
            host=process.host,
            port=process.peer_port,
            failure_domain=process.failure_domain,
            shared_key=KEY.encode(),
        )
        self.stack.enter_context(wire.listening(fake.handle, identity=identity))
        self.hosts.put(process, connection_frames.Role.AGENT)
        return fake

    def start_order_worker(self, service=None):
        process = self.process()
        stack = contextlib.ExitStack()
        self.stack.enter_context(stack)
        server = service or deposits.DepositService()
        stack.enter_context(
            deposits.serving(server, host=process.host, port=9000)
        )
        backend = agent_settings.BackendSettings(
            name="order",
            kind="service",
            service="order",
            url=f"http://{process.host}:9000",
        )
        running = self._start(process, (backend,), stack, None)
        return Node(process.host, running, server, stack)

    def _start(self, process, backends, stack, shaper):
        running = stack.enter_context(
            agent.running(
                agent_settings.AgentSettings(
                    process=process,
                    platform=_PLATFORM,
                    backends=backends,
                    repairs=False,
                ),
                log=self.local_log,
                hosts=self.hosts,
                shaper=shaper,
            )
        )
        self.hosts.put(process, connection_frames.Role.AGENT)
        return running

    def start_entry(self, *, shaper=None, failure_domain="recife-a", **options):
        process = self.process(failure_domain)
        options = {
            "hosts_poll_s": 0.1,
            "drain_wait_s": 0.2,
            "default_max_tokens": 8,
            **options,
        }
        running = self.stack.enter_context(
            entry.running(
                entry_settings.EntrySettings(
                    process=process, platform=_PLATFORM, **options
                ),
                log=self.local_log,
                hosts=self.hosts,
                shaper=shaper,
            )
        )
        self.hosts.put(process, connection_frames.Role.ENTRY)
        return running

    def wait_for(self, target, *, engines=0, services=0):
        def is_ready():
            found = target.fleet.candidates("inlay").values()
            return (
                target.is_ready
                and sum(map(len, found)) >= engines
                and len(target.fleet.services("order")) >= services
            )

        wait_until(is_ready)

    def call(self, target, path, body=None, **options):
        host = target.settings.process.host
        port = target.settings.http_port
        return self.call_at(host, port, path, body, **options)

    def call_at(self, host, port, path, body=None, *, method="POST", **options):
        client = geventhttpclient.HTTPClient(
            host, port, network_timeout=options.pop("timeout_s", 30)
        )
        headers = {"Authorization": "Bearer key-bench"}
        headers.update(options.pop("headers", {}))
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        try:
            response = client.request(
                method, path, data if body is not None else b"", headers
            )
            return Answer(
                response.status_code, dict(response.items()), response.read()
            )
        finally:
            client.close()

    def complete(self, target, prompt, *, max_tokens=8, **options):
        body = {
            "model": "inlay",
            "prompt": prompt,
            "max_tokens": max_tokens,
            **options,
        }
        return self.call(target, "/v1/completions", body)


def requests_in_flight(target):
    return target.dump()["requests"]


def wait_for_tokens(target, count):
    """Waits until a request in flight has that many tokens."""

    def has_tokens():
        return any(r["emitted"] >= count for r in requests_in_flight(target))

    wait_until(has_tokens)
    return requests_in_flight(target)[0]


def decisions(target):
    return [item.decision for item in target.journal.latest(10_000)]


def expected_text(prompt, *, max_tokens=8):
    return layers.expected_text(prompt, layers=LAYERS, max_tokens=max_tokens)


def text_of(answer):
    assert answer.status == 200, answer.body
    return answer.json()["choices"][0]["text"]


@pytest.fixture
def cell():
    with contextlib.ExitStack() as stack:
        yield Cell(stack, next(_NUMBERS) % 250)


@pytest.fixture
def chain(cell):
    """An entry before three stages."""
    cell.nodes = [cell.start_agent(first, first + 2) for first in (0, 3, 6)]
    cell.entry = cell.start_entry()
    cell.wait_for(cell.entry, engines=3)
    return cell


@pytest.fixture
def helpers():
    class Helpers:
        pass

    Helpers.expected_text = staticmethod(expected_text)
    Helpers.text_of = staticmethod(text_of)
    Helpers.wait_for_tokens = staticmethod(wait_for_tokens)
    Helpers.decisions = staticmethod(decisions)
    Helpers.wait_until = staticmethod(wait_until)
    Helpers.LAYERS = LAYERS
    Helpers.FreezableShaper = FreezableShaper
    return Helpers
