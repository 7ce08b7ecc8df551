"""The fleet of a soak: stand-ins in this process, real fronts beside it."""

from collections.abc import Iterator, Sequence
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import sys
import time

import gevent
from gevent import lock
from gevent import subprocess

from dotterelgrade import http_connection
from dotterelgrade_front import front_settings
from dotterelgrade_platform import operator_codec
from dotterelgrade_platform import settings_file
from dotterelgrade_platform import store as store_names
from dotterelgrade_routing import backend_server
from dotterelgrade_standins import fault_proxy
from dotterelgrade_standins import loopback_range
from dotterelgrade_standins import platform_backends
from dotterelgrade_standins import platform_engines
from dotterelgrade_standins import platform_store
from dotterelgrade_standins import soak_configuration
from dotterelgrade_standins import soak_crashes
from dotterelgrade_standins import soak_evidence
from dotterelgrade_standins import soak_losses

DOMAINS = ("recife-a", "olinda-c")
GRACE_S = 5.0
_MODULE = "dotterelgrade_platform"
_LISTENS_TIMEOUT_S = 1.0
_ENDING = frozenset({signal.SIGKILL, signal.SIGTERM})
_CALLERS_PORT = 7_001
_READY_PORT = 7_002
_PEER_PORT = 7_003
_STORE_LINK_HOST = 2
_FIRST_FRONT_HOST = 50
_FIRST_BACKEND_HOST = 100
_STORE_HOST = 1


class FrontProcess:
    """One real front as a process of its own."""

    def __init__(
        self,
        settings: front_settings.FrontSettings,
        *,
        directory: pathlib.Path,
    ) -> None:
        """Initializes a front that is not started.

        Args:
            settings: Its settings.
            directory: Where its settings file and its log are kept.
        """
        self.settings = settings
        self._settings_path = directory / f"{settings.node}.toml"
        self._log_path = directory / f"{settings.node}.log"
        self._settings_path.write_text(operator_codec.settings_text(settings))
        self._child: subprocess.Popen | None = None
        self._told_to_end = False
        self._starting = lock.BoundedSemaphore(1)

    def __repr__(self) -> str:
        """Shows the name and the process."""
        return f"<FrontProcess {self.name}>"

    @property
    def name(self) -> str:
        """Name of its host."""
        return self.settings.node

    @property
    def runs(self) -> bool:
        """Whether the process exists."""
        return self._child is not None and self._child.poll() is None

    @property
    def ended_by_itself(self) -> bool:
        """Whether the process has ended though nothing told it to."""
        return self._child is not None and not (self.runs or self._told_to_end)

    def start(self) -> None:
        """Starts the process, unless it exists."""
        path = str(self._settings_path)
        environment = {**os.environ, settings_file.PATH_VARIABLE: path}
        # Other greenlets go on while a process is made.
        with self._starting, self._log_path.open("ab") as log:
            if self.runs:
                return
            self._child = subprocess.Popen(
                [sys.executable, "-m", _MODULE, "serve"],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )
            self._told_to_end = False

    def change_settings(self, **changes: float) -> None:
        """Writes its settings file anew and tells the process so.

        A process that listens at no address yet reads the file anyway; the
        interpreter that starts it would end at the signal.
        """
        self.settings = dataclasses.replace(self.settings, **changes)
        self._settings_path.write_text(
            operator_codec.settings_text(self.settings)
        )
        if self._listens():
            self.signal(signal.SIGHUP)

    def _listens(self) -> bool:
        try:
            http_connection.connect(
                self.settings.callers_address, timeout_s=_LISTENS_TIMEOUT_S
            ).close()
        except http_connection.ConnectError:
            return False
        return True

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal, if the process exists."""
        if self.runs:
            self._told_to_end |= number in _ENDING
            self._child.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once, also while it is paused."""
        self.signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait()

    def stop(self) -> bool:
        """Stops the process gracefully; returns whether it ended in time."""
        self.signal(signal.SIGTERM)
        try:
            self._child.wait(timeout=self.settings.grace_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return False
        return True


@dataclasses.dataclass(kw_only=True)
class Fleet:
    """Everything that runs in a soak.

    Attributes:
        store: The platform's store.
        store_link: The fronts' link to it. All use one, since they take its
            address for the name of the deployment.
        fronts: The real programs.
        plain: Backend servers of the plain service.
        engines: Backend servers of the model.
        evidence: What was seen.
        losses: Finds what fronts lost.
        crashes: Judges what fronts do with prompts that crash engines.
        rng: Draws faults and callers.
        version: Version of the configuration that was written last.
        variant: What that version holds.
        changed_at: Monotonic time at which it was acknowledged, s.
    """

    store: platform_store.PlatformStore
    store_link: fault_proxy.FaultProxy
    fronts: list[FrontProcess]
    plain: list[platform_backends.BackendStandIn]
    engines: list[platform_engines.EngineStandIn]
    evidence: soak_evidence.Evidence
    losses: soak_losses.Losses
    crashes: soak_crashes.PromptCrashes
    rng: random.Random
    version: int = 0
    variant: soak_configuration.Variant = soak_configuration.Variant()
    changed_at: float = float("-inf")

    @property
    def backends(self) -> Sequence[platform_backends.BackendStandIn]:
        """All backend servers."""
        return [*self.plain, *self.engines]

    def write_configuration(self, variant: soak_configuration.Variant) -> bool:
        """Writes the next version; returns whether it was acknowledged.

        Args:
            variant: What it holds.
        """
        if not self._write_version(self.version + 1, variant):
            return False
        self.version += 1
        self.variant = variant
        self.changed_at = time.monotonic()
        return True

    def write_again(self) -> None:
        """Has operators and backend servers write what the store has lost."""
        self._write_version(self.version, self.variant)
        for backend in self.backends:
            backend.write_again()

    def _write_version(
        self, version: int, variant: soak_configuration.Variant
    ) -> bool:
        body = operator_codec.configuration_body(
            soak_configuration.make(version, variant)
        )
        topic = store_names.CONFIGURATION_TOPIC
        return self.store.write(topic, store_names.CONFIGURATION_KEY, body)


@contextlib.contextmanager
def running(
    *, fronts: int, engines: int, directory: pathlib.Path, rng: random.Random
) -> Iterator[Fleet]:
    """Runs a fleet for the body of the context.

    Args:
        fronts: How many real fronts.
        engines: How many engines in each failure domain.
        directory: Where settings files and logs are kept.
        rng: Draws faults and callers.

    Raises:
        loopback_range.RangeTakenError: There are no free addresses.
    """
    with contextlib.ExitStack() as stack:
        own = stack.enter_context(loopback_range.reserved())
        store = platform_store.PlatformStore()
        target = stack.enter_context(store.serving(own.host(_STORE_HOST)))
        link = fault_proxy.FaultProxy((own.host(_STORE_LINK_HOST), 0), target)
        stack.callback(link.stop)
        evidence = soak_evidence.Evidence()
        fleet = Fleet(
            store=store,
            store_link=link,
            fronts=[],
            plain=[],
            engines=[],
            evidence=evidence,
            losses=soak_losses.Losses(evidence),
            crashes=soak_crashes.PromptCrashes(evidence),
            rng=rng,
        )
        fleet.write_configuration(soak_configuration.Variant())
        _start_backends(fleet, own, stack, engines)
        for number in range(fronts):
            settings = _front_settings(own, number, link.address)
            front = FrontProcess(settings, directory=directory)
            front.start()
            stack.callback(front.kill)
            fleet.fronts.append(front)
        yield fleet
        _stop_fronts(fleet)


def _start_backends(
    fleet: Fleet,
    own: loopback_range.LoopbackRange,
    stack: contextlib.ExitStack,
    engines: int,
) -> None:
    by_address: dict[str, platform_engines.EngineStandIn] = {}
    shared = {
        "store": fleet.store,
        "evidence": fleet.evidence,
        "rng": fleet.rng,
    }
    for domain in DOMAINS:
        for service in ("plain", "plain", "other"):
            server_id = f"{service}-{domain}-{len(fleet.plain)}"
            entry = _entry(server_id, service, domain)
            backend = platform_backends.BackendStandIn(entry, **shared)
            fleet.plain.append(backend)
        for number in range(engines):
            entry = _entry(f"engine-{domain}-{number}", "model", domain)
            engine = platform_engines.EngineStandIn(
                entry,
                engine=soak_configuration.ENGINE,
                fleet=by_address,
                crashes=fleet.crashes,
                **shared,
            )
            fleet.engines.append(engine)
    for number, backend in enumerate(fleet.backends):
        host = own.host(_FIRST_BACKEND_HOST + number)
        stack.enter_context(backend.running(host))


def _entry(
    server_id: str, service: str, domain: str
) -> backend_server.BackendServer:
    return backend_server.BackendServer(
        id=server_id,
        service=service,
        address="",
        failure_domain=domain,
        availability=backend_server.Availability.READY,
        slots=64,
        accelerator="kind" if service == "model" else "",
        started_ms=int(time.time() * 1000),
    )


def _front_settings(
    own: loopback_range.LoopbackRange, number: int, store_address: str
) -> front_settings.FrontSettings:
    host = own.host(_FIRST_FRONT_HOST + number)
    return front_settings.FrontSettings(
        node=f"front-{number}",
        host=host,
        failure_domain=DOMAINS[number % len(DOMAINS)],
        callers_address=f"{host}:{_CALLERS_PORT}",
        ready_address=f"{host}:{_READY_PORT}",
        peer_port=_PEER_PORT,
        store_address=store_address,
        grace_s=GRACE_S,
    )


def _stop_fronts(fleet: Fleet) -> None:
    stops = {front: gevent.spawn(front.stop) for front in fleet.fronts}
    gevent.joinall(list(stops.values()))
    for front, stopped in stops.items():
        if not stopped.value:
            fleet.evidence.broken("stop", "", f"{front} did not end in time")
