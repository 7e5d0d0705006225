"""Long-running tasks run until their job is cancelled, however their runs end."""

from __future__ import annotations

from dataclasses import replace

import pytest

from geraniumshore_scheduler import (
    CompletedRun,
    Job,
    JobState,
    Progress,
    RecordKind,
    RegisteredJob,
    Step,
    encode_progress,
    job_key,
)
from tests.common.schedule_parts import SMALL, Fleet, LoggedFleet, job

JOB = "a" * 16
PROGRESS_KEY = job_key(RecordKind.PROGRESS, JOB)
LASTING = Step(2, SMALL, lasting=True, may_miss=1)
OUTCOMES = ["done", "failed", "stopped", "lapsed", "broken", "alone"]


def report_end(fleet: Fleet, run, how: str, number: int) -> None:
    """Report the end of a run; the other runs go on."""
    rows = {
        minion_id: tuple(
            row for row in fleet.running(minion_id) if row.run != run.number
        )
        for minion_id in fleet.scheduler.view_by_id
    }
    end = CompletedRun(number, str(run.task), run.number, how, "")
    fleet.report(run.minion_id, rows[run.minion_id], (end,))


@pytest.mark.parametrize("how", OUTCOMES)
def test_a_task_is_restarted_however_it_ends(how):
    """One that ended ``done`` stayed away, and its job was shown as done (review 5)."""
    fleet = Fleet()
    fleet.add(job(JOB, LASTING))
    runs = {order.run.task: order.run for order in fleet.plan()}
    for number in range(1, 6):
        task = min(runs)
        report_end(fleet, runs[task], how, number)
        fleet.now += 1.0
        (order,) = fleet.plan()
        assert order.run.task == task
        runs[task] = order.run
    open_job = fleet.scheduler.job_by_id[JOB]
    assert open_job.progress.state is JobState.RUNNING
    assert open_job.progress.done == {}


def test_a_job_stays_running_when_all_its_tasks_end_done_at_once():
    fleet = Fleet()
    fleet.add(job(JOB, LASTING))
    for number, order in enumerate(fleet.plan(), 1):
        report_end(fleet, order.run, "done", number)
    fleet.now += 1.0
    assert len(fleet.plan()) == 2


def test_a_late_end_of_an_older_run_does_not_end_the_task():
    """A run that was given up as lost may still be listed as done later."""
    fleet = Fleet()
    fleet.add(job(JOB, LASTING))
    runs = [order.run for order in fleet.plan()]
    late = CompletedRun(1, str(runs[0].task), 1, "done", "")
    fleet.report(runs[1].minion_id, fleet.running(runs[1].minion_id), (late,))
    fleet.plan()
    assert fleet.scheduler.take_stops() == []
    assert fleet.scheduler.job_by_id[JOB].progress.done == {}


def test_a_cancelled_job_restarts_nothing():
    fleet = Fleet()
    fleet.add(job(JOB, LASTING))
    (first, _) = (order.run for order in fleet.plan())
    fleet.scheduler.cancel_job(JOB)
    report_end(fleet, first, "done", 1)
    fleet.now += 1.0
    assert fleet.plan() == ()


def test_short_tasks_beside_long_running_ones_end_once():
    fleet = Fleet()
    registered = RegisteredJob(job(JOB, Step(1, SMALL, 500), LASTING), 0.0)
    fleet.scheduler.add_job(registered, 0.0)
    short = next(o.run for o in fleet.plan() if o.run.task.step == 0)
    report_end(fleet, short, "done", 1)
    fleet.now += 1.0
    assert fleet.plan() == ()
    assert fleet.scheduler.job_by_id[JOB].progress.done == {"0.0": 1}


def former_release(registered: Job, *parts: Progress) -> LoggedFleet:
    """Return a fleet whose owner has just read what a former release recorded."""
    former = LoggedFleet()
    former.add(registered)
    for number, part in enumerate(parts):
        former.fold(
            PROGRESS_KEY + (f"/{number}" if number else ""), encode_progress(part)
        )
    fleet = former.successor()
    fleet.now = 10.0
    for minion_id in fleet.scheduler.view_by_id:
        fleet.report(minion_id)
    return fleet


FORMER_RECORDS = [
    Progress(JobState.RUNNING, done={"0.0": 0b01}),
    Progress(JobState.DONE, done={"0.0": 0b11}),
    Progress(JobState.DONE, completed_occurrences=1),
]


@pytest.mark.parametrize("recorded", FORMER_RECORDS)
def test_a_task_that_a_former_release_recorded_as_done_is_restarted(recorded):
    """It stayed away after the upgrade, and its job was shown as done for good."""
    fleet = former_release(job(JOB, LASTING), recorded)
    registered = fleet.registry.job_by_id[JOB]
    assert registered.state is JobState.RUNNING
    assert [str(order.run.task) for order in fleet.plan()] == [
        f"{JOB}.0.0.0",
        f"{JOB}.0.0.1",
    ]
    assert fleet.registry.expired(1e9, 10) == []
    assert registered.whole_progress().done == {}


def test_short_tasks_of_a_former_releases_record_stay_done():
    """Its completed occurrences are open again, but only for long-running tasks."""
    timed = replace(
        job(JOB, Step(2, SMALL, 500), LASTING), occurrences=3, interval_ms=1_000
    )
    recorded = Progress(
        JobState.RUNNING, done={"1.0": 0b01, "1.1": 0b11}, completed_occurrences=1
    )
    started = [
        order.run.task.within_job for order in former_release(timed, recorded).plan()
    ]
    assert started == [
        *("0.1.0", "0.1.1"),
        *("1.0.1", "1.1.0", "1.1.1"),
        *("2.0.0", "2.0.1", "2.1.0", "2.1.1"),
    ]


def test_all_parts_of_a_former_releases_record_are_open_again():
    fleet = former_release(
        job(JOB, Step(500, SMALL, 500), LASTING),
        Progress(JobState.DONE, done={"0.0": (1 << 500) - 1}),
        Progress(done={"0.1": 0b11}),
    )
    assert [order.run.task.within_job for order in fleet.plan()] == ["0.1.0", "0.1.1"]


def test_a_job_that_was_cancelled_after_a_former_release_ended_it_stays_away():
    fleet = LoggedFleet()
    fleet.add(job(JOB, LASTING))
    recorded = encode_progress(Progress(JobState.DONE, done={"0.0": 0b11}))
    fleet.fold(PROGRESS_KEY, recorded)
    fleet.fold(job_key(RecordKind.CANCELLED, JOB), b"1")
    assert fleet.registry.job_by_id[JOB].state is JobState.CANCELLED
    successor = fleet.successor()
    for minion_id in successor.scheduler.view_by_id:
        successor.report(minion_id)
    assert successor.plan() == ()
