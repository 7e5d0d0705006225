"""A start got no answer: only a poll shows whether its run is there.

It was stopped at once, also where the minion had carried it out, so that tasks at work
were stopped beyond what their step may miss.
"""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import MinionReport, RunningTask, StartOutcome, Step
from tests.common.schedule_parts import SMALL, Fleet, job

JOB = "a" * 16


class UnansweredFleet(Fleet):
    """A minion; the start of a task to it has been sent."""

    def __init__(self, lasting: bool = True) -> None:
        super().__init__(minions=1)
        self.add(job(JOB, Step(1, SMALL, 500, lasting=lasting, may_miss=1)))
        batch = self.scheduler.plan(self.now, 0.0)
        assert batch is not None
        self.scheduler.on_durable(batch)
        (order,) = batch.starts
        self.run = order.run
        assert self.scheduler.prepare_start(self.run, self.now) is not None
        self.row = RunningTask(self.run.name, self.run.number, "", 100)

    def time_out(self) -> int:
        """Let the start get no answer; return the number of stops that follow."""
        self.now += 0.7
        self.scheduler.on_start_answer(self.run, StartOutcome.NO_ANSWER, self.now)
        self.plan()
        return len(self.scheduler.take_stops())

    def poll_again(self, *running: RunningTask) -> int:
        """Poll a little later; return the number of stops that follow."""
        self.now += 0.1
        self.report("i-0", running)
        self.plan()
        return len(self.scheduler.take_stops())


@pytest.mark.parametrize("lasting", [True, False])
@pytest.mark.parametrize("listed_first", [True, False])
def test_a_run_that_a_poll_shows_is_kept(lasting, listed_first):
    """Guards against tasks at work that are stopped for a lost answer (AVAIL)."""
    fleet = UnansweredFleet(lasting)
    if listed_first:
        assert fleet.poll_again(fleet.row) == 0
    assert fleet.time_out() == 0
    for _ in range(20):
        assert fleet.poll_again(fleet.row) == 0
    assert fleet.scheduler.view_by_id["i-0"].runs[fleet.run.task] is fleet.run


def test_a_run_that_is_not_there_is_stopped_before_its_task_starts_again():
    fleet = UnansweredFleet()
    assert fleet.time_out() == 0
    fleet.now += 0.1
    fleet.report("i-0")
    assert fleet.plan() == ()
    (stop,) = fleet.scheduler.take_stops()
    assert (stop.task, stop.run) == (fleet.run.name, fleet.run.number)
    fleet.scheduler.on_stop_answer(stop, fleet.now)
    fleet.now += 1.0
    fleet.report("i-0")
    (order,) = fleet.plan()
    assert order.run.number > fleet.run.number


def test_a_poll_that_was_sent_before_shows_nothing():
    fleet = UnansweredFleet()
    request = fleet.poll("i-0")
    assert fleet.time_out() == 0
    answer = MinionReport(1, int(fleet.now * 1000), (), ())
    fleet.scheduler.on_report(request, answer, fleet.now)
    assert fleet.plan() == ()
    assert fleet.scheduler.take_stops() == []
    assert fleet.poll("i-0").wait_ms == 0
    assert fleet.poll_again(fleet.row) == 0
    assert fleet.poll("i-0").wait_ms > 0
