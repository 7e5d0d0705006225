"""Detects tasks without progress on minions that answer and report to be healthy."""

from __future__ import annotations

from collections.abc import Callable

from geraniumshore_scheduler.internal.runs import Run

__all__ = ["is_straggler"]

MS_PER_S = 1000.0
# Each poll shows the progress, at least once per second. Two polls without progress
# mean that a task is stalled.
MIN_STALL_S = 2.2
# Progress is reported in whole percents, so a long task shows none for about a
# hundredth of its duration. The margin is wide because estimates are rough.
STALL_ESTIMATE_SHARE = 0.2
# What was learned shortens the limit at most to this part of the declared one: a task
# may take seven times the median, and more on another rack, and still progress.
MIN_DECLARED_SHARE = 0.5


def is_straggler(run: Run, estimate_s: Callable[[Run], float], now: float) -> bool:
    """Return whether a task should be restarted on another minion.

    Long-running tasks never complete, and the tasks of a gang only start together. A
    task that still progresses, however slowly, is left alone, as its estimate says too
    little about its speed. ``estimate_s`` returns the estimated duration of a run.
    """
    if run.step.lasting or run.step.gang or run.confirmed_at is None:
        return False
    stalled_s = now - run.progressed_at
    if run.percent >= 100 or stalled_s <= MIN_STALL_S:
        return False
    declared_s = run.step.estimate_ms / MS_PER_S
    duration_s = max(MIN_DECLARED_SHARE * declared_s, estimate_s(run))
    return stalled_s > STALL_ESTIMATE_SHARE * duration_s
