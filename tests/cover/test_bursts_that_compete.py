"""Bursts of several pools at once: machines go where work can still be in time."""

from __future__ import annotations

from geraniumshore_scheduler import (
    Empty,
    Keep,
    Move,
    PoolLoad,
    PoolMachines,
    PoolPolicy,
    Step,
)
from tests.common.schedule_parts import (
    CAPACITY,
    POOL_RATES as RATES,
    SMALL,
    Fleet,
    configuration,
    job,
    machine,
)
from tests.cover.test_machine_controller import Bench


def stale(pool: str, room: float) -> PoolLoad:
    """Return a pool whose backlog is large and can no longer be in time."""
    return PoolLoad(pool, room=room, backlog=90, parallel=90, busy=True)


def timely(pool: str, room: float, machines: float) -> PoolLoad:
    """Return a pool in which work for some machines waits that can be in time."""
    return PoolLoad(
        pool,
        room=room,
        backlog=machines,
        parallel=machines,
        timely_backlog=machines,
        timely_parallel=machines,
        busy=True,
    )


def orders(policy, loads, busy, emptying=(), idle=None, now=10.0):
    machines = PoolMachines(
        {"a": 8, "b": 2}, idle or {}, busy, {}, {m.machine: m for m in emptying}
    )
    return list(policy.plan(loads, machines, "spare", now))


def test_a_pool_with_stale_work_gives_machines_to_one_with_timely_work():
    busy = {"a": [machine(f"m{n}", "a") for n in range(8)]}
    loads = [stale("a", 8), timely("b", 0, 3)]
    emptied = orders(PoolPolicy(RATES), loads, busy)
    assert emptied[0] == Empty("m0")
    assert 2 <= len(emptied) <= 4


def test_pools_that_are_equally_short_keep_what_they_have():
    busy = {pool: [machine(f"{pool}{n}", pool) for n in range(4)] for pool in "ab"}
    loads = [timely("a", 4, 12), timely("b", 4, 12)]
    assert orders(PoolPolicy(RATES), loads, busy) == []


def test_stale_work_alone_empties_no_machine():
    busy = {"a": [machine(f"m{n}", "a") for n in range(8)]}
    assert orders(PoolPolicy(RATES), [stale("a", 8), stale("b", 1)], busy) == []


def test_a_machine_that_has_just_come_stays():
    policy = PoolPolicy(RATES)
    policy.note_moved("m0", 9.0)
    busy = {"a": [machine("m0", "a")]}
    assert orders(policy, [stale("a", 4), timely("b", 0, 3)], busy) == []


def test_a_pool_keeps_its_last_machine():
    busy = {"a": [machine("m0", "a")]}
    assert orders(PoolPolicy(RATES), [stale("a", 1), timely("b", 0, 3)], busy) == []


def test_an_emptied_machine_moves_once_nothing_runs_there():
    leaving = machine("m0", "a")
    loads = [stale("a", 7), timely("b", 0, 1)]
    assert orders(PoolPolicy(RATES), loads, {}, [leaving]) == []
    moved = orders(PoolPolicy(RATES), loads, {}, [leaving], {"a": [leaving]})
    assert Move("m0", "b") in moved


def test_an_emptied_machine_gets_one_order_though_its_pool_is_quiet_by_now():
    leaving = machine("m0", "a")
    loads = [PoolLoad("a", room=9), timely("b", 0, 3)]
    given = orders(PoolPolicy(RATES), loads, {}, [leaving], {"a": [leaving]})
    assert given == [Move("m0", "b")]


def test_a_machine_is_kept_when_the_other_pool_needs_it_no_more():
    loads = [timely("a", 7, 9), PoolLoad("b", room=2)]
    assert orders(PoolPolicy(RATES), loads, {}, [machine("m0", "a")]) == [Keep("m0")]


def test_only_jobs_that_can_be_in_time_count_as_timely():
    fleet = Fleet(minions=1)
    whole = Step(1, CAPACITY, 1_000)
    for number in range(3):
        fleet.add(job(f"{number:016x}", whole))
    fleet.plan()
    (load,) = fleet.scheduler.pool_loads(fleet.now)
    assert (load.parallel, load.timely_parallel) == (2, 2)
    fleet.now = 60.0
    (load,) = fleet.scheduler.pool_loads(fleet.now)
    assert (load.parallel, load.timely_parallel) == (2, 0)


def test_work_beyond_a_teams_cap_counts_as_no_timely_work():
    fleet = Fleet(minions=2, config=configuration(cap=CAPACITY))
    for number in range(2):
        fleet.add(job(f"{number:016x}", Step(1, CAPACITY, 1_000), team="team"))
    fleet.plan()
    (load,) = fleet.scheduler.pool_loads(fleet.now)
    assert load.timely_parallel == 0


class CompetingBench(Bench):
    """A machinist whose pool ``s`` is busy while another pool's work waits."""

    def __init__(self) -> None:
        super().__init__(minions=3)
        for number in range(3):
            self.fleet.add(job(f"{number:016x}", Step(1, SMALL, 500)))
        self.fleet.plan()
        self.loads = [stale("s", 3), timely("t", 0, 2)]
        self.fleet.scheduler.pool_loads = lambda now: self.loads  # type: ignore[method-assign]

    def step(self) -> None:
        self.pass_time(0.6)
        self.machinist._step()

    def accepting(self) -> set[str]:
        views = self.fleet.scheduler.view_by_id
        return {name for name, view in views.items() if view.accepts(self.fleet.now)}


def busy_minion(bench: Bench) -> str:
    (name,) = (n for n, v in bench.fleet.scheduler.view_by_id.items() if v.runs)
    return name


def test_a_busy_machine_takes_no_more_work_and_moves_when_its_tasks_have_ended():
    bench = CompetingBench()
    name = busy_minion(bench)
    bench.loads = [stale("s", 2), timely("t", 0, 9)]
    bench.step()
    assert name not in bench.accepting()
    assert ("move", "m-" + name[2:]) not in bench.machines.orders
    bench.fleet.report(name)
    bench.pass_time(1.0)
    bench.fleet.report(name)
    assert not bench.fleet.scheduler.view_by_id[name].runs
    bench.step()
    assert ("move", "m-" + name[2:]) in bench.machines.orders


def test_a_machine_with_a_lasting_task_is_never_emptied_for_another_pool():
    bench = CompetingBench()
    name = busy_minion(bench)
    bench.fleet.add(job("f" * 16, Step(3, SMALL, 500, lasting=True, most_per_minion=1)))
    bench.fleet.plan()
    bench.step()
    assert name in bench.accepting()
    assert bench.machines.orders == []


def test_a_machine_that_the_other_pool_no_longer_needs_takes_work_again():
    bench = CompetingBench()
    name = busy_minion(bench)
    bench.loads = [stale("s", 2), timely("t", 0, 9)]
    bench.step()
    assert name not in bench.accepting()
    bench.loads = [timely("s", 2, 9), PoolLoad("t", room=2)]
    bench.step()
    assert name in bench.accepting()
