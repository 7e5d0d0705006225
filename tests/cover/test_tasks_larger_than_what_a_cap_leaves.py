"""Tasks that are larger than what the cap of their team leaves.

Operators lowered a cap while long-running tasks used less than half of it. Jobs with
larger tasks were accepted and never started: each would have exceeded the cap, however
little was in use and however much room the minions had.
"""

from __future__ import annotations

import json
from functools import partial

import pytest
from hypothesis import given, strategies as st

from geraniumshore_scheduler import CompletedRun, Resources, Step
from geraniumshore_scheduler.internal.caps import CapUse
from geraniumshore_standins.internal.fleet import wait_for
from geraniumshore_standins.internal.users_platform import (
    PlatformFleet,
    configuration_document,
)
from geraniumshore_standins.internal.users_platform.nodes import NodeProcess
from tests.common.schedule_parts import (
    CAPACITY,
    SMALL,
    Fleet,
    LoggedFleet,
    configuration,
    job,
    listing,
)

CAP = Resources(8_000, 0, 0)
LASTING = Step(2, Resources(1_600, 512), 700, lasting=True)
LARGE = Resources(5_600, 2_700)
RUNNING, WAITING = "a" * 16, "b" * 16


def lowered_cap(*, used: int = 2, minions: int = 6) -> Fleet:
    """Return a fleet whose capped team runs some tasks of 1.6 of 8 cores."""
    fleet = Fleet(minions, configuration(Resources(60_000, 0, 0)))
    step = Step(used, LASTING.size, 700, lasting=True)
    fleet.add(job(RUNNING, step, team="team"))
    assert len(fleet.plan()) == used
    fleet.scheduler.set_configuration(configuration(CAP, version=2))
    return fleet


def finish(fleet: Fleet, start) -> None:
    run = start.run
    running = tuple(
        row for row in fleet.running(run.minion_id) if row.task != str(run.task)
    )
    ended = (CompletedRun(1, str(run.task), run.number, "done", ""),)
    fleet.report(run.minion_id, running, ended)


def test_a_task_larger_than_what_is_left_starts_while_half_of_the_cap_is_free():
    """It waited for as long as the long-running tasks ran, that is for good."""
    fleet = lowered_cap()
    fleet.add(job(WAITING, Step(2, LARGE, 2_100), team="team"))
    (first,) = fleet.plan()
    assert fleet.plan() == ()
    finish(fleet, first)
    (second,) = fleet.plan()
    assert first.run.task != second.run.task


def test_no_task_exceeds_the_cap_of_a_team_that_uses_half_of_it():
    fleet = lowered_cap(used=3)
    fleet.add(job(WAITING, Step(2, LARGE, 2_100), team="team"))
    assert fleet.plan() == ()
    assert not fleet.scheduler.pool_loads(0.0)[0].has_unplaced_tasks


def test_a_task_larger_than_its_team_s_whole_cap_runs_alone():
    fleet = Fleet(2, configuration(SMALL))
    fleet.add(job(WAITING, Step(3, LARGE, 2_100), team="team"))
    (first,) = fleet.plan()
    finish(fleet, first)
    assert len(fleet.plan()) == 1


@pytest.mark.parametrize(
    ("count", "cpu", "starts"),
    [(2, 5_600, 2), (3, 4_000, 3), (4, 3_000, 0), (9, 1_000, 9), (10, 1_000, 0)],
)
def test_a_gang_exceeds_the_cap_by_at_most_one_member(count, cpu, starts):
    """A gang cannot be divided either; the page allows one task beyond the cap."""
    fleet = Fleet(6, configuration(CAP))
    step = Step(count, Resources(cpu, 100), 500, gang=True)
    fleet.add(job(WAITING, step, team="team"))
    assert len(fleet.plan()) == starts


def test_a_new_owner_counts_the_task_that_exceeds_the_cap():
    fleet = LoggedFleet(6)
    fleet.scheduler.set_configuration(configuration(CAP))
    fleet.add(job(RUNNING, LASTING, team="team"))
    fleet.plan()
    fleet.add(job(WAITING, Step(2, LARGE, 2_100), team="team"))
    (first,) = fleet.plan()
    successor = fleet.successor()
    successor.scheduler.set_configuration(configuration(CAP))
    for minion_id in list(successor.scheduler.view_by_id):
        successor.report(minion_id, successor.running(minion_id))
    assert successor.plan() == ()
    finish(successor, first)
    assert len(successor.plan()) == 1


def test_a_pool_gets_a_machine_for_a_task_larger_than_what_the_cap_leaves():
    """The demand of a team was limited to what its cap leaves."""
    fleet = Fleet(1, configuration(Resources(1_000, 0, 0)))
    fleet.add(job(RUNNING, Step(1, CAPACITY, 700)))
    assert len(fleet.plan()) == 1
    fleet.add(job(WAITING, Step(3, CAPACITY, 2_100), team="team"))
    fleet.plan()
    (load,) = fleet.scheduler.pool_loads(0.0)
    assert load.parallelism == pytest.approx(1.0)
    assert load.backlog == pytest.approx(2.1)


def evacuated(*sizes: int) -> Fleet:
    """Return a fleet whose tasks of these sizes run in an evacuated data centre."""
    fleet = Fleet(0, configuration(CAP))
    listings = {f"i-{n}": listing(n, data_centre="b") for n in range(2)}
    fleet.scheduler.set_listings(listings, 0.0)
    for minion_id in listings:
        fleet.report(minion_id)
    for number, size in enumerate(sizes):
        step = Step(1, Resources(size, 100), 700, lasting=True)
        fleet.add(job(f"{number:016x}", step, team="team"))
    assert len(fleet.plan()) == len(sizes)
    listings |= {f"i-{n}": listing(n) for n in (2, 3)}
    fleet.scheduler.set_listings(listings, 0.0)
    for minion_id in listings:
        fleet.report(minion_id, fleet.running(minion_id))
    fleet.scheduler.set_evacuated(["b"], 0.0)
    return fleet


def moved_out(fleet: Fleet) -> list[str]:
    fleet.now += 1.0
    for minion_id in list(fleet.scheduler.view_by_id):
        fleet.report(minion_id, fleet.running(minion_id))
    fleet.plan()
    return [stop.task for stop in fleet.scheduler.take_stops()]


def test_a_long_running_task_that_exceeds_the_cap_moves_out_of_a_data_centre():
    """Teams beyond their cap kept all their tasks in the data centre."""
    assert moved_out(evacuated(9_000)) == [f"{0:016x}.0.0.0"]


def test_only_tasks_that_can_start_again_move_out():
    fleet = evacuated(1_600, 1_600, 5_600)
    (large,) = moved_out(fleet)
    assert large == f"{2:016x}.0.0.0"
    # The large one starts again first, so the others would find the cap used up.
    view = next(
        view
        for view in fleet.scheduler.view_by_id.values()
        if any(str(task) == large for task in view.runs)
    )
    run = next(run for run in view.runs.values() if str(run.task) == large)
    rows = tuple(r for r in fleet.running(view.minion_id) if r.task != large)
    ended = (CompletedRun(1, large, run.number, "stopped", ""),)
    fleet.report(view.minion_id, rows, ended)
    assert [str(start.run.task) for start in fleet.plan()] == [large]
    assert fleet.scheduler.take_stops() == []
    assert moved_out(fleet) == []


amounts = st.integers(0, 12)
sizes = st.builds(Resources, amounts, amounts, amounts)
limits = st.builds(Resources, st.integers(1, 12), st.integers(1, 12), st.just(1 << 60))


@given(limits, sizes, sizes, st.integers(1, 5))
def test_a_start_exceeds_a_cap_by_at_most_one_task_and_only_from_below_half(
    limit, use, size, count
):
    cap_use = CapUse(limit, use)
    if not cap_use.allows(size, count):
        return
    after = cap_use.with_tasks(size, count).use
    for used, total, part, most in zip(use, after, size, limit, strict=True):
        assert total <= most + part
        assert total <= most or 2 * used < most


@given(limits, sizes, sizes)
def test_less_than_half_of_the_cap_in_use_lets_any_task_start(limit, use, size):
    """The page: such a team's job must not wait while there is room for it."""
    if all(2 * used < most for used, most in zip(use, limit, strict=True)):
        assert CapUse(limit, use).allows(size)


@given(limits, sizes, sizes, st.integers(0, 20))
def test_startable_tasks_are_counted_as_they_would_start(limit, use, size, wanted):
    cap_use, started = CapUse(limit, use), 0
    while started < wanted and cap_use.with_tasks(size, started).allows(size):
        started += 1
    assert cap_use.count_startable(size, wanted) == started


def has_configuration(node: NodeProcess, version: int) -> bool:
    return any(
        event["event"] == "configuration in force" and event["version"] == version
        for event in node.events()
    )


def test_real_nodes_run_a_large_task_after_the_cap_was_lowered():
    def phases(count: int, cpu: int, **more: bool) -> dict[str, object]:
        step: dict[str, object] = {
            "count": count,
            "cpu": cpu,
            "mem_mb": 10,
            "estimate_ms": 100,
            **more,
        }
        how = "lasts" if more else "done"
        spec = json.dumps({"work_ms": 100, "how": how})
        return {"spec": spec, "phases": [step]}

    with PlatformFleet() as fleet:
        fleet.start()
        lasting = phases(2, 400, long_running=True)
        assert fleet.submit("n0", RUNNING, lasting).status == 200
        wait_for(
            lambda: sum(map(len, fleet.simulator.running().values())) == 2,
            "the long-running tasks run",
        )
        lowered = configuration_document("s", version=2, cpu_cap=2_000)
        fleet.simulator.configure(lowered)
        for node in fleet.node_by_name.values():
            wait_for(partial(has_configuration, node, 2), f"{node.name} has read it")
        assert fleet.submit("n0", WAITING, phases(2, 1_400)).status == 200
        fleet.wait_for_state("n0", WAITING, "done")
