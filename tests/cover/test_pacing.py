"""The pace of filler tasks beside serving tasks with a target for tail latency."""

from __future__ import annotations

from dataclasses import replace

import pytest

from geraniumshore_scheduler import (
    JobRegistry,
    PaceOrder,
    Run,
    RunState,
    Step,
    TaskKey,
    plan_paces,
)
from tests.common.schedule_parts import SMALL, TIMES, LoggedFleet, job

SERVING = Step(1, SMALL, lasting=True, tail_target_ms=100)
FILLER = Step(1, SMALL, lasting=True, filler=True)


def run(step: Step, measured: float = 0.0, pace: int = 100, at_work=True) -> Run:
    made = Run(TaskKey("a", 0, 0, 0), 1, "i-0", step, None, RunState.RUNNING, 0.0)
    made.measured, made.pace, made.at_work = measured, pace, at_work
    return made


@pytest.mark.parametrize(
    ("tail", "pace", "wanted"),
    [
        (101, 100, [0]),
        (95, 100, [50]),
        (80, 40, []),
        (50, 40, [60]),
        (50, 100, []),
    ],
    ids=["over", "near", "between", "well below", "well below at full pace"],
)
def test_the_worst_tail_determines_the_pace_of_fillers(tail, pace, wanted):
    runs = [run(SERVING, 10), run(SERVING, tail), run(FILLER, pace=pace)]
    assert [paced.percent for paced in plan_paces(runs)] == wanted


def test_the_tail_of_a_task_that_is_still_starting_is_ignored():
    runs = [run(SERVING, 500, at_work=False), run(FILLER)]
    assert list(plan_paces(runs)) == []


def test_serving_tasks_are_not_paced():
    assert list(plan_paces([run(SERVING, 500)])) == []


JOB = "a" * 16
HIGH, NEAR, CALM, LOW = 130.0, 95.0, 80.0, 30.0


class PacedFleet(LoggedFleet):
    """A minion on which a task fills beside one that serves."""

    def __init__(self, epoch: int = 5, registry: JobRegistry | None = None) -> None:
        super().__init__(1, epoch, registry)
        if registry is None:
            self.add(job(JOB, SERVING, FILLER))
            assert len(self.plan()) == 2

    def poll_tail(self, tail_ms: float, fills_cpu: float = 500.0) -> list[PaceOrder]:
        """Report a tail a second later; return the orders on pace."""
        self.now += 1.0
        rows = tuple(
            replace(row, measured=tail_ms if row.task.endswith("0.0") else fills_cpu)
            for row in self.running("i-0")
        )
        self.report("i-0", rows)
        return self.scheduler.take_paces()

    def answer(self, orders: list[PaceOrder]) -> list[int]:
        """Answer the orders; return their paces."""
        for order in orders:
            self.scheduler.on_pace_answered(order)
        return [order.percent for order in orders]

    def slowed(self, tail_ms: float) -> None:
        """Bring the filler to 40 % of its pace, by way of 0 %."""
        assert self.answer(self.poll_tail(HIGH)) == [0]
        assert self.answer(self.poll_tail(LOW)) == [20]
        assert self.answer(self.poll_tail(LOW)) == [40]
        assert self.answer(self.poll_tail(tail_ms)) == []

    def under_a_new_owner(self) -> PacedFleet:
        """Return the fleet under an owner that has read the log."""
        self.record()
        epoch = self.scheduler.authority.epoch + 1
        fleet = PacedFleet(epoch, self.registry)
        fleet.offset, fleet.now = self.offset, self.now
        return fleet


def test_a_filler_is_stopped_again_while_a_tail_stays_over_its_target():
    """Guards against fillers that a late order set to work unnoticed (HARM)."""
    fleet = PacedFleet()
    for _ in range(5):
        assert fleet.answer(fleet.poll_tail(HIGH)) == [0]
    fleet.now -= 0.9
    assert fleet.poll_tail(HIGH) == []


@pytest.mark.parametrize("tail", [CALM, LOW])
def test_a_pace_is_repeated_until_an_unanswered_order_can_no_longer_undo_it(tail):
    """Guards against a filler that a late order slows down for good."""
    fleet = PacedFleet()
    (unanswered,) = fleet.poll_tail(HIGH)
    fleet.scheduler.on_pace_unanswered(unanswered, fleet.now)
    late_until = fleet.now + TIMES.order_delay
    while fleet.now < late_until:
        orders = fleet.poll_tail(tail)
        assert len(orders) == 1
        fleet.answer(orders)
    assert fleet.answer(fleet.poll_tail(tail)) == []


def test_an_unanswered_increase_is_followed_by_the_next():
    fleet = PacedFleet()
    fleet.slowed(CALM)
    (unanswered,) = fleet.poll_tail(LOW)
    assert unanswered.percent == 60
    fleet.scheduler.on_pace_unanswered(unanswered, fleet.now)
    assert fleet.answer(fleet.poll_tail(CALM)) == [60]
    assert fleet.answer(fleet.poll_tail(LOW)) == [80]


@pytest.mark.parametrize(
    ("tail", "fills_cpu", "expected"),
    [
        (LOW, 0.0, [20]),
        (LOW, 500.0, [100]),
        (NEAR, 500.0, [50]),
        (NEAR, 0.0, [0]),
        (CALM, 0.0, []),
        (HIGH, 500.0, [0]),
    ],
)
def test_a_new_owner_sets_the_pace_that_it_cannot_know(tail, fills_cpu, expected):
    """Guards against a filler that a former owner stopped and nobody sets to work."""
    fleet = PacedFleet()
    fleet.answer(fleet.poll_tail(HIGH))
    successor = fleet.under_a_new_owner()
    assert successor.answer(successor.poll_tail(tail, fills_cpu)) == expected
