"""Counters and latency histograms, and their Prometheus exposition."""

from __future__ import annotations

import threading
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge, generate_latest
from prometheus_client.core import SummaryMetricFamily
from prometheus_client.registry import Collector

__all__ = ["Metrics"]

HIGHEST_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
MICROSECONDS = 1_000_000


class Metrics(Collector):
    """Metrics of one process. Thread-safe."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._lock = threading.Lock()
        self._latency_by_queue: dict[str, HdrHistogram] = {}
        self.requests = self._counter("requests", "Calls by result", "queue", "result")
        self.attempts = self._counter("attempts", "Attempts by outcome", "outcome")
        self.clients_closed = self._counter(
            "clients_closed", "Connections closed before an answer", "reason"
        )
        self.retries = self._counter("retries", "Attempts made again", "queue")
        self.host_list_reads = self._counter(
            "host_list_reads", "Reads of the list of hosts", "result"
        )
        self.suspects = Gauge(
            "geraniumshore_suspect_minions",
            "Minions that fail this host's work",
            ("service",),
            registry=self.registry,
        )
        self.log_reads = self._counter("log_reads", "Reads of the log", "result")
        self.log_appends = self._counter("log_appends", "Appends", "result")
        self.log_records = self._counter("log_records", "Records folded", "verdict")
        self.peer_batches = self._counter("peer_batches", "Batches sent", "result")
        self.peer_messages = self._counter("peer_messages", "Messages sent", "kind")
        self.peer_bytes = self._counter("peer_bytes", "Bytes sent to peers", "kind")
        self.task_calls = self._counter("task_calls", "Task calls", "call", "result")
        self.authority = Gauge(
            "geraniumshore_authority",
            "1 while this member may act",
            registry=self.registry,
        )
        self.registry.register(self)

    def record_latency(self, queue: str, seconds: float) -> None:
        """Record the duration of one call of a queue."""
        with self._lock:
            histogram = self._latency_by_queue.get(queue)
            if histogram is None:
                histogram = HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
                self._latency_by_queue[queue] = histogram
            histogram.record_value(max(1, int(seconds * MICROSECONDS)))

    def encoded_latencies(self) -> dict[str, str]:
        """Return each queue's histogram in the HdrHistogram encoding."""
        with self._lock:
            return {
                queue: histogram.encode().decode()
                for queue, histogram in self._latency_by_queue.items()
            }

    def collect(self) -> Iterator[SummaryMetricFamily]:
        """Yield the histograms as Prometheus summaries."""
        family = SummaryMetricFamily(
            "geraniumshore_latency_seconds", "Time of a call", labels=["queue"]
        )
        with self._lock:
            for queue, histogram in self._latency_by_queue.items():
                count = histogram.get_total_count()
                total = histogram.get_mean_value() * count / MICROSECONDS
                family.add_metric([queue], count, total)
                for quantile in QUANTILES:
                    value = histogram.get_value_at_percentile(quantile * 100)
                    family.add_sample(
                        "geraniumshore_latency_seconds",
                        {"queue": queue, "quantile": str(quantile)},
                        value / MICROSECONDS,
                    )
        yield family

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(
            f"geraniumshore_{name}", help_text, labels, registry=self.registry
        )
