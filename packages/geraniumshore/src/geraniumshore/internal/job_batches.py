"""Batches of job starts and ends that a home has appended and not yet seen folded."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from geraniumshore.internal.job_records import (
    JobEnd,
    JobsEnded,
    JobsStarted,
    JobStart,
)
from geraniumshore.internal.jobs import JobPhase, JobTable

__all__ = ["EndBatches", "StartBatches"]

# A batch that is not folded within this time is appended again.
REAPPEND_SECONDS = 2.0
MAX_ENDS_PER_BATCH = 500


@dataclass(slots=True)
class StartBatches:
    """Starts that were appended to the log and are not folded yet.

    A start stays counted until its own batch or a later one is folded, because until
    then it may still take effect.
    """

    pool: str
    epoch: int
    sequence: int = 0
    by_job: dict[str, JobStart] = field(default_factory=dict)
    appended_at: float = float("-inf")

    def discard_folded(self, table: JobTable) -> None:
        """Drop the starts that were folded, or can no longer take effect."""
        newest = table.sequence_by_pool.get(self.pool)
        key = (self.epoch, self.sequence)
        if newest is not None and (newest.epoch, newest.sequence) >= key:
            self.by_job.clear()
            return
        folded = [
            start.job
            for start in self.by_job.values()
            if start.job in table.by_id
            and table.by_id[start.job].attempt >= start.attempt
        ]
        for job in folded:
            del self.by_job[job]

    def batch(
        self, new_starts: list[JobStart], new_id: Callable[[], str], now: float
    ) -> JobsStarted | None:
        """Return the next record, with all pending starts, or None if none is due."""
        reappend_due = self.by_job and now >= self.appended_at + REAPPEND_SECONDS
        if not (new_starts or reappend_due):
            return None
        self.by_job.update((start.job, start) for start in new_starts)
        self.sequence += 1
        self.appended_at = now
        starts = tuple(self.by_job.values())
        return JobsStarted(new_id(), self.pool, self.epoch, self.sequence, starts)


@dataclass(slots=True)
class _PendingEnd:
    end: JobEnd
    appended_at: float = float("-inf")


@dataclass(slots=True)
class EndBatches:
    """Ends that were appended and are not folded yet.

    An attempt ends only once, so appending an end again has no effect.
    """

    by_attempt: dict[tuple[str, int], _PendingEnd] = field(default_factory=dict)

    def add(self, end: JobEnd) -> None:
        """Add an end, unless one of the same attempt is pending."""
        self.by_attempt.setdefault((end.job, end.attempt), _PendingEnd(end))

    def discard_folded(self, table: JobTable) -> None:
        """Drop the ends of attempts that have ended in the folded state."""
        folded = [
            key
            for key, pending in self.by_attempt.items()
            if not _is_pending(table, pending)
        ]
        for key in folded:
            del self.by_attempt[key]

    def batch(self, new_id: Callable[[], str], now: float) -> JobsEnded | None:
        """Return the next record, or None if none is due."""
        due = [
            pending
            for pending in self.by_attempt.values()
            if now >= pending.appended_at + REAPPEND_SECONDS
        ][:MAX_ENDS_PER_BATCH]
        if not due:
            return None
        for pending in due:
            pending.appended_at = now
        return JobsEnded(new_id(), tuple(pending.end for pending in due))


def _is_pending(table: JobTable, pending: _PendingEnd) -> bool:
    job = table.by_id.get(pending.end.job)
    if job is None or job.attempt != pending.end.attempt:
        return False
    if pending.end.ending == "impossible":
        return job.phase is JobPhase.WAITING
    return job.phase is JobPhase.RUNNING
