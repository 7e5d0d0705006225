"""Division of a job's progress among log records of bounded size."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping
from itertools import accumulate

from geraniumshore_scheduler.internal.model import Job, TaskKey
from geraniumshore_scheduler.internal.records import Progress

__all__ = ["ProgressParts"]

# Half of a record's usual limit of 256 KiB, if each task is placed on a minion with an
# ID of 64 characters and has a checkpoint of the same length.
TASKS_PER_RECORD = 500


class ProgressParts:
    """Numbers a job's tasks and divides its progress into parts of so many tasks.

    Part 0 also has what concerns the whole job. Most jobs have no other part. The bits
    of ``done`` are relative to the part's first task of their step.
    """

    def __init__(self, job: Job) -> None:
        self._counts = [step.count for step in job.steps]
        self._first_by_step = [0, *accumulate(self._counts)]
        self._tasks = self._first_by_step.pop()
        self._only_one = job.occurrences == 0 and self._tasks <= TASKS_PER_RECORD

    def part_of(self, task: TaskKey) -> int:
        """Return the number of the part with a task."""
        first = self._first(task.occurrence, task.step)
        return (first + task.position) // TASKS_PER_RECORD

    def parts_of_occurrence(self, occurrence: int) -> range:
        """Return the numbers of the parts with an occurrence's tasks."""
        first = occurrence * self._tasks
        last = first + self._tasks - 1
        return range(first // TASKS_PER_RECORD, last // TASKS_PER_RECORD + 1)

    def split(
        self, progress: Progress, only: Collection[int] | None = None
    ) -> dict[int, Progress]:
        """Return the parts that are not empty, and part 0, by number.

        With ``only``, parts of other numbers may be missing or incomplete.
        """
        if self._only_one:
            return {0: progress}
        parts: dict[int, Progress] = defaultdict(Progress)
        parts[0] = Progress(
            progress.state, completed_occurrences=progress.completed_occurrences
        )
        for name, places in progress.placed.items():
            parts[self._part_of_name(name)].placed[name] = places
        for name, failures in progress.failures.items():
            parts[self._part_of_name(name)].failures[name] = failures
        for name, run in progress.failed_runs.items():
            parts[self._part_of_name(name)].failed_runs[name] = run
        for name, checkpoint in progress.checkpoints.items():
            parts[self._part_of_name(name)].checkpoints[name] = checkpoint
        for name, bits in progress.done.items():
            for number, part_bits in self._split_bits(name, bits, only):
                parts[number].done[name] = part_bits
        return dict(parts)

    def merge(self, main: Progress, part_by_number: Mapping[int, Progress]) -> Progress:
        """Return the progress with all parts; ``main`` is part 0 and stays unchanged.

        A record of a former release has everything in part 0, with the same encoding.
        """
        whole = main.copy()
        for number, part in part_by_number.items():
            whole.placed.update(part.placed)
            whole.failures.update(part.failures)
            whole.failed_runs.update(part.failed_runs)
            whole.checkpoints.update(part.checkpoints)
            for name, bits in part.done.items():
                first = self._first_of_name(name)
                if first < whole.completed_occurrences * self._tasks:
                    continue
                shift = max(0, number * TASKS_PER_RECORD - first)
                whole.done[name] = whole.done.get(name, 0) | bits << shift
        return whole

    def _split_bits(
        self, name: str, bits: int, only: Collection[int] | None
    ) -> Iterator[tuple[int, int]]:
        first = self._first_of_name(name)
        end = first + bits.bit_length()
        numbers = range(first // TASKS_PER_RECORD, -(-end // TASKS_PER_RECORD))
        for number in numbers if only is None else filter(numbers.__contains__, only):
            low = max(0, number * TASKS_PER_RECORD - first)
            high = (number + 1) * TASKS_PER_RECORD - first
            part_bits = (bits & ((1 << high) - 1)) >> low
            if part_bits:
                yield number, part_bits

    def _part_of_name(self, name: str) -> int:
        return self.part_of(TaskKey.parse(f".{name}"))

    def _first_of_name(self, name: str) -> int:
        occurrence, step = map(int, name.split("."))
        return self._first(occurrence, step)

    def _first(self, occurrence: int, step: int) -> int:
        return occurrence * self._tasks + self._first_by_step[step]
