"""Selects the minion on which a task starts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from geraniumshore_scheduler.internal.interference import NO_LOSSES
from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import Step, TaskKey

__all__ = [
    "choose_minion",
    "count_tasks_of_step",
    "eligible_minions",
    "expected_loss",
    "has_room_for_all",
]


def eligible_minions(
    step: Step, task: TaskKey, views: Iterable[MinionView]
) -> Iterable[MinionView]:
    """Yield minions with room for a task that satisfy the constraints of its step."""
    room = step.room
    for view in views:
        listing = view.listing
        if listing is None or not view.has_room(room):
            continue
        if step.label and step.label not in listing.labels:
            continue
        if (
            step.most_per_minion
            and count_tasks_of_step(view, task) >= step.most_per_minion
        ):
            continue
        yield view


def has_room_for_all(step: Step, views: Iterable[MinionView]) -> bool:
    """Return whether the minions may have room for all tasks of a step at once.

    It takes a time that does not depend on the number of tasks.
    """
    missing = step.count
    for view in views:
        listing = view.listing
        if listing is None or (step.label and step.label not in listing.labels):
            continue
        room = step.most_per_minion or missing
        for wanted, free in zip(step.room, view.free, strict=True):
            if wanted:
                room = min(room, free // wanted)
        missing -= max(0, room)
        if missing <= 0:
            return True
    return False


def choose_minion(
    step: Step,
    task: TaskKey,
    views: Sequence[MinionView],
    avoided: Iterable[str] = (),
    loss_by_image: Mapping[str, float] = NO_LOSSES,
) -> MinionView | None:
    """Return the minion on which a task should start, None if none is eligible.

    The rack that has the data is preferred. Long-running tasks are spread over racks,
    so that the loss of a rack leaves the others running. Among the minions that are
    equal in this, those are preferred on which the task and the runs there lose least
    by slowing each other down, given what it loses beside a run of each image.
    Otherwise the minion with the least free capacity is chosen (best fit), so that
    large tasks find room elsewhere.
    """
    eligible = list(eligible_minions(step, task, views))
    if not eligible:
        return None
    avoided_ids = set(avoided)
    if not (avoided_ids or step.lasting or step.data_rack or loss_by_image):
        return min(eligible, key=_least_free_first)
    by_rack = _task_count_by_rack(task, views) if step.lasting else Counter[str]()

    def rank(view: MinionView) -> tuple[bool, bool, int, float, int, str]:
        assert view.listing is not None
        rack = view.listing.rack
        return (
            view.minion_id in avoided_ids,
            bool(step.data_rack) and rack != step.data_rack,
            by_rack[rack],
            expected_loss(view, loss_by_image) if loss_by_image else 0.0,
            *_least_free_first(view),
        )

    return min(eligible, key=rank)


def expected_loss(view: MinionView, loss_by_image: Mapping[str, float]) -> float:
    """Return what a task loses on a minion, given its loss beside each image."""
    return sum(
        loss_by_image.get(run.step.image, 0.0)
        for run in view.runs.values()
        if not run.stop_wanted
    )


def _least_free_first(view: MinionView) -> tuple[int, str]:
    assert view.listing is not None
    return view.listing.capacity.cpu_milli - view.used.cpu_milli, view.minion_id


def count_tasks_of_step(view: MinionView, task: TaskKey) -> int:
    """Return how many tasks of a task's step are on a minion."""
    return sum(1 for other in view.runs if other[:3] == task[:3])


def _task_count_by_rack(task: TaskKey, views: Iterable[MinionView]) -> Counter[str]:
    counts: Counter[str] = Counter()
    for view in views:
        if view.listing is not None:
            counts[view.listing.rack] += count_tasks_of_step(view, task)
    return counts
