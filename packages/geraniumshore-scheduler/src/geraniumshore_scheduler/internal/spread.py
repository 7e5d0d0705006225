"""Which minion a task goes to."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence

from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import Step, TaskKey

__all__ = ["choose_minion", "eligible_minions"]


def eligible_minions(
    step: Step, task: TaskKey, views: Iterable[MinionView]
) -> Iterable[MinionView]:
    """Yield the minions with room for a task that its step's rules allow."""
    room = step.room
    for view in views:
        listing = view.listing
        if listing is None or not view.has_room(room):
            continue
        if step.label and step.label not in listing.labels:
            continue
        if step.most_per_minion and _of_step(view, task) >= step.most_per_minion:
            continue
        yield view


def choose_minion(
    step: Step,
    task: TaskKey,
    views: Sequence[MinionView],
    avoided: Iterable[str] = (),
) -> MinionView | None:
    """Return the minion that a task should start on, None where none has room.

    The rack with the data goes first. Lasting tasks spread over racks, so that the
    loss of one leaves the others. Otherwise the minion with the least room left over
    is taken, so that wide tasks find room.
    """
    eligible = list(eligible_minions(step, task, views))
    if not eligible:
        return None
    shunned = set(avoided)
    if not (shunned or step.lasting or step.data_rack):
        return min(eligible, key=_least_free_first)
    by_rack = _step_by_rack(task, views) if step.lasting else Counter[str]()

    def rank(view: MinionView) -> tuple[bool, bool, int, int, str]:
        assert view.listing is not None
        rack = view.listing.rack
        return (
            view.minion_id in shunned,
            bool(step.data_rack) and rack != step.data_rack,
            by_rack[rack],
            *_least_free_first(view),
        )

    return min(eligible, key=rank)


def _least_free_first(view: MinionView) -> tuple[int, str]:
    assert view.listing is not None
    return view.listing.capacity.cpu_milli - view.used.cpu_milli, view.minion_id


def _of_step(view: MinionView, task: TaskKey) -> int:
    return sum(1 for other in view.runs if other[:3] == task[:3])


def _step_by_rack(task: TaskKey, views: Iterable[MinionView]) -> Counter[str]:
    counts: Counter[str] = Counter()
    for view in views:
        if view.listing is not None:
            counts[view.listing.rack] += _of_step(view, task)
    return counts
