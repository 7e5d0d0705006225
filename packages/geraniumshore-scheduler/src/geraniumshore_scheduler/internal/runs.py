"""Runs of tasks and their open jobs, as the owner of the schedule knows them."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from geraniumshore_scheduler.internal.durations import (
    DeclaredDurations,
    DurationEstimates,
)
from geraniumshore_scheduler.internal.model import Job, Resources, Step, TaskKey
from geraniumshore_scheduler.internal.progress_parts import ProgressParts
from geraniumshore_scheduler.internal.records import (
    JobState,
    Progress,
    encode_progress,
    progress_key,
)
from geraniumshore_scheduler.internal.restart_backoff import RestartBackoff
from geraniumshore_scheduler.internal.waiting_tasks import WaitingTasks

__all__ = ["DECLARED", "FULL_PACE", "OpenJob", "Run", "RunState", "critical_path_s"]

# The pace of a run at its start, in percent.
FULL_PACE = 100
# Occurrences that are due are queued while fewer tasks of their job wait. A timed job
# may have been accepted with any number of them already due.
MAX_WAITING_TASKS = 1_000


class RunState(enum.Enum):
    """The state of a run as the owner of the schedule knows it.

    PLANNED: recorded or about to be; no start was sent. SENT: a start was sent and has
    not been answered yet. DOUBTFUL: the start got no answer in time, and no poll has
    shown since whether the run is there. ADOPTED: a former owner recorded the run.
    RUNNING: the minion has confirmed it.
    """

    PLANNED = "planned"
    SENT = "sent"
    DOUBTFUL = "doubtful"
    ADOPTED = "adopted"
    RUNNING = "running"


@dataclass(slots=True)
class Run:
    """One run of a task, on one incarnation of one minion.

    ``incarnation`` is None while it is not known. ``reported`` runs have been listed by
    the minion, so they are of that incarnation. ``unanswered_at`` is when the start had
    got no answer in time. ``stop_wanted`` requests a stop.
    ``foreign_until`` is until when the former owner of ``foreign_epoch`` may have
    renewed the run's lease, and ``foreign_lease`` the length of its leases in seconds,
    None if that is not known. Leases that it sent until ``foreign_unheard_until`` may
    be the longest, as it may not have heard of a restart. ``percent`` is the run's
    progress, or for a long-running task its progress until it serves. ``maybe_stopped``
    means that a former owner may have stopped the run. ``pace`` is the one that was
    ordered last, at ``paced_at``; None if a former owner may have ordered any. Until
    ``pace_doubtful_until`` an order that got no answer may still undo it; None if all
    were answered. A ``resumed`` run continues from a checkpoint.
    """

    task: TaskKey
    number: int
    minion_id: str
    step: Step
    team: str | None
    state: RunState
    since: float
    incarnation: int | None = None
    reported: bool = False
    unanswered_at: float | None = None
    confirmed_at: float | None = None
    stop_wanted: bool = False
    stop_sent_at: float | None = None
    percent: int = 0
    measured: float = 0.0
    pace: int | None = FULL_PACE
    paced_at: float = -math.inf
    pace_doubtful_until: float | None = None
    progressed_at: float = 0.0
    at_work: bool = False
    maybe_stopped: bool = False
    foreign_until: float | None = None
    foreign_epoch: int | None = None
    foreign_lease: float | None = None
    foreign_unheard_until: float = math.inf
    resumed: bool = False
    # The task's name as minions report it.
    name: str = ""

    def __post_init__(self) -> None:
        """Cache the task's name, which is compared at each poll."""
        self.name = str(self.task)

    @property
    def room(self) -> Resources:
        """The minion's capacity that the run takes."""
        return self.step.room


# Takes the declarations as they are.
DECLARED = DeclaredDurations()


def critical_path_s(
    steps: Sequence[Step],
    done: Callable[[int], bool] = lambda _: False,
    estimates_s: Sequence[float] | None = None,
) -> float:
    """Return the length of the critical path through the steps.

    ``estimates_s`` has the duration of a task of each step, as declared by default.
    """
    if estimates_s is None:
        estimates_s = [DECLARED.estimate_s("", 0, step) for step in steps]
    ends: list[float] = []
    for number, step in enumerate(steps):
        start = max((ends[n] for n in step.depends_on), default=0.0)
        ends.append(start + (0.0 if done(number) else estimates_s[number]))
    return max(ends, default=0.0)


@dataclass(slots=True)
class OpenJob:
    """A job that has not ended, with its scheduling state.

    ``waiting`` holds the tasks that are ready to start and certainly run nowhere.
    ``failed_on`` has the minions on which tasks failed or stood still, and
    ``backoff_by_task`` delays tasks that keep ending or being refused; those of a
    gang's first task hold for the whole gang. A new owner begins without any.
    ``unplaced`` holds the (occurrence, step) pairs for whose tasks no minion had room.
    A run of a ``begun`` job may have started. ``first_start_after_s`` is how long this
    owner saw the job wait for its first start. ``beyond_share`` jobs arrived faster
    than their team's share allows. ``set_aside`` jobs start no more tasks, as
    scheduling them raised an error. Occurrences before ``next_occurrence`` have been
    opened, once they were due on this owner's clock. ``changed_parts`` are the parts of
    the progress that the next record must have. ``durations`` estimates how long the
    tasks take.
    """

    job: Job
    progress: Progress
    arrived_at: float
    service: str
    priority: int
    objective_s: float
    max_attempts: int
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    opened: set[tuple[int, int]] = field(default_factory=set)
    failed_on: dict[TaskKey, set[str]] = field(default_factory=dict)
    backoff_by_task: dict[TaskKey, RestartBackoff] = field(default_factory=dict)
    needs_advice: bool = False
    beyond_share: bool = False
    first_start_after_s: float | None = None
    next_occurrence: int = 0
    begun: bool = False
    set_aside: bool = False
    unplaced: set[tuple[int, int]] = field(default_factory=set)
    changed_parts: set[int] = field(default_factory=set)
    parts: ProgressParts = field(init=False)
    waiting: WaitingTasks = field(init=False)
    durations: DurationEstimates = DECLARED
    _work_left_s: float | None = None
    # Of the revision of the estimates, None before the first use.
    _estimates_s: list[float] = field(default_factory=list)
    _estimates_revision: int | None = None

    def __post_init__(self) -> None:
        self.parts = ProgressParts(self.job)
        self.waiting = WaitingTasks(self.job, self.progress, self.runs)
        # A former owner may have placed its tasks.
        self.begun = self.progress.state is not JobState.QUEUED

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.job.occurrences)

    @property
    def objective_at(self) -> float:
        """The time by which the job should be done."""
        return self.arrived_at + self.objective_s

    def mark_changed(self, task: TaskKey) -> None:
        """Note that a task's progress has changed since its last record."""
        self.changed_parts.add(self.parts.part_of(task))

    def take_records(self) -> dict[str, bytes]:
        """Return the records of what has changed by key, that of the job first.

        A record without a value deletes one whose tasks have nothing to record.
        """
        changed, self.changed_parts = self.changed_parts | {0}, set()
        part_by_number = self.parts.split(self.progress, changed)
        return {
            progress_key(self.job.job_id, number): encode_progress(
                part_by_number[number]
            )
            if number in part_by_number
            else b""
            for number in sorted(changed)
        }

    def has_task(self, task: TaskKey) -> bool:
        """Return whether the task belongs to the job."""
        steps = self.job.steps
        return (
            0 <= task.occurrence < self.occurrences
            and 0 <= task.step < len(steps)
            and 0 <= task.position < steps[task.step].count
        )

    def shared_key(self, task: TaskKey) -> TaskKey:
        """Return the task whose failures and backoff a task shares: a gang's first."""
        return task._replace(position=0) if self.job.steps[task.step].gang else task

    def find_backoff(self, task: TaskKey) -> RestartBackoff | None:
        """Return a task's backoff, or None if it has none."""
        if not self.backoff_by_task:
            return None
        return self.backoff_by_task.get(self.shared_key(task))

    def backoff_of(self, task: TaskKey) -> RestartBackoff:
        """Return a task's backoff, a new one if it has none."""
        return self.backoff_by_task.setdefault(self.shared_key(task), RestartBackoff())

    def keeps_ending(self, task: TaskKey) -> bool:
        """Return whether a task's restarts are paused as its runs keep ending."""
        backoff = self.find_backoff(task)
        return backoff is not None and backoff.growing

    def end_pauses(self) -> None:
        """Let all tasks that wait in a pause start at once."""
        for backoff in self.backoff_by_task.values():
            backoff.end_pause()

    def open_due_occurrences(self, wall_ms: float) -> bool:
        """Open the occurrences that are due, while not too many tasks wait.

        Returns whether there were any.
        """
        first = self.next_occurrence
        waiting: int | None = None
        while self.next_occurrence < self.occurrences:
            due_ms = self.job.first_ms + self.next_occurrence * self.job.interval_ms
            if wall_ms < due_ms:
                break
            waiting = len(self.waiting) if waiting is None else waiting
            if waiting >= MAX_WAITING_TASKS:
                break
            waiting += self.open_steps(self.next_occurrence)
            self.next_occurrence += 1
        return self.next_occurrence > first

    def open_steps(self, occurrence: int) -> int:
        """Queue the tasks of all steps whose dependencies are done.

        Returns the number of tasks that these steps have.
        """
        self._work_left_s = None
        if occurrence < self.progress.completed_occurrences:
            return 0
        tasks = 0
        for number, step in enumerate(self.job.steps):
            if (occurrence, number) in self.opened:
                continue
            if all(self._step_done(occurrence, needed) for needed in step.depends_on):
                self.opened.add((occurrence, number))
                self.waiting.open_step(occurrence, number)
                tasks += step.count
        return tasks

    def complete_occurrences(self) -> None:
        """Drop what is kept of occurrences that have succeeded, in their order."""
        progress = self.progress
        steps = range(len(self.job.steps))
        while not self.finished():
            occurrence = progress.completed_occurrences
            if not all(self._step_done(occurrence, number) for number in steps):
                return
            progress.complete_occurrence(len(steps))
            self.changed_parts.update(self.parts.parts_of_occurrence(occurrence))
            self.opened.difference_update((occurrence, number) for number in steps)
            self.waiting.close_occurrence(occurrence)
            for state_by_task in (self.failed_on, self.backoff_by_task):
                for task in [t for t in state_by_task if t.occurrence <= occurrence]:
                    del state_by_task[task]

    def finished(self) -> bool:
        """Return whether all tasks of all occurrences have succeeded."""
        return self.progress.completed_occurrences >= self.occurrences

    def mark_running(self) -> None:
        """Mark a queued job as running, when its first task is placed."""
        if self.progress.state is JobState.QUEUED:
            self.progress.state = JobState.RUNNING

    def work_left_s(self) -> float:
        """Return the critical path of the work left, from estimated durations."""
        self._update_estimates()
        if self._work_left_s is None:
            self._work_left_s = self._critical_path_s(self._estimates_s)
        return self._work_left_s

    def declared_work_left_s(self) -> float:
        """Return the critical path of the work left, from declared durations."""
        return self._critical_path_s(None)

    def estimate_s(self, number: int) -> float:
        """Return the estimated duration of a task of a step."""
        self._update_estimates()
        return self._estimates_s[number]

    def _update_estimates(self) -> None:
        revision = self.durations.revision
        if self._estimates_revision == revision:
            return
        self._estimates_revision = revision
        self._work_left_s = None
        queue = self.job.queue
        self._estimates_s = [
            self.durations.estimate_s(queue, number, step)
            for number, step in enumerate(self.job.steps)
        ]

    def _critical_path_s(self, estimates_s: Sequence[float] | None) -> float:
        occurrence = max(0, self.next_occurrence - 1)
        return critical_path_s(
            self.job.steps,
            lambda number: self._step_done(occurrence, number),
            estimates_s,
        )

    def _step_done(self, occurrence: int, number: int) -> bool:
        count = self.job.steps[number].count
        return self.progress.step_done(occurrence, number, count)
