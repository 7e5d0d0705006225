"""Decides which tasks start and stop now, and on which minions."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping, Sequence

from geraniumshore_scheduler.internal.advice import StepKey
from geraniumshore_scheduler.internal.cold_minions import find_cold, split_cold
from geraniumshore_scheduler.internal.interference import NO_LOSSES
from geraniumshore_scheduler.internal.minion_selection import (
    choose_minion,
    has_room_for_all,
)
from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import Step, TaskKey
from geraniumshore_scheduler.internal.orders import StartOrder, StopOrder
from geraniumshore_scheduler.internal.runs import OpenJob, Run, RunState
from geraniumshore_scheduler.internal.separation import Separator
from geraniumshore_scheduler.internal.stragglers import is_straggler
from geraniumshore_scheduler.internal.unplaceable_sizes import UnplaceableSizes

__all__ = ["Placer"]

# A stop that has had no effect is sent again after this time: a few round trips.
STOP_RETRY_S = 0.4
# A minion on which a task made no progress gets no new work for this time.
STRAGGLER_AVOID_S = 3.0
# Interval between passes over the jobs of all services.
FULL_PASS_INTERVAL_S = 0.25
# A stalled task takes seconds to detect, so checking more often gains nothing.
STRAGGLER_CHECK_INTERVAL_S = 0.25
# A draining minion's tasks are stopped this long before it goes, which leaves time to
# read their checkpoints and completions.
EVACUATION_LEAD_MS = 600
# A task with at least this much progress may finish on a draining minion.
NEARLY_DONE_PERCENT = 90


class Placer(Separator):
    """Plans starts and stops from the known state of the runs."""

    def _evacuate_draining_minions(self) -> None:
        for view in self.view_by_id.values():
            if not view.draining or not view.responsive:
                continue
            remaining_ms = view.remaining_ms
            leaves_soon = remaining_ms is not None and remaining_ms < EVACUATION_LEAD_MS
            for run in view.runs.values():
                if run.step.lasting or (
                    leaves_soon and run.percent < NEARLY_DONE_PERCENT
                ):
                    view.request_stop(run)

    def _stop_stragglers(self, now: float) -> None:
        if now < self._stragglers_checked_at + STRAGGLER_CHECK_INTERVAL_S:
            return
        self._stragglers_checked_at = now
        for view in self.view_by_id.values():
            if not view.responsive:
                continue
            for run in view.runs.values():
                if run.stop_wanted or not is_straggler(run, self.estimate_s, now):
                    continue
                view.request_stop(run)
                self._record_decision(
                    "straggler", str(run.task), view.minion_id, {"percent": run.percent}
                )
                job = self.job_by_id.get(run.task.job_id)
                if job is not None:
                    avoided = job.failed_on.setdefault(job.shared_key(run.task), set())
                    avoided.add(view.minion_id)
                avoid_until = now + STRAGGLER_AVOID_S
                view.avoid_until = max(view.avoid_until, avoid_until)

    def _place_waiting_tasks(self, now: float) -> None:
        """Place the waiting tasks of services in which something has changed.

        Every ``FULL_PASS_INTERVAL_S`` all services are visited: some tasks become
        placeable by the passage of time alone, such as the end of a retry delay.
        """
        if self._starts_held:
            return
        full_pass = now >= self._placed_all_at + FULL_PASS_INTERVAL_S
        changed = self._changed_services
        if not full_pass and not changed:
            return
        if full_pass:
            self._placed_all_at = now
        jobs_by_service: dict[str, list[OpenJob]] = {}
        for job in self.job_by_id.values():
            if not job.waiting or job.set_aside:
                continue
            if full_pass or job.service in changed:
                jobs_by_service.setdefault(job.service, []).append(job)
        if not jobs_by_service:
            self._changed_services = set()
            return
        views_by_service: dict[str, list[MinionView]] = {}
        untracked_runs: set[str] = set()
        for view in self.view_by_id.values():
            untracked_runs.update(view.untracked_runs)
            listing = view.listing
            if listing is None or listing.service not in jobs_by_service:
                continue
            if view.accepts(now):
                views_by_service.setdefault(listing.service, []).append(view)
        self._cold_minions = find_cold(self.view_by_id.values(), now)
        for service, jobs in jobs_by_service.items():
            views = views_by_service.get(service, [])
            jobs.sort(key=lambda job: self._order.rank(job, now))
            unplaceable_sizes = UnplaceableSizes()
            apart = self._may_keep_apart(jobs, views)
            for job in jobs:
                try:
                    self._place_job(
                        job, views, unplaceable_sizes, untracked_runs, apart, now
                    )
                except Exception as error:
                    self._set_aside(job.job.job_id, error)
        # The placements above only use up room, so they enable no further starts.
        self._changed_services = set()

    def _place_job(
        self,
        job: OpenJob,
        views: list[MinionView],
        unplaceable_sizes: UnplaceableSizes,
        untracked_runs: set[str],
        apart: bool,
        now: float,
    ) -> None:
        job.unplaced.clear()
        for step_number in job.waiting.steps():
            step = job.job.steps[step_number[1]]
            losses = self._losses(step, apart)
            allowed = views
            if job.needs_advice:
                step_key = StepKey(job.job.job_id, *step_number)
                allowed = list(self._advice.eligible(step_key, views, now))
            for task in job.waiting.tasks_of(step_number):
                backoff = job.find_backoff(task)
                if backoff is not None and backoff.retry_at > now:
                    continue
                if untracked_runs and str(task) in untracked_runs:
                    # An older run of the task is still being stopped on some minion.
                    continue
                if step.gang:
                    self._place_gang(job, task, allowed, now)
                    job.unplaced.add(step_number)
                    break
                if not self._within_cap(job, step.size):
                    return
                if unplaceable_sizes.covers(step.room):
                    job.unplaced.add(step_number)
                    break
                avoided = job.failed_on.get(task, ())
                view = self._choose_minion(step, task, allowed, avoided, losses)
                if view is None:
                    job.unplaced.add(step_number)
                    if allowed is views and not step.label and not step.most_per_minion:
                        unplaceable_sizes.add(step.room)
                    break
                if losses:
                    self._log_separation(step, task, view, allowed, avoided, losses)
                self._start_run(job, task, view, self._allocate_run_number(), now)

    def _place_gang(
        self, job: OpenJob, first: TaskKey, views: list[MinionView], now: float
    ) -> None:
        """Start all tasks of a gang, or none of them."""
        step = job.job.steps[first.step]
        # Checked first, as a gang that is too large may have any number of members.
        if not has_room_for_all(step, views):
            return
        if not self._within_cap(job, step.size, step.count):
            return
        members = [first._replace(position=index) for index in range(step.count)]
        if any(member not in job.waiting for member in members):
            return
        number = self._allocate_run_number()
        avoided = job.failed_on.get(job.shared_key(first), ())
        placed: list[Run] = []
        for candidates in _gang_candidates(step.same_rack, views):
            for member in members:
                view = self._choose_minion(step, member, candidates, avoided)
                if view is None:
                    break
                placed.append(self._plan_run(job, member, view, number, now))
                self._attach(job, placed[-1])
            if len(placed) == len(members):
                break
            for run in placed:
                self._detach(run)
                job.waiting.add(run.task)
            placed = []
        for run in placed:
            self._order_start(job, run)

    def _choose_minion(
        self,
        step: Step,
        task: TaskKey,
        views: Sequence[MinionView],
        avoided: Collection[str],
        losses: Mapping[str, float] = NO_LOSSES,
    ) -> MinionView | None:
        """Return the minion for a task, a cold one only if no warm one has room."""
        groups = split_cold(views, self._cold_minions)
        chosen = (choose_minion(step, task, group, avoided, losses) for group in groups)
        return next((view for view in chosen if view is not None), None)

    def _plan_run(
        self, job: OpenJob, task: TaskKey, view: MinionView, number: int, now: float
    ) -> Run:
        step = job.job.steps[task.step]
        return Run(
            task,
            number,
            view.minion_id,
            step,
            job.job.team,
            RunState.PLANNED,
            now,
            incarnation=view.incarnation,
        )

    def _start_run(
        self, job: OpenJob, task: TaskKey, view: MinionView, number: int, now: float
    ) -> None:
        run = self._plan_run(job, task, view, number, now)
        self._attach(job, run)
        self._order_start(job, run)

    def _order_start(self, job: OpenJob, run: Run) -> None:
        view = self.view_by_id[run.minion_id]
        assert view.listing is not None
        self._record_placement(job, run)
        job.mark_running()
        checkpoint = self._resume_checkpoint(job, run)
        run.resumed = bool(checkpoint)
        if job.first_start_after_s is None:
            job.first_start_after_s = round(run.since - job.arrived_at, 3)
        self._starts.append(
            StartOrder(
                run,
                view.listing.address,
                job.job.spec,
                checkpoint,
                self.authority.epoch,
                self._advice.ticket(StepKey(*run.task[:3]), view, run.since),
            )
        )
        if not job.keeps_ending(run.task):
            self._record_decision(
                "start",
                str(run.task),
                run.minion_id,
                {"run": run.number, "free_cpu": view.free.cpu_milli},
            )

    @staticmethod
    def _resume_checkpoint(job: OpenJob, run: Run) -> str:
        """Return the checkpoint to resume from; all tasks of a gang resume from one."""
        if not run.step.gang:
            return job.progress.checkpoints.get(run.task.within_job, "")
        members = (run.task._replace(position=index) for index in range(run.step.count))
        saved = (job.progress.checkpoints.get(m.within_job, "") for m in members)
        return next((value for value in saved if value), "")

    def _allocate_run_number(self) -> int:
        self._next_run += 1
        return self._next_run - 1

    def _send_stops(self, now: float) -> None:
        for view in self.view_by_id.values():
            if not view.responsive or view.listing is None:
                continue
            for name, number in view.untracked_runs.items():
                if not self._is_unread(name):
                    self._order_stop(view, name, number)
            if not view.stopping:
                continue
            view.stopping = False
            for run in view.runs.values():
                if not run.stop_wanted:
                    continue
                view.stopping = True
                if run.state is RunState.PLANNED or run.state is RunState.SENT:
                    continue
                if run.stop_sent_at is None or now > run.stop_sent_at + STOP_RETRY_S:
                    run.stop_sent_at = now
                    self._order_stop(view, run.name, run.number)

    def _order_stop(self, view: MinionView, task: str, number: int) -> None:
        assert view.listing is not None
        self.stops.append(
            StopOrder(
                view.minion_id,
                view.listing.address,
                task,
                number,
                self.authority.epoch,
            )
        )
        self._record_decision("stop", task, view.minion_id, {"run": number})


def _gang_candidates(
    same_rack: bool, views: list[MinionView]
) -> Iterator[list[MinionView]]:
    """Yield the sets of minions to try for a gang, the preferred ones first."""
    if same_rack:
        by_rack: dict[str, list[MinionView]] = {}
        for view in views:
            if view.listing is not None:
                by_rack.setdefault(view.listing.rack, []).append(view)
        yield from sorted(by_rack.values(), key=len, reverse=True)
    yield views
