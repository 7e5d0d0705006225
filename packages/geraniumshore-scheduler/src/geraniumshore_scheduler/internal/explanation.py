"""Explains where a job would start now, and what it would wait for.

The job is placed by the scheduler's own code on copies of what placing changes, so the
explanation cannot differ from the decision, and the schedule stays as it is.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from copy import copy
from dataclasses import dataclass, replace
from typing import Self

from geraniumshore_scheduler.errors import Finding, InvalidInputError
from geraniumshore_scheduler.internal.cold_minions import find_cold
from geraniumshore_scheduler.internal.evacuator import Evacuator
from geraniumshore_scheduler.internal.minion_selection import eligible_minions
from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import Job, Resources, Step, TaskKey
from geraniumshore_scheduler.internal.records import Progress
from geraniumshore_scheduler.internal.runs import OpenJob
from geraniumshore_scheduler.internal.unplaceable_sizes import UnplaceableSizes

__all__ = [
    "Amounts",
    "CandidateMinion",
    "Explainer",
    "Explanation",
    "StepExplanation",
    "TeamStanding",
    "WaitCause",
]

# The owner decides nothing while it explains, so a job of any size takes bounded time.
MAX_TASKS_TRIED = 1_000
# Each of these steps is described with all minions of the pool.
MAX_STEPS_DESCRIBED = 10


class WaitCause(enum.Enum):
    """What tasks would wait for."""

    ROOM = "room"
    CAP = "cap"
    ADVICE = "advice"
    EARLIER_STEP = "earlier step"
    EVACUATION = "evacuation"
    OPERATORS_REQUESTS = "operators' requests"
    FIRST_TIME = "first time"


@dataclass(frozen=True, slots=True)
class Amounts:
    """Resources with their names, for people and documents."""

    cpu_milli: int
    memory_mb: int
    accelerators: int

    @classmethod
    def from_resources(cls, resources: Resources) -> Self:
        """Return the same amounts."""
        return cls(*resources)


@dataclass(frozen=True, slots=True)
class CandidateMinion:
    """A minion with the reason for or against it; ``starts`` tasks would start there.

    ``free`` is its capacity before those.
    """

    minion_id: str
    rack: str
    data_centre: str
    free: Amounts
    starts: int
    reason: str


@dataclass(frozen=True, slots=True)
class StepExplanation:
    """A step of which ``starting`` of the ``tried`` tasks would start now.

    ``chosen`` is the minion of the first of them. ``candidates`` are the minions of the
    pool that accept work.
    """

    number: int
    tasks: int
    tried: int
    starting: int
    chosen: str
    waits_for: WaitCause | None
    after_steps: tuple[int, ...]
    candidates: tuple[CandidateMinion, ...]


@dataclass(frozen=True, slots=True)
class TeamStanding:
    """The job's team: what it uses, its cap (0 means no limit) and its share."""

    name: str
    weight: float
    cap: Amounts
    use: Amounts
    beyond_share: bool


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where the tasks of a job would start, and why.

    ``jobs_before`` wait for the same pool and are ranked before it. ``unavailable`` are
    the minions that no step could use. ``steps_omitted`` could start, too, but are not
    described.
    """

    queue: str
    pool: str
    team: TeamStanding | None
    jobs_before: int
    steps: tuple[StepExplanation, ...]
    steps_omitted: int
    unavailable: tuple[CandidateMinion, ...]


@dataclass(frozen=True, slots=True)
class _Trial:
    """A job placed on copies: ``views`` are the copied minions that accept work.

    If ``delayed``, no task was placed, whatever capacity is free.
    """

    opened: OpenJob
    scheduler: Explainer
    views: Sequence[MinionView]
    delayed: WaitCause | None

    def minions_of(self, number: int) -> list[str]:
        """Return where the tasks of a step would start, in their order."""
        starts = self.scheduler._starts
        return [s.run.minion_id for s in starts if s.run.task.step == number]


class Explainer(Evacuator):
    """Explains placements without changing the schedule."""

    def explain(self, job: Job, now: float, wall_ms: float) -> Explanation:
        """Return where a job that is not submitted would start now.

        Raises InvalidInputError for a gang that is too large to be tried.
        """
        opened = self._open_unsubmitted(job, now)
        opened.open_steps(0)
        startable = sorted(number for _, number in opened.waiting.steps())
        described = startable[:MAX_STEPS_DESCRIBED]
        before = list(self._jobs_before(opened, now))
        trial = self._place_on_copies(
            opened, before, self._find_delay(job, wall_ms), now
        )
        steps = (
            self._explain_step(trial, number, step.count, now)
            if number in described
            else _explain_later_step(number, step)
            for number, step in enumerate(job.steps)
            if number in described or number not in startable
        )
        return Explanation(
            job.queue,
            opened.service,
            self._team_standing(opened),
            len(before),
            tuple(steps),
            len(startable) - len(described),
            tuple(self._unavailable(opened.service, now)),
        )

    def _place_on_copies(
        self,
        opened: OpenJob,
        before: Sequence[OpenJob],
        delayed: WaitCause | None,
        now: float,
    ) -> _Trial:
        scheduler = self._copy_for_trial(opened, now)
        views = [view for view in scheduler.view_by_id.values() if view.accepts(now)]
        if delayed is None:
            apart = scheduler._may_keep_apart([*before, opened], views)
            sizes = _sizes_without_room(before)
            scheduler._place_job(opened, views, sizes, set(), apart, now)
        return _Trial(opened, scheduler, views, delayed)

    def _explain_step(
        self, trial: _Trial, number: int, tasks: int, now: float
    ) -> StepExplanation:
        tried = trial.opened.job.steps[number].count
        minions = trial.minions_of(number)
        cause = None
        if len(minions) < tried:
            cause = trial.delayed or _find_cause(trial, number, now)
        return StepExplanation(
            number,
            tasks,
            tried,
            len(minions),
            minions[0] if minions else "",
            cause,
            (),
            tuple(self._candidates(trial, number, cause, now)),
        )

    def _is_beyond_share(self, team_name: str | None, at: float) -> bool:
        """Return whether a job that arrives now would exceed its team's share."""
        if self.configuration is None:
            return False
        team = self.configuration.team_by_name.get(team_name or "")
        return team is not None and self._shares.would_exceed_share(
            team.name, team.weight, at
        )

    def _open_unsubmitted(self, job: Job, now: float) -> OpenJob:
        """Return the job as if it had been accepted now, with fewer tasks if many.

        The order does not depend on the number of a step's tasks.
        """
        opened = OpenJob(
            job=replace(job, steps=tuple(_limit_tasks(job.steps)), occurrences=0),
            progress=Progress(),
            arrived_at=now,
            service=job.service,
            priority=0,
            objective_s=0.0,
            max_attempts=1,
            beyond_share=self._is_beyond_share(job.team, now),
            durations=self._learning.durations,
        )
        self._apply_settings(opened, job)
        self._apply_queue_settings(opened)
        return opened

    def _jobs_before(self, opened: OpenJob, now: float) -> Iterator[OpenJob]:
        """Yield the waiting jobs of the same pool that would be placed earlier."""
        rank = self._order.rank(opened, now)
        for job in self.job_by_id.values():
            if not job.waiting or job.set_aside or job.service != opened.service:
                continue
            if self._order.rank(job, now) <= rank:
                yield job

    def _copy_for_trial(self, opened: OpenJob, now: float) -> Self:
        """Return a scheduler of which one job can be placed without an effect here.

        Everything that placing a job changes is copied.
        """
        trial = copy(self)
        trial.view_by_id = {
            view.minion_id: replace(view, runs=dict(view.runs))
            for view in self.view_by_id.values()
            if view.listing is not None and view.listing.service == opened.service
        }
        trial.job_by_id = {opened.job.job_id: opened}
        trial.decisions = []
        trial._starts = []
        trial._dirty = {}
        trial._team_use = dict(self._team_use)
        trial._services_by_capped_team = {}
        trial._changed_services = set()
        trial._cold_minions = find_cold(trial.view_by_id.values(), now)
        return trial

    def _find_delay(self, job: Job, wall_ms: float) -> WaitCause | None:
        """Return why no task at all would start now, whatever capacity is free."""
        if self._starts_held:
            return WaitCause.OPERATORS_REQUESTS
        if job.occurrences and wall_ms < job.first_ms:
            return WaitCause.FIRST_TIME
        return None

    def _candidates(
        self, trial: _Trial, number: int, cause: WaitCause | None, now: float
    ) -> Iterator[CandidateMinion]:
        """Yield the minions that accept work, with a reason for each.

        If tasks are left, the reason is why they find no room after the others.
        """
        opened = trial.opened
        step = opened.job.steps[number]
        task = TaskKey(opened.job.job_id, 0, number, 0)
        starts = Counter(trial.minions_of(number))
        for view in trial.views:
            present = self.view_by_id[view.minion_id]
            obstacle = _name_obstacle(step, task, view if cause else present)
            count = starts[view.minion_id]
            if count:
                reason = f"chosen, then {obstacle}" if cause and obstacle else "chosen"
            elif obstacle:
                reason = obstacle
            elif present.is_warming_up(now):
                reason = "has room, but is cold after an evacuation"
            elif cause is None:
                reason = "has room, another one is preferred"
            elif cause is WaitCause.ROOM and not step.gang:
                reason = "has room, which jobs before this one would get"
            else:
                reason = "has room"
            yield _describe(present, count, reason)

    def _unavailable(self, service: str, now: float) -> Iterator[CandidateMinion]:
        for view in self.view_by_id.values():
            other = view.listing is not None and view.listing.service != service
            if other:
                yield _describe(view, 0, "other pool")
            elif not view.accepts(now):
                causes = (name for name, holds in OBSTACLES if holds(view, now))
                yield _describe(view, 0, next(causes, "accepts no work"))

    def _team_standing(self, opened: OpenJob) -> TeamStanding | None:
        name = opened.job.team
        team = None
        if self.configuration is not None and name is not None:
            team = self.configuration.team_by_name.get(name)
        if team is None:
            return None
        return TeamStanding(
            team.name,
            team.weight,
            Amounts.from_resources(team.cap),
            Amounts.from_resources(self._team_use.get(team.name, Resources())),
            opened.beyond_share,
        )


# Names of the reasons for which ``MinionView.accepts`` refuses new work.
OBSTACLES: tuple[tuple[str, Callable[[MinionView, float], bool]], ...] = (
    ("not listed", lambda view, _: view.listing is None or view.unlisted),
    ("evacuated", lambda view, _: view.evacuated),
    ("cordoned", lambda view, _: view.cordoned),
    ("draining", lambda view, _: view.draining),
    ("not responsive", lambda view, _: not view.responsive),
    ("avoided after faults", lambda view, now: now < view.avoid_until),
    ("avoided after its restart", lambda view, now: now < view.over_leased_until),
    ("runs tasks that are not known here", lambda view, _: bool(view.untracked_runs)),
    (
        "restarted, has not answered yet",
        lambda view, _: (
            view.listing is not None and view.listing.incarnation != view.incarnation
        ),
    ),
)


def _explain_later_step(number: int, step: Step) -> StepExplanation:
    """Return the explanation of a step that depends on others."""
    cause = WaitCause.EARLIER_STEP
    return StepExplanation(number, step.count, 0, 0, "", cause, step.depends_on, ())


def _find_cause(trial: _Trial, number: int, now: float) -> WaitCause:
    """Return what the tasks of a step wait for that the trial has not placed."""
    opened, scheduler = trial.opened, trial.scheduler
    if opened.needs_advice:
        return WaitCause.ADVICE
    step = opened.job.steps[number]
    if step.gang:
        capped = not scheduler._fits_cap(opened.job.team, step.size, step.count)
    else:
        # A job at its team's cap is left before its further tasks are tried.
        capped = (0, number) not in opened.unplaced
    if capped:
        return WaitCause.CAP
    task = TaskKey(opened.job.job_id, 0, number, 0)
    evacuated = (
        replace(view, evacuated=False)
        for view in scheduler.view_by_id.values()
        if view.evacuated
    )
    reopened = [view for view in evacuated if view.accepts(now)]
    if any(True for _ in eligible_minions(step, task, reopened)):
        return WaitCause.EVACUATION
    return WaitCause.ROOM


def _limit_tasks(steps: Sequence[Step]) -> Iterator[Step]:
    """Yield the steps with at most ``MAX_TASKS_TRIED`` tasks in all, but one each."""
    left = MAX_TASKS_TRIED
    for number, step in enumerate(steps):
        if step.gang and step.count > MAX_TASKS_TRIED:
            problem = f"is a gang of more than {MAX_TASKS_TRIED} tasks"
            raise InvalidInputError([Finding(f"job.phases.{number}", problem)])
        count = step.count if step.gang else max(1, min(step.count, left))
        left = max(0, left - count)
        yield replace(step, count=count)


def _sizes_without_room(jobs: Sequence[OpenJob]) -> UnplaceableSizes:
    """Return the sizes for which jobs found no room when they were last placed."""
    sizes = UnplaceableSizes()
    for job in jobs:
        for _, number in job.unplaced:
            step = job.job.steps[number]
            constrained = step.label or step.most_per_minion or step.gang
            if not constrained and not job.needs_advice:
                sizes.add(step.room)
    return sizes


def _name_obstacle(step: Step, task: TaskKey, view: MinionView) -> str:
    """Return why a task cannot start on a minion that accepts work, or ""."""
    if any(True for _ in eligible_minions(step, task, [view])):
        return ""
    names = ("cpu", "memory", "accelerators")
    room = zip(names, step.room, view.free, strict=True)
    missing = [name for name, wanted, free in room if wanted > free]
    if missing:
        return f"no room for {', '.join(missing)}"
    if view.listing is not None and step.label not in (*view.listing.labels, ""):
        return f"missing label {step.label}"
    return f"anti_affinity of {step.most_per_minion}"


def _describe(view: MinionView, starts: int, reason: str) -> CandidateMinion:
    listing = view.listing
    return CandidateMinion(
        view.minion_id,
        "" if listing is None else listing.rack,
        "" if listing is None else listing.data_centre,
        Amounts.from_resources(view.free),
        starts,
        reason,
    )
