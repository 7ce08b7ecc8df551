"""Spillover of a front's requests to other failure domains, per service."""

from collections.abc import Callable, Iterator, Mapping, Sequence
import contextlib
import dataclasses
import math
import random
import time

from dotterelgrade import decision_log
from dotterelgrade_front import chain_directory
from dotterelgrade_front import front_metrics
from dotterelgrade_front import front_settings
from dotterelgrade_front import upstream
from dotterelgrade_routing import attempt
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import chain_loads
from dotterelgrade_routing import configuration
from dotterelgrade_routing import crossing_health
from dotterelgrade_routing import domain_load
from dotterelgrade_routing import reservations
from dotterelgrade_routing import sent_shares
from dotterelgrade_routing import server_loads
from dotterelgrade_routing import spillover

# Smaller changes of the fraction are not logged.
_LOGGED_CHANGE = 0.05
# A slow plain service needs longer than the link alone.
_MAX_ANSWER_RATIO = 2.0
# Bounds the state if names of services change without end.
_MAX_SERVICES = 256


@dataclasses.dataclass(kw_only=True)
class _Service:
    """What a front knows of one service."""

    policy: spillover.Policy
    plan: spillover.Plan = spillover.Plan()
    due_at: float = -math.inf
    logged_fraction: float = 0.0
    others: tuple[str, ...] = ()
    sent: sent_shares.SentShares = dataclasses.field(
        default_factory=sent_shares.SentShares
    )
    answers: server_loads.ServerLoads = dataclasses.field(
        default_factory=server_loads.ServerLoads
    )


class WatchedCrossing:
    """A request to another failure domain, whose link is observed."""

    def __init__(
        self,
        health: crossing_health.CrossingHealth,
        crossing: crossing_health.Crossing | None,
    ) -> None:
        """Initializes it.

        Args:
            health: Observed links.
            crossing: The request, or None if it stays in its domain.
        """
        self._health = health
        self._crossing = crossing

    def __repr__(self) -> str:
        """Shows the request."""
        return f"<WatchedCrossing {self._crossing}>"

    def note_connected(self) -> None:
        """Records that the request was connected and sent."""
        if self._crossing is not None:
            self._health.note_connected(self._crossing, now=time.monotonic())

    def note_answered(self) -> None:
        """Records that the answer began."""
        if self._crossing is not None:
            self._health.note_answered(self._crossing, now=time.monotonic())
            self._crossing = None


class DomainSpillover:
    """Decides for each request whether it may leave the failure domain."""

    def __init__(
        self,
        settings: front_settings.FrontSettings,
        *,
        load: reservations.Reservations,
        decisions: decision_log.DecisionLog,
        metrics: front_metrics.FrontMetrics,
        rng: random.Random,
        front_count: Callable[[], int],
    ) -> None:
        """Initializes it without services.

        Args:
            settings: Name the policy and the failure domain.
            load: Reservations at the backend servers.
            decisions: Records changes of the fraction.
            metrics: Counts requests that leave.
            rng: Draws the requests that leave.
            front_count: Returns the number of fronts.
        """
        self._settings = settings
        self._load = load
        self._decisions = decisions
        self._metrics = metrics
        self._rng = rng
        self._front_count = front_count
        self._health = crossing_health.CrossingHealth()
        self._services: dict[str, _Service] = {}

    def __repr__(self) -> str:
        """Shows the policy and the services."""
        return (
            f"<DomainSpillover {self._settings.spillover} "
            f"{sorted(self._services)}>"
        )

    def reload(self, settings: front_settings.FrontSettings) -> None:
        """Applies changed settings; another policy starts anew."""
        if settings.spillover != self._settings.spillover:
            self._services.clear()
        self._settings = settings

    def chain_terms(
        self,
        service: str,
        offer: chain_directory.Offer,
        *,
        engine: configuration.Engine,
        may_leave: Callable[[], bool],
    ) -> spillover.Terms:
        """Returns the terms of a request to a model service.

        Args:
            service: Name of the service.
            offer: Its chains.
            engine: Figures of the model.
            may_leave: Returns whether the request may use the links; asked
                only while requests leave.
        """
        known = self._known(service)
        now = time.monotonic()
        if now >= known.due_at:
            loads = chain_loads.by_domain(
                offer.chains,
                engine=engine,
                load=self._load,
                memory=offer.memory,
                health=self._health,
                now=now,
            )
            held = chain_loads.held_by_domain(
                offer.chains,
                self._load.own,
                fronts=self._fronts_at_home(len(loads)),
            )
            age_s = now - offer.computed_at
            self._update(service, loads, held=held, now=now, age_s=age_s)
        return self._terms(known, may_leave, now)

    def server_terms(
        self, service: str, servers: Sequence[backend_server.BackendServer]
    ) -> spillover.Terms:
        """Returns the terms of a request to a plain service.

        Args:
            service: Name of the service.
            servers: Its backend servers that accept new work.
        """
        known = self._known(service)
        now = time.monotonic()
        if now >= known.due_at:
            domains = {server.failure_domain for server in servers}
            fronts = self._fronts_at_home(len(domains))
            held = {
                domain: rate * fronts * known.answers.unloaded_s
                for domain, rate in known.sent.rates(now=now).items()
            }
            loads = known.answers.by_domain(
                servers, held=held, health=self._health, now=now
            )
            self._update(service, loads, held=held, now=now, age_s=0.0)
        return self._terms(known, lambda: True, now)

    def permits(self, terms: spillover.Terms, domain: str) -> bool:
        """Returns whether a request may be sent to a failure domain.

        Args:
            terms: The terms of the request.
            domain: The failure domain.
        """
        home = self._settings.failure_domain
        if not terms.permits(domain, home=home):
            return False
        if domain == home or not terms.in_force or terms.is_probe:
            return True
        return self._health.usable(domain, now=time.monotonic())

    def note_sent(self, service: str, domain: str) -> None:
        """Counts an attempt.

        Args:
            service: Name of the service.
            domain: Failure domain that it is sent to.
        """
        self._known(service).sent.note(domain, now=time.monotonic())
        if domain != self._settings.failure_domain:
            self._metrics.count_left_domain(service)

    def note_answer(self, service: str, domain: str, seconds: float) -> None:
        """Records how long a plain service took to answer.

        Args:
            service: Name of the service.
            domain: Failure domain of the backend server.
            seconds: Time from the start of the attempt to the answer, s.
        """
        self._known(service).answers.note_answer(
            domain, seconds, now=time.monotonic()
        )

    @contextlib.contextmanager
    def crossing(self, service: str, domain: str) -> Iterator[WatchedCrossing]:
        """Observes an attempt until the context ends.

        Args:
            service: Name of the service.
            domain: Failure domain that it is sent to.
        """
        health = self._health
        if domain == self._settings.failure_domain:
            yield WatchedCrossing(health, None)
            return
        usual_s = self._known(service).answers.unloaded_s
        crossing = health.begin(
            domain,
            now=time.monotonic(),
            max_answer_s=max(
                crossing_health.MAX_ANSWER_S, _MAX_ANSWER_RATIO * usual_s
            ),
        )
        try:
            yield WatchedCrossing(health, crossing)
        except upstream.AttemptFailedError as failed:
            now = time.monotonic()
            if failed.execution is attempt.ExecutionStatus.NEVER_SENT:
                health.note_unconnected(crossing, now=now)
            elif failed.execution is attempt.ExecutionStatus.REFUSED:
                health.note_answered(crossing, now=now)
            raise
        finally:
            health.end(crossing)

    def _known(self, service: str) -> _Service:
        if service not in self._services:
            if len(self._services) >= _MAX_SERVICES:
                self._services.pop(next(iter(self._services)))
            self._services[service] = _Service(
                policy=spillover.POLICIES.make(self._settings.spillover)
            )
        return self._services[service]

    def _fronts_at_home(self, domains: int) -> float:
        """Returns how many fronts the home domain has, if all have as many."""
        return max(self._front_count() / max(domains, 1), 1.0)

    def _terms(
        self, known: _Service, may_leave: Callable[[], bool], now: float
    ) -> spillover.Terms:
        if not known.plan.in_force:
            # Draws no random number, so that decisions are as without it.
            return spillover.Terms()
        allowed = may_leave()
        for domain in known.others if allowed else ():
            if self._health.take_probe(domain, now=now):
                return spillover.leaving_to(domain, is_probe=True)
        return known.plan.terms(chance=self._rng.random(), may_leave=allowed)

    def _update(
        self,
        service: str,
        loads: Sequence[domain_load.DomainLoad],
        *,
        held: Mapping[str, float],
        now: float,
        age_s: float,
    ) -> None:
        known = self._known(service)
        known.due_at = now + spillover.RECOMPUTE_INTERVAL_S
        home = self._settings.failure_domain
        sent = known.sent.shares()
        view = spillover.View(
            home=next((x for x in loads if x.failure_domain == home), None),
            others=tuple(x for x in loads if x.failure_domain != home),
            held=held,
            sent={d: share for d, share in sent.items() if d != home},
            age_s=age_s,
        )
        known.others = tuple(x.failure_domain for x in view.others)
        known.plan = known.policy.update(view, now=now)
        self._metrics.set_spillover(service, known.plan.fraction)
        self._record(service, known, view)

    def _record(
        self, service: str, known: _Service, view: spillover.View
    ) -> None:
        """Records the fraction if it has changed or come back to 0."""
        fraction, shares = known.plan.fraction, known.plan.shares
        change = abs(fraction - known.logged_fraction)
        ended = known.logged_fraction > 0 and not fraction
        if change < _LOGGED_CHANGE and not ended:
            return
        known.logged_fraction = fraction
        self._decisions.record(
            "spillover_changed",
            reason="expected time at home and in other failure domains",
            service=service,
            domain=max(shares, key=lambda d: shares[d], default=""),
            fraction=round(fraction, 2),
            home_s=_finite(view.home_s),
            away_s=_finite(view.away_s),
            utilization=_finite(
                math.inf if view.home is None else view.home.utilization
            ),
            age_s=round(view.age_s, 2),
        )


def _finite(figure: float) -> float | None:
    """Returns a rounded figure, or None if there is none."""
    return round(figure, 3) if math.isfinite(figure) else None
