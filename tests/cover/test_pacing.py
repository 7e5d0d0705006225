"""The pace of filler tasks beside serving tasks with a target for tail latency."""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import Run, RunState, Step, TaskKey, plan_paces
from tests.common.schedule_parts import SMALL

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
