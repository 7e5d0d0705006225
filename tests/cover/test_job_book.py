"""The fold of the job log: records of two streams, in any order."""

from __future__ import annotations

from geraniumshore_scheduler import (
    JobBook,
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


def test_progress_that_is_read_before_its_job_is_kept_for_it():
    book = JobBook()
    book.fold(PROGRESS, DONE, 3, 0.0)
    book.fold(ACCEPTED, ENCODED_JOB, 1, 1.0)
    assert book.job_by_id[JOB_ID].state is JobState.DONE
    assert book.expired_orphans(99.0, 10) == []


def test_progress_that_a_dying_owner_left_of_a_dropped_job_is_found():
    book = JobBook()
    book.fold(PROGRESS, DONE, 3, 5.0)
    assert book.expired_orphans(5.0, 10) == []
    assert book.expired_orphans(5.1, 10) == [JOB_ID]
    book.fold(PROGRESS, b"", 4, 6.0)
    assert book.expired_orphans(99.0, 10) == []


def test_a_node_that_saw_the_job_finds_what_a_dying_owner_left_of_it():
    book = JobBook()
    book.fold(ACCEPTED, ENCODED_JOB, 1, 0.0)
    book.fold(PROGRESS, DONE, 3, 1.0)
    book.fold(ACCEPTED, b"", 2, 2.0)
    assert JOB_ID not in book.job_by_id
    assert book.expired_orphans(2.1, 10) == [JOB_ID]
    book.fold(PROGRESS, b"", 4, 3.0)
    assert book.expired_orphans(99.0, 10) == []
