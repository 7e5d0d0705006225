"""Detects tasks without progress on minions that answer and report to be healthy."""

from __future__ import annotations

from geraniumshore_scheduler.internal.runs import Run

__all__ = ["is_straggler"]

MS_PER_S = 1000.0
# Each poll shows the progress, at least once per second. Two polls without progress
# mean that a task is stalled.
MIN_STALL_S = 2.2
# Progress is reported in whole percents, so a long task shows none for about a
# hundredth of its duration. The margin is wide because estimates are rough.
STALL_ESTIMATE_SHARE = 0.2


def is_straggler(run: Run, now: float) -> bool:
    """Return whether a task should be restarted on another minion.

    Long-running tasks never complete, and the tasks of a gang only start together. A
    task that still progresses, however slowly, is left alone, as its estimate says too
    little about its speed.
    """
    if run.step.lasting or run.step.gang or run.confirmed_at is None:
        return False
    stall_limit_s = max(
        MIN_STALL_S, STALL_ESTIMATE_SHARE * run.step.estimate_ms / MS_PER_S
    )
    return run.percent < 100 and now - run.progressed_at > stall_limit_s
