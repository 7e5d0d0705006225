"""The pace of tasks that fill a minion beside tasks that serve users of their own."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from geraniumshore_scheduler.internal.runs import Run

__all__ = ["FULL_PACE", "Pace", "plan_paces"]

FULL_PACE = 100
# Tails near their target leave no room for a look that comes late.
NEAR_SHARE = 0.9
# Below this there is room for more.
CALM_SHARE = 0.6
# How much faster the filling tasks get with each calm look.
FASTER_STEP = 20


@dataclass(frozen=True, slots=True)
class Pace:
    """A new pace for a run, in percent."""

    run: Run
    percent: int


def plan_paces(runs: Iterable[Run]) -> Iterator[Pace]:
    """Yield new paces for the filling tasks of one minion, after a look at it.

    Over a target they stop, near one they run at half their pace, and they get faster
    step by step while all tails are well below. A look comes at least once a second, so
    a tail is over its target for little more than that through them.
    """
    runs = list(runs)
    fillers = [run for run in runs if run.step.filler]
    shares = [
        run.measured / run.step.tail_target_ms
        for run in runs
        if run.step.tail_target_ms and run.at_work and not run.step.filler
    ]
    worst = max(shares, default=0.0)
    for run in fillers:
        if worst > 1:
            percent = 0
        elif worst > NEAR_SHARE:
            percent = run.pace // 2
        elif worst < CALM_SHARE:
            percent = min(FULL_PACE, run.pace + FASTER_STEP)
        else:
            continue
        if percent != run.pace:
            yield Pace(run, percent)
