"""A new owner has read the records of its predecessors, but not all of their jobs.

Jobs and owners' records are in two streams of the log. A part of the store may be away,
so that the new owner reads a job seconds after it has taken over.
"""

from __future__ import annotations

from dataclasses import replace

from geraniumshore_scheduler import (
    CompletedRun,
    Job,
    JobRegistry,
    JobState,
    Placement,
    Progress,
    RecordKind,
    Resources,
    RunningTask,
    Step,
    TaskKey,
    encode_job,
    encode_progress,
    job_key,
)
from tests.common.schedule_parts import SMALL, Fleet, configuration, job

UNREAD, KNOWN = "a" * 16, "b" * 16
FORMER_EPOCH = 4
FORMER_RUN = 4_000_001
UNREAD_JOB = replace(job(UNREAD, Step(2, SMALL, 500)), team="team")
TASK = f"{UNREAD}.0.0.0"
CAP = Resources(2_000, 0, 0)


def progress_of(state: JobState = JobState.RUNNING, minion_id: str = "i-0") -> Progress:
    return Progress(
        state, placed={"0.0.0": [Placement(minion_id, FORMER_RUN, FORMER_EPOCH)]}
    )


class Takeover:
    """An owner whose predecessor placed the first task of ``UNREAD`` on ``i-0``."""

    def __init__(self, progress: Progress | None = None, cap: Resources = CAP) -> None:
        self.registry = JobRegistry()
        self.fold(RecordKind.PROGRESS, encode_progress(progress or progress_of()))
        self.fleet = Fleet(minions=2, config=configuration(cap=cap))
        self.scheduler = self.fleet.scheduler
        self.scheduler.expect_jobs(self.registry.unread_placed_jobs())

    def fold(self, kind: RecordKind, value: bytes) -> None:
        registered = self.registry.fold(job_key(kind, UNREAD), value, 0, 0.0)
        if kind is RecordKind.ACCEPTED and registered is not None:
            self.scheduler.add_job(registered, 0.0)

    def read_job(self, accepted: Job = UNREAD_JOB) -> None:
        self.fold(RecordKind.ACCEPTED, encode_job(accepted))

    def report_end(self, how: str = "done", number: int = 1) -> None:
        self.fleet.report(
            "i-0", ended=(CompletedRun(number, TASK, FORMER_RUN, how, ""),)
        )

    def report_running(self) -> None:
        self.fleet.report("i-0", running=(RunningTask(TASK, FORMER_RUN, "", 10),))

    def acked(self) -> int:
        """Return up to which completion the next poll acknowledges."""
        self.fleet.plan()
        self.fleet.plan()
        return self.fleet.poll("i-0").acked_upto

    def starts(self) -> list[str]:
        return [str(order.run.task) for order in self.fleet.plan()]


def test_an_end_is_acknowledged_only_after_its_job_was_read_and_recorded():
    takeover = Takeover()
    takeover.report_end()
    assert takeover.acked() == 0
    takeover.read_job()
    batch = takeover.scheduler.plan(0.0, 0.0)
    assert batch is not None
    assert takeover.fleet.poll("i-0").acked_upto == 0
    assert b'"done":{"0.0":1}' in batch.value_by_key[f"s/{UNREAD}"]
    assert [str(order.run.task) for order in batch.starts] == [f"{UNREAD}.0.0.1"]
    takeover.scheduler.on_durable(batch)
    assert takeover.fleet.poll("i-0").acked_upto == 1


def test_an_end_that_is_listed_again_before_its_job_is_read_counts_once():
    takeover = Takeover()
    takeover.report_end("failed")
    takeover.report_end("failed")
    takeover.read_job()
    opened = takeover.scheduler.job_by_id[UNREAD]
    assert opened.progress.failures == {"0.0.0": 1}
    assert takeover.acked() == 1


def test_ends_of_other_jobs_are_processed_meanwhile():
    takeover = Takeover()
    takeover.fleet.add(job(KNOWN, Step(1, SMALL, 500)))
    (order,) = takeover.fleet.plan()
    minion_id = order.run.minion_id
    end = CompletedRun(2, str(order.run.task), order.run.number, "done", "")
    if minion_id == "i-0":
        takeover.report_end()
    takeover.fleet.report(minion_id, ended=(end,))
    assert KNOWN not in takeover.scheduler.job_by_id
    assert takeover.acked() == 0


def test_a_run_is_neither_stopped_nor_doubled_before_its_job_is_read():
    takeover = Takeover()
    takeover.report_running()
    takeover.fleet.plan()
    assert takeover.scheduler.take_stops() == []
    takeover.read_job()
    assert takeover.starts() == [f"{UNREAD}.0.0.1"]
    takeover.report_running()
    assert takeover.scheduler.take_stops() == []
    assert TaskKey.parse(TASK) in takeover.scheduler.job_by_id[UNREAD].runs


def test_a_capped_team_starts_nothing_while_runs_may_be_its_own():
    takeover = Takeover(cap=Resources(1_000, 0, 0))
    takeover.fleet.add(replace(job(KNOWN, Step(1, SMALL, 500)), team="team"))
    assert takeover.starts() == []
    takeover.read_job()
    takeover.report_running()
    takeover.fleet.now += 1
    assert takeover.starts() == []
    takeover.report_end()
    assert takeover.starts() != []


def test_a_team_without_a_cap_starts_tasks_meanwhile():
    takeover = Takeover(cap=Resources())
    takeover.fleet.add(replace(job(KNOWN, Step(1, SMALL, 500)), team="team"))
    assert takeover.starts() == [f"{KNOWN}.0.0.0"]


def test_ends_of_a_deleted_job_are_acknowledged_after_a_whole_read():
    takeover = Takeover()
    takeover.report_end()
    assert takeover.acked() == 0
    takeover.scheduler.on_all_jobs_read(1.0)
    assert takeover.scheduler.unread_jobs == 0
    assert takeover.acked() == 1


def test_ends_of_a_job_that_is_cancelled_when_it_is_read_are_acknowledged():
    takeover = Takeover()
    takeover.fold(RecordKind.CANCELLED, b"1")
    takeover.report_end()
    takeover.read_job()
    assert takeover.acked() == 1


def test_only_jobs_with_placed_tasks_are_expected():
    registry = JobRegistry()
    for number, progress in enumerate(
        (progress_of(), progress_of(JobState.DONE), Progress(JobState.RUNNING))
    ):
        key = job_key(RecordKind.PROGRESS, str(number))
        registry.fold(key, encode_progress(progress), number, 0.0)
    registry.fold(job_key(RecordKind.PROGRESS, "odd"), b"[", 3, 0.0)
    assert sorted(registry.unread_placed_jobs()) == ["0", "odd"]
