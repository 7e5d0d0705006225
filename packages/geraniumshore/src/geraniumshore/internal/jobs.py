"""The folded state of jobs.

A job is accepted once its record is folded, and it leaves the state only a stated
time after it ended. Each attempt is in the log before the platform is asked to start
it, so any member knows what may be running.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import islice
from typing import Annotated, Any, NamedTuple

from pydantic import PlainSerializer, PlainValidator, TypeAdapter

from geraniumshore.internal.job_records import Sizes, TaskResult
from geraniumshore.internal.placement import MEMORY_MARGIN, UsageHistory

__all__ = [
    "Job",
    "JobPhase",
    "JobTable",
    "KeptJobTable",
    "StartSequence",
    "WaitingLane",
    "kind_of",
]

# Ended jobs can be looked up, and their idempotency keys are known, for this time.
ENDED_JOB_RETENTION_MS = 3_600_000
MAX_ENDED_JOBS = 20_000


class JobPhase(StrEnum):
    """Where a job stands."""

    WAITING = "waiting"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    SET_ASIDE = "set-aside"
    UNKNOWN = "unknown"


LIVE_PHASES = frozenset({JobPhase.WAITING, JobPhase.RUNNING, JobPhase.UNKNOWN})


@dataclass(slots=True)
class Job:
    """One accepted job.

    ``attempt`` counts the starts; ``host``, ``task`` and ``granted`` are the latest
    start's. ``too_little_memory_mb`` is what an attempt that ran out of memory had.
    ``checkpoint`` names the task to go on from.
    """

    id: str
    queue: str
    team: str
    pool: str
    idempotent: bool
    urgent: bool
    sizes: Sizes
    body: str
    body_digest: str
    content_type: str
    accepted_at_ms: int
    phase: JobPhase = JobPhase.WAITING
    reason: str = ""
    attempt: int = 0
    charged_attempts: int = 0
    host: str = ""
    task: str = ""
    granted: Sizes | None = None
    started_at_ms: int = 0
    ended_at_ms: int = 0
    too_little_memory_mb: int = 0
    cancel_requested: bool = False
    checkpoint: str | None = None
    failed_on: tuple[str, ...] = ()
    result: TaskResult | None = None


class WaitingLane(NamedTuple):
    """Waiting jobs of one team that are alike in urgency."""

    team: str
    urgent: bool


@dataclass(slots=True)
class StartSequence:
    """The newest batch of starts folded for a pool."""

    epoch: int = -1
    sequence: int = -1


@dataclass(frozen=True, slots=True)
class JobSnapshot:
    """What a snapshot of the folded state keeps of the jobs."""

    jobs: tuple[Job, ...]
    sequence_by_pool: dict[str, StartSequence]
    usage_by_kind: dict[str, UsageHistory]


@dataclass(slots=True)
class JobTable:
    """Every job that is live or ended lately, with its indexes."""

    by_id: dict[str, Job] = field(default_factory=dict)
    sequence_by_pool: dict[str, StartSequence] = field(default_factory=dict)
    usage_by_kind: dict[str, UsageHistory] = field(default_factory=dict)
    waiting_by_pool: dict[str, dict[WaitingLane, dict[str, None]]] = field(
        default_factory=dict
    )
    running_by_pool: dict[str, dict[str, None]] = field(default_factory=dict)
    running_by_team: Counter[str] = field(default_factory=Counter)
    running_by_host: Counter[str] = field(default_factory=Counter)
    waiting_by_queue: Counter[str] = field(default_factory=Counter)
    ended: dict[str, None] = field(default_factory=dict)
    bodies_bytes: int = 0
    changes: int = 0

    @classmethod
    def from_snapshot(cls, snapshot: JobSnapshot) -> JobTable:
        """Rebuild a table and its indexes from what a snapshot keeps."""
        table = cls(
            sequence_by_pool=dict(snapshot.sequence_by_pool),
            usage_by_kind=dict(snapshot.usage_by_kind),
        )
        for job in snapshot.jobs:
            table.add(job)
        return table

    def snapshot(self) -> JobSnapshot:
        """Return what the indexes can be rebuilt from; ended jobs by their end."""
        live = [job for job in self.by_id.values() if job.id not in self.ended]
        ended = [self.by_id[job] for job in self.ended]
        return JobSnapshot((*live, *ended), self.sequence_by_pool, self.usage_by_kind)

    def waiting_lanes(self, pool: str) -> Iterator[WaitingLane]:
        """Yield the teams and urgencies of which jobs wait for a pool."""
        yield from self.waiting_by_pool.get(pool, {})

    def waiting(self, pool: str, lane: WaitingLane, most: int) -> Iterator[Job]:
        """Yield the first waiting jobs of one lane, oldest first."""
        jobs = self.waiting_by_pool.get(pool, {}).get(lane, {})
        return (self.by_id[job] for job in islice(jobs, most))

    def running(self, pool: str) -> Iterator[Job]:
        """Yield the jobs of a pool that have a start in the log and no end."""
        return (self.by_id[job] for job in self.running_by_pool.get(pool, ()))

    def needed(self, job: Job) -> Sizes:
        """Return the least that the job is known or declared to need.

        What the team's jobs of the queue have used goes before what is declared.
        """
        history = self.usage_by_kind.get(kind_of(job))
        expected = history.expected(job.sizes) if history is not None else job.sizes
        memory_mb = max(expected.memory_mb, job.too_little_memory_mb + 1)
        return Sizes(expected.processors, memory_mb, job.sizes.accelerators)

    def estimate(self, job: Job, most_memory_mb: int) -> Sizes:
        """Return the sizes to grant: what is needed, and a margin where one fits."""
        needed = self.needed(job)
        wanted_mb = int(needed.memory_mb * MEMORY_MARGIN)
        wanted_mb = max(wanted_mb, 2 * job.too_little_memory_mb)
        memory_mb = max(needed.memory_mb, min(wanted_mb, most_memory_mb))
        return Sizes(needed.processors, memory_mb, needed.accelerators)

    def add(self, job: Job) -> None:
        """Take in an accepted job."""
        self.by_id[job.id] = job
        self.bodies_bytes += len(job.body)
        self._index(job)

    def move(self, job: Job, phase: JobPhase, reason: str, at_ms: int) -> None:
        """Give a job another phase."""
        self._unindex(job)
        job.phase = phase
        job.reason = reason
        if phase not in LIVE_PHASES:
            self.bodies_bytes -= len(job.body)
            job.body = ""
            job.ended_at_ms = at_ms
        self._index(job)

    def forget_ended(self, now_ms: int) -> None:
        """Drop jobs that ended long ago, and the oldest of too many."""
        while self.ended:
            oldest = self.by_id[next(iter(self.ended))]
            recent = oldest.ended_at_ms + ENDED_JOB_RETENTION_MS > now_ms
            if recent and len(self.ended) <= MAX_ENDED_JOBS:
                return
            del self.ended[oldest.id]
            del self.by_id[oldest.id]

    def _index(self, job: Job) -> None:
        self.changes += 1
        match job.phase:
            case JobPhase.WAITING:
                lanes = self.waiting_by_pool.setdefault(job.pool, {})
                lane = WaitingLane(job.team, job.urgent)
                lanes.setdefault(lane, {})[job.id] = None
                self.waiting_by_queue[job.queue] += 1
            case JobPhase.RUNNING:
                self.running_by_pool.setdefault(job.pool, {})[job.id] = None
                self.running_by_team[job.team] += 1
                self.running_by_host[job.host] += 1
            case JobPhase.UNKNOWN:
                pass
            case _:
                self.ended[job.id] = None

    def _unindex(self, job: Job) -> None:
        match job.phase:
            case JobPhase.WAITING:
                lanes = self.waiting_by_pool[job.pool]
                lane = WaitingLane(job.team, job.urgent)
                del lanes[lane][job.id]
                if not lanes[lane]:
                    del lanes[lane]
                self.waiting_by_queue[job.queue] -= 1
            case JobPhase.RUNNING:
                del self.running_by_pool[job.pool][job.id]
                self.running_by_team[job.team] -= 1
                self.running_by_host[job.host] -= 1


_SNAPSHOT: TypeAdapter[JobSnapshot] = TypeAdapter(JobSnapshot)


def _dump_table(table: JobTable) -> Any:
    return _SNAPSHOT.dump_python(table.snapshot(), mode="json")


def _load_table(value: Any) -> JobTable:
    if isinstance(value, JobTable):
        return value
    return JobTable.from_snapshot(_SNAPSHOT.validate_python(value))


# The form in which a folded state that goes into a snapshot holds its jobs.
KeptJobTable = Annotated[
    JobTable, PlainSerializer(_dump_table), PlainValidator(_load_table)
]


def kind_of(job: Job) -> str:
    """Name the jobs that are expected to use alike: a team's, on a queue."""
    return f"{job.queue}/{job.team}"
