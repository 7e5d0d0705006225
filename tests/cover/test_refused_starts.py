"""A job has begun when a minion may have started it, not when its tasks are placed."""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import (
    JobRegistry,
    JobState,
    RecordKind,
    StartOutcome,
    Step,
    encode_job,
    job_key,
)
from tests.common.schedule_parts import SMALL, Fleet, job

JOB = "a" * 16
REFUSALS = [
    StartOutcome.UNHEALTHY,
    StartOutcome.REFUSED,
    StartOutcome.NO_ROOM,
    StartOutcome.NO_TICKET,
    StartOutcome.LATE,
]


class CountedFleet(Fleet):
    """A fleet whose records are folded, and so counted, as by every node."""

    def __init__(self, tasks: int = 1) -> None:
        super().__init__(minions=1)
        self.registry = JobRegistry()
        self.offset = 0
        accepted = encode_job(job(JOB, Step(tasks, SMALL, 500)))
        self.registry.fold(job_key(RecordKind.ACCEPTED, JOB), accepted, 0, 0.0)
        self.scheduler.add_job(self.registry.job_by_id[JOB], 0.0)

    def attempt(self, *outcomes: str) -> None:
        """Plan, record, and answer the starts; then record what follows."""
        for order, outcome in zip(self.record(), outcomes, strict=True):
            self.scheduler.prepare_start(order.run, self.now)
            self.scheduler.on_start_answer(order.run, outcome, self.now)
        assert self.record() == ()

    def record(self):
        batch = self.scheduler.plan(self.now, 0.0)
        if batch is None:
            return ()
        for key, value in batch.value_by_key.items():
            self.offset += 1
            self.registry.fold(key, value, self.offset, self.now)
        self.scheduler.on_durable(batch)
        return batch.starts

    def pending(self) -> int:
        return self.registry.pending("q")


@pytest.mark.parametrize("outcome", REFUSALS)
def test_a_job_whose_starts_are_all_refused_is_pending(outcome):
    """It counted as begun, so a queue with waiting jobs had none pending."""
    fleet = CountedFleet()
    assert fleet.pending() == 1
    for _ in range(3):
        fleet.attempt(outcome)
        assert fleet.pending() == 1
        assert fleet.registry.job_by_id[JOB].state is JobState.QUEUED
        fleet.now += 10.0


@pytest.mark.parametrize(
    "outcome", [StartOutcome.STARTED, StartOutcome.NO_ANSWER, StartOutcome.OLD_RUN]
)
def test_a_job_that_may_have_begun_is_not_pending(outcome):
    fleet = CountedFleet(tasks=2)
    fleet.attempt(StartOutcome.REFUSED, outcome)
    assert fleet.pending() == 0


def test_a_job_whose_only_run_was_lost_stays_begun():
    fleet = CountedFleet()
    fleet.attempt(StartOutcome.STARTED)
    fleet.now += 10.0
    fleet.report("i-0", ())
    fleet.attempt(StartOutcome.REFUSED)
    assert fleet.pending() == 0


def test_a_start_that_is_not_sent_leaves_the_job_pending():
    fleet = CountedFleet()
    (order,) = fleet.record()
    assert fleet.pending() == 0
    fleet.scheduler.set_cordoned("i-0", True)
    fleet.scheduler.on_start_not_sent(order.run, fleet.now)
    fleet.record()
    assert fleet.pending() == 1


def test_a_job_that_a_former_owner_began_is_not_pending_again():
    fleet = CountedFleet()
    fleet.attempt(StartOutcome.STARTED)
    successor = Fleet(minions=1, epoch=6)
    successor.scheduler.add_job(fleet.registry.job_by_id[JOB], fleet.now)
    (run,) = successor.scheduler.job_by_id[JOB].runs.values()
    successor.scheduler.on_minion_replaced(run.minion_id, fleet.now)
    progress = successor.scheduler.job_by_id[JOB].progress
    assert progress.state is JobState.RUNNING
