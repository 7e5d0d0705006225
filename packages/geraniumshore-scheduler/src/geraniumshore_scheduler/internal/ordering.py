"""The order in which jobs get room: bursts that ask for more than a pool holds."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

from geraniumshore_scheduler.internal.runs import OpenJob

__all__ = ["ByObjective", "FirstCome", "JobOrder"]

# Steps take longer than their mean task, and starting and showing a job takes a moment:
# a job that is started later than this allows for would most often end late.
CHAIN_MARGIN = 1.15
OVERHEAD_S = 0.15
# A job that ends after so many times its objective has no worth left for its caller.
LATE_FACTOR = 3.0
# Classes of jobs of one priority: on time, late, the same beyond their team's share,
# and last those whose worth is gone.
BEYOND_SHARE = 2
HOPELESS = 4


class JobOrder(ABC):
    """Ranks the jobs of one service; the lowest rank goes first."""

    @abstractmethod
    def rank(self, job: OpenJob, now: float) -> Any:
        """Return a value to sort by."""

    @abstractmethod
    def is_timely(self, job: OpenJob, now: float) -> bool:
        """Tell whether a job that is started now can still be of worth."""


class FirstCome(JobOrder):
    """The baseline: whoever came first."""

    def rank(self, job: OpenJob, now: float) -> Any:
        """Return the time of arrival."""
        return (job.priority, job.arrived_at)

    def is_timely(self, job: OpenJob, now: float) -> bool:
        """Return true: the baseline knows no objectives."""
        return True


class ByObjective(JobOrder):
    """Jobs that can still meet their objective go first, the most urgent of them first.

    In a burst, first come first served would spend the room on jobs that are late
    already and so make all later ones late too; so would a job that can only just
    make it, if something takes longer than expected. Jobs beyond their team's share
    go behind those within. Lasting tasks go first: they are down until they are placed.
    """

    def rank(self, job: OpenJob, now: float) -> Any:
        """Rank by priority, then by what is still to be saved, then by urgency."""
        if job.job.lasting:
            return (job.priority, -1, job.arrived_at)
        latest_start = self._latest_start(job)
        behind = BEYOND_SHARE if job.beyond_share else 0
        if now <= latest_start:
            return (job.priority, behind, latest_start)
        if now + job.work_left_s() <= self._last_end(job):
            return (job.priority, behind + 1, job.arrived_at)
        return (job.priority, HOPELESS, job.arrived_at)

    def is_timely(self, job: OpenJob, now: float) -> bool:
        """Tell whether the work that is left fits in before its worth is gone."""
        return job.job.lasting or now + job.work_left_s() <= self._last_end(job)

    @staticmethod
    def _latest_start(job: OpenJob) -> float:
        work_left = CHAIN_MARGIN * job.work_left_s() + OVERHEAD_S
        return job.objective_at - work_left

    @staticmethod
    def _last_end(job: OpenJob) -> float:
        return job.arrived_at + LATE_FACTOR * job.objective_s
