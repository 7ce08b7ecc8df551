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


@dataclasses.dataclass(frozen=True, kw_only=True)
class _WebPart:
    """A stand-in that serves HTTP.

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

    def make(self) -> web.JsonApp:
        """Returns a new stand-in."""
        raise NotImplementedError

    @contextlib.contextmanager
    def running(self, _: shaper_lib.Links) -> Iterator[web.JsonApp]:
        """Runs the part while the context is open."""
        application = self.make()
        with web.serving(application, host=self.host, port=self.port):
            yield application


@kind("log")
@dataclasses.dataclass(frozen=True, kw_only=True)
class LogPart(_WebPart):
    """The log service.

    Attributes:
        faults: What it plays from the beginning.
    """

    faults: log_service.LogFaults = dataclasses.field(
        default_factory=log_service.LogFaults
    )

    def make(self) -> log_service.LogService:
        """Returns a new stand-in."""
        return log_service.LogService(faults=self.faults)


@kind("hosts")
@dataclasses.dataclass(frozen=True, kw_only=True)
class HostsPart(_WebPart):
    """The list of hosts.

    Attributes:
        entries: Hosts that show from the beginning.
        lag_s: Time until a change shows, s.
    """

    entries: tuple[host_list.HostEntry, ...] = ()
    lag_s: float = 0.0

    def make(self) -> hosts_service.HostsService:
        """Returns a new stand-in."""
        return hosts_service.HostsService(
            self.entries, faults=hosts_service.HostsFaults(lag_s=self.lag_s)
        )


@kind("weights")
@dataclasses.dataclass(frozen=True, kw_only=True)
class WeightsPart(_WebPart):
    """The weight store.

    Attributes:
        loads_per_s: Loads that may begin per second.
    """

    loads_per_s: float = 2.0

    def make(self) -> weight_store.WeightStore:
        """Returns a new stand-in."""
        return weight_store.WeightStore(loads_per_s=self.loads_per_s)


@kind("deposits")
@dataclasses.dataclass(frozen=True, kw_only=True)
class DepositsPart(_WebPart):
    """A plain service that takes deposits."""

    def make(self) -> deposits.DepositService:
        """Returns a new stand-in."""
        return deposits.DepositService()


@kind("engine")
@dataclasses.dataclass(frozen=True, kw_only=True)
class EnginePart(_WebPart):
    """A model engine.

    Attributes:
        settings: What the engine is and holds.
    """

    settings: engine_lib.EngineSettings

    def make(self) -> engine_lib.Engine:
        """Returns a new stand-in."""
        return engine_lib.Engine(self.settings)


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
