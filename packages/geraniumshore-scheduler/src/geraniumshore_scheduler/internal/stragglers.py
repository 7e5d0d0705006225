"""Tasks that stand still on a minion which answers and calls itself healthy."""

from __future__ import annotations

from geraniumshore_scheduler.internal.runs import Run

__all__ = ["is_straggler"]

MS = 1000.0
# Progress is seen with each look, at least once a second; two looks without any show
# that a task stands still.
STANDSTILL_S = 2.2
# Progress comes in whole percents, so a long task shows none for a while. Estimates are
# rough, which leaves a wide margin to a hundredth.
STANDSTILL_SHARE = 0.2


def is_straggler(run: Run, now: float) -> bool:
    """Tell whether a task should be started anew on another minion.

    Lasting tasks have no end to come, and a gang's members only start together. A task
    that moves at all is left: its estimate says too little about its speed.
    """
    if run.step.lasting or run.step.gang or run.confirmed_at is None:
        return False
    patience_s = max(STANDSTILL_S, STANDSTILL_SHARE * run.step.estimate_ms / MS)
    return run.percent < 100 and now - run.progressed_at > patience_s
