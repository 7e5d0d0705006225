"""Reconciliation of the owner's runs with what minions report.

A run is released only once its task certainly does not and will not execute, so that
the task can be started again without running twice.
"""

from __future__ import annotations

from collections.abc import Iterable

from geraniumshore_scheduler.internal.advice import StepKey
from geraniumshore_scheduler.internal.minion_view import MinionView, PollRequest
from geraniumshore_scheduler.internal.model import (
    CompletedRun,
    MinionReport,
    RunningTask,
    TaskKey,
)
from geraniumshore_scheduler.internal.orders import PaceOrder, StartOutcome, StopOrder
from geraniumshore_scheduler.internal.pacing import plan_paces
from geraniumshore_scheduler.internal.records import JobState
from geraniumshore_scheduler.internal.restart_backoff import (
    FIRST_REFUSAL_PAUSE_S,
    SETTLED_RUN_S,
    TASK_ENDS,
)
from geraniumshore_scheduler.internal.run_registry import AVOID_S, RunRegistry
from geraniumshore_scheduler.internal.runs import OpenJob, Run, RunState
from geraniumshore_scheduler.internal.unresponsive import MinionEpoch

__all__ = ["Reconciler"]

# Outcomes after which the run, or an earlier one of its task, may have started.
MAY_HAVE_STARTED = (
    StartOutcome.STARTED,
    StartOutcome.NO_ANSWER,
    StartOutcome.OLD_RUN,
)
# The longest that a poll is held back until the completions from the previous poll are
# recorded. Recording usually takes about 30 ms.
COMPLETION_RECORDING_WAIT_S = 0.3
# A minion that has not answered for this long is recorded for the next owner.
UNRESPONSIVE_AFTER_S = 1.0
# Interval between records of unresponsive minions. A process that starts later takes
# the newest one for as old as its own reading of it.
UNRESPONSIVE_RECORD_INTERVAL_S = 2.0
# Delay before the same pace is ordered again.
PACE_RETRY_S = 1.0


class Reconciler(RunRegistry):
    """Updates runs from minions' answers to polls, starts, stops and pace orders.

    A run is released only when it certainly is not and will not be on its minion:
    either the minion reported so, or the lease has lapsed on every possible clock.
    """

    def is_recording_completions(self, minion_id: str, now: float) -> bool:
        """Return whether to delay the next poll until completions are recorded.

        Until they are in the log, a poll cannot acknowledge them, so the minion answers
        it at once. The delay is bounded, so that a slow store does not stop lease
        renewals.
        """
        view = self.view_by_id.get(minion_id)
        return (
            view is not None
            and view.responsive
            and bool(view.unacked)
            and view.completions_listed_at is not None
            and now < view.completions_listed_at + COMPLETION_RECORDING_WAIT_S
        )

    def order_timeout_s(self, now: float) -> float:
        """Return how long to wait for the answer to an order that is sent now."""
        return self._answer_loss.call_times(now).answer_s

    def poll_request(self, minion_id: str, now: float) -> PollRequest | None:
        """Return the next poll of a minion, or None if its address is not known.

        After a lease renewal without an answer, polls carry no renewal until the minion
        answers. This bounds how late an unanswered renewal can still take effect.
        """
        view = self.view_by_id.get(minion_id)
        if view is None or view.listing is None:
            return None
        until_ms = None
        known = view.incarnation is not None and view.responsive
        recorded = view.grants_after_batch <= self._durable_batch
        if known and recorded and view.unanswered_grant_at is None:
            until_ms = view.lease_until_ms(now, self.times)
            view.granted_at = now
        doubtful = any(run.state is RunState.DOUBTFUL for run in view.runs.values())
        may_wait = until_ms is not None and not view.unacked and not doubtful
        times = self._answer_loss.call_times(now)
        wait_ms = times.poll_wait_ms if may_wait else 0
        return PollRequest(
            minion_id,
            view.listing.address,
            self.authority.epoch,
            view.acked_upto,
            until_ms,
            wait_ms,
            now,
            times.answer_s,
        )

    def on_report(self, request: PollRequest, report: MinionReport, now: float) -> None:
        """Process a minion's answer to a poll."""
        view = self.view_by_id.get(request.minion_id)
        if view is None:
            return
        if view.responsive:
            self._answer_loss.observe(True, now)
        same_incarnation = view.incarnation == report.incarnation
        if view.incarnation is not None and report.incarnation < view.incarnation:
            return
        accepted = view.accepts(now)
        first = view.reported_incarnation is None
        restarted = view.reported_incarnation != report.incarnation
        view.reported_incarnation = report.incarnation
        if view.minion_id in self._unresponsive:
            # The log says that this minion gets no leases. Retract that record first.
            self._unresponsive.forget(view.minion_id)
            self._record_unresponsive(now)
            view.grants_after_batch = self._next_batch
        view.record_answer(same_incarnation, self.times)
        view.first_answered_at = min(view.first_answered_at, now)
        if not same_incarnation:
            self._begin_incarnation(view, report.incarnation, now)
        view.clock_ms, view.clock_at = report.clock_ms, now
        if first:
            view.record_first_report(now, self.times)
        elif restarted:
            view.record_incarnation(request.sent_at, now, self.times)
        view.remaining_ms = report.remaining_ms
        self._process_completions(view, report.ended, now)
        self._process_running(view, request, report, now)
        self._guard_learning(lambda: self._interference.on_report(view, now))
        self._set_paces(view, now)
        if self._interference.enabled:
            self._guard_learning(lambda: self._suffering.on_report(view, now))
        if not accepted and view.accepts(now):
            self._mark_capacity_changed(view)

    def on_poll_unanswered(self, request: PollRequest, now: float) -> None:
        """Record that a poll failed or timed out at ``now``."""
        view = self.view_by_id.get(request.minion_id)
        if view is None:
            return
        if request.until_ms is not None:
            view.record_unanswered_grant(request.sent_at)
        if view.responsive:
            self._answer_loss.observe(False, now)
            view.responsive = False
            self._record_decision(
                "minion silent", "", view.minion_id, {"runs": len(view.runs)}
            )
        if view.unresponsive_since is None:
            view.unresponsive_since = request.sent_at
        self._track_unresponsive(view, now)

    def _track_unresponsive(self, view: MinionView, now: float) -> None:
        """Record the last lease sent to an unresponsive minion that has runs."""
        assert view.unresponsive_since is not None
        if now < view.unresponsive_since + UNRESPONSIVE_AFTER_S or not view.runs:
            return
        last_grants: dict[MinionEpoch, float] = {}
        if view.granted_at is not None:
            own = MinionEpoch(view.minion_id, self.authority.epoch)
            last_grants[own] = view.granted_at
        for run in view.runs.values():
            # A process that starts later does not know when former owners ended.
            if run.state is RunState.ADOPTED and run.foreign_until is not None:
                former = MinionEpoch(view.minion_id, run.foreign_epoch or 0)
                last_grants[former] = run.foreign_until
        added = self._unresponsive.add(last_grants)
        record_due_at = self._unresponsive_recorded_at + UNRESPONSIVE_RECORD_INTERVAL_S
        if added or now >= record_due_at:
            self._record_unresponsive(now)

    def on_minion_replaced(self, minion_id: str, now: float) -> None:
        """Release all runs of a replaced minion.

        Another minion answers at its address, so it has certainly ended. An entry of an
        unnamed service may be another writer's, whose address shows nothing.
        """
        view = self.view_by_id.get(minion_id)
        if view is None:
            return
        if view.listing is not None and not self._is_named(view.listing.service):
            view.responsive = False
            return
        for run in list(view.runs.values()):
            self._release_run(run, now, "minion replaced")
        incarnation = view.incarnation if view.incarnation is not None else 0
        if view.listing is not None:
            incarnation = max(incarnation, view.listing.incarnation)
        self._replaced_incarnation_by_id[minion_id] = incarnation
        del self.view_by_id[minion_id]

    def prepare_start(self, run: Run, now: float) -> int | None:
        """Return the lease to send with a start, or None if it must not be sent."""
        view = self.view_by_id.get(run.minion_id)
        if view is None or view.runs.get(run.task) is not run:
            return None
        recorded = view.grants_after_batch <= self._durable_batch
        if (
            run.stop_wanted
            or self._starts_held
            or not view.accepts(now)
            or view.incarnation != run.incarnation
            or not recorded
        ):
            self.on_start_not_sent(run, now)
            return None
        run.state = RunState.SENT
        run.since = now
        view.granted_at = now
        return view.lease_until_ms(now, self.times)

    def on_start_not_sent(self, run: Run, now: float) -> None:
        """Release a run whose start was not and will not be sent."""
        view = self.view_by_id.get(run.minion_id)
        if view is not None and view.runs.get(run.task) is run:
            self._release_unstarted_run(run, now, "not sent")

    def on_start_answer(self, run: Run, outcome: str, now: float) -> None:
        """Process the outcome of a start."""
        view = self.view_by_id.get(run.minion_id)
        if view is None or view.runs.get(run.task) is not run:
            return
        job = self.job_by_id.get(run.task.job_id)
        if job is not None and outcome in MAY_HAVE_STARTED:
            job.begun = True
        if view.responsive and outcome in (
            StartOutcome.STARTED,
            StartOutcome.NO_ANSWER,
        ):
            self._answer_loss.observe(outcome == StartOutcome.STARTED, now)
        if outcome == StartOutcome.NO_ANSWER:
            # A poll may have listed the run before the start timed out.
            if run.state is not RunState.RUNNING:
                run.state = RunState.DOUBTFUL
                run.unanswered_at = now
            view.record_unanswered_grant(run.since)
            view.avoid_until = max(view.avoid_until, now + AVOID_S)
            self._record_decision("start unanswered", str(run.task), run.minion_id)
            return
        if outcome == StartOutcome.STARTED:
            run.state = RunState.RUNNING
            run.confirmed_at = now
            run.progressed_at = now
            backoff = None if job is None else job.find_backoff(run.task)
            if backoff is not None:
                backoff.on_started()
            return
        if outcome in (StartOutcome.UNHEALTHY, StartOutcome.REFUSED):
            self._attribute_failure(view, now)
        elif outcome == StartOutcome.NO_TICKET:
            self._advice.drop_ticket(StepKey(*run.task[:3]), run.minion_id)
        elif outcome == StartOutcome.NO_ROOM:
            view.avoid_until = max(view.avoid_until, now + FIRST_REFUSAL_PAUSE_S)
        if job is not None:
            phase_s = self._restart_phase_s(run)
            job.backoff_of(run.task).on_refusal(now, phase_s)
        self._release_unstarted_run(run, now, f"start refused: {outcome}")

    def _release_unstarted_run(self, run: Run, now: float, why: str) -> None:
        """Release a run that never started. Its job is queued again if none did."""
        self._release_run(run, now, why)
        job = self.job_by_id.get(run.task.job_id)
        if job is not None and not job.begun and not job.runs:
            job.progress.state = JobState.QUEUED

    def on_stop_answer(self, order: StopOrder, now: float) -> None:
        """Process a minion's acceptance of a stop.

        After it, a start that is still under way no longer takes effect. The run keeps
        its capacity until a later poll shows that it is gone.
        """
        view = self.view_by_id.get(order.minion_id)
        if view is None:
            return
        run = self._find_run(view, order.task, order.run)
        if run is not None and run.state is RunState.DOUBTFUL:
            run.state = RunState.RUNNING
            run.confirmed_at = now
            view.request_stop(run)

    def on_pace_unanswered(self, order: PaceOrder, now: float) -> None:
        """Record that an order may take effect late, after newer ones.

        Until it no longer can, each poll orders the wanted pace again.
        """
        run = self._find_paced_run(order)
        if run is not None:
            run.pace_doubtful_until = now + self.times.order_delay
            run.paced_at = float("-inf")

    def on_pace_answered(self, order: PaceOrder) -> None:
        """Record that a minion has set a pace."""
        run = self._find_paced_run(order)
        if run is None or run.pace_doubtful_until is None:
            return
        if order.planned_at >= run.pace_doubtful_until:
            run.pace_doubtful_until = None

    def _find_paced_run(self, order: PaceOrder) -> Run | None:
        view = self.view_by_id.get(order.minion_id)
        return None if view is None else self._find_run(view, order.task, order.run)

    def _process_completions(
        self, view: MinionView, completions: Iterable[CompletedRun], now: float
    ) -> None:
        for completion in sorted(completions, key=lambda completion: completion.number):
            if completion.number <= view.last_seen_completion:
                continue
            view.last_seen_completion = completion.number
            view.completions_listed_at = now
            if self._is_unread(completion.task):
                view.unacked[completion.number] = None
                view.deferred[completion.number] = completion
                continue
            self._process_completion(view, completion, now)

    def _process_completion(
        self, view: MinionView, completion: CompletedRun, now: float
    ) -> None:
        run = self._find_run(view, completion.task, completion.run)
        if run is not None:
            self._complete_run(view, run, completion, now)
        elif completion.how == "done":
            self._credit_late_success(completion, view, now)
        view.unacked[completion.number] = self._next_batch

    def _process_deferred(self, now: float) -> None:
        """Process the deferred completions of jobs that have been read meanwhile."""
        for view in self.view_by_id.values():
            for completion in list(view.deferred.values()):
                if not self._is_unread(completion.task):
                    del view.deferred[completion.number]
                    self._process_completion(view, completion, now)

    def _credit_late_success(
        self, completion: CompletedRun, view: MinionView, now: float
    ) -> None:
        """Count the success of a run that had been released as lost."""
        job = self.job_by_id.get(completion.task.partition(".")[0])
        if job is None:
            return
        try:
            task = TaskKey.parse(completion.task)
        except ValueError:
            # Not a task of this scheduler: its names always parse.
            return
        if not job.has_task(task) or job.progress.is_done(task):
            return
        step = job.job.steps[task.step]
        if step.gang or step.lasting:
            return
        self._record_decision(
            "late success", completion.task, view.minion_id, {"run": completion.run}
        )
        other = job.runs.get(task)
        if other is not None:
            self._request_stop(other)
        self._mark_succeeded(job, task, now)

    def _complete_run(
        self, view: MinionView, run: Run, completion: CompletedRun, now: float
    ) -> None:
        self._guard_learning(
            lambda: self._interference.on_completed(view, run, completion.how, now)
        )
        job = self._detach(run)
        if completion.how != "done" and not (job and job.keeps_ending(run.task)):
            self._record_decision(
                "run ended", completion.task, view.minion_id, {"how": completion.how}
            )
        if job is None:
            return
        # The end may be listed before the start is answered.
        job.begun = True
        self._mark_changed(job, run.task)
        if completion.how == "done":
            queue = job.job.queue
            self._guard_learning(lambda: self._learning.on_done(queue, run, now))
            view.faults = 0
            # A long-running task only ends with its job, so it runs again.
            if not run.step.lasting:
                self._mark_succeeded(job, run.task, now)
                return
        if completion.checkpoint and run.step.checkpointing:
            job.progress.checkpoints[run.task.within_job] = completion.checkpoint
        if completion.how == "failed":
            if run.step.lasting:
                self._attribute_short_run(job, run, view, now)
            else:
                self._count_failure(job, run, view, now)
        self._back_off(job, run, completion.how, view, now)
        still_open = job.job.job_id in self.job_by_id
        if still_open and not job.progress.is_done(run.task):
            job.waiting.add(run.task)
            self._changed_services.add(job.service)
            self._restart_causes[completion.how] += 1

    def _back_off(
        self, job: OpenJob, run: Run, how: str, view: MinionView, now: float
    ) -> None:
        """Delay a task's next start if its runs keep ending soon after their start.

        What the system or a minion at fault ended does not count.
        """
        if _was_settled(run, now):
            self._forget_backoff(job, run.task)
            return
        if how not in TASK_ENDS or view.avoid_until > now:
            return
        backoff = job.backoff_of(run.task)
        grew_before = backoff.growing
        phase_s = self._restart_phase_s(run)
        backoff.on_short_run(how, run.number, now, phase_s)
        if backoff.growing and not grew_before:
            details: dict[str, object] = {"why": backoff.cause}
            self._record_decision(
                "restarts paused", str(run.task), view.minion_id, details
            )

    def _attribute_short_run(
        self, job: OpenJob, run: Run, view: MinionView, now: float
    ) -> None:
        """Prefer another minion for a long-running task that failed at once."""
        if _was_settled(run, now):
            return
        if not job.failed_on:
            self._attribute_failure(view, now)
        job.failed_on[job.shared_key(run.task)] = {view.minion_id}

    def _count_failure(
        self, job: OpenJob, run: Run, view: MinionView, now: float
    ) -> None:
        counted = job.shared_key(run.task)
        name = counted.within_job
        # A task that fails on every minion is no evidence against any of them, so only
        # a job's first failure counts against the minion.
        if not job.failed_on:
            self._attribute_failure(view, now)
        job.failed_on.setdefault(counted, set()).add(view.minion_id)
        if run.step.gang:
            # The members share the number of their run, which fails once.
            if run.number <= job.progress.failed_runs.get(name, 0):
                return
            job.progress.failed_runs[name] = run.number
        failures = job.progress.failures.get(name, 0) + 1
        job.progress.failures[name] = failures
        self._mark_changed(job, counted)
        if failures >= job.max_attempts:
            self._finish(job, JobState.FAILED, now)

    def _process_running(
        self,
        view: MinionView,
        request: PollRequest,
        report: MinionReport,
        now: float,
    ) -> None:
        row_by_name = {row.task: row for row in report.running}
        completed = {(completion.task, completion.run) for completion in report.ended}
        for run in list(view.runs.values()):
            row = row_by_name.pop(run.name, None)
            if row is not None and row.run == run.number:
                self._update_run(run, row, view, now)
                continue
            if row is not None:
                row_by_name[row.task] = row
            if (run.name, run.number) in completed:
                continue
            if report.ended_complete:
                self._reconcile_missing(run, view, request, now)
        view.untracked_runs = {row.task: row.run for row in row_by_name.values()}

    def _update_run(
        self, run: Run, row: RunningTask, view: MinionView, now: float
    ) -> None:
        if run.state is RunState.ADOPTED:
            self._take_over_lease(run, view)
        if run.state is not RunState.RUNNING:
            run.state = RunState.RUNNING
            run.confirmed_at = now
            run.progressed_at = now
        run.incarnation = view.incarnation
        run.reported = True
        if row.percent > run.percent:
            run.progressed_at = now
        run.percent = row.percent
        run.measured = row.measured
        run.at_work = row.percent >= 100
        run.maybe_stopped = view.may_be_stopping(run, now, self.times)
        job = self.job_by_id.get(run.task.job_id)
        if job is None:
            return
        job.begun = True
        if job.backoff_by_task and _was_settled(run, now):
            self._forget_backoff(job, run.task)
        if view.faults and _works_since_fault(run, view, now):
            # Long-running tasks at work do not end done, which would show the same.
            view.faults = 0
        if row.checkpoint and run.step.checkpointing:
            job.progress.checkpoints[run.task.within_job] = row.checkpoint
            job.mark_changed(run.task)

    def _set_paces(self, view: MinionView, now: float) -> None:
        if view.listing is None:
            return
        for pace in plan_paces(view.runs.values()):
            run = pace.run
            changed = pace.percent != run.pace
            if not changed and now < run.paced_at + PACE_RETRY_S:
                continue
            run.pace, run.paced_at = pace.percent, now
            self.paces.append(
                PaceOrder(
                    view.minion_id,
                    view.listing.address,
                    str(run.task),
                    run.number,
                    pace.percent,
                    self.authority.epoch,
                    now,
                )
            )
            if changed:
                details: dict[str, object] = {"percent": pace.percent}
                self._record_decision("pace", str(run.task), view.minion_id, details)

    def _take_over_lease(self, run: Run, view: MinionView) -> None:
        """Record that this owner renews the run's lease from now on."""
        job_id = run.task.job_id
        job = self.job_by_id.get(job_id) or self._terminal_job_by_id.get(job_id)
        if job is None:
            return
        self._record_placement(job, run)
        view.grants_after_batch = self._next_batch

    def _reconcile_missing(
        self, run: Run, view: MinionView, request: PollRequest, now: float
    ) -> None:
        """Reconcile a run that a minion lists neither as running nor as completed."""
        if run.state is RunState.ADOPTED:
            # The minion knows this owner's fencing token and refuses a former owner's
            # orders, so the run cannot start any more.
            self._release_run(run, now, "not on the minion")
        elif (
            run.state is RunState.DOUBTFUL
            and run.unanswered_at is not None
            and request.sent_at > run.unanswered_at
        ):
            # The start may still take effect, unless a stop comes before.
            view.request_stop(run)
        elif (
            run.state is RunState.RUNNING
            and run.confirmed_at is not None
            and request.sent_at > run.confirmed_at
        ):
            self._release_run(run, now, "missing without a completion")

    def _release_lapsed_runs(self, now: float) -> None:
        confirmed_at = self.authority.confirmed_at
        for view in self.view_by_id.values():
            if view.responsive or not view.runs:
                continue
            for run in list(view.runs.values()):
                lapsed = view.lapsed_at(run, self.times)
                # A successor may have adopted the run, unless a read of the log after
                # the lapse showed no newer owner.
                if now > lapsed and confirmed_at > lapsed:
                    self._release_run(run, now, "lease lapsed")


def _works_since_fault(run: Run, view: MinionView, now: float) -> bool:
    """Return whether a long-running task that started after a fault is at work."""
    own = run.foreign_until is None and run.since >= view.last_fault_at
    return own and run.step.lasting and _was_settled(run, now)


def _was_settled(run: Run, now: float) -> bool:
    """Return whether a run lasted long enough to have been at work.

    How long a former owner's run lasted is not known; it may have been for days.
    """
    return run.foreign_until is not None or now >= run.since + SETTLED_RUN_S
