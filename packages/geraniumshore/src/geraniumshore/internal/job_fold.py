"""Folds records about jobs into the job table.

Records and parts of records that the current state does not allow have no effect.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

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
)
from geraniumshore.internal.jobs import (
    Job,
    JobPhase,
    JobTable,
    StartSequence,
    usage_kind,
)
from geraniumshore.internal.placement import UsageHistory, oversize_reason
from geraniumshore.internal.pool_hosts import host_takes_jobs, hosts_of_pool

__all__ = [
    "MAX_JOB_BODY_BYTES",
    "check_job_queues",
    "fold_job_record",
    "set_aside_unserved_jobs",
]

MAX_JOB_BODY_BYTES = 64 * 1024
# Every member keeps the bodies of live jobs in memory; this bounds their total.
MAX_BODIES_BYTES = 8 * 1024 * 1024
MAX_ATTEMPTS = 12
# After failures on this many healthy hosts, the job itself is considered faulty.
MAX_FAILED_HOSTS = 3


def fold_job_record(
    table: JobTable,
    configuration: Configuration,
    fleet: FleetState,
    homes: Mapping[LedgerKey, Home],
    record: JobRecord,
    at_ms: int,
) -> tuple[Finding, ...]:
    """Fold one record about jobs; return why it is void, or no findings.

    In a record with several parts, those that the state does not allow are skipped.
    If none of a record's ends or cancellations applies, the record is void.
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
    """Yield a finding for each pool with running jobs and no job queue left.

    A configuration with such findings is refused.
    """
    pools = set(configuration.job_pools())
    for pool, running in table.running_by_pool.items():
        if running and pool not in pools:
            yield Finding(
                f"pools.{pool}", f"{len(running)} jobs run there, and no queue is left"
            )


def set_aside_unserved_jobs(
    table: JobTable, configuration: Configuration, at_ms: int
) -> None:
    """Set aside the jobs that wait for a pool without a job queue."""
    pools = set(configuration.job_pools())
    for pool in set(table.waiting_by_pool) - pools:
        for group in list(table.waiting_groups(pool)):
            for job in list(table.waiting(pool, group, len(table.by_id))):
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
    reason = oversize_reason(table.needed_sizes(job), hosts.values())
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
    _record_usage(table, job, end)
    _record_ending(job, end)
    phase, reason = _phase_after(job, end)
    table.move(job, phase, reason, at_ms)
    return True


def _record_usage(table: JobTable, job: Job, end: JobEnd) -> None:
    if end.usage is None or end.ending not in {"succeeded", "out-of-memory"}:
        return
    history = table.usage_by_kind.setdefault(usage_kind(job), UsageHistory())
    history.record(end.usage)


def _record_ending(job: Job, end: JobEnd) -> None:
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
    """Return a job's next phase and the reason for it.

    A job goes back to waiting only if running it again is safe.
    """
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
