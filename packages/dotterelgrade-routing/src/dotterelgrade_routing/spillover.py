"""Decides which part of a failure domain's requests leaves it, and where to.

Load pattern: the demand of failure domains rises and falls at different times,
so that requests are late in one domain while another is idle. Traffic between
domains is slow and paid for, and dozens of fronts decide from one snapshot;
each request is drawn at random by the share that should leave, so that the
fronts don't send all of them at once.
"""

from collections.abc import Mapping
import dataclasses
import math
from typing import Protocol

from dotterelgrade import registry
from dotterelgrade_routing import admission
from dotterelgrade_routing import domain_load
from dotterelgrade_routing import service_choice
from dotterelgrade_routing import spillover_balance

RECOMPUTE_INTERVAL_S = 0.5
# Largest change of the fraction in one interval.
MAX_STEP = 0.25
# Ratios of the expected time at home to that elsewhere. The fraction stays
# between what they give, or it would follow each change of the snapshot.
RISE_GAIN = 1.2
FALL_GAIN = 1.05
# A domain with less utilization has room, unless it is slow.
MIN_UTILIZATION = 0.6
MIN_TIME_RATIO = 2.0
# Below this share of the link budget, only the most urgent requests leave.
MIN_LINK_SHARE = 0.5
# Cost of the best chain elsewhere relative to the best one at home. With the
# uniform cost exponent of 3 its weight is at most 1/8 of that at home. A higher
# margin makes more requests late; a lower one lets more leave.
_KEEP_MARGIN = 2.0
# A service without requests for so long starts anew; its share would have
# fallen to 0 by then.
_MAX_PLAN_AGE_S = RECOMPUTE_INTERVAL_S / MAX_STEP
# Gain of the smoothed use of each domain, at each recomputation.
_HELD_GAIN = 0.4
# Assumed part of the load at home that is its own, for fronts that have just
# started or have few requests.
_MIN_HOME_SHARE = 0.5
# Less use counts as none, in memory or slots.
_MIN_HELD = 1e-3


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
    """What a front knows of one service in all failure domains.

    Attributes:
        home: Its own domain, or None without a chain or server.
        others: The other domains with a chain or a server.
        held: Memory or slots that requests of the home domain use in each
            domain, in the unit of the capacities.
        sent: Share of this front's requests sent to each other domain lately.
        age_s: Age of the figures, s.
    """

    home: domain_load.DomainLoad | None
    others: tuple[domain_load.DomainLoad, ...]
    held: Mapping[str, float] = dataclasses.field(default_factory=dict)
    sent: Mapping[str, float] = dataclasses.field(default_factory=dict)
    age_s: float = 0.0

    @property
    def is_valid(self) -> bool:
        """Whether all figures are finite and not negative."""
        loads = self.others if self.home is None else (self.home, *self.others)
        figures = (*self.held.values(), *self.sent.values())
        return all(load.is_valid for load in loads) and all(
            0.0 <= figure < math.inf for figure in figures
        )

    @property
    def usable(self) -> tuple[domain_load.DomainLoad, ...]:
        """The other domains to which requests may be sent."""
        return tuple(other for other in self.others if other.usable)

    @property
    def home_s(self) -> float:
        """Expected time at home, s; infinite without a chain or server."""
        return math.inf if self.home is None else self.home.expected_s

    @property
    def away_s(self) -> float:
        """Shortest expected time elsewhere, s; infinite if there is none."""
        return min(
            (other.expected_s for other in self.usable), default=math.inf
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Terms:
    """What one request pays for another failure domain.

    Attributes:
        other_domain_factor: Factor of a chain's cost.
        other_domain_requests: Penalty of a plain server, in requests.
        destination: Domain to which the request may leave, or empty.
        is_probe: Whether it must leave, to try the links to that domain.
        home_only: Whether it must stay, as others need the links.
        in_force: Whether they are those of a plan, not the fixed ones.
    """

    other_domain_factor: float = admission.OTHER_DOMAIN_FACTOR
    other_domain_requests: float = service_choice.OTHER_DOMAIN_REQUESTS
    destination: str = ""
    is_probe: bool = False
    home_only: bool = False
    in_force: bool = False

    def permits(self, domain: str, *, home: str) -> bool:
        """Returns whether the request may be sent to a failure domain."""
        if domain == home:
            return not self.is_probe
        return not self.home_only and self.destination in ("", domain)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Where the requests of the home domain go.

    Attributes:
        in_force: Whether it replaces the fixed costs.
        shares: Share of the requests that leaves, by failure domain.
        keep_factor: Cost factor that keeps a request in the home domain.
    """

    in_force: bool = False
    shares: Mapping[str, float] = dataclasses.field(default_factory=dict)
    keep_factor: float = admission.OTHER_DOMAIN_FACTOR

    @property
    def fraction(self) -> float:
        """Share of the requests that leaves, 0 to 1."""
        return min(sum(self.shares.values()), 1.0)

    def terms(self, *, chance: float, may_leave: bool = True) -> Terms:
        """Draws whether a request leaves, and where to.

        Args:
            chance: Random number from 0 to 1 for this request.
            may_leave: Whether it may use the links between domains.
        """
        if not self.in_force:
            return Terms()
        if not may_leave:
            return Terms(home_only=True, in_force=True)
        for domain, share in self.shares.items():
            chance -= share
            if chance < 0:
                return leaving_to(domain)
        return Terms(other_domain_factor=self.keep_factor, in_force=True)


def leaving_to(domain: str, *, is_probe: bool = False) -> Terms:
    """Returns the terms of a request that leaves to a failure domain."""
    return Terms(
        other_domain_factor=1.0,
        other_domain_requests=0.0,
        destination=domain,
        is_probe=is_probe,
        in_force=True,
    )


def may_leave(*, rank: int, begun: bool, link_share: float) -> bool:
    """Returns whether a request may use the links between domains.

    Args:
        rank: Rank of the request, 0 is the most urgent.
        begun: Whether its caller has received events already.
        link_share: Share of the link budget that is left.
    """
    return begun or rank == 0 or link_share >= MIN_LINK_SHARE


class Policy(Protocol):
    """Decides for one service of one front."""

    def update(self, view: View, *, now: float) -> Plan:
        """Returns the plan for the next requests.

        Args:
            view: What the front knows.
            now: Monotonic time, s.
        """


POLICIES = registry.Registry[Policy]("spillover")


@POLICIES.register("fixed")
class FixedPolicy:
    """Leaves the domain at a fixed cost, whatever the load."""

    def update(self, view: View, *, now: float) -> Plan:
        """See `Policy.update`."""
        del view, now
        return Plan()


@POLICIES.register("adaptive")
class AdaptivePolicy:
    """Sends away what the home domain would serve later than others."""

    def __init__(self) -> None:
        """Initializes it with nothing sent away."""
        self._plan = Plan()
        self._updated_at = -math.inf
        self._held: dict[str, float] = {}

    def __repr__(self) -> str:
        """Shows the fraction."""
        return f"<AdaptivePolicy {self._plan.fraction:.2f}>"

    def update(self, view: View, *, now: float) -> Plan:
        """See `Policy.update`."""
        elapsed_s = now - self._updated_at
        if elapsed_s < RECOMPUTE_INTERVAL_S or not view.is_valid:
            return self._plan
        self._updated_at = now
        if elapsed_s > _MAX_PLAN_AGE_S:
            self._plan = Plan()
            view = dataclasses.replace(view, sent={})
        self._smooth(view.held)
        needed = self._is_needed(view)
        if needed or self._plan.in_force:
            self._plan = self._replan(view, needed=needed)
        return self._plan

    def _smooth(self, held: Mapping[str, float]) -> None:
        """Updates the use by the home domain, of which a front sees a part."""
        self._held = {
            domain: known + _HELD_GAIN * (held.get(domain, 0.0) - known)
            for domain, known in {**held, **self._held}.items()
            if domain in held or known >= _MIN_HELD
        }

    def _settled(
        self, view: View
    ) -> tuple[domain_load.DomainLoad | None, list[domain_load.DomainLoad]]:
        """Returns the loads at home and elsewhere as if nothing had left.

        As much of the load from other domains is taken to return there, or
        domains with equal load would go on exchanging their requests.
        """
        usable = [
            other.without(self._held.get(other.failure_domain, 0.0))
            for other in view.usable
        ]
        home = view.home
        if home is None:
            return None, usable
        here = self._held.get(home.failure_domain, 0.0)
        away = sum(self._held.values()) - here
        returned = min(away, max(home.used - here, 0.0))
        home = home.without(returned - away)
        total = sum(other.capacity for other in usable)
        return home, [
            other.without(-returned * other.capacity / total)
            for other in usable
        ]

    def _is_needed(self, view: View) -> bool:
        """Returns whether the home domain is full or slow.

        While the plan is in force, this is asked for the whole demand, or the
        relief would end the plan.
        """
        home = view.home
        if home is None:
            return bool(view.others)
        away_s = view.away_s
        if self._plan.in_force:
            home, others = self._settled(view)
            away_s = min((o.expected_s for o in others), default=math.inf)
        ratio = home.expected_s / max(away_s, 1e-9)
        return home.utilization > MIN_UTILIZATION or ratio > MIN_TIME_RATIO

    def _replan(self, view: View, *, needed: bool) -> Plan:
        usable = {other.failure_domain for other in view.usable}
        applied = self._plan.shares if self._plan.in_force else view.sent
        current = {d: share for d, share in applied.items() if d in usable}
        if view.home is None:
            shares: Mapping[str, float] = self._wanted(view, gain=0.0)
        else:
            wanted = self._within_band(view, current) if needed else {}
            shares = spillover_balance.limited(current, wanted, step=MAX_STEP)
        return Plan(
            in_force=needed or bool(shares),
            shares=shares,
            keep_factor=_keep_factor(view),
        )

    def _within_band(
        self, view: View, current: Mapping[str, float]
    ) -> dict[str, float]:
        """Returns the shares moved to the nearest ones with a right gain."""
        least = self._wanted(view, gain=RISE_GAIN)
        most = self._wanted(view, gain=FALL_GAIN)
        return {
            other.failure_domain: min(
                max(
                    current.get(other.failure_domain, 0.0),
                    least.get(other.failure_domain, 0.0),
                ),
                most.get(other.failure_domain, 0.0),
            )
            for other in view.usable
        }

    def _wanted(self, view: View, *, gain: float) -> Mapping[str, float]:
        home, others = self._settled(view)
        here = 0.0 if view.home is None else view.home.used
        demand = max(
            sum(self._held.values()), _MIN_HOME_SHARE * here, _MIN_HELD
        )
        return spillover_balance.excess(home, others, demand=demand, gain=gain)


def _keep_factor(view: View) -> float:
    """Returns the cost factor that keeps a request in the home domain."""
    fixed = admission.OTHER_DOMAIN_FACTOR
    costs = (other.expected_s - other.crossing_s for other in view.others)
    cheapest = min(costs, default=0.0)
    if view.home is None or cheapest <= 0:
        return fixed
    return max(fixed, _KEEP_MARGIN * view.home_s / cheapest)
