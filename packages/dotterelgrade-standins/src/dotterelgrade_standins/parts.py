"""The parts that one operating-system process of a deployment can run.

A part is described by a frozen data class that is registered under its kind;
its `running` is a context manager that yields the running object.
"""

from collections.abc import Callable, Iterator, Mapping
import contextlib
import dataclasses
from typing import Any, Protocol, TypeVar

from dotterelgrade import host_list
from dotterelgrade import wire
from dotterelgrade_agent import agent as agent_lib
from dotterelgrade_agent import agent_settings
from dotterelgrade_entry import entry as entry_lib
from dotterelgrade_entry import entry_settings
from dotterelgrade_standins import deposits
from dotterelgrade_standins import engine as engine_lib
from dotterelgrade_standins import hosts_service
from dotterelgrade_standins import log_service
from dotterelgrade_standins import shaper as shaper_lib
from dotterelgrade_standins import web
from dotterelgrade_standins import weight_store

_T = TypeVar("_T", bound=type)


class Part(Protocol):
    """One part of a process."""

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """Addresses that the part listens on."""

    def running(
        self, links: shaper_lib.Links
    ) -> contextlib.AbstractContextManager[Any]:
        """Runs the part while the context is open."""


_KINDS: dict[str, type] = {}


def kind(name: str) -> Callable[[_T], _T]:
    """Registers the data class of a part under its kind."""

    def register(cls: _T) -> _T:
        _KINDS[name] = cls
        cls.kind = name
        return cls

    return register


def kinds() -> Mapping[str, type]:
    """Returns the data classes of the parts by kind."""
    return dict(_KINDS)


@kind("log")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LogPart:
    """The log service.

    Attributes:
        host: IP number.
        port: TCP port.
        faults: What it plays from the beginning.
    """

    host: str
    port: int
    faults: log_service.LogFaults = dataclasses.field(
        default_factory=log_service.LogFaults
    )

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """Addresses that the part listens on."""
        return ((self.host, self.port),)

    @contextlib.contextmanager
    def running(self, _: shaper_lib.Links) -> Iterator[log_service.LogService]:
        """Runs the part while the context is open."""
        service = log_service.LogService(faults=self.faults)
        with web.serving(service, host=self.host, port=self.port):
            yield service


@kind("hosts")
@dataclasses.dataclass(frozen=True, kw_only=True)
class HostsPart:
    """The list of hosts.

    Attributes:
        host: IP number.
        port: TCP port.
        entries: Hosts that show from the beginning.
        lag_s: Time until a change shows, s.
    """

    host: str
    port: int
    entries: tuple[host_list.HostEntry, ...] = ()
    lag_s: float = 0.0

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """Addresses that the part listens on."""
        return ((self.host, self.port),)

    @contextlib.contextmanager
    def running(
        self, _: shaper_lib.Links
    ) -> Iterator[hosts_service.HostsService]:
        """Runs the part while the context is open."""
        service = hosts_service.HostsService(
            self.entries, faults=hosts_service.HostsFaults(lag_s=self.lag_s)
        )
        with web.serving(service, host=self.host, port=self.port):
            yield service


@kind("weights")
@dataclasses.dataclass(frozen=True, kw_only=True)
class WeightsPart:
    """The weight store.

    Attributes:
        host: IP number.
        port: TCP port.
        loads_per_s: Loads that may begin per second.
    """

    host: str
    port: int
    loads_per_s: float = 2.0

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """Addresses that the part listens on."""
        return ((self.host, self.port),)

    @contextlib.contextmanager
    def running(
        self, _: shaper_lib.Links
    ) -> Iterator[weight_store.WeightStore]:
        """Runs the part while the context is open."""
        store = weight_store.WeightStore(loads_per_s=self.loads_per_s)
        with web.serving(store, host=self.host, port=self.port):
            yield store


@kind("deposits")
@dataclasses.dataclass(frozen=True, kw_only=True)
class DepositsPart:
    """A plain service that takes deposits.

    Attributes:
        host: IP number.
        port: TCP port.
    """

    host: str
    port: int

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """Addresses that the part listens on."""
        return ((self.host, self.port),)

    @contextlib.contextmanager
    def running(self, _: shaper_lib.Links) -> Iterator[deposits.DepositService]:
        """Runs the part while the context is open."""
        service = deposits.DepositService()
        with web.serving(service, host=self.host, port=self.port):
            yield service


@kind("engine")
@dataclasses.dataclass(frozen=True, kw_only=True)
class EnginePart:
    """A model engine.

    Attributes:
        host: IP number.
        port: TCP port.
        settings: What the engine is and holds.
    """

    host: str
    port: int
    settings: engine_lib.EngineSettings

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """Addresses that the part listens on."""
        return ((self.host, self.port),)

    @contextlib.contextmanager
    def running(self, _: shaper_lib.Links) -> Iterator[engine_lib.Engine]:
        """Runs the part while the context is open."""
        engine = engine_lib.Engine(self.settings)
        with web.serving(engine, host=self.host, port=self.port):
            yield engine


@kind("entry")
@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryPart:
    """An entry of the system.

    Attributes:
        settings: The entry's own settings.
    """

    settings: entry_settings.EntrySettings

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """Addresses that the part listens on."""
        process = self.settings.process
        return (
            (process.host, self.settings.http_port),
            (process.host, process.admin_port),
        )

    @contextlib.contextmanager
    def running(self, links: shaper_lib.Links) -> Iterator[entry_lib.Entry]:
        """Runs the part while the context is open."""
        shaper = _shaper(links, self.settings.process.failure_domain)
        with entry_lib.running(self.settings, shaper=shaper) as entry:
            yield entry


@kind("agent")
@dataclasses.dataclass(frozen=True, kw_only=True)
class AgentPart:
    """An agent of the system.

    Attributes:
        settings: The agent's own settings.
    """

    settings: agent_settings.AgentSettings

    @property
    def addresses(self) -> tuple[tuple[str, int], ...]:
        """Addresses that the part listens on."""
        process = self.settings.process
        return (
            (process.host, process.peer_port),
            (process.host, process.admin_port),
        )

    @contextlib.contextmanager
    def running(self, links: shaper_lib.Links) -> Iterator[agent_lib.Agent]:
        """Runs the part while the context is open."""
        shaper = _shaper(links, self.settings.process.failure_domain)
        with agent_lib.running(self.settings, shaper=shaper) as agent:
            yield agent


def _shaper(links: shaper_lib.Links, failure_domain: str) -> wire.Shaper:
    return shaper_lib.LinkShaper(failure_domain, links)
