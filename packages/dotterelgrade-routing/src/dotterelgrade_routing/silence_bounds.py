"""How long a queried stage may stay silent before it counts as unreachable.

Load pattern: a stage stops answering, and its streams stall all at once. A
stream is on time only if it continues elsewhere within a quarter of a second,
so the bound must not be longer than the replies of healthy stages need; on a
link that loses packets these need longer.
"""

from typing import Protocol

from dotterelgrade import registry

# A bound that spares a stage whose reply was lost and sent again.
MAX_BOUND_S = 0.25
# A stage that is only busy replies within this time.
MIN_BOUND_S = 0.03
# As in the retransmission timeout of TCP.
_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
_DEVIATIONS = 4.0


class SilenceBound(Protocol):
    """Bounds the silence of a queried stage."""

    def note_reply(self, seconds: float) -> None:
        """Records how long a reply took, s."""

    @property
    def bound_s(self) -> float:
        """Silence after which a stage counts as unreachable, s."""


BOUNDS = registry.Registry[SilenceBound]("silence bound")


@BOUNDS.register("fixed")
class FixedBound:
    """The same bound whatever the replies need."""

    def note_reply(self, seconds: float) -> None:
        """See `SilenceBound`."""
        del seconds

    @property
    def bound_s(self) -> float:
        """See `SilenceBound`."""
        return MAX_BOUND_S


@BOUNDS.register("observed")
class ObservedBound:
    """A bound from the mean and the deviation of the latest replies."""

    def __init__(self) -> None:
        """Initializes it without replies."""
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def __repr__(self) -> str:
        """Shows the bound."""
        return f"<ObservedBound {self.bound_s:.3f} s>"

    def note_reply(self, seconds: float) -> None:
        """See `SilenceBound`."""
        if self._mean_s is None:
            self._mean_s = seconds
            self._deviation_s = seconds / 2
            return
        error_s = seconds - self._mean_s
        self._mean_s += _MEAN_GAIN * error_s
        self._deviation_s += _DEVIATION_GAIN * (
            abs(error_s) - self._deviation_s
        )

    @property
    def bound_s(self) -> float:
        """See `SilenceBound`."""
        if self._mean_s is None:
            return MAX_BOUND_S
        bound_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return min(max(bound_s, MIN_BOUND_S), MAX_BOUND_S)
