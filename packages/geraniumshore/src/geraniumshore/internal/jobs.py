"""The folded state of jobs.

A job is accepted once its record is folded, and it leaves the state only a stated
time after it ended. Each attempt is in the log before the platform is asked to start
it, so any member knows what may be running.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import islice
from typing import Annotated, Any, NamedTuple

from pydantic import PlainSerializer, PlainValidator, TypeAdapter

from geraniumshore.errors import Finding
from geraniumshore.internal.configuration import Configuration
from geraniumshore.internal.fleet_state import FleetState
from geraniumshore.internal.homes import Home, LedgerKey, pool_ledger
from geraniumshore.internal.items import Queue
from geraniumshore.internal.job_records import (
    JobEnd,
    JobRecord,
    JobsCancelled,
    JobsEnded,
    JobSettled,
    JobsStarted,
    JobStart,
    JobSubmitted,
    Sizes,
    TaskResult,
)
from geraniumshore.internal.placement import MEMORY_MARGIN, UsageHistory, oversized
from geraniumshore.internal.pool_hosts import host_takes_jobs, hosts_of_pool

__all__ = [
    "MAX_JOB_BODY_BYTES",
    "Job",
    "JobPhase",
    "JobTable",
    "KeptJobTable",
    "StartSequence",
    "WaitingLane",
    "check_job_queues",
    "fold_job_record",
    "set_orphans_aside",
]

MAX_JOB_BODY_BYTES = 64 * 1024
# Bodies of live jobs are kept by every member; together they stay below this.
MAX_BODIES_BYTES = 8 * 1024 * 1024
# Ended jobs can be looked up, and their idempotency keys are known, for this time.
ENDED_JOB_RETENTION_MS = 3_600_000
MAX_ENDED_JOBS = 20_000
MAX_ATTEMPTS = 12
# A job that failed on this many good hosts is at fault itself.
MAX_FAILED_HOSTS = 3


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
        history = self.usage_by_kind.get(_kind(job))
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


def fold_job_record(
    table: JobTable,
    configuration: Configuration,
    fleet: FleetState,
    homes: Mapping[LedgerKey, Home],
    record: JobRecord,
    at_ms: int,
) -> tuple[Finding, ...]:
    """Fold one record about jobs; return why it is void, or nothing.

    Of a record with many parts those that the state forbids are skipped; the record
    is void where all of them are.
    """
    table.forget_ended(at_ms)
    match record:
        case JobSubmitted():
            return _fold_submitted(table, configuration, fleet, record, at_ms)
        case JobsStarted():
            return _fold_started(table, configuration, fleet, homes, record, at_ms)
        case JobsEnded():
            ended = [_fold_end(table, end, at_ms) for end in record.ends]
            return () if any(ended) else (Finding("ends", "none is of a live attempt"),)
        case JobsCancelled():
            return _fold_cancelled(table, record, at_ms)
        case JobSettled():
            return _fold_settled(table, record, at_ms)


def check_job_queues(
    table: JobTable, configuration: Configuration
) -> Iterator[Finding]:
    """Yield why a configuration cannot follow: jobs run on pools that it drops."""
    pools = set(configuration.job_pools())
    for pool, running in table.running_by_pool.items():
        if running and pool not in pools:
            yield Finding(
                f"pools.{pool}", f"{len(running)} jobs run there, and no queue is left"
            )


def set_orphans_aside(
    table: JobTable, configuration: Configuration, at_ms: int
) -> None:
    """Set aside the jobs that wait for a pool which takes none any more."""
    pools = set(configuration.job_pools())
    for pool in set(table.waiting_by_pool) - pools:
        for lane in list(table.waiting_lanes(pool)):
            for job in list(table.waiting(pool, lane, len(table.by_id))):
                reason = f"no queue is left for the pool {pool}"
                table.move(job, JobPhase.SET_ASIDE, reason, at_ms)


def _fold_submitted(
    table: JobTable,
    configuration: Configuration,
    fleet: FleetState,
    record: JobSubmitted,
    at_ms: int,
) -> tuple[Finding, ...]:
    findings = tuple(_check_submitted(table, configuration, record))
    if findings:
        return findings
    queue = configuration.queues[record.queue]
    assert queue.pool is not None
    job = Job(
        id=record.job,
        queue=record.queue,
        team=record.team,
        pool=queue.pool,
        idempotent=queue.idempotent,
        urgent=queue.urgent,
        sizes=record.sizes,
        body=record.body,
        body_digest=record.body_digest,
        content_type=record.content_type,
        accepted_at_ms=at_ms,
    )
    table.add(job)
    hosts = hosts_of_pool(configuration, fleet, job.pool)
    reason = oversized(table.needed(job), hosts.values())
    if reason is not None:
        table.move(job, JobPhase.SET_ASIDE, reason, at_ms)
    return ()


def _check_submitted(
    table: JobTable, configuration: Configuration, record: JobSubmitted
) -> Iterator[Finding]:
    queue = configuration.queues.get(record.queue)
    if queue is None or queue.kind != "job" or queue.pool is None:
        yield Finding("queue", f"no job queue is named {record.queue!r}")
        return
    if record.job in table.by_id:
        yield Finding("job", f"{record.job} was accepted before")
    if not _key_in_force(configuration, queue, record):
        yield Finding("key_id", "the key is not in force")
    if table.waiting_by_queue[record.queue] >= queue.max_waiting:
        yield Finding("queue", f"{queue.max_waiting} jobs wait already")
    if table.bodies_bytes + len(record.body) > MAX_BODIES_BYTES:
        yield Finding("body", f"bodies of live jobs would exceed {MAX_BODIES_BYTES}")


def _key_in_force(
    configuration: Configuration, queue: Queue, record: JobSubmitted
) -> bool:
    if record.key_id is None:
        return queue.open and queue.open_team == record.team
    key = configuration.keys.get(record.key_id)
    return key is not None and key.team == record.team


def _fold_started(
    table: JobTable,
    configuration: Configuration,
    fleet: FleetState,
    homes: Mapping[LedgerKey, Home],
    record: JobsStarted,
    at_ms: int,
) -> tuple[Finding, ...]:
    home = homes.get(pool_ledger(record.pool))
    if home is None or home.epoch != record.epoch:
        return (Finding("epoch", f"{record.epoch} is not the epoch of the home"),)
    newest = table.sequence_by_pool.setdefault(record.pool, StartSequence())
    if (record.epoch, record.sequence) <= (newest.epoch, newest.sequence):
        return (Finding("sequence", "a later batch was folded before"),)
    newest.epoch, newest.sequence = record.epoch, record.sequence
    for start in record.starts:
        if host_takes_jobs(fleet, start.host, record.pool):
            _fold_start(table, configuration, record.pool, start, at_ms)
    return ()


def _fold_start(
    table: JobTable,
    configuration: Configuration,
    pool: str,
    start: JobStart,
    at_ms: int,
) -> None:
    job = table.by_id.get(start.job)
    if job is None or job.phase is not JobPhase.WAITING or job.pool != pool:
        return
    team = configuration.teams.get(job.team)
    if start.attempt != job.attempt + 1:
        return
    if team is None or table.running_by_team[job.team] >= team.limit:
        return
    job.attempt = start.attempt
    job.charged_attempts += 1
    job.host = start.host
    job.task = start.task
    job.granted = start.sizes
    job.started_at_ms = at_ms
    table.move(job, JobPhase.RUNNING, "", at_ms)


def _fold_end(table: JobTable, end: JobEnd, at_ms: int) -> bool:
    job = table.by_id.get(end.job)
    if job is None or job.attempt != end.attempt:
        return False
    wanted = JobPhase.WAITING if end.ending == "impossible" else JobPhase.RUNNING
    if job.phase is not wanted:
        return False
    _learn(table, job, end)
    _note_ending(job, end)
    phase, reason = _phase_after(job, end)
    table.move(job, phase, reason, at_ms)
    return True


def _learn(table: JobTable, job: Job, end: JobEnd) -> None:
    if end.usage is None or end.ending not in {"succeeded", "out-of-memory"}:
        return
    history = table.usage_by_kind.setdefault(_kind(job), UsageHistory())
    history.record(end.usage)


def _kind(job: Job) -> str:
    return f"{job.queue}/{job.team}"


def _note_ending(job: Job, end: JobEnd) -> None:
    match end.ending:
        case "succeeded":
            job.result = end.result
        case "failed" if not end.blames_host and job.host not in job.failed_on:
            job.failed_on = (*job.failed_on, job.host)
        case "checkpointed":
            job.checkpoint = job.task
            job.charged_attempts -= 1
            if end.usage is not None:
                job.too_little_memory_mb = end.usage.memory_mb - 1
        case "out-of-memory":
            granted_mb = job.granted.memory_mb if job.granted is not None else 0
            used_mb = end.usage.memory_mb if end.usage is not None else 0
            job.too_little_memory_mb = max(granted_mb, used_mb)


def _phase_after(job: Job, end: JobEnd) -> tuple[JobPhase, str]:
    """Return a job's next phase; only work that is safe to repeat is repeated."""
    if end.ending == "succeeded":
        return JobPhase.SUCCEEDED, ""
    if end.ending == "impossible":
        return JobPhase.SET_ASIDE, end.reason
    if job.cancel_requested:
        began = end.ending != "not-run"
        return JobPhase.CANCELLED, "stopped after it began" if began else "not run"
    if not job.idempotent and end.ending == "failed":
        return JobPhase.FAILED, end.reason
    if not job.idempotent and end.ending not in {"not-run", "checkpointed"}:
        return JobPhase.UNKNOWN, f"{end.ending}: {end.reason}"
    if len(job.failed_on) >= MAX_FAILED_HOSTS:
        hosts = ", ".join(job.failed_on)
        return JobPhase.SET_ASIDE, f"failed on {hosts}; last: {end.reason}"
    if job.charged_attempts >= MAX_ATTEMPTS:
        reason = f"{MAX_ATTEMPTS} attempts; last: {end.ending}: {end.reason}"
        return JobPhase.SET_ASIDE, reason
    return JobPhase.WAITING, f"{end.ending}: {end.reason}"


def _fold_cancelled(
    table: JobTable, record: JobsCancelled, at_ms: int
) -> tuple[Finding, ...]:
    cancelled = 0
    for job in list(_cancelled_jobs(table, record)):
        cancelled += 1
        if job.phase is JobPhase.WAITING:
            table.move(job, JobPhase.CANCELLED, f"by {record.by}", at_ms)
        else:
            job.cancel_requested = True
            table.changes += 1
    return () if cancelled else (Finding("jobs", "none is waiting or running"),)


def _cancelled_jobs(table: JobTable, record: JobsCancelled) -> Iterator[Job]:
    named = record.jobs or tuple(table.by_id)
    if not record.jobs and record.queue is None:
        return
    for job_id in named:
        job = table.by_id.get(job_id)
        if job is None or job.phase not in {JobPhase.WAITING, JobPhase.RUNNING}:
            continue
        if record.queue in {None, job.queue} and record.team in {None, job.team}:
            yield job


def _fold_settled(
    table: JobTable, record: JobSettled, at_ms: int
) -> tuple[Finding, ...]:
    job = table.by_id.get(record.job)
    if job is None or job.phase is not JobPhase.UNKNOWN:
        return (Finding("job", f"{record.job} is no job of unknown outcome"),)
    if record.ran:
        table.move(job, JobPhase.SUCCEEDED, f"settled as ran by {record.by}", at_ms)
    elif job.cancel_requested:
        table.move(job, JobPhase.CANCELLED, f"settled as not run by {record.by}", at_ms)
    else:
        table.move(job, JobPhase.WAITING, f"settled as not run by {record.by}", at_ms)
    return ()
