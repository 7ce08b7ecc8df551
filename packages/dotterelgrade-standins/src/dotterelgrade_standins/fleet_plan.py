"""Plans the hosts and processes of a fleet from a contract's rules."""

from collections.abc import Iterable
import dataclasses
import re

from dotterelgrade import connection_frames
from dotterelgrade import grammar
from dotterelgrade import host_list
from dotterelgrade import rules
from dotterelgrade import settings as settings_lib
from dotterelgrade_agent import agent_settings
from dotterelgrade_entry import entry_settings
from dotterelgrade_standins import deployment as deployment_lib
from dotterelgrade_standins import engine as engine_lib
from dotterelgrade_standins import parts
from dotterelgrade_standins import shaper as shaper_lib

SHARED_KEY = "stand-in-fleet-shared-key"
LOG_PORT = 7300
HOSTS_PORT = 7301
WEIGHTS_PORT = 7302
PEER_PORT = 7400
ADMIN_PORT = 7401
HTTP_PORT = 8080
ENGINE_PORT = 9000
SERVICE_PORT = 9001
DEFAULT_MIX = ("h100", "a100", "l40", "a10", "h100", "a100", "l40", "t4")
_STALL_LIMIT_S = 1.0
_FIRST_ENTRY = 2
_FIRST_WORKER = 10
_FIRST_ORDER_WORKER = 200
_LIMIT = re.compile(r"( rate=| concurrent=)([0-9]+)(/s|\b)")
_DURATION = re.compile(r"(_p95=)([0-9.]+)(ms|s)\b")


class PlanError(Exception):
    """A contract can't be turned into a fleet."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlanSettings:
    """How large and how fast a planned fleet is.

    Attributes:
        network: First two numbers of every IP number.
        replicas: The most workers per place rule; 0 for the rule's own number.
        spares: Workers that hold no model at the start.
        entries: Number of entries.
        order_workers: Number of workers that run the plain service.
        mix: Accelerator kinds of the workers of a place rule, in turn.
        time_scale: Factor on the engines' durations.
        domain_delay_ms: One-way delay between failure domains, ms.
        far_delay_ms: The same to the last failure domain; 0 for no other.
        load_s: Time that an engine takes to load layers, s.
        hosts_lag_s: Lag of the host list, s.
        workers_per_process: Workers in a row whose agents share one
            operating-system process, and their engines another one, as far
            as they are in one failure domain.
        policy: Routing policy of the entries.
        models: Names of the models to place; empty for all.
        limit_scale: Factor on the workspaces' limits.
        isolated: Whether the first worker of each place rule has processes of
            its own, so that it can be killed alone.
    """

    network: str = "127.40"
    replicas: int = 0
    spares: int = 0
    entries: int = 2
    order_workers: int = 3
    mix: tuple[str, ...] = DEFAULT_MIX
    time_scale: float = 1.0
    domain_delay_ms: float = 0.5
    far_delay_ms: float = 0.0
    load_s: float = 1.0
    hosts_lag_s: float = 0.5
    workers_per_process: int = 1
    policy: str = "predicted"
    models: tuple[str, ...] = ()
    limit_scale: float = 1.0
    isolated: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Worker:
    """One backend server's host.

    Attributes:
        host: IP number.
        failure_domain: Its failure domain.
        place: The place rule that it serves; None for others.
        accelerator: Accelerator kind; empty on an order worker.
        agent_process: Process that runs its agent.
        backend_process: Process that runs its engine or plain service.
    """

    host: str
    failure_domain: str
    place: rules.PlacementRule | None
    accelerator: str
    agent_process: str
    backend_process: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryHost:
    """One entry's host.

    Attributes:
        host: IP number.
        failure_domain: Its failure domain.
        process: Process that runs the entry.
    """

    host: str
    failure_domain: str
    process: str


class FleetPlan:
    """The hosts of a fleet and what runs on them."""

    def __init__(self, contract_text: str, settings: PlanSettings) -> None:
        """Plans a fleet.

        Args:
            contract_text: The contract.
            settings: How large and fast the fleet is.

        Raises:
            PlanError: The contract has faults.
        """
        self._settings = settings
        self._text = scaled_limits(
            scaled_bounds(contract_text, settings.time_scale),
            settings.limit_scale,
        )
        outcome = grammar.parse(self._text)
        faults = outcome.swap().value_or(())
        if faults:
            raise PlanError("; ".join(fault.message for fault in faults))
        self._rules = [line.rule for line in outcome.unwrap()]
        self._failure_domains = self._find_failure_domains()
        self._entries = tuple(self._plan_entries())
        self._workers = tuple(self._plan_workers())
        self._order_workers = tuple(self._plan_order_workers())

    def __repr__(self) -> str:
        """Shows the numbers of hosts."""
        return (
            f"<FleetPlan {len(self._entries)} entries, "
            f"{len(self._workers)} model workers, "
            f"{len(self._order_workers)} order workers>"
        )

    @property
    def settings(self) -> PlanSettings:
        """How large and fast the fleet is."""
        return self._settings

    @property
    def contract_text(self) -> str:
        """The contract, with its bounds scaled like the engines."""
        return self._text

    @property
    def failure_domains(self) -> tuple[str, ...]:
        """Failure domains of the place rules."""
        return self._failure_domains

    @property
    def entries(self) -> tuple[EntryHost, ...]:
        """Hosts of the entries."""
        return self._entries

    @property
    def workers(self) -> tuple[Worker, ...]:
        """Hosts of the model workers."""
        return self._workers

    @property
    def order_workers(self) -> tuple[Worker, ...]:
        """Hosts of the order workers."""
        return self._order_workers

    @property
    def network(self) -> str:
        """First two numbers of every IP number."""
        return self._settings.network

    @property
    def log_host(self) -> str:
        """IP number of the log service."""
        return f"{self._settings.network}.0.2"

    @property
    def hosts_host(self) -> str:
        """IP number of the host list."""
        return f"{self._settings.network}.0.3"

    @property
    def weights_host(self) -> str:
        """IP number of the weight store."""
        return f"{self._settings.network}.0.4"

    def layers_of(self) -> dict[str, int]:
        """Returns the number of layers of each model."""
        models = self.rules_of(rules.ModelRule)
        return {rule.name: rule.layers for rule in models}

    @property
    def workspaces(self) -> list[rules.WorkspaceRule]:
        """Rules of the workspaces."""
        return self.rules_of(rules.WorkspaceRule)

    def rules_of(self, kind: type) -> list:
        """Returns the contract's rules of one kind."""
        return [rule for rule in self._rules if isinstance(rule, kind)]

    def bound_for(self, workspace: str) -> rules.LatencyBoundRule:
        """Returns the bound of a workspace."""
        bounds = {r.workspace: r for r in self.rules_of(rules.LatencyBoundRule)}
        return bounds.get(workspace) or bounds[rules.ANY]

    def deployment(self) -> deployment_lib.Deployment:
        """Returns the processes of the fleet, ready to be launched."""
        return deployment_lib.Deployment(
            processes=tuple(self._processes()), links=tuple(self._links())
        )

    def entry_settings(self, entry: EntryHost) -> entry_settings.EntrySettings:
        """Returns the settings of an entry."""
        return entry_settings.EntrySettings(
            process=self._process_settings(entry.host, entry.failure_domain),
            platform=self.platform(),
            http_port=HTTP_PORT,
            policy=self._settings.policy,
            stall_limit_s=max(
                _STALL_LIMIT_S, _STALL_LIMIT_S * self._settings.time_scale / 2
            ),
        )

    def platform(self) -> settings_lib.PlatformSettings:
        """Returns the addresses of the platform's stand-ins."""
        return settings_lib.PlatformSettings(
            log_url=f"http://{self.log_host}:{LOG_PORT}",
            hosts_url=f"http://{self.hosts_host}:{HOSTS_PORT}/hosts",
            weights_url=f"http://{self.weights_host}:{WEIGHTS_PORT}",
        )

    def _places(self) -> list[rules.PlacementRule]:
        wanted = self._settings.models
        return [
            rule
            for rule in self.rules_of(rules.PlacementRule)
            if not wanted or rule.model in wanted
        ]

    def _find_failure_domains(self) -> tuple[str, ...]:
        found: dict[str, None] = {}
        for rule in self.rules_of(rules.PlacementRule):
            found.update(dict.fromkeys(rule.failure_domains))
        if not found:
            raise PlanError("the contract has no place rule")
        return tuple(found)

    def _host(self, failure_domain: str, number: int) -> str:
        index = self._failure_domains.index(failure_domain) + 1
        return f"{self._settings.network}.{index}.{number}"

    def _plan_entries(self) -> Iterable[EntryHost]:
        for number in range(self._settings.entries):
            domain = self._failure_domains[number % len(self._failure_domains)]
            yield EntryHost(
                host=self._host(domain, _FIRST_ENTRY + number),
                failure_domain=domain,
                process=f"entry-{number + 1}",
            )

    def _plan_workers(self) -> Iterable[Worker]:
        number = 0
        for place in self._places():
            count = self._settings.replicas or place.replicas
            for replica in range(min(count, place.replicas)):
                domain = place.failure_domains[
                    replica % len(place.failure_domains)
                ]
                yield self._plan_worker(number, replica, domain, place)
                number += 1
        for spare in range(self._settings.spares):
            domain = self._failure_domains[spare % len(self._failure_domains)]
            yield self._plan_worker(number, spare, domain, None)
            number += 1

    def _plan_worker(
        self,
        number: int,
        replica: int,
        domain: str,
        place: rules.PlacementRule | None,
    ) -> Worker:
        settings = self._settings
        group = f"{domain}-{number // settings.workers_per_process + 1}"
        if settings.isolated and replica == 0 and place:
            group = f"{domain}-alone-{number + 1}"
        return Worker(
            host=self._host(domain, _FIRST_WORKER + number),
            failure_domain=domain,
            place=place,
            accelerator=settings.mix[replica % len(settings.mix)],
            agent_process=f"agents-{group}",
            backend_process=f"engines-{group}",
        )

    def _plan_order_workers(self) -> Iterable[Worker]:
        for number in range(self._settings.order_workers):
            domain = self._failure_domains[number % len(self._failure_domains)]
            yield Worker(
                host=self._host(domain, _FIRST_ORDER_WORKER + number),
                failure_domain=domain,
                place=None,
                accelerator="",
                agent_process=f"order-agent-{number + 1}",
                backend_process=f"order-{number + 1}",
            )

    def _links(self) -> Iterable[shaper_lib.LinkSettings]:
        domains = self._failure_domains
        for index, one in enumerate(domains):
            for other in domains[index + 1 :]:
                delay_ms = self._settings.domain_delay_ms
                if other == domains[-1]:
                    delay_ms = self._settings.far_delay_ms or delay_ms
                yield shaper_lib.LinkSettings(
                    between=(one, other), delay_ms=delay_ms
                )

    def _process_settings(
        self, host: str, failure_domain: str
    ) -> settings_lib.ProcessSettings:
        return settings_lib.ProcessSettings(
            host=host,
            peer_port=PEER_PORT,
            admin_port=ADMIN_PORT,
            failure_domain=failure_domain,
            shared_key=SHARED_KEY,
        )

    def _processes(self) -> Iterable[deployment_lib.ProcessPlan]:
        platform: dict[str, parts.Part] = {
            "log": parts.LogPart(host=self.log_host, port=LOG_PORT),
            "hosts": parts.HostsPart(
                host=self.hosts_host,
                port=HOSTS_PORT,
                entries=tuple(self._host_entries()),
                lag_s=self._settings.hosts_lag_s,
            ),
            "weights": parts.WeightsPart(
                host=self.weights_host, port=WEIGHTS_PORT
            ),
        }
        grouped: dict[str, list[parts.Part]] = {
            name: [part] for name, part in platform.items()
        }
        for worker in (*self._workers, *self._order_workers):
            backend = grouped.setdefault(worker.backend_process, [])
            backend.append(self._backend_part(worker))
        for worker in (*self._workers, *self._order_workers):
            agent = grouped.setdefault(worker.agent_process, [])
            agent.append(parts.AgentPart(settings=self._agent(worker)))
        for entry in self._entries:
            part = parts.EntryPart(settings=self.entry_settings(entry))
            grouped.setdefault(entry.process, []).append(part)
        for name, found in grouped.items():
            yield deployment_lib.ProcessPlan(name=name, parts=tuple(found))

    def _host_entries(self) -> Iterable[host_list.HostEntry]:
        hosts = [
            *((connection_frames.Role.ENTRY, entry) for entry in self._entries),
            *(
                (connection_frames.Role.AGENT, worker)
                for worker in self._workers
            ),
            *(
                (connection_frames.Role.AGENT, worker)
                for worker in self._order_workers
            ),
        ]
        for role, item in hosts:
            yield host_list.HostEntry(
                host=item.host,
                role=role,
                peer_port=PEER_PORT,
                admin_port=ADMIN_PORT,
                failure_domain=item.failure_domain,
            )

    def _backend_part(self, worker: Worker) -> parts.Part:
        if not worker.accelerator:
            return parts.DepositsPart(host=worker.host, port=SERVICE_PORT)
        place = worker.place
        return parts.EnginePart(
            host=worker.host,
            port=ENGINE_PORT,
            settings=engine_lib.EngineSettings(
                name=f"engine-{worker.host}",
                accelerator=worker.accelerator,
                model=place.model if place else "",
                first_layer=place.first_layer if place else 0,
                last_layer=place.last_layer if place else -1,
                models=self.layers_of(),
                time_scale=self._settings.time_scale,
                load_s=self._settings.load_s,
                checks_fence=worker.accelerator != "t4",
            ),
        )

    def _agent(self, worker: Worker) -> agent_settings.AgentSettings:
        if worker.accelerator:
            backend = agent_settings.BackendSettings(
                name="engine",
                kind="engine",
                url=f"http://{worker.host}:{ENGINE_PORT}",
                accelerator=worker.accelerator,
            )
        else:
            services = self.rules_of(rules.ServiceRule)
            backend = agent_settings.BackendSettings(
                name="service",
                kind="service",
                url=f"http://{worker.host}:{SERVICE_PORT}",
                service=services[0].to,
            )
        return agent_settings.AgentSettings(
            process=self._process_settings(worker.host, worker.failure_domain),
            platform=self.platform(),
            backends=(backend,),
        )


def scaled_bounds(text: str, factor: float) -> str:
    """Returns a contract whose bounds are longer by a factor."""

    def scale(match: re.Match[str]) -> str:
        value = float(match[2]) * factor
        return f"{match[1]}{value:g}{match[3]}"

    return _DURATION.sub(scale, text)


def scaled_limits(text: str, factor: float) -> str:
    """Returns a contract whose workspaces have larger limits by a factor."""

    def scale(match: re.Match[str]) -> str:
        value = max(1, round(float(match[2]) * factor))
        return f"{match[1]}{value}{match[3]}"

    return _LIMIT.sub(scale, text)
