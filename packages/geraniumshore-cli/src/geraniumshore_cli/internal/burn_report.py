"""Gathers the burn report from every member and shows it."""

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
HIGHEST_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
SHOWN_BUCKETS = 72


@dataclass(frozen=True, slots=True)
class LatencySummary:
    """Latencies of one queue on all members since they started, in milliseconds."""

    queue: str
    count: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclass(frozen=True, slots=True)
class PlottedBucket:
    """One bucket of a plot: its time, calls, and fraction of bad ones."""

    start_ms: int
    calls: int
    bad_fraction: float


@dataclass(frozen=True, slots=True)
class BurnReport:
    """The burn of every queue, and how complete the knowledge behind it is.

    ``silent`` names the members that gave no answer: their calls since their last
    record in the log, a minute's at most, and their latencies are missing.
    """

    at_ms: int
    queues: tuple[QueueBurn, ...]
    latencies: tuple[LatencySummary, ...]
    members: tuple[str, ...]
    silent: tuple[str, ...]
    plots: dict[str, tuple[PlottedBucket, ...]]

    def document(self) -> dict[str, Any]:
        """Return the report in its JSON form."""
        return asdict(self)

    def show(self) -> None:
        """Print the report for a person."""
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
        """Return the report as one self-contained page."""
        templates = Environment(
            loader=FileSystemLoader(Path(__file__).parent), autoescape=True
        )
        return templates.get_template("burn_report.html.j2").render(report=self)


def gather_burn_report(client: Client) -> BurnReport:
    """Ask every member for what it counted, and work the report out."""
    configuration = _CONFIGURATION.validate_python(
        client.get("/operator/configuration")
    )
    members = client.get("/operator/status")["members"]
    answers = {info["member"]: _ask(client, info["http_address"]) for info in members}
    heard = [answer for answer in answers.values() if answer is not None]
    now_ms = int(time.time() * 1000)
    history = _merge_histories(heard, now_ms)
    return BurnReport(
        at_ms=now_ms,
        queues=tuple(burn_by_queue(configuration.queues, history, now_ms)),
        latencies=tuple(_merge_latencies(heard)),
        members=tuple(sorted(answers)),
        silent=tuple(sorted(m for m, answer in answers.items() if answer is None)),
        plots={queue: tuple(_plot(levels)) for queue, levels in history.items()},
    )


def _ask(client: Client, address: str) -> dict[str, Any] | None:
    try:
        reply = client.call("GET", "/operator/service-levels", entries=(address,))
    except UnknownOutcomeError:
        return None
    document: dict[str, Any] | None = reply.json() if reply.ok else None
    return document


def _merge_histories(
    answers: Iterable[dict[str, Any]], now_ms: int
) -> dict[str, ServiceLevelHistory]:
    """Take the folded history that reaches furthest, and add what is not folded."""
    heard = list(answers)
    histories = [_HISTORY.validate_python(answer["history"]) for answer in heard]
    merged = max(histories, key=_calls, default={})
    for answer in heard:
        for counts in answer["pending"]:
            levels = merged.setdefault(counts["queue"], ServiceLevelHistory())
            levels.add(now_ms, counts["good"], counts["bad"])
    return merged


def _calls(history: dict[str, ServiceLevelHistory]) -> int:
    return sum(
        bucket.good + bucket.bad
        for levels in history.values()
        for bucket in levels.tiers[-1]
    )


def _merge_latencies(answers: Iterable[dict[str, Any]]) -> Iterator[LatencySummary]:
    merged: dict[str, HdrHistogram] = {}
    for answer in answers:
        for queue, encoded in answer["latencies"].items():
            total = merged.setdefault(
                queue, HdrHistogram(1, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
            )
            total.decode_and_add(encoded)
    for queue, histogram in sorted(merged.items()):
        yield LatencySummary(
            queue=queue,
            count=histogram.get_total_count(),
            p50_ms=_milliseconds(histogram.get_value_at_percentile(50)),
            p99_ms=_milliseconds(histogram.get_value_at_percentile(99)),
            max_ms=_milliseconds(histogram.get_max_value()),
        )


def _plot(levels: ServiceLevelHistory) -> Iterator[PlottedBucket]:
    for bucket in levels.tiers[0][-SHOWN_BUCKETS:]:
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


def _milliseconds(microseconds: float) -> float:
    return microseconds / MICROSECONDS_PER_MILLISECOND
