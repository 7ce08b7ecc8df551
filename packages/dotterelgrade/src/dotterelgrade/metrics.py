"""Counters, gauges and latency histograms of one process."""

from collections.abc import Iterator
import contextlib
import time

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import registry

_MIN_US = 1
_MAX_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_QUANTILES = (50.0, 95.0, 99.0, 100.0)
_US_PER_S = 1_000_000


class Latency:
    """A latency distribution in an HDR histogram of microseconds."""

    def __init__(self) -> None:
        """Initializes an empty distribution."""
        self._histogram = histogram.HdrHistogram(
            _MIN_US, _MAX_US, _SIGNIFICANT_DIGITS
        )
        self._sum_s = 0.0

    @property
    def count(self) -> int:
        """Number of recorded values."""
        return self._histogram.get_total_count()

    @property
    def sum_s(self) -> float:
        """Sum of the recorded values, s."""
        return self._sum_s

    def record(self, seconds: float) -> None:
        """Records one duration.

        Args:
            seconds: The duration, s; values outside the range are clamped.
        """
        self._sum_s += max(seconds, 0.0)
        self._histogram.record_value(
            max(_MIN_US, min(int(seconds * _US_PER_S), _MAX_US))
        )

    def percentile(self, percent: float) -> float:
        """Returns the given percentile of the recorded values, s."""
        value = self._histogram.get_value_at_percentile(percent)
        return value / _US_PER_S

    @contextlib.contextmanager
    def timing(self) -> Iterator[None]:
        """Records the duration of the context."""
        started_s = time.monotonic()
        try:
            yield
        finally:
            self.record(time.monotonic() - started_s)


class Metrics:
    """The metrics of one process, in its own registry.

    Counters and gauges come from prometheus_client; latencies are summaries
    computed from HDR histograms.
    """

    def __init__(self) -> None:
        """Initializes an empty registry."""
        self._registry = registry.CollectorRegistry()
        self._latencies: dict[str, tuple[str, Latency]] = {}
        self._registry.register(self)

    @property
    def registry(self) -> registry.CollectorRegistry:
        """The registry, to add further collectors."""
        return self._registry

    def counter(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Counter:
        """Returns a new counter."""
        return prometheus_client.Counter(
            name, help_text, labels, registry=self._registry
        )

    def gauge(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Gauge:
        """Returns a new gauge."""
        return prometheus_client.Gauge(
            name, help_text, labels, registry=self._registry
        )

    def latency(self, name: str, help_text: str) -> Latency:
        """Returns the latency of that name, created on first use."""
        if name not in self._latencies:
            self._latencies[name] = (help_text, Latency())
        return self._latencies[name][1]

    def collect(self) -> Iterator[core.Metric]:
        """Yields the latencies as summaries, for the registry."""
        for name, (help_text, latency) in self._latencies.items():
            yield core.SummaryMetricFamily(
                name, help_text, latency.count, latency.sum_s
            )
            quantiles = core.GaugeMetricFamily(
                f"{name}_quantile", help_text, labels=("quantile",)
            )
            for percent in _QUANTILES:
                value = latency.percentile(percent) if latency.count else 0.0
                quantiles.add_metric((str(percent / 100),), value)
            yield quantiles

    def as_text(self) -> bytes:
        """Returns every metric in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
