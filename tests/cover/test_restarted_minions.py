"""A minion starts again under its ID while the owner sends it starts."""

from __future__ import annotations

from dataclasses import replace

import pytest

from geraniumshore_scheduler import RunningTask, StartOutcome, Step
from tests.common.schedule_parts import SMALL, Fleet, job, listing

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
