"""Corrects predictions by what was measured."""

from collections.abc import Callable
import math
import time

_QUANTILE = 0.95
_GAIN = 0.05
_UP = math.exp(_GAIN * _QUANTILE)
_DOWN = math.exp(-_GAIN * (1 - _QUANTILE))
_MAX_FACTOR = 1.6
_MIN_FACTOR = 0.7
_FORGET_S = 5.0


class Calibration:
    """Tracks the 95th percentile of measured over predicted latency.

    The estimate moves by a fixed small part of itself with each sample,
    so it needs no memory and follows a change within some hundred samples.
    Without samples it returns to one.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        """Initializes a calibration that trusts the predictions.

        Args:
            clock: Monotonic time, s.
        """
        self._clock = clock
        self._factor = 1.0
        self._sampled_at = clock()

    def __repr__(self) -> str:
        """Shows the factor."""
        return f"<Calibration {self.factor:.3f}>"

    @property
    def factor(self) -> float:
        """The factor by which predictions are multiplied."""
        idle_s = self._clock() - self._sampled_at
        return self._factor ** math.exp(-idle_s / _FORGET_S)

    def note(self, *, measured_s: float, predicted_s: float) -> None:
        """Takes one sample.

        Args:
            measured_s: What was measured, s.
            predicted_s: What was predicted, s.
        """
        self._sampled_at = self._clock()
        if measured_s > predicted_s * self._factor:
            self._factor = min(self._factor * _UP, _MAX_FACTOR)
        else:
            self._factor = max(self._factor * _DOWN, _MIN_FACTOR)
