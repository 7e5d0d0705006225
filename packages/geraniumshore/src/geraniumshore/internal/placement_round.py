"""One round of placement: assigns a pool's waiting jobs to hosts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from geraniumshore.internal.items import Host
from geraniumshore.internal.job_records import JobStart, Sizes
from geraniumshore.internal.jobs import Job, JobTable, WaitingGroup
from geraniumshore.internal.placement import FreeCapacity, Placement, oversize_reason
from geraniumshore.internal.sizing import Sizing

__all__ = ["PlacementRound"]

MAX_TOKENS_WANTED = 32
# Jobs with equal keys get equal sizes: queue, team, declared sizes, and the memory
# that was too little for an earlier attempt.
_SizingKey = tuple[str, str, Sizes, int]


@dataclass(slots=True)
class PlacementRound:
    """Places jobs until no more fit.

    Free capacity only shrinks within a round, so sizes that did not fit once are not
    tried again. ``capacities`` are of the hosts that take jobs, ``hosts`` are all
    hosts of the pool.
    """

    table: JobTable
    sizing: Sizing
    placement: Placement
    hosts: Sequence[Host]
    capacities: list[FreeCapacity]
    new_id: Callable[[], str]
    unplaceable_sizes: set[Sizes] = field(default_factory=set)
    oversize_reason_by_key: dict[_SizingKey, str | None] = field(default_factory=dict)
    grant_by_key: dict[_SizingKey, Sizes] = field(default_factory=dict)

    def oversize_reason(self, job: Job) -> str | None:
        """Return why a job fits no host of the pool, even an idle one, or None."""
        key = _sizing_key(job)
        if key not in self.oversize_reason_by_key:
            needed = self.table.needed_sizes(job)
            self.oversize_reason_by_key[key] = oversize_reason(needed, self.hosts)
        return self.oversize_reason_by_key[key]

    def place_first(self, jobs: list[Job]) -> JobStart | None:
        """Start the first job of the list that fits, and remove it from the list."""
        for job in jobs:
            sizes = self._grant(job)
            capacity = self._choose(job, sizes)
            if capacity is not None:
                capacity.reserve(sizes)
                jobs.remove(job)
                attempt = job.attempt + 1
                task = f"{job.id}.{attempt}.{self.new_id()}"
                return JobStart(job.id, attempt, capacity.host, task, sizes)
        return None

    def count_placeable(self, groups: Mapping[WaitingGroup, list[Job]]) -> Counter[str]:
        """Count by team the jobs that need only a token to start.

        The count stops at ``MAX_TOKENS_WANTED``.
        """
        placeable: Counter[str] = Counter()
        for group, jobs in groups.items():
            trial = replace(
                self, capacities=[replace(capacity) for capacity in self.capacities]
            )
            trial.unplaceable_sizes = set(self.unplaceable_sizes)
            remaining = list(jobs)
            while placeable[group.team] < MAX_TOKENS_WANTED:
                if trial.place_first(remaining) is None:
                    break
                placeable[group.team] += 1
        return placeable

    def _choose(self, job: Job, sizes: Sizes) -> FreeCapacity | None:
        if sizes in self.unplaceable_sizes:
            return None
        untried = [
            capacity
            for capacity in self.capacities
            if capacity.host not in job.failed_on
        ]
        capacity = self.placement.choose(sizes, untried or self.capacities)
        if capacity is None and len(untried) == len(self.capacities):
            self.unplaceable_sizes.add(sizes)
        return capacity

    def _grant(self, job: Job) -> Sizes:
        key = _sizing_key(job)
        if key not in self.grant_by_key:
            max_memory_mb = max((host.memory_mb for host in self.hosts), default=0)
            granted = self.sizing.grant(self.table, job, max_memory_mb)
            self.grant_by_key[key] = granted
        return self.grant_by_key[key]


def _sizing_key(job: Job) -> _SizingKey:
    return job.queue, job.team, job.sizes, job.too_little_memory_mb
