"""How much of a host a job is granted."""

from __future__ import annotations

from abc import ABC, abstractmethod

from geraniumshore.internal.job_records import Sizes
from geraniumshore.internal.jobs import Job, JobTable

__all__ = ["DeclaredSizes", "LearnedSizes", "Sizing"]


class Sizing(ABC):
    """Says what to grant a job."""

    @abstractmethod
    def grant(self, table: JobTable, job: Job, most_memory_mb: int) -> Sizes:
        """Return the sizes to grant; no host has more than ``most_memory_mb``."""


class LearnedSizes(Sizing):
    """What the team's jobs of the queue were seen to use, and a margin."""

    def grant(self, table: JobTable, job: Job, most_memory_mb: int) -> Sizes:
        """Return the learned sizes, or the declared ones while there are none."""
        return table.estimate(job, most_memory_mb)


class DeclaredSizes(Sizing):
    """The baseline: what the caller declared is believed."""

    def grant(self, table: JobTable, job: Job, most_memory_mb: int) -> Sizes:
        """Return the declared sizes."""
        return job.sizes
