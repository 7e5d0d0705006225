"""Runs of tasks as their owner knows them, and the jobs that they belong to."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from geraniumshore_scheduler.internal.model import Job, Resources, Step, TaskKey
from geraniumshore_scheduler.internal.records import JobState, Progress

__all__ = ["OpenJob", "Run", "RunState", "longest_chain_s"]

MS = 1000.0


class RunState(enum.Enum):
    """What is known of a run.

    PLANNED: written down or about to be; no start was sent. SENT: a start was sent and
    not answered. DOUBTFUL: the start got no answer and has to be settled. ADOPTED: a
    former owner wrote it down. RUNNING: the minion said so.
    """

    PLANNED = "planned"
    SENT = "sent"
    DOUBTFUL = "doubtful"
    ADOPTED = "adopted"
    RUNNING = "running"


@dataclass(slots=True)
class Run:
    """One run of a task, on one life of one minion.

    ``life`` is None while it is not known. ``stop_wanted`` asks for its end.
    ``foreign_until`` is until when a former owner may have renewed its lease, the one
    of ``foreign_epoch``.
    ``percent`` is its progress, for a lasting task how far it is at work;
    ``maybe_stopped`` says that a former owner may have stopped it.
    """

    task: TaskKey
    number: int
    minion_id: str
    step: Step
    team: str | None
    state: RunState
    since: float
    life: int | None = None
    confirmed_at: float | None = None
    stop_wanted: bool = False
    stop_sent_at: float | None = None
    percent: int = 0
    measured: float = 0.0
    pace: int = 100
    progressed_at: float = 0.0
    at_work: bool = False
    maybe_stopped: bool = False
    foreign_until: float | None = None
    foreign_epoch: int | None = None
    # The task's name, as minions spell it.
    name: str = ""

    def __post_init__(self) -> None:
        """Spell the name once: each look compares it."""
        self.name = str(self.task)

    @property
    def room(self) -> Resources:
        """What it takes of the minion's capacity."""
        return self.step.room


def longest_chain_s(
    steps: Sequence[Step], done: Callable[[int], bool] = lambda _: False
) -> float:
    """Return how long steps take that wait for each other, from their estimates."""
    ends: list[float] = []
    for number, step in enumerate(steps):
        start = max((ends[n] for n in step.depends_on), default=0.0)
        ends.append(start + (0.0 if done(number) else step.estimate_ms / MS))
    return max(ends, default=0.0)


@dataclass(slots=True)
class OpenJob:
    """A job that has not ended, as its owner schedules it.

    ``waiting`` has the tasks whose turn has come and which certainly run nowhere, in
    the order in which they became so. ``retry_at`` delays single tasks; ``unplaced``
    names the occurrences and steps for whose tasks no minion had room.
    ``first_start_after_s`` is how long the job waited, as this owner saw it.
    ``beyond_share`` jobs came faster than their team's share allows. ``set_aside`` ones
    start no more tasks, as deciding on them failed.
    """

    job: Job
    progress: Progress
    arrived_at: float
    service: str
    priority: int
    objective_s: float
    max_attempts: int
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    waiting: dict[TaskKey, None] = field(default_factory=dict)
    opened: set[tuple[int, int]] = field(default_factory=set)
    failed_on: dict[TaskKey, set[str]] = field(default_factory=dict)
    retry_at: dict[TaskKey, float] = field(default_factory=dict)
    needs_advice: bool = False
    beyond_share: bool = False
    first_start_after_s: float | None = None
    next_occurrence: int = 0
    set_aside: bool = False
    unplaced: set[tuple[int, int]] = field(default_factory=set)
    _work_left_s: float | None = None

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.job.occurrences)

    @property
    def objective_at(self) -> float:
        """When the job should be done."""
        return self.arrived_at + self.objective_s

    def has_task(self, task: TaskKey) -> bool:
        """Tell whether the job has a task of that name."""
        steps = self.job.steps
        return (
            0 <= task.occurrence < self.occurrences
            and 0 <= task.step < len(steps)
            and 0 <= task.position < steps[task.step].count
        )

    def due_occurrences(self, wall_ms: float) -> Iterator[int]:
        """Yield the occurrences whose time has come, each once."""
        while self.next_occurrence < self.occurrences:
            due_ms = self.job.first_ms + self.next_occurrence * self.job.interval_ms
            if self.job.occurrences and wall_ms < due_ms:
                return
            yield self.next_occurrence
            self.next_occurrence += 1

    def open_steps(self, occurrence: int) -> None:
        """Let the tasks of all steps wait whose dependencies are done."""
        self._work_left_s = None
        for number, step in enumerate(self.job.steps):
            if (occurrence, number) in self.opened:
                continue
            if all(self._step_done(occurrence, needed) for needed in step.depends_on):
                self.opened.add((occurrence, number))
                for index in range(step.count):
                    task = TaskKey(self.job.job_id, occurrence, number, index)
                    if task not in self.runs and not self.progress.is_done(task):
                        self.waiting[task] = None

    def finished(self) -> bool:
        """Tell whether all tasks of all occurrences have ended done."""
        return self.next_occurrence >= self.occurrences and all(
            self._step_done(occurrence, number)
            for occurrence in range(self.occurrences)
            for number in range(len(self.job.steps))
        )

    def begun(self) -> None:
        """Note that a task has been placed."""
        if self.progress.state is JobState.QUEUED:
            self.progress.state = JobState.RUNNING

    def work_left_s(self) -> float:
        """Return the longest chain of work left, from the declared estimates."""
        if self._work_left_s is None:
            occurrence = max(0, self.next_occurrence - 1)
            self._work_left_s = longest_chain_s(
                self.job.steps, lambda number: self._step_done(occurrence, number)
            )
        return self._work_left_s

    def _step_done(self, occurrence: int, number: int) -> bool:
        count = self.job.steps[number].count
        return self.progress.step_done(occurrence, number, count)
