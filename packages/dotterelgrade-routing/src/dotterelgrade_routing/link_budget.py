"""Token bucket for this front's share of the links between failure domains.

Load pattern: a chain breaks, and all its streams and new requests are rerouted
through another failure domain at once. Each sends the activations of its whole
prompt over a shared link that carries one transfer at a time; a few dozen of
them delay every chain that crosses it. A request beyond the budget takes a
chain within one failure domain, or is refused.
"""

from collections.abc import Callable
import time

# The remainder is for transfers that are not counted, such as answer tokens.
MAX_LINK_UTILIZATION = 0.4
# Size of the bucket, as time at the allowed rate.
BURST_S = 0.5


class LinkBudget:
    """Limits transfers to a share of the bandwidth of the links."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Initializes a budget for links of unknown bandwidth.

        Args:
            clock: Monotonic time, s.
        """
        self._clock = clock
        self._bits_per_s = 0.0
        self._fronts = 1
        self._bits = 0.0
        self._refilled_at = clock()

    def __repr__(self) -> str:
        """Shows the budget that is left."""
        return f"<LinkBudget {self._bits / 1e6:.0f} Mbit left>"

    def resize(self, *, bits_per_s: float, fronts: int) -> None:
        """Sets the bandwidth of the links and the number of fronts.

        Args:
            bits_per_s: Bandwidth between failure domains, bit/s.
            fronts: Number of fronts that share it.
        """
        if (bits_per_s, fronts) == (self._bits_per_s, self._fronts):
            return
        self._refill()
        was_unknown = self._bits_per_s == 0.0
        self._bits_per_s = bits_per_s
        self._fronts = max(fronts, 1)
        if was_unknown:
            self._bits = self._capacity_bits
        self._bits = min(self._bits, self._capacity_bits)

    def allows(self, bits: float) -> bool:
        """Returns whether the budget allows a transfer.

        A transfer larger than the bucket is allowed when the bucket is full.
        """
        self._refill()
        return self._bits >= min(bits, self._capacity_bits)

    def spend(self, bits: float) -> None:
        """Subtracts a transfer; the budget may become negative."""
        self._refill()
        self._bits -= bits

    @property
    def share_left(self) -> float:
        """Share of the budget that is left; 1 if the bandwidth is unknown."""
        self._refill()
        if not self._capacity_bits:
            return 1.0
        return max(self._bits, 0.0) / self._capacity_bits

    @property
    def _allowed_bits_per_s(self) -> float:
        return MAX_LINK_UTILIZATION * self._bits_per_s / self._fronts

    @property
    def _capacity_bits(self) -> float:
        return self._allowed_bits_per_s * BURST_S

    def _refill(self) -> None:
        now = self._clock()
        earned = (now - self._refilled_at) * self._allowed_bits_per_s
        self._refilled_at = now
        self._bits = min(self._capacity_bits, self._bits + earned)
