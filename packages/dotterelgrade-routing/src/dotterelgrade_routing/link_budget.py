"""This front's part of the links between failure domains.

Load pattern: a chain breaks, and all its streams and new requests go around
the gap through another failure domain at once. Each one sends the activations
of its whole prompt over a link that all share, one transfer after another; a
few dozen of them hold up every chain that crosses. Beyond the budget a request
takes a chain within one failure domain, or is refused.
"""

from collections.abc import Callable
import time

# The rest is left to transfers that are not counted, such as answers' tokens.
MOST_UTILIZATION = 0.4
# Transfers may come together up to this much of the links' time.
BURST_S = 0.5


class LinkBudget:
    """Allows transfers in proportion to the bandwidth of the links."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Initializes a budget for links that are not known yet.

        Args:
            clock: Monotonic time, s.
        """
        self._clock = clock
        self._bits_per_s = 0.0
        self._fronts = 1
        self._bits = 0.0
        self._filled_at = clock()

    def __repr__(self) -> str:
        """Shows what is left."""
        return f"<LinkBudget {self._bits / 1e6:.0f} Mbit left>"

    def resize(self, *, bits_per_s: float, fronts: int) -> None:
        """Takes in the bandwidth of the links and who shares it.

        Args:
            bits_per_s: Bandwidth between failure domains, bit/s.
            fronts: How many fronts share it.
        """
        if (bits_per_s, fronts) == (self._bits_per_s, self._fronts):
            return
        self._fill()
        first = self._bits_per_s == 0.0
        self._bits_per_s = bits_per_s
        self._fronts = max(fronts, 1)
        if first:
            self._bits = self._capacity
        self._bits = min(self._bits, self._capacity)

    def affords(self, bits: float) -> bool:
        """Returns whether a transfer is within this front's part.

        A transfer larger than the part waits until the part is full.
        """
        self._fill()
        return self._bits >= min(bits, self._capacity)

    def spend(self, bits: float) -> None:
        """Counts a transfer; the budget may go below zero."""
        self._fill()
        self._bits -= bits

    @property
    def _rate(self) -> float:
        return MOST_UTILIZATION * self._bits_per_s / self._fronts

    @property
    def _capacity(self) -> float:
        return self._rate * BURST_S

    def _fill(self) -> None:
        now = self._clock()
        earned = (now - self._filled_at) * self._rate
        self._filled_at = now
        self._bits = min(self._capacity, self._bits + earned)
