"""Placement while hundreds of jobs wait for a full pool.

Guards against passes that try every waiting job on every minion, and against shortcuts
that leave a task waiting although something has changed that lets it start.
"""

from __future__ import annotations

from unittest import mock

import pytest
from hypothesis import given, strategies as st

from geraniumshore_scheduler import CompletedRun, Resources, Step
from geraniumshore_scheduler.internal.minion_selection import choose_minion
from geraniumshore_scheduler.internal.placer import FULL_PASS_INTERVAL_S
from geraniumshore_scheduler.internal.unplaceable_sizes import UnplaceableSizes
from tests.common.schedule_parts import (
    CAPACITY,
    SMALL,
    Fleet,
    configuration,
    job,
    listing,
)

sizes = st.builds(
    Resources, st.integers(500, 9_000), st.integers(500, 20_000), st.just(0)
)
steps = st.builds(
    Step,
    count=st.integers(1, 6),
    size=sizes,
    estimate_ms=st.integers(100, 3_000),
    label=st.sampled_from(["", "", "", "r9"]),
    most_per_minion=st.sampled_from([0, 0, 1]),
)


def test_sizes_above_one_that_found_no_room_are_covered():
    unplaceable = UnplaceableSizes()
    unplaceable.add(Resources(4_000, 2_000))
    assert unplaceable.covers(Resources(4_000, 2_000))
    assert unplaceable.covers(Resources(5_000, 2_000))
    assert not unplaceable.covers(Resources(3_999, 9_000))
    assert not unplaceable.covers(Resources(9_000, 1_999))
    unplaceable.add(Resources(1_000, 1_000))
    assert unplaceable.covers(Resources(3_999, 9_000))


def planned(waiting: list[Step]) -> list[tuple[str, str]]:
    fleet = Fleet(3)
    for number, step in enumerate(waiting):
        fleet.add(job(f"{number:016x}", step))
    return [(str(o.run.task), o.run.minion_id) for o in fleet.plan()]


@given(st.lists(steps, min_size=1, max_size=14))
def test_unplaceable_sizes_change_no_placement(waiting):
    with mock.patch.object(UnplaceableSizes, "covers", return_value=False):
        expected = planned(waiting)
    assert planned(waiting) == expected


@pytest.mark.parametrize("jobs", [50, 500])
def test_a_full_pool_is_searched_once_however_many_jobs_wait(jobs):
    fleet = Fleet(10)
    for number in range(jobs):
        fleet.add(job(f"{number:016x}", Step(8, SMALL, 640)))
    fleet.plan()
    assert sum(1 for open_job in fleet.scheduler.job_by_id.values() if open_job.waiting)
    with mock.patch(
        "geraniumshore_scheduler.internal.placer.choose_minion", wraps=choose_minion
    ) as choose:
        fleet.plan()
        assert choose.call_count == 0, "nothing has changed"
        fleet.now += FULL_PASS_INTERVAL_S
        fleet.plan()
    assert choose.call_count == 1


def full_fleet() -> Fleet:
    """Return a fleet of one full minion, with a job of one task that waits for it."""
    fleet = Fleet(1)
    for number in range(2):
        fleet.add(job(f"{number:016x}", Step(1, CAPACITY, 640)))
    fleet.plan()
    return fleet


def completion(fleet: Fleet, how: str = "done") -> tuple[CompletedRun, ...]:
    (run,) = fleet.scheduler.view_by_id["i-0"].runs.values()
    return (CompletedRun(1, run.name, run.number, how, ""),)


def test_the_next_task_starts_as_soon_as_a_run_completes():
    fleet = full_fleet()
    fleet.report("i-0", ended=completion(fleet))
    assert len(fleet.plan()) == 1


def test_a_failed_task_is_restarted_at_once():
    fleet = full_fleet()
    (first,) = (r.number for r in fleet.scheduler.view_by_id["i-0"].runs.values())
    fleet.report("i-0", ended=completion(fleet, "failed"))
    (start,) = fleet.plan()
    # Either of the two waiting tasks may start.
    assert start.run.number > first


def test_a_step_starts_as_soon_as_its_dependency_completes():
    fleet = Fleet(1)
    first, then = Step(1, SMALL, 640), Step(1, SMALL, 640, depends_on=(0,))
    fleet.add(job("a" * 16, first, then))
    fleet.plan()
    fleet.report("i-0", ended=completion(fleet))
    (start,) = fleet.plan()
    assert start.run.task.step == 1


def test_room_under_a_cap_is_used_in_every_service_at_once():
    fleet = Fleet(2, configuration(cap=SMALL))
    for number in range(2):
        fleet.add(job(f"{number:016x}", Step(1, SMALL, 640), team="team"))
    assert len(fleet.plan()) == 1
    (busy,) = (v for v in fleet.scheduler.view_by_id.values() if v.runs)
    (run,) = busy.runs.values()
    fleet.report(
        busy.minion_id, ended=(CompletedRun(1, run.name, run.number, "done", ""),)
    )
    assert len(fleet.plan()) == 1


def test_a_minion_that_answers_again_is_used_at_once():
    fleet = Fleet(1)
    fleet.scheduler.on_poll_unanswered(fleet.poll("i-0"), fleet.now)
    fleet.add(job("a" * 16, Step(1, SMALL, 640)))
    assert fleet.plan() == ()
    fleet.report("i-0")
    assert len(fleet.plan()) == 1


def test_a_new_minion_is_used_at_once():
    fleet = full_fleet()
    fleet.scheduler.set_listings({f"i-{n}": listing(n) for n in range(2)}, fleet.now)
    fleet.report("i-1")
    assert len(fleet.plan()) == 1


def test_a_minion_that_takes_work_again_is_used_at_once():
    fleet = Fleet(1)
    fleet.scheduler.set_cordoned("i-0", True)
    fleet.add(job("a" * 16, Step(1, SMALL, 640)))
    assert fleet.plan() == ()
    fleet.scheduler.set_cordoned("i-0", False)
    assert len(fleet.plan()) == 1


def test_a_minion_is_used_soon_after_its_avoidance_ends():
    fleet = Fleet(1)
    fleet.scheduler.view_by_id["i-0"].avoid_until = 1.0
    fleet.add(job("a" * 16, Step(1, SMALL, 640)))
    assert fleet.plan() == ()
    fleet.now = 1.0 + FULL_PASS_INTERVAL_S
    assert len(fleet.plan()) == 1
