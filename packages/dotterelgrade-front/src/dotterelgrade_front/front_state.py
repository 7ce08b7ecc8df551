"""What the greenlets of one front share."""

from collections.abc import Iterable
import dataclasses
import random
import time

from dotterelgrade import decision_log
from dotterelgrade import journal
from dotterelgrade_front import chain_directory
from dotterelgrade_front import front_metrics
from dotterelgrade_front import front_settings
from dotterelgrade_front import server_notices
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import configuration as configuration_lib
from dotterelgrade_routing import fleet as fleet_lib
from dotterelgrade_routing import holdoff
from dotterelgrade_routing import link_budget
from dotterelgrade_routing import platform_port
from dotterelgrade_routing import reservations
from dotterelgrade_routing import retry_budget
from dotterelgrade_routing import trust as trust_lib

_JOURNAL_CAPACITY = 2_000
# Retries that a front may spend in a window, as parts of what it is due: most
# of the slack at once, since a crash breaks many streams together, and little
# of it steadily. The rest covers a wrong count of the fronts and restarts.
_BURST_PART = 0.7
_STEADY_PART = 0.1
_EARNED_PART = 0.4
# Until the other fronts are known, one front takes the part of one in so many.
_UNKNOWN_FRONTS = 16


@dataclasses.dataclass(kw_only=True)
class Belief:
    """The configuration in force, with its age.

    Attributes:
        configuration: The newest version, or None before the first.
        read_at: Monotonic time at which the store was last heard, s.
    """

    configuration: configuration_lib.Configuration | None = None
    read_at: float = float("-inf")


class FrontState:
    """Beliefs, reservations and records of one front."""

    def __init__(
        self,
        settings: front_settings.FrontSettings,
        *,
        platform: platform_port.Platform,
    ) -> None:
        """Initializes a front that knows nothing yet.

        Args:
            settings: Where it runs and what bounds hold.
            platform: Everything that speaks to the platform.
        """
        self._settings = settings
        self._platform = platform
        self._belief = Belief()
        self._fleet = fleet_lib.Fleet()
        self._trust = trust_lib.Trust()
        holdoffs = holdoff.Holdoffs()
        self._load = reservations.Reservations()
        self._rng = random.Random()
        self._decisions = decision_log.DecisionLog(
            journal=journal.Journal(capacity=_JOURNAL_CAPACITY)
        )
        self._metrics = front_metrics.FrontMetrics()
        self._chains = chain_directory.ChainDirectory(
            fleet=self._fleet,
            trust=self._trust,
            load=self._load,
            holdoffs=holdoffs,
        )
        self._notices = server_notices.ServerNotices(
            fleet=self._fleet,
            holdoffs=holdoffs,
            decisions=self._decisions,
            metrics=self._metrics,
        )
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._links: dict[str, link_budget.LinkBudget] = {}
        self._fronts: tuple[str, ...] = ()
        self._leaving = False

    def __repr__(self) -> str:
        """Shows the host."""
        return f"<FrontState {self._settings.node}>"

    @property
    def settings(self) -> front_settings.FrontSettings:
        """Where it runs and what bounds hold."""
        return self._settings

    @property
    def platform(self) -> platform_port.Platform:
        """Everything that speaks to the platform."""
        return self._platform

    @property
    def belief(self) -> Belief:
        """The configuration in force, with its age."""
        return self._belief

    @property
    def configuration(self) -> configuration_lib.Configuration | None:
        """The configuration in force, or None before the first."""
        return self._belief.configuration

    @property
    def fleet(self) -> fleet_lib.Fleet:
        """The backend servers."""
        return self._fleet

    @property
    def trust(self) -> trust_lib.Trust:
        """Which backend servers are left out for a while."""
        return self._trust

    @property
    def notices(self) -> server_notices.ServerNotices:
        """What backend servers said of themselves in answers."""
        return self._notices

    @property
    def load(self) -> reservations.Reservations:
        """Memory that requests in flight hold."""
        return self._load

    @property
    def chains(self) -> chain_directory.ChainDirectory:
        """The chains to choose from."""
        return self._chains

    @property
    def rng(self) -> random.Random:
        """Breaks ties and spreads calls in time."""
        return self._rng

    @property
    def decisions(self) -> decision_log.DecisionLog:
        """Records decisions."""
        return self._decisions

    @property
    def metrics(self) -> front_metrics.FrontMetrics:
        """Counters and latencies."""
        return self._metrics

    @property
    def leaving(self) -> bool:
        """Whether a stop was ordered."""
        return self._leaving

    @property
    def store_silent_s(self) -> float:
        """Time since the store last answered, s."""
        return time.monotonic() - self._belief.read_at

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return not self._leaving and self._belief.configuration is not None

    def reload(self, settings: front_settings.FrontSettings) -> None:
        """Takes in changed settings."""
        self._settings = settings
        self._resize_budgets()

    def leave(self) -> None:
        """Takes in that a stop was ordered."""
        self._leaving = True

    @property
    def fronts(self) -> tuple[str, ...]:
        """`IP:PORT` of all fronts that were known last."""
        return self._fronts

    def set_fronts(self, fronts: Iterable[str]) -> None:
        """Takes in which fronts share the retry budget."""
        known = tuple(fronts)
        if len(known) == len(self._fronts):
            self._fronts = known
            return
        self._fronts = known
        self._resize_budgets()

    def _resize_budgets(self) -> None:
        for budget in self._budgets.values():
            budget.resize(
                rate_per_s=self._retry_rate_per_s(),
                capacity=self._retry_capacity(),
            )

    def budget(self, service: str) -> retry_budget.RetryBudget:
        """Returns the retry budget of a service."""
        if service not in self._budgets:
            self._budgets[service] = retry_budget.RetryBudget(
                share=self._settings.retry_ratio * _EARNED_PART,
                rate_per_s=self._retry_rate_per_s(),
                capacity=self._retry_capacity(),
            )
        return self._budgets[service]

    def links(
        self, service: configuration_lib.Service
    ) -> link_budget.LinkBudget:
        """Returns the budget of a model service's links between domains."""
        budget = self._links.setdefault(service.name, link_budget.LinkBudget())
        budget.resize(
            bits_per_s=service.engine.crossing_bits_per_s,
            fronts=len(self._fronts) or _UNKNOWN_FRONTS,
        )
        return budget

    def note_failure(
        self, server_id: str, *, reason: str, firm: bool = True
    ) -> None:
        """Leaves a backend server out of choice and records why.

        Args:
            server_id: The backend server.
            reason: What it did, in one clause.
            firm: Whether it is known to be at fault.
        """
        now = time.monotonic()
        known = self._trust.excluded(server_id, now=now)
        left_s = self._trust.note_failure(server_id, now=now, firm=firm)
        if not known:
            self._decisions.record(
                "backend_server_excluded",
                reason=reason,
                server=server_id,
                for_s=round(left_s, 2),
                firm=firm,
            )

    def note_report(
        self, server_id: str, report: backend_server.EngineReport
    ) -> bool:
        """Takes in what an engine reported.

        Returns:
            Whether anything that matters to routing changed.
        """
        if report.leaving:
            self._notices.note_leaving(
                server_id, started_ms=report.started_ms, reason="report"
            )
        return self._fleet.observe(
            server_id,
            fleet_lib.Observation(
                layers=report.layers,
                started_ms=report.started_ms,
                slowness=report.slowness,
                loading=report.loading,
                at=time.monotonic(),
            ),
        )

    def note_silence(self, server_id: str) -> None:
        """Counts an answer of a backend server that did not come in time."""
        if self._trust.note_silence(server_id, now=time.monotonic()):
            self._decisions.record(
                "backend_server_excluded",
                reason="silent several times in a row",
                server=server_id,
            )

    def note_refusal(self, server_id: str) -> None:
        """Counts a refusal that a backend server's report doesn't explain."""
        if self._trust.note_refusal(server_id, now=time.monotonic()):
            self._decisions.record(
                "backend_server_excluded",
                reason="refuses though it reports room",
                server=server_id,
            )

    def note_busy(self, server_id: str) -> None:
        """Passes over a backend server that could not take more."""
        self._trust.note_busy(server_id, now=time.monotonic())

    def _retry_capacity(self) -> float:
        return max(1.0, self._retry_slack() * _BURST_PART)

    def _retry_rate_per_s(self) -> float:
        steady = self._retry_slack() * _STEADY_PART
        return steady / self._settings.retry_window_s

    def _retry_slack(self) -> float:
        """Returns this front's part of the retries beside the earned ones."""
        fronts = len(self._fronts) or _UNKNOWN_FRONTS
        return self._settings.retry_slack / fronts
