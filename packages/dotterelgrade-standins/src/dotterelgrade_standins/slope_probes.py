"""Probes of costs inside one process, and the registry of all probes.

A probe takes a size and returns costs by name; each run has a process of its
own, so that probes do not warm or fill each other's memory.
"""

from collections.abc import Callable, Iterator, Mapping
import contextlib
import dataclasses
import gc
import json
import time
import tracemalloc
from typing import Any

import gevent
import msgpack

from dotterelgrade import charges
from dotterelgrade import contract as contract_lib
from dotterelgrade import contract_feed
from dotterelgrade import contract_records
from dotterelgrade import frame_codec
from dotterelgrade import host_list
from dotterelgrade import journal as journal_lib
from dotterelgrade import log_client
from dotterelgrade import messages
from dotterelgrade import settings as settings_lib
from dotterelgrade_standins import log_service
from dotterelgrade_standins import web

Run = Callable[[int], dict[str, float]]

_FRAMES = 20_000
_EDITS = 400
_US = 1e6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Probe:
    """A registered probe.

    Attributes:
        varied: What the size counts.
        sizes: The sizes to run, growing.
        run: Measures at one size.
    """

    varied: str
    sizes: tuple[int, ...]
    run: Run


_PROBES: dict[str, Probe] = {}


def probe(
    name: str, *, varied: str, sizes: tuple[int, ...]
) -> Callable[[Run], Run]:
    """Registers a probe under its name.

    Args:
        name: Name in the results.
        varied: What the size counts.
        sizes: The sizes to run, growing.
    """

    def register(run: Run) -> Run:
        _PROBES[name] = Probe(varied=varied, sizes=sizes, run=run)
        return run

    return register


def probes() -> Mapping[str, Probe]:
    """Returns the registered probes by name."""
    return dict(_PROBES)


@contextlib.contextmanager
def _cpu_us(costs: dict[str, float], name: str, count: int) -> Iterator[None]:
    """Adds the processor time per item of the body, us."""
    gc.collect()
    started = time.process_time()
    yield
    costs[name] = (time.process_time() - started) / count * _US


def _pack_and_read(
    costs: dict[str, float], frame: Any, *, items: int, unit: str
) -> None:
    packer = msgpack.Packer()
    data = packer.pack(frame_codec.to_wire(frame))
    count = _FRAMES // items
    with _cpu_us(costs, f"send_cpu_us_per_{unit}", count * items):
        for _ in range(count):
            packer.pack(frame_codec.to_wire(frame))
    with _cpu_us(costs, f"receive_cpu_us_per_{unit}", count * items):
        for _ in range(count):
            frame_codec.from_wire(msgpack.unpackb(data))
    costs[f"bytes_per_{unit}"] = len(data) / items


@probe("step_frames", varied="steps in one frame", sizes=(1, 8, 32))
def _step_frames(size: int) -> dict[str, float]:
    step = messages.Step(
        request_id="0190c5d2-7b1e-7c3a-9d4e-0123456789ab",
        attempt=1,
        stage=1,
        position=600,
        inputs=(2**60,),
    )
    costs: dict[str, float] = {}
    frame = messages.Steps(steps=(step,) * size)
    _pack_and_read(costs, frame, items=size, unit="step")
    return costs


@probe("report_frames", varied="backend servers in a report", sizes=(1, 2, 8))
def _report_frames(size: int) -> dict[str, float]:
    backend = messages.BackendReport(
        backend="engine-0",
        kind="engine",
        model="inlay",
        version="1",
        first_layer=0,
        last_layer=7,
        accelerator="a100",
        sequences=20,
        queued_tokens=400,
        slots_free=44,
        step_ms=5.25,
        token_ms=0.25,
        cached_prefixes=tuple(range(2**31, 2**31 + 16)),
    )
    report = messages.Report(
        state=messages.ProcessState.READY,
        contract_offset=100_000,
        backends=(backend,) * size,
        links={f"10.0.0.{n}:7400": 0.525 for n in range(6)},
    )
    costs: dict[str, float] = {}
    _pack_and_read(costs, report, items=1, unit="report")
    return costs


def _line(number: int) -> tuple[str, str]:
    identity = f"workspace name=w{number}"
    text = (
        f"{identity} key=sha256:{number:064x} weight=4 rate=40/s concurrent=32"
        " priority=1  # bench: craftsmen first, while the veneer dries"
    )
    return identity, text


def _edit_body(numbers: range, *, seen: int, base: int) -> bytes:
    edits = []
    for number in numbers:
        identity, text = _line(number)
        edits.append(
            contract_records.Edit(identity=identity, text=text, seen=seen)
        )
    return contract_records.encode(
        contract_records.EditRecord(
            id="0190c5d27b1e7c3a9d4e0123456789ab",
            author="operator",
            edits=tuple(edits),
            base=base,
        )
    )


@probe("contract", varied="lines in force", sizes=(100, 1_000, 4_000))
def _contract(size: int) -> dict[str, float]:
    service = log_service.LogService(
        faults=log_service.LogFaults(appends_per_s=1e9)
    )
    stream = log_client.CONTRACT_STREAM
    service.append(stream, _edit_body(range(size), seen=0, base=0))
    feed = contract_feed.ContractFeed(log_service.LocalLog(service), wait_ms=0)
    costs: dict[str, float] = {}
    gc.collect()
    tracemalloc.start()
    feed.poll()
    gc.collect()
    costs["memory_bytes_of_fold"] = float(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    _fold_edits(costs, service, feed)
    _snapshots(costs, feed)
    return costs


def _fold_edits(
    costs: dict[str, float],
    service: log_service.LogService,
    feed: contract_feed.ContractFeed,
) -> None:
    stream = log_client.CONTRACT_STREAM
    bodies = [
        _edit_body(range(n % 100, n % 100 + 1), seen=1, base=1)
        for n in range(_EDITS)
    ]
    # The first edit of a line is accepted and later ones conflict: both are
    # what a process folds.
    for body in bodies:
        service.append(stream, body)
    with _cpu_us(costs, "fold_cpu_us_per_record", _EDITS):
        feed.poll()
    costs["bytes_per_record"] = sum(map(len, bodies)) / _EDITS


def _snapshots(
    costs: dict[str, float], feed: contract_feed.ContractFeed
) -> None:
    with _cpu_us(costs, "snapshot_cpu_us", 1):
        body = contract_records.encode(feed.contract.snapshot())
    costs["snapshot_bytes"] = float(len(body))
    fresh = contract_lib.Contract()
    with _cpu_us(costs, "adopt_cpu_us", 1):
        fresh.adopt(contract_records.decode(body))
    if fresh.digest != feed.contract.digest:
        raise ValueError("the snapshot does not stand for the fold")


@probe("host_list", varied="hosts listed", sizes=(1_000, 4_000, 13_000))
def _host_list(size: int) -> dict[str, float]:
    item = {
        "host": "10.200.100.100",
        "role": "agent",
        "peer_port": 7400,
        "admin_port": 7401,
        "failure_domain": "recife-a",
        "state": "live",
    }
    body = json.dumps({"hosts": [item] * size}).encode()
    costs = {"bytes_per_host": len(body) / size}
    with _cpu_us(costs, "read_cpu_us_per_host", size):
        host_list.parse_entries(json.loads(body))
    gc.collect()
    tracemalloc.start()
    kept = host_list.parse_entries(json.loads(body))
    gc.collect()
    costs["memory_bytes_per_host"] = tracemalloc.get_traced_memory()[0] / size
    tracemalloc.stop()
    if len(kept) != size:
        raise ValueError(f"{len(kept)} of {size} hosts were read")
    return costs


@probe("charge_batches", varied="charges in a batch", sizes=(1, 10, 100))
def _charge_batches(size: int) -> dict[str, float]:
    service = log_service.LogService(
        faults=log_service.LogFaults(appends_per_s=1e9)
    )
    sender = charges.ChargeSender(
        log_service.LocalLog(service),
        incarnation="0190c5d2-7b1e-7c3a-9d4e-0123456789ab",
        max_batch_items=size,
    )
    count = _EDITS // size
    costs: dict[str, float] = {}
    with _cpu_us(costs, "send_cpu_us_per_charge", count * size):
        for number in range(count * size):
            sender.charge(
                charges.Charge(
                    workspace="bench",
                    request_id=f"0190c5d2-7b1e-7c3a-9d4e-{number:012x}",
                    prompt_tokens=200,
                    generated_tokens=323,
                )
            )
        while sender.pending:
            sender.send()
    records = service.records(log_client.CHARGES_STREAM)
    total = sum(len(record.body) for record in records)
    costs["bytes_per_charge"] = total / (count * size)
    return costs


@probe("log_http", varied="bytes of a record", sizes=(300, 3_000, 30_000))
def _log_http(size: int) -> dict[str, float]:
    """Appends and reads one record at a time over HTTP.

    The stand-in runs in this process too, so that the costs are upper bounds
    for a client.
    """
    host = "127.10.0.9"
    service = log_service.LogService(
        faults=log_service.LogFaults(appends_per_s=1e9)
    )
    settings = settings_lib.PlatformSettings(
        log_url=f"http://{host}:7300", hosts_url=f"http://{host}:7301"
    )
    log = log_client.LogClient(settings)
    body = b"x" * size
    costs: dict[str, float] = {}
    with web.serving(service, host=host, port=7300):
        with _cpu_us(costs, "append_cpu_us", _EDITS):
            for _ in range(_EDITS):
                log.append("probe", body).unwrap()
        with _cpu_us(costs, "read_cpu_us", _EDITS):
            for number in range(_EDITS):
                start = service.records("probe")[-1].offset + 1
                gevent.spawn(service.append, "probe", body)
                page = log.read("probe", start=start, wait_ms=1_000).unwrap()
                if len(page.records) != 1:
                    raise ValueError(f"read {number}: {len(page.records)}")
    return costs


@probe("journal", varied="decisions kept", sizes=(1_000, 5_000, 20_000))
def _journal(size: int) -> dict[str, float]:
    journal = journal_lib.Journal(capacity=size)
    costs: dict[str, float] = {}
    gc.collect()
    tracemalloc.start()
    for number in range(size):
        journal.record(
            "chain_chosen",
            request_id=f"0190c5d2-7b1e-7c3a-9d4e-{number:012x}",
            reason=f"predicted first token {number} ms",
            hosts=[f"10.0.{number % 250}.{stage}" for stage in range(3)],
            first_token_s=number / 1_000,
        )
    costs["memory_bytes_per_decision"] = (
        tracemalloc.get_traced_memory()[0] / size
    )
    tracemalloc.stop()
    with _cpu_us(costs, "record_cpu_us", size):
        for _ in range(size):
            journal.record("chain_chosen", request_id="r", reason="fast")
    return costs
