"""The tasks of a job that are ready to start, without an entry for each of them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from geraniumshore_scheduler.internal.model import Job, TaskKey
from geraniumshore_scheduler.internal.records import Progress

if TYPE_CHECKING:
    from geraniumshore_scheduler.internal.runs import Run

__all__ = ["StepNumber", "WaitingTasks"]

# An occurrence and the number of a step.
StepNumber = tuple[int, int]


@dataclass(slots=True)
class _StepQueue:
    """The waiting tasks of one step of one occurrence.

    The task at position ``untouched_from`` waits, and so do those after it that neither
    run nor are done. ``returned`` tasks lie before it and wait again.
    """

    count: int
    untouched_from: int
    returned: dict[int, None] = field(default_factory=dict)


class WaitingTasks:
    """The tasks that are ready to start and certainly run nowhere.

    A task that has never been placed has no entry of its own: it waits once its step
    is open, until it is among ``runs`` or done in ``progress``. So what a job costs
    follows its open steps and the tasks that were placed, not those it declared.
    """

    def __init__(
        self, job: Job, progress: Progress, runs: Mapping[TaskKey, Run]
    ) -> None:
        self._job = job
        self._progress = progress
        self._runs = runs
        # Only steps with waiting tasks, in the order in which they were opened.
        self._queue_by_step: dict[StepNumber, _StepQueue] = {}

    def open_step(self, occurrence: int, number: int) -> None:
        """Let all tasks of a step wait that neither run nor are done."""
        step = occurrence, number
        queue = _StepQueue(self._job.steps[number].count, 0)
        self._queue_by_step[step] = queue
        self._advance(step, queue, 0)

    def add(self, task: TaskKey) -> None:
        """Let a task wait that does not run any more."""
        step = task.occurrence, task.step
        queue = self._queue_by_step.get(step)
        if queue is None:
            count = self._job.steps[task.step].count
            queue = self._queue_by_step[step] = _StepQueue(count, count)
        if task.position < queue.untouched_from:
            queue.returned[task.position] = None

    def discard(self, task: TaskKey) -> None:
        """Let a task wait no more. Each that starts or is done has to be discarded."""
        step = task.occurrence, task.step
        queue = self._queue_by_step.get(step)
        if queue is None:
            return
        queue.returned.pop(task.position, None)
        if task.position == queue.untouched_from:
            self._advance(step, queue, task.position + 1)
        elif not queue.returned and queue.untouched_from == queue.count:
            del self._queue_by_step[step]

    def close_occurrence(self, occurrence: int) -> None:
        """Drop what is kept of an occurrence whose tasks are all done."""
        for number in range(len(self._job.steps)):
            self._queue_by_step.pop((occurrence, number), None)

    def clear(self) -> None:
        """Let no task wait."""
        self._queue_by_step.clear()

    def __bool__(self) -> bool:
        return bool(self._queue_by_step)

    def __len__(self) -> int:
        return sum(self.count_by_step().values())

    def __contains__(self, task: object) -> bool:
        if not isinstance(task, TaskKey):
            return False
        step = task.occurrence, task.step
        queue = self._queue_by_step.get(step)
        if queue is None:
            return False
        if task.position < queue.untouched_from:
            return task.position in queue.returned
        end = task.position + 1
        return self._first_untouched(step, task.position, end) < end

    def __iter__(self) -> Iterator[TaskKey]:
        for step in self.steps():
            yield from self.tasks_of(step)

    def steps(self) -> list[StepNumber]:
        """Return the steps with waiting tasks, in the order they were opened in."""
        return list(self._queue_by_step)

    def tasks_of(self, step: StepNumber) -> Iterator[TaskKey]:
        """Yield the waiting tasks of a step. Tasks may start and end meanwhile."""
        queue = self._queue_by_step.get(step)
        if queue is None:
            return
        returned = list(queue.returned)
        position = queue.untouched_from
        while position < queue.count:
            yield TaskKey(self._job.job_id, *step, position)
            position = self._first_untouched(step, position + 1, queue.count)
        for position in returned:
            if position in queue.returned:
                yield TaskKey(self._job.job_id, *step, position)

    def count_by_step(self) -> dict[StepNumber, int]:
        """Return the number of waiting tasks of each open step."""
        counts: dict[StepNumber, int] = {}
        for (occurrence, number), queue in self._queue_by_step.items():
            done = self._progress.done_bits(occurrence, number)
            untouched = queue.count - queue.untouched_from
            untouched -= (done >> queue.untouched_from).bit_count()
            counts[occurrence, number] = untouched + len(queue.returned)
        for task in self._runs:
            step = task.occurrence, task.step
            running = self._queue_by_step.get(step)
            if running is None or task.position < running.untouched_from:
                continue
            if not self._progress.is_done(task):
                counts[step] -= 1
        return counts

    def count_returned(self) -> Iterator[tuple[int, int]]:
        """Yield each step's number and how many of its waiting tasks ran before."""
        for (_, number), queue in self._queue_by_step.items():
            yield number, len(queue.returned)

    def _advance(self, step: StepNumber, queue: _StepQueue, start: int) -> None:
        """Move on to the first untouched task from ``start`` on."""
        queue.untouched_from = self._first_untouched(step, start, queue.count)
        if not queue.returned and queue.untouched_from == queue.count:
            del self._queue_by_step[step]

    def _first_untouched(self, step: StepNumber, start: int, end: int) -> int:
        """Return the first position that neither runs nor is done, ``end`` if none."""
        done = self._progress.done_bits(*step)
        position = start
        while position < end:
            rest = done >> position
            # The number of ones at the low end.
            position += (~rest & (rest + 1)).bit_length() - 1
            if position >= end:
                return end
            if TaskKey(self._job.job_id, *step, position) not in self._runs:
                return position
            position += 1
        return end
