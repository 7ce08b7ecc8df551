"""The entry process: assembly, life cycle and drain."""

from collections.abc import Iterator
import contextlib
import logging
import time
from typing import Any
import uuid

import gevent
from gevent import event

from dotterelgrade import admin
from dotterelgrade import charges
from dotterelgrade import client_refusals
from dotterelgrade import connection_frames
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
from dotterelgrade_entry import admission as admission_lib
from dotterelgrade_entry import entry_metrics
from dotterelgrade_entry import entry_settings
from dotterelgrade_entry import exchange as exchange_lib
from dotterelgrade_entry import fleet as fleet_lib
from dotterelgrade_entry import fleet_table
from dotterelgrade_entry import http_api
from dotterelgrade_entry import http_server
from dotterelgrade_entry import limits as limits_lib
from dotterelgrade_entry import model_requests
from dotterelgrade_entry import pipeline_tools
from dotterelgrade_entry import planner as planner_lib
from dotterelgrade_entry import policies
from dotterelgrade_entry import record_relay
from dotterelgrade_entry import service_calls
from dotterelgrade_routing import retry_budget

_LOG = logging.getLogger(__name__)

_DRAIN_POLL_S = 0.05
_FLUSH_S = 2.0


class Entry:
    """One entry process."""

    def __init__(
        self,
        settings: entry_settings.EntrySettings,
        *,
        shaper: wire.Shaper | None = None,
        log: log_client.Log | None = None,
        hosts: fleet_lib.Hosts | None = None,
    ) -> None:
        """Initializes the process without opening a port.

        Args:
            settings: The checked settings.
            shaper: Emulated links, or None.
            log: The log service; a client for the settings' URL when None.
            hosts: The host list; a client for the settings' URL when None.

        Raises:
            ValueError: The settings name an unknown policy.
        """
        self._settings = settings
        self._process = str(uuid.uuid4())
        self._metrics = metrics_lib.Metrics()
        self._refusals = client_refusals.ClientRefusals(self._metrics)
        self._journal = journal_lib.Journal()
        self._state = messages.ProcessState.STARTING
        log = log or log_client.LogClient(settings.platform)
        self._feed = contract_feed.ContractFeed(log, journal=self._journal)
        contract_metrics.register(self._feed, self._metrics)
        self._sender = charges.ChargeSender(
            log,
            incarnation=self._process,
            sender_count=lambda: self._fleet.entries,
        )
        self._relay = record_relay.RecordRelay(self._feed)
        self._exchange = exchange_lib.Exchange(on_other=self._relay.on_frame)
        self._fleet = fleet_lib.Fleet(
            settings,
            identity=self._identity(),
            hosts=hosts or host_list.HostListClient(settings.platform),
            listener=self._exchange,
            journal=self._journal,
            is_draining=lambda host: self._feed.contract.is_draining(host),
            shaper=shaper,
        )
        self._relay.attach(self._fleet)
        self._budget = retry_budget.RetryBudget()
        self._limits = limits_lib.Limits(entries=lambda: self._fleet.entries)
        self._models = self._make_models()
        self._api = http_api.HttpApi(
            self._models,
            service_calls.ServiceCalls(
                settings,
                fleet=self._fleet,
                exchange=self._exchange,
                budget=self._budget,
                journal=self._journal,
            ),
        )
        self._admin = admin.AdminApp(self)
        self._admin.route("GET", "fleet", self._show_fleet)
        self._admin.route("POST", "drain", self._order_drain)
        self._server: http_server.CallerServer | None = None
        self._drained = event.Event()
        self._drain_started = False

    def __repr__(self) -> str:
        """Shows the address and the state."""
        return f"<Entry {self._settings.process.host} {self._state}>"

    def _identity(self) -> handshake.ProcessIdentity:
        own = self._settings.process
        return handshake.ProcessIdentity(
            process=self._process,
            role=connection_frames.Role.ENTRY,
            host=own.host,
            port=0,
            failure_domain=own.failure_domain,
            shared_key=own.shared_key.encode(),
        )

    def _make_models(self) -> model_requests.ModelRequests:
        settings = self._settings
        policy = policies.POLICIES.make(settings.policy)
        admission = admission_lib.Admission(
            predicts=policy.predicts, max_waiting=settings.max_waiting
        )
        self._fleet.add_change_listener(admission.wake)
        tools = pipeline_tools.Tools(
            settings=settings,
            fleet=self._fleet,
            planner=planner_lib.Planner(
                self._fleet,
                policy=policy,
                candidates_per_range=settings.candidates_per_range,
                corrections=admission.factors,
            ),
            admission=admission,
            exchange=self._exchange,
            budget=self._budget,
            journal=self._journal,
        )
        return model_requests.ModelRequests(
            tools,
            feed=self._feed,
            limits=self._limits,
            sender=self._sender,
            metrics=entry_metrics.EntryMetrics(self._metrics),
            is_ready=lambda: self.state is not messages.ProcessState.STARTING,
        )

    @property
    def settings(self) -> entry_settings.EntrySettings:
        """The settings."""
        return self._settings

    @property
    def process(self) -> str:
        """Identifier of the incarnation."""
        return self._process

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
        """The contract in force."""
        return self._feed

    @property
    def fleet(self) -> fleet_lib.Fleet:
        """The agents that are known."""
        return self._fleet

    @property
    def in_flight(self) -> int:
        """Callers' requests whose answer is not yet written whole."""
        return self._server.in_flight if self._server else 0

    @property
    def state(self) -> messages.ProcessState:
        """The life cycle of the process."""
        starting = self._state is messages.ProcessState.STARTING
        if starting and self._feed.is_caught_up and self._fleet.is_settled:
            self._state = messages.ProcessState.READY
        return self._state

    @property
    def is_ready(self) -> bool:
        """Whether the process takes new work."""
        return self.state is messages.ProcessState.READY

    def dump(self) -> dict[str, Any]:
        """Returns the whole state as JSON values."""
        return {
            "process": self._process,
            "role": connection_frames.Role.ENTRY.value,
            "host": self._settings.process.host,
            "state": self.state.value,
            "contract": self._feed.dump(),
            "fleet": fleet_table.agents(self._fleet),
            "requests": [
                participant.dump()
                for participant in self._exchange.participants()
            ],
            "admission": self._models.tools.admission.dump(),
            "workspaces": self._limits.dump(),
            "retry_budget": round(self._budget.left, 2),
            "charges": {
                "held": self._sender.pending,
                "sent": self._sender.acknowledged,
                "dropped": self._sender.dropped_by_workspace,
            },
            "late_frames": self._exchange.late_frames,
            "own_delay_s": round(self._fleet.own_delay_s, 4),
        }

    def _show_fleet(self, _: str, __: dict[str, str]) -> tuple[int, Any]:
        own = {
            "process": self._process,
            "role": connection_frames.Role.ENTRY.value,
            "host": self._settings.process.host,
            "state": self.state.value,
            "contract_offset": self._feed.offset,
            "load": {"in_flight": self.in_flight},
        }
        return 200, {"processes": [own, *fleet_table.agents(self._fleet)]}

    def _order_drain(self, _: str, __: dict[str, str]) -> tuple[int, Any]:
        gevent.spawn(self.drain)
        return 202, {"state": messages.ProcessState.LEAVING.value}

    def drain(self) -> None:
        """Leaves gracefully and returns when nothing is in flight.

        The balancer first sees `/readyz` off; only then are new requests
        refused, and answers in flight are finished.
        """
        if self._drain_started:
            self._drained.wait()
            return
        self._drain_started = True
        self._state = messages.ProcessState.LEAVING
        self._journal.record("drain_started", reason="ordered to leave")
        gevent.sleep(self._settings.drain_wait_s)
        self._models.leave()
        if self._server is not None:
            self._server.leave()
        ends_at = time.monotonic() + self._settings.drain_limit_s
        while self.in_flight and time.monotonic() < ends_at:
            gevent.sleep(_DRAIN_POLL_S)
        self._sender.flush(timeout_s=_FLUSH_S)
        self._journal.record(
            "drain_ended",
            reason="nothing is in flight",
            left=self.in_flight,
        )
        self._drained.set()

    @contextlib.contextmanager
    def serving(self) -> Iterator[None]:
        """Opens the ports and works while the context is open.

        Yields:
            Nothing.

        Raises:
            OSError: A port can't be bound.
        """
        own = self._settings.process
        work = (
            self._feed.run,
            self._sender.run,
            self._fleet.run_dialing,
            self._fleet.run_monitor,
            self._relay.run,
        )
        greenlets = []
        try:
            with (
                wsgi.serving(
                    self._admin,
                    host=own.host,
                    port=own.admin_port,
                    limits=own.listen,
                    refusals=self._refusals,
                ),
                http_server.serving(
                    self._api, self._settings, refusals=self._refusals
                ) as server,
            ):
                self._server = server
                greenlets += [
                    gevent.spawn(
                        supervision.keep_running, body, journal=self._journal
                    )
                    for body in work
                ]
                yield
        finally:
            gevent.killall(greenlets, block=True, timeout=1)
            self._fleet.close()


@contextlib.contextmanager
def running(
    settings: entry_settings.EntrySettings,
    *,
    shaper: wire.Shaper | None = None,
    log: log_client.Log | None = None,
    hosts: fleet_lib.Hosts | None = None,
) -> Iterator[Entry]:
    """Runs an entry while the context is open.

    Args:
        settings: The checked settings.
        shaper: Emulated links, or None.
        log: The log service; a client for the settings' URL when None.
        hosts: The host list; a client for the settings' URL when None.

    Yields:
        The entry; call its `drain` for a graceful end.
    """
    entry = Entry(settings, shaper=shaper, log=log, hosts=hosts)
    with entry.serving():
        yield entry
