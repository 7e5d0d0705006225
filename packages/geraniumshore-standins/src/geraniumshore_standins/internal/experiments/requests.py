"""Experiments on the request path: faults on every hop, and overload."""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar

from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    register,
)
from geraniumshore_standins.internal.experiments.faults import run_faults
from geraniumshore_standins.internal.experiments.overload import run_overload

__all__ = ["FaultsExperiment", "OverloadExperiment"]


@register
class FaultsExperiment(Experiment):
    """Sends requests while faults are switched on and off on every hop."""

    name: ClassVar[str] = "faults"
    purpose: ClassVar[str] = "lost, doubled, cut and crossed requests under faults"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield counts of the outcomes sent to callers and of violated guarantees."""
        report = run_faults(seed=seed)
        yield Measurement("all", "requests", report.requests, "calls")
        yield Measurement("all", "faults", sum(report.faults.values()), "switched")
        yield Measurement("all", "lost", len(report.lost), "calls")
        yield Measurement("all", "doubled", len(report.doubled), "calls")
        yield Measurement("all", "cut", len(report.cut), "calls")
        yield Measurement("all", "crossed", len(report.crossed), "calls")
        yield Measurement("all", "false refusals", len(report.false_refusals), "calls")
        for reported, count in sorted(report.outcomes.items()):
            yield Measurement("all", f"told {reported}", count, "calls")


@register
class OverloadExperiment(Experiment):
    """Compares goodput with and without admission control."""

    name: ClassVar[str] = "overload"
    purpose: ClassVar[str] = "goodput at 1x, 2x and 5x the capacity; cost of a call"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the figures of each load and of the comparison with direct calls."""
        report = run_overload()
        for load in report.loads:
            subject = f"{'with' if load.admission else 'without'} admission"
            multiple = f"{load.times_capacity:.0f}x"
            yield Measurement(subject, f"good at {multiple}", load.good, "calls/s")
            yield Measurement(
                subject, f"refused at {multiple}", load.refused, "calls/s"
            )
            yield Measurement(subject, f"late at {multiple}", load.late, "calls/s")
            yield Measurement(
                subject, f"refusal p50 at {multiple}", load.refusal_p50_ms, "ms"
            )
            yield Measurement(
                subject, f"refusal p99 at {multiple}", load.refusal_p99_ms, "ms"
            )
        for comparison in report.comparisons:
            target, _, callers = comparison.target.rpartition(" ")
            yield Measurement(
                target, f"throughput {callers}", comparison.per_second, "calls/s"
            )
            yield Measurement(target, f"p50 {callers}", comparison.p50_ms, "ms")
            yield Measurement(target, f"p99 {callers}", comparison.p99_ms, "ms")
