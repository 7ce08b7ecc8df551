"""Probes of costs in real processes over loopback."""

from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import gc
import pathlib
import tempfile
import time
from typing import Any

import gevent
from gevent import pool
import psutil
import uuid6

from dotterelgrade import grammar
from dotterelgrade import log_client
from dotterelgrade import wire
from dotterelgrade_entry import contract_session
from dotterelgrade_entry import entry as entry_lib
from dotterelgrade_standins import caller as caller_lib
from dotterelgrade_standins import deployment as deployment_lib
from dotterelgrade_standins import fleet_plan
from dotterelgrade_standins import fleet_run
from dotterelgrade_standins import launcher as launcher_lib
from dotterelgrade_standins import parts
from dotterelgrade_standins import slope_probes

_KEY = "key-bench"
_DIGEST = "6c6315311bdbc1d5e091ae597c7d9683c0f264a1d9714611315eaf932368a28e"
_CONTRACT = f"""
bound workspace=* first_token_p95=60s between_tokens_p95=60s # ops: measure
model name=inlay layers=24 # ops: measure
place model=inlay layers=0-7 failure_domain=a replicas=99 # ops: measure
place model=inlay layers=8-15 failure_domain=a replicas=99 # ops: measure
place model=inlay layers=16-23 failure_domain=a replicas=99 # ops: measure
workspace name=bench key=sha256:{_DIGEST} rate=9999/s concurrent=9999 # o: m
service name=deposits to=order repeat=never # ops: measure
"""
_STAGES = 3
_WARM_UP_S = 3.0
_SETTLE_S = 6.0
_IDLE_S = 12.0
_REQUESTS = 60
_MAX_SEQUENCES = 2_000
_MS = 1e3
_KIB = 1024


def _plan(**options: Any) -> fleet_plan.FleetPlan:
    settings = fleet_plan.PlanSettings(
        **{
            "network": "127.10",
            "entries": 1,
            "order_workers": 0,
            "replicas": 1,
            "mix": ("h100",),
            "time_scale": 0.2,
            "domain_delay_ms": 0.0,
            **options,
        }
    )
    text = _CONTRACT
    # The plan scales bounds with the engines; here they only must not refuse.
    return fleet_plan.FleetPlan(text, settings)


def _processor_s(pid: int) -> float:
    times = psutil.Process(pid).cpu_times()
    return times.user + times.system


def _memory_kib(pid: int) -> float:
    return psutil.Process(pid).memory_info().rss / _KIB


class _Meter:
    """Processor time of groups of a launcher's processes."""

    def __init__(self, launcher: launcher_lib.Launcher) -> None:
        self._launcher = launcher
        self._before = self._look()

    def _look(self) -> dict[str, float]:
        return {
            name: _processor_s(self._launcher.pid(name))
            for name in self._launcher.names
        }

    def used_s(self, prefix: str) -> float:
        """Returns the processor time since the start, of names so beginning."""
        now = self._look()
        return sum(
            now[name] - before
            for name, before in self._before.items()
            if name.startswith(prefix)
        )


@contextlib.contextmanager
def _launched(
    plan: fleet_plan.FleetPlan, *, entries: bool
) -> Iterator[launcher_lib.Launcher]:
    """Launches a plan, with or without the processes of its entries."""
    deployment = plan.deployment()
    kept = tuple(
        _roomy(process)
        for process in deployment.processes
        if entries or not process.name.startswith("entry")
    )
    deployment = dataclasses.replace(deployment, processes=kept)
    with (
        tempfile.TemporaryDirectory() as scratch,
        launcher_lib.launched(deployment, pathlib.Path(scratch)) as launcher,
    ):
        log = log_client.LogClient(plan.platform())
        session = contract_session.ContractSession(log)
        session.catch_up().unwrap()
        lines = grammar.parse(plan.contract_text).unwrap()
        session.apply(lines, author="slopes").unwrap()
        yield launcher


def _roomy(process: deployment_lib.ProcessPlan) -> deployment_lib.ProcessPlan:
    return dataclasses.replace(
        process, parts=tuple(_roomy_part(part) for part in process.parts)
    )


def _roomy_part(part: parts.Part) -> parts.Part:
    if isinstance(part, parts.EnginePart):
        settings = dataclasses.replace(
            part.settings, max_sequences=_MAX_SEQUENCES
        )
        return dataclasses.replace(part, settings=settings)
    if isinstance(part, parts.AgentPart):
        backends = tuple(
            dataclasses.replace(backend, max_sequences=_MAX_SEQUENCES)
            for backend in part.settings.backends
        )
        settings = dataclasses.replace(part.settings, backends=backends)
        return dataclasses.replace(part, settings=settings)
    return part


@contextlib.contextmanager
def _entries_here(plan: fleet_plan.FleetPlan) -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for entry in plan.entries:
            settings = plan.entry_settings(entry)
            stack.enter_context(entry_lib.running(settings))
        yield


def _connections() -> list[wire.Connection]:
    return [c for c in gc.get_objects() if isinstance(c, wire.Connection)]


def _idle(agents: int, entries: int) -> dict[str, float]:
    plan = _plan(
        replicas=agents // _STAGES, entries=entries, workers_per_process=9
    )
    own = psutil.Process()
    with _launched(plan, entries=False) as launcher:
        before_kib = _memory_kib(own.pid)
        with _entries_here(plan):
            gevent.sleep(_SETTLE_S)
            meter = _Meter(launcher)
            cpu_s = time.process_time()
            bytes_before = _bytes_of(_connections())
            gevent.sleep(_IDLE_S)
            cpu_s = time.process_time() - cpu_s
            links = _connections()
            sent, received = _bytes_of(links)
            memory_kib = _memory_kib(own.pid) - before_kib
            agent_cpu_s = meter.used_s("agents")
    pairs = len(links)
    return {
        "links": float(len(links)),
        "entry_cpu_ms_per_s": cpu_s / _IDLE_S * _MS / entries,
        "entry_memory_kib": memory_kib / entries,
        "agent_cpu_ms_per_s": agent_cpu_s / _IDLE_S * _MS / agents,
        "to_agent_bytes_per_s": (sent - bytes_before[0]) / _IDLE_S / pairs,
        "from_agent_bytes_per_s": (received - bytes_before[1])
        / _IDLE_S
        / pairs,
    }


def _bytes_of(links: list[wire.Connection]) -> tuple[int, int]:
    return (
        sum(link.bytes_sent for link in links),
        sum(link.bytes_received for link in links),
    )


@slope_probes.probe(
    "idle_by_agents", varied="idle agents of one entry", sizes=(9, 36, 63)
)
def _idle_by_agents(size: int) -> dict[str, float]:
    return _idle(size, 1)


@slope_probes.probe(
    "idle_by_entries", varied="entries over 9 idle agents", sizes=(1, 3, 6)
)
def _idle_by_entries(size: int) -> dict[str, float]:
    return _idle(9, size)


def _load(
    *, requests: int, concurrent: int, words: int, tokens: int
) -> dict[str, float]:
    plan = _plan()
    prompt = " ".join(f"w{n}" for n in range(words))
    with _launched(plan, entries=True) as launcher:
        host = plan.entries[0].host
        launcher_lib.wait_until(lambda: fleet_run.is_ready(host), timeout_s=30)
        gevent.sleep(_WARM_UP_S)
        caller = caller_lib.Caller(host, key=_KEY, concurrency=concurrent)

        def call(_: int) -> int:
            answer = caller.complete(prompt, model="inlay", max_tokens=tokens)
            return answer.tokens if answer.is_complete else -1

        _at_once(call, concurrent, concurrent)
        meter = _Meter(launcher)
        done = _at_once(call, requests, concurrent)
        entry_s, agents_s = meter.used_s("entry"), meter.used_s("agents")
    if min(done) < 0:
        raise RuntimeError(f"{done.count(-1)} requests were not answered")
    generated = sum(done)
    return {
        "tokens": float(generated),
        "entry_cpu_ms_per_request": entry_s / requests * _MS,
        "agent_cpu_ms_per_request": agents_s / requests / _STAGES * _MS,
        "entry_cpu_us_per_token": entry_s / generated * 1e6,
        "agent_cpu_us_per_token_hop": agents_s / generated / _STAGES * 1e6,
    }


def _at_once(
    call: Callable[[int], int], count: int, concurrent: int
) -> list[int]:
    return pool.Pool(concurrent).map(call, range(count))


@slope_probes.probe(
    "load_by_tokens", varied="tokens of an answer", sizes=(4, 32, 128)
)
def _load_by_tokens(size: int) -> dict[str, float]:
    return _load(requests=_REQUESTS, concurrent=8, words=8, tokens=size)


@slope_probes.probe(
    "load_by_prompt", varied="tokens of a prompt", sizes=(8, 256, 1_024)
)
def _load_by_prompt(size: int) -> dict[str, float]:
    return _load(requests=_REQUESTS, concurrent=8, words=size, tokens=4)


@slope_probes.probe(
    "load_by_concurrency", varied="requests at once", sizes=(1, 8, 32)
)
def _load_by_concurrency(size: int) -> dict[str, float]:
    return _load(
        requests=max(16, 2 * size), concurrent=size, words=8, tokens=64
    )


@slope_probes.probe(
    "memory_by_sequences", varied="sequences in flight", sizes=(50, 150, 300)
)
def _memory_by_sequences(size: int) -> dict[str, float]:
    # Slow enough that none ends while memory is looked at.
    plan = _plan(time_scale=4.0)
    prompt = " ".join(f"w{n}" for n in range(20))
    with _launched(plan, entries=True) as launcher:
        host = plan.entries[0].host
        launcher_lib.wait_until(lambda: fleet_run.is_ready(host), timeout_s=30)
        gevent.sleep(_WARM_UP_S)
        caller = caller_lib.Caller(host, key=_KEY, concurrency=size)

        def call(_: int) -> int:
            return caller.complete(prompt, model="inlay", max_tokens=400).tokens

        before = _memory(launcher)
        calls = [gevent.spawn(call, n) for n in range(size)]
        launcher_lib.wait_until(lambda: _in_flight(host) >= size, timeout_s=60)
        gevent.sleep(5.0)
        in_flight = _in_flight(host)
        after = _memory(launcher)
        gevent.killall(calls)
    if in_flight < size:
        raise RuntimeError(f"{in_flight} of {size} sequences in flight")
    return {
        "in_flight": float(in_flight),
        "entry_base_kib": before["entry"],
        "agent_base_kib": before["agents"] / _STAGES,
        "entry_memory_kib": after["entry"] - before["entry"],
        "agent_memory_kib": (after["agents"] - before["agents"]) / _STAGES,
    }


def _in_flight(host: str) -> int:
    value = caller_lib.get_json(host, fleet_plan.ADMIN_PORT, "/fleet")
    return value["processes"][0]["load"]["in_flight"]


def _memory(launcher: launcher_lib.Launcher) -> dict[str, float]:
    return {
        group: sum(
            _memory_kib(launcher.pid(name))
            for name in launcher.names
            if name.startswith(group)
        )
        for group in ("entry", "agents")
    }


def _claims(*, workers: int, concurrent: int) -> dict[str, float]:
    plan = _plan(order_workers=workers)
    count = max(200, 8 * concurrent)
    with _launched(plan, entries=True) as launcher:
        host = plan.entries[0].host
        launcher_lib.wait_until(lambda: fleet_run.is_ready(host), timeout_s=30)
        gevent.sleep(_WARM_UP_S)
        caller = caller_lib.Caller(host, key=_KEY, concurrency=concurrent)

        def call(number: int) -> int:
            answer = caller.call_service(
                "deposits",
                "deposits",
                {"account": f"a{number}", "amount": 1},
                key=str(uuid6.uuid7()),
            )
            return answer.status

        _at_once(call, concurrent, concurrent)
        before = _claims_stream(plan)
        meter = _Meter(launcher)
        done = _at_once(call, count, concurrent)
        after = _claims_stream(plan)
        entry_s, agents_s = meter.used_s("entry"), meter.used_s("order-agent")
    if set(done) != {200}:
        raise RuntimeError(f"answers {sorted(set(done))}")
    return {
        "entry_cpu_ms_per_call": entry_s / count * _MS,
        "agents_cpu_ms_per_call": agents_s / count * _MS,
        "appends_per_call": (after[0] - before[0]) / count,
        "log_bytes_per_call": (after[1] - before[1]) / count,
    }


def _claims_stream(plan: fleet_plan.FleetPlan) -> tuple[int, int]:
    log = log_client.LogClient(plan.platform())
    start, size = 1, 0
    while True:
        page = log.read(log_client.CLAIMS_STREAM, start=start).unwrap()
        size += sum(len(record.body) for record in page.records)
        start += len(page.records)
        if start >= page.end:
            return start - 1, size


@slope_probes.probe(
    "claims_by_workers", varied="order workers", sizes=(1, 2, 4)
)
def _claims_by_workers(size: int) -> dict[str, float]:
    return _claims(workers=size, concurrent=16)


@slope_probes.probe(
    "claims_by_concurrency", varied="keyed calls at once", sizes=(1, 8, 32)
)
def _claims_by_concurrency(size: int) -> dict[str, float]:
    return _claims(workers=1, concurrent=size)
