"""Rate at which a front sent requests to each failure domain lately."""

from collections.abc import Mapping
import math

# Requests are counted with a weight that falls to 1/e in this time.
DECAY_S = 4.0
# Bounds the state if names of failure domains change without end.
_MAX_DOMAINS = 256


class SentShares:
    """Decaying counts of requests by failure domain."""

    def __init__(self) -> None:
        """Initializes it without requests."""
        self._counts: dict[str, float] = {}
        self._decayed_at = 0.0

    def __repr__(self) -> str:
        """Shows the number of failure domains."""
        return f"<SentShares {len(self._counts)} domains>"

    def note(self, domain: str, *, now: float) -> None:
        """Counts a request.

        Args:
            domain: The failure domain that it is sent to.
            now: Monotonic time, s.
        """
        if domain not in self._counts and len(self._counts) >= _MAX_DOMAINS:
            return
        self._decay(now)
        self._counts[domain] = self._counts.get(domain, 0.0) + 1.0

    def shares(self) -> Mapping[str, float]:
        """Returns the share of each failure domain."""
        total = sum(self._counts.values())
        return {d: count / total for d, count in self._counts.items() if total}

    def rates(self, *, now: float) -> Mapping[str, float]:
        """Returns the requests per second to each failure domain."""
        self._decay(now)
        return {d: count / DECAY_S for d, count in self._counts.items()}

    def _decay(self, now: float) -> None:
        """Multiplies all counts alike, which leaves their shares."""
        factor = math.exp(-max(now - self._decayed_at, 0.0) / DECAY_S)
        self._decayed_at = now
        for domain in self._counts:
            self._counts[domain] *= factor
