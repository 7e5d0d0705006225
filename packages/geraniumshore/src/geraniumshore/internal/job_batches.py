"""Records about jobs that a home has appended and not yet seen folded."""

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

# A batch that was not folded by then is appended again.
REPEAT_SECONDS = 2.0
MAX_ENDS_PER_BATCH = 500


@dataclass(slots=True)
class StartBatches:
    """Starts on their way into the log.

    A start stays counted until it is folded or a later batch is: only then is it
    certain that it never takes effect.
    """

    pool: str
    epoch: int
    sequence: int = 0
    by_job: dict[str, JobStart] = field(default_factory=dict)
    emitted_at: float = float("-inf")

    def settle(self, table: JobTable) -> None:
        """Drop the starts whose fate is folded."""
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
        self, fresh: list[JobStart], new_id: Callable[[], str], now: float
    ) -> JobsStarted | None:
        """Return the next record, with all starts on their way; None if none is due."""
        repeat = self.by_job and now >= self.emitted_at + REPEAT_SECONDS
        if not (fresh or repeat):
            return None
        self.by_job.update((start.job, start) for start in fresh)
        self.sequence += 1
        self.emitted_at = now
        starts = tuple(self.by_job.values())
        return JobsStarted(new_id(), self.pool, self.epoch, self.sequence, starts)


@dataclass(slots=True)
class _PendingEnd:
    end: JobEnd
    emitted_at: float = float("-inf")


@dataclass(slots=True)
class EndBatches:
    """Ends on their way into the log; an attempt ends once, so repeats do no harm."""

    by_attempt: dict[tuple[str, int], _PendingEnd] = field(default_factory=dict)

    def add(self, end: JobEnd) -> None:
        """Take in an end, unless one of the same attempt is on its way."""
        self.by_attempt.setdefault((end.job, end.attempt), _PendingEnd(end))

    def settle(self, table: JobTable) -> None:
        """Drop the ends whose attempts the fold has seen end."""
        over = [
            key for key, pending in self.by_attempt.items() if not _live(table, pending)
        ]
        for key in over:
            del self.by_attempt[key]

    def batch(self, new_id: Callable[[], str], now: float) -> JobsEnded | None:
        """Return the next record, or None where none is due."""
        due = [
            pending
            for pending in self.by_attempt.values()
            if now >= pending.emitted_at + REPEAT_SECONDS
        ][:MAX_ENDS_PER_BATCH]
        if not due:
            return None
        for pending in due:
            pending.emitted_at = now
        return JobsEnded(new_id(), tuple(pending.end for pending in due))


def _live(table: JobTable, pending: _PendingEnd) -> bool:
    job = table.by_id.get(pending.end.job)
    if job is None or job.attempt != pending.end.attempt:
        return False
    if pending.end.ending == "impossible":
        return job.phase is JobPhase.WAITING
    return job.phase is JobPhase.RUNNING
