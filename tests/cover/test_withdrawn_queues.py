"""Jobs of a queue that a configuration withdraws, and a later one may give back.

An owner that takes over in between has never seen the queue's settings.
"""

from __future__ import annotations

import json
from dataclasses import replace

import pytest

from geraniumshore_scheduler import (
    CompletedRun,
    JobRegistry,
    Queue,
    RecordKind,
    Step,
    encode_job,
    job_key,
)
from geraniumshored.platform.documents import decode_job_request
from tests.common.schedule_parts import CAPACITY, SMALL, Fleet, configuration, job

JOB, OTHER = "a" * 16, "b" * 16
QUEUE = Queue("q", "h", "/q/", "s", 5, 3, 2.0, 500, False)
WITHDRAWN = replace(configuration(version=2), queues=(), queue_by_name={})


def accepted(queue: Queue = QUEUE):
    """Return the registered job of a submission to a queue, read from the log."""
    phase = {"count": 1, "cpu": SMALL.cpu_milli, "estimate_ms": 1000}
    body = json.dumps({"phases": [phase]}).encode()
    submitted = decode_job_request(body, JOB, queue, None, 0)
    registry = JobRegistry()
    key = job_key(RecordKind.ACCEPTED, JOB)
    registry.fold(key, encode_job(submitted), 0, 0.0)
    return registry.job_by_id[JOB]


def fail_run(fleet: Fleet, number: int) -> None:
    (order,) = fleet.plan()
    end = CompletedRun(number, str(order.run.task), order.run.number, "failed", "")
    fleet.report(order.run.minion_id, ended=(end,))
    fleet.now += 10.0


@pytest.mark.parametrize("given_back", [False, True])
def test_a_job_keeps_its_attempts_under_a_new_owner(given_back):
    """The first failed run ended it, as if one attempt were allowed."""
    fleet = Fleet(minions=1, config=WITHDRAWN)
    fleet.scheduler.add_job(accepted(), 0.0)
    for number in range(1, QUEUE.max_attempts):
        fail_run(fleet, number)
        assert JOB in fleet.scheduler.job_by_id
        if given_back:
            fleet.scheduler.set_configuration(configuration(version=3))
    fail_run(fleet, QUEUE.max_attempts)
    assert JOB not in fleet.scheduler.job_by_id


def test_a_job_keeps_its_priority_and_objective_under_a_new_owner():
    fleet = Fleet(minions=1, config=WITHDRAWN)
    fleet.scheduler.add_job(accepted(), 0.0)
    urgent = replace(job(OTHER, Step(1, CAPACITY, 500)), priority=0)
    fleet.add(urgent)
    assert [order.run.task.job_id for order in fleet.plan()] == [OTHER]
    assert fleet.scheduler.job_by_id[JOB].objective_s == 2.0 * 1.0 + 0.5


def test_a_job_that_needs_advice_waits_for_it_under_a_new_owner():
    fleet = Fleet(minions=1, config=WITHDRAWN)
    fleet.scheduler.add_job(accepted(replace(QUEUE, needs_advice=True)), 0.0)
    assert fleet.plan() == ()
    assert fleet.scheduler.next_advice_request(fleet.now) is not None


def test_settings_of_a_queue_that_is_there_go_before_those_at_the_submission():
    fleet = Fleet(minions=1, config=configuration(max_attempts=1))
    fleet.scheduler.add_job(accepted(), 0.0)
    fail_run(fleet, 1)
    assert JOB not in fleet.scheduler.job_by_id
