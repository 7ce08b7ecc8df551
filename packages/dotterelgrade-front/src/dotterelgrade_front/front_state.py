"""State that the greenlets of one front share."""

from collections.abc import Iterable
import dataclasses
import random
import time

from dotterelgrade import decision_log
from dotterelgrade import journal
from dotterelgrade import memory_budget
from dotterelgrade import quarantine as quarantine_lib
from dotterelgrade_front import chain_directory
from dotterelgrade_front import domain_spillover
from dotterelgrade_front import front_metrics
from dotterelgrade_front import front_settings
from dotterelgrade_front import paced_election
from dotterelgrade_front import rank_admission
from dotterelgrade_front import refusal_times
from dotterelgrade_front import request_quarantine
from dotterelgrade_front import server_notices
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import configuration as configuration_lib
from dotterelgrade_routing import exclusions as exclusions_lib
from dotterelgrade_routing import feed_freshness
from dotterelgrade_routing import fleet as fleet_lib
from dotterelgrade_routing import graceful_stop
from dotterelgrade_routing import holdoff
from dotterelgrade_routing import link_budget
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import rank_demand
from dotterelgrade_routing import reservations
from dotterelgrade_routing import retry_budget

_JOURNAL_CAPACITY = 2_000
# Fractions of a front's share of the retry slack: most of it as burst capacity,
# since a crash breaks many streams together, little of it as steady rate. The
# rest covers restarts and a wrong count of fronts.
_BURST_FRACTION = 0.7
_STEADY_FRACTION = 0.1
# Fraction of the retry ratio that each request adds to the budget.
_EARNED_FRACTION = 0.4
# Fraction of the memory for what others send. The rest holds the program,
# what it knows of the fleet, and copies of bodies while they are joined.
_BODY_MEMORY_FRACTION = 0.25
# Assumed number of fronts until the planner reports it.
_DEFAULT_FRONT_COUNT = 16


@dataclasses.dataclass(kw_only=True)
class KnownConfiguration:
    """The configuration in force, with its age.

    Attributes:
        configuration: The newest version, or None before the first read.
        store_contact_at: Monotonic time of the last contact with the store, s.
        freshness: Offset up to which the versions are known, and its age.
    """

    configuration: configuration_lib.Configuration | None = None
    store_contact_at: float = float("-inf")
    freshness: feed_freshness.FeedFreshness = feed_freshness.FeedFreshness()

    @property
    def version(self) -> int | None:
        """Version of the configuration, or None before the first read."""
        return (
            None if self.configuration is None else self.configuration.version
        )


class FrontState:
    """Configuration, fleet, reservations and records of one front."""

    def __init__(
        self,
        settings: front_settings.FrontSettings,
        *,
        platform: platform_port.Platform,
    ) -> None:
        """Initializes a state without a configuration and an empty fleet.

        Args:
            settings: Addresses and limits of the front.
            platform: Clients of the platform's services.
        """
        self._settings = settings
        self._platform = dataclasses.replace(
            platform, election=paced_election.PacedElection(platform.election)
        )
        self._known_configuration = KnownConfiguration()
        self._fleet = fleet_lib.Fleet()
        self._exclusions = exclusions_lib.ExclusionTracker()
        holdoffs = holdoff.Holdoffs()
        self._load = reservations.Reservations()
        self._rng = random.Random()
        self._decisions = decision_log.DecisionLog(
            journal=journal.Journal(capacity=_JOURNAL_CAPACITY)
        )
        self._metrics = front_metrics.FrontMetrics()
        self._chains = chain_directory.ChainDirectory(
            fleet=self._fleet,
            exclusions=self._exclusions,
            load=self._load,
            holdoffs=holdoffs,
        )
        self._rank_admission = rank_admission.RankAdmission(
            policy=settings.admission, load=self._load, metrics=self._metrics
        )
        self._notices = server_notices.ServerNotices(
            fleet=self._fleet,
            holdoffs=holdoffs,
            decisions=self._decisions,
            metrics=self._metrics,
        )
        self._quarantine = request_quarantine.RequestQuarantine(
            quarantine_lib.Quarantine(policy=settings.quarantine),
            decisions=self._decisions,
            metrics=self._metrics,
        )
        self._refusals = refusal_times.RefusalTimes(
            settings.retry_after,
            known=self._known_configuration,
            decisions=self._decisions,
            metrics=self._metrics,
        )
        self._spillover = domain_spillover.DomainSpillover(
            settings,
            load=self._load,
            decisions=self._decisions,
            metrics=self._metrics,
            rng=self._rng,
            front_count=lambda: len(self._fronts) or _DEFAULT_FRONT_COUNT,
        )
        self._memory = memory_budget.MemoryBudget(
            capacity_bytes=settings.memory_bytes * _BODY_MEMORY_FRACTION,
            accounts=settings.most_connections,
        )
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._links: dict[str, link_budget.LinkBudget] = {}
        self._fronts: tuple[str, ...] = ()
        self._leaving = False
        self._stop: graceful_stop.GracefulStop | None = None

    def __repr__(self) -> str:
        """Shows the host."""
        return f"<FrontState {self._settings.node}>"

    @property
    def settings(self) -> front_settings.FrontSettings:
        """Addresses and limits of the front."""
        return self._settings

    @property
    def platform(self) -> platform_port.Platform:
        """Clients of the platform's services."""
        return self._platform

    @property
    def known_configuration(self) -> KnownConfiguration:
        """The configuration in force, with its age."""
        return self._known_configuration

    @property
    def configuration(self) -> configuration_lib.Configuration | None:
        """The configuration in force, or None before the first read."""
        return self._known_configuration.configuration

    @property
    def fleet(self) -> fleet_lib.Fleet:
        """The backend servers."""
        return self._fleet

    @property
    def exclusions(self) -> exclusions_lib.ExclusionTracker:
        """Which backend servers are excluded for a while."""
        return self._exclusions

    @property
    def notices(self) -> server_notices.ServerNotices:
        """Leaving and full notices from backend servers."""
        return self._notices

    @property
    def quarantine(self) -> request_quarantine.RequestQuarantine:
        """Which requests are refused since servers crashed under them."""
        return self._quarantine

    @property
    def refusals(self) -> refusal_times.RefusalTimes:
        """When callers of refused requests should retry."""
        return self._refusals

    @property
    def spillover(self) -> domain_spillover.DomainSpillover:
        """Which requests may leave the failure domain."""
        return self._spillover

    @property
    def load(self) -> reservations.Reservations:
        """Memory reserved by requests in flight."""
        return self._load

    @property
    def chains(self) -> chain_directory.ChainDirectory:
        """The candidate chains of each model service."""
        return self._chains

    @property
    def rank_admission(self) -> rank_admission.RankAdmission:
        """Terms for requests of ranked services."""
        return self._rank_admission

    @property
    def own_demand(self) -> list[rank_demand.RankDemand] | None:
        """Demand at this front, or None while no service has ranks."""
        current = self.configuration
        if current is None or not current.ranks_any:
            return None
        return self._rank_admission.own_rows

    def set_demand(
        self, rows: list[rank_demand.RankDemand] | None, *, source: str
    ) -> None:
        """Sets the demand at all fronts.

        Args:
            rows: Rows of the planner; with None, or if they are not valid, the
                last ones stay in force.
            source: `IP:PORT` of the planner.
        """
        if rows is None:
            return
        try:
            self._rank_admission.set_totals(rows)
        except ValueError as error:
            self.note_bad_demand(str(error), source=source)

    def note_bad_demand(self, reason: str, *, source: str) -> None:
        """Records that rows of demand were not valid.

        Args:
            reason: Why, in one clause.
            source: `IP:PORT` of the sender.
        """
        self._decisions.record("demand_rejected", reason=reason, peer=source)

    @property
    def rng(self) -> random.Random:
        """Random numbers that break ties and add jitter."""
        return self._rng

    @property
    def memory(self) -> memory_budget.MemoryBudget:
        """Bounds what is buffered of bodies, for the settings at the start."""
        return self._memory

    @property
    def decisions(self) -> decision_log.DecisionLog:
        """Log of decisions."""
        return self._decisions

    @property
    def metrics(self) -> front_metrics.FrontMetrics:
        """Counters and latencies."""
        return self._metrics

    @property
    def leaving(self) -> bool:
        """Whether a stop was requested."""
        return self._leaving

    @property
    def store_silent_s(self) -> float:
        """Time since the store last answered, s."""
        return time.monotonic() - self._known_configuration.store_contact_at

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send requests here."""
        return (
            not self._leaving
            and self._known_configuration.configuration is not None
        )

    def reload(self, settings: front_settings.FrontSettings) -> None:
        """Applies changed settings."""
        self._settings = settings
        self._rank_admission.set_policy(settings.admission)
        self._refusals.use(settings.retry_after)
        self._spillover.reload(settings)
        self._resize_budgets()

    def mark_leaving(
        self, stop: graceful_stop.GracefulStop | None = None
    ) -> None:
        """Marks the front as leaving after a stop request.

        Args:
            stop: The times of the stop, if it has an end.
        """
        self._leaving = True
        self._stop = stop

    @property
    def finishes_at(self) -> float:
        """When streams that wait for their end alone are completed, s.

        Monotonic time; infinite without a stop that has an end.
        """
        return float("inf") if self._stop is None else self._stop.finishes_at

    def may_begin(self, *, deadline: float) -> bool:
        """Returns whether a request that has just been read is begun.

        Args:
            deadline: Deadline of the request as monotonic time, s.
        """
        if self._stop is None:
            return True
        return self._stop.permits(deadline=deadline, now=time.monotonic())

    @property
    def fronts(self) -> tuple[str, ...]:
        """`IP:PORT` of all fronts known last."""
        return self._fronts

    def set_fronts(self, fronts: Iterable[str]) -> None:
        """Sets the fronts that share the retry budget."""
        addresses = tuple(fronts)
        if len(addresses) == len(self._fronts):
            self._fronts = addresses
            return
        self._fronts = addresses
        self._resize_budgets()

    def _resize_budgets(self) -> None:
        for budget in self._budgets.values():
            budget.resize(
                rate_per_s=self._retry_rate_per_s(),
                capacity=self._retry_capacity(),
                share=self._retry_share(),
            )

    def retry_budget_for(self, service: str) -> retry_budget.RetryBudget:
        """Returns the retry budget of a service."""
        if service not in self._budgets:
            self._budgets[service] = retry_budget.RetryBudget(
                share=self._retry_share(),
                rate_per_s=self._retry_rate_per_s(),
                capacity=self._retry_capacity(),
            )
        return self._budgets[service]

    def link_budget_for(
        self, service: configuration_lib.Service
    ) -> link_budget.LinkBudget:
        """Returns the budget of a model service's links between domains."""
        budget = self._links.setdefault(service.name, link_budget.LinkBudget())
        budget.resize(
            bits_per_s=service.engine.crossing_bits_per_s,
            fronts=len(self._fronts) or _DEFAULT_FRONT_COUNT,
        )
        return budget

    def note_failure(
        self, server_id: str, *, reason: str, confirmed: bool = True
    ) -> None:
        """Excludes a backend server and records why.

        Args:
            server_id: The backend server.
            reason: The observed fault, in one clause.
            confirmed: Whether the fault is confirmed.
        """
        now = time.monotonic()
        already_excluded = self._exclusions.excluded(server_id, now=now)
        left_s = self._exclusions.note_failure(
            server_id, now=now, confirmed=confirmed
        )
        if not already_excluded:
            self._decisions.record(
                "backend_server_excluded",
                reason=reason,
                server=server_id,
                for_s=round(left_s, 2),
                firm=confirmed,
            )

    def note_oversized(
        self, server_id: str, *, reason: str, request_id: str
    ) -> None:
        """Excludes a backend server whose response exceeds the size limit.

        Args:
            server_id: The backend server.
            reason: The observed fault, in one clause.
            request_id: The request.
        """
        self._metrics.count_oversized()
        self._decisions.record(
            "response_too_large",
            reason=reason,
            server=server_id,
            request_id=request_id,
        )
        self.note_failure(server_id, reason=reason)

    def note_report(
        self, server_id: str, report: backend_server.EngineReport
    ) -> bool:
        """Applies an engine's report.

        Returns:
            Whether anything relevant to routing changed.
        """
        if report.leaving:
            self._notices.note_leaving(
                server_id, started_ms=report.started_ms, reason="report"
            )
        return self._fleet.note_report(
            server_id,
            fleet_lib.Observation(
                layers=report.layers,
                started_ms=report.started_ms,
                slowness=report.slowness,
                loading=report.loading,
                at=time.monotonic(),
            ),
        )

    def note_timeout(self, server_id: str) -> None:
        """Counts a response timeout of a backend server."""
        if self._exclusions.note_timeout(server_id, now=time.monotonic()):
            self._decisions.record(
                "backend_server_excluded",
                reason="several consecutive timeouts",
                server=server_id,
            )

    def note_refusal(self, server_id: str) -> None:
        """Counts a refusal by a backend server that reports free memory."""
        if self._exclusions.note_refusal(server_id, now=time.monotonic()):
            self._decisions.record(
                "backend_server_excluded",
                reason="refuses though it reports free memory",
                server=server_id,
            )

    def note_busy(self, server_id: str) -> None:
        """Marks a backend server as busy after it ran out of capacity."""
        self._exclusions.note_busy(server_id, now=time.monotonic())

    def _retry_capacity(self) -> float:
        return max(1.0, self._retry_slack() * _BURST_FRACTION)

    def _retry_rate_per_s(self) -> float:
        steady_retries = self._retry_slack() * _STEADY_FRACTION
        return steady_retries / self._settings.retry_window_s

    def _retry_share(self) -> float:
        return self._settings.retry_ratio * _EARNED_FRACTION

    def _retry_slack(self) -> float:
        """Returns this front's share of the retries not earned by requests."""
        fronts = len(self._fronts) or _DEFAULT_FRONT_COUNT
        return self._settings.retry_slack / fronts
