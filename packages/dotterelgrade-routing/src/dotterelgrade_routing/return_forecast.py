"""Computes when the caller of a refused request should retry it.

Load pattern: hundreds of requests are refused in one second, and are retried in
one second, since all refusals give the same time. While the store is
unavailable and all fronts have restarted, requests are refused for seconds;
callers that retry once after half a second are refused again and are lost.
"""

from collections.abc import Callable
import dataclasses
import enum
import math
from typing import Protocol

from dotterelgrade import registry
from dotterelgrade_routing import admission
from dotterelgrade_routing import interval_counts
from dotterelgrade_routing import return_schedule

DEFAULT_RETRY_AFTER_S = 0.5
MIN_RETRY_AFTER_S = 0.05
# Time to read the configuration from a store that answers again.
READ_S = 0.3
# If half of the outages that have lasted a time t end within t, four fifths end
# within 4 t. Most callers retry once: a second refusal is worse than a wait.
OUTAGE_FACTOR = 4.0
# A caller follows a retry time up to a third of its remaining time, which the
# way of the answer shortens.
FOLLOWED_SHARE = 0.32
MAX_SERVICES = 16
_ALL_SERVICES = ""
# A chain that was missing longer ago may have been there since.
_NO_CHAIN_MEMORY_S = interval_counts.MAX_INTERVALS * interval_counts.INTERVAL_S


class Reason(enum.StrEnum):
    """Why a request is refused, as far as the retry time depends on it."""

    NO_ROOM = "no room"
    NO_CONFIGURATION = "no configuration"
    NO_CHAIN = "no chain"
    NO_RETRIES = "retry budget empty"
    # This front refuses the request, and others accept it at once.
    ELSEWHERE = "elsewhere"
    OTHER = "other"

    @classmethod
    def of_admission(cls, text: str) -> "Reason":
        """Returns the reason for the text of an `admission.Refused`."""
        if text in (cls.NO_CHAIN, cls.NO_RETRIES):
            return cls(text)
        return cls.NO_ROOM


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """A request that is refused.

    Attributes:
        reason: Why.
        service: Name of the service, or empty if it is not known.
        rank: 0 is the most urgent.
        ranked: Whether the service has requests of several ranks.
        usual_s: Retry time without an outage, ranks or mass refusals, s.
        left_s: Time until the caller's deadline, s; infinite if not known.
        outage_s: Time for which the store has been unavailable, s, or 0.
        budget_s: Time in which the retry budget earns a retry, s.
    """

    reason: Reason
    service: str = _ALL_SERVICES
    rank: int = 0
    ranked: bool = False
    usual_s: float = DEFAULT_RETRY_AFTER_S
    left_s: float = math.inf
    outage_s: float = 0.0
    budget_s: float = DEFAULT_RETRY_AFTER_S


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReturnTime:
    """When a caller is told to retry.

    Attributes:
        seconds: Time until the retry, s.
        expected_returns: Retries expected until then, of the same or a more
            urgent rank.
        no_time: Whether the request can't be served before its deadline.
        capped: Whether the caller would not follow the expected time.
    """

    seconds: float
    expected_returns: int = 0
    no_time: bool = False
    capped: bool = False


class ReturnPolicy(Protocol):
    """Computes retry times."""

    def note_start(self, service: str, *, now: float) -> None:
        """Counts a request of a service that was started."""

    def starts_per_s(self, service: str, *, now: float) -> float:
        """Returns the recent rate of starts of a service, 1/s."""

    def refuse(self, refusal: Refusal, *, now: float) -> ReturnTime:
        """Returns the retry time of a request, and counts the refusal."""


POLICIES = registry.Registry[ReturnPolicy]("retry time")


@POLICIES.register("fixed")
class FixedTime:
    """The same time whatever else was refused."""

    def note_start(self, service: str, *, now: float) -> None:
        """See `ReturnPolicy`."""
        del service, now

    def starts_per_s(self, service: str, *, now: float) -> float:
        """See `ReturnPolicy`."""
        del service, now
        return 0.0

    def refuse(self, refusal: Refusal, *, now: float) -> ReturnTime:
        """See `ReturnPolicy`."""
        del now
        return ReturnTime(seconds=refusal.usual_s)


class _Service:
    """What is known of the refusals of one service."""

    def __init__(self) -> None:
        self.schedule = return_schedule.ReturnSchedule()
        self._no_chain_since: float | None = None
        self._no_chain_at = -math.inf

    def __repr__(self) -> str:
        return f"<_Service {self.schedule!r}>"

    def note_start(self, now: float) -> None:
        """Counts a start, which shows that there is a chain."""
        self.schedule.note_start(now=now)
        self._no_chain_since = None

    def note_no_chain(self, now: float) -> float:
        """Notes a refusal; returns for how long there was no chain, s."""
        silent_s = now - self._no_chain_at
        self._no_chain_at = now
        if self._no_chain_since is None or silent_s > _NO_CHAIN_MEMORY_S:
            self._no_chain_since = now
        return now - self._no_chain_since


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Estimate:
    """When a refused request can be served.

    Attributes:
        seconds: The expected time, s.
        earliest_s: The earliest time, s.
    """

    seconds: float
    earliest_s: float


def _estimate_room(refusal: Refusal, missing_s: float) -> _Estimate:
    """Memory becomes free whenever an answer ends."""
    del missing_s
    return _Estimate(seconds=refusal.usual_s, earliest_s=0.0)


def _estimate_configuration(refusal: Refusal, missing_s: float) -> _Estimate:
    """An outage that has lasted longer is likely to last longer."""
    del missing_s
    if not refusal.outage_s:
        return _Estimate(seconds=refusal.usual_s, earliest_s=0.0)
    left_s = refusal.outage_s * OUTAGE_FACTOR
    return _Estimate(seconds=left_s + READ_S, earliest_s=READ_S)


def _estimate_chain(refusal: Refusal, missing_s: float) -> _Estimate:
    """A layer range is detected, reassigned and loaded in a known time."""
    del refusal
    left_s = admission.NO_CHAIN_RETRY_S - missing_s
    if left_s <= 0:
        # It takes longer than usual, for how long is not known.
        return _Estimate(seconds=DEFAULT_RETRY_AFTER_S, earliest_s=0.0)
    return _Estimate(seconds=left_s, earliest_s=left_s)


def _estimate_retries(refusal: Refusal, missing_s: float) -> _Estimate:
    """The budget earns retries at a known rate."""
    del missing_s
    seconds = min(refusal.budget_s, admission.MAX_RETRY_AFTER_S)
    return _Estimate(seconds=seconds, earliest_s=0.0)


_ESTIMATES: dict[Reason, Callable[[Refusal, float], _Estimate]] = {
    Reason.NO_ROOM: _estimate_room,
    Reason.NO_CONFIGURATION: _estimate_configuration,
    Reason.NO_CHAIN: _estimate_chain,
    Reason.NO_RETRIES: _estimate_retries,
    Reason.OTHER: _estimate_room,
}


@POLICIES.register("forecast")
class Forecast:
    """A time at which the request is likely to be served."""

    def __init__(self) -> None:
        """Initializes it without refusals."""
        self._services = {_ALL_SERVICES: _Service()}
        self._refusals = interval_counts.IntervalCounts()

    def __repr__(self) -> str:
        """Shows the services."""
        return f"<Forecast {self._services}>"

    def note_start(self, service: str, *, now: float) -> None:
        """See `ReturnPolicy`."""
        for known in {self._service(service), self._service(_ALL_SERVICES)}:
            known.note_start(now)

    def starts_per_s(self, service: str, *, now: float) -> float:
        """See `ReturnPolicy`."""
        return self._service(service).schedule.starts_per_s(now=now)

    def refuse(self, refusal: Refusal, *, now: float) -> ReturnTime:
        """See `ReturnPolicy`."""
        if refusal.reason is Reason.ELSEWHERE:
            return ReturnTime(seconds=refusal.usual_s)
        service = self._service(refusal.service)
        service.schedule.note_refusal(refusal.rank, now=now)
        missing_s = 0.0
        if refusal.reason is Reason.NO_CHAIN:
            missing_s = service.note_no_chain(now)
        if not self._acts(refusal, now):
            service.schedule.note_return(refusal.usual_s, refusal.rank, now=now)
            return ReturnTime(seconds=refusal.usual_s)
        estimate = _ESTIMATES[refusal.reason](refusal, missing_s)
        return self._staggered(service.schedule, refusal, estimate, now)

    def _acts(self, refusal: Refusal, now: float) -> bool:
        """Counts a refusal; returns whether the usual time doesn't hold."""
        current = interval_counts.interval_of(now)
        self._refusals.drop_before(
            current - interval_counts.INTERVALS_PER_S + 1
        )
        self._refusals.add(current)
        if refusal.ranked or refusal.outage_s:
            return True
        return self._refusals.total() >= return_schedule.MASS_REFUSALS

    def _staggered(
        self,
        schedule: return_schedule.ReturnSchedule,
        refusal: Refusal,
        estimate: _Estimate,
        now: float,
    ) -> ReturnTime:
        rank = refusal.rank
        seconds = max(estimate.seconds, MIN_RETRY_AFTER_S)
        wait_s = schedule.wait_s(seconds, rank, now=now)
        behind_s = 0.0
        if schedule.starts_per_s(now=now):
            # Without a start it is not known how long the others take.
            behind_s = wait_s - seconds
        told = _within_deadline(
            wait_s,
            earliest_s=estimate.earliest_s + behind_s,
            left_s=max(refusal.left_s, 0.0),
        )
        if told.capped:
            seconds = schedule.wait_within_s(told.seconds, rank, now=now)
            told = dataclasses.replace(told, seconds=seconds)
        told = dataclasses.replace(
            told,
            expected_returns=schedule.expected(told.seconds, rank, now=now),
        )
        if not told.no_time:
            schedule.note_return(told.seconds, rank, now=now)
        return told

    def _service(self, name: str) -> _Service:
        known = self._services.get(name)
        if known is not None:
            return known
        if len(self._services) > MAX_SERVICES:
            return self._services[_ALL_SERVICES]
        return self._services.setdefault(name, _Service())


def _within_deadline(
    wait_s: float, *, earliest_s: float, left_s: float
) -> ReturnTime:
    """Returns a retry time that the caller follows, if that is of use.

    Otherwise the caller is told the longer time, which it doesn't follow.

    Args:
        wait_s: Time at which the request is expected to be served, s.
        earliest_s: Time before which it certainly isn't, s.
        left_s: Time until the caller's deadline, s.
    """
    followed_s = left_s * FOLLOWED_SHARE
    if wait_s <= followed_s:
        return ReturnTime(seconds=wait_s)
    if earliest_s >= left_s or followed_s < MIN_RETRY_AFTER_S:
        return ReturnTime(seconds=min(wait_s, left_s), no_time=True)
    return ReturnTime(seconds=followed_s, capped=True)
