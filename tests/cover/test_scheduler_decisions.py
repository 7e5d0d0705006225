"""Single decisions of the scheduler; each test guards a rule or a past fault."""

from __future__ import annotations

from geraniumshore_scheduler import (
    CompletedRun,
    JobState,
    RegisteredJob,
    Resources,
    RunningTask,
    RunState,
    StartOutcome,
    Step,
)
from tests.common.schedule_parts import CAPACITY, SMALL, Fleet, configuration, job

JOB = "a" * 16
ONE = Step(1, SMALL, 500)


def complete_run(fleet: Fleet, minion_id: str, how: str, number: int = 1) -> None:
    """Report the completion of the only run on a minion."""
    (run,) = fleet.scheduler.view_by_id[minion_id].runs.values()
    row = CompletedRun(number, str(run.task), run.number, how, "")
    fleet.report(minion_id, ended=(row,))


def test_callers_see_nothing_before_it_is_in_the_log():
    fleet = Fleet(minions=1)
    registered = RegisteredJob(job(JOB, ONE), 0.0)
    fleet.scheduler.add_job(registered, 0.0)
    fleet.plan()
    complete_run(fleet, "i-0", "done")
    assert registered.state is JobState.QUEUED
    assert registered.progress.placed == {}


def test_a_start_is_sent_only_after_its_record():
    fleet = Fleet(minions=1)
    fleet.add(job(JOB, ONE))
    batch = fleet.scheduler.plan(0.0, 0.0)
    assert batch is not None
    (order,) = batch.starts
    assert b"i-0" in batch.value_by_key[f"s/{JOB}"]
    assert order.run.state is RunState.PLANNED


def test_a_completion_is_acknowledged_only_after_its_record():
    fleet = Fleet(minions=1)
    fleet.add(job(JOB, ONE))
    fleet.plan()
    complete_run(fleet, "i-0", "done")
    assert fleet.poll("i-0").acked_upto == 0
    batch = fleet.scheduler.plan(0.0, 0.0)
    assert batch is not None
    assert fleet.poll("i-0").acked_upto == 0
    fleet.scheduler.on_durable(batch)
    assert fleet.poll("i-0").acked_upto == 1


def test_a_task_is_not_started_while_its_older_run_is_being_stopped():
    fleet = Fleet(minions=2)
    untracked = RunningTask(f"{JOB}.0.0.0", 1, "", 10)
    fleet.report("i-0", (untracked,))
    fleet.add(job(JOB, ONE))
    assert fleet.plan() == ()
    assert [stop.task for stop in fleet.scheduler.take_stops()] == [untracked.task]
    fleet.report("i-0")
    assert len(fleet.plan()) == 1


def test_an_unanswered_start_is_reconciled_before_the_task_starts_elsewhere():
    fleet = Fleet(minions=2)
    fleet.add(job(JOB, ONE))
    batch = fleet.scheduler.plan(0.0, 0.0)
    assert batch is not None
    fleet.scheduler.on_durable(batch)
    (order,) = batch.starts
    fleet.scheduler.prepare_start(order.run, 0.0)
    fleet.scheduler.on_start_answer(order.run, StartOutcome.NO_ANSWER, 0.7)
    fleet.now = 1.0
    minion = order.run.minion_id
    fleet.report(minion)
    assert fleet.plan() == ()
    (stop,) = fleet.scheduler.take_stops()
    fleet.scheduler.on_stop_answer(stop, 1.0)
    fleet.now = 1.1
    fleet.report(minion)
    assert len(fleet.plan()) == 1


def test_a_team_s_cap_is_not_exceeded():
    fleet = Fleet(minions=2, config=configuration(cap=Resources(2_500, 0, 0)))
    fleet.add(job(JOB, Step(8, SMALL, 500), team="team"))
    assert len(fleet.plan()) == 2


def test_a_minion_s_capacity_is_not_exceeded():
    fleet = Fleet(minions=1)
    large = Resources(CAPACITY.cpu_milli // 3 + 1, 10, 0)
    fleet.add(job(JOB, Step(8, large, 500)))
    assert len(fleet.plan()) == 2


def test_a_job_fails_after_its_last_attempt():
    fleet = Fleet(minions=1, config=configuration(max_attempts=2))
    fleet.add(job(JOB, ONE))
    fleet.plan()
    complete_run(fleet, "i-0", "failed", 1)
    assert len(fleet.plan()) == 1
    complete_run(fleet, "i-0", "failed", 2)
    batch = fleet.scheduler.plan(0.0, 0.0)
    assert batch is not None
    assert b'"failed"' in batch.value_by_key[f"s/{JOB}"]
    assert batch.starts == ()


def test_a_failed_task_is_retried_on_another_minion():
    fleet = Fleet(minions=2)
    fleet.add(job(JOB, ONE))
    (first,) = fleet.plan()
    complete_run(fleet, first.run.minion_id, "failed")
    (second,) = fleet.plan()
    assert second.run.minion_id != first.run.minion_id


def test_a_step_waits_for_all_tasks_of_the_step_it_depends_on():
    fleet = Fleet(minions=1)
    fleet.add(job(JOB, Step(2, SMALL, 500), Step(1, SMALL, 500, (0,))))
    first, second = fleet.plan()
    rows = [
        CompletedRun(n, str(order.run.task), order.run.number, "done", "")
        for n, order in enumerate((first, second), 1)
    ]
    fleet.report("i-0", fleet.running("i-0")[1:], (rows[0],))
    assert fleet.plan() == ()
    fleet.report("i-0", (), tuple(rows))
    (third,) = fleet.plan()
    assert third.run.task.step == 1


def test_a_task_of_an_unresponsive_minion_waits_until_its_lease_has_lapsed():
    fleet = Fleet(minions=2)
    fleet.add(job(JOB, ONE))
    (order,) = fleet.plan()
    fleet.scheduler.on_poll_unanswered(fleet.poll(order.run.minion_id), fleet.now)
    fleet.now = 6.1
    fleet.scheduler.authority.confirm(6.1)
    assert fleet.plan() == ()
    fleet.now = 6.5
    assert fleet.plan() == ()
    fleet.scheduler.authority.confirm(6.5)
    assert len(fleet.plan()) == 1


def test_a_gang_starts_completely_or_not_at_all():
    fleet = Fleet(minions=2)
    large = Resources(CAPACITY.cpu_milli, 10, 0)
    fleet.add(job(JOB, Step(3, large, 500, gang=True)))
    assert fleet.plan() == ()
    fleet.add(job("b" * 16, Step(2, large, 500, gang=True)))
    starts = fleet.plan()
    assert len(starts) == 2
    assert len({order.run.number for order in starts}) == 1


def test_occurrences_start_when_they_are_due():
    fleet = Fleet(minions=1)
    timed = job(JOB, ONE)
    timed = type(timed)(
        **{
            **{name: getattr(timed, name) for name in timed.__slots__},
            "occurrences": 2,
            "first_ms": 1_000,
            "interval_ms": 500,
        }
    )
    fleet.add(timed)
    assert fleet.plan() == ()
    fleet.now = 1.0
    (order,) = fleet.plan()
    assert order.run.task.occurrence == 0
    fleet.now = 1.5
    (order,) = fleet.plan()
    assert order.run.task.occurrence == 1


def test_a_task_without_progress_is_moved_to_another_minion():
    fleet = Fleet(minions=2)
    fleet.add(job(JOB, ONE))
    (order,) = fleet.plan()
    minion = order.run.minion_id
    for fleet.now in (1.0, 2.0):
        fleet.report(minion, fleet.running(minion, percent=int(fleet.now * 10)))
    fleet.now = 4.0
    fleet.report(minion, fleet.running(minion, percent=20))
    fleet.plan()
    assert not order.run.stop_wanted
    fleet.now = 4.5
    fleet.plan()
    assert [stop.run for stop in fleet.scheduler.take_stops()] == [order.run.number]
    complete_run(fleet, minion, "stopped")
    (again,) = fleet.plan()
    assert again.run.minion_id != minion


def test_a_task_that_exceeds_its_estimate_but_progresses_is_not_stopped():
    fleet = Fleet(minions=1)
    fleet.add(job(JOB, ONE))
    (order,) = fleet.plan()
    for second in range(1, 30):
        fleet.now = float(second)
        fleet.report("i-0", fleet.running("i-0", percent=second))
        fleet.plan()
    assert not order.run.stop_wanted


def test_a_start_that_was_not_sent_is_planned_again():
    fleet = Fleet(minions=1)
    fleet.add(job("a" * 16, Step(1, SMALL, 500)))
    batch = fleet.scheduler.plan(fleet.now, 0.0)
    assert batch is not None
    fleet.scheduler.on_durable(batch)
    (order,) = batch.starts
    fleet.scheduler.on_start_not_sent(order.run, fleet.now)
    (again,) = fleet.plan()
    assert again.run.task == order.run.task
    assert again.run.number > order.run.number
