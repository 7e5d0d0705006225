"""Minions list their completions in pages; what a full page lacks may come next.

After some seconds without an owner a large minion has more completions than one report
holds. A run that is neither listed as running nor on the first page has not vanished.
"""

from __future__ import annotations

import json

import pytest

from geraniumshore_scheduler import CompletedRun, RegisteredJob, Step
from geraniumshored.platform.documents import MAX_ENDS_PER_REPORT, decode_report
from tests.common.schedule_parts import SMALL, Fleet, job, listing

JOB = "a" * 16
TASKS = 6
PAGE = 2


class PagedFleet(Fleet):
    """One minion on which all tasks have completed, listed ``PAGE`` at a time."""

    def __init__(self, how: str = "done") -> None:
        super().__init__(minions=1)
        self.registered = RegisteredJob(job(JOB, Step(TASKS, SMALL, 500)), 0.0)
        self.scheduler.add_job(self.registered, 0.0)
        self.completions = [
            CompletedRun(number, order.run.name, order.run.number, how, "")
            for number, order in enumerate(self.plan(), 1)
        ]

    def take_over(self, epoch: int = 6) -> None:
        """Replace the owner by one that knows the log alone."""
        former = self.scheduler.job_by_id[JOB]
        successor = Fleet(minions=0, epoch=epoch)
        self.scheduler = successor.scheduler
        self.scheduler.set_listings({"i-0": listing(0)}, self.now)
        registered = RegisteredJob(former.job, 0.0, former.progress.copy())
        self.scheduler.add_job(registered, self.now)

    def report_page(self) -> list[str]:
        """Report the next page; return the tasks that start then."""
        self.now += 1.0
        acked = self.poll("i-0").acked_upto
        left = [c for c in self.completions if c.number > acked]
        page = tuple(left[:PAGE])
        self.report("i-0", ended=page, ended_complete=len(page) < PAGE)
        return [order.run.name for order in self.plan()]

    def finished(self) -> bool:
        return JOB not in self.scheduler.job_by_id


@pytest.mark.parametrize("taken_over", [False, True])
def test_a_task_whose_completion_is_on_a_later_page_is_not_restarted(taken_over):
    """It was taken for lost and ran again, next to its success (review 2)."""
    fleet = PagedFleet()
    if taken_over:
        fleet.take_over()
    for _ in range(TASKS // PAGE):
        assert not fleet.finished()
        assert fleet.report_page() == []
    assert fleet.finished()


def test_a_run_that_the_last_page_lacks_is_restarted():
    fleet = PagedFleet()
    missing = fleet.completions.pop()
    fleet.take_over()
    started = [fleet.report_page() for _ in range(TASKS // PAGE)]
    assert started == [[], [], [missing.task]]


def test_failures_on_later_pages_count():
    fleet = PagedFleet("failed")
    fleet.take_over()
    while fleet.poll("i-0").acked_upto < TASKS:
        fleet.report_page()
    failures = fleet.scheduler.job_by_id[JOB].progress.failures
    assert failures == {f"0.0.{position}": 1 for position in range(TASKS)}


@pytest.mark.parametrize(
    ("ends", "complete"),
    [(0, True), (MAX_ENDS_PER_REPORT - 1, True), (MAX_ENDS_PER_REPORT, False)],
)
def test_a_full_page_is_not_known_to_be_the_last(ends, complete):
    rows = [[number, f"{JOB}.0.0.{number}", 1, "done", ""] for number in range(ends)]
    document = {"clock_ms": 1, "running": [], "ended": rows}
    assert decode_report(json.dumps(document).encode()).ended_complete is complete
