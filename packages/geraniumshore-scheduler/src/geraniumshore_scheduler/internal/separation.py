"""Keeps tasks apart that slow each other down, where there is capacity to spare."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence

from geraniumshore_scheduler.internal.cold_minions import find_cold, split_cold
from geraniumshore_scheduler.internal.interference import (
    MIN_EFFECT,
    NO_LOSSES,
    PairChange,
)
from geraniumshore_scheduler.internal.maintenance import may_interrupt
from geraniumshore_scheduler.internal.minion_selection import (
    choose_minion,
    expected_loss,
)
from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import Step, TaskKey
from geraniumshore_scheduler.internal.reconciliation import Reconciler
from geraniumshore_scheduler.internal.records import INTERFERENCE_KEY
from geraniumshore_scheduler.internal.relocation import SufferingTask
from geraniumshore_scheduler.internal.runs import OpenJob, Run
from geraniumshore_scheduler.internal.spare_room import (
    Demand,
    has_spare_room,
)

__all__ = ["Separator"]

# How often tasks that suffer are looked at, and the shortest time between two moves of
# a service: a report after a move has to show what it changed.
MOVE_CHECK_INTERVAL_S = 1.0
MOVE_INTERVAL_S = 5.0
# How many of them are looked at each time. A search for a better minion takes 14 ms
# with 3,000 minions, and hundreds of tasks may suffer without one.
MAX_SEARCHES = 4


class Separator(Reconciler):
    """Uses the estimate of interference for placements and moves."""

    def _update_interference(self, now: float) -> None:
        """Update the estimate; add its summary to the next batch when it is due."""
        for change in self._interference.solve(now):
            self._log_pair(change)
        value = self._interference.record_due(now)
        if value is not None:
            self._records[INTERFERENCE_KEY] = value

    def _may_keep_apart(
        self, jobs: Iterable[OpenJob], views: Sequence[MinionView]
    ) -> bool:
        """Return whether no task of a service waits longer if tasks are kept apart.

        ``jobs`` are those of the service with waiting tasks.
        """
        if not self._interference.has_detected:
            return False
        jobs = list(jobs)
        # Which minions have a ticket for a step is not known beforehand.
        if any(job.needs_advice for job in jobs):
            return False
        found = False

        def search() -> None:
            nonlocal found
            found = has_spare_room(self._demands(jobs), views)

        self._guard_learning(search)
        return found

    def _demands(self, jobs: Iterable[OpenJob]) -> Iterator[Demand]:
        """Yield the waiting tasks that the caps of their teams let start."""
        for job in jobs:
            cap_use = self._cap_use(job.job.team)
            for (occurrence, number), count in job.waiting.count_by_step().items():
                step = job.job.steps[number]
                if cap_use is not None:
                    count = cap_use.count_startable(step.size, count)
                yield Demand(
                    step, TaskKey(job.job.job_id, occurrence, number, 0), count
                )

    def _stopping_tasks(self, service: str) -> Iterator[Demand]:
        """Yield the tasks of a service that are stopped and start again later."""
        for view in self.view_by_id.values():
            if not view.stopping:
                continue
            for run in view.runs.values():
                job = self.job_by_id.get(run.task.job_id)
                if run.stop_wanted and job is not None and job.service == service:
                    yield Demand(run.step, run.task, 1)

    def _losses(self, step: Step, apart: bool) -> Mapping[str, float]:
        """Return what a task loses beside each image, if that counts now."""
        return self._interference.losses(step.image) if apart else NO_LOSSES

    def _log_separation(
        self,
        step: Step,
        task: TaskKey,
        view: MinionView,
        views: Sequence[MinionView],
        avoided: Iterable[str],
        loss_by_image: Mapping[str, float],
    ) -> None:
        """Log a placement that would be another without the estimate."""
        otherwise = _choose_warm_first(step, task, views, self._cold_minions, avoided)
        if otherwise is None or otherwise is view:
            return
        details: dict[str, object] = {
            "image": step.image,
            "instead_of": otherwise.minion_id,
            "expected_loss": round(expected_loss(view, loss_by_image), 2),
            "loss_avoided": round(expected_loss(otherwise, loss_by_image), 2),
        }
        self._record_decision("placed apart", str(task), view.minion_id, details)

    def _move_suffering_tasks(self, now: float) -> None:
        """Stop serving tasks that lose less by a move than by staying."""
        if not self._interference.enabled or self._starts_held:
            return
        if now < self._suffering_checked_at + MOVE_CHECK_INTERVAL_S:
            return
        self._suffering_checked_at = now
        searches = 0
        for suffering in self._suffering.due(now):
            run = suffering.run
            view = self.view_by_id.get(run.minion_id)
            job = self.job_by_id.get(run.task.job_id)
            if view is None or job is None or view.runs.get(run.task) is not run:
                self._suffering.forget(suffering)
            elif searches < MAX_SEARCHES and self._may_move(run, job, view, now):
                searches += 1
                suffering.searched_at = now
                if may_interrupt(run, job, self.view_by_id):
                    self._move(suffering, job, view, now)

    def _may_move(self, run: Run, job: OpenJob, view: MinionView, now: float) -> bool:
        """Return whether a stopped task would start again at once.

        A step without a budget is not interrupted for this. How much of a budget is
        left is checked for the few tasks that a round looks at.
        """
        moved_at = self._moved_at_by_service.get(job.service, float("-inf"))
        return (
            bool(run.step.may_miss)
            and not (run.stop_wanted or run.step.gang or job.set_aside)
            and not (job.needs_advice or self._unread_jobs)
            and view.responsive
            and not view.draining
            and job.find_backoff(run.task) is None
            and now >= moved_at + MOVE_INTERVAL_S
            and self._team_fits_cap(run.team)
        )

    def _team_fits_cap(self, team: str | None) -> bool:
        """Return whether a team's stopped task could start again within its cap."""
        cap_use = self._cap_use(team)
        if cap_use is None:
            return True
        return not (cap_use.exceeded or self._services_by_capped_team.get(team or ""))

    def _move(
        self, suffering: SufferingTask, job: OpenJob, view: MinionView, now: float
    ) -> None:
        """Stop a task if another minion is better for it and has room."""
        run = suffering.run
        slowing = self._interference.estimator.slowing(run.step.image)
        neighbours = {
            other.step.image for other in view.runs.values() if other is not run
        }
        causes = sorted(neighbours & slowing.keys())
        target = self._better_minion(run, job, view, now) if causes else None
        if target is None:
            return
        self._suffering.forget(suffering)
        self._moved_at_by_service[job.service] = now
        view.request_stop(run)
        self._record_decision(
            "moved apart",
            str(run.task),
            view.minion_id,
            {
                "image": run.step.image,
                "slowed_by": causes,
                "expected_on": target.minion_id,
                "core_s_lost": round(suffering.lost, 1),
            },
        )

    def _better_minion(
        self, run: Run, job: OpenJob, view: MinionView, now: float
    ) -> MinionView | None:
        """Return where a task would start if it were stopped, None if not better."""
        views = [
            other
            for other in self.view_by_id.values()
            if other.listing is not None
            and other.listing.service == job.service
            and other.accepts(now)
        ]
        waiting = [
            other
            for other in self.job_by_id.values()
            if other.service == job.service and other.waiting and not other.set_aside
        ]
        own = Demand(run.step, run.task, 1)
        if any(other.needs_advice for other in waiting):
            return None
        stopping = self._stopping_tasks(job.service)
        if not has_spare_room([*self._demands(waiting), *stopping, own], views):
            return None
        losses = self._interference.losses(run.step.image)
        avoided = job.failed_on.get(run.task, ())
        # The choice is that of the next round, in which the task is not there any more.
        view.detach(run)
        try:
            cold = find_cold(views, now)
            target = _choose_warm_first(
                run.step, run.task, views, cold, avoided, losses
            )
            if target is None or target is view:
                return None
            gain = expected_loss(view, losses) - expected_loss(target, losses)
        finally:
            view.attach(run)
        return target if gain >= MIN_EFFECT else None

    def _log_pair(self, change: PairChange) -> None:
        event = "interference found" if change.detected else "interference ended"
        details: dict[str, object] = {
            "slowed": change.pair.slowed,
            "by": change.pair.by,
            "effect": round(change.effect.size, 2),
            "uncertainty": round(change.effect.uncertainty, 2),
        }
        self._record_decision(event, "", details=details)


def _choose_warm_first(
    step: Step,
    task: TaskKey,
    views: Sequence[MinionView],
    cold: Collection[str],
    avoided: Iterable[str],
    losses: Mapping[str, float] = NO_LOSSES,
) -> MinionView | None:
    """Return the minion that placement chooses, a cold one only without a warm one."""
    groups = split_cold(views, cold)
    chosen = (choose_minion(step, task, group, avoided, losses) for group in groups)
    return next((view for view in chosen if view is not None), None)
