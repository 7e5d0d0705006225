"""Long-running tasks run until their job is cancelled, however their runs end."""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import CompletedRun, JobState, RegisteredJob, Step
from tests.common.schedule_parts import SMALL, Fleet, job

JOB = "a" * 16
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
