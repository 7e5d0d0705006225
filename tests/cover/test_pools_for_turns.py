"""Queues whose bursts come by turns: machines stand where tasks wait."""

from __future__ import annotations

from geraniumshore_scheduler import (
    BookedJob,
    JobState,
    MachineListing,
    Move,
    PoolLoad,
    PoolPolicy,
    Resources,
    Step,
)
from tests.common.schedule_parts import CAPACITY, Fleet, job


def machine(name: str, pool: str) -> MachineListing:
    return MachineListing(name, pool, True, "a", ("a", "r1"), CAPACITY, f"i-{name}")


def moves(policy, loads, idle, sizes=None, coming=None, now=10.0):
    return list(policy.plan(loads, idle, sizes or {}, coming or {}, "spare", now))


def busy(pool: str, machines: float) -> PoolLoad:
    wanted = Resources(int(CAPACITY.cpu_milli * machines), 0, 0)
    return PoolLoad(pool, wanted, busy=True)


def test_spare_machines_go_to_the_pool_that_lacks_most():
    idle = {"spare": [machine(f"m{n}", "spare") for n in range(3)]}
    loads = [busy("a", 0.5), busy("b", 2.2)]
    assert [move.pool for move in moves(PoolPolicy(), loads, idle)] == ["b", "b", "a"]


def test_machines_on_their_way_count():
    idle = {"spare": [machine("m1", "spare")]}
    assert moves(PoolPolicy(), [busy("a", 1.0)], idle, coming={"a": 1}) == []


def test_memory_alone_brings_a_machine():
    idle = {"spare": [machine("m1", "spare")]}
    load = PoolLoad("a", Resources(100, CAPACITY.memory_mb // 2, 0), busy=True)
    assert moves(PoolPolicy(), [load], idle) == [Move("m1", "a")]


def test_a_task_that_wants_a_minion_of_its_own_brings_a_machine():
    idle = {"spare": [machine("m1", "spare")]}
    load = PoolLoad("a", Resources(100, 100, 0), apart=1, busy=True)
    assert moves(PoolPolicy(), [load], idle) == [Move("m1", "a")]


def test_an_idle_machine_leaves_once_its_pool_is_quiet():
    policy = PoolPolicy()
    idle = {"a": [machine("m1", "a")]}
    free = Resources(*(amount * 3 for amount in CAPACITY))
    moves(policy, [busy("a", 0.1)], {}, now=1.0)
    quiet = [PoolLoad("a", free=free)]
    assert moves(policy, quiet, idle, {"a": 3}, now=1.5) == []
    assert moves(policy, quiet, idle, {"a": 3}, now=3.0) == [Move("m1", "spare")]


def test_a_pool_keeps_its_reserve():
    policy = PoolPolicy()
    idle = {"a": [machine("m1", "a")]}
    moves(policy, [busy("a", 0.1)], {}, now=1.0)
    tight = [PoolLoad("a", free=Resources(CAPACITY.cpu_milli, CAPACITY.memory_mb, 0))]
    assert moves(policy, tight, idle, {"a": 6}, now=5.0) == []


def test_a_pool_without_work_so_far_is_left_alone():
    free = Resources(*(amount * 3 for amount in CAPACITY))
    idle = {"a": [machine("m1", "a")]}
    unused = PoolLoad("a", free=free, used=False)
    assert moves(PoolPolicy(), [unused], idle, {"a": 3}) == []


def test_a_new_owner_gives_back_what_a_former_one_moved_in():
    fleet = Fleet(minions=3)
    ended = BookedJob(job("a" * 16, Step(1, CAPACITY, 500)), 0.0)
    ended.progress.state = JobState.DONE
    fleet.scheduler.add_job(ended, 0.0)
    idle = {"s": [machine("m1", "s")]}
    loads = fleet.scheduler.pool_loads(0.0)
    assert moves(PoolPolicy(), loads, idle, {"s": 3}) == [Move("m1", "spare")]


def test_a_machine_goes_from_a_quiet_pool_straight_to_a_busy_one():
    policy = PoolPolicy()
    free = Resources(*(amount * 3 for amount in CAPACITY))
    moves(policy, [busy("a", 0.1)], {}, now=1.0)
    loads = [PoolLoad("a", free=free), busy("b", 1.0)]
    idle = {"a": [machine("m1", "a")]}
    assert moves(policy, loads, idle, {"a": 3}, now=5.0) == [Move("m1", "b")]
