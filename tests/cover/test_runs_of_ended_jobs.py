"""Runs of a job that ended under a former owner count until they have ended too.

A job that is cancelled while there is no owner leaves its runs on the minions. They
take capacity and their team's cap, whoever started them.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from geraniumshore_scheduler import (
    CompletedRun,
    Job,
    JobRegistry,
    JobState,
    Progress,
    RecordKind,
    Resources,
    RunningTask,
    Step,
    encode_job,
    encode_progress,
    job_key,
)
from tests.common.schedule_parts import CAPACITY, SMALL, Fleet, configuration, job

CANCELLED, NEXT = "a" * 16, "b" * 16
TASKS = 2
CAP = SMALL.plus(SMALL)


def team_job(job_id: str, step: Step) -> Job:
    return replace(job(job_id, step), team="team")


class Succession:
    """A log, its owner, and the next owner after a change that no owner saw."""

    def __init__(self, step: Step, cap: Resources = CAP, minions: int = 1) -> None:
        self.registry = JobRegistry()
        self.config = configuration(cap=cap)
        self.minions = minions
        self.offset = 0
        self.fold(
            job_key(RecordKind.ACCEPTED, CANCELLED),
            encode_job(team_job(CANCELLED, step)),
        )
        self.fleet = Fleet(minions, self.config)
        self.add_jobs()
        self.step()

    def fold(self, key: str, value: bytes) -> None:
        self.offset += 1
        self.registry.fold(key, value, self.offset, 0.0)

    def add_jobs(self) -> None:
        for registered in self.registry.job_by_id.values():
            self.fleet.scheduler.add_job(registered, self.fleet.now)

    def step(self) -> list[str]:
        """Plan, record and start; return the tasks that start."""
        batch = self.fleet.scheduler.plan(self.fleet.now, 0.0)
        if batch is None:
            return []
        for key, value in batch.value_by_key.items():
            self.fold(key, value)
        self.fleet.scheduler.on_durable(batch)
        for order in batch.starts:
            self.fleet.scheduler.prepare_start(order.run, self.fleet.now)
            self.fleet.scheduler.on_start_answer(order.run, "started", self.fleet.now)
        return [str(order.run.task) for order in batch.starts]

    def rows(self) -> tuple[RunningTask, ...]:
        return self.fleet.running("i-0")

    def take_over(self, rows: tuple[RunningTask, ...], epoch: int = 6) -> None:
        """Let a new owner take over; the first minion's first report lists ``rows``."""
        self.fleet = Fleet(0, self.config, epoch)
        listings = Fleet(self.minions).scheduler.view_by_id.values()
        self.fleet.scheduler.set_listings(
            {v.minion_id: v.listing for v in listings if v.listing is not None}, 0.0
        )
        self.add_jobs()
        for number in range(self.minions):
            self.fleet.report(f"i-{number}", () if number else rows)

    def acknowledge_done(self, rows: tuple[RunningTask, ...]) -> None:
        """Let all runs end ``done``, and their ends be recorded and acknowledged."""
        ends = tuple(
            CompletedRun(number, row.task, row.run, "done", "")
            for number, row in enumerate(rows, 1)
        )
        self.fleet.report("i-0", ended=ends)
        self.step()
        self.step()
        assert self.fleet.poll("i-0").acked_upto == TASKS

    def cancel(self) -> None:
        self.fold(job_key(RecordKind.CANCELLED, CANCELLED), b"1")


def test_a_team_stays_below_its_cap_after_a_cancellation_without_an_owner():
    """Its runs on one minion did not count for starts on another one."""
    succession = Succession(Step(TASKS, SMALL, 500))
    succession.minions = 2
    rows = succession.rows()
    succession.cancel()
    succession.take_over(rows)
    succession.fleet.add(team_job(NEXT, Step(TASKS, SMALL, 500)))
    assert succession.step() == []
    assert len(succession.fleet.scheduler.take_stops()) == TASKS
    ends = tuple(
        CompletedRun(number, row.task, row.run, "stopped", "")
        for number, row in enumerate(rows, 1)
    )
    succession.fleet.report("i-0", ended=ends)
    assert len(succession.step()) == TASKS


def test_a_minion_is_not_filled_beyond_its_capacity_before_it_has_answered():
    succession = Succession(Step(1, CAPACITY, 500), cap=Resources())
    rows = succession.rows()
    succession.cancel()
    succession.take_over(rows)
    view = succession.fleet.scheduler.view_by_id["i-0"]
    assert view.free == Resources()
    succession.fleet.add(team_job(NEXT, Step(1, SMALL, 500)))
    assert succession.step() == []


@pytest.mark.parametrize("how", ["stopped", "done", "failed"])
def test_the_record_of_an_ended_job_names_no_run_that_has_ended(how):
    """Else each later owner would count runs that are long gone."""
    succession = Succession(Step(TASKS, SMALL, 500))
    rows = succession.rows()
    succession.cancel()
    succession.fleet.scheduler.cancel_job(CANCELLED)
    for number, row in enumerate(rows, 1):
        end = CompletedRun(number, row.task, row.run, how, "")
        succession.fleet.report("i-0", rows[number:], (end,))
        succession.step()
    assert succession.registry.job_by_id[CANCELLED].progress.placed == {}
    assert succession.fleet.poll("i-0").acked_upto == TASKS
    assert CANCELLED not in succession.fleet.scheduler._terminal_job_by_id


def test_a_run_that_ended_between_the_owners_is_released():
    succession = Succession(Step(TASKS, SMALL, 500))
    succession.cancel()
    succession.take_over(())
    succession.fleet.add(team_job(NEXT, Step(TASKS, SMALL, 500)))
    assert len(succession.step()) == TASKS
    assert succession.registry.job_by_id[CANCELLED].progress.placed == {}


def test_a_third_owner_knows_who_last_renewed_the_lease():
    succession = Succession(Step(1, SMALL, 500))
    rows = succession.rows()
    succession.cancel()
    succession.take_over(rows)
    succession.step()
    (placements,) = succession.registry.job_by_id[CANCELLED].progress.placed.values()
    assert [place.epoch for place in placements] == [6]


def test_runs_of_a_job_that_failed_count_as_well():
    succession = Succession(Step(TASKS, SMALL, 500))
    succession.minions = 2
    rows = succession.rows()
    progress = succession.registry.job_by_id[CANCELLED].progress.copy()
    progress.state = JobState.FAILED
    key = job_key(RecordKind.PROGRESS, CANCELLED)
    succession.fold(key, encode_progress(progress))
    succession.take_over(rows)
    succession.fleet.add(team_job(NEXT, Step(TASKS, SMALL, 500)))
    assert succession.step() == []


def test_an_ended_job_without_runs_costs_a_new_owner_nothing():
    succession = Succession(Step(TASKS, SMALL, 500))
    key = job_key(RecordKind.PROGRESS, CANCELLED)
    succession.fold(key, encode_progress(Progress(JobState.DONE)))
    succession.take_over(())
    scheduler = succession.fleet.scheduler
    assert not (scheduler.job_by_id or scheduler._terminal_job_by_id)


def test_an_owner_that_has_not_read_a_cancellation_starts_nothing_of_the_job():
    """Its predecessor had acknowledged the ends without a record of them."""
    succession = Succession(Step(TASKS, SMALL, 500))
    rows = succession.rows()
    # The cancellation is in the log, but only the owner has read it.
    succession.fleet.scheduler.cancel_job(CANCELLED)
    succession.acknowledge_done(rows)
    succession.take_over(())
    assert succession.step() == []
    assert succession.registry.job_by_id[CANCELLED].state is JobState.CANCELLED


def test_a_job_that_is_cancelled_before_it_has_begun_is_no_longer_pending():
    succession = Succession(Step(TASKS, CAPACITY.plus(SMALL), 500), cap=Resources())
    assert succession.registry.pending("q") == 1
    succession.cancel()
    assert succession.registry.pending("q") == 0
    succession.fleet.scheduler.cancel_job(CANCELLED)
    succession.step()
    assert succession.registry.pending("q") == 0


@pytest.mark.parametrize("tasks_left", [TASKS, 0])
def test_a_cancellation_without_an_owner_is_recorded_by_the_next_one(tasks_left):
    """The one after it had not read it, and started the tasks again."""
    succession = Succession(Step(TASKS, SMALL, 500))
    rows = succession.rows()
    if not tasks_left:
        progress = succession.registry.job_by_id[CANCELLED].progress
        progress.placed.clear()
    succession.cancel()
    succession.take_over(rows)
    succession.step()
    succession.acknowledge_done(rows)
    succession.registry.job_by_id[CANCELLED].cancelled = False
    succession.take_over((), epoch=7)
    assert succession.step() == []
