"""Time and memory of one plan by the number of hosts."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass

from geraniumshore import (
    HostSeen,
    HostsObserved,
    ListedHost,
    LogEntry,
    PlannerTimes,
    Wave,
    encode_records,
    fold_entry,
)
from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    register,
)
from geraniumshore_standins.internal.fleet_simulation import (
    Deployment,
    FleetSimulation,
)
from geraniumshore_standins.internal.platform_hosts import HostTimes

__all__ = ["PlanFigures", "plan_figures"]

POOLS = 31
SIZES = (100, 1_000, 3_900)
REPEATS = 5
BYTES_PER_MEBIBYTE = 1024 * 1024


@dataclass(frozen=True, slots=True)
class PlanFigures:
    """Cost of planning at one size.

    ``fold_ms`` is the time to fold all records of the first plan.
    """

    hosts: int
    pools: int
    first_plan_ms: float
    idle_plan_ms: float
    fold_ms: float
    intents: int
    state_mib: float
    plan_peak_mib: float
    log_bytes_per_host: float


def plan_figures() -> Iterator[PlanFigures]:
    """Yield the measurements of every size, smallest first."""
    for size in SIZES:
        yield _measure(size)


def _measure(size: int) -> PlanFigures:
    deployment = Deployment(POOLS, -(-size // POOLS), 18, 4, 2)
    pools = [f"p{number}" for number in range(POOLS - 1)]
    wave = Wave("kernel", pools=pools, parallel=size)
    tracemalloc.start()
    sim = FleetSimulation(deployment.note({"w": wave}), HostTimes(), PlannerTimes())
    seen = [HostSeen(name, "live", "b") for name in deployment.hosts()]
    sim.append(HostsObserved("o", 1, tuple(seen)))
    state_bytes, _ = tracemalloc.get_traced_memory()
    listed = [
        ListedHost(n, h.data_centre, h.rack, "live", "b")
        for n, h in deployment.hosts().items()
    ]
    member = sim.planners[0]
    member.planner.on_list(sim.state, listed, sim.now)
    before, _ = tracemalloc.get_traced_memory()
    tracemalloc.reset_peak()
    records = member.planner.plan(sim.state, {}, sim.now)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    first = min(_plan_seconds(sim, listed) for _ in range(REPEATS))
    entry = LogEntry(sim.state.position, 0, tuple(records))
    began = time.perf_counter()
    verdicts = list(fold_entry(sim.state, entry))
    fold = time.perf_counter() - began
    idle = min(_plan_seconds(sim, listed) for _ in range(REPEATS))
    hosts = len(deployment.hosts())
    return PlanFigures(
        hosts=hosts,
        pools=POOLS,
        first_plan_ms=round(first * 1000, 2),
        idle_plan_ms=round(idle * 1000, 2),
        fold_ms=round(fold * 1000, 2),
        intents=sum(verdict.accepted for verdict in verdicts),
        state_mib=round(state_bytes / BYTES_PER_MEBIBYTE, 2),
        plan_peak_mib=round((peak - before) / BYTES_PER_MEBIBYTE, 2),
        log_bytes_per_host=round(len(encode_records(tuple(records))) / len(records), 1),
    )


def _plan_seconds(sim: FleetSimulation, listed: list[ListedHost]) -> float:
    planner = sim.planners[0].planner
    began = time.perf_counter()
    planner.on_list(sim.state, listed, sim.now)
    planner.plan(sim.state, {}, sim.now)
    return time.perf_counter() - began


@register
class PlannerScale(Experiment):
    """Cost of one plan at 100, 1,000 and 3,900 hosts."""

    name = "planner_scale"
    purpose = "time and memory of a plan by the number of hosts"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the measurements of every size; ``seed`` has no effect."""
        for figures in plan_figures():
            subject = f"{figures.hosts} hosts"
            yield Measurement(subject, "first plan", figures.first_plan_ms, "ms")
            yield Measurement(subject, "idle plan", figures.idle_plan_ms, "ms")
            yield Measurement(subject, "fold of its drains", figures.fold_ms, "ms")
            yield Measurement(subject, "state", figures.state_mib, "MiB")
            yield Measurement(subject, "peak of a plan", figures.plan_peak_mib, "MiB")
