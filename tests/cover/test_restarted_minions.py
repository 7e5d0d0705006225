"""A minion starts again under its ID while the owner sends it starts."""

from __future__ import annotations

from dataclasses import replace

import pytest

from geraniumshore_scheduler import RunningTask, StartOutcome, Step
from tests.common.schedule_parts import SMALL, TIMES, Fleet, job, listing

JOB = "a" * 16


class RestartedFleet(Fleet):
    """Two minions; a start to the first is under way while that starts again."""

    def __init__(self) -> None:
        super().__init__(minions=2)
        self.add(job(JOB, Step(1, SMALL, 500)))
        batch = self.scheduler.plan(0.0, 0.0)
        assert batch is not None
        self.scheduler.on_durable(batch)
        (self.order,) = batch.starts
        assert self.order.run.minion_id == "i-0"
        self.row = RunningTask(self.order.run.name, self.order.run.number, "", 10)

    def send(self) -> None:
        assert self.scheduler.prepare_start(self.order.run, self.now) is not None

    def answer(self, outcome: str = StartOutcome.STARTED) -> None:
        self.scheduler.on_start_answer(self.order.run, outcome, self.now)

    def list_restarted(self) -> None:
        """Read the entry of the minion's new incarnation."""
        self.now += 0.1
        entry = replace(listing(0), incarnation=2)
        self.scheduler.set_listings({"i-0": entry, "i-1": listing(1)}, self.now)

    def report_restarted(self, *running: RunningTask) -> None:
        self.now += 0.1
        self.report("i-0", running, incarnation=2)

    def starts(self) -> list[str]:
        self.now += 0.1
        return [order.run.minion_id for order in self.plan()]


@pytest.mark.parametrize("outcome", [StartOutcome.STARTED, StartOutcome.NO_ANSWER])
@pytest.mark.parametrize("answered_first", [False, True])
def test_a_start_that_reached_the_new_incarnation_is_not_repeated(
    outcome, answered_first
):
    """It was freed with the old one, ran on untracked, and could run twice."""
    fleet = RestartedFleet()
    fleet.send()
    if answered_first:
        fleet.answer(outcome)
    fleet.list_restarted()
    assert fleet.starts() == []
    if not answered_first:
        fleet.answer(outcome)
    fleet.report_restarted(fleet.row)
    assert fleet.starts() == []
    assert fleet.order.run.task in fleet.scheduler.job_by_id[JOB].runs


@pytest.mark.parametrize("answered_first", [False, True])
def test_a_start_that_reached_the_old_incarnation_is_repeated(answered_first):
    fleet = RestartedFleet()
    fleet.send()
    if answered_first:
        fleet.answer()
    fleet.list_restarted()
    if not answered_first:
        fleet.answer()
    fleet.report_restarted()
    fleet.report_restarted()
    assert len(fleet.starts()) == 1


def test_a_run_that_the_old_incarnation_listed_is_restarted_at_once():
    fleet = RestartedFleet()
    fleet.send()
    fleet.answer()
    fleet.now += 0.1
    fleet.report("i-0", (fleet.row,))
    fleet.list_restarted()
    assert fleet.starts() == ["i-1"]


def test_a_start_that_was_not_sent_yet_goes_elsewhere_at_once():
    fleet = RestartedFleet()
    fleet.list_restarted()
    assert fleet.starts() == ["i-1"]


class LeasedFleet(Fleet):
    """Minions with leases of 3 s, where the platform allows 6 s; the first restarts."""

    def __init__(self) -> None:
        super().__init__(minions=1)
        self.scheduler.times = replace(TIMES, lease=3.0)
        self.now = 10.0
        self.report("i-0")

    def restart(self, born_at: float) -> None:
        """Let the next report come from a new incarnation, with a clock of its own."""
        self.born_at["i-0", 2] = born_at
        entry = replace(listing(0), incarnation=2)
        self.scheduler.set_listings({"i-0": entry}, self.now)

    def started_at(self) -> float:
        """Return when a new job's task is started."""
        self.add(job(JOB, Step(1, SMALL, 500)))
        while not self.plan():
            self.now = round(self.now + 0.05, 3)
            self.report("i-0", incarnation=2)
        return self.now


def test_a_lease_that_a_new_incarnation_took_is_longer_than_this_owners():
    """It was computed on the old one's clock; the run outlived what owners expect.

    Its minion fell silent, the next owner counted 3 s, and the task ran twice.
    """
    fleet = LeasedFleet()
    request = fleet.poll("i-0")
    assert request.until_ms is not None
    fleet.restart(born_at=9.9)
    fleet.report("i-0", incarnation=2)
    excess_s = TIMES.lapse_of(None) - fleet.scheduler.times.lapse
    assert fleet.started_at() >= 10.0 + excess_s
    assert fleet.now <= 10.0 + excess_s + 0.5


def test_a_start_that_a_new_incarnation_took_is_awaited_for_the_longest_lease():
    fleet = LeasedFleet()
    fleet.add(job(JOB, Step(1, SMALL, 500)))
    (order,) = fleet.plan()
    fleet.restart(born_at=9.9)
    row = RunningTask(order.run.name, order.run.number, "", 10)
    fleet.report("i-0", (row,), incarnation=2)
    view = fleet.scheduler.view_by_id["i-0"]
    lapsed_at = view.lapsed_at(order.run, fleet.scheduler.times)
    assert lapsed_at >= 10.0 + TIMES.lapse_of(None)


def test_a_minion_that_restarted_after_the_last_lease_takes_work_at_once():
    fleet = LeasedFleet()
    fleet.poll("i-0")
    fleet.now = 11.0
    fleet.restart(born_at=10.5)
    fleet.report("i-0", incarnation=2)
    assert fleet.started_at() == 11.0
