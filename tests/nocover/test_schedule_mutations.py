"""Mutation tests of the rules on owners, leases and records.

Each mutation disables one rule. The simulation must then report a violated invariant
for some seed, which shows that its checks cover the rule.
"""

from __future__ import annotations

from dataclasses import replace
from itertools import product

import pytest

from geraniumshore_scheduler import (
    Authority,
    JobRegistry,
    MinionView,
    OwnershipTimes,
    Queue,
    RegisteredJob,
    Scheduler,
    StartOutcome,
    UnresponsiveMinions,
    encode_unresponsive,
)
from geraniumshore_scheduler.internal.restart_backoff import RestartBackoff
from tests.common.schedule_simulation import (
    HAND_OVERS,
    LONG_PARTITIONS,
    FaultRates,
    InvariantViolationError,
    ScheduleSimulation,
    SimulatedOwner,
)

SEEDS = 400
RATES = (FaultRates(), LONG_PARTITIONS, HAND_OVERS)
SECONDS = 45.0


def no_wait_for_a_former_owner(patch):
    patch.setattr(OwnershipTimes, "former_owner_overlap", property(lambda _: 0.0))
    patch.setattr(OwnershipTimes, "lapse", property(lambda _: 0.0))


def no_wait_for_the_lease(patch):
    patch.setattr(OwnershipTimes, "lapse", property(lambda _: 0.5))


def orders_without_authority(patch):
    patch.setattr(Authority, "holds", lambda *_: True)


def unanswered_starts_count_as_refused(patch):
    answer = Scheduler.on_start_answer

    def refused(self, run, outcome, now):
        if outcome == StartOutcome.NO_ANSWER:
            outcome = StartOutcome.OLD_RUN
        answer(self, run, outcome, now)

    patch.setattr(Scheduler, "on_start_answer", refused)


def acknowledged_before_recorded(patch):
    plan = Scheduler.plan

    def premature(self, now, wall_ms):
        batch = plan(self, now, wall_ms)
        for view in self.view_by_id.values():
            view.release_acks(self._next_batch)
        return batch

    patch.setattr(Scheduler, "plan", premature)


def started_before_recorded(patch):
    decide = SimulatedOwner._decide

    def premature(self):
        before = self.batch
        decide(self)
        if self.batch is not None and self.batch is not before:
            for order in self.batch.starts:
                self._start(order)

    patch.setattr(SimulatedOwner, "_decide", premature)


def capacity_ignored(patch):
    patch.setattr(MinionView, "has_room", lambda view, room: view.listing is not None)


def leases_before_unresponsive_record_is_retracted(patch):
    patch.setattr(UnresponsiveMinions, "forget", lambda *_: None)
    patch.setattr(UnresponsiveMinions, "__contains__", lambda *_: False)


def last_grants_recorded_as_too_old(patch):
    def older(last_grants, now):
        return encode_unresponsive(last_grants, now + 4.0)

    patch.setattr(
        "geraniumshore_scheduler.internal.run_registry.encode_unresponsive", older
    )


def full_pages_count_as_complete(patch):
    on_report = Scheduler.on_report

    def complete(self, request, report, now):
        on_report(self, request, replace(report, ended_complete=True), now)

    patch.setattr(Scheduler, "on_report", complete)


def unread_jobs_count_as_deleted(patch):
    patch.setattr(JobRegistry, "unread_placed_jobs", lambda _: iter(()))


def waiting_occurrences_are_passed_over(patch):
    add_job = Scheduler.add_job

    def after_the_newest_record(self, registered, now):
        add_job(self, registered, now)
        job = self.job_by_id.get(registered.job.job_id)
        if job is None or not job.job.occurrences:
            return
        progress = job.progress
        names = (*progress.done, *progress.failures, *progress.placed)
        recorded = [int(name.partition(".")[0]) for name in names]
        for occurrence in recorded:
            job.open_steps(occurrence)
        job.next_occurrence = max([job.next_occurrence, *(n + 1 for n in recorded)])

    patch.setattr(Scheduler, "add_job", after_the_newest_record)


def long_running_tasks_end_for_good(patch):
    complete_run = Scheduler._complete_run

    def succeeded(self, view, run, completion, now):
        complete_run(self, view, run, completion, now)
        job = self.job_by_id.get(run.task.job_id)
        if job is not None and run.step.lasting and completion.how == "done":
            self._mark_succeeded(job, run.task, now)

    patch.setattr(Scheduler, "_complete_run", succeeded)


def restarts_without_pauses(patch):
    patch.setattr(RestartBackoff, "growing", property(lambda _: False))


def short_runs_are_never_forgotten(patch):
    patch.setattr(Scheduler, "_forget_backoff", lambda *_: None)


def runs_of_ended_jobs_do_not_count(patch):
    patch.setattr(RegisteredJob, "has_placed_tasks", property(lambda _: False))


def foreign_entries_count_as_restarts(patch):
    patch.setattr(Scheduler, "_is_named", lambda *_: True)


def settings_apply_only_while_the_queue_is_there(patch):
    apply_settings = Scheduler._apply_settings

    def of_a_queue(job, settings):
        if isinstance(settings, Queue):
            apply_settings(job, settings)

    patch.setattr(Scheduler, "_apply_settings", of_a_queue)


def one_member_of_a_gang_is_placed_alone(patch):
    place_gang = Scheduler._place_gang

    def without_the_others(self, job, first, views, now):
        members = set(job.waiting)
        place_gang(self, job, first, views, now)
        if first in job.waiting and len(members) < job.job.steps[first.step].count:
            view = next(iter(views), None)
            if view is not None and view.has_room(job.job.steps[first.step].room):
                self._start_run(job, first, view, self._allocate_run_number(), now)

    patch.setattr(Scheduler, "_place_gang", without_the_others)


# Mutations of what only jobs whose tasks keep ending at once show.
CRASH_LOOP_MUTATIONS = (restarts_without_pauses, short_runs_are_never_forgotten)
CRASH_LOOPS = 3
# Mutations of what only varied jobs show.
VARIED_MUTATIONS = (
    foreign_entries_count_as_restarts,
    settings_apply_only_while_the_queue_is_there,
    one_member_of_a_gang_is_placed_alone,
)


@pytest.mark.parametrize(
    "mutation",
    [
        *CRASH_LOOP_MUTATIONS,
        *VARIED_MUTATIONS,
        no_wait_for_a_former_owner,
        no_wait_for_the_lease,
        orders_without_authority,
        unanswered_starts_count_as_refused,
        acknowledged_before_recorded,
        started_before_recorded,
        capacity_ignored,
        leases_before_unresponsive_record_is_retracted,
        last_grants_recorded_as_too_old,
        full_pages_count_as_complete,
        unread_jobs_count_as_deleted,
        waiting_occurrences_are_passed_over,
        long_running_tasks_end_for_good,
        runs_of_ended_jobs_do_not_count,
    ],
    ids=lambda mutation: mutation.__name__,
)
def test_the_simulation_detects_the_mutation(mutation, monkeypatch):
    mutation(monkeypatch)
    crash_loops = CRASH_LOOPS if mutation in CRASH_LOOP_MUTATIONS else 0
    for seed, rates in product(range(SEEDS), RATES):
        try:
            simulation = ScheduleSimulation(
                seed,
                rates,
                crash_loops=crash_loops,
                varied=mutation in VARIED_MUTATIONS,
            )
            simulation.run(SECONDS)
            simulation.check_nothing_lost()
        except InvariantViolationError:
            return
    pytest.fail(f"no invariant was violated in {SEEDS} seeds without the rule")
