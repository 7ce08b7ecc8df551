"""The agent: assembles its parts and runs them."""

from collections.abc import Iterator
import contextlib
from typing import Any
import uuid

import gevent
import gevent.pool

from dotterelgrade import admin
from dotterelgrade import client_refusals
from dotterelgrade import connection_frames
from dotterelgrade import contract as contract_lib
from dotterelgrade import contract_feed
from dotterelgrade import contract_metrics
from dotterelgrade import handshake
from dotterelgrade import host_list
from dotterelgrade import journal as journal_lib
from dotterelgrade import log_client
from dotterelgrade import messages
from dotterelgrade import metrics as metrics_lib
from dotterelgrade import supervision
from dotterelgrade import wire
from dotterelgrade import wsgi
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import backend as backend_lib
from dotterelgrade_agent import calls as calls_lib
from dotterelgrade_agent import claim_log
from dotterelgrade_agent import departure as departure_lib
from dotterelgrade_agent import engine_backend
from dotterelgrade_agent import entry_links
from dotterelgrade_agent import hops as hops_lib
from dotterelgrade_agent import host_view
from dotterelgrade_agent import keyed_calls
from dotterelgrade_agent import placement_log
from dotterelgrade_agent import relay as relay_lib
from dotterelgrade_agent import repair as repair_lib
from dotterelgrade_agent import reports
from dotterelgrade_agent import server as server_lib
from dotterelgrade_agent import service_backend
from dotterelgrade_agent import stages as stages_lib
from dotterelgrade_agent import vacancies

_FAREWELL_S = 0.2


class Agent:
    """The only authority over the backend servers of one host."""

    def __init__(
        self,
        settings: agent_settings.AgentSettings,
        *,
        shaper: wire.Shaper | None = None,
        log: log_client.Log | None = None,
        hosts: host_view.HostSource | None = None,
    ) -> None:
        """Initializes an agent that does not run yet.

        Args:
            settings: Everything the agent is told.
            shaper: Emulated links, or None.
            log: The log service; None for the platform's.
            hosts: The host list; None for the platform's.
        """
        self._settings = settings
        self._log = log or log_client.LogClient(settings.platform)
        self._incarnation = uuid.uuid4().hex
        self._journal = journal_lib.Journal()
        self._metrics = metrics_lib.Metrics()
        self._refusals = client_refusals.ClientRefusals(self._metrics)
        self._identity = _identity(settings, self._incarnation)
        self._shaper = shaper
        self._greenlets = gevent.pool.Group()
        self._feed = contract_feed.ContractFeed(
            self._log, journal=self._journal
        )
        contract_metrics.register(self._feed, self._metrics)
        self._make_backends()
        self._make_parts()
        self._hosts = host_view.HostView(
            hosts or host_list.HostListClient(settings.platform),
            poll_s=settings.hosts_poll_s,
            grace_s=settings.host_grace_s,
            on_change=lambda: self._departure.update(),
        )
        self._departure = departure_lib.Departure(
            settings,
            feed=self._feed,
            hosts=self._hosts,
            in_flight=lambda: self.in_flight,
            on_change=self._leave,
            journal=self._journal,
        )
        self._feed.add_listener(self._contract_changed)
        self._make_repairs()

    def _make_backends(self) -> None:
        observers = backend_lib.Observers(
            listener=self, journal=self._journal, metrics=self._metrics
        )
        self._backends = {
            item.name: backend_lib.make(item, observers)
            for item in self._settings.backends
        }
        self._engines = {
            name: item
            for name, item in self._backends.items()
            if isinstance(item, engine_backend.EngineBackend)
        }
        self._services = {
            name: item
            for name, item in self._backends.items()
            if isinstance(item, service_backend.ServiceBackend)
        }

    def _make_parts(self) -> None:
        settings = self._settings
        self._stages = stages_lib.Stages(
            engines=self._engines, journal=self._journal, metrics=self._metrics
        )
        self._hops = hops_lib.Hops(
            options=hops_lib.HopsOptions(
                identity=self._identity, shaper=self._shaper
            ),
            on_failed=self._stages.hop_failed,
            deliver_locally=lambda step: self._stages.steps((step,)),
        )
        self._stages.connect(self._hops)
        self._claims = claim_log.ClaimLog(
            self._log, settings.claims, journal=self._journal
        )
        self._keyed = keyed_calls.KeyedCalls(
            settings.claims,
            claims=self._claims,
            incarnation=self._incarnation,
            journal=self._journal,
        )
        self._calls = calls_lib.Calls(
            services=self._services,
            keyed=self._keyed,
            journal=self._journal,
            metrics=self._metrics,
        )
        self._links = entry_links.EntryLinks(
            grace_s=settings.orphan_grace_s, on_orphaned=self._stages.orphaned
        )
        self._reporter = reports.Reporter(
            settings, links=self._links, make_report=self._report
        )
        self._server = server_lib.Server(
            server_lib.Parts(
                stages=self._stages,
                calls=self._calls,
                links=self._links,
                reporter=self._reporter,
                relay=relay_lib.Relay(self._feed),
            )
        )

    def _make_repairs(self) -> None:
        self._placement = placement_log.PlacementLog(
            self._log, journal=self._journal
        )
        sources = vacancies.Sources(
            feed=self._feed,
            hosts=self._hosts,
            placement=self._placement,
            departure=self._departure,
            journal=self._journal,
        )
        self._repairs = [
            repair_lib.make(self._settings, backend=engine, sources=sources)
            for engine in self._engines.values()
        ]

    def __repr__(self) -> str:
        """Shows the address, the state and the work in flight."""
        return (
            f"<Agent {self._identity.host}:{self._identity.port} "
            f"{self.state} {self.in_flight} in flight>"
        )

    @property
    def settings(self) -> agent_settings.AgentSettings:
        """Everything the agent was told."""
        return self._settings

    @property
    def incarnation(self) -> str:
        """Identifier of this run of the process."""
        return self._incarnation

    @property
    def metrics(self) -> metrics_lib.Metrics:
        """The metrics of the process."""
        return self._metrics

    @property
    def journal(self) -> journal_lib.Journal:
        """The decisions of the process."""
        return self._journal

    @property
    def feed(self) -> contract_feed.ContractFeed:
        """The contract of the process."""
        return self._feed

    @property
    def claims(self) -> claim_log.ClaimLog:
        """The stream of claims as this process sees it."""
        return self._claims

    @property
    def placement(self) -> placement_log.PlacementLog:
        """The stream of take-overs as this process sees it."""
        return self._placement

    @property
    def departure(self) -> departure_lib.Departure:
        """Why and how the agent leaves."""
        return self._departure

    @property
    def in_flight(self) -> int:
        """Sequences and calls that are not finished."""
        return self._stages.in_flight + self._calls.in_flight

    @property
    def state(self) -> messages.ProcessState:
        """The life cycle as peers see it."""
        if self._departure.reason:
            return messages.ProcessState.LEAVING
        if not self._feed.is_caught_up:
            return messages.ProcessState.STARTING
        return messages.ProcessState.READY

    @property
    def is_ready(self) -> bool:
        """Whether the agent takes new work."""
        return self.state == messages.ProcessState.READY

    def _report(self) -> messages.Report:
        return messages.Report(
            state=self.state,
            contract_offset=self._feed.offset,
            backends=tuple(item.report for item in self._backends.values()),
            links=self._hops.links,
        )

    def ran(self, outputs: Any) -> None:
        """Sends the outputs of one batch on; see `backend.Listener`."""
        self._stages.ran(outputs)

    def failed(self, sequence: Any, error: Any) -> None:
        """Ends a sequence that failed; see `backend.Listener`."""
        self._stages.failed(sequence, error)

    def changed(self) -> None:
        """Reports soon; see `backend.Listener`."""
        self._reporter.changed()

    def _leave(self, reason: str) -> None:
        self._stages.leave(reason)
        self._calls.leave(reason)
        self._reporter.changed()

    def _contract_changed(self, _: contract_lib.Outcome) -> None:
        self._departure.update()
        self._reporter.changed()

    @contextlib.contextmanager
    def serving(self) -> Iterator[None]:
        """Listens for peers and operators while the context is open.

        Raises:
            OSError: An address is in use, by another agent for example.
        """
        process = self._settings.process
        app = admin.AdminApp(self)
        app.route("POST", "drain", self._handle_drain)
        listening = wire.listening(
            self._server.handle,
            identity=self._identity,
            shaper=self._shaper,
            limits=process.listen,
            refusals=self._refusals,
        )
        # The peer port goes first, since holding it is what makes this
        # process the only agent of the host.
        with (
            listening,
            wsgi.serving(
                app,
                host=process.host,
                port=process.admin_port,
                limits=process.listen,
                refusals=self._refusals,
            ),
        ):
            self._start()
            try:
                yield
            finally:
                self._stop()

    def _handle_drain(self, _: str, __: dict[str, str]) -> tuple[int, Any]:
        self._departure.stop("an operator asked for it")
        return 202, {"state": self.state, "in_flight": self.in_flight}

    def _start(self) -> None:
        for item in self._backends.values():
            item.start()
        for body in (
            self._feed.run,
            self._claims.run,
            self._hosts.run,
            self._placement.run,
            self._reporter.run,
            self._stages.sweep,
            *(item.run for item in self._repairs),
        ):
            self._greenlets.spawn(
                supervision.keep_running, body, journal=self._journal
            )

    def _stop(self) -> None:
        self._greenlets.kill()
        for item in self._backends.values():
            item.stop()
        for part in (
            self._calls,
            self._keyed,
            self._claims,
            self._hops,
            self._links,
            self._server,
        ):
            part.close()

    def drain(self, reason: str = "the process was asked to stop") -> bool:
        """Stops gracefully: refuses new work and waits for the rest.

        Args:
            reason: Who asked, in one clause.

        Returns:
            Whether all work in flight has ended.
        """
        self._departure.stop(reason)
        finished = self._departure.wait()
        # The last answers are queued; leave them a moment to be written.
        gevent.sleep(_FAREWELL_S)
        return finished

    def dump(self) -> dict[str, Any]:
        """Returns the whole state as JSON values."""
        return {
            "process": self._incarnation,
            "role": connection_frames.Role.AGENT,
            "host": self._identity.host,
            "peer_port": self._identity.port,
            "failure_domain": self._identity.failure_domain,
            "state": self.state,
            "leaving": self._departure.reason,
            "in_flight": self.in_flight,
            "contract": self._feed.dump(),
            "claims": self._claims.dump(),
            "backends": {
                name: item.dump() for name, item in self._backends.items()
            },
            "placement": self._placement.dump(),
            "repairs": [item.dump() for item in self._repairs],
            "links": self._hops.links,
            "entries": [repr(link) for link in self._links],
            "reporter": repr(self._reporter),
            "server": repr(self._server),
        }


def _identity(
    settings: agent_settings.AgentSettings, incarnation: str
) -> handshake.ProcessIdentity:
    process = settings.process
    return handshake.ProcessIdentity(
        process=incarnation,
        role=connection_frames.Role.AGENT,
        host=process.host,
        port=process.peer_port,
        failure_domain=process.failure_domain,
        shared_key=process.shared_key.encode(),
    )


@contextlib.contextmanager
def running(
    settings: agent_settings.AgentSettings,
    *,
    shaper: wire.Shaper | None = None,
    log: log_client.Log | None = None,
    hosts: host_view.HostSource | None = None,
) -> Iterator[Agent]:
    """Runs an agent while the context is open, then ends it at once.

    Args:
        settings: Everything the agent is told.
        shaper: Emulated links, or None.
        log: The log service; None for the platform's.
        hosts: The host list; None for the platform's.

    Yields:
        The running agent; call `drain` for a graceful stop.

    Raises:
        OSError: An address is in use, by another agent for example.
    """
    agent = Agent(settings, shaper=shaper, log=log, hosts=hosts)
    with agent.serving():
        yield agent
