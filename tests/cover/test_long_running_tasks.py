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
    RunningTask,
    StartOutcome,
    Step,
    encode_progress,
    job_key,
)
from tests.common.schedule_parts import SMALL, Fleet, LoggedFleet, job, listing

JOB = "a" * 16
PROGRESS_KEY = job_key(RecordKind.PROGRESS, JOB)
LASTING = Step(2, SMALL, lasting=True, may_miss=1)
# Long enough that a task's restart is not paused.
WORK_S = 4.0
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
        fleet.now += WORK_S
        report_end(fleet, runs[task], how, number)
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


MOMENTS = ["unrecorded", "recorded", "acknowledged", "restarted"]
GANG = replace(LASTING, gang=True)
COPIES = replace(LASTING, speculative=True)
TIMED = {"occurrences": 2, "interval_ms": 1_000}


@pytest.mark.parametrize("how", OUTCOMES)
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize(
    ("step", "timing"),
    [(LASTING, {}), (GANG, {}), (COPIES, {}), (LASTING, TIMED), (GANG, TIMED)],
    ids=["plain", "gang", "copies", "timed", "timed gang"],
)
def test_a_task_that_ends_around_a_takeover_is_restarted_once(
    how, moment, step, timing
):
    """The next owner owes each task, whatever its predecessor recorded of its end."""
    fleet = LoggedFleet(minions=1)
    fleet.now = 5.0
    fleet.add(replace(job(JOB, step), **timing))
    running = {order.run.name: order.run.number for order in fleet.plan()}
    assert len(running) == 2 * max(1, timing.get("occurrences", 0))
    ended = [f"{JOB}.0.0.0", f"{JOB}.0.0.1"][: 2 if step.gang else 1]
    ends = tuple(
        CompletedRun(number, task, running.pop(task), how, "")
        for number, task in enumerate(ended, 1)
    )
    reported = (rows(running), ends)
    if moment != "unrecorded":
        fleet.report("i-0", *reported)
        starts = fleet.plan() if moment == "restarted" else fleet.record()
        assert sorted(order.run.name for order in starts) == ended
        if moment == "acknowledged":
            reported = (rows(running), ())
        if moment == "restarted":
            running |= {order.run.name: order.run.number for order in starts}
            reported = (rows(running), ())
    successor = fleet.successor()
    successor.now = 6.0
    successor.report("i-0", *reported)
    started = sorted(order.run.name for order in successor.plan())
    assert started == ([] if moment == "restarted" else ended)
    open_job = successor.scheduler.job_by_id[JOB]
    assert open_job.progress.state is JobState.RUNNING
    assert open_job.progress.done == {}


def rows(running: dict[str, int]) -> tuple[RunningTask, ...]:
    return tuple(RunningTask(task, run, "", 100) for task, run in running.items())


@pytest.mark.parametrize("how", OUTCOMES)
def test_a_job_whose_run_ended_before_its_start_was_answered_has_begun(how):
    """It was queued, and counted as pending, when its next start was refused."""
    fleet = LoggedFleet(minions=1)
    fleet.add(job(JOB, replace(LASTING, count=1)))
    (order,) = fleet.record()
    fleet.scheduler.prepare_start(order.run, fleet.now)
    report_end(fleet, order.run, how, 1)
    fleet.scheduler.on_start_answer(order.run, StartOutcome.STARTED, fleet.now)
    (order,) = fleet.plan(StartOutcome.REFUSED)
    fleet.record()
    assert fleet.registry.job_by_id[JOB].state is JobState.RUNNING
    assert fleet.registry.pending("q") == 0


def test_a_job_that_a_minion_lists_before_its_start_is_answered_has_begun():
    """The minion then restarts, which frees the run before the answer arrives."""
    fleet = LoggedFleet(minions=1)
    fleet.add(job(JOB, replace(LASTING, count=1)))
    (order,) = fleet.record()
    fleet.scheduler.prepare_start(order.run, fleet.now)
    fleet.report("i-0", rows({order.run.name: order.run.number}))
    fleet.scheduler.set_listings({"i-0": replace(listing(0), incarnation=2)}, 0.0)
    fleet.report("i-0", incarnation=2)
    fleet.plan(StartOutcome.REFUSED)
    fleet.record()
    assert fleet.registry.job_by_id[JOB].state is JobState.RUNNING


@pytest.mark.parametrize("how", OUTCOMES)
def test_a_gang_restarts_when_a_takeover_falls_between_its_members_ends(how):
    """One member waits as the log says, the other is adopted until its end."""
    fleet = LoggedFleet(minions=1)
    fleet.add(job(JOB, GANG))
    first, second = (order.run for order in fleet.plan())
    left = rows({second.name: second.number})
    fleet.report("i-0", left, (CompletedRun(1, first.name, first.number, how, ""),))
    assert fleet.record() == ()
    successor = fleet.successor()
    successor.report("i-0", left)
    assert successor.plan() == ()
    end = CompletedRun(2, second.name, second.number, "broken", "")
    successor.report("i-0", (), (end,))
    assert len(successor.plan()) == 2
