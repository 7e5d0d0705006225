"""Job placement compared with baselines, and the cost of cancelling jobs in bulk.

A single member runs over an in-memory log and task board in simulated time, so the
results do not depend on the machine, except for the processor time of cancellation.
"""

from __future__ import annotations

import base64
import itertools
import json
import random
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import ClassVar

from geraniumshore import (
    LEASE_MS,
    BestFit,
    DeclaredSizes,
    FirstFit,
    Host,
    Items,
    JobPhase,
    JobsCancelled,
    JobSubmitted,
    LearnedSizes,
    LogEntry,
    Member,
    MemberInfo,
    Placement,
    Pool,
    PoolHome,
    Queue,
    Record,
    Release,
    ReleaseNote,
    Sizes,
    Sizing,
    TaskCalls,
    Team,
)
from geraniumshore_standins.internal.experiments.base import (
    Experiment,
    Measurement,
    register,
)
from geraniumshore_standins.internal.platform_tasks import TaskBoard, TaskHost

__all__ = [
    "CancellationReport",
    "JobsExperiment",
    "PlacementReport",
    "compare_placements",
    "measure_cancellation",
]

POOL = "roasting"
HOSTS = 12
HOST_PROCESSORS = 16.0
HOST_MEMORY_MB = 32_768
TEAM_LIMIT = 500
STEP_SECONDS = 0.1
LOAD_SECONDS = 120.0
JOBS = 4_000
CANCELLED_JOBS = 10_000
CANCELLED_RUNNING_JOBS = 200


@dataclass(frozen=True, slots=True)
class JobShape:
    """Kind of job with its declared and its actual sizes."""

    team: str
    declared: Sizes
    actual_processors: float
    actual_memory_mb: int
    run_ms: int


# Declared sizes differ from actual ones by factors between a quarter and four.
SHAPES = (
    JobShape("bakery", Sizes(2.0, 1_024), 2.0, 4_096, 4_000),
    JobShape("cafe", Sizes(1.0, 8_192), 1.0, 2_048, 2_000),
    JobShape("dairy", Sizes(4.0, 4_096), 1.0, 4_096, 3_000),
    JobShape("farm", Sizes(1.0, 2_048), 2.0, 6_144, 6_000),
    JobShape("glass", Sizes(2.0, 2_048), 2.0, 1_024, 1_000),
)


@dataclass(frozen=True, slots=True)
class PlacementReport:
    """Results of one combination of placement and sizing."""

    placement: str
    sizing: str
    finished_per_second: float
    kills: int
    attempts_per_finished: float


@dataclass(frozen=True, slots=True)
class CancellationReport:
    """Cost of cancelling jobs in bulk."""

    jobs: int
    appends: int
    stop_calls: int
    processor_ms: float


@dataclass(slots=True)
class SingleMemberSimulation:
    """Simulation of one member with an in-memory log and a task board."""

    seed: int
    now: float = 100.0
    entries: list[LogEntry] = field(default_factory=list)
    board: TaskBoard = field(default_factory=TaskBoard)
    ids: Iterator[int] = field(default_factory=itertools.count)
    member: Member = field(init=False)

    def __post_init__(self) -> None:
        info = MemberInfo("m", "m", "dc1", "127.0.0.1:1", "127.0.0.1:2")
        self.member = Member(info, self.new_id)
        self.run(2.0)
        names = [f"h{number}" for number in range(HOSTS)]
        self.board.hosts = {
            name: TaskHost(HOST_PROCESSORS, HOST_MEMORY_MB) for name in names
        }
        self.append(Release(self.new_id(), _release_note(names)))
        self.run(1.0)

    @property
    def home(self) -> PoolHome:
        """Home of the pool's jobs."""
        return self.member.job_homes.by_pool[POOL]

    def new_id(self) -> str:
        """Return a new unique id."""
        return f"id{next(self.ids)}"

    def append(self, record: Record) -> None:
        """Append a record to the log."""
        now_ms = int(self.now * 1000)
        self.entries.append(LogEntry(len(self.entries), now_ms, (record,)))

    def run(self, seconds: float) -> None:
        """Advance simulated time."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self._step()

    def _step(self) -> None:
        self.board.advance(int(self.now * 1000))
        position = self.member.state.position
        self.member.on_entries(self.entries[position:], self.now)
        self.member.on_tail(self.now, self.now)
        self.member.on_tick(self.now)
        for work in self.member.job_work(self.now):
            self._call(work)
        for record in self.member.drain_effects().appends:
            self.append(record)

    def _call(self, work: TaskCalls) -> None:
        for reports in (
            self.board.start(work.starts, LEASE_MS) if work.starts else None,
            self.board.stop(work.stops) if work.stops else None,
            self.board.checkpoint(work.checkpoints) if work.checkpoints else None,
            self.board.renew(work.renewals, LEASE_MS) if work.renewals else None,
        ):
            if reports is not None:
                self.member.on_task_reports(work.pool, reports, self.now)


def compare_placements(seed: int = 1) -> Iterator[PlacementReport]:
    """Run the same jobs under each combination of placement and sizing."""
    combinations: tuple[tuple[Placement, Sizing], ...] = (
        (FirstFit(), DeclaredSizes()),
        (BestFit(), DeclaredSizes()),
        (FirstFit(), LearnedSizes()),
        (BestFit(), LearnedSizes()),
    )
    for placement, sizing in combinations:
        yield _measure_placement(placement, sizing, seed)


def measure_cancellation(seed: int = 1) -> CancellationReport:
    """Cancel ten thousand jobs, some of them running, with one record."""
    simulation = SingleMemberSimulation(seed)
    for number in range(CANCELLED_JOBS):
        simulation.append(_submission(simulation, number, SHAPES[4], run_ms=600_000))
    simulation.run(5.0)
    appends, stops = len(simulation.entries), simulation.board.calls["stop"]
    began = time.process_time()
    simulation.append(JobsCancelled(simulation.new_id(), queue="work", by="operator"))
    while set(_phases(simulation)) != {JobPhase.CANCELLED}:
        simulation.run(STEP_SECONDS)
    return CancellationReport(
        jobs=CANCELLED_JOBS,
        appends=len(simulation.entries) - appends,
        stop_calls=simulation.board.calls["stop"] - stops,
        processor_ms=(time.process_time() - began) * 1000,
    )


def _measure_placement(
    placement: Placement, sizing: Sizing, seed: int
) -> PlacementReport:
    simulation = SingleMemberSimulation(seed)
    simulation.home.placement = placement
    simulation.home.sizing = sizing
    rng = random.Random(seed)
    for number in range(JOBS):
        shape = rng.choice(SHAPES)
        run_ms = int(shape.run_ms * rng.uniform(0.5, 1.5))
        simulation.append(_submission(simulation, number, shape, run_ms))
    simulation.run(LOAD_SECONDS)
    finished = _phases(simulation)[JobPhase.SUCCEEDED]
    attempts = sum(job.attempt for job in simulation.member.state.jobs.by_id.values())
    return PlacementReport(
        placement=type(placement).__name__,
        sizing=type(sizing).__name__,
        finished_per_second=finished / LOAD_SECONDS,
        kills=simulation.board.kills,
        attempts_per_finished=attempts / max(1, finished),
    )


def _phases(simulation: SingleMemberSimulation) -> Counter[JobPhase]:
    return Counter(job.phase for job in simulation.member.state.jobs.by_id.values())


def _release_note(hosts: list[str]) -> ReleaseNote:
    return ReleaseNote(
        base=0,
        added=Items(
            pools={POOL: Pool()},
            hosts={
                name: Host(POOL, "dc1", "r1", HOST_PROCESSORS, HOST_MEMORY_MB)
                for name in hosts
            },
            teams={shape.team: Team(1.0, TEAM_LIMIT) for shape in SHAPES},
            queues={
                "work": Queue(
                    pool=POOL,
                    kind="job",
                    idempotent=True,
                    open=True,
                    open_team=SHAPES[4].team,
                    max_waiting=CANCELLED_JOBS,
                ),
                **{
                    shape.team: Queue(
                        pool=POOL,
                        kind="job",
                        idempotent=True,
                        open=True,
                        open_team=shape.team,
                        max_waiting=JOBS,
                    )
                    for shape in SHAPES
                },
            },
        ),
    )


def _submission(
    simulation: SingleMemberSimulation, number: int, shape: JobShape, run_ms: int
) -> JobSubmitted:
    behaviour = {
        "run_ms": run_ms,
        "processors": shape.actual_processors,
        "memory_mb": shape.actual_memory_mb,
    }
    body = base64.b64encode(json.dumps(behaviour).encode()).decode()
    return JobSubmitted(
        id=simulation.new_id(),
        job=f"j{number}",
        queue="work" if run_ms == 600_000 else shape.team,
        team=shape.team,
        key_id=None,
        sizes=shape.declared,
        body=body,
        body_digest="",
        content_type="application/json",
    )


@register
class JobsExperiment(Experiment):
    """Job placement compared with baselines, and bulk cancellation."""

    name: ClassVar[str] = "jobs"
    purpose: ClassVar[str] = "jobs finished, kills for memory, cost of cancelling"

    def run(self, seed: int) -> Iterator[Measurement]:
        """Yield the measurements of each placement, the project's own first."""
        for report in reversed(list(compare_placements(seed))):
            subject = f"{report.placement} {report.sizing}"
            yield Measurement(subject, "finished", report.finished_per_second, "1/s")
            yield Measurement(subject, "kills for memory", report.kills, "tasks")
            yield Measurement(
                subject, "attempts for each", report.attempts_per_finished, "tasks"
            )
        cancellation = measure_cancellation(seed)
        yield Measurement("cancelling", "jobs cancelled", cancellation.jobs, "jobs")
        yield Measurement("cancelling", "appends", cancellation.appends, "records")
        yield Measurement("cancelling", "stop calls", cancellation.stop_calls, "calls")
        yield Measurement(
            "cancelling", "processor time", cancellation.processor_ms, "ms"
        )
