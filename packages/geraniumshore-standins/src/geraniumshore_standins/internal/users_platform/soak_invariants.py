"""Invariants of the schedule, checked on what callers and minions observed.

Each violation begins with the invariant that it concerns:

- TWICE: a task ran twice at the same time, or again after its completion was
  acknowledged.
- ORDER: a task started before the steps that it depends on were done.
- LIMIT: a minion ran more than its capacity, or too many machines of a wave were down.
- UNASKED: a task ran that no caller submitted, or ran on although the cancellation of
  its job had been acknowledged.
- REFUSED: a job ran although every attempt to submit it was refused.
- MIXED: callers were shown a state that contradicts what ran.
- LOST: an accepted job was unknown to a node or had no final state in the end.
- EVACUATED: a task started in a data centre later than allowed after the request to
  evacuate it.
- ONE: two owners sent orders to one machine within a lease, or with one fencing token.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

__all__ = [
    "CallerView",
    "Evacuated",
    "SoakEvent",
    "invariant_violations",
    "late_starts_in",
    "running_on",
    "unfinished_tasks",
]

SoakEvent = tuple[float, str, str, int, str, str]

# Minimum time between the orders of two owners to one machine. Has to equal the nodes'
# setting ``duty_lease_ms``.
OWNERSHIP_LEASE_S = 3.0
# Nodes that respond to a query must know a job this long after it was accepted.
VISIBILITY_TIMEOUT_S = 3.0
# The platform's limit: no start in a data centre later than this after the request.
EVACUATE_S = 5.0


@dataclass(slots=True)
class CallerView:
    """What callers observed of one job.

    ``refused`` means that every attempt was refused as not run. ``tasks_by_step`` has
    the number of tasks of each step; each step depends on the one before it.
    """

    tasks_by_step: tuple[int, ...]
    accepted_at: float | None = None
    refused: bool = False
    cancelled: bool = False
    cancellation_acknowledged: bool = False
    states: list[tuple[float, str]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Evacuated:
    """A data centre and the time for which operators had it evacuated."""

    data_centre: str
    since: float
    until: float


def late_starts_in(
    evacuated: Iterable[Evacuated],
    events: Iterable[SoakEvent],
    data_centre_by_minion: Mapping[str, str],
    delayed: Collection[tuple[str, int]],
) -> Iterator[str]:
    """Yield a line for each start in an evacuated data centre.

    Starts that the platform applied late may have been sent before the request.
    """
    times = list(evacuated)
    for at, kind, task, run, minion, _ in events:
        if kind != "start" or (task, run) in delayed:
            continue
        if any(
            data_centre_by_minion[minion] == time.data_centre
            and time.since + EVACUATE_S < at < time.until
            for time in times
        ):
            yield f"EVACUATED {task} at {at:.2f} on {minion}"


def invariant_violations(
    events: Iterable[SoakEvent],
    view_by_job: Mapping[str, CallerView],
    machine_orders: Iterable[tuple[float, str, str, int]] = (),
) -> Iterator[str]:
    """Yield a line for each violated invariant."""
    running: dict[str, str] = {}
    done_at: dict[tuple[str, int], float] = {}
    noted: dict[str, float] = {}
    starts: dict[str, list[float]] = defaultdict(list)
    done_tasks: dict[str, float] = {}
    for at, kind, task, run, minion, how in events:
        job_id = task.partition(".")[0]
        if kind == "start":
            starts[task].append(at)
            if task in running:
                yield f"TWICE {task} at {at:.2f} on {running[task]} and {minion}"
            running[task] = minion
            yield from _check_start(task, at, view_by_job.get(job_id), done_tasks)
        elif kind == "end":
            if running.get(task) == minion:
                del running[task]
            if how == "done":
                done_at[task, run] = at
                done_tasks.setdefault(task, at)
        elif kind == "noted" and how == "done":
            noted[task] = min(noted.get(task, at), done_at.get((task, run), at))
        elif kind == "over capacity":
            yield f"LIMIT {task} at {at:.2f} on {minion}"
    for task, ended_at in noted.items():
        for at in starts[task]:
            if at > ended_at:
                yield f"TWICE {task} at {at:.2f}, done at {ended_at:.2f}"
    for job_id, view in view_by_job.items():
        yield from _check_reported_states(job_id, view, done_tasks)
    yield from _check_machine_holders(machine_orders)


def running_on(
    tasks: Iterable[str], view_by_job: Mapping[str, CallerView]
) -> list[str]:
    """Return those of the running tasks whose jobs were told to be cancelled."""
    return [
        task
        for task in tasks
        if view_by_job[task.partition(".")[0]].cancellation_acknowledged
    ]


def unfinished_tasks(
    job_id: str, tasks_by_step: tuple[int, ...], done: Mapping[str, float]
) -> list[str]:
    """Return the tasks of a job that are not in ``done``."""
    names = (
        f"{job_id}.0.{step}.{position}"
        for step, count in enumerate(tasks_by_step)
        for position in range(count)
    )
    return [name for name in names if name not in done]


def _check_start(
    task: str, at: float, view: CallerView | None, done: Mapping[str, float]
) -> Iterator[str]:
    job_id, _, step, _ = task.split(".")
    if view is None:
        yield f"UNASKED {task} at {at:.2f}"
        return
    if view.refused:
        yield f"REFUSED {task} at {at:.2f}"
    missing = unfinished_tasks(job_id, view.tasks_by_step[: int(step)], done)
    if missing:
        yield f"ORDER {task} at {at:.2f} before {missing[0]}"


def _check_reported_states(
    job_id: str, view: CallerView, done: Mapping[str, float]
) -> Iterator[str]:
    for at, state in view.states:
        if state == "done":
            missing = [
                task
                for task in unfinished_tasks(job_id, view.tasks_by_step, {})
                if done.get(task, at + 1) > at
            ]
            if missing:
                yield f"MIXED {job_id} shown done at {at:.2f} without {missing[0]}"
        elif state == "failed" or (state == "cancelled" and not view.cancelled):
            yield f"MIXED {job_id} shown {state} at {at:.2f} without cause"
        elif (
            state == "unknown"
            and view.accepted_at is not None
            and at > view.accepted_at + VISIBILITY_TIMEOUT_S
        ):
            yield f"LOST {job_id} unknown at {at:.2f}"


def _check_machine_holders(
    machine_orders: Iterable[tuple[float, str, str, int]],
) -> Iterator[str]:
    last: dict[str, tuple[float, str]] = {}
    holder_by_token: dict[tuple[str, int], str] = {}
    for at, machine, holder, token in machine_orders:
        before = last.get(machine)
        if before and before[1] != holder and at - before[0] < OWNERSHIP_LEASE_S:
            yield f"ONE {machine} at {at:.2f}: {before[1]} at {before[0]:.2f}, {holder}"
        if holder_by_token.setdefault((machine, token), holder) != holder:
            yield f"ONE {machine} at {at:.2f}: two holders with token {token}"
        last[machine] = at, holder
