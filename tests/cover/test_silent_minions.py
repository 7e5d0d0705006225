"""A minion falls silent with short tasks on it, while its pool has room elsewhere.

Callers of those tasks wait until its leases have certainly lapsed, so the leases that
an owner grants are shorter than the longest that minions accept.
"""

import math
from dataclasses import replace

import pytest

from geraniumshore_scheduler import (
    OWNER_KEY,
    Authority,
    JobRegistry,
    JobState,
    MinionEpoch,
    OwnerRecord,
    OwnershipTimes,
    Placement,
    Progress,
    RecordKind,
    RegisteredJob,
    Scheduler,
    StartOutcome,
    Step,
    encode_job,
    encode_owner,
    encode_progress,
    job_key,
)
from geraniumshore_scheduler.internal.run_ages import RunAges
from tests.common.schedule_parts import SMALL, TIMES, Fleet, configuration, job, listing

LEASE_S = 2.0
SHORT_LEASES = replace(TIMES, lease=LEASE_S)
LAPSE_S = SHORT_LEASES.lapse
# Of a run that no report has shown: its minion may have restarted just before.
LONGEST_LAPSE_S = SHORT_LEASES.lapse_of(None)
JOB = "a" * 16


def is_freed_at(scheduler: Scheduler, now: float) -> bool:
    """Return whether a run is freed by a pass at ``now``, after a read of the log."""
    scheduler.authority.confirm(now)
    scheduler.plan(now, 0)
    return any(d.event == "run freed" for d in scheduler.take_decisions())


class ShortLeaseFleet(Fleet):
    """Two minions of an age; the first has the task of a job."""

    def __init__(self, age_s: float = 0.0) -> None:
        super().__init__(2)
        self.born_at = {(f"i-{n}", 1): -age_s for n in range(2)}
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


@pytest.mark.parametrize(
    ("reported", "lapse_s"), [(True, LAPSE_S), (False, LONGEST_LAPSE_S)]
)
def test_a_task_starts_elsewhere_after_the_granted_lease(reported, lapse_s):
    """Guards against a second run while the first has a lease on an older clock."""
    fleet = ShortLeaseFleet(age_s=30.0)
    fleet.scheduler.on_start_answer(fleet.order.run, StartOutcome.STARTED, 0.1)
    if reported:
        fleet.now = 0.5
        fleet.report(fleet.minion_id, fleet.running(fleet.minion_id))
    fleet.fall_silent()
    # The unanswered renewal of 1 s may have reached the minion.
    assert not fleet.is_freed_at(1.0 + lapse_s - 0.1)
    assert fleet.is_freed_at(1.0 + lapse_s + 0.1)


def test_a_task_whose_start_got_no_answer_starts_elsewhere_after_its_lease():
    fleet = ShortLeaseFleet()
    fleet.scheduler.on_start_answer(fleet.order.run, StartOutcome.NO_ANSWER, 0.5)
    fleet.fall_silent()
    assert not fleet.is_freed_at(LONGEST_LAPSE_S - 0.1)
    assert fleet.is_freed_at(LONGEST_LAPSE_S + 0.1)


TAKEN_AT = 10.0


def adopting_scheduler(
    recorded_lease: float | None,
    placed_at: float,
    times: OwnershipTimes = SHORT_LEASES,
) -> Scheduler:
    """Return a new owner, at TAKEN_AT, of a run that was placed on ``i-0``."""
    registry = JobRegistry()
    former = OwnerRecord("h4/strong-1", 4, lease_s=recorded_lease)
    registry.fold(OWNER_KEY, encode_owner(former), 0, 0.0)
    accepted = job(JOB, Step(1, SMALL, 500))
    registry.fold(job_key(RecordKind.ACCEPTED, JOB), encode_job(accepted), 0, 0.0)
    progress = Progress(JobState.RUNNING, placed={"0.0.0": [Placement("i-0", 1, 4)]})
    registry.fold(
        job_key(RecordKind.PROGRESS, JOB), encode_progress(progress), 1, placed_at
    )
    scheduler = Scheduler(
        Authority(9, TAKEN_AT, TAKEN_AT),
        times,
        lease_by_epoch=registry.lease_by_epoch,
        run_ages=registry.run_ages,
    )
    scheduler.set_configuration(configuration())
    scheduler.set_listings({"i-0": listing(0)}, TAKEN_AT)
    return scheduler


@pytest.mark.parametrize(
    ("recorded_lease", "placed_at", "lapse_s"),
    [
        (LEASE_S, 0.0, LAPSE_S),
        (LEASE_S, TAKEN_AT - 1.0, LONGEST_LAPSE_S),
        (None, 0.0, LONGEST_LAPSE_S),
    ],
)
@pytest.mark.parametrize("last_grant", [None, TAKEN_AT - 0.5])
def test_a_new_owner_awaits_the_leases_that_the_former_one_granted(
    recorded_lease, placed_at, lapse_s, last_grant
):
    """Guards against a second run beside one that a restarted minion just began."""
    scheduler = adopting_scheduler(recorded_lease, placed_at)
    until = TAKEN_AT + SHORT_LEASES.former_owner_overlap
    if last_grant is not None:
        scheduler.restore_last_grants({MinionEpoch("i-0", 4): last_grant})
        until = last_grant
    registered = RegisteredJob(job(JOB, Step(1, SMALL, 500)), 0.0)
    registered.progress.placed["0.0.0"] = [Placement("i-0", 1, 4)]
    scheduler.add_job(registered, TAKEN_AT)
    assert not is_freed_at(scheduler, until + lapse_s - 0.1)
    assert is_freed_at(scheduler, until + lapse_s + 0.1)


# A poll that is open when its minion restarts fails this much later at the latest.
LAST_UNHEARD_START_S = 1.7


def test_the_longest_lease_counts_while_it_may_outlast_the_granted_ones():
    """Guards against a second run beside one with a lease of 10 s."""
    times = replace(TIMES, lease=4.0, longest_lease=10.0)
    placed_at = TAKEN_AT - 7.5
    scheduler = adopting_scheduler(times.lease, placed_at, times)
    scheduler.restore_last_grants({MinionEpoch("i-0", 4): TAKEN_AT})
    registered = RegisteredJob(job(JOB, Step(1, SMALL, 500)), 0.0)
    registered.progress.placed["0.0.0"] = [Placement("i-0", 1, 4)]
    scheduler.add_job(registered, TAKEN_AT)
    # Its owner may have sent the restarted minion another start before it heard.
    lapses_at = placed_at + LAST_UNHEARD_START_S + times.lapse_of(None)
    assert not is_freed_at(scheduler, lapses_at - 0.1)
    lapses_at = placed_at + times.unheard + times.lapse_of(None)
    assert not is_freed_at(scheduler, lapses_at - 0.1)
    assert is_freed_at(scheduler, lapses_at + 0.1)


@pytest.mark.parametrize(("age_s", "longest"), [(0.5, True), (30.0, False)])
def test_a_new_owner_counts_leases_on_the_clock_before_a_recent_restart(age_s, longest):
    fleet = ShortLeaseFleet()
    fleet.scheduler = Scheduler(Authority(6, 0.0, 0.0), SHORT_LEASES)
    fleet.scheduler.set_configuration(configuration())
    fleet.scheduler.set_listings({"i-0": listing(0)}, 40.0)
    fleet.now = 40.0
    fleet.born_at["i-0", 2] = fleet.now - age_s
    fleet.report("i-0", incarnation=2)
    view = fleet.scheduler.view_by_id["i-0"]
    expected = fleet.now + LONGEST_LAPSE_S if longest else 0.0
    assert view.late_grant_until == expected


def test_the_clock_of_a_restarted_minion_may_begin_anywhere():
    """Guards against a second run beside one with a lease on the older clock."""
    fleet = ShortLeaseFleet()
    fleet.scheduler = Scheduler(Authority(6, 0.0, 0.0), SHORT_LEASES)
    fleet.scheduler.set_configuration(configuration())
    # The list still shows the incarnation that a former owner sent its leases to.
    fleet.scheduler.set_listings({"i-0": listing(0)}, 40.0)
    fleet.now = 40.0
    fleet.born_at["i-0", 2] = fleet.now - 182.0
    fleet.report("i-0", incarnation=2)
    view = fleet.scheduler.view_by_id["i-0"]
    assert view.late_grant_until == fleet.now + LONGEST_LAPSE_S


def test_the_age_of_a_run_is_that_of_the_next_one_that_was_read():
    ages = RunAges()
    assert ages.recorded_by(1) == math.inf
    for at, run in ((1.0, 5), (1.2, 7), (3.0, 6), (4.0, 9)):
        placed = {"0.0.0": [Placement("i-0", run, 4)]}
        ages.observe(Progress(placed=placed), at)
    assert [ages.recorded_by(run) for run in (1, 5, 7, 8, 9)] == [1.2, 1.2, 1.2, 4, 4]
    assert ages.recorded_by(10) == math.inf


def test_a_task_is_not_freed_while_a_newer_owner_may_have_adopted_it():
    fleet = ShortLeaseFleet()
    fleet.scheduler.on_start_answer(fleet.order.run, StartOutcome.STARTED, 0.1)
    fleet.fall_silent()
    fleet.scheduler.plan(20.0, 0)
    assert not any(d.event == "run freed" for d in fleet.scheduler.take_decisions())
