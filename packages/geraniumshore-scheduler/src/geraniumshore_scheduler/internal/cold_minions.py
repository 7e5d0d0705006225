"""Placement on minions that are still cold after an evacuation was withdrawn.

A cold minion runs tasks slowly. It gets work only if no warm minion has room, and one
task at a time: the next one when its report shows progress of all the others. So its
rate follows the speed that it has.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Sequence

from geraniumshore_scheduler.internal.minion_view import MinionView

__all__ = ["find_cold", "may_start_on_cold", "split_cold"]


def find_cold(views: Iterable[MinionView], now: float) -> frozenset[str]:
    """Return the minions that are cold after an evacuation."""
    return frozenset(view.minion_id for view in views if view.is_warming_up(now))


def may_start_on_cold(view: MinionView) -> bool:
    """Return whether a cold minion can sustain one more task."""
    return all(run.percent > 0 for run in view.runs.values())


def split_cold(
    views: Sequence[MinionView], cold: Collection[str]
) -> Iterator[Sequence[MinionView]]:
    """Yield the minions in groups; one is used if none before it has room."""
    if not cold:
        yield views
        return
    yield [view for view in views if view.minion_id not in cold]
    yield [v for v in views if v.minion_id in cold and may_start_on_cold(v)]
