"""A burst that asks for more than its pool holds: who goes first."""

from __future__ import annotations

from geraniumshore_scheduler import ByObjective, FirstCome, OpenJob, Progress, Step
from tests.common.schedule_parts import SMALL, job


def opened(job_id: str, arrived: float, work_ms: int = 1000, **more) -> OpenJob:
    lasting = more.pop("lasting", False)
    return OpenJob(
        job=job(job_id * 16, Step(1, SMALL, work_ms, lasting=lasting)),
        progress=Progress(),
        arrived_at=arrived,
        service="s",
        priority=more.pop("priority", 0),
        objective_s=2.0,
        max_attempts=3,
    )


def order(policy, jobs, now):
    ranked = sorted(jobs, key=lambda each: policy.rank(each, now))
    return [each.job.job_id[0] for each in ranked]


def test_jobs_that_are_late_already_do_not_make_later_ones_late():
    jobs = [opened("a", 0.0), opened("b", 1.8), opened("c", 2.0)]
    assert order(ByObjective(), jobs, 2.2) == ["b", "c", "a"]
    assert order(FirstCome(), jobs, 2.2) == ["a", "b", "c"]


def test_a_job_that_can_only_just_make_it_goes_behind():
    jobs = [opened("a", 0.0), opened("b", 0.9)]
    assert order(ByObjective(), jobs, 0.99) == ["b", "a"]


def test_what_nobody_waits_for_goes_last():
    jobs = [opened("a", 0.0), opened("b", 6.0)]
    assert order(ByObjective(), jobs, 8.0) == ["b", "a"]


def test_priority_goes_before_all_and_lasting_tasks_before_others():
    jobs = [
        opened("a", 0.0, priority=1),
        opened("b", 0.5),
        opened("c", 0.6, lasting=True),
    ]
    assert order(ByObjective(), jobs, 0.6) == ["c", "b", "a"]
