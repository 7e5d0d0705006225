"""The scheduler of one owner: jobs and minions in, orders and log records out.

A start is sent only after the log says where the task will run, and a completion is
acknowledged only after the log has it. So a later owner knows every minion on which a
task may run.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from geraniumshore_scheduler.internal.advice import AdviceRequest, StepKey
from geraniumshore_scheduler.internal.durations import LearnedDuration
from geraniumshore_scheduler.internal.durations_record import DURATIONS_KEY
from geraniumshore_scheduler.internal.explanation import Explainer
from geraniumshore_scheduler.internal.job_registry import RegisteredJob
from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import (
    Configuration,
    Job,
    MinionListing,
)
from geraniumshore_scheduler.internal.orders import (
    Batch,
    Decision,
    PaceOrder,
    StopOrder,
)
from geraniumshore_scheduler.internal.pool_meter import PoolMeter
from geraniumshore_scheduler.internal.pools import PoolLoad
from geraniumshore_scheduler.internal.records import JobState, progress_key
from geraniumshore_scheduler.internal.run_registry import MAX_CAUSE_LENGTH
from geraniumshore_scheduler.internal.runs import OpenJob
from geraniumshore_scheduler.internal.unresponsive import (
    MinionEpoch,
    UnresponsiveMinions,
)

__all__ = ["Scheduler"]


class Scheduler(Explainer):
    """The state machine of one owner's epoch. Not thread-safe."""

    def set_configuration(self, configuration: Configuration) -> None:
        """Switch to a newer configuration."""
        self.configuration = configuration
        self._limit_by_team = {
            name: team.limit
            for name, team in configuration.team_by_name.items()
            if any(team.cap)
        }
        self._placed_all_at = float("-inf")
        for job in self.job_by_id.values():
            self._apply_queue_settings(job)
            job.end_pauses()

    def restore_last_grants(self, last_grants: Mapping[MinionEpoch, float]) -> None:
        """Load the last grants that former owners recorded for unresponsive minions.

        Must be called before the first job is added, as runs are adopted with them.
        """
        self._unresponsive = UnresponsiveMinions(last_grants)

    def restore_durations(self, entries: Iterable[LearnedDuration], now: float) -> None:
        """Load the durations that a former owner learned."""
        self._learning.restore(entries, now)

    def limit_durations_record(self, max_bytes: int) -> None:
        """Keep records of learned durations within what the store accepts."""
        learning = self._learning
        learning.max_record_bytes = min(learning.max_record_bytes, max_bytes)

    def limit_interference_record(self, max_bytes: int) -> None:
        """Keep records of interference within what the store accepts."""
        monitor = self._interference
        monitor.max_record_bytes = min(monitor.max_record_bytes, max_bytes)

    def take_learning_counts(self) -> Mapping[str, int]:
        """Return and clear how many runs durations were learned from, or not."""
        return self._learning.take_counts()

    @property
    def corrected_durations(self) -> int:
        """The number of queues' steps and images whose durations are corrected."""
        return len(self._learning.durations.correction_by_key)

    def restore_interference(self, value: bytes | None, now: float) -> None:
        """Load what a former owner learned of tasks that slow each other down."""
        cause = self._interference.restore(value, now) if value else None
        if cause is not None:
            details: dict[str, object] = {"cause": cause[:MAX_CAUSE_LENGTH]}
            self._record_decision("interference record ignored", "", details=details)

    @property
    def interference_pairs(self) -> int:
        """The number of pairs of images known to slow each other down."""
        return sum(1 for _ in self._interference.estimator.detected())

    def expect_jobs(self, job_ids: Iterable[str]) -> None:
        """Name the jobs that former owners placed and that will be added later.

        Until a job is added, or ``on_all_jobs_read`` says that there is none, its
        completions are not acknowledged and its runs are not stopped.
        """
        self._unread_jobs = set(job_ids)

    @property
    def unread_jobs(self) -> int:
        """The number of jobs that former owners placed and that are not added yet."""
        return len(self._unread_jobs)

    def on_all_jobs_read(self, now: float) -> None:
        """Record that the jobs still expected have been deleted from the log."""
        self._unread_jobs.clear()
        self._process_deferred(now)

    def add_job(self, registered: RegisteredJob, now: float) -> None:
        """Schedule a job from the log, unless it has ended.

        A job that raises an error here is set aside, as every other owner would fail on
        it in the same way.
        """
        try:
            self._open_job(registered, now)
        except Exception as error:
            self._set_aside(registered.job.job_id, error)
        if registered.job.job_id in self._unread_jobs:
            self._unread_jobs.remove(registered.job.job_id)
            self._process_deferred(now)

    def _open_job(self, registered: RegisteredJob, now: float) -> None:
        job = registered.job
        self._used_services.add(job.service)
        self._arrivals.insert(job, registered.accepted_at, self._learning.durations)
        beyond_share = self._exceeds_share(job, registered.accepted_at)
        if job.job_id in self.job_by_id or job.job_id in self._terminal_job_by_id:
            return
        recorded = registered.progress.state is registered.state
        if registered.state.final and recorded and not registered.has_placed_tasks:
            return
        opened = OpenJob(
            job=job,
            # A copy, so that callers do not see decisions before they are in the log.
            progress=registered.whole_progress(),
            arrived_at=min(registered.accepted_at, now),
            service=job.service,
            priority=0,
            objective_s=0.0,
            max_attempts=1,
            beyond_share=beyond_share,
            durations=self._learning.durations,
        )
        # A former release wrote one record, so all parts go with the first change.
        opened.changed_parts.update(opened.parts.split(opened.progress))
        opened.changed_parts.update(registered.part_by_number)
        opened.complete_occurrences()
        opened.next_occurrence = opened.progress.completed_occurrences
        if registered.state.final:
            # The next owner may read the progress before a cancellation.
            opened.progress.state = registered.state
            if not recorded:
                self._dirty[job.job_id] = None
            self._adopt(opened, now)
            self._stop_runs_of_ended(opened)
            return
        if any(step.image for step in job.steps):
            self._interference.enabled = True
        self._apply_settings(opened, job)
        self._apply_queue_settings(opened)
        self._changed_services.add(opened.service)
        self.job_by_id[job.job_id] = opened
        self._adopt(opened, now)
        if job.occurrences:
            # Which occurrences have records says nothing about those that wait, so all
            # are opened by time again.
            self._recurring[job.job_id] = opened
        else:
            opened.open_steps(0)

    def cancel_job(self, job_id: str) -> None:
        """Stop all runs of a cancelled job and start no more of its tasks."""
        job = self.job_by_id.pop(job_id, None)
        if job is None:
            return
        self._advice.forget_job(job_id)
        self._record_decision("cancelled", job_id, details={"runs": len(job.runs)})
        # The next owner may read its predecessors' records before the cancellation.
        job.progress.state = JobState.CANCELLED
        self._dirty[job_id] = None
        job.waiting.clear()
        self._stop_runs_of_ended(job)

    def set_listings(self, listing_by_id: dict[str, MinionListing], now: float) -> None:
        """Apply a newer list of minions. A minion missing from it may still be up."""
        for minion_id, listing in listing_by_id.items():
            if listing.incarnation <= self._replaced_incarnation_by_id.get(
                minion_id, -1
            ):
                continue
            view = self.view_by_id.get(minion_id)
            if view is None:
                view = self.view_by_id[minion_id] = MinionView(minion_id)
            if self._is_foreign(listing, view.listing):
                continue
            if view.listing != listing or view.unlisted:
                self._changed_services.add(listing.service)
            view.set_listing(listing, now)
            view.set_evacuated(listing.data_centre in self._evacuated)
            restarted = (
                view.incarnation is not None and listing.incarnation > view.incarnation
            )
            # In a withdrawn pool only the minion's own report shows that it restarted.
            if restarted and self._is_named(listing.service):
                self._begin_incarnation(view, listing.incarnation, now)
        for minion_id, view in list(self.view_by_id.items()):
            view.unlisted = minion_id not in listing_by_id
            if view.unlisted and not view.runs:
                del self.view_by_id[minion_id]

    def _is_foreign(self, listing: MinionListing, known: MinionListing | None) -> bool:
        """Return whether an entry under a known minion's ID is not the minion's.

        A minion names its pool, and a withdrawn pool keeps its name. Another writer's
        entry may have any other.
        """
        return (
            known is not None
            and listing.service != known.service
            and not self._is_named(listing.service)
        )

    def on_advice(
        self,
        request: AdviceRequest,
        ticket_by_minion: Mapping[str, str],
        valid_s: float,
        asked_at: float,
    ) -> None:
        """Process an answer on which minions may run a step."""
        self._advice.insert(request, ticket_by_minion, valid_s, asked_at)
        job = self.job_by_id.get(request.step.job_id)
        if job is not None:
            self._changed_services.add(job.service)

    def next_advice_request(self, now: float) -> AdviceRequest | None:
        """Return the next request for a waiting step, the most urgent job's first."""
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
            for number in job.waiting.steps():
                step = StepKey(job.job.job_id, *number)
                request = self._advice.request(step, views, now)
                if request is not None:
                    return request
        return None

    def plan(self, now: float, wall_ms: float) -> Batch | None:
        """Decide what to start and stop now; return the batch to record first."""
        self._release_lapsed_runs(now)
        self._open_occurrences(wall_ms)
        self._evacuate_draining_minions()
        self._move_long_running_tasks(now)
        self._stop_stragglers(now)
        self._guard_learning(lambda: self._update_interference(now))
        self._guard_learning(lambda: self._move_suffering_tasks(now))
        self._place_waiting_tasks(now)
        self._send_stops(now)
        self._record_evacuations(wall_ms)
        self._guard_learning(lambda: self._record_durations(now))
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

    def record(self, key: str, value: bytes) -> int:
        """Add a record to the next batch; return the batch's number."""
        self._records[key] = value
        return self._next_batch

    def is_durable(self, batch: int) -> bool:
        """Return whether a batch is in the log."""
        return batch <= self._durable_batch

    def on_durable(self, batch: Batch) -> None:
        """Process the confirmation that a batch is in the log."""
        self._durable_batch = batch.number
        for view in self.view_by_id.values():
            view.release_acks(batch.number)

    def take_stops(self) -> list[StopOrder]:
        """Return and clear the stops to send."""
        stops, self.stops = self.stops, []
        return stops

    def take_paces(self) -> list[PaceOrder]:
        """Return and clear the paces to set."""
        paces, self.paces = self.paces, []
        return paces

    def take_decisions(self) -> list[Decision]:
        """Return and clear the decisions to write to the log file."""
        decisions, self.decisions = self.decisions, []
        return decisions

    def take_restart_causes(self) -> dict[str, int]:
        """Return and clear how many tasks had to start again, by cause."""
        causes, self._restart_causes = self._restart_causes, Counter()
        return dict(causes)

    def set_cordoned(self, minion_id: str, cordoned: bool) -> None:
        """Cordon a minion, so that it gets no new work, or uncordon it."""
        view = self.view_by_id.get(minion_id)
        if view is not None:
            view.cordoned = cordoned
            self._mark_capacity_changed(view)

    def pool_loads(self, now: float) -> list[PoolLoad]:
        """Return the demand and the capacity of each pool except standby pools."""
        meter = PoolMeter(
            self.view_by_id.values(), self.job_by_id.values(), self._order
        )
        cap_use_by_team = dict(self._cap_uses())
        return [
            meter.load(
                pool,
                self._arrivals.offered_resources(pool, self._limit_by_team, now),
                cap_use_by_team,
                pool in self._used_services,
                self._arrivals.recent_jobs(pool, now),
                now,
                self._steps_without_room.get(pool, ()),
            )
            for pool in self._pools()
        ]

    def _exceeds_share(self, job: Job, accepted_at: float) -> bool:
        if self.configuration is None:
            return False
        team = self.configuration.team_by_name.get(job.team or "")
        return team is not None and self._shares.exceeds_share(
            team.name, team.weight, accepted_at
        )

    def _pools(self) -> list[str]:
        if self.configuration is None:
            return []
        return [
            service.name
            for service in self.configuration.service_by_name.values()
            if not service.standby
        ]

    def standby_pool(self) -> str | None:
        """Return the standby pool, whose machines are off, if there is one."""
        if self.configuration is None:
            return None
        services = self.configuration.service_by_name.values()
        return next((s.name for s in services if s.standby), None)

    def has_waiting_tasks(self) -> bool:
        """Return whether any task waits to be placed."""
        return any(job.waiting for job in self.job_by_id.values())

    def _open_occurrences(self, wall_ms: float) -> None:
        for job_id, job in list(self._recurring.items()):
            if job_id not in self.job_by_id or job.next_occurrence >= job.occurrences:
                del self._recurring[job_id]
                continue
            if job.open_due_occurrences(wall_ms):
                self._changed_services.add(job.service)

    def _record_durations(self, now: float) -> None:
        learned = self._learning.take_record(now)
        if learned is not None:
            self._records[DURATIONS_KEY] = learned
            self.decisions.append(self._learning.decision())

    def _values_to_record(self) -> dict[str, bytes]:
        values, self._records = self._records, {}
        further_parts: dict[str, bytes] = {}
        for job_id in self._dirty:
            job = self.job_by_id.get(job_id) or self._terminal_job_by_id.get(job_id)
            if job is not None:
                records = job.take_records()
                main = progress_key(job_id, 0)
                values[main] = records.pop(main)
                further_parts.update(records)
            if (
                job_id in self._terminal_job_by_id
                and not self._terminal_job_by_id[job_id].runs
            ):
                del self._terminal_job_by_id[job_id]
        self._dirty = {}
        # Completed occurrences are dropped from further parts. A batch may be appended
        # in pieces, and the count must be in the log before.
        values.update(further_parts)
        return values
