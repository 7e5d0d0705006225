"""Takeover of a schedule while a rack is unresponsive.

Without the former owner's record, a new owner has to assume that the leases on the rack
were renewed until its takeover and for some time after it. The tasks of the rack then
wait a second time for their leases to lapse.
"""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import (
    OWNER_KEY,
    UNRESPONSIVE_KEY,
    Authority,
    JobRegistry,
    MinionEpoch,
    OwnerRecord,
    Placement,
    PollRequest,
    RegisteredJob,
    RunningTask,
    Scheduler,
    Step,
    decode_unresponsive,
    encode_owner,
    encode_unresponsive,
)
from geraniumshore_scheduler.internal.reconciliation import (
    UNRESPONSIVE_AFTER_S,
    UNRESPONSIVE_RECORD_INTERVAL_S,
)
from tests.common.schedule_parts import SMALL, TIMES, Fleet, configuration, job, listing

LONG_RUNNING = Step(1, SMALL, 500, lasting=True)


def poll_without_answer(fleet: Fleet) -> PollRequest:
    request = fleet.poll("i-0")
    fleet.scheduler.on_poll_unanswered(request, fleet.now)
    return request


def recorded_unresponsive(fleet: Fleet) -> dict[MinionEpoch, float]:
    """Return the unresponsive minions in the next batch, empty if not recorded."""
    batch = fleet.scheduler.plan(fleet.now, fleet.now * 1000)
    if batch is None or UNRESPONSIVE_KEY not in batch.value_by_key:
        return {}
    fleet.scheduler.on_durable(batch)
    return decode_unresponsive(batch.value_by_key[UNRESPONSIVE_KEY], fleet.now)


def fleet_with_unresponsive_minion() -> Fleet:
    """Return a fleet whose minion last answered at 5 s and was sent a lease at 6 s."""
    fleet = Fleet(1)
    fleet.add(job("a" * 16, LONG_RUNNING))
    fleet.plan()
    fleet.now = 5.0
    fleet.report("i-0", fleet.running("i-0"))
    fleet.now = 6.0
    poll_without_answer(fleet)
    fleet.now = 7.5
    poll_without_answer(fleet)
    return fleet


def test_the_last_lease_of_an_unresponsive_minion_is_recorded():
    ((minion_epoch, granted_at),) = recorded_unresponsive(
        fleet_with_unresponsive_minion()
    ).items()
    assert minion_epoch == MinionEpoch("i-0", 5)
    assert 6.0 <= granted_at < 6.01


def test_a_single_lost_answer_is_not_recorded():
    fleet = Fleet(1)
    fleet.add(job("a" * 16, LONG_RUNNING))
    fleet.plan()
    fleet.now = 5.0
    poll_without_answer(fleet)
    fleet.now += UNRESPONSIVE_AFTER_S / 2
    poll_without_answer(fleet)
    assert recorded_unresponsive(fleet) == {}


def test_an_unresponsive_minion_without_runs_is_not_recorded():
    fleet = Fleet(1)
    for fleet.now in (5.0, 6.5):
        poll_without_answer(fleet)
    assert recorded_unresponsive(fleet) == {}


def test_a_minion_that_answers_again_gets_a_lease_after_its_record_is_retracted():
    fleet = fleet_with_unresponsive_minion()
    recorded_unresponsive(fleet)
    fleet.now = 8.0
    fleet.report("i-0", fleet.running("i-0"))
    assert fleet.poll("i-0").until_ms is None
    assert recorded_unresponsive(fleet) == {}
    assert fleet.poll("i-0").until_ms is not None


def test_no_start_is_sent_to_a_minion_before_its_record_is_retracted():
    fleet = fleet_with_unresponsive_minion()
    recorded_unresponsive(fleet)
    fleet.now = 8.0
    fleet.add(job("b" * 16, Step(1, SMALL, 500)))
    fleet.report("i-0", fleet.running("i-0"))
    batch = fleet.scheduler.plan(fleet.now, 0)
    assert batch is not None
    (order,) = batch.starts
    assert fleet.scheduler.prepare_start(order.run, fleet.now) is None
    fleet.scheduler.on_durable(batch)
    (order,) = fleet.scheduler.plan(fleet.now, 0).starts  # type: ignore[union-attr]
    assert fleet.scheduler.prepare_start(order.run, fleet.now) is not None


def successor(unresponsive: dict[MinionEpoch, float], taken_at: float) -> Scheduler:
    """Return a new owner, with a task that a former owner placed on minion i-0."""
    scheduler = Scheduler(Authority(9, taken_at, taken_at), TIMES)
    scheduler.set_configuration(configuration())
    scheduler.set_listings({"i-0": listing(0)}, taken_at)
    scheduler.restore_last_grants(unresponsive)
    registered = RegisteredJob(job("a" * 16, LONG_RUNNING), 0.0)
    registered.progress.placed["0.0.0"] = [Placement("i-0", 1, 4)]
    scheduler.add_job(registered, taken_at)
    return scheduler


def is_released(scheduler: Scheduler, now: float) -> bool:
    scheduler.authority.confirm(now)
    scheduler.plan(now, 0)
    return any(d.event == "run freed" for d in scheduler.take_decisions())


def test_a_new_owner_counts_from_the_last_lease_instead_of_its_takeover():
    scheduler = successor({MinionEpoch("i-0", 4): 6.0}, taken_at=12.0)
    assert not is_released(scheduler, 6.0 + TIMES.lapse - 0.1)
    assert is_released(scheduler, 6.0 + TIMES.lapse + 0.3)


@pytest.mark.parametrize(
    "unresponsive", [{}, {MinionEpoch("i-0", 3): 6.0}, {MinionEpoch("i-1", 4): 6.0}]
)
def test_a_record_of_another_owner_or_minion_does_not_shorten_the_wait(unresponsive):
    scheduler = successor(unresponsive, taken_at=12.0)
    assert not is_released(
        scheduler, 12.0 + TIMES.former_owner_overlap + TIMES.lapse - 0.1
    )
    assert is_released(scheduler, 12.0 + TIMES.former_owner_overlap + TIMES.lapse + 0.3)


def test_a_record_is_passed_on_from_owner_to_owner():
    scheduler = successor({MinionEpoch("i-0", 4): 6.0}, taken_at=9.0)
    assert scheduler._unresponsive.to_record({"i-0"}) == {MinionEpoch("i-0", 4): 6.0}


def test_a_record_that_is_read_late_does_not_become_older():
    value = encode_unresponsive({MinionEpoch("i-0", 4): 6.0}, 8.0)
    registry = JobRegistry()
    registry.fold(UNRESPONSIVE_KEY, value, 0, now=108.5)
    (granted_at,) = registry.last_grants.values()
    # Recorded at 8 s, read 0.5 s later on a clock that is 100 s ahead.
    assert 106.5 <= granted_at < 106.502


def test_a_process_that_starts_later_reads_a_record_of_seconds_ago():
    fleet = fleet_with_unresponsive_minion()
    batches = []
    for fleet.now in (7.6, 9.0, 10.0, 12.0, 14.0):
        poll_without_answer(fleet)
        batch = fleet.scheduler.plan(fleet.now, 0)
        if batch is not None and UNRESPONSIVE_KEY in batch.value_by_key:
            fleet.scheduler.on_durable(batch)
            batches.append((fleet.now, batch))
    recorded_at, newest = batches[-1]
    read_at = 15.0
    assert read_at - recorded_at <= UNRESPONSIVE_RECORD_INTERVAL_S + 1.0
    known = decode_unresponsive(newest.value_by_key[UNRESPONSIVE_KEY], read_at)
    # The lease of 6 s counts from 8 s at the latest, not from the start of the process.
    assert 6.0 <= known[MinionEpoch("i-0", 5)] <= 6.0 + read_at - recorded_at + 0.01


def test_a_run_that_is_reported_again_is_kept():
    fleet = fleet_with_unresponsive_minion()
    row = RunningTask("a" * 16 + ".0.0.0", fleet.scheduler._next_run - 1, "", 100)
    fleet.report("i-0", (row,))
    recorded_unresponsive(fleet)
    assert fleet.scheduler.view_by_id["i-0"].runs


def poll_successor_without_answer(scheduler: Scheduler, now: float) -> None:
    request = scheduler.poll_request("i-0", now)
    assert request is not None
    scheduler.on_poll_unanswered(request, now)


def test_an_owner_that_never_reached_a_minion_records_when_its_predecessor_ended():
    scheduler = successor({}, taken_at=9.0)
    for now in (9.5, 11.0):
        scheduler.authority.confirm(now)
        poll_successor_without_answer(scheduler, now)
    batch = scheduler.plan(11.0, 0)
    assert batch is not None
    # Read by a process that has just started and takes over at 14 s.
    known = decode_unresponsive(batch.value_by_key[UNRESPONSIVE_KEY], 11.1)
    ends_at = 9.0 + TIMES.former_owner_overlap
    assert ends_at <= known[MinionEpoch("i-0", 4)] <= ends_at + 0.11
    third = successor(known, taken_at=14.0)
    assert not is_released(third, ends_at + TIMES.lapse)
    assert is_released(third, ends_at + TIMES.lapse + 0.3)


def test_a_last_grant_in_the_future_is_not_decoded_as_past():
    value = encode_unresponsive({MinionEpoch("i-0", 4): 12.0}, 10.0)
    assert decode_unresponsive(value, 10.0)[MinionEpoch("i-0", 4)] >= 12.0


def test_a_single_long_poll_without_an_answer_is_recorded():
    fleet = Fleet(1)
    fleet.add(job("a" * 16, LONG_RUNNING))
    fleet.plan()
    fleet.now = 5.0
    request = fleet.poll("i-0")
    fleet.now += 1.7
    fleet.scheduler.on_poll_unanswered(request, fleet.now)
    assert set(recorded_unresponsive(fleet)) == {MinionEpoch("i-0", 5)}


def test_a_process_started_during_a_rolling_restart_knows_when_epochs_ended():
    followed = JobRegistry()
    for epoch, opened_at in ((4, 0.0), (5, 12.0), (6, 14.5)):
        history = followed.opened_s_ago(opened_at)
        record = encode_owner(OwnerRecord(f"h{epoch}/strong-1", epoch, history))
        followed.fold(OWNER_KEY, record, epoch, opened_at)
    fresh = JobRegistry()
    # Reads only the last owner's record, on a clock that is 100 s ahead.
    fresh.fold(OWNER_KEY, record, 0, now=116.0)
    assert 112.0 <= fresh.opened_at_by_epoch[5] <= 113.6
    scheduler = Scheduler(
        Authority(7, 118.0, 118.0), TIMES, opened_at_by_epoch=fresh.opened_at_by_epoch
    )
    scheduler.set_configuration(configuration())
    scheduler.set_listings({"i-0": listing(0)}, 118.0)
    registered = RegisteredJob(job("a" * 16, LONG_RUNNING), 0.0)
    registered.progress.placed["0.0.0"] = [Placement("i-0", 1, 4)]
    scheduler.add_job(registered, 118.0)
    (run,) = scheduler.view_by_id["i-0"].runs.values()
    assert run.foreign_until is not None
    assert run.foreign_until <= 113.6 + TIMES.former_owner_overlap


def test_old_epochs_are_not_passed_on():
    registry = JobRegistry()
    registry.fold(OWNER_KEY, encode_owner(OwnerRecord("h/strong-1", 4)), 0, 0.0)
    assert set(registry.opened_s_ago(1.0)) == {4}
    assert registry.opened_s_ago(1_000.0) == {}
