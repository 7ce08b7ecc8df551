"""Prometheus metrics of the contract of a process."""

from collections.abc import Iterator

from prometheus_client import core

from dotterelgrade import contract_feed
from dotterelgrade import metrics as metrics_lib


class ContractMetrics:
    """Collects the metrics of a contract feed on each scrape."""

    def __init__(self, feed: contract_feed.ContractFeed) -> None:
        """Initializes the collector.

        Args:
            feed: The feed to export.
        """
        self._feed = feed

    def __repr__(self) -> str:
        """Shows the feed."""
        return f"<ContractMetrics of {self._feed!r}>"

    def collect(self) -> Iterator[core.Metric]:
        """Yields the current metrics."""
        feed = self._feed
        gauges = (
            ("offset", "Offset up to which it is in force", feed.offset),
            ("lines", "Lines in force", feed.contract.line_count),
            (
                "unreadable_lines",
                "Lines of a grammar newer than this process",
                len(feed.contract.unreadable),
            ),
            (
                "caught_up",
                "1 when work may be taken",
                feed.is_caught_up,
            ),
            ("log_up", "1 when the log answered last", feed.is_log_available),
        )
        for name, help_text, value in gauges:
            yield core.GaugeMetricFamily(
                f"dotterelgrade_contract_{name}", help_text, value=float(value)
            )
        records = core.CounterMetricFamily(
            "dotterelgrade_contract_records",
            "Records read, by what they did",
            labels=("outcome",),
        )
        for kind, count in feed.outcome_counts.items():
            records.add_metric((kind.value,), count)
        yield records


def register(
    feed: contract_feed.ContractFeed, metrics: metrics_lib.Metrics
) -> None:
    """Registers the metrics of a feed with those of its process.

    Args:
        feed: The feed to export.
        metrics: The metrics of the process.
    """
    metrics.add_collector(ContractMetrics(feed))
