"""Decides which calls about a pool's tasks are due, and interprets the reports."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from geraniumshore.internal.failure_attribution import HostHealth, JobKind
from geraniumshore.internal.items import Host
from geraniumshore.internal.job_records import JobEnd, JobEnding, Sizes
from geraniumshore.internal.jobs import Job, JobPhase, JobTable
from geraniumshore.internal.platform_tasks import (
    TaskReport,
    TaskReports,
    TaskStart,
    TaskState,
)
from geraniumshore.internal.throttling import TaskThrottle, throttles_due

__all__ = ["LEASE_MS", "TaskWatch", "TaskCalls"]

# Longer than the next home needs to take over.
LEASE_MS = 20_000
RENEW_SECONDS = 1.0
# The platform starts a task at most this long after its start was logged.
START_WINDOW_MS = 8_000
# The platform is assumed to remember completed tasks for at least this long.
TASK_RETENTION_MS = 3_600_000
# With more than this fraction of a host's memory in use, a job is moved before the
# host kills one.
MEMORY_PRESSURE_FRACTION = 0.94
MAX_STARTS_PER_CALL = 50
ENDING_BY_STATE: dict[TaskState, JobEnding] = {
    TaskState.SUCCEEDED: "succeeded",
    TaskState.FAILED: "failed",
    TaskState.KILLED: "out-of-memory",
    TaskState.LOST: "interrupted",
    TaskState.LAPSED: "interrupted",
    TaskState.STOPPED: "stopped",
    TaskState.CHECKPOINTED: "checkpointed",
    TaskState.REFUSED: "not-run",
}


@dataclass(frozen=True, slots=True)
class TaskCalls:
    """The platform calls that are due for one pool; each kind may be empty."""

    pool: str
    starts: tuple[TaskStart, ...] = ()
    renewals: tuple[str, ...] = ()
    stops: tuple[str, ...] = ()
    checkpoints: tuple[str, ...] = ()
    throttles: tuple[TaskThrottle, ...] = ()


@dataclass(slots=True)
class TaskWatch:
    """Tracks the tasks of one pool."""

    pool: str
    health: HostHealth = field(default_factory=HostHealth)
    report_by_task: dict[str, TaskReport] = field(default_factory=dict)
    renew_at: float = float("-inf")

    def due_calls(
        self,
        table: JobTable,
        hosts: dict[str, Host],
        unusable: frozenset[str],
        now: float,
    ) -> TaskCalls:
        """Return the calls that are due."""
        running = list(table.running(self.pool))
        self._forget_ended(running)
        starts = (job for job in running if self._wants_start(job))
        reported = [job for job in running if job.task in self.report_by_task]
        return TaskCalls(
            self.pool,
            starts=tuple(_task_start(job) for job in starts)[:MAX_STARTS_PER_CALL],
            renewals=self._due_renewals(running, now),
            stops=tuple(job.task for job in running if job.cancel_requested),
            checkpoints=tuple(self._due_checkpoints(reported, hosts, unusable)),
            throttles=tuple(throttles_due(reported, self.report_by_task, hosts)),
        )

    def on_reports(
        self, table: JobTable, reports: TaskReports, now: float
    ) -> Iterator[JobEnd]:
        """Process the platform's reports, and yield the attempts that have ended."""
        for report in reports.tasks:
            job = table.by_id.get(report.task.partition(".")[0])
            if job is None or job.task != report.task:
                continue
            if job.phase is not JobPhase.RUNNING:
                continue
            end = self._on_report(job, report, reports.now_ms, now)
            if end is not None:
                yield end

    def in_use(self, job: Job) -> Sizes:
        """Return what a running job uses: its grant, or more memory if reported."""
        granted = job.granted or job.sizes
        report = self.report_by_task.get(job.task)
        if report is None or report.usage is None:
            return granted
        return Sizes(
            granted.processors,
            max(granted.memory_mb, report.usage.memory_mb),
            granted.accelerators,
        )

    def _on_report(
        self, job: Job, report: TaskReport, now_ms: int, now: float
    ) -> JobEnd | None:
        if report.state is TaskState.RUNNING:
            self.report_by_task[job.task] = report
            return None
        if report.state is TaskState.ABSENT:
            return _end_of_absent(job, now_ms)
        return self._end(job, report, now)

    def _end(self, job: Job, report: TaskReport, now: float) -> JobEnd:
        kind = JobKind(job.queue, job.team)
        blames_host = False
        if report.state is TaskState.SUCCEEDED:
            self.health.on_succeeded(job.host, kind)
        elif report.state in {TaskState.FAILED, TaskState.REFUSED}:
            blames_host = self.health.on_failed(job.host, kind, now)
        return JobEnd(
            job=job.id,
            attempt=job.attempt,
            ending=ENDING_BY_STATE[report.state],
            reason=report.reason or report.state.value,
            blames_host=blames_host,
            usage=report.usage,
            result=report.result,
        )

    def _wants_start(self, job: Job) -> bool:
        return job.task not in self.report_by_task and not job.cancel_requested

    def _due_renewals(self, running: list[Job], now: float) -> tuple[str, ...]:
        if now < self.renew_at:
            return ()
        self.renew_at = now + RENEW_SECONDS
        return tuple(job.task for job in running)

    def _due_checkpoints(
        self, reported: list[Job], hosts: dict[str, Host], unusable: frozenset[str]
    ) -> Iterator[str]:
        """Yield tasks to checkpoint and move.

        These are all tasks on unusable hosts, and the newest one on each host that is
        short of memory.
        """
        used_by_host: dict[str, int] = {}
        for job in reported:
            used_by_host[job.host] = used_by_host.get(job.host, 0) + self._used_mb(job)
        short_of_memory = {
            host
            for host, used in used_by_host.items()
            if host in hosts and used > MEMORY_PRESSURE_FRACTION * hosts[host].memory_mb
        }
        for job in reversed(reported):
            if job.host in unusable:
                yield job.task
            elif job.host in short_of_memory:
                short_of_memory.discard(job.host)
                yield job.task

    def _used_mb(self, job: Job) -> int:
        usage = self.report_by_task[job.task].usage
        return usage.memory_mb if usage is not None else 0

    def _forget_ended(self, running: Iterable[Job]) -> None:
        tasks = {job.task for job in running}
        for task in set(self.report_by_task) - tasks:
            del self.report_by_task[task]


def _task_start(job: Job) -> TaskStart:
    return TaskStart(
        task=job.task,
        host=job.host,
        queue=job.queue,
        team=job.team,
        sizes=job.granted or job.sizes,
        body=job.body,
        content_type=job.content_type,
        not_after_ms=job.started_at_ms + START_WINDOW_MS,
        checkpoint=job.checkpoint,
    )


def _end_of_absent(job: Job, now_ms: int) -> JobEnd | None:
    """Return the end of an attempt that the platform does not know, if it is certain.

    After the start window the task cannot start any more, so it never ran. After the
    retention time it may have run, since the platform may have forgotten it.
    """
    if now_ms <= job.started_at_ms + START_WINDOW_MS:
        return None
    if now_ms > job.started_at_ms + TASK_RETENTION_MS:
        reason = "the platform may have forgotten the task"
        return JobEnd(job.id, job.attempt, "interrupted", reason)
    return JobEnd(job.id, job.attempt, "not-run", "the platform never began the task")
