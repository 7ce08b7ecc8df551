"""Load of a plain service in each failure domain, as a front observes it.

Load pattern: a front has few requests in flight at a plain service, while all
fronts together fill its slots. Plain servers report no load. A front takes the
others of its domain to send as many requests as itself, and compares how long
the latest answers from each domain took.
"""

from collections.abc import Mapping, Sequence
import dataclasses

from dotterelgrade_routing import backend_server
from dotterelgrade_routing import crossing_health
from dotterelgrade_routing import domain_load

# Gain of the mean duration of a domain's answers.
_RECENT_GAIN = 1 / 8
# The duration without load follows shorter means quickly and longer ones
# slowly, so that a queue of some seconds isn't taken for the service time.
_FALL_GAIN = 1 / 4
_RISE_GAIN = 1 / 256
# A domain without an answer for so long counts as not observed.
_MAX_AGE_S = 5.0
# A request waits only if all slots are taken: with ten slots, a request takes
# twice as long at 0.9 of them as without load.
_SLOTS_EXPONENT = 0.3
# Services answer unevenly; a shorter mean duration doesn't show a queue.
_QUEUE_RATIO = 1.5
# Bounds the state if names of failure domains change without end.
_MAX_DOMAINS = 256


@dataclasses.dataclass(kw_only=True)
class _Answers:
    """Durations of the answers from one failure domain, s."""

    recent_s: float = 0.0
    unloaded_s: float = 0.0
    last_at: float = float("-inf")

    def note(self, seconds: float, now: float) -> None:
        if now - self.last_at > _MAX_AGE_S:
            self.recent_s = seconds
        self.last_at = now
        self.recent_s += _RECENT_GAIN * (seconds - self.recent_s)
        change_s = self.recent_s - (self.unloaded_s or self.recent_s)
        gain = _FALL_GAIN if change_s < 0 else _RISE_GAIN
        self.unloaded_s = self.recent_s - (1 - gain) * change_s


class ServerLoads:
    """Observed load of one plain service."""

    def __init__(self) -> None:
        """Initializes it without observations."""
        self._answers: dict[str, _Answers] = {}

    def __repr__(self) -> str:
        """Shows the number of failure domains."""
        return f"<ServerLoads {len(self._answers)} domains>"

    def note_answer(self, domain: str, seconds: float, *, now: float) -> None:
        """Records how long a request took.

        Args:
            domain: Failure domain of the backend server.
            seconds: Time from sending to the answer, s.
            now: Monotonic time, s.
        """
        if domain not in self._answers:
            if len(self._answers) >= _MAX_DOMAINS:
                self._answers.pop(next(iter(self._answers)))
            self._answers[domain] = _Answers()
        self._answers[domain].note(seconds, now)

    @property
    def unloaded_s(self) -> float:
        """Shortest duration without load of all domains, s; 0 if unknown."""
        known = (answers.unloaded_s for answers in self._answers.values())
        return min(known, default=0.0)

    def by_domain(
        self,
        servers: Sequence[backend_server.BackendServer],
        *,
        held: Mapping[str, float],
        health: crossing_health.CrossingHealth,
        now: float,
    ) -> list[domain_load.DomainLoad]:
        """Returns the load in each failure domain with servers.

        Args:
            servers: Backend servers that accept new work.
            held: Slots that the requests of the home domain use in each domain.
            health: Observed links to other domains.
            now: Monotonic time, s.

        Returns:
            The loads; empty before the first answer.
        """
        slots: dict[str, int] = {}
        for server in servers:
            domain = server.failure_domain
            slots[domain] = slots.get(domain, 0) + max(server.slots, 1)
        if not self.unloaded_s:
            return []
        return [
            self._load(
                domain,
                capacity,
                used=held.get(domain, 0.0) / capacity,
                health=health,
                now=now,
            )
            for domain, capacity in slots.items()
        ]

    def _load(
        self,
        domain: str,
        capacity: int,
        *,
        used: float,
        health: crossing_health.CrossingHealth,
        now: float,
    ) -> domain_load.DomainLoad:
        """Returns the load in a domain.

        Its utilization is what the requests of the home domain use, or what
        the duration of the answers shows if that is more.
        """
        answers = self._answers.get(domain)
        if answers is not None and now - answers.last_at <= _MAX_AGE_S:
            # Observed durations contain the crossing.
            service_s, crossing_s = answers.unloaded_s, 0.0
            used = max(used, _shown_utilization(answers))
        else:
            service_s = self.unloaded_s
            crossing_s = health.crossing_s(domain)
        return domain_load.DomainLoad(
            failure_domain=domain,
            service_s=service_s,
            utilization=used,
            capacity=capacity,
            crossing_s=crossing_s,
            usable=health.usable(domain, now=now),
            exponent=_SLOTS_EXPONENT,
        )


def _shown_utilization(answers: _Answers) -> float:
    """Returns the utilization at which answers take as long as the recent."""
    ratio = _QUEUE_RATIO * answers.unloaded_s / max(answers.recent_s, 1e-9)
    return 1.0 - min(ratio, 1.0) ** (1.0 / _SLOTS_EXPONENT)
