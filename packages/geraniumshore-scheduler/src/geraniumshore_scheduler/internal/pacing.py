"""Throttles filler tasks to protect the tail latency of serving tasks on a minion."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from geraniumshore_scheduler.internal.runs import FULL_PACE, Run

__all__ = ["Pace", "plan_paces"]

# Above this share of the target, a tail latency could exceed it before a late poll.
NEAR_TARGET_SHARE = 0.9
# Below this share of the target, fillers may run faster.
WELL_BELOW_TARGET_SHARE = 0.6
# Increase of the pace of fillers with each poll that finds all tails well below target.
PACE_INCREASE_PERCENT = 20


@dataclass(frozen=True, slots=True)
class Pace:
    """A pace to order for a run, in percent."""

    run: Run
    percent: int


def plan_paces(runs: Iterable[Run]) -> Iterator[Pace]:
    """Yield the paces to order for the filler tasks of a minion after a poll.

    Fillers stop while a tail latency exceeds its target, halve their pace near a target
    and speed up in steps while all tails are well below. Polls come at least once per
    second, so fillers keep a tail above its target for little longer than that.

    A pace that is in force as far as is known is yielded again while a tail exceeds its
    target, and while an order without an answer may undo it.
    """
    runs = list(runs)
    fillers = [run for run in runs if run.step.filler]
    target_shares = [
        run.measured / run.step.tail_target_ms
        for run in runs
        if run.step.tail_target_ms and run.at_work and not run.step.filler
    ]
    worst_share = max(target_shares, default=0.0)
    for run in fillers:
        # Without any use of the processor, a former owner may have stopped it.
        assumed = FULL_PACE if run.measured else 0
        pace = assumed if run.pace is None else run.pace
        percent = run.pace
        if worst_share > 1:
            percent = 0
        elif worst_share > NEAR_TARGET_SHARE:
            percent = pace // 2
        elif worst_share < WELL_BELOW_TARGET_SHARE:
            percent = min(FULL_PACE, pace + PACE_INCREASE_PERCENT)
        if percent is None:
            continue
        doubtful = run.pace_doubtful_until is not None
        if percent != run.pace or worst_share > 1 or doubtful:
            yield Pace(run, percent)
