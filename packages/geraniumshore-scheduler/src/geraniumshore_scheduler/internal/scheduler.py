"""The owner's decisions: what runs where, what is recorded first, what is settled.

Nothing is started before the log says where, and nothing is acknowledged before the
log says how it ended. So a later owner knows all places where a task may run.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from geraniumshore_scheduler.internal.advice import (
    AdviceBook,
    AdviceRequest,
    StepKey,
)
from geraniumshore_scheduler.internal.authority import Authority, OwnershipTimes
from geraniumshore_scheduler.internal.job_book import BookedJob
from geraniumshore_scheduler.internal.minion_view import HoldRequest, MinionView
from geraniumshore_scheduler.internal.model import (
    Configuration,
    EndedRun,
    MinionListing,
    MinionReport,
    Resources,
    RunningTask,
    TaskKey,
)
from geraniumshore_scheduler.internal.ordering import ByObjective, JobOrder
from geraniumshore_scheduler.internal.pacing import FULL_PACE, plan_paces
from geraniumshore_scheduler.internal.pool_meter import Arrivals, PoolMeter
from geraniumshore_scheduler.internal.pools import PoolLoad
from geraniumshore_scheduler.internal.records import (
    JobState,
    Placed,
    RecordKind,
    encode_progress,
    job_key,
)
from geraniumshore_scheduler.internal.runs import OpenJob, Run, RunState
from geraniumshore_scheduler.internal.spread import choose_minion
from geraniumshore_scheduler.internal.stragglers import is_straggler

__all__ = [
    "Batch",
    "Decision",
    "PaceOrder",
    "Scheduler",
    "StartOrder",
    "StartOutcome",
    "StopOrder",
]

MS = 1000.0
# Runs are numbered by epoch and count, so that they rise from owner to owner.
RUNS_PER_EPOCH = 1_000_000
# A stop that shows no effect is sent again after this time; a few round trips.
STOP_AGAIN_S = 0.4
# A minion that refused or failed work is left alone for this time, doubled each time.
AVOID_S = 0.5
LONGEST_AVOID_S = 8.0
# Failures in a row, of different jobs, that show a minion to be at fault.
FAULTS_TO_AVOID = 2
# A minion on which a task stands still gets no work for this time.
STRAGGLER_AVOID_S = 3.0
# A task that could not be started waits this long.
RETRY_S = 0.2
# A draining minion's tasks are stopped when this much time is left, for their
# checkpoints and ends to be read.
EVACUATE_MS = 600
# A look waits this long for an end.
LOOK_WAIT_MS = 1000
# A task that is so far is left to finish on a draining minion.
NEARLY_DONE_PERCENT = 90


@dataclass(frozen=True, slots=True)
class StartOrder:
    """A start to send once the batch that names it is durable."""

    run: Run
    address: str
    spec: str
    checkpoint: str
    fence: int
    ticket: str | None = None


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Lets a run work at a share of its speed, in percent."""

    minion_id: str
    address: str
    task: str
    run: int
    percent: int
    fence: int


@dataclass(frozen=True, slots=True)
class StopOrder:
    """A stop to send. ``task`` is the name that the minion uses."""

    minion_id: str
    address: str
    task: str
    run: int
    fence: int


class StartOutcome:
    """How a start was answered."""

    STARTED = "started"
    NO_ANSWER = "no answer"
    NO_ROOM = "room"
    OLD_RUN = "old"
    LATE = "late"
    UNHEALTHY = "unhealthy"
    NO_TICKET = "ticket"
    REFUSED = "refused"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Batch:
    """Records to append in one call, and the starts that they allow."""

    number: int
    value_by_key: dict[str, bytes]
    starts: tuple[StartOrder, ...]


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision to log: what was decided on which task, and the inputs."""

    event: str
    task: str
    minion_id: str = ""
    details: dict[str, object] = field(default_factory=dict)


class Scheduler:
    """The state machine of one owner's epoch. Not safe for use by several threads.

    All times are those of one monotonic clock that counts suspensions too.
    """

    def __init__(
        self,
        authority: Authority,
        times: OwnershipTimes,
        order: JobOrder | None = None,
        opened_at_by_epoch: Mapping[int, float] | None = None,
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
        self._used_services: set[str] = set()
        self._arrivals = Arrivals()
        self._gone_life_by_id: dict[str, int] = {}
        self._team_use: dict[str, Resources] = {}
        self._dirty: dict[str, None] = {}
        self._advice = AdviceBook()
        self._records: dict[str, bytes] = {}
        self._final: dict[str, OpenJob] = {}
        self._starts: list[StartOrder] = []
        self._next_batch = 1
        self._durable_batch = 0
        self._next_run = authority.epoch * RUNS_PER_EPOCH + 1

    # Inputs: configuration, jobs, the list of minions.

    def set_configuration(self, configuration: Configuration) -> None:
        """Use a newer configuration."""
        self.configuration = configuration
        for job in self.job_by_id.values():
            self._classify(job)

    def add_job(self, booked: BookedJob, now: float) -> None:
        """Take on a job of the log, unless it has ended."""
        job = booked.job
        self._used_services.add(job.service)
        self._arrivals.note(job, booked.accepted_at)
        if job.job_id in self.job_by_id or booked.state.final:
            return
        opened = OpenJob(
            job=job,
            # What is decided here must not be seen before it is in the log.
            progress=booked.progress.copy(),
            arrived_at=min(booked.accepted_at, now),
            service=job.service,
            priority=0,
            objective_s=0.0,
            max_attempts=1,
        )
        self._classify(opened)
        self.job_by_id[job.job_id] = opened
        self._adopt(opened, now)
        for occurrence in range(opened.occurrences):
            if job.occurrences == 0 or self._begun_before(opened, occurrence):
                opened.next_occurrence = max(opened.next_occurrence, occurrence + 1)
                opened.open_steps(occurrence)

    def cancel_job(self, job_id: str) -> None:
        """Stop all runs of a job and start no more."""
        job = self.job_by_id.pop(job_id, None)
        if job is None:
            return
        self._advice.forget_job(job_id)
        self._decide("cancelled", job_id, details={"runs": len(job.runs)})
        self._dirty.pop(job_id, None)
        job.waiting.clear()
        if job.runs:
            self._final[job_id] = job
        for run in job.runs.values():
            run.stop_wanted = True

    def set_listings(self, listing_by_id: dict[str, MinionListing], now: float) -> None:
        """Use a newer list of minions. A missing entry does not mean a dead minion."""
        for minion_id, listing in listing_by_id.items():
            if listing.life <= self._gone_life_by_id.get(minion_id, -1):
                continue
            view = self.view_by_id.setdefault(minion_id, MinionView(minion_id))
            view.listing = listing
            if view.life is not None and listing.life > view.life:
                self._begin_life(view, listing.life, now)
        for minion_id, view in list(self.view_by_id.items()):
            view.unlisted = minion_id not in listing_by_id
            if view.unlisted and not view.runs:
                del self.view_by_id[minion_id]

    # Inputs: answers of minions.

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
        view.note_answer(same_life, now, self.times)
        if not same_life:
            self._begin_life(view, report.life, now)
        view.clock_ms, view.clock_at = report.clock_ms, now
        view.remaining_ms = report.remaining_ms
        self._take_ends(view, report.ended, now)
        self._take_running(view, asked, report.running, report.ended, now)
        self._set_paces(view)

    def on_silence(self, asked: HoldRequest) -> None:
        """Note that a minion did not answer a look."""
        view = self.view_by_id.get(asked.minion_id)
        if view is None:
            return
        if asked.until_ms is not None:
            view.note_unanswered_grant(asked.sent_at)
        if view.reached:
            view.reached = False
            self._decide("minion silent", "", view.minion_id, {"runs": len(view.runs)})

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
        if run.stop_wanted or not view.accepts(now) or view.life != run.life:
            run.state = RunState.PLANNED
            self._free(run, now, "not sent")
            return None
        run.state = RunState.SENT
        run.since = now
        view.granted_at = now
        return view.lease_until_ms(now, self.times)

    def on_start_answer(
        self, run: Run, outcome: str, life: int | None, now: float
    ) -> None:
        """Take in how a start was answered."""
        view = self.view_by_id.get(run.minion_id)
        if view is None or view.runs.get(run.task) is not run:
            return
        if outcome == StartOutcome.NO_ANSWER:
            run.state = RunState.DOUBTFUL
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

    def on_stop_answer(self, order: StopOrder, life: int | None, now: float) -> None:
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
            run.stop_wanted = True

    def on_pace_unanswered(self, order: PaceOrder) -> None:
        """Take a run as working at full pace, so that the next look sets it again."""
        view = self.view_by_id.get(order.minion_id)
        run = None if view is None else self._run_named(view, order.task, order.run)
        if run is not None:
            run.pace = FULL_PACE

    def on_advice(
        self,
        request: AdviceRequest,
        ticket_by_minion: Mapping[str, str],
        valid_s: float,
        asked_at: float,
    ) -> None:
        """Take in which minions may run a step."""
        self._advice.note(request, ticket_by_minion, valid_s, asked_at)

    # Outputs.

    def advice_wanted(self, now: float) -> AdviceRequest | None:
        """Return the next question on a waiting step, the most urgent job's first."""
        jobs = [j for j in self.job_by_id.values() if j.needs_advice and j.waiting]
        jobs.sort(key=lambda job: self._order.rank(job, now))
        for job in jobs:
            views = [
                view
                for view in self.view_by_id.values()
                if view.listing is not None
                and view.listing.service == job.service
                and view.accepts(now)
            ]
            for step in dict.fromkeys(StepKey(*task[:3]) for task in job.waiting):
                request = self._advice.request(step, views, now)
                if request is not None:
                    return request
        return None

    def plan(self, now: float, wall_ms: float) -> Batch | None:
        """Decide what to start and stop now; return what to record first."""
        self._free_lapsed(now)
        self._open_occurrences(wall_ms)
        self._evacuate()
        self._give_up_stragglers(now)
        self._place(now)
        self._send_stops(now)
        values = self._values_to_record()
        if not values:
            self._durable_batch = self._next_batch - 1
            for view in self.view_by_id.values():
                view.release_acks(self._next_batch)
            return None
        batch = Batch(self._next_batch, values, tuple(self._starts))
        self._starts = []
        self._next_batch += 1
        return batch

    def record(self, key: str, value: bytes) -> None:
        """Let the next batch carry one more record."""
        self._records[key] = value

    def on_durable(self, batch: Batch) -> None:
        """Note that a batch is in the log."""
        self._durable_batch = batch.number
        for view in self.view_by_id.values():
            view.release_acks(batch.number)

    def take_stops(self) -> list[StopOrder]:
        """Return the stops to send now."""
        stops, self.stops = self.stops, []
        return stops

    def take_paces(self) -> list[PaceOrder]:
        """Return the paces to set now."""
        paces, self.paces = self.paces, []
        return paces

    def take_decisions(self) -> list[Decision]:
        """Return the decisions since the last call, for the log."""
        decisions, self.decisions = self.decisions, []
        return decisions

    def pool_loads(self, now: float) -> list[PoolLoad]:
        """Return what each pool's tasks ask for and what it has."""
        meter = PoolMeter(self.view_by_id.values(), self.job_by_id.values())
        return [
            meter.load(
                pool, self._arrivals.busy(pool, now), pool in self._used_services, now
            )
            for pool in self._pools()
        ]

    def _pools(self) -> list[str]:
        if self.configuration is None:
            return []
        return [
            service.name
            for service in self.configuration.service_by_name.values()
            if not service.standby
        ]

    def standby_pool(self) -> str | None:
        """Return the pool whose machines are off, if there is one."""
        if self.configuration is None:
            return None
        services = self.configuration.service_by_name.values()
        return next((s.name for s in services if s.standby), None)

    def has_work(self) -> bool:
        """Tell whether some task waits for room."""
        return any(job.waiting for job in self.job_by_id.values())

    # Jobs.

    def _classify(self, job: OpenJob) -> None:
        queue = None
        if self.configuration is not None:
            queue = self.configuration.queue_by_name.get(job.job.queue)
        if queue is None:
            return
        job.service = queue.service
        job.priority = queue.priority
        job.max_attempts = queue.max_attempts
        job.needs_advice = queue.needs_advice
        job.objective_s = (
            queue.stretch * job.work_left_s() + queue.target_latency_ms / MS
        )

    def _adopt(self, job: OpenJob, now: float) -> None:
        for name, places in job.progress.placed.items():
            occurrence, step, index = (int(part) for part in name.split("."))
            task = TaskKey(job.job.job_id, occurrence, step, index)
            if job.progress.is_done(task):
                continue
            for place in places:
                run = Run(
                    task,
                    place.run,
                    place.minion_id,
                    job.job.steps[step],
                    job.job.team,
                    RunState.ADOPTED,
                    now,
                    foreign_until=self._foreign_until(place.epoch),
                )
                self._attach(job, run)

    def _foreign_until(self, epoch: int) -> float:
        """Return until when the owner of an epoch may have renewed leases."""
        later = [at for e, at in self._opened_at_by_epoch.items() if e > epoch]
        return min(later, default=self.authority.taken_at) + self.times.former_owner

    @staticmethod
    def _begun_before(job: OpenJob, occurrence: int) -> bool:
        prefix = f"{occurrence}."
        progress = job.progress
        return any(
            name.startswith(prefix)
            for names in (progress.done, progress.failures, progress.placed)
            for name in names
        )

    def _open_occurrences(self, wall_ms: float) -> None:
        for job in self.job_by_id.values():
            if job.next_occurrence < job.occurrences:
                for occurrence in list(job.due_occurrences(wall_ms)):
                    job.open_steps(occurrence)

    # Runs.

    def _attach(self, job: OpenJob, run: Run) -> None:
        job.runs[run.task] = run
        job.waiting.pop(run.task, None)
        view = self.view_by_id.setdefault(run.minion_id, MinionView(run.minion_id))
        view.attach(run)
        if run.team is not None:
            use = self._team_use.get(run.team, Resources())
            self._team_use[run.team] = use.plus(run.step.size)

    def _detach(self, run: Run) -> OpenJob | None:
        view = self.view_by_id.get(run.minion_id)
        if view is not None:
            view.detach(run)
        if run.team is not None:
            use = self._team_use.get(run.team, Resources())
            self._team_use[run.team] = use.minus(run.step.size)
        job_id = run.task.job_id
        job = self.job_by_id.get(job_id) or self._final.get(job_id)
        if job is None:
            return None
        if job.runs.get(run.task) is run:
            del job.runs[run.task]
            job.progress.placed.pop(run.task.within_job, None)
        if job_id in self._final:
            if not job.runs and job_id not in self._dirty:
                del self._final[job_id]
            return None
        return job

    def _free(self, run: Run, now: float, why: str) -> None:
        """Note that a run certainly is not and will not be on its minion."""
        self._decide("run freed", str(run.task), run.minion_id, {"why": why})
        job = self._detach(run)
        if job is None:
            return
        self._dirty[run.task.job_id] = None
        if run.task not in job.runs and not job.progress.is_done(run.task):
            job.waiting[run.task] = None

    def _begin_life(self, view: MinionView, life: int, now: float) -> None:
        """All runs of a former life are over."""
        first = view.life is None
        view.life = life
        view.seen_end = view.acked_upto = 0
        view.unacked.clear()
        view.strays.clear()
        view.faults = 0
        if first:
            # Runs that a former owner wrote down are settled by the first report.
            return
        view.reached = False
        for run in list(view.runs.values()):
            if run.life != life:
                self._free(run, now, "minion born again")

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

    def _credit(self, end: EndedRun, view: MinionView, now: float) -> None:
        """Take in that a run succeeded which was given up as lost."""
        job_id, *numbers = end.task.split(".")
        job = self.job_by_id.get(job_id)
        if job is None:
            return
        task = TaskKey(job_id, *(int(number) for number in numbers))
        if job.progress.is_done(task) or job.job.steps[task.step].gang:
            return
        self._decide("late success", end.task, view.minion_id, {"run": end.run})
        other = job.runs.get(task)
        if other is not None:
            other.stop_wanted = True
        self._succeed(job, task, now)

    def _run_named(self, view: MinionView, task: str, number: int) -> Run | None:
        for run in view.runs.values():
            if run.number == number and str(run.task) == task:
                return run
        return None

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

    def _succeed(self, job: OpenJob, task: TaskKey, now: float) -> None:
        self._dirty[task.job_id] = None
        step = job.job.steps[task.step]
        # One member that ends done stands for its whole gang.
        members = range(step.count) if step.gang else (task.position,)
        for position in members:
            member = task._replace(position=position)
            job.progress.mark_done(member)
            job.waiting.pop(member, None)
        job.open_steps(task.occurrence)
        if job.finished():
            self._finish(job, JobState.DONE, now)

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

    def _finish(self, job: OpenJob, state: JobState, now: float) -> None:
        job.progress.state = state
        job.waiting.clear()
        job_id = job.job.job_id
        took_s = now - job.arrived_at
        self._decide(
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
        self._final[job_id] = job
        for run in job.runs.values():
            run.stop_wanted = True

    def _blame(self, view: MinionView, now: float) -> None:
        view.faults += 1
        if view.faults >= FAULTS_TO_AVOID:
            longer = 2 ** (view.faults - FAULTS_TO_AVOID)
            view.avoid_until = now + min(LONGEST_AVOID_S, AVOID_S * longer)
            self._decide("minion avoided", "", view.minion_id, {"faults": view.faults})

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
            row = row_by_name.pop(str(run.task), None)
            if row is not None and row.run == run.number:
                self._update(run, row, view, now)
                continue
            if row is not None:
                row_by_name[row.task] = row
            if (str(run.task), run.number) in ended_names:
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
        job.progress.placed[run.task.within_job] = [
            Placed(run.minion_id, run.number, self.authority.epoch)
        ]
        self._dirty[run.task.job_id] = None
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

    # Starts and stops.

    def _evacuate(self) -> None:
        for view in self.view_by_id.values():
            if not view.draining or not view.reached:
                continue
            left = view.remaining_ms
            closing = left is not None and left < EVACUATE_MS
            for run in view.runs.values():
                if run.step.lasting or (closing and run.percent < NEARLY_DONE_PERCENT):
                    run.stop_wanted = True

    def _give_up_stragglers(self, now: float) -> None:
        for view in self.view_by_id.values():
            if not view.reached:
                continue
            for run in view.runs.values():
                if run.stop_wanted or not is_straggler(run, now):
                    continue
                run.stop_wanted = True
                self._decide(
                    "straggler", str(run.task), view.minion_id, {"percent": run.percent}
                )
                job = self.job_by_id.get(run.task.job_id)
                if job is not None:
                    job.failed_on.setdefault(run.task, set()).add(view.minion_id)
                longer = now + STRAGGLER_AVOID_S
                view.avoid_until = max(view.avoid_until, longer)

    def _place(self, now: float) -> None:
        jobs_by_service: dict[str, list[OpenJob]] = {}
        for job in self.job_by_id.values():
            if job.waiting:
                jobs_by_service.setdefault(job.service, []).append(job)
        if not jobs_by_service:
            return
        views_by_service: dict[str, list[MinionView]] = {}
        for view in self.view_by_id.values():
            if view.listing is not None and view.accepts(now):
                views_by_service.setdefault(view.listing.service, []).append(view)
        strays = {name for view in self.view_by_id.values() for name in view.strays}
        for service, jobs in jobs_by_service.items():
            views = views_by_service.get(service, [])
            jobs.sort(key=lambda job: self._order.rank(job, now))
            for job in jobs:
                self._place_job(job, views, strays, now)

    def _place_job(
        self, job: OpenJob, views: list[MinionView], strays: set[str], now: float
    ) -> None:
        full = job.unplaced = set()
        for task in list(job.waiting):
            step_key = (task.occurrence, task.step)
            if step_key in full or job.retry_at.get(task, 0.0) > now:
                continue
            if strays and str(task) in strays:
                # An older run of it is still being stopped somewhere.
                continue
            step = job.job.steps[task.step]
            allowed = views
            if job.needs_advice:
                allowed = list(self._advice.eligible(StepKey(*task[:3]), views, now))
            if step.gang:
                self._place_gang(job, task, allowed, now)
                full.add(step_key)
                continue
            if not self._within_cap(job, step.size):
                return
            view = choose_minion(step, task, allowed, job.failed_on.get(task, ()))
            if view is None:
                full.add(step_key)
                continue
            self._start(job, task, view, self._take_run_number(), now)

    def _place_gang(
        self, job: OpenJob, first: TaskKey, views: list[MinionView], now: float
    ) -> None:
        """Start all tasks of a gang, or none."""
        step = job.job.steps[first.step]
        members = [first._replace(position=index) for index in range(step.count)]
        if any(member not in job.waiting for member in members):
            return
        number = self._take_run_number()
        placed: list[Run] = []
        for candidates in _gang_candidates(step.same_rack, views):
            for member in members:
                if not self._within_cap(job, step.size):
                    break
                view = choose_minion(step, member, candidates)
                if view is None:
                    break
                placed.append(self._planned(job, member, view, number, now))
                self._attach(job, placed[-1])
            if len(placed) == len(members):
                break
            for run in placed:
                self._detach(run)
                job.waiting[run.task] = None
            placed = []
        for run in placed:
            self._order_start(job, run)

    def _planned(
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
            life=view.life,
        )

    def _start(
        self, job: OpenJob, task: TaskKey, view: MinionView, number: int, now: float
    ) -> None:
        run = self._planned(job, task, view, number, now)
        self._attach(job, run)
        self._order_start(job, run)

    def _order_start(self, job: OpenJob, run: Run) -> None:
        view = self.view_by_id[run.minion_id]
        assert view.listing is not None
        name = run.task.within_job
        job.progress.placed[name] = [
            Placed(run.minion_id, run.number, self.authority.epoch)
        ]
        job.begun()
        if job.first_start_after_s is None:
            job.first_start_after_s = round(run.since - job.arrived_at, 3)
        self._dirty[job.job.job_id] = None
        self._starts.append(
            StartOrder(
                run,
                view.listing.address,
                job.job.spec,
                self._checkpoint(job, run),
                self.authority.epoch,
                self._advice.ticket(StepKey(*run.task[:3]), view, run.since),
            )
        )
        self._decide(
            "start",
            str(run.task),
            run.minion_id,
            {"run": run.number, "free_cpu": view.free.cpu_milli},
        )

    @staticmethod
    def _checkpoint(job: OpenJob, run: Run) -> str:
        """Return where a run resumes; all members of a gang resume from one place."""
        if not run.step.gang:
            return job.progress.checkpoints.get(run.task.within_job, "")
        members = (run.task._replace(position=index) for index in range(run.step.count))
        saved = (job.progress.checkpoints.get(m.within_job, "") for m in members)
        return next((value for value in saved if value), "")

    def _take_run_number(self) -> int:
        self._next_run += 1
        return self._next_run - 1

    def _within_cap(self, job: OpenJob, size: Resources) -> bool:
        team_name = job.job.team
        if team_name is None or self.configuration is None:
            return True
        team = self.configuration.team_by_name.get(team_name)
        if team is None:
            return True
        use = self._team_use.get(team_name, Resources()).plus(size)
        return all(
            limit == 0 or amount <= limit
            for amount, limit in zip(use, team.cap, strict=True)
        )

    def _send_stops(self, now: float) -> None:
        for view in self.view_by_id.values():
            if not view.reached or view.listing is None:
                continue
            for run in view.runs.values():
                doubtful = run.state is RunState.DOUBTFUL
                if not (run.stop_wanted or doubtful):
                    continue
                if run.state is RunState.PLANNED or run.state is RunState.SENT:
                    continue
                if run.stop_sent_at is None or now > run.stop_sent_at + STOP_AGAIN_S:
                    run.stop_sent_at = now
                    self._stop(view, str(run.task), run.number)
            for name, number in view.strays.items():
                self._stop(view, name, number)

    def _stop(self, view: MinionView, task: str, number: int) -> None:
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
        self._decide("stop", task, view.minion_id, {"run": number})

    def _values_to_record(self) -> dict[str, bytes]:
        values, self._records = self._records, {}
        for job_id in self._dirty:
            job = self.job_by_id.get(job_id) or self._final.get(job_id)
            if job is not None:
                key = job_key(RecordKind.PROGRESS, job_id)
                values[key] = encode_progress(job.progress)
            if job_id in self._final and not self._final[job_id].runs:
                del self._final[job_id]
        self._dirty = {}
        return values

    def _decide(
        self,
        event: str,
        task: str,
        minion_id: str = "",
        details: dict[str, object] | None = None,
    ) -> None:
        self.decisions.append(Decision(event, task, minion_id, details or {}))


def _gang_candidates(
    same_rack: bool, views: list[MinionView]
) -> Iterator[list[MinionView]]:
    """Yield the sets of minions on which a gang may be placed, the best first."""
    if same_rack:
        by_rack: dict[str, list[MinionView]] = {}
        for view in views:
            if view.listing is not None:
                by_rack.setdefault(view.listing.rack, []).append(view)
        yield from sorted(by_rack.values(), key=len, reverse=True)
    yield views
