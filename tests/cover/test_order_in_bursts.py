"""The order of jobs in a burst that exceeds the capacity of its pool."""

from __future__ import annotations

from geraniumshore_scheduler import (
    ByObjective,
    FirstComeFirstServed,
    OpenJob,
    Progress,
    Step,
)
from tests.common.schedule_parts import SMALL, job


def opened(job_id: str, arrived: float, work_ms: int = 1000, **more) -> OpenJob:
    long_running_step = more.pop("long_running_step", False)
    return OpenJob(
        job=job(job_id * 16, Step(1, SMALL, work_ms, lasting=long_running_step)),
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


def test_late_jobs_do_not_make_later_jobs_late():
    jobs = [opened("a", 0.0), opened("b", 1.8), opened("c", 2.0)]
    assert order(ByObjective(), jobs, 2.2) == ["b", "c", "a"]
    assert order(FirstComeFirstServed(), jobs, 2.2) == ["a", "b", "c"]


def test_a_job_without_slack_goes_behind():
    jobs = [opened("a", 0.0), opened("b", 0.9)]
    assert order(ByObjective(), jobs, 0.99) == ["b", "a"]


def test_a_job_whose_result_would_be_useless_goes_last():
    jobs = [opened("a", 0.0), opened("b", 6.0)]
    assert order(ByObjective(), jobs, 8.0) == ["b", "a"]


def test_priority_ranks_first_then_long_running_tasks():
    jobs = [
        opened("a", 0.0, priority=1),
        opened("b", 0.5),
        opened("c", 0.6, long_running_step=True),
    ]
    assert order(ByObjective(), jobs, 0.6) == ["c", "b", "a"]
