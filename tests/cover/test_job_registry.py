"""The fold of the job log, whose records come from two streams in any order."""

from __future__ import annotations

from geraniumshore_scheduler import (
    JobRegistry,
    JobState,
    Progress,
    RecordKind,
    Step,
    encode_job,
    encode_progress,
    job_key,
)
from tests.common.schedule_parts import SMALL, job

JOB_ID = "a" * 16
ACCEPTED = job_key(RecordKind.ACCEPTED, JOB_ID)
PROGRESS = job_key(RecordKind.PROGRESS, JOB_ID)
DONE = encode_progress(Progress(JobState.DONE))
ENCODED_JOB = encode_job(job(JOB_ID, Step(1, SMALL, 500)))


def test_progress_read_before_its_job_is_applied_when_the_job_is_read():
    registry = JobRegistry()
    registry.fold(PROGRESS, DONE, 3, 0.0)
    registry.fold(ACCEPTED, ENCODED_JOB, 1, 1.0)
    assert registry.job_by_id[JOB_ID].state is JobState.DONE
    assert registry.expired_orphans(99.0, 10) == []


def test_progress_left_of_a_deleted_job_is_found():
    registry = JobRegistry()
    registry.fold(PROGRESS, DONE, 3, 5.0)
    assert registry.expired_orphans(5.0, 10) == []
    assert registry.expired_orphans(5.1, 10) == [JOB_ID]
    registry.fold(PROGRESS, b"", 4, 6.0)
    assert registry.expired_orphans(99.0, 10) == []


def test_progress_left_of_a_deleted_job_is_found_by_a_node_that_read_the_job():
    registry = JobRegistry()
    registry.fold(ACCEPTED, ENCODED_JOB, 1, 0.0)
    registry.fold(PROGRESS, DONE, 3, 1.0)
    registry.fold(ACCEPTED, b"", 2, 2.0)
    assert JOB_ID not in registry.job_by_id
    assert registry.expired_orphans(2.1, 10) == [JOB_ID]
    registry.fold(PROGRESS, b"", 4, 3.0)
    assert registry.expired_orphans(99.0, 10) == []
