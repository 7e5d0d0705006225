"""Evacuated data centres: which they are, and which long-running tasks move out.

Operators request an evacuation with a record that stays in force until it is removed.
Nothing starts on the minions of an evacuated data centre.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from geraniumshore_scheduler.internal.maintenance import may_interrupt
from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import Evacuation, Resources, Step
from geraniumshore_scheduler.internal.runs import OpenJob, Run
from geraniumshore_scheduler.internal.unplaceable_sizes import UnplaceableSizes

__all__ = [
    "EvacuationLog",
    "RoomElsewhere",
    "StartPermission",
    "find_lost_labels",
    "plan_moves",
]

# The platform allows starts in an evacuated data centre until 5 s after the operator's
# request. An owner whose reads of the requests get no answer starts nothing from this
# age of the last reading on; the rest is for a start that is under way.
MAX_UNREAD_S = 4.0


@dataclass(slots=True)
class _Request:
    data_centre: str
    active: bool
    offset: int


@dataclass(slots=True)
class EvacuationLog:
    """The fold of the operators' requests to evacuate data centres.

    A node that missed records reads the newest record of each key instead. A request
    whose key is missing there was removed, and its record may be deleted since. While
    the newest records are read, the requests known before stay in force.
    """

    _request_by_key: dict[str, _Request] = field(default_factory=dict)
    _listed_keys: set[str] = field(default_factory=set)

    @property
    def evacuated(self) -> frozenset[str]:
        """The data centres that are evacuated."""
        requests = self._request_by_key.values()
        return frozenset(r.data_centre for r in requests if r.active)

    def begin_reading(self) -> None:
        """Record that the newest record of each key is going to be read."""
        self._listed_keys = set()

    def mark_listed(self, key: str) -> None:
        """Record that a key has a record, even if it cannot be decoded."""
        if key in self._request_by_key:
            self._listed_keys.add(key)

    def fold(self, key: str, evacuation: Evacuation, offset: int) -> None:
        """Apply a record. Records may be read again, after newer ones of their key."""
        known = self._request_by_key.get(key)
        if known is None or offset >= known.offset:
            self._request_by_key[key] = _Request(
                evacuation.data_centre, evacuation.active, offset
            )
        self._listed_keys.add(key)

    def end_missing(self) -> None:
        """End the evacuations that the newest records, all read now, do not have."""
        for key, request in self._request_by_key.items():
            if key not in self._listed_keys:
                request.active = False


@dataclass(slots=True)
class StartPermission:
    """Whether an owner's knowledge of the evacuations is recent enough for starts.

    After a takeover, and after a time without authority, the requests must have been
    read since. A store that refuses reads of the requests accepts no new ones either,
    so the last known state holds then.
    """

    _required_since: float = -math.inf
    _read_at: float = -math.inf

    def require_reading(self, since: float) -> None:
        """Allow starts only after a reading that began at ``since`` or later."""
        self._required_since = max(self._required_since, since)

    def record_reading(self, began_at: float) -> None:
        """Record that all requests made before ``began_at`` have been read."""
        self._read_at = max(self._read_at, began_at)

    def allows_starts(self, refused: bool, now: float) -> bool:
        """Return whether starts are allowed.

        ``refused`` means that the store refused the last read.
        """
        if self._read_at < self._required_since:
            return False
        return refused or now - self._read_at < MAX_UNREAD_S


class RoomElsewhere:
    """The free capacity of the minions that accept work, reserved task by task."""

    def __init__(self, views: Iterable[MinionView]) -> None:
        self._views_by_service: dict[str, list[MinionView]] = {}
        for view in views:
            if view.listing is not None:
                service = view.listing.service
                self._views_by_service.setdefault(service, []).append(view)
        self._free_by_id: dict[str, Resources] = {}
        self._reserved: Counter[tuple[str, str, int, int]] = Counter()
        # The minions before this position have no room for a task of the step, and
        # reservations only take room away.
        self._position_by_step: dict[tuple[str, int, int], int] = {}
        self._unplaceable_by_service: dict[str, UnplaceableSizes] = {}

    def reserve(self, service: str, run: Run) -> bool:
        """Reserve room for a run's task; return whether there was any."""
        step, step_key = run.step, run.task[:3]
        unplaceable = self._unplaceable_by_service.setdefault(
            service, UnplaceableSizes()
        )
        if unplaceable.covers(step.room):
            return False
        views = self._views_by_service.get(service, [])
        first = self._position_by_step.get(step_key, 0)
        for position in range(first, len(views)):
            if self._reserve_on(views[position], step, step_key):
                self._position_by_step[step_key] = position
                return True
        self._position_by_step[step_key] = len(views)
        if not (step.label or step.most_per_minion):
            unplaceable.add(step.room)
        return False

    def _reserve_on(
        self, view: MinionView, step: Step, step_key: tuple[str, int, int]
    ) -> bool:
        assert view.listing is not None
        if step.label and step.label not in view.listing.labels:
            return False
        if not view.has_room(step.room):
            return False
        free = self._free_by_id.get(view.minion_id, view.free)
        if not step.room.fits_in(free):
            return False
        same_step = (view.minion_id, *step_key)
        if step.most_per_minion:
            there = sum(other[:3] == step_key for other in view.runs)
            if there + self._reserved[same_step] >= step.most_per_minion:
                return False
        self._reserved[same_step] += 1
        self._free_by_id[view.minion_id] = free.minus(step.room)
        return True


def find_lost_labels(views: Iterable[MinionView]) -> frozenset[str]:
    """Return the labels that only minions in evacuated data centres have.

    More machines would not help tasks that need such a label.
    """
    lost: set[str] = set()
    kept: set[str] = set()
    for view in views:
        if view.listing is not None:
            (lost if view.evacuated else kept).update(view.listing.labels)
    return frozenset(lost - kept)


def plan_moves(
    view_by_id: Mapping[str, MinionView],
    job_by_id: Mapping[str, OpenJob],
    room: RoomElsewhere,
    steps_without_room: dict[str, list[Step]],
    may_restart: Callable[[Run], bool] = lambda _: True,
) -> Iterator[Run]:
    """Yield the long-running tasks to stop, so that they start elsewhere.

    The caller must request each stop before it takes the next run, as the budget of a
    step counts the stops requested so far. Tasks for which no minion elsewhere has room
    stay, and their steps are added by service to ``steps_without_room``. Members of a
    gang stay, as the stop of one would end all, and so do tasks that need a label of
    evacuated minions only, or that their team's cap would keep from starting again.
    """
    lost_labels = find_lost_labels(view_by_id.values())
    runs = [
        run
        for view in view_by_id.values()
        if view.evacuated and view.responsive
        for run in view.runs.values()
        if run.step.lasting and not run.step.gang and run.step.label not in lost_labels
    ]
    # By step, and whether the task itself counts as available.
    exhausted_budgets: set[tuple[tuple[str, int, int], bool]] = set()
    # Those whose stop is requested need their room first.
    for run in sorted(runs, key=lambda run: not run.stop_wanted):
        job = job_by_id.get(run.task.job_id)
        if job is None or job.set_aside or not may_restart(run):
            continue
        budget = run.task[:3], run.at_work and not run.maybe_stopped
        if not room.reserve(job.service, run):
            steps_without_room.setdefault(job.service, []).append(run.step)
        elif run.stop_wanted or budget in exhausted_budgets:
            continue
        elif may_interrupt(run, job, view_by_id):
            yield run
        else:
            # As many tasks are missing beside each other one of the same kind.
            exhausted_budgets.add(budget)
