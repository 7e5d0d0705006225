"""Queues with alternating bursts: machines move to the pools where work arrives."""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import (
    JobState,
    MachineListing,
    MoveMachine,
    PoolLoad,
    PoolMachines,
    PoolPolicy,
    RegisteredJob,
    Resources,
    Step,
)
from tests.common.schedule_parts import (
    CAPACITY,
    POOL_THRESHOLDS as THRESHOLDS,
    SMALL,
    Fleet,
    configuration,
    job,
    machine,
)


def moves(policy, loads, idle, sizes=None, inbound=None, now=10.0):
    machines = PoolMachines(sizes or {}, idle, inbound_by_pool=inbound or {})
    return list(policy.plan(loads, machines, "spare", now))


def spare_machines(count: int) -> dict[str, list[MachineListing]]:
    return {"spare": [machine(f"m{n}", "spare") for n in range(count)]}


def test_spare_machines_go_to_the_pool_with_the_largest_shortfall():
    loads = [
        PoolLoad("a", offered_load=0.5),
        PoolLoad("b", offered_load=1.5, parallelism=9),
    ]
    pools = [
        move.pool for move in moves(PoolPolicy(THRESHOLDS), loads, spare_machines(4))
    ]
    assert pools[0] == "b"
    assert "a" in pools


def test_inbound_machines_reduce_the_shortfall():
    load = PoolLoad("a", offered_load=1.0, parallelism=5)
    assert (
        moves(PoolPolicy(THRESHOLDS), [load], spare_machines(1), inbound={"a": 1}) == []
    )


def test_a_backlog_that_the_pool_clears_in_time_needs_no_machine():
    load = PoolLoad(
        "a",
        batch_capacity=4,
        offered_load=1,
        backlog=5,
        parallelism=5,
        has_unplaced_tasks=True,
    )
    assert moves(PoolPolicy(THRESHOLDS), [load], spare_machines(5)) == []


def test_a_backlog_gets_no_more_machines_than_it_can_use():
    load = PoolLoad(
        "a",
        batch_capacity=0,
        offered_load=0,
        backlog=50,
        parallelism=2,
        has_unplaced_tasks=True,
    )
    assert len(moves(PoolPolicy(THRESHOLDS), [load], spare_machines(9))) == 2


def test_an_idle_machine_is_released_after_a_time_without_unplaced_tasks():
    policy = PoolPolicy(THRESHOLDS)
    idle = {"a": [machine("m1", "a")]}
    moves(
        policy, [PoolLoad("a", batch_capacity=3, has_unplaced_tasks=True)], {}, now=1.0
    )
    idle_load = [PoolLoad("a", batch_capacity=3)]
    assert moves(policy, idle_load, idle, {"a": 3}, now=1.5) == []
    assert moves(policy, idle_load, idle, {"a": 3}, now=3.0) == [
        MoveMachine("m1", "spare")
    ]


@pytest.mark.parametrize(
    "load",
    [
        PoolLoad("a", batch_capacity=3.0, offered_load=2.0),
        PoolLoad("a", batch_capacity=3.4),
    ],
    ids=["for the offered load", "for the onset of a burst"],
)
def test_a_pool_keeps_machines(load):
    idle = {"a": [machine("m1", "a")]}
    sizes = {"a": 4, "spare": 6}
    assert moves(PoolPolicy(THRESHOLDS), [load], idle, sizes) == []


def test_a_pool_without_any_jobs_so_far_keeps_its_machines():
    idle = {"a": [machine("m1", "a")]}
    unused = PoolLoad("a", batch_capacity=3, has_had_jobs=False)
    assert moves(PoolPolicy(THRESHOLDS), [unused], idle, {"a": 3}) == []


def test_a_machine_moves_directly_from_an_idle_pool_to_a_busy_one():
    idle = {"a": [machine("m1", "a")]}
    loads = [
        PoolLoad("a", batch_capacity=3),
        PoolLoad("b", offered_load=1.0, parallelism=3),
    ]
    assert moves(PoolPolicy(THRESHOLDS), loads, idle, {"a": 3}) == [
        MoveMachine("m1", "b")
    ]


def test_a_new_owner_releases_machines_that_a_former_owner_moved():
    fleet = Fleet(minions=3)
    ended = RegisteredJob(job("a" * 16, Step(1, CAPACITY, 500)), 0.0)
    ended.progress.state = JobState.DONE
    fleet.scheduler.add_job(ended, -5.0)
    loads = fleet.scheduler.pool_loads(0.0)
    idle = {"s": [machine("m1", "s")]}
    assert moves(PoolPolicy(THRESHOLDS), loads, idle, {"s": 3}) == [
        MoveMachine("m1", "spare")
    ]


def test_a_long_running_task_can_need_a_machine_for_its_memory_alone():
    fleet = Fleet(minions=1)
    large = Resources(100, CAPACITY.memory_mb * 3 // 4, 0)
    fleet.add(job("a" * 16, Step(2, large, 500, lasting=True)))
    fleet.plan()
    (load,) = fleet.scheduler.pool_loads(0.0)
    assert load.long_running_machines == pytest.approx(0.75)
    assert moves(PoolPolicy(THRESHOLDS), [load], spare_machines(2)) == [
        MoveMachine("m0", "s")
    ]


def test_a_small_long_running_task_gets_a_machine_if_its_pool_takes_no_work():
    """Guards against LOST while all machines of its pool are drained for upkeep."""
    fleet = Fleet(minions=2)
    for number in range(2):
        fleet.scheduler.set_cordoned(f"i-{number}", cordoned=True)
    fleet.add(job("a" * 16, Step(1, SMALL, 500, lasting=True)))
    fleet.plan()
    (load,) = fleet.scheduler.pool_loads(0.0)
    assert 0 < load.long_running_machines < THRESHOLDS.min_shortfall
    spare = spare_machines(2)
    assert moves(PoolPolicy(THRESHOLDS), [load], spare) == [MoveMachine("m0", "s")]


def test_a_task_that_needs_its_own_minion_needs_a_whole_machine():
    fleet = Fleet(minions=1)
    fleet.add(job("a" * 16, Step(2, SMALL, 500, lasting=True, most_per_minion=1)))
    fleet.plan()
    (load,) = fleet.scheduler.pool_loads(0.0)
    assert load.long_running_machines == 1


def test_offered_load_starts_with_the_first_job_of_a_burst():
    fleet = Fleet(minions=1)
    assert fleet.scheduler.pool_loads(0.0)[0].offered_load == 0
    fleet.add(job("a" * 16, Step(16, SMALL, 1000)))
    assert fleet.scheduler.pool_loads(0.0)[0].offered_load == pytest.approx(1.0)
    assert fleet.scheduler.pool_loads(1.5)[0].offered_load == 0


def test_the_onset_of_a_burst_is_detected_from_its_first_jobs():
    fleet = Fleet(minions=1)
    for number in range(6):
        fleet.now = number * 0.05
        fleet.add(job(f"{number:016x}", Step(16, SMALL, 1000)))
    (load,) = fleet.scheduler.pool_loads(0.25)
    assert load.offered_load == pytest.approx(6 / 0.25)
    (load,) = fleet.scheduler.pool_loads(0.9)
    assert load.offered_load == pytest.approx(6)


def fleet_with_team_at_cap() -> Fleet:
    """Return a fleet whose team submits five times the work that its cap lets run."""
    fleet = Fleet(minions=3, config=configuration(cap=Resources(16_000, 0, 0)))
    for number in range(5):
        added = job(f"{number:016x}", Step(16, SMALL, 1000), team="team")
        fleet.add(added)
    fleet.plan()
    return fleet


def test_a_team_at_its_cap_needs_no_machines():
    (load,) = fleet_with_team_at_cap().scheduler.pool_loads(0.0)
    assert load.offered_load == pytest.approx(1.0)
    assert load.backlog == load.parallelism == 0.0


def test_jobs_that_wait_for_a_cap_do_not_keep_idle_machines():
    fleet = fleet_with_team_at_cap()
    assert fleet.scheduler.has_waiting_tasks()
    (load,) = fleet.scheduler.pool_loads(0.0)
    assert not load.has_unplaced_tasks


def test_a_backlog_counts_up_to_the_cap_of_its_team():
    fleet = Fleet(minions=1, config=configuration(cap=Resources(20_000, 0, 0)))
    fleet.add(job("a" * 16, Step(48, SMALL, 1000), team="team"))
    fleet.plan()
    (load,) = fleet.scheduler.pool_loads(0.0)
    assert load.has_unplaced_tasks
    assert load.parallelism == pytest.approx(4 / 16)
