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
)
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
