"""Counters and latency histograms of a node, as text for scrapers."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

__all__ = ["NodeMetrics"]

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MICROSECONDS = 1_000_000
PREFIX = "geraniumshore_"


class NodeMetrics(Collector):
    """The metrics of one node. Thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_name: dict[str, dict[tuple[str, ...], int]] = {}
        self._histogram_by_name: dict[str, dict[str, HdrHistogram]] = {}
        self._gauge_by_name: dict[str, Callable[[], float]] = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def count(self, name: str, *labels: str, amount: int = 1) -> None:
        """Add to a counter."""
        with self._lock:
            counts = self._count_by_name.setdefault(name, {})
            counts[labels] = counts.get(labels, 0) + amount

    def observe(self, name: str, label: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        with self._lock:
            histograms = self._histogram_by_name.setdefault(name, {})
            histogram = histograms.get(label)
            if histogram is None:
                histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
                histograms[label] = histogram
            histogram.record_value(max(1, int(seconds * MICROSECONDS)))

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read at each scrape."""
        self._gauge_by_name[name] = read

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        with self._lock:
            for name, counts in self._count_by_name.items():
                label_count = len(next(iter(counts)))
                labels = [f"of{index}" for index in range(label_count)]
                counter = CounterMetricFamily(PREFIX + name, name, labels=labels)
                for values, count in counts.items():
                    counter.add_metric(values, count)
                yield counter
            for name, histograms in self._histogram_by_name.items():
                yield self._summary(name, histograms)
        # A copy, as an owner registers gauges while scrapers read.
        for name, read in list(self._gauge_by_name.items()):
            yield GaugeMetricFamily(PREFIX + name, name, value=read())

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    @staticmethod
    def _summary(name: str, histograms: dict[str, HdrHistogram]) -> SummaryMetricFamily:
        full_name = f"{PREFIX}{name}_seconds"
        family = SummaryMetricFamily(full_name, name, labels=["of"])
        for label, histogram in histograms.items():
            count = histogram.get_total_count()
            total = histogram.get_mean_value() * count / MICROSECONDS
            family.add_metric([label], count, total)
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile * 100)
                family.add_sample(
                    full_name,
                    {"of": label, "quantile": str(quantile)},
                    value / MICROSECONDS,
                )
        return family
