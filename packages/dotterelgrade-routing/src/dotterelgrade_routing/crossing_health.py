"""Observes the links to other failure domains by the requests over them.

Load pattern: a link between failure domains is cut or becomes slow while
requests are sent over it. Connections fail, or answers don't begin; no further
request should follow until one has shown that the link works again.
"""

import dataclasses

# A request over a sound link connects and begins its answer within this time.
MAX_ANSWER_S = 1.0
MAX_FAILURES = 2
PROBE_INTERVAL_S = 2.0
# As in the smoothed round-trip time of TCP.
_GAIN = 1 / 8
# Bounds the state if names of failure domains change without end.
_MAX_DOMAINS = 256


@dataclasses.dataclass(eq=False, kw_only=True)
class Crossing:
    """A request that was sent to another failure domain.

    Attributes:
        failure_domain: The domain.
        began_at: Monotonic time at which it began to connect, s.
        max_answer_s: Time within which the answer begins over a sound link, s.
    """

    failure_domain: str
    began_at: float
    max_answer_s: float = MAX_ANSWER_S

    def is_late(self, now: float) -> bool:
        """Returns whether the answer should have begun."""
        return now - self.began_at > self.max_answer_s


@dataclasses.dataclass(kw_only=True)
class _Link:
    """What is known of the links to one failure domain."""

    crossing_s: float = 0.0
    failures: int = 0
    stopped_at: float = float("-inf")
    probe_at: float = float("inf")
    waiting: dict[Crossing, None] = dataclasses.field(default_factory=dict)

    @property
    def stopped(self) -> bool:
        return self.probe_at < float("inf")

    def stop(self, now: float) -> None:
        self.stopped_at = now
        self.probe_at = now + PROBE_INTERVAL_S
        self.waiting.clear()


class CrossingHealth:
    """Which failure domains may be sent to, and how long it takes."""

    def __init__(self) -> None:
        """Initializes it without observations; all domains are usable."""
        self._links: dict[str, _Link] = {}

    def __repr__(self) -> str:
        """Lists the domains to which nothing is sent."""
        stopped = [name for name, link in self._links.items() if link.stopped]
        return f"<CrossingHealth stopped={sorted(stopped)}>"

    def usable(self, domain: str, *, now: float) -> bool:
        """Returns whether requests may be sent to a failure domain."""
        link = self._links.get(domain)
        if link is None:
            return True
        if any(crossing.is_late(now) for crossing in link.waiting):
            link.stop(now)
        return not link.stopped

    def crossing_s(self, domain: str) -> float:
        """Returns how long a request takes to get there and back, s."""
        link = self._links.get(domain)
        return 0.0 if link is None else link.crossing_s

    def take_probe(self, domain: str, *, now: float) -> bool:
        """Returns whether to send one request to a domain that is stopped.

        Args:
            domain: The failure domain.
            now: Monotonic time, s.
        """
        link = self._links.get(domain)
        if link is None or now < link.probe_at:
            return False
        link.probe_at = now + PROBE_INTERVAL_S
        return True

    def begin(
        self, domain: str, *, now: float, max_answer_s: float = MAX_ANSWER_S
    ) -> Crossing:
        """Records that a request begins to connect to a failure domain.

        Args:
            domain: The failure domain.
            now: Monotonic time, s.
            max_answer_s: Time within which its answer should begin, s.
        """
        crossing = Crossing(
            failure_domain=domain, began_at=now, max_answer_s=max_answer_s
        )
        if domain in self._links or len(self._links) < _MAX_DOMAINS:
            link = self._links.setdefault(domain, _Link())
            link.waiting[crossing] = None
        return crossing

    def note_connected(self, crossing: Crossing, *, now: float) -> None:
        """Records that a request was connected and sent."""
        link = self._links.get(crossing.failure_domain)
        if link is None:
            return
        link.failures = 0
        taken_s = now - crossing.began_at
        known_s = link.crossing_s or taken_s
        link.crossing_s = known_s + _GAIN * (taken_s - known_s)

    def note_answered(self, crossing: Crossing, *, now: float) -> None:
        """Records that the answer to a request began."""
        link = self._links.get(crossing.failure_domain)
        if link is None:
            return
        link.waiting.pop(crossing, None)
        if crossing.began_at <= link.stopped_at:
            # It was sent before the stop, and says nothing of the link now.
            return
        if crossing.is_late(now):
            link.stop(now)
        else:
            link.probe_at = float("inf")

    def note_unconnected(self, crossing: Crossing, *, now: float) -> None:
        """Records that a request could not be connected."""
        link = self._links.get(crossing.failure_domain)
        if link is None:
            return
        link.waiting.pop(crossing, None)
        link.failures += 1
        if link.failures >= MAX_FAILURES or link.stopped:
            link.stop(now)

    def end(self, crossing: Crossing) -> None:
        """Records that a request ended, in whatever way."""
        link = self._links.get(crossing.failure_domain)
        if link is not None:
            link.waiting.pop(crossing, None)
