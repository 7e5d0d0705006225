"""Error-budget burn report, merged from all members, as tables, JSON or HTML."""

from __future__ import annotations

import time
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram
from jinja2 import Environment, FileSystemLoader
from pydantic import TypeAdapter

from geraniumshore import (
    Configuration,
    QueueBurn,
    ServiceLevelHistory,
    UnknownOutcomeError,
    burn_by_queue,
)
from geraniumshore_cli.internal.client import Client
from geraniumshore_cli.internal.output import show_table

__all__ = ["BurnReport", "LatencySummary", "gather_burn_report"]

_CONFIGURATION: TypeAdapter[Configuration] = TypeAdapter(Configuration)
_HISTORY: TypeAdapter[dict[str, ServiceLevelHistory]] = TypeAdapter(
    dict[str, ServiceLevelHistory]
)
MICROSECONDS_PER_MILLISECOND = 1000
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
MAX_PLOTTED_BUCKETS = 72  # 6 hours of 5-minute buckets


@dataclass(frozen=True, slots=True)
class LatencySummary:
    """Latencies of one queue over all members since each started, in milliseconds."""

    queue: str
    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclass(frozen=True, slots=True)
class PlottedBucket:
    """One bucket of a plot: start time, number of calls and fraction of bad calls."""

    start_ms: int
    calls: int
    bad_fraction: float


@dataclass(frozen=True, slots=True)
class BurnReport:
    """The error-budget burn of every queue, and the members it was gathered from.

    ``silent`` lists the members that did not answer. Their latencies are missing, and
    so are their calls since their last record in the log (at most one minute).
    """

    at_ms: int
    queues: tuple[QueueBurn, ...]
    latencies: tuple[LatencySummary, ...]
    members: tuple[str, ...]
    silent: tuple[str, ...]
    plots: dict[str, tuple[PlottedBucket, ...]]

    def document(self) -> dict[str, Any]:
        """Return the report as a JSON-serialisable dict."""
        return asdict(self)

    def show(self) -> None:
        """Print the report as tables."""
        show_table(
            ("queue", "objective", "within ms", "good", "bad", "budget left", "alerts"),
            [_queue_row(burn) for burn in self.queues],
        )
        show_table(
            ("queue", *(window.window for window in self.queues[0].windows))
            if self.queues
            else ("queue",),
            [
                (burn.queue, *(f"{w.rate:.2f}" for w in burn.windows))
                for burn in self.queues
            ],
        )
        show_table(
            ("queue", "calls", "p50 ms", "p99 ms", "max ms"),
            [
                (s.queue, s.count, f"{s.p50_ms:.1f}", f"{s.p99_ms:.1f}", s.max_ms)
                for s in self.latencies
            ],
        )
        for member in self.silent:
            print(f"silent: {member}; its last minute and its latencies are missing")

    def html(self) -> str:
        """Return the report as one self-contained HTML page."""
        templates = Environment(
            loader=FileSystemLoader(Path(__file__).parent), autoescape=True
        )
        return templates.get_template("burn_report.html.j2").render(report=self)


def gather_burn_report(client: Client) -> BurnReport:
    """Fetch the call counts of every member and compute the report."""
    configuration = _CONFIGURATION.validate_python(
        client.get("/operator/configuration")
    )
    members = client.get("/operator/status")["members"]
    answer_by_member = {
        info["member"]: _fetch_service_levels(client, info["http_address"])
        for info in members
    }
    received = [answer for answer in answer_by_member.values() if answer is not None]
    now_ms = int(time.time() * 1000)
    history = _merge_histories(received, now_ms)
    return BurnReport(
        at_ms=now_ms,
        queues=tuple(burn_by_queue(configuration.queues, history, now_ms)),
        latencies=tuple(_merge_latencies(received)),
        members=tuple(sorted(answer_by_member)),
        silent=tuple(
            sorted(m for m, answer in answer_by_member.items() if answer is None)
        ),
        plots={
            queue: tuple(_plot_buckets(queue_history))
            for queue, queue_history in history.items()
        },
    )


def _fetch_service_levels(client: Client, address: str) -> dict[str, Any] | None:
    try:
        reply = client.call("GET", "/operator/service-levels", entries=(address,))
    except UnknownOutcomeError:
        return None
    document: dict[str, Any] | None = reply.json() if reply.ok else None
    return document


def _merge_histories(
    answers: Iterable[dict[str, Any]], now_ms: int
) -> dict[str, ServiceLevelHistory]:
    """Return the most complete folded history plus the counts not yet folded."""
    received = list(answers)
    histories = [_HISTORY.validate_python(answer["history"]) for answer in received]
    merged = max(histories, key=_count_calls, default={})
    for answer in received:
        for counts in answer["pending"]:
            queue_history = merged.setdefault(counts["queue"], ServiceLevelHistory())
            queue_history.add(now_ms, counts["good"], counts["bad"])
    return merged


def _count_calls(history: dict[str, ServiceLevelHistory]) -> int:
    return sum(
        bucket.good + bucket.bad
        for queue_history in history.values()
        for bucket in queue_history.tiers[-1]
    )


def _merge_latencies(answers: Iterable[dict[str, Any]]) -> Iterator[LatencySummary]:
    merged: dict[str, HdrHistogram] = {}
    for answer in answers:
        for queue, encoded in answer["latencies"].items():
            total = merged.setdefault(
                queue, HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            )
            total.decode_and_add(encoded)
    for queue, histogram in sorted(merged.items()):
        yield LatencySummary(
            queue=queue,
            count=histogram.get_total_count(),
            p50_ms=_to_milliseconds(histogram.get_value_at_percentile(50)),
            p99_ms=_to_milliseconds(histogram.get_value_at_percentile(99)),
            max_ms=_to_milliseconds(histogram.get_max_value()),
        )


def _plot_buckets(queue_history: ServiceLevelHistory) -> Iterator[PlottedBucket]:
    for bucket in queue_history.tiers[0][-MAX_PLOTTED_BUCKETS:]:
        calls = bucket.good + bucket.bad
        yield PlottedBucket(
            bucket.start_ms, calls, bucket.bad / calls if calls else 0.0
        )


def _queue_row(burn: QueueBurn) -> tuple[object, ...]:
    alerts = ", ".join(f"{a.severity} ({a.long})" for a in burn.alerts) or "none"
    return (
        burn.queue,
        f"{burn.objective:.2%}",
        burn.objective_ms,
        burn.good,
        burn.bad,
        f"{burn.budget_left:.1%}",
        alerts,
    )


def _to_milliseconds(microseconds: float) -> float:
    return microseconds / MICROSECONDS_PER_MILLISECOND
