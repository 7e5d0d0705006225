"""The jobs, runs and minions of a schedule, and the changes to be logged."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterator, Mapping

from geraniumshore_scheduler.internal.advice import AdviceRegistry
from geraniumshore_scheduler.internal.answer_loss import AnswerLoss
from geraniumshore_scheduler.internal.authority import Authority, OwnershipTimes
from geraniumshore_scheduler.internal.caps import CapUse
from geraniumshore_scheduler.internal.duration_learning import DurationLearning
from geraniumshore_scheduler.internal.interference_monitor import InterferenceMonitor
from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import (
    Configuration,
    Job,
    Queue,
    Resources,
    Step,
    TaskKey,
)
from geraniumshore_scheduler.internal.ordering import ByObjective, JobOrder
from geraniumshore_scheduler.internal.orders import (
    Decision,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from geraniumshore_scheduler.internal.pool_meter import Arrivals
from geraniumshore_scheduler.internal.records import (
    UNRESPONSIVE_KEY,
    EvacuationsRecord,
    JobState,
    Placement,
    encode_unresponsive,
)
from geraniumshore_scheduler.internal.relocation import SufferingTasks
from geraniumshore_scheduler.internal.restart_backoff import (
    MAX_RESTART_PAUSE_S,
    RESTART_ROUND_S,
    RESTARTS_PER_ROUND,
)
from geraniumshore_scheduler.internal.run_ages import RunAges
from geraniumshore_scheduler.internal.runs import OpenJob, Run, RunState
from geraniumshore_scheduler.internal.team_shares import TeamShares
from geraniumshore_scheduler.internal.unresponsive import (
    MinionEpoch,
    UnresponsiveMinions,
)

__all__ = ["AVOID_S", "MAX_CAUSE_LENGTH", "RunRegistry"]

MS_PER_S = 1000.0
# Each epoch has its own range of run numbers, so that numbers rise across owners.
RUN_NUMBERS_PER_EPOCH = 1_000_000
# A minion that refused, failed or left unanswered some work gets no new work for this
# long. The time doubles with each further failure, up to MAX_AVOID_S.
AVOID_S = 0.5
MAX_AVOID_S = 8.0
# Consecutive failures, of different jobs, after which a minion is held at fault.
FAULTS_TO_AVOID = 2
# A record with many faults names each of them.
MAX_CAUSE_LENGTH = 200


class RunRegistry:
    """The state of an owner's schedule and its transitions.

    All times are from one monotonic clock that also counts while the machine is
    suspended.
    """

    def __init__(
        self,
        authority: Authority,
        times: OwnershipTimes,
        order: JobOrder | None = None,
        opened_at_by_epoch: Mapping[int, float] | None = None,
        lease_by_epoch: Mapping[int, float | None] | None = None,
        run_ages: RunAges | None = None,
    ) -> None:
        self.authority = authority
        self.times = times
        self.configuration: Configuration | None = None
        self.job_by_id: dict[str, OpenJob] = {}
        self.view_by_id: dict[str, MinionView] = {}
        self.decisions: list[Decision] = []
        self.stops: list[StopOrder] = []
        self.paces: list[PaceOrder] = []
        self._order = order or ByObjective()
        self._opened_at_by_epoch = opened_at_by_epoch or {}
        self._lease_by_epoch = lease_by_epoch or {}
        self._run_ages = run_ages or RunAges()
        self._unresponsive = UnresponsiveMinions({})
        self._unresponsive_recorded_at = float("-inf")
        self._used_services: set[str] = set()
        # Jobs that former owners placed and that are not read yet.
        self._unread_jobs: set[str] = set()
        # Timed jobs with occurrences that are not opened yet.
        self._recurring: dict[str, OpenJob] = {}
        # Services with a change since the last placement that may let a task start.
        self._changed_services: set[str] = set()
        # Services with tasks that wait because their team is at its cap.
        self._services_by_capped_team: dict[str, set[str]] = {}
        self._placed_all_at = float("-inf")
        self._stragglers_checked_at = float("-inf")
        # Data centres in which nothing starts, and what is recorded of them.
        self._evacuated: frozenset[str] = frozenset()
        self._recorded_evacuations = EvacuationsRecord()
        self._steps_without_room: dict[str, list[Step]] = {}
        self._cold_minions: frozenset[str] = frozenset()
        self._moves_checked_at = float("-inf")
        # Whether starts wait until the operators' requests have been read.
        self._starts_held = False
        self._arrivals = Arrivals()
        self._answer_loss = AnswerLoss()
        self._learning = DurationLearning()
        self._shares = TeamShares()
        self._replaced_incarnation_by_id: dict[str, int] = {}
        self._team_use: dict[str, Resources] = {}
        # Only teams that have a cap.
        self._limit_by_team: dict[str, Resources] = {}
        self._dirty: dict[str, None] = {}
        self._advice = AdviceRegistry()
        self._interference = InterferenceMonitor()
        self._suffering = SufferingTasks()
        self._moved_at_by_service: dict[str, float] = {}
        self._suffering_checked_at = float("-inf")
        self._records: dict[str, bytes] = {}
        self._terminal_job_by_id: dict[str, OpenJob] = {}
        self._starts: list[StartOrder] = []
        self._restart_causes: Counter[str] = Counter()
        self._restart_phase_by_team: dict[str | None, int] = {}
        self._rng = random.Random(authority.epoch)
        self._next_batch = 1
        self._durable_batch = 0
        self._next_run = authority.epoch * RUN_NUMBERS_PER_EPOCH + 1

    def _is_named(self, service: str) -> bool:
        """Return whether the configuration, if there is one, has a service."""
        return (
            self.configuration is None or service in self.configuration.service_by_name
        )

    def _apply_queue_settings(self, job: OpenJob) -> None:
        queue = None
        if self.configuration is not None:
            queue = self.configuration.queue_by_name.get(job.job.queue)
        if queue is not None:
            self._apply_settings(job, queue)

    @staticmethod
    def _apply_settings(job: OpenJob, settings: Queue | Job) -> None:
        job.service = settings.service
        job.priority = settings.priority
        job.max_attempts = settings.max_attempts
        job.needs_advice = settings.needs_advice
        job.objective_s = (
            settings.stretch * job.declared_work_left_s()
            + settings.target_latency_ms / MS_PER_S
        )

    def _adopt(self, job: OpenJob, now: float) -> None:
        for name, places in job.progress.placed.items():
            task = TaskKey.parse(f"{job.job.job_id}.{name}")
            if not job.has_task(task) or job.progress.is_done(task):
                continue
            for place in places:
                run = Run(
                    task,
                    place.run,
                    place.minion_id,
                    job.job.steps[task.step],
                    job.job.team,
                    RunState.ADOPTED,
                    now,
                    pace=None,
                    foreign_until=self._foreign_until(place),
                    foreign_epoch=place.epoch,
                    foreign_lease=self._lease_by_epoch.get(place.epoch),
                    foreign_unheard_until=self._foreign_unheard_until(place),
                )
                self._attach(job, run)
                view = self.view_by_id[run.minion_id]
                if view.untracked_runs.get(run.name) == run.number:
                    del view.untracked_runs[run.name]

    def _is_unread(self, task: str) -> bool:
        """Return whether a task's job may be in the log without having been read."""
        return bool(self._unread_jobs) and task.partition(".")[0] in self._unread_jobs

    def _foreign_until(self, place: Placement) -> float:
        """Return until when the last owner may have renewed a run's lease."""
        later = [at for e, at in self._opened_at_by_epoch.items() if e > place.epoch]
        until = (
            min(later, default=self.authority.taken_at)
            + self.times.former_owner_overlap
        )
        minion_epoch = MinionEpoch(place.minion_id, place.epoch)
        last = self._unresponsive.last_grant(minion_epoch)
        return until if last is None else min(until, last)

    def _foreign_unheard_until(self, place: Placement) -> float:
        """Return until when a run's leases may have been the longest.

        A start that reaches a minion just after it restarted under its ID carries a
        time on the clock of the former incarnation, far in the future of the new one.
        Its owner may have ended before it heard of the restart.
        """
        return self._run_ages.recorded_by(place.run) + self.times.unheard

    def _record_unresponsive(self, now: float) -> None:
        """Add to the next batch which minions get no leases from this owner."""
        relevant = {m for m, view in self.view_by_id.items() if view.runs}
        last_grants = self._unresponsive.to_record(relevant)
        self._unresponsive_recorded_at = now
        self._records[UNRESPONSIVE_KEY] = encode_unresponsive(last_grants, now)

    def _attach(self, job: OpenJob, run: Run) -> None:
        job.runs[run.task] = run
        job.waiting.discard(run.task)
        view = self.view_by_id.get(run.minion_id)
        if view is None:
            view = self.view_by_id[run.minion_id] = MinionView(run.minion_id)
        view.attach(run)
        if run.team is not None:
            use = self._team_use.get(run.team, Resources())
            self._team_use[run.team] = use.plus(run.step.size)

    def _record_placement(self, job: OpenJob, run: Run) -> None:
        """Record that this owner runs a task, or is about to, on a minion."""
        job.progress.placed[run.task.within_job] = [
            Placement(run.minion_id, run.number, self.authority.epoch)
        ]
        self._mark_changed(job, run.task)

    def _mark_changed(self, job: OpenJob, task: TaskKey) -> None:
        """Let the next batch have a record of a task's progress."""
        job.mark_changed(task)
        self._dirty[job.job.job_id] = None

    def estimate_s(self, run: Run) -> float:
        """Return the estimated duration of a run in seconds."""
        job_id = run.task.job_id
        job = self.job_by_id.get(job_id) or self._terminal_job_by_id.get(job_id)
        return self._learning.estimate_s(job.job.queue if job else None, run)

    def _detach(self, run: Run) -> OpenJob | None:
        view = self.view_by_id.get(run.minion_id)
        if view is not None:
            view.detach(run)
            self._mark_capacity_changed(view)
        if run.team is not None:
            blocked = self._services_by_capped_team.pop(run.team, None)
            self._changed_services.update(blocked or ())
            use = self._team_use.get(run.team, Resources())
            self._team_use[run.team] = use.minus(run.step.size)
        job_id = run.task.job_id
        job = self.job_by_id.get(job_id) or self._terminal_job_by_id.get(job_id)
        if job is None:
            return None
        if job.runs.get(run.task) is run:
            del job.runs[run.task]
            job.progress.placed.pop(run.task.within_job, None)
        if job_id in self._terminal_job_by_id:
            # The next owner must not count the run.
            self._mark_changed(job, run.task)
            return None
        return job

    def _release_run(self, run: Run, now: float, why: str) -> None:
        """Drop a run that certainly is not and will not be on its minion."""
        self._record_decision("run freed", str(run.task), run.minion_id, {"why": why})
        job = self._detach(run)
        if job is None:
            return
        self._mark_changed(job, run.task)
        if run.task not in job.runs and not job.progress.is_done(run.task):
            job.waiting.add(run.task)
            self._changed_services.add(job.service)
            self._restart_causes[why] += 1

    def _forget_backoff(self, job: OpenJob, task: TaskKey) -> None:
        """Let a task's next short run count as its first."""
        backoff = job.backoff_by_task.pop(job.shared_key(task), None)
        if backoff is not None and backoff.growing:
            details: dict[str, object] = {"why": backoff.cause}
            self._record_decision("restarts recovered", str(task), details=details)

    def _restart_phase_s(self, run: Run) -> float:
        """Return when the restart rounds of a run's task begin.

        Teams, and the parts of a large step, have different ones, so that their starts
        do not delay those of other jobs. All are multiples of the shortest interval, so
        that any number of tasks has few times in all.
        """
        phases = round(MAX_RESTART_PAUSE_S / RESTART_ROUND_S)
        own = self._restart_phase_by_team.setdefault(
            run.team, self._rng.randrange(phases)
        )
        part = run.task.position // RESTARTS_PER_ROUND
        return (own + part) % phases * RESTART_ROUND_S

    def _end_pauses(self, service: str) -> None:
        """Let tasks that wait in a pause start on a minion that has changed."""
        for job in self.job_by_id.values():
            if job.backoff_by_task and job.service == service:
                job.end_pauses()

    def _mark_capacity_changed(self, view: MinionView) -> None:
        """Mark the minion's service as one where waiting tasks may fit now."""
        if view.listing is not None:
            self._changed_services.add(view.listing.service)

    def _begin_incarnation(
        self, view: MinionView, incarnation: int, now: float
    ) -> None:
        """Reset a minion's view; runs of its former incarnation have ended.

        Starts name the minion but not the incarnation. One that was sent since the last
        report may have reached the new one, so its run waits for the next report.
        """
        first = view.incarnation is None
        view.incarnation = incarnation
        view.last_seen_completion = view.acked_upto = 0
        view.unacked.clear()
        view.deferred.clear()
        view.untracked_runs.clear()
        view.faults = 0
        if view.listing is not None:
            self._end_pauses(view.listing.service)
        if first:
            # The first report reconciles the runs that former owners recorded.
            return
        view.responsive = False
        for run in list(view.runs.values()):
            if run.incarnation == incarnation:
                continue
            if run.reported or run.state is RunState.PLANNED:
                self._release_run(run, now, "minion restarted")
                continue
            run.incarnation = incarnation
            if run.state is RunState.RUNNING:
                run.confirmed_at = now

    def _find_run(self, view: MinionView, task: str, number: int) -> Run | None:
        for run in view.runs.values():
            if run.number == number and run.name == task:
                return run
        return None

    def _mark_succeeded(self, job: OpenJob, task: TaskKey, now: float) -> None:
        step = job.job.steps[task.step]
        # A gang is done as soon as one of its members is.
        members = range(step.count) if step.gang else (task.position,)
        for position in members:
            member = task._replace(position=position)
            job.progress.mark_done(member)
            self._mark_changed(job, member)
            job.waiting.discard(member)
        self._forget_backoff(job, task)
        job.open_steps(task.occurrence)
        job.complete_occurrences()
        self._changed_services.add(job.service)
        if job.finished():
            self._finish(job, JobState.DONE, now)

    def _finish(self, job: OpenJob, state: JobState, now: float) -> None:
        job.progress.state = state
        job.waiting.clear()
        job_id = job.job.job_id
        took_s = now - job.arrived_at
        self._record_decision(
            f"job {state.value}",
            job_id,
            details={
                "took_s": round(took_s, 3),
                "objective_s": round(job.objective_s, 3),
                "late": took_s > job.objective_s,
                "first_start_after_s": job.first_start_after_s,
                "failures": dict(job.progress.failures) or None,
                "attempts_allowed": job.max_attempts,
            },
        )
        del self.job_by_id[job_id]
        self._advice.forget_job(job_id)
        self._dirty[job_id] = None
        self._stop_runs_of_ended(job)

    def _stop_runs_of_ended(self, job: OpenJob) -> None:
        """Keep an ended job until its runs have ended and its record is written."""
        job_id = job.job.job_id
        if job.runs or job_id in self._dirty:
            self._terminal_job_by_id[job_id] = job
        for run in job.runs.values():
            self._request_stop(run)

    def _set_aside(self, job_id: str, error: Exception) -> None:
        """Start no more tasks of a job for which scheduling raised an error.

        Its runs stay registered, and other jobs are scheduled as usual, by this owner
        and by later ones.
        """
        job = self.job_by_id.get(job_id)
        if job is not None:
            job.waiting.clear()
            job.set_aside = True
        cause = f"{type(error).__name__}: {error}"
        self._record_decision("job set aside", job_id, details={"cause": cause})

    def _guard_learning(self, call: Callable[[], None]) -> None:
        """Call what learns from runs or uses it; only log an error in it.

        The schedule does not depend on it, and the next owner would fail in the same
        way.
        """
        try:
            call()
        except Exception as error:
            cause = f"{type(error).__name__}: {error}"
            details: dict[str, object] = {"cause": cause[:MAX_CAUSE_LENGTH]}
            self._record_decision("learning failed", "", details=details)

    def _request_stop(self, run: Run) -> None:
        run.stop_wanted = True
        view = self.view_by_id.get(run.minion_id)
        if view is not None:
            view.request_stop(run)

    def _attribute_failure(self, view: MinionView, now: float) -> None:
        view.faults += 1
        view.last_fault_at = now
        if view.faults >= FAULTS_TO_AVOID:
            backoff_factor = 2 ** (view.faults - FAULTS_TO_AVOID)
            view.avoid_until = now + min(MAX_AVOID_S, AVOID_S * backoff_factor)
            self._record_decision(
                "minion avoided", "", view.minion_id, {"faults": view.faults}
            )

    def _cap_use(self, team: str | None) -> CapUse | None:
        """Return the cap and the use of a team; None if it has no cap."""
        limit = self._limit_by_team.get(team or "")
        if limit is None:
            return None
        return CapUse(limit, self._team_use.get(team or "", Resources()))

    def _cap_uses(self) -> Iterator[tuple[str, CapUse]]:
        """Yield the teams that have a cap."""
        for team in self._limit_by_team:
            cap_use = self._cap_use(team)
            if cap_use is not None:
                yield team, cap_use

    def _fits_cap(self, team: str | None, size: Resources, count: int = 1) -> bool:
        """Return whether a team may start tasks of a size together, by its cap."""
        cap_use = self._cap_use(team)
        if cap_use is None:
            return True
        # Runs of unread jobs may be the team's.
        return not self._unread_jobs and cap_use.allows(size, count)

    def _within_cap(self, job: OpenJob, size: Resources, count: int = 1) -> bool:
        if self._fits_cap(job.job.team, size, count):
            return True
        if not self._unread_jobs:
            team = job.job.team or ""
            self._services_by_capped_team.setdefault(team, set()).add(job.service)
        return False

    def _record_decision(
        self,
        event: str,
        task: str,
        minion_id: str = "",
        details: dict[str, object] | None = None,
    ) -> None:
        self.decisions.append(Decision(event, task, minion_id, details or {}))
