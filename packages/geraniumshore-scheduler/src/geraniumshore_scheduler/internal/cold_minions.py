"""Placement on minions that are still cold after an evacuation was withdrawn.

A cold minion runs tasks slowly. It gets work only if no warm minion has room, and one
task at a time: the next one when its report shows progress of all the others. So its
rate follows the speed that it has.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence

from geraniumshore_scheduler.internal.minion_selection import choose_minion
from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import Step, TaskKey

__all__ = ["choose_warm_first", "find_cold", "may_start_on_cold"]


def find_cold(views: Iterable[MinionView], now: float) -> frozenset[str]:
    """Return the minions that are cold after an evacuation."""
    return frozenset(view.minion_id for view in views if view.is_warming_up(now))


def may_start_on_cold(view: MinionView) -> bool:
    """Return whether a cold minion can sustain one more task."""
    return all(run.percent > 0 for run in view.runs.values())


def choose_warm_first(
    step: Step,
    task: TaskKey,
    views: Sequence[MinionView],
    avoided: Iterable[str],
    cold: Collection[str],
) -> MinionView | None:
    """Return the minion on which a task should start, a cold one only if need be."""
    if not cold:
        return choose_minion(step, task, views, avoided)
    avoided = set(avoided)
    warm = [view for view in views if view.minion_id not in cold]
    chosen = choose_minion(step, task, warm, avoided)
    if chosen is not None:
        return chosen
    able = [v for v in views if v.minion_id in cold and may_start_on_cold(v)]
    return choose_minion(step, task, able, avoided)
