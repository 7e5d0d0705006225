"""What the answers of minions say about runs, and when a run is surely over."""

from __future__ import annotations

from collections.abc import Iterable

from geraniumshore_scheduler.internal.advice import StepKey
from geraniumshore_scheduler.internal.minion_view import HoldRequest, MinionView
from geraniumshore_scheduler.internal.model import (
    EndedRun,
    MinionReport,
    RunningTask,
    TaskKey,
)
from geraniumshore_scheduler.internal.orders import PaceOrder, StartOutcome, StopOrder
from geraniumshore_scheduler.internal.pacing import FULL_PACE, plan_paces
from geraniumshore_scheduler.internal.records import JobState
from geraniumshore_scheduler.internal.run_registry import AVOID_S, RunBook
from geraniumshore_scheduler.internal.runs import OpenJob, Run, RunState
from geraniumshore_scheduler.internal.unresponsive import SilentFor

__all__ = ["Settlement"]

# A task that could not be started waits this long.
RETRY_S = 0.2
# A look waits this long for the ends of the one before to be recorded, which takes some
# 30 ms.
RECORDING_S = 0.3
# A minion that is silent for longer is written down for the next owner.
SILENCE_S = 1.0
# A look waits this long for an end.
LOOK_WAIT_MS = 1000


class Settlement(RunBook):
    """Takes in the answers of minions.

    A run is given up only where it certainly is not and will not be on its minion: the
    minion said so, or its lease has lapsed by any clock.
    """

    def is_recording(self, minion_id: str, now: float) -> bool:
        """Tell whether a look had better wait for the ends of the one before.

        Until they are in the log a look can acknowledge nothing and returns at once. A
        store that takes its time must not keep leases from being renewed.
        """
        view = self.view_by_id.get(minion_id)
        return (
            view is not None
            and view.reached
            and bool(view.unacked)
            and view.ends_since is not None
            and now < view.ends_since + RECORDING_S
        )

    def hold_request(self, minion_id: str, now: float) -> HoldRequest | None:
        """Return the next look at a minion; None where there is none to be made.

        After an unanswered lease only looks are sent, so that what may still be carried
        out late stays bounded.
        """
        view = self.view_by_id.get(minion_id)
        if view is None or view.listing is None:
            return None
        until_ms = None
        known = view.life is not None and view.reached
        recorded = view.grants_after_batch <= self._durable_batch
        if known and recorded and view.unanswered_grant_at is None:
            until_ms = view.lease_until_ms(now, self.times)
            view.granted_at = now
        wait_ms = LOOK_WAIT_MS if until_ms is not None and not view.unacked else 0
        return HoldRequest(
            minion_id,
            view.listing.address,
            self.authority.epoch,
            view.acked_upto,
            until_ms,
            wait_ms,
            now,
        )

    def on_report(self, asked: HoldRequest, report: MinionReport, now: float) -> None:
        """Take in a minion's answer to a look."""
        view = self.view_by_id.get(asked.minion_id)
        if view is None:
            return
        same_life = view.life == report.life
        if view.life is not None and report.life < view.life:
            return
        accepted = view.accepts(now)
        if view.minion_id in self._silences:
            # The log says that it gets no leases: that must be taken back first.
            self._silences.forget(view.minion_id)
            self._record_silences(now)
            view.grants_after_batch = self._next_batch
        view.note_answer(same_life, self.times)
        view.answered_since = min(view.answered_since, now)
        if not same_life:
            self._begin_life(view, report.life, now)
        view.clock_ms, view.clock_at = report.clock_ms, now
        view.remaining_ms = report.remaining_ms
        self._take_ends(view, report.ended, now)
        self._take_running(view, asked, report.running, report.ended, now)
        self._set_paces(view)
        if not accepted and view.accepts(now):
            self._note_room(view)

    def on_silence(self, asked: HoldRequest, now: float) -> None:
        """Note that a minion did not answer a look; the wait for it ends now."""
        view = self.view_by_id.get(asked.minion_id)
        if view is None:
            return
        if asked.until_ms is not None:
            view.note_unanswered_grant(asked.sent_at)
        if view.reached:
            view.reached = False
            self._decide("minion silent", "", view.minion_id, {"runs": len(view.runs)})
        if view.silent_since is None:
            view.silent_since = asked.sent_at
        self._note_silence(view, now)

    def _note_silence(self, view: MinionView, now: float) -> None:
        """Write down a silent minion's last lease."""
        assert view.silent_since is not None
        if now < view.silent_since + SILENCE_S or not view.runs:
            return
        last_grants: dict[SilentFor, float] = {}
        if view.granted_at is not None:
            own = SilentFor(view.minion_id, self.authority.epoch)
            last_grants[own] = view.granted_at
        for run in view.runs.values():
            # Former owners, whose ends a process that starts later does not know.
            if run.state is RunState.ADOPTED and run.foreign_until is not None:
                former = SilentFor(view.minion_id, run.foreign_epoch or 0)
                last_grants[former] = run.foreign_until
        if self._silences.note(last_grants):
            self._record_silences(now)

    def on_gone(self, minion_id: str, now: float) -> None:
        """Note that another minion answers at the address: this life is over."""
        view = self.view_by_id.get(minion_id)
        if view is None:
            return
        for run in list(view.runs.values()):
            self._free(run, now, "minion replaced")
        life = view.life if view.life is not None else 0
        if view.listing is not None:
            life = max(life, view.listing.life)
        self._gone_life_by_id[minion_id] = life
        del self.view_by_id[minion_id]

    def on_start_sent(self, run: Run, now: float) -> int | None:
        """Return the lease to send with a start; None where it must not be sent."""
        view = self.view_by_id.get(run.minion_id)
        if view is None or view.runs.get(run.task) is not run:
            return None
        recorded = view.grants_after_batch <= self._durable_batch
        if (
            run.stop_wanted
            or not view.accepts(now)
            or view.life != run.life
            or not recorded
        ):
            self.on_start_not_sent(run, now)
            return None
        run.state = RunState.SENT
        run.since = now
        view.granted_at = now
        return view.lease_until_ms(now, self.times)

    def on_start_not_sent(self, run: Run, now: float) -> None:
        """Note that a start was not sent and will not be: its task may go elsewhere."""
        view = self.view_by_id.get(run.minion_id)
        if view is not None and view.runs.get(run.task) is run:
            self._free(run, now, "not sent")

    def on_start_answer(self, run: Run, outcome: str, now: float) -> None:
        """Take in how a start was answered."""
        view = self.view_by_id.get(run.minion_id)
        if view is None or view.runs.get(run.task) is not run:
            return
        if outcome == StartOutcome.NO_ANSWER:
            run.state = RunState.DOUBTFUL
            view.stopping = True
            view.note_unanswered_grant(run.since)
            view.avoid_until = max(view.avoid_until, now + AVOID_S)
            self._decide("start unanswered", str(run.task), run.minion_id)
            return
        if outcome == StartOutcome.STARTED:
            run.state = RunState.RUNNING
            run.confirmed_at = now
            run.progressed_at = now
            return
        if outcome in (StartOutcome.UNHEALTHY, StartOutcome.REFUSED):
            self._blame(view, now)
        elif outcome == StartOutcome.NO_TICKET:
            self._advice.drop_ticket(StepKey(*run.task[:3]), run.minion_id)
        elif outcome == StartOutcome.NO_ROOM:
            view.avoid_until = max(view.avoid_until, now + RETRY_S)
        job = self.job_by_id.get(run.task.job_id)
        if job is not None:
            job.retry_at[run.task] = now + RETRY_S
        self._free(run, now, f"start refused: {outcome}")

    def on_stop_answer(self, order: StopOrder, now: float) -> None:
        """Take in that a minion accepted a stop; a run that is not there never will be.

        The run counts as there until a later look shows that it is not.
        """
        view = self.view_by_id.get(order.minion_id)
        if view is None:
            return
        run = self._run_named(view, order.task, order.run)
        if run is not None and run.state is RunState.DOUBTFUL:
            run.state = RunState.RUNNING
            run.confirmed_at = now
            view.want_stop(run)

    def on_pace_unanswered(self, order: PaceOrder) -> None:
        """Take a run as working at full pace, so that the next look sets it again."""
        view = self.view_by_id.get(order.minion_id)
        run = None if view is None else self._run_named(view, order.task, order.run)
        if run is not None:
            run.pace = FULL_PACE

    def _take_ends(
        self, view: MinionView, ended: Iterable[EndedRun], now: float
    ) -> None:
        for end in sorted(ended, key=lambda end: end.number):
            if end.number <= view.seen_end:
                continue
            view.seen_end = end.number
            run = self._run_named(view, end.task, end.run)
            if run is not None:
                self._end(view, run, end, now)
            elif end.how == "done":
                self._credit(end, view, now)
            view.unacked.append((end.number, self._next_batch))
            view.ends_since = now

    def _credit(self, end: EndedRun, view: MinionView, now: float) -> None:
        """Take in that a run succeeded which was given up as lost."""
        job = self.job_by_id.get(end.task.partition(".")[0])
        if job is None:
            return
        try:
            task = TaskKey.parse(end.task)
        except ValueError:
            # Only a run of ours has a name of that form.
            return
        if not job.has_task(task) or job.progress.is_done(task):
            return
        if job.job.steps[task.step].gang:
            return
        self._decide("late success", end.task, view.minion_id, {"run": end.run})
        other = job.runs.get(task)
        if other is not None:
            self._want_stop(other)
        self._succeed(job, task, now)

    def _end(self, view: MinionView, run: Run, end: EndedRun, now: float) -> None:
        job = self._detach(run)
        if end.how != "done":
            self._decide("run ended", end.task, view.minion_id, {"how": end.how})
        if job is None:
            return
        self._dirty[job.job.job_id] = None
        if end.how == "done":
            view.faults = 0
            self._succeed(job, run.task, now)
            return
        if end.checkpoint and run.step.checkpointing:
            job.progress.checkpoints[run.task.within_job] = end.checkpoint
        if end.how == "failed" and not run.step.lasting:
            self._count_failure(job, run, view, now)
        still_open = job.job.job_id in self.job_by_id
        if still_open and not job.progress.is_done(run.task):
            job.waiting[run.task] = None
            self._changed_services.add(job.service)

    def _count_failure(
        self, job: OpenJob, run: Run, view: MinionView, now: float
    ) -> None:
        # The members of a gang fail together.
        counted = run.task._replace(position=0) if run.step.gang else run.task
        name = counted.within_job
        failures = job.progress.failures.get(name, 0) + 1
        job.progress.failures[name] = failures
        # A task that fails everywhere says nothing about the minions.
        if not job.failed_on:
            self._blame(view, now)
        job.failed_on.setdefault(run.task, set()).add(view.minion_id)
        if failures >= job.max_attempts:
            self._finish(job, JobState.FAILED, now)

    def _take_running(
        self,
        view: MinionView,
        asked: HoldRequest,
        running: Iterable[RunningTask],
        ended: Iterable[EndedRun],
        now: float,
    ) -> None:
        row_by_name = {row.task: row for row in running}
        ended_names = {(end.task, end.run) for end in ended}
        for run in list(view.runs.values()):
            row = row_by_name.pop(run.name, None)
            if row is not None and row.run == run.number:
                self._update(run, row, view, now)
                continue
            if row is not None:
                row_by_name[row.task] = row
            if (run.name, run.number) in ended_names:
                continue
            self._settle_missing(run, asked, now)
        view.strays = {row.task: row.run for row in row_by_name.values()}

    def _update(self, run: Run, row: RunningTask, view: MinionView, now: float) -> None:
        if run.state is RunState.ADOPTED:
            self._take_on(run, view)
        if run.state is not RunState.RUNNING:
            run.state = RunState.RUNNING
            run.confirmed_at = now
            run.progressed_at = now
        run.life = view.life
        if row.percent > run.percent:
            run.progressed_at = now
        run.percent = row.percent
        run.measured = row.measured
        run.at_work = row.percent >= 100
        run.maybe_stopped = view.may_be_stopping(run, now, self.times)
        job = self.job_by_id.get(run.task.job_id)
        if job is not None and row.checkpoint and run.step.checkpointing:
            job.progress.checkpoints[run.task.within_job] = row.checkpoint

    def _set_paces(self, view: MinionView) -> None:
        if view.listing is None:
            return
        for pace in plan_paces(view.runs.values()):
            run = pace.run
            run.pace = pace.percent
            self.paces.append(
                PaceOrder(
                    view.minion_id,
                    view.listing.address,
                    str(run.task),
                    run.number,
                    pace.percent,
                    self.authority.epoch,
                )
            )
            self._decide(
                "pace", str(run.task), view.minion_id, {"percent": pace.percent}
            )

    def _take_on(self, run: Run, view: MinionView) -> None:
        """Write down that this owner renews the run's lease from now on."""
        job = self.job_by_id.get(run.task.job_id)
        if job is None:
            return
        self._write_down(job, run)
        view.grants_after_batch = self._next_batch

    def _settle_missing(self, run: Run, asked: HoldRequest, now: float) -> None:
        """Decide on a run that the minion neither runs nor lists as ended."""
        if run.state is RunState.ADOPTED:
            # The former owner's orders are refused since this owner's fence is known.
            self._free(run, now, "not on the minion")
        elif (
            run.state is RunState.RUNNING
            and run.confirmed_at is not None
            and asked.sent_at > run.confirmed_at
        ):
            self._free(run, now, "gone without an end")

    def _free_lapsed(self, now: float) -> None:
        confirmed_at = self.authority.confirmed_at
        for view in self.view_by_id.values():
            if view.reached or not view.runs:
                continue
            for run in list(view.runs.values()):
                lapsed = view.lapsed_at(run, self.times)
                # A successor may have adopted the run unless a later join came back.
                if now > lapsed and confirmed_at > lapsed:
                    self._free(run, now, "lease lapsed")
