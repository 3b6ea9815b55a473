"""Metrics in Prometheus format."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import TYPE_CHECKING, Any

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.registry import Collector

from ..metric_totals import MetricTotals

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ("PrometheusMetrics",)

#: upper bounds of the histogram buckets in seconds, up to the longest deadline
BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 20.0)
PREFIX = "greengagelatch"


class PrometheusMetrics(MetricTotals, Collector):
    """Accumulates totals and exposes them to scrapes.

    It replaces the client that pushes metrics.
    """

    def __init__(self) -> None:
        super().__init__()
        self._buckets: dict[str, list[int]] = {}
        self._sums: Counter[str] = Counter()

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in the histogram of an operation."""
        buckets = self._buckets.setdefault(name, [0] * (len(BUCKETS) + 1))
        buckets[bisect_left(BUCKETS, seconds)] += 1
        self._sums[name] += seconds

    def flush(self) -> None:
        """Do nothing, as metrics are pulled."""

    def collect(self) -> Iterator[Any]:
        """Yield all metrics for one scrape."""
        events = CounterMetricFamily(
            f"{PREFIX}_events", "Events by name.", labels=("event",)
        )
        for name, total in sorted(self._counts.items()):
            events.add_metric((name,), total)
        yield events
        gauges = GaugeMetricFamily(
            f"{PREFIX}_gauges", "Values by name.", labels=("gauge",)
        )
        for name, value in sorted(self._gauges.items()):
            gauges.add_metric((name,), value)
        yield gauges
        yield self._collect_times()

    def _collect_times(self) -> HistogramMetricFamily:
        family = HistogramMetricFamily(
            f"{PREFIX}_seconds", "Durations by operation.", labels=("operation",)
        )
        for name, counts in sorted(self._buckets.items()):
            total = 0
            rows = []
            for bound, count in zip((*BUCKETS, None), counts, strict=True):
                total += count
                rows.append(("+Inf" if bound is None else str(bound), total))
            family.add_metric((name,), rows, sum_value=self._sums[name])
        return family
