"""Simultaneous bursts of several pools: machines move to work that can be in time.

Guards against a pool keeping its machines for work whose result would come too late,
while work of another pool that could be in time waits.
"""

from __future__ import annotations

from geraniumshore_scheduler import (
    CordonMachine,
    MoveMachine,
    PoolLoad,
    PoolMachines,
    PoolPolicy,
    Step,
    UncordonMachine,
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
from tests.cover.test_machine_controller import Bench


def late(pool: str, capacity: float) -> PoolLoad:
    """Return a pool whose large backlog can no longer be done in time."""
    return PoolLoad(
        pool,
        batch_capacity=capacity,
        backlog=90,
        parallelism=90,
        has_unplaced_tasks=True,
    )


def timely(pool: str, capacity: float, machines: float) -> PoolLoad:
    """Return a pool with waiting work for some machines that can be done in time."""
    return PoolLoad(
        pool,
        batch_capacity=capacity,
        backlog=machines,
        parallelism=machines,
        timely_backlog=machines,
        timely_parallelism=machines,
        has_unplaced_tasks=True,
    )


def orders(policy, loads, busy, cordoned=(), idle=None, now=10.0):
    machines = PoolMachines(
        {"a": 8, "b": 2}, idle or {}, busy, {}, {m.machine: m for m in cordoned}
    )
    return list(policy.plan(loads, machines, "spare", now))


def test_machines_move_from_late_work_to_timely_work():
    busy = {"a": [machine(f"m{n}", "a") for n in range(8)]}
    loads = [late("a", 8), timely("b", 0, 3)]
    cordoned = orders(PoolPolicy(THRESHOLDS), loads, busy)
    assert cordoned[0] == CordonMachine("m0")
    assert 2 <= len(cordoned) <= 4


def test_pools_with_equal_demand_keep_their_machines():
    busy = {pool: [machine(f"{pool}{n}", pool) for n in range(4)] for pool in "ab"}
    loads = [timely("a", 4, 12), timely("b", 4, 12)]
    assert orders(PoolPolicy(THRESHOLDS), loads, busy) == []


def test_late_work_alone_cordons_no_machine():
    busy = {"a": [machine(f"m{n}", "a") for n in range(8)]}
    assert orders(PoolPolicy(THRESHOLDS), [late("a", 8), late("b", 1)], busy) == []


def test_the_reserve_of_a_quiet_pool_yields_to_jobs_that_wait():
    # Of four machines a quiet pool keeps two: half of an equal part of all twelve.
    idle = {"a": [machine(f"m{n}", "a") for n in range(4)]}
    quiet = PoolLoad("a", batch_capacity=4)
    sizes = {"a": 4, "b": 8}

    def moved_to(load: PoolLoad) -> set[str]:
        machines = PoolMachines(sizes, idle)
        planned = PoolPolicy(THRESHOLDS).plan([quiet, load], machines, "spare", 10.0)
        return {
            order.machine
            for order in planned
            if isinstance(order, MoveMachine) and order.pool == "b"
        }

    assert len(moved_to(timely("b", 8, 40))) == 3
    # Neither work that no job waits for yet nor late work takes from the reserve.
    assert len(moved_to(PoolLoad("b", batch_capacity=8, offered_load=20))) == 2
    assert len(moved_to(late("b", 8))) == 2


def test_a_recently_moved_machine_stays():
    policy = PoolPolicy(THRESHOLDS)
    policy.record_move("m0", 9.0)
    busy = {"a": [machine("m0", "a")]}
    assert orders(policy, [late("a", 4), timely("b", 0, 3)], busy) == []


def test_a_pool_keeps_its_last_machine():
    busy = {"a": [machine("m0", "a")]}
    assert orders(PoolPolicy(THRESHOLDS), [late("a", 1), timely("b", 0, 3)], busy) == []


def test_a_cordoned_machine_moves_once_nothing_runs_there():
    cordoned = machine("m0", "a")
    loads = [late("a", 7), timely("b", 0, 1)]
    assert orders(PoolPolicy(THRESHOLDS), loads, {}, [cordoned]) == []
    moved = orders(PoolPolicy(THRESHOLDS), loads, {}, [cordoned], {"a": [cordoned]})
    assert MoveMachine("m0", "b") in moved


def test_a_cordoned_machine_of_an_idle_pool_gets_only_one_order():
    cordoned = machine("m0", "a")
    loads = [PoolLoad("a", batch_capacity=9), timely("b", 0, 3)]
    given = orders(PoolPolicy(THRESHOLDS), loads, {}, [cordoned], {"a": [cordoned]})
    assert given == [MoveMachine("m0", "b")]


def test_a_machine_is_uncordoned_when_the_other_pool_does_not_need_it():
    loads = [timely("a", 7, 9), PoolLoad("b", batch_capacity=2)]
    assert orders(PoolPolicy(THRESHOLDS), loads, {}, [machine("m0", "a")]) == [
        UncordonMachine("m0")
    ]


def test_only_jobs_that_can_be_done_in_time_count_as_timely():
    fleet = Fleet(minions=1)
    whole = Step(1, CAPACITY, 1_000)
    for number in range(3):
        fleet.add(job(f"{number:016x}", whole))
    fleet.plan()
    (load,) = fleet.scheduler.pool_loads(fleet.now)
    assert (load.parallelism, load.timely_parallelism) == (2, 2)
    fleet.now = 60.0
    (load,) = fleet.scheduler.pool_loads(fleet.now)
    assert (load.parallelism, load.timely_parallelism) == (2, 0)


def test_work_beyond_a_teams_cap_does_not_count_as_timely():
    fleet = Fleet(minions=2, config=configuration(cap=CAPACITY))
    for number in range(2):
        fleet.add(job(f"{number:016x}", Step(1, CAPACITY, 1_000), team="team"))
    fleet.plan()
    (load,) = fleet.scheduler.pool_loads(fleet.now)
    assert load.timely_parallelism == 0


class CompetingPoolsBench(Bench):
    """A machine controller with a busy pool ``s`` while work of another pool waits."""

    def __init__(self) -> None:
        super().__init__(minions=3)
        for number in range(3):
            self.fleet.add(job(f"{number:016x}", Step(1, SMALL, 500)))
        self.fleet.plan()
        self.loads = [late("s", 3), timely("t", 0, 2)]
        self.fleet.scheduler.pool_loads = lambda now: self.loads  # type: ignore[method-assign]

    def step(self) -> None:
        self.pass_time(0.6)
        self.controller._step()

    def accepting(self) -> set[str]:
        views = self.fleet.scheduler.view_by_id
        return {name for name, view in views.items() if view.accepts(self.fleet.now)}


def busy_minion(bench: Bench) -> str:
    (name,) = (n for n, v in bench.fleet.scheduler.view_by_id.items() if v.runs)
    return name


def test_a_busy_machine_is_cordoned_and_moves_after_its_tasks_have_ended():
    bench = CompetingPoolsBench()
    name = busy_minion(bench)
    bench.loads = [late("s", 2), timely("t", 0, 9)]
    bench.step()
    assert name not in bench.accepting()
    assert ("move", "m-" + name[2:]) not in bench.machines.orders
    bench.fleet.report(name)
    bench.pass_time(1.0)
    bench.fleet.report(name)
    assert not bench.fleet.scheduler.view_by_id[name].runs
    bench.step()
    assert ("move", "m-" + name[2:]) in bench.machines.orders


def test_a_machine_with_a_long_running_task_is_never_cordoned_for_a_move():
    bench = CompetingPoolsBench()
    name = busy_minion(bench)
    bench.fleet.add(job("f" * 16, Step(3, SMALL, 500, lasting=True, most_per_minion=1)))
    bench.fleet.plan()
    bench.step()
    assert name in bench.accepting()
    assert bench.machines.orders == []


def test_a_machine_takes_work_again_when_the_other_pool_does_not_need_it():
    bench = CompetingPoolsBench()
    name = busy_minion(bench)
    bench.loads = [late("s", 2), timely("t", 0, 9)]
    bench.step()
    assert name not in bench.accepting()
    bench.loads = [timely("s", 2, 9), PoolLoad("t", batch_capacity=2)]
    bench.step()
    assert name in bench.accepting()
