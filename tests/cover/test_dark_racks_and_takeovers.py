"""A rack goes dark, then the schedule changes hands: its tasks do not wait twice."""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import (
    OWNER_KEY,
    SILENCES_KEY,
    Authority,
    BookedJob,
    HoldRequest,
    JobBook,
    OwnerRecord,
    Placed,
    RunningTask,
    Scheduler,
    SilentFor,
    Step,
    decode_silences,
    encode_owner,
    encode_silences,
)
from geraniumshore_scheduler.internal.reconciliation import SILENCE_S
from tests.common.schedule_parts import SMALL, TIMES, Fleet, configuration, job, listing

LASTING = Step(1, SMALL, 500, lasting=True)


def silent_look(fleet: Fleet) -> HoldRequest:
    request = fleet.ask("i-0")
    fleet.scheduler.on_silence(request, fleet.now)
    return request


def written(fleet: Fleet) -> dict[SilentFor, float]:
    """Return what the next batch tells of silent minions; empty where nothing."""
    batch = fleet.scheduler.plan(fleet.now, fleet.now * 1000)
    if batch is None or SILENCES_KEY not in batch.value_by_key:
        return {}
    fleet.scheduler.on_durable(batch)
    return decode_silences(batch.value_by_key[SILENCES_KEY], fleet.now)


def go_dark() -> Fleet:
    """Return a fleet whose minion was last granted a lease at 5 s and is silent."""
    fleet = Fleet(1)
    fleet.add(job("a" * 16, LASTING))
    fleet.plan()
    fleet.now = 5.0
    fleet.report("i-0", fleet.running("i-0"))
    fleet.now = 6.0
    silent_look(fleet)
    fleet.now = 7.5
    silent_look(fleet)
    return fleet


def test_the_last_lease_of_a_silent_minion_is_written_down():
    ((silent, granted_at),) = written(go_dark()).items()
    assert silent == SilentFor("i-0", 5)
    assert 6.0 <= granted_at < 6.01


def test_one_lost_answer_writes_nothing_down():
    fleet = Fleet(1)
    fleet.add(job("a" * 16, LASTING))
    fleet.plan()
    fleet.now = 5.0
    silent_look(fleet)
    fleet.now += SILENCE_S / 2
    silent_look(fleet)
    assert written(fleet) == {}


def test_a_minion_without_runs_is_not_written_down():
    fleet = Fleet(1)
    for fleet.now in (5.0, 6.5):
        silent_look(fleet)
    assert written(fleet) == {}


def test_a_minion_that_answers_again_gets_a_lease_once_that_is_taken_back():
    fleet = go_dark()
    written(fleet)
    fleet.now = 8.0
    fleet.report("i-0", fleet.running("i-0"))
    assert fleet.ask("i-0").until_ms is None
    assert written(fleet) == {}
    assert fleet.ask("i-0").until_ms is not None


def test_no_start_goes_to_a_minion_before_its_silence_is_taken_back():
    fleet = go_dark()
    written(fleet)
    fleet.now = 8.0
    fleet.add(job("b" * 16, Step(1, SMALL, 500)))
    fleet.report("i-0", fleet.running("i-0"))
    batch = fleet.scheduler.plan(fleet.now, 0)
    assert batch is not None
    (order,) = batch.starts
    assert fleet.scheduler.on_start_sent(order.run, fleet.now) is None
    fleet.scheduler.on_durable(batch)
    (order,) = fleet.scheduler.plan(fleet.now, 0).starts  # type: ignore[union-attr]
    assert fleet.scheduler.on_start_sent(order.run, fleet.now) is not None


def successor(silences: dict[SilentFor, float], taken_at: float) -> Scheduler:
    """Return a new owner that knows one other minion, with a task on the silent one."""
    scheduler = Scheduler(Authority(9, taken_at, taken_at), TIMES)
    scheduler.set_configuration(configuration())
    scheduler.set_listings({"i-0": listing(0)}, taken_at)
    scheduler.take_over_silences(silences)
    booked = BookedJob(job("a" * 16, LASTING), 0.0)
    booked.progress.placed["0.0.0"] = [Placed("i-0", 1, 4)]
    scheduler.add_job(booked, taken_at)
    return scheduler


def freed(scheduler: Scheduler, now: float) -> bool:
    scheduler.authority.confirm(now)
    scheduler.plan(now, 0)
    return any(d.event == "run freed" for d in scheduler.take_decisions())


def test_a_new_owner_counts_from_the_last_lease_not_from_its_takeover():
    scheduler = successor({SilentFor("i-0", 4): 6.0}, taken_at=12.0)
    assert not freed(scheduler, 6.0 + TIMES.lapse - 0.1)
    assert freed(scheduler, 6.0 + TIMES.lapse + 0.3)


@pytest.mark.parametrize(
    "silences", [{}, {SilentFor("i-0", 3): 6.0}, {SilentFor("i-1", 4): 6.0}]
)
def test_a_silence_of_another_owner_or_minion_shortens_nothing(silences):
    scheduler = successor(silences, taken_at=12.0)
    assert not freed(scheduler, 12.0 + TIMES.former_owner + TIMES.lapse - 0.1)
    assert freed(scheduler, 12.0 + TIMES.former_owner + TIMES.lapse + 0.3)


def test_a_silence_is_handed_on_from_owner_to_owner():
    scheduler = successor({SilentFor("i-0", 4): 6.0}, taken_at=9.0)
    assert scheduler._silences.to_record({"i-0"}) == {SilentFor("i-0", 4): 6.0}


def test_what_is_read_late_is_never_taken_as_older_than_it_is():
    value = encode_silences({SilentFor("i-0", 4): 6.0}, 8.0)
    book = JobBook()
    book.fold(SILENCES_KEY, value, 0, now=108.5)
    (granted_at,) = book.last_grants.values()
    # Written at 8 s, read half a second later on a clock that is 100 s ahead.
    assert 106.5 <= granted_at < 106.502


def test_a_run_that_answers_its_new_owner_is_renewed_as_before():
    fleet = go_dark()
    row = RunningTask("a" * 16 + ".0.0.0", fleet.scheduler._next_run - 1, "", 100)
    fleet.report("i-0", (row,))
    written(fleet)
    assert fleet.scheduler.view_by_id["i-0"].runs


def look_in_vain(scheduler: Scheduler, now: float) -> None:
    request = scheduler.hold_request("i-0", now)
    assert request is not None
    scheduler.on_silence(request, now)


def test_an_owner_that_never_reached_a_minion_hands_on_when_the_former_one_ended():
    scheduler = successor({}, taken_at=9.0)
    for now in (9.5, 11.0):
        scheduler.authority.confirm(now)
        look_in_vain(scheduler, now)
    batch = scheduler.plan(11.0, 0)
    assert batch is not None
    # Read by a process that has just started, and that takes over at 14 s.
    known = decode_silences(batch.value_by_key[SILENCES_KEY], 11.1)
    ends_at = 9.0 + TIMES.former_owner
    assert ends_at <= known[SilentFor("i-0", 4)] <= ends_at + 0.11
    third = successor(known, taken_at=14.0)
    assert not freed(third, ends_at + TIMES.lapse)
    assert freed(third, ends_at + TIMES.lapse + 0.3)


def test_what_lies_ahead_is_not_taken_as_over():
    value = encode_silences({SilentFor("i-0", 4): 12.0}, 10.0)
    assert decode_silences(value, 10.0)[SilentFor("i-0", 4)] >= 12.0


def test_one_long_look_without_an_answer_is_silence_enough():
    fleet = Fleet(1)
    fleet.add(job("a" * 16, LASTING))
    fleet.plan()
    fleet.now = 5.0
    request = fleet.ask("i-0")
    fleet.now += 1.7
    fleet.scheduler.on_silence(request, fleet.now)
    assert set(written(fleet)) == {SilentFor("i-0", 5)}


def test_a_process_that_starts_during_a_rolling_restart_knows_when_epochs_ended():
    followed = JobBook()
    for epoch, opened_at in ((4, 0.0), (5, 12.0), (6, 14.5)):
        history = followed.opened_s_ago(opened_at)
        record = encode_owner(OwnerRecord(f"h{epoch}/strong-1", epoch, history))
        followed.fold(OWNER_KEY, record, epoch, opened_at)
    fresh = JobBook()
    # Reads the last owner's record alone, on a clock that is 100 s ahead.
    fresh.fold(OWNER_KEY, record, 0, now=116.0)
    assert 112.0 <= fresh.opened_at_by_epoch[5] <= 113.6
    scheduler = Scheduler(
        Authority(7, 118.0, 118.0), TIMES, opened_at_by_epoch=fresh.opened_at_by_epoch
    )
    scheduler.set_configuration(configuration())
    scheduler.set_listings({"i-0": listing(0)}, 118.0)
    booked = BookedJob(job("a" * 16, LASTING), 0.0)
    booked.progress.placed["0.0.0"] = [Placed("i-0", 1, 4)]
    scheduler.add_job(booked, 118.0)
    (run,) = scheduler.view_by_id["i-0"].runs.values()
    assert run.foreign_until is not None
    assert run.foreign_until <= 113.6 + TIMES.former_owner


def test_epochs_of_long_ago_are_not_handed_on():
    book = JobBook()
    book.fold(OWNER_KEY, encode_owner(OwnerRecord("h/strong-1", 4)), 0, 0.0)
    assert set(book.opened_s_ago(1.0)) == {4}
    assert book.opened_s_ago(1_000.0) == {}
