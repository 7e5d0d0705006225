"""A minion falls silent with short tasks on it, while its pool has room elsewhere.

Callers of those tasks wait until its leases have certainly lapsed, so the leases that
an owner grants are shorter than the longest that minions accept.
"""

from dataclasses import replace

import pytest

from geraniumshore_scheduler import (
    OWNER_KEY,
    Authority,
    JobRegistry,
    OwnerRecord,
    Placement,
    RegisteredJob,
    Scheduler,
    StartOutcome,
    Step,
    encode_owner,
)
from tests.common.schedule_parts import SMALL, TIMES, Fleet, configuration, job, listing

LEASE_S = 2.0
SHORT_LEASES = replace(TIMES, lease=LEASE_S)
LAPSE_S = SHORT_LEASES.lapse
JOB = "a" * 16


def is_freed_at(scheduler: Scheduler, now: float) -> bool:
    """Return whether a run is freed by a pass at ``now``, after a read of the log."""
    scheduler.authority.confirm(now)
    scheduler.plan(now, 0)
    return any(d.event == "run freed" for d in scheduler.take_decisions())


class ShortLeaseFleet(Fleet):
    """Two minions; the first has the task of a job."""

    def __init__(self) -> None:
        super().__init__(2)
        self.scheduler = Scheduler(Authority(5, 0.0, 0.0), SHORT_LEASES)
        self.scheduler.set_configuration(configuration())
        self.scheduler.set_listings({f"i-{n}": listing(n) for n in range(2)}, 0.0)
        for number in range(2):
            self.report(f"i-{number}")
        self.add(job(JOB, Step(1, SMALL, 500)))
        batch = self.scheduler.plan(self.now, 0)
        assert batch is not None
        self.scheduler.on_durable(batch)
        (self.order,) = batch.starts
        self.minion_id = self.order.run.minion_id
        self.until_ms = self.scheduler.prepare_start(self.order.run, self.now)

    def is_freed_at(self, now: float) -> bool:
        """Return whether the task may start elsewhere, read with the log at ``now``."""
        return is_freed_at(self.scheduler, now)

    def fall_silent(self) -> None:
        """Let the next poll of the task's minion fail."""
        self.now = 1.0
        self.scheduler.on_poll_unanswered(self.poll(self.minion_id), self.now)


def test_leases_have_the_length_that_the_owner_grants():
    fleet = ShortLeaseFleet()
    assert fleet.until_ms == 2000
    fleet.now = 1.0
    assert fleet.poll(fleet.minion_id).until_ms == 3000


def test_a_task_starts_elsewhere_after_the_granted_lease():
    fleet = ShortLeaseFleet()
    fleet.scheduler.on_start_answer(fleet.order.run, StartOutcome.STARTED, 0.1)
    fleet.fall_silent()
    # The unanswered renewal of 1 s may have reached the minion.
    assert not fleet.is_freed_at(1.0 + LAPSE_S - 0.1)
    assert fleet.is_freed_at(1.0 + LAPSE_S + 0.1)


def test_a_task_whose_start_got_no_answer_starts_elsewhere_after_its_lease():
    fleet = ShortLeaseFleet()
    fleet.scheduler.on_start_answer(fleet.order.run, StartOutcome.NO_ANSWER, 0.5)
    fleet.fall_silent()
    # A start that arrives after the end of its lease is refused.
    assert not fleet.is_freed_at(LAPSE_S - 0.1)
    assert fleet.is_freed_at(LAPSE_S + 0.1)


@pytest.mark.parametrize(
    ("recorded_lease", "lapse_s"),
    [(LEASE_S, LAPSE_S), (None, SHORT_LEASES.lapse_of(None))],
)
def test_a_new_owner_awaits_the_leases_that_the_former_one_granted(
    recorded_lease, lapse_s
):
    registry = JobRegistry()
    former = OwnerRecord("h4/strong-1", 4, lease_s=recorded_lease)
    registry.fold(OWNER_KEY, encode_owner(former), 0, 0.0)
    taken_at = 10.0
    scheduler = Scheduler(
        Authority(9, taken_at, taken_at),
        SHORT_LEASES,
        lease_by_epoch=registry.lease_by_epoch,
    )
    scheduler.set_configuration(configuration())
    scheduler.set_listings({"i-0": listing(0)}, taken_at)
    registered = RegisteredJob(job(JOB, Step(1, SMALL, 500)), 0.0)
    registered.progress.placed["0.0.0"] = [Placement("i-0", 1, 4)]
    scheduler.add_job(registered, taken_at)
    lapses_at = taken_at + SHORT_LEASES.former_owner_overlap + lapse_s
    assert not is_freed_at(scheduler, lapses_at - 0.1)
    assert is_freed_at(scheduler, lapses_at + 0.1)


def test_a_task_is_not_freed_while_a_newer_owner_may_have_adopted_it():
    fleet = ShortLeaseFleet()
    fleet.scheduler.on_start_answer(fleet.order.run, StartOutcome.STARTED, 0.1)
    fleet.fall_silent()
    fleet.scheduler.plan(20.0, 0)
    assert not any(d.event == "run freed" for d in fleet.scheduler.take_decisions())
