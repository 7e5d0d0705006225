"""Occurrences of timed jobs: each runs once, whoever owns the schedule meanwhile."""

from __future__ import annotations

from dataclasses import replace

import pytest

from geraniumshore_scheduler import (
    CompletedRun,
    Job,
    JobState,
    Placement,
    Progress,
    RegisteredJob,
    Step,
    TaskKey,
    encode_progress,
)
from geraniumshore_scheduler.internal.runs import MAX_WAITING_TASKS
from tests.common.schedule_parts import CAPACITY, SMALL, Fleet, job

JOB = "a" * 16
ONE = Step(1, SMALL, 500)
INTERVAL_MS = 1_000
FORMER_RUN, FORMER_EPOCH = 4_000_001, 4


def timed_job(times: int, step: Step = ONE, first_ms: int = 0) -> Job:
    """Return a job whose occurrence K is due at ``first_ms`` + K seconds."""
    return replace(
        job(JOB, step), occurrences=times, first_ms=first_ms, interval_ms=INTERVAL_MS
    )


class TimedFleet(Fleet):
    """Minions whose owner took over a timed job with some progress at ``now``."""

    def __init__(
        self, timed: Job, now: float, progress: Progress | None = None, minions: int = 2
    ) -> None:
        super().__init__(minions)
        self.now = now
        registered = RegisteredJob(timed, 0.0, progress or Progress())
        self.scheduler.add_job(registered, now)
        self.ends = 0

    def occurrences_started(self) -> list[int]:
        """Return the occurrences whose tasks start now."""
        return [order.run.task.occurrence for order in self.plan()]

    def complete_runs(self, how: str = "done") -> None:
        """Report that all runs have ended."""
        for minion_id, view in list(self.scheduler.view_by_id.items()):
            rows = []
            for run in view.runs.values():
                self.ends += 1
                rows.append(CompletedRun(self.ends, run.name, run.number, how, ""))
            self.report(minion_id, ended=tuple(rows))

    def state(self) -> JobState:
        """Return the job's state that callers see next."""
        open_job = self.scheduler.job_by_id.get(JOB)
        return JobState.DONE if open_job is None else open_job.progress.state


def placed(occurrence: int) -> Progress:
    place = Placement("i-0", FORMER_RUN, FORMER_EPOCH)
    return Progress(JobState.RUNNING, placed={f"{occurrence}.0.0": [place]})


def test_an_occurrence_that_waited_at_a_takeover_runs():
    """It has no trace in the log when its run ended with its minion (review 3)."""
    fleet = TimedFleet(timed_job(3), now=5.0, progress=placed(1))
    assert fleet.occurrences_started() == [0, 2]
    fleet.complete_runs()
    assert fleet.state() is JobState.DONE


def test_occurrences_that_are_done_do_not_run_again_after_a_takeover():
    progress = Progress(JobState.RUNNING, done={"0.0": 1, "2.0": 1})
    fleet = TimedFleet(timed_job(5), now=3.5, progress=progress)
    assert fleet.occurrences_started() == [1, 3]


@pytest.mark.parametrize("now", [0.5, 1.5])
def test_an_occurrence_that_ran_before_it_is_due_here_goes_on(now):
    """The former owner's clock was ahead; its runs are adopted all the same."""
    fleet = TimedFleet(timed_job(3), now=now, progress=placed(2))
    due_here = [0, 1][: int(now) + 1]
    assert fleet.occurrences_started() == due_here
    fleet.complete_runs("failed")
    fleet.now = 9.0
    started = fleet.occurrences_started()
    assert sorted(started) == [0, 1, 2]
    fleet.complete_runs()
    assert fleet.state() is JobState.DONE


def test_a_job_whose_occurrences_all_ran_early_is_done():
    """Waiting for this owner's clock to agree would only delay the answer."""
    progress = Progress(JobState.RUNNING, done={"0.0": 1, "1.0": 1})
    progress.placed = placed(2).placed
    fleet = TimedFleet(timed_job(3), now=0.5, progress=progress)
    assert fleet.occurrences_started() == []
    fleet.complete_runs()
    assert fleet.state() is JobState.DONE


def test_an_occurrence_waits_for_room_and_for_its_time():
    fleet = TimedFleet(timed_job(3, Step(1, CAPACITY, 500)), now=1.5, minions=1)
    assert fleet.occurrences_started() == [0]
    fleet.now = 2.5
    fleet.complete_runs()
    assert fleet.occurrences_started() == [1]
    fleet.complete_runs()
    assert fleet.occurrences_started() == [2]


# Each second for ten years.
MANY = 315_360_000


def test_a_declared_number_of_occurrences_costs_nothing_before_they_are_due():
    """Every node hung as it went through all those of ten years (review 4)."""
    fleet = TimedFleet(timed_job(MANY), now=2.5)
    assert fleet.occurrences_started() == [0, 1, 2]
    open_job = fleet.scheduler.job_by_id[JOB]
    assert len(open_job.opened) == 3


def test_what_is_kept_of_a_job_does_not_grow_with_its_occurrences():
    fleet = TimedFleet(timed_job(MANY), now=0.0)
    sizes = set()
    for second in range(60):
        fleet.now = float(second)
        assert fleet.occurrences_started() == [second]
        if second % 7 == 3:
            fleet.complete_runs("failed")
            fleet.now += 0.5
            assert fleet.occurrences_started() == [second]
        fleet.complete_runs()
        open_job = fleet.scheduler.job_by_id[JOB]
        sizes.add(len(encode_progress(open_job.progress)))
        assert not (open_job.opened or open_job.failed_on or open_job.backoff_by_task)
    assert max(sizes) - min(sizes) < 3


def test_a_takeover_goes_on_after_the_completed_occurrences():
    progress = Progress(
        JobState.RUNNING, done={f"{MANY - 3}.0": 1}, completed_occurrences=MANY - 4
    )
    fleet = TimedFleet(timed_job(MANY), now=1.0 * MANY, progress=progress)
    assert fleet.occurrences_started() == [MANY - 4, MANY - 2, MANY - 1]
    fleet.complete_runs()
    assert fleet.state() is JobState.DONE


def test_a_record_of_a_former_release_is_taken_over():
    """It lists each completed occurrence."""
    done = {f"{occurrence}.0": 1 for occurrence in range(100)}
    progress = Progress(JobState.RUNNING, done=done)
    fleet = TimedFleet(timed_job(MANY), now=101.5, progress=progress)
    assert fleet.occurrences_started() == [100, 101]
    assert len(encode_progress(fleet.scheduler.job_by_id[JOB].progress)) < 200


def test_a_task_of_a_completed_occurrence_stays_done():
    progress = Progress(completed_occurrences=2)
    late = TaskKey(JOB, 1, 0, 0)
    assert progress.is_done(late)
    progress.mark_done(late)
    assert progress.done == {}


def test_occurrences_that_are_all_due_are_queued_as_room_permits():
    times = 5 * MAX_WAITING_TASKS
    fleet = TimedFleet(timed_job(times), now=1.0 * times)
    room = 2 * CAPACITY.cpu_milli // SMALL.cpu_milli
    for first in range(0, 10 * room, room):
        assert fleet.occurrences_started() == list(range(first, first + room))
        open_job = fleet.scheduler.job_by_id[JOB]
        assert len(open_job.waiting) <= MAX_WAITING_TASKS
        fleet.complete_runs()
