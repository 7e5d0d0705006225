"""The folded state of jobs.

A job is accepted once its record is folded, and stays in the state for a fixed time
after it ended. Each attempt is in the log before the platform is asked to start it, so
every member knows what may be running.
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
    "SerializedJobTable",
    "StartSequence",
    "WaitingGroup",
    "usage_kind",
]

# For this time, ended jobs can be looked up and their idempotency keys are known.
ENDED_JOB_RETENTION_MS = 3_600_000
MAX_ENDED_JOBS = 20_000


class JobPhase(StrEnum):
    """The state of a job in its life cycle."""

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

    ``attempt`` counts the starts; ``host``, ``task`` and ``granted`` belong to the
    latest one. ``too_little_memory_mb`` is an amount that an earlier attempt showed to
    be too small. ``checkpoint`` names the task to resume from.
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


class WaitingGroup(NamedTuple):
    """Identifies the waiting jobs of one team with the same urgency."""

    team: str
    urgent: bool


@dataclass(slots=True)
class StartSequence:
    """Epoch and sequence number of the newest batch of starts folded for a pool."""

    epoch: int = -1
    sequence: int = -1


@dataclass(frozen=True, slots=True)
class JobSnapshot:
    """The jobs as they are written into a snapshot of the folded state."""

    jobs: tuple[Job, ...]
    sequence_by_pool: dict[str, StartSequence]
    usage_by_kind: dict[str, UsageHistory]


@dataclass(slots=True)
class JobTable:
    """All live and recently ended jobs, with indexes."""

    by_id: dict[str, Job] = field(default_factory=dict)
    sequence_by_pool: dict[str, StartSequence] = field(default_factory=dict)
    usage_by_kind: dict[str, UsageHistory] = field(default_factory=dict)
    waiting_by_pool: dict[str, dict[WaitingGroup, dict[str, None]]] = field(
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
        """Rebuild a table and its indexes from a snapshot."""
        table = cls(
            sequence_by_pool=dict(snapshot.sequence_by_pool),
            usage_by_kind=dict(snapshot.usage_by_kind),
        )
        for job in snapshot.jobs:
            table.add(job)
        return table

    def snapshot(self) -> JobSnapshot:
        """Return the data to rebuild the table from, ended jobs in their order."""
        live = [job for job in self.by_id.values() if job.id not in self.ended]
        ended = [self.by_id[job] for job in self.ended]
        return JobSnapshot((*live, *ended), self.sequence_by_pool, self.usage_by_kind)

    def waiting_groups(self, pool: str) -> Iterator[WaitingGroup]:
        """Yield the team and urgency of each group of jobs that waits for a pool."""
        yield from self.waiting_by_pool.get(pool, {})

    def waiting(self, pool: str, group: WaitingGroup, max_jobs: int) -> Iterator[Job]:
        """Return at most ``max_jobs`` waiting jobs of one group, oldest first."""
        jobs = self.waiting_by_pool.get(pool, {}).get(group, {})
        return (self.by_id[job] for job in islice(jobs, max_jobs))

    def running(self, pool: str) -> Iterator[Job]:
        """Return the jobs of a pool whose latest start is folded but not their end."""
        return (self.by_id[job] for job in self.running_by_pool.get(pool, ()))

    def needed_sizes(self, job: Job) -> Sizes:
        """Return the minimum that the job is known or declared to need.

        The usage of earlier jobs of the same team and queue overrides declared sizes.
        """
        history = self.usage_by_kind.get(usage_kind(job))
        expected = history.expected(job.sizes) if history is not None else job.sizes
        memory_mb = max(expected.memory_mb, job.too_little_memory_mb + 1)
        return Sizes(expected.processors, memory_mb, job.sizes.accelerators)

    def sizes_to_grant(self, job: Job, max_memory_mb: int) -> Sizes:
        """Return the needed sizes, plus a memory margin as far as the hosts allow."""
        needed = self.needed_sizes(job)
        wanted_mb = int(needed.memory_mb * MEMORY_MARGIN)
        wanted_mb = max(wanted_mb, 2 * job.too_little_memory_mb)
        memory_mb = max(needed.memory_mb, min(wanted_mb, max_memory_mb))
        return Sizes(needed.processors, memory_mb, needed.accelerators)

    def add(self, job: Job) -> None:
        """Add an accepted job."""
        self.by_id[job.id] = job
        self.bodies_bytes += len(job.body)
        self._index(job)

    def move(self, job: Job, phase: JobPhase, reason: str, at_ms: int) -> None:
        """Change a job's phase."""
        self._unindex(job)
        job.phase = phase
        job.reason = reason
        if phase not in LIVE_PHASES:
            self.bodies_bytes -= len(job.body)
            job.body = ""
            job.ended_at_ms = at_ms
        self._index(job)

    def forget_ended(self, now_ms: int) -> None:
        """Remove ended jobs beyond the retention time or the maximum number."""
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
                groups = self.waiting_by_pool.setdefault(job.pool, {})
                group = WaitingGroup(job.team, job.urgent)
                groups.setdefault(group, {})[job.id] = None
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
                groups = self.waiting_by_pool[job.pool]
                group = WaitingGroup(job.team, job.urgent)
                del groups[group][job.id]
                if not groups[group]:
                    del groups[group]
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


# The job table as a pydantic field: it is written to snapshots as a JobSnapshot.
SerializedJobTable = Annotated[
    JobTable, PlainSerializer(_dump_table), PlainValidator(_load_table)
]


def usage_kind(job: Job) -> str:
    """Return the key of jobs with similar usage: those of one team on one queue."""
    return f"{job.queue}/{job.team}"
