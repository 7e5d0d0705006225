"""The experiments of the request path, in the form that the runner knows."""

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
    """Requests while faults come and go on every hop."""

    name: ClassVar[str] = "faults"
    purpose: ClassVar[str] = "lost, doubled, cut and crossed requests under faults"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield what callers were told, and what was not as promised."""
        report = run_faults(seed=seed)
        yield Measurement("all", "requests", report.requests, "calls")
        yield Measurement("all", "faults", sum(report.faults.values()), "switched")
        yield Measurement("all", "lost", len(report.lost), "calls")
        yield Measurement("all", "doubled", len(report.doubled), "calls")
        yield Measurement("all", "cut", len(report.cut), "calls")
        yield Measurement("all", "crossed", len(report.crossed), "calls")
        yield Measurement("all", "false refusals", len(report.false_refusals), "calls")
        for told, count in sorted(report.outcomes.items()):
            yield Measurement("all", f"told {told}", count, "calls")


@register
class OverloadExperiment(Experiment):
    """Goodput with admission control, and without it."""

    name: ClassVar[str] = "overload"
    purpose: ClassVar[str] = "goodput at 1x, 2x and 5x the capacity; cost of a call"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield each load's figures, and those of calling minions directly."""
        report = run_overload()
        for load in report.loads:
            subject = f"{'with' if load.admission else 'without'} admission"
            times = f"{load.times_capacity:.0f}x"
            yield Measurement(subject, f"good at {times}", load.good, "calls/s")
            yield Measurement(subject, f"refused at {times}", load.refused, "calls/s")
            yield Measurement(subject, f"late at {times}", load.late, "calls/s")
            yield Measurement(
                subject, f"refusal p50 at {times}", load.refusal_p50_ms, "ms"
            )
            yield Measurement(
                subject, f"refusal p99 at {times}", load.refusal_p99_ms, "ms"
            )
        for comparison in report.comparisons:
            target, _, callers = comparison.target.rpartition(" ")
            yield Measurement(
                target, f"throughput {callers}", comparison.per_second, "calls/s"
            )
            yield Measurement(target, f"p50 {callers}", comparison.p50_ms, "ms")
            yield Measurement(target, f"p99 {callers}", comparison.p99_ms, "ms")
