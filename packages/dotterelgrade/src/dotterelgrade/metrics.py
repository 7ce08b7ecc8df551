"""Counters, gauges and latency histograms of one process.

Values are kept in plain objects. prometheus_client formats them when they are
asked for and is imported only then: a front that restarts is serving sooner,
and one that nobody asks needs less memory.
"""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import time
from typing import TYPE_CHECKING, Protocol

from hdrh import histogram

if TYPE_CHECKING:
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


class Value:
    """A number that can be counted up or set."""

    def __init__(self) -> None:
        """Initializes it at zero."""
        self._number = 0.0

    def __repr__(self) -> str:
        """Shows the number."""
        return f"<Value {self._number:g}>"

    @property
    def number(self) -> float:
        """The present number."""
        return self._number

    def inc(self, amount: float = 1.0) -> None:
        """Adds to the number."""
        self._number += amount

    def set(self, number: float) -> None:
        """Replaces the number."""
        self._number = number


class Family:
    """The values of one counter or gauge by their labels."""

    def __init__(
        self, name: str, help_text: str, label_names: tuple[str, ...]
    ) -> None:
        """Initializes a family; without labels it has one value.

        Args:
            name: Name of the metric.
            help_text: What it measures.
            label_names: Names of its labels.
        """
        self._name = name
        self._help_text = help_text
        self._label_names = label_names
        self._values: dict[tuple[str, ...], Value] = {}
        if not label_names:
            self.labels()

    def __repr__(self) -> str:
        """Shows the name."""
        return f"<Family {self._name}>"

    def labels(self, *values: object) -> Value:
        """Returns the value with the given labels, created on first use."""
        if len(values) != len(self._label_names):
            raise ValueError(f"{self._name}: expected {self._label_names}")
        return self._values.setdefault(tuple(map(str, values)), Value())

    def inc(self, amount: float = 1.0) -> None:
        """Adds to the value without labels."""
        self.labels().inc(amount)

    def set(self, number: float) -> None:
        """Replaces the value without labels."""
        self.labels().set(number)

    def collect(
        self, family_type: type[core.CounterMetricFamily]
    ) -> core.Metric:
        """Returns all values as a metric of prometheus_client.

        Args:
            family_type: Class of a family of counters or gauges.
        """
        metric = family_type(
            self._name, self._help_text, labels=self._label_names
        )
        for labels, value in self._values.items():
            metric.add_metric(labels, value.number)
        return metric


class Collector(Protocol):
    """Computes metrics when they are asked for."""

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metrics."""


class Metrics:
    """The metrics of one process, in its own registry."""

    def __init__(self) -> None:
        """Initializes it without metrics."""
        self._collectors: list[Collector] = [self]
        self._counters: list[Family] = []
        self._gauges: list[Family] = []
        self._latencies: dict[str, tuple[str, Latency]] = {}

    def __repr__(self) -> str:
        """Shows the number of counters and gauges."""
        return f"<Metrics {len(self._counters)}, {len(self._gauges)}>"

    @property
    def registry(self) -> registry.CollectorRegistry:
        """A registry with all metrics."""
        from prometheus_client import registry

        collected = registry.CollectorRegistry()
        for collector in self._collectors:
            collected.register(collector)
        return collected

    def add_collector(self, collector: Collector) -> None:
        """Adds metrics that are computed when they are asked for."""
        self._collectors.append(collector)

    def counter(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> Family:
        """Returns a new counter."""
        self._counters.append(Family(name, help_text, labels))
        return self._counters[-1]

    def gauge(
        self, name: str, help_text: str, labels: tuple[str, ...] = ()
    ) -> Family:
        """Returns a new gauge."""
        self._gauges.append(Family(name, help_text, labels))
        return self._gauges[-1]

    def latency(self, name: str, help_text: str) -> Latency:
        """Returns the latency of that name, created on first use."""
        if name not in self._latencies:
            self._latencies[name] = (help_text, Latency())
        return self._latencies[name][1]

    def collect(self) -> Iterator[core.Metric]:
        """Yields all metrics, latencies as summaries, for the registry."""
        from prometheus_client import core

        for counter in self._counters:
            yield counter.collect(core.CounterMetricFamily)
        for gauge in self._gauges:
            yield gauge.collect(core.GaugeMetricFamily)
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
        import prometheus_client

        return prometheus_client.generate_latest(self.registry)
