"""Queues whose bursts come by turns: machines stand where work comes."""

from __future__ import annotations

import pytest

from geraniumshore_scheduler import (
    BookedJob,
    JobState,
    MachineListing,
    Move,
    PoolLoad,
    PoolMachines,
    PoolPolicy,
    Resources,
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


def moves(policy, loads, idle, sizes=None, coming=None, now=10.0):
    machines = PoolMachines(sizes or {}, idle, coming_by_pool=coming or {})
    return list(policy.plan(loads, machines, "spare", now))


def spares(count: int) -> dict[str, list[MachineListing]]:
    return {"spare": [machine(f"m{n}", "spare") for n in range(count)]}


def test_spare_machines_go_to_the_pool_that_lacks_most():
    loads = [PoolLoad("a", offered=0.5), PoolLoad("b", offered=1.5, parallel=9)]
    pools = [move.pool for move in moves(PoolPolicy(RATES), loads, spares(4))]
    assert pools[0] == "b"
    assert "a" in pools


def test_machines_on_their_way_count():
    load = PoolLoad("a", offered=1.0, parallel=5)
    assert moves(PoolPolicy(RATES), [load], spares(1), coming={"a": 1}) == []


def test_a_backlog_that_the_pool_does_by_itself_in_time_brings_no_machine():
    load = PoolLoad("a", room=4, offered=1, backlog=5, parallel=5, busy=True)
    assert moves(PoolPolicy(RATES), [load], spares(5)) == []


def test_a_backlog_brings_no_more_machines_than_it_can_use():
    load = PoolLoad("a", room=0, offered=0, backlog=50, parallel=2, busy=True)
    assert len(moves(PoolPolicy(RATES), [load], spares(9))) == 2


def test_an_idle_machine_leaves_once_its_pool_is_quiet():
    policy = PoolPolicy(RATES)
    idle = {"a": [machine("m1", "a")]}
    moves(policy, [PoolLoad("a", room=3, busy=True)], {}, now=1.0)
    quiet = [PoolLoad("a", room=3)]
    assert moves(policy, quiet, idle, {"a": 3}, now=1.5) == []
    assert moves(policy, quiet, idle, {"a": 3}, now=3.0) == [Move("m1", "spare")]


@pytest.mark.parametrize(
    "load",
    [
        PoolLoad("a", room=3.0, offered=2.0),
        PoolLoad("a", room=3.4),
    ],
    ids=["for the work that comes", "for the onset of a burst"],
)
def test_a_pool_keeps_machines(load):
    idle = {"a": [machine("m1", "a")]}
    sizes = {"a": 4, "spare": 6}
    assert moves(PoolPolicy(RATES), [load], idle, sizes) == []


def test_a_pool_without_work_so_far_is_left_alone():
    idle = {"a": [machine("m1", "a")]}
    unused = PoolLoad("a", room=3, used=False)
    assert moves(PoolPolicy(RATES), [unused], idle, {"a": 3}) == []


def test_a_machine_goes_from_a_quiet_pool_straight_to_a_busy_one():
    idle = {"a": [machine("m1", "a")]}
    loads = [PoolLoad("a", room=3), PoolLoad("b", offered=1.0, parallel=3)]
    assert moves(PoolPolicy(RATES), loads, idle, {"a": 3}) == [Move("m1", "b")]


def test_a_new_owner_gives_back_what_a_former_one_moved_in():
    fleet = Fleet(minions=3)
    ended = BookedJob(job("a" * 16, Step(1, CAPACITY, 500)), 0.0)
    ended.progress.state = JobState.DONE
    fleet.scheduler.add_job(ended, -5.0)
    loads = fleet.scheduler.pool_loads(0.0)
    idle = {"s": [machine("m1", "s")]}
    assert moves(PoolPolicy(RATES), loads, idle, {"s": 3}) == [Move("m1", "spare")]


def test_memory_alone_makes_a_lasting_task_want_a_machine():
    fleet = Fleet(minions=1)
    large = Resources(100, CAPACITY.memory_mb * 3 // 4, 0)
    fleet.add(job("a" * 16, Step(2, large, 500, lasting=True)))
    fleet.plan()
    (load,) = fleet.scheduler.pool_loads(0.0)
    assert load.lasting == pytest.approx(0.75)
    assert moves(PoolPolicy(RATES), [load], spares(2)) == [Move("m0", "s")]


def test_a_task_that_wants_a_minion_of_its_own_wants_a_whole_machine():
    fleet = Fleet(minions=1)
    fleet.add(job("a" * 16, Step(2, SMALL, 500, lasting=True, most_per_minion=1)))
    fleet.plan()
    (load,) = fleet.scheduler.pool_loads(0.0)
    assert load.lasting == 1


def test_work_is_offered_from_the_first_job_of_a_burst():
    fleet = Fleet(minions=1)
    assert fleet.scheduler.pool_loads(0.0)[0].offered == 0
    fleet.add(job("a" * 16, Step(16, SMALL, 1000)))
    assert fleet.scheduler.pool_loads(0.0)[0].offered == pytest.approx(1.0)
    assert fleet.scheduler.pool_loads(1.5)[0].offered == 0


def test_the_onset_of_a_burst_is_seen_in_its_first_jobs():
    fleet = Fleet(minions=1)
    for number in range(6):
        fleet.now = number * 0.05
        fleet.add(job(f"{number:016x}", Step(16, SMALL, 1000)))
    (load,) = fleet.scheduler.pool_loads(0.25)
    assert load.offered == pytest.approx(6 / 0.25)
    (load,) = fleet.scheduler.pool_loads(0.9)
    assert load.offered == pytest.approx(6)


def at_its_cap() -> Fleet:
    """Return a fleet whose team sends five times what its cap lets run."""
    fleet = Fleet(minions=3, config=configuration(cap=Resources(16_000, 0, 0)))
    for number in range(5):
        added = job(f"{number:016x}", Step(16, SMALL, 1000), team="team")
        fleet.add(added)
    fleet.plan()
    return fleet


def test_a_team_at_its_cap_asks_for_no_machines():
    (load,) = at_its_cap().scheduler.pool_loads(0.0)
    assert load.offered == pytest.approx(1.0)
    assert load.backlog == load.parallel == 0.0


def test_jobs_that_wait_for_their_team_s_cap_do_not_hold_idle_machines():
    fleet = at_its_cap()
    assert fleet.scheduler.has_work()
    (load,) = fleet.scheduler.pool_loads(0.0)
    assert not load.busy


def test_a_backlog_counts_as_far_as_its_team_may_still_run_it():
    fleet = Fleet(minions=1, config=configuration(cap=Resources(20_000, 0, 0)))
    fleet.add(job("a" * 16, Step(48, SMALL, 1000), team="team"))
    fleet.plan()
    (load,) = fleet.scheduler.pool_loads(0.0)
    assert load.busy
    assert load.parallel == pytest.approx(4 / 16)
