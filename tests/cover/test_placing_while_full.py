"""Bursts in which hundreds of jobs wait for a full pool: what is tried, and where."""

from __future__ import annotations

from unittest import mock

import pytest
from hypothesis import given, strategies as st

from geraniumshore_scheduler import Resources, Step
from geraniumshore_scheduler.internal.shortage import Shortage
from geraniumshore_scheduler.internal.spread import choose_minion
from tests.common.schedule_parts import SMALL, Fleet, job

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


def test_what_is_larger_than_what_found_no_room_is_not_tried():
    shortage = Shortage()
    shortage.note(Resources(4_000, 2_000))
    assert shortage.covers(Resources(4_000, 2_000))
    assert shortage.covers(Resources(5_000, 2_000))
    assert not shortage.covers(Resources(3_999, 9_000))
    assert not shortage.covers(Resources(9_000, 1_999))
    shortage.note(Resources(1_000, 1_000))
    assert shortage.covers(Resources(3_999, 9_000))


def planned(waiting: list[Step]) -> list[tuple[str, str]]:
    fleet = Fleet(3)
    for number, step in enumerate(waiting):
        fleet.add(job(f"{number:016x}", step))
    return [(str(o.run.task), o.run.minion_id) for o in fleet.plan()]


@given(st.lists(steps, min_size=1, max_size=14))
def test_remembering_what_found_no_room_changes_no_placement(waiting):
    with mock.patch.object(Shortage, "covers", return_value=False):
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
    ) as searched:
        fleet.plan()
    assert searched.call_count == 1
