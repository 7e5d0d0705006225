"""The order in which waiting jobs are placed when a pool has too little capacity."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any

from geraniumshore_scheduler.internal.runs import OpenJob

__all__ = ["ByObjective", "FirstComeFirstServed", "JobOrder"]

# A step takes longer than its mean task, and starting a job and showing its result
# takes time. A job that starts later than these margins allow would usually end late.
ESTIMATE_MARGIN_FACTOR = 1.15
START_OVERHEAD_S = 0.15
# The result of a job that takes this many times its objective is useless to its caller.
MAX_LATENESS_FACTOR = 3.0
# Ranks of jobs of equal priority: -1 for long-running jobs, 0 on time, 1 late, 2 and 3
# the same for jobs beyond their team's share, 4 for jobs whose result would be useless.
BEYOND_SHARE_RANK = 2
EXPIRED_RANK = 4


class JobOrder(ABC):
    """Ranks the jobs of one service; the lowest rank goes first."""

    @abstractmethod
    def rank(self, job: OpenJob, now: float) -> Any:
        """Return a value to sort by."""

    @abstractmethod
    def is_timely(self, job: OpenJob, now: float) -> bool:
        """Return whether the result of a job that starts now would still be useful."""


class FirstComeFirstServed(JobOrder):
    """First come, first served; the baseline for comparisons."""

    def rank(self, job: OpenJob, now: float) -> Any:
        """Rank by priority, then by time of arrival."""
        return (job.priority, job.arrived_at)

    def is_timely(self, job: OpenJob, now: float) -> bool:
        """Return True: this order ignores objectives."""
        return True


class ByObjective(JobOrder):
    """Places jobs that can still meet their objective first, in order of urgency.

    In a burst, first come, first served would use the capacity for jobs that are
    already late and thereby make all later ones late too. A job with almost no slack
    ranks as late as well, since an unexpected delay would make it so. Jobs beyond their
    team's share rank behind those within. Long-running tasks rank first, as they are
    unavailable until they are placed.
    """

    def rank(self, job: OpenJob, now: float) -> Any:
        """Rank by priority, by what can still be in time, by urgency or arrival."""
        if job.job.lasting:
            return (job.priority, -1, job.arrived_at)
        latest_start = self._latest_start(job)
        rank_offset = BEYOND_SHARE_RANK if job.beyond_share else 0
        if now <= latest_start:
            return (job.priority, rank_offset, latest_start)
        if now + job.work_left_s() <= self._useful_until(job):
            return (job.priority, rank_offset + 1, job.arrived_at)
        return (job.priority, EXPIRED_RANK, job.arrived_at)

    def is_timely(self, job: OpenJob, now: float) -> bool:
        """Return whether the remaining work can end while its result is useful."""
        return job.job.lasting or now + job.work_left_s() <= self._useful_until(job)

    @staticmethod
    def _latest_start(job: OpenJob) -> float:
        work_left = ESTIMATE_MARGIN_FACTOR * job.work_left_s() + START_OVERHEAD_S
        return job.objective_at - work_left

    @staticmethod
    def _useful_until(job: OpenJob) -> float:
        return job.arrived_at + MAX_LATENESS_FACTOR * job.objective_s
