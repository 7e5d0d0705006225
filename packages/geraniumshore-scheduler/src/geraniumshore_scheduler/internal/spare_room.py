"""Whether waiting tasks find room however they are distributed over the minions.

Placing tasks apart instead of filling minions up may leave a large task without a
minion that has room for it. That cannot happen while there is room to spare.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from geraniumshore_scheduler.internal.minion_selection import count_tasks_of_step
from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import Resources, Step, TaskKey

__all__ = ["Demand", "count_slots", "has_spare_room"]


@dataclass(frozen=True, slots=True)
class Demand:
    """Tasks of a step that may start; ``task`` is any task of it."""

    step: Step
    task: TaskKey
    count: int


def has_spare_room(demands: Iterable[Demand], views: Sequence[MinionView]) -> bool:
    """Return whether all tasks that can start find room, whatever minions are chosen.

    Free capacity is counted in slots of the largest task. Each start takes at most one
    slot of each step's minions, so slots for all tasks on the minions of each step are
    enough. Tasks that are too large for any minion now cannot start either way.
    """
    largest_free = Resources(
        *(max((view.free[part] for view in views), default=0) for part in range(3))
    )
    startable = [
        demand
        for demand in demands
        if demand.count and demand.step.room.fits_in(largest_free)
    ]
    if not startable:
        return True
    total = sum(demand.count for demand in startable)
    slot = Resources(
        *(max(demand.step.room[part] for demand in startable) for part in range(3))
    )
    slots = [count_slots(view.free, slot, total) for view in views]
    if sum(slots) < total:
        return False
    return all(
        _slots_of_step(demand, slots, views) >= total
        for demand in startable
        if demand.step.label or demand.step.most_per_minion
    )


def count_slots(free: Resources, slot: Resources, limit: int) -> int:
    """Return how many slots of a size fit, at most ``limit``."""
    if min(free) < 0:
        return 0
    fitting = (part // size for part, size in zip(free, slot, strict=True) if size)
    return min(fitting, default=limit)


def _slots_of_step(
    demand: Demand, slots: Sequence[int], views: Sequence[MinionView]
) -> int:
    """Return the slots on the minions that a step's constraints allow."""
    step = demand.step
    available = 0
    for view, count in zip(views, slots, strict=True):
        listing = view.listing
        if listing is None or (step.label and step.label not in listing.labels):
            continue
        if step.most_per_minion:
            present = count_tasks_of_step(view, demand.task)
            count = min(count, max(0, step.most_per_minion - present))
        available += count
    return available
