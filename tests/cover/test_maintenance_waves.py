"""Maintenance waves: machines are drained within budgets of long-running tasks."""

from __future__ import annotations

from dataclasses import replace

import pytest

from geraniumshore_scheduler import (
    AnnouncedWave,
    MachineListing,
    MaintenanceWave,
    RegisteredJob,
    Step,
    WaveRegistry,
    may_interrupt,
)
from tests.common.schedule_parts import (
    CAPACITY,
    SMALL,
    TIMES,
    Fleet,
    job,
    listing,
)

LONG_RUNNING_STEP = Step(3, SMALL, 500, lasting=True, most_per_minion=1, may_miss=1)


def fleet_with_long_running_step() -> Fleet:
    fleet = Fleet(minions=4)
    fleet.add(job("a" * 16, LONG_RUNNING_STEP))
    fleet.plan()
    for number in range(4):
        fleet.report(f"i-{number}", fleet.running(f"i-{number}"))
    return fleet


def machines(fleet: Fleet, pool: str = "s") -> dict[str, MachineListing]:
    return {
        f"m-{view.minion_id}": MachineListing(
            f"m-{view.minion_id}",
            pool,
            True,
            "a",
            ("a", "r1"),
            CAPACITY,
            view.minion_id,
        )
        for view in fleet.scheduler.view_by_id.values()
    }


def plan(
    registry: WaveRegistry,
    fleet: Fleet,
    listed: dict[str, MachineListing],
    maybe_down: frozenset[str] = frozenset(),
):
    return list(
        registry.plan(
            listed,
            fleet.scheduler.view_by_id,
            fleet.scheduler.job_by_id,
            ["spare"],
            fleet.now,
            maybe_down,
        )
    )


def interruptible(fleet: Fleet) -> list[bool]:
    opened = fleet.scheduler.job_by_id["a" * 16]
    views = fleet.scheduler.view_by_id
    return [may_interrupt(run, opened, views) for run in opened.runs.values()]


def test_one_task_of_a_step_may_be_missing():
    fleet = fleet_with_long_running_step()
    assert interruptible(fleet) == [True, True, True]


def test_a_task_on_an_unresponsive_minion_counts_as_missing():
    fleet = fleet_with_long_running_step()
    run = next(iter(fleet.scheduler.job_by_id["a" * 16].runs.values()))
    fleet.scheduler.on_poll_unanswered(fleet.poll(run.minion_id), fleet.now)
    assert interruptible(fleet) == [True, False, False]


def test_a_task_that_is_being_stopped_counts_as_missing():
    fleet = fleet_with_long_running_step()
    run = next(iter(fleet.scheduler.job_by_id["a" * 16].runs.values()))
    run.stop_wanted = True
    assert interruptible(fleet)[1:] == [False, False]


def test_a_task_that_a_former_owner_may_have_stopped_counts_as_missing():
    former = fleet_with_long_running_step()
    progress = former.scheduler.job_by_id["a" * 16].progress
    fleet = Fleet(minions=0, epoch=6)
    fleet.scheduler.set_listings({f"i-{n}": listing(n) for n in range(4)}, 0.0)
    taken_over = RegisteredJob(job("a" * 16, LONG_RUNNING_STEP), 0.0, progress=progress)
    fleet.scheduler.add_job(taken_over, 0.0)
    rows = {minion: fleet.running(minion) for minion in fleet.scheduler.view_by_id}
    for minion, running in rows.items():
        fleet.report(minion, running)
    assert interruptible(fleet) == [False, False, False]
    # A stop that the former owner sent would have ended its run by now.
    fleet.now += TIMES.longest_stop
    for minion, running in rows.items():
        fleet.report(minion, running)
    assert interruptible(fleet) == [True, True, True]


def test_a_machine_is_drained_before_its_maintenance():
    fleet = fleet_with_long_running_step()
    registry = WaveRegistry()
    listed = machines(fleet)
    minion_id = next(iter(fleet.scheduler.job_by_id["a" * 16].runs.values())).minion_id
    registry.announce(MaintenanceWave(1, (f"m-{minion_id}",), 30, 1), fleet.now)
    assert plan(registry, fleet, listed) == []
    run = next(iter(fleet.scheduler.view_by_id[minion_id].runs.values()))
    assert run.stop_wanted
    fleet.scheduler._release_run(run, fleet.now, "stopped")
    fleet.plan()
    assert not fleet.scheduler.view_by_id[minion_id].runs
    (maintenance,) = plan(registry, fleet, listed)
    assert maintenance.machine == f"m-{minion_id}"


def test_no_more_machines_are_down_than_the_wave_allows():
    fleet = Fleet(minions=4)
    registry = WaveRegistry()
    listed = machines(fleet)
    registry.announce(MaintenanceWave(1, tuple(listed), 4, 2), fleet.now)
    ordered = plan(registry, fleet, listed)
    assert len(ordered) == 2
    for maintenance in ordered:
        registry.on_answer(maintenance, True)
    assert plan(registry, fleet, listed) == []


def test_an_order_without_an_answer_counts_as_down_and_is_given_again():
    fleet = Fleet(minions=2)
    registry = WaveRegistry()
    listed = machines(fleet)
    registry.announce(MaintenanceWave(1, tuple(listed), 4, 1), fleet.now)
    (maintenance,) = plan(registry, fleet, listed)
    registry.on_answer(maintenance, None)
    assert list(registry.unanswered()) == [maintenance]
    assert plan(registry, fleet, listed) == []


def test_a_machine_that_was_off_comes_up_without_a_minion():
    fleet = Fleet(minions=0)
    registry = WaveRegistry()
    off = MachineListing("m-1", "spare", True, "a", ("a", "r1"), CAPACITY, None)
    registry.announce(MaintenanceWave(1, ("m-1",), 30, 1), fleet.now)
    (maintenance,) = plan(registry, fleet, {"m-1": off})
    registry.on_answer(maintenance, True)
    assert registry.busy
    registry.update_machines({"m-1": off})
    assert not registry.busy


def test_a_wave_is_done_once_maintenance_of_every_listed_machine_has_begun():
    fleet = Fleet(minions=2)
    registry = WaveRegistry()
    listed = machines(fleet)
    registry.announce(MaintenanceWave(1, tuple(listed), 30, 2), fleet.now)
    assert list(registry.unreported_waves()) == [(1, False)]
    registry.mark_reported(1, False)
    first, *_ = plan(registry, fleet, listed)
    registry.on_answer(first, True)
    assert list(registry.unreported_waves()) == []
    registry.update_machines({first.machine: listed[first.machine]})
    assert list(registry.unreported_waves()) == [(1, True)]


def test_machines_taken_down_by_a_former_owner_count_against_the_limit():
    fleet = Fleet(minions=3)
    listed = machines(fleet)
    down, *others = sorted(listed)
    registry = WaveRegistry()
    registry.announce(MaintenanceWave(1, tuple(listed), 30, 1), 0.0, done=[down])
    listed[down] = replace(listed[down], up=False, in_maintenance=True)
    registry.update_machines(listed)
    assert plan(registry, fleet, listed) == []
    listed[down] = replace(listed[down], up=True, in_maintenance=False)
    registry.update_machines(listed)
    # The list may be older than the last order of the former owner.
    assert plan(registry, fleet, listed, frozenset({down})) == []
    (order,) = plan(registry, fleet, listed)
    assert order.machine in others


WAVE = MaintenanceWave(1, ("m-0",), 24, 1)
NEVER = float("-inf")


def test_a_disconnected_node_assumes_the_earliest_announcement():
    # The node had read the whole log at 2.5 s and reads the announcement at 11.5 s.
    assert AnnouncedWave(WAVE, 2.5, 11.5).announced_at(None) == 2.5


def test_a_new_process_without_a_record_assumes_the_time_of_reading():
    assert AnnouncedWave(WAVE, NEVER, 11.5).announced_at(None) == 11.5


def test_a_new_process_derives_the_announcement_from_a_recorded_end():
    assert AnnouncedWave(WAVE, NEVER, 11.5).announced_at(27.6) == pytest.approx(3.6)


@pytest.mark.parametrize(("recorded", "announced"), [(20.0, 2.5), (60.0, 4.5)])
def test_a_recorded_end_is_clamped_to_the_bounds_of_the_node(recorded, announced):
    assert AnnouncedWave(WAVE, 2.5, 4.5).announced_at(recorded) == announced
