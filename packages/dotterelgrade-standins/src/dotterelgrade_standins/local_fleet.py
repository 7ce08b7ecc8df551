"""A small fleet of real entries and agents in one process, over loopback."""

from collections.abc import Iterator
import contextlib
import hashlib
import itertools
import time
from typing import Any
import uuid

import gevent
from gevent import lock
from returns import result

from dotterelgrade import connection_frames
from dotterelgrade import contract as contract_lib
from dotterelgrade import contract_records
from dotterelgrade import errors
from dotterelgrade import grammar
from dotterelgrade import host_list
from dotterelgrade import log_client
from dotterelgrade import settings as settings_lib
from dotterelgrade_agent import agent as agent_lib
from dotterelgrade_agent import agent_settings
from dotterelgrade_entry import entry as entry_lib
from dotterelgrade_entry import entry_settings
from dotterelgrade_standins import deposits
from dotterelgrade_standins import engine as engine_lib
from dotterelgrade_standins import hosts_service
from dotterelgrade_standins import log_service
from dotterelgrade_standins import loopback_range
from dotterelgrade_standins import shaper

KEY = "key-bench"
MODEL = "inlay"
LAYERS = 6
STAGES = 3
DOMAINS = ("recife-a", "olinda-c")
ENTRIES = len(DOMAINS)
_SHARED_KEY = "k" * 16
_RANGES = tuple(f"127.50.{block}" for block in range(1, 250))
_ENGINE_PORT = 17_700
_SERVICE_PORT = 17_800
_POLL_S = 0.02
_NOWHERE = settings_lib.PlatformSettings(
    log_url="http://127.0.0.1:1", hosts_url="http://127.0.0.1:1/hosts"
)
_CONTRACT = (
    "bound workspace=* first_token_p95=5s between_tokens_p95=2s  # tests: all",
    f"model name={MODEL} layers={LAYERS}  # studio: drafts",
    "workspace name=bench key=sha256:"
    f"{hashlib.sha256(KEY.encode()).hexdigest()}"
    " rate=1000/s concurrent=200  # bench: craftsmen",
    "service name=deposits to=order repeat=never  # orders: money",
    *(
        f"place model={MODEL} layers={2 * stage}-{2 * stage + 1}"
        f" failure_domain={','.join(DOMAINS)} replicas={len(DOMAINS)}"
        "  # operations: one in each failure domain"
        for stage in range(STAGES)
    ),
)


class _LocalHosts:
    """The host list without HTTP."""

    def __init__(self, service: hosts_service.HostsService) -> None:
        self._service = service

    def read(
        self,
    ) -> result.Result[tuple[host_list.HostEntry, ...], errors.Error]:
        return result.Success(self._service.entries())


class Member:
    """One process slot: an entry or an agent, running or not."""

    def __init__(self, name: str, host: str, failure_domain: str) -> None:
        """Initializes a slot with nothing in it.

        Args:
            name: Name for the oracle.
            host: IP number.
            failure_domain: Failure domain of the host.
        """
        self.name = name
        self.host = host
        self.failure_domain = failure_domain
        self.starts = 0
        self.process: Any = None
        self._stack = contextlib.ExitStack()
        # The next process binds the addresses that the last one releases.
        self._changing = lock.BoundedSemaphore(1)

    def __repr__(self) -> str:
        """Shows the name and whether it runs."""
        state = "running" if self.is_running else "stopped"
        return f"<Member {self.name} {state}>"

    @property
    def is_running(self) -> bool:
        """Whether a process runs in the slot."""
        return self.process is not None

    @property
    def incarnation(self) -> str:
        """Name of the slot with the number of its start."""
        return f"{self.name}#{self.starts}"

    def start(self, context: Any) -> None:
        """Runs a process in the slot when the one before it has ended."""
        with self._changing:
            self._stack = contextlib.ExitStack()
            self.process = self._stack.enter_context(context)
            self.starts += 1

    def kill(self) -> None:
        """Ends the process at once, and returns when it has ended."""
        stack = self._stack
        self.process = None
        with self._changing:
            stack.close()


class LocalFleet:
    """Two entries, three stages in two failure domains, two order workers.

    One more agent has an engine that holds nothing and may take a vacant range.
    """

    def __init__(self, stack: contextlib.ExitStack) -> None:
        """Starts the stand-ins; `start` starts the processes.

        Args:
            stack: Owns everything that listens.
        """
        self._stack = stack
        self._range = stack.enter_context(loopback_range.first_free(_RANGES))
        self._numbers = itertools.count(1)
        self.log = log_service.LogService()
        self.log.set_faults(appends_per_s=1e9)
        self.client = log_service.LocalLog(self.log)
        self.hosts = hosts_service.HostsService(())
        self.links = shaper.Links()
        self.engines: dict[str, engine_lib.Engine] = {}
        self.services: dict[str, deposits.DepositService] = {}
        self.entries = [
            self._slot(f"entry-{domain}", domain) for domain in DOMAINS
        ]
        self.agents = [
            self._engine_slot(stage, domain)
            for stage in range(STAGES)
            for domain in DOMAINS
        ]
        self.agents.append(self._spare_slot())
        self.orders = [self._order_slot(domain) for domain in DOMAINS]
        self.edit(*(self._line(text) for text in _CONTRACT))

    def __repr__(self) -> str:
        """Shows the members."""
        return f"<LocalFleet {self.members}>"

    @property
    def members(self) -> list[Member]:
        """Every process slot."""
        return [*self.entries, *self.agents, *self.orders]

    def _slot(self, name: str, domain: str) -> Member:
        host = self._range.host(next(self._numbers))
        return Member(name, host, domain)

    def _engine_slot(self, stage: int, domain: str) -> Member:
        width = LAYERS // STAGES
        return self._serve_engine(
            self._slot(f"stage-{stage}-{domain}", domain),
            model=MODEL,
            first_layer=stage * width,
            last_layer=stage * width + width - 1,
        )

    def _spare_slot(self) -> Member:
        """Returns the slot of an agent whose engine holds nothing."""
        return self._serve_engine(self._slot("spare", DOMAINS[0]))

    def _serve_engine(self, slot: Member, **held: Any) -> Member:
        made = engine_lib.Engine(
            engine_lib.EngineSettings(
                name=slot.name,
                models={MODEL: LAYERS},
                checks_fence=slot.failure_domain == DOMAINS[0],
                time_scale=0.2,
                load_s=0.05,
                status_lag_s=0.05,
                **held,
            )
        )
        serving = engine_lib.serving(made, host=slot.host, port=_ENGINE_PORT)
        self._stack.enter_context(serving)
        self.engines[slot.name] = made
        return slot

    def _order_slot(self, domain: str) -> Member:
        slot = self._slot(f"order-{domain}", domain)
        made = deposits.DepositService()
        serving = deposits.serving(made, host=slot.host, port=_SERVICE_PORT)
        self._stack.enter_context(serving)
        self.services[slot.name] = made
        return slot

    def _line(self, text: str) -> grammar.Line:
        (line,) = grammar.parse(text).unwrap()
        return line

    def fold(self) -> contract_lib.Contract:
        """Returns the contract at the end of the log, whatever the faults."""
        fold = contract_lib.Contract()
        for record in self.log.records(log_client.CONTRACT_STREAM):
            fold.apply(record)
        return fold

    def edit(
        self, *lines: grammar.Line, seen: contract_lib.Contract | None = None
    ) -> None:
        """Appends an edit by an operator who saw a state of the contract.

        Args:
            *lines: The lines to set.
            seen: What the operator saw; the end of the log when None.
        """
        fold = seen or self.fold()
        edits = []
        for line in lines:
            held = fold.line(line.identity)
            edits.append(
                contract_records.Edit(
                    identity=line.identity,
                    text=line.text,
                    seen=held.offset if held else 0,
                )
            )
        record = contract_records.EditRecord(
            id=uuid.uuid4().hex,
            author="operations",
            edits=tuple(edits),
            base=fold.offset,
        )
        self.client.append(
            log_client.CONTRACT_STREAM, contract_records.encode(record)
        )

    def start(self, member: Member) -> None:
        """Starts the process of a slot, and lists its host as live."""
        is_entry = member in self.entries
        member.start(self._entry(member) if is_entry else self._agent(member))
        self.list_host(member, state="live")

    def list_host(self, member: Member, *, state: str) -> None:
        """Lists the host of a slot."""
        is_entry = member in self.entries
        process = self._process_settings(member)
        self.hosts.put(
            host_list.HostEntry(
                host=member.host,
                role=connection_frames.Role.ENTRY
                if is_entry
                else connection_frames.Role.AGENT,
                peer_port=process.peer_port,
                admin_port=process.admin_port,
                failure_domain=member.failure_domain,
                state=state,
            )
        )

    def _process_settings(self, member: Member) -> settings_lib.ProcessSettings:
        return settings_lib.ProcessSettings(
            host=member.host,
            failure_domain=member.failure_domain,
            shared_key=_SHARED_KEY,
        )

    def _entry(self, member: Member) -> Any:
        return entry_lib.running(
            entry_settings.EntrySettings(
                process=self._process_settings(member),
                platform=_NOWHERE,
                drain_wait_s=0.1,
                hosts_poll_s=0.1,
                request_timeout_s=20.0,
                call_timeout_s=4.0,
            ),
            **self._surroundings(member),
        )

    def _agent(self, member: Member) -> Any:
        return agent_lib.running(
            agent_settings.AgentSettings(
                process=self._process_settings(member),
                platform=_NOWHERE,
                backends=(self._backend(member),),
                hosts_poll_s=0.1,
                orphan_grace_s=0.5,
                drain_timeout_s=20.0,
                takeover_settle_s=0.3,
                takeover_rank_s=0.1,
            ),
            **self._surroundings(member),
        )

    def _backend(self, member: Member) -> agent_settings.BackendSettings:
        if member in self.orders:
            return agent_settings.BackendSettings(
                name="order",
                kind="service",
                service="order",
                url=f"http://{member.host}:{_SERVICE_PORT}",
            )
        return agent_settings.BackendSettings(
            name="engine",
            kind="engine",
            url=f"http://{member.host}:{_ENGINE_PORT}",
            timeout_s=2.0,
            status_poll_s=0.1,
        )

    def _surroundings(self, member: Member) -> dict[str, Any]:
        return {
            "shaper": shaper.LinkShaper(member.failure_domain, self.links),
            "log": self.client,
            "hosts": _LocalHosts(self.hosts),
        }

    def engine_url(self, member: Member) -> tuple[str, int]:
        """Returns host and port of an agent's engine."""
        return member.host, _ENGINE_PORT


@contextlib.contextmanager
def running() -> Iterator[LocalFleet]:
    """Runs a whole fleet while the context is open.

    Yields:
        The fleet, with every process started and able to serve.
    """
    with contextlib.ExitStack() as stack:
        fleet = LocalFleet(stack)
        try:
            for member in fleet.members:
                fleet.start(member)
            wait_until(lambda: is_able(fleet), timeout_s=20.0)
            yield fleet
        finally:
            for member in fleet.members:
                member.kill()


def is_able(fleet: LocalFleet) -> bool:
    """Whether every running entry is ready and sees every running agent."""
    agents = [m for m in (*fleet.agents, *fleet.orders) if m.is_running]
    entries = [m.process for m in fleet.entries if m.is_running]
    return all(entry.is_ready for entry in entries) and all(
        _sees(entry, len(agents)) for entry in entries
    )


def _sees(entry: entry_lib.Entry, count: int) -> bool:
    rows = entry.dump()["fleet"]
    return sum(row["state"] == "ready" for row in rows) >= count


def wait_until(condition: Any, *, timeout_s: float) -> bool:
    """Waits for a condition.

    Args:
        condition: Called until it is true.
        timeout_s: Longest wait, s.

    Returns:
        Whether it came true.
    """
    ends_at = time.monotonic() + timeout_s
    while time.monotonic() < ends_at:
        if condition():
            return True
        gevent.sleep(_POLL_S)
    return False
