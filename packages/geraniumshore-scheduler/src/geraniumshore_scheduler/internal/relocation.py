"""Decides when a serving task leaves neighbours that slow it down.

Slowing the fillers beside a task costs their work for as long as it lasts; moving the
task costs its own work once. So a task moves when what was lost beside it amounts to
the cost of the move: at most twice the least loss possible, if the move ends it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.runs import FULL_PACE, Run

__all__ = ["SufferingTask", "SufferingTasks"]

MS_PER_S = 1000.0
# How long a task is away when it moves, besides its own start: a poll shows the end
# within 1 s, another reports the start, and two batches are recorded.
MOVE_S = 3.0
# Reports come at least once per second; after a longer gap nothing is known of it.
MAX_GAP_S = 2.0
# What was lost beside a task is forgotten when nothing has been for this time.
FORGET_AFTER_S = 10.0


@dataclass(slots=True)
class SufferingTask:
    """A run that is slowed, and the core seconds lost beside it so far.

    ``reported_at`` is the time of its last report, ``suffered_at`` that of the last one
    that showed a loss, ``searched_at`` that of the last search for a better minion.
    """

    run: Run
    reported_at: float
    suffered_at: float
    lost: float = 0.0
    searched_at: float = -math.inf


class SufferingTasks:
    """The serving tasks whose neighbours are slowed, or should be, on their behalf."""

    def __init__(self) -> None:
        self._task_by_run: dict[int, SufferingTask] = {}

    def on_report(self, view: MinionView, now: float) -> None:
        """Count what is lost on a minion until the next report."""
        worst = max(_serving(view.runs.values()), key=_target_share, default=None)
        if worst is None:
            return
        task = self._task_by_run.get(worst.number)
        rate = _loss_rate(worst, view.runs.values())
        if task is None:
            if rate:
                self._task_by_run[worst.number] = SufferingTask(worst, now, now)
            return
        task.lost += rate * min(MAX_GAP_S, now - task.reported_at)
        task.reported_at = now
        if rate:
            task.suffered_at = now

    def due(self, now: float) -> Iterator[SufferingTask]:
        """Yield the tasks for which a move costs no more than what was lost so far.

        Those come first for which no better minion was searched for the longest time.
        Those that suffer no more are forgotten.
        """
        self._task_by_run = {
            number: task
            for number, task in self._task_by_run.items()
            if now < task.suffered_at + FORGET_AFTER_S
        }
        for task in sorted(self._task_by_run.values(), key=lambda t: t.searched_at):
            if task.lost >= _move_cost(task.run):
                yield task

    def forget(self, task: SufferingTask) -> None:
        """Count anew, as the task moves."""
        self._task_by_run.pop(task.run.number, None)


def _serving(runs: Iterable[Run]) -> Iterator[Run]:
    for run in runs:
        step = run.step
        measured = run.at_work and run.measured > 0 and not run.stop_wanted
        serving = step.tail_target_ms and step.lasting and not step.filler
        if measured and serving and step.image:
            yield run


def _target_share(run: Run) -> float:
    return run.measured / run.step.tail_target_ms


def _loss_rate(worst: Run, runs: Iterable[Run]) -> float:
    """Return the cores that fillers do not use, and those of a task over its target."""
    slowed = sum(
        run.step.size.cpu_milli * (FULL_PACE - run.pace) / FULL_PACE
        for run in runs
        if run.step.filler and run.pace is not None
    )
    over = worst.step.size.cpu_milli if _target_share(worst) > 1 else 0
    return (slowed + over) / MS_PER_S


def _move_cost(run: Run) -> float:
    """Return the core seconds that a task loses by a move."""
    away_s = MOVE_S + run.step.estimate_ms / MS_PER_S
    return away_s * run.step.size.cpu_milli / MS_PER_S
