"""Policies for the sizes that a job is granted."""

from __future__ import annotations

from abc import ABC, abstractmethod

from geraniumshore.internal.job_records import Sizes
from geraniumshore.internal.jobs import Job, JobTable

__all__ = ["DeclaredSizes", "LearnedSizes", "Sizing"]


class Sizing(ABC):
    """Chooses the sizes to grant a job."""

    @abstractmethod
    def grant(self, table: JobTable, job: Job, max_memory_mb: int) -> Sizes:
        """Return the sizes to grant; no host has more than ``max_memory_mb``."""


class LearnedSizes(Sizing):
    """Grants what earlier jobs of the team and queue used, plus a margin."""

    def grant(self, table: JobTable, job: Job, max_memory_mb: int) -> Sizes:
        """Return the learned sizes, or the declared ones if there is no history."""
        return table.sizes_to_grant(job, max_memory_mb)


class DeclaredSizes(Sizing):
    """Baseline: grants what the caller declared."""

    def grant(self, table: JobTable, job: Job, max_memory_mb: int) -> Sizes:
        """Return the declared sizes."""
        return job.sizes
