"""One decision about a pool's hosts: which waiting job goes where."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from geraniumshore.internal.items import Host
from geraniumshore.internal.job_records import JobStart, Sizes
from geraniumshore.internal.jobs import Job, JobTable, WaitingLane
from geraniumshore.internal.placement import HostRoom, Placement, oversized
from geraniumshore.internal.sizing import Sizing

__all__ = ["PlacementRound"]

MAX_TOKENS_WANTED = 32
# Jobs for which sizes are the same: queue, team, declared sizes, what was too little.
_Likeness = tuple[str, str, Sizes, int]


@dataclass(slots=True)
class PlacementRound:
    """Rooms shrink within a round, so sizes that found no room once find none later.

    ``rooms`` are the hosts that take jobs, ``hosts`` all hosts of the pool.
    """

    table: JobTable
    sizing: Sizing
    placement: Placement
    hosts: Sequence[Host]
    rooms: list[HostRoom]
    new_id: Callable[[], str]
    without_room: set[Sizes] = field(default_factory=set)
    fault_by_likeness: dict[_Likeness, str | None] = field(default_factory=dict)
    grant_by_likeness: dict[_Likeness, Sizes] = field(default_factory=dict)

    def fault(self, job: Job) -> str | None:
        """Say why a job can never run on the pool's hosts, or None where it can."""
        key = _likeness(job)
        if key not in self.fault_by_likeness:
            needed = self.table.needed(job)
            self.fault_by_likeness[key] = oversized(needed, self.hosts)
        return self.fault_by_likeness[key]

    def place_first(self, jobs: list[Job]) -> JobStart | None:
        """Start the first job of a lane that has room, and take it from the list."""
        for job in jobs:
            sizes = self._grant(job)
            room = self._choose(job, sizes)
            if room is not None:
                room.take(sizes)
                jobs.remove(job)
                attempt = job.attempt + 1
                task = f"{job.id}.{attempt}.{self.new_id()}"
                return JobStart(job.id, attempt, room.host, task, sizes)
        return None

    def placeable(self, lanes: Mapping[WaitingLane, list[Job]]) -> Counter[str]:
        """Count by team the jobs that lack nothing but a token, up to a bound."""
        placeable: Counter[str] = Counter()
        for lane, jobs in lanes.items():
            trial = replace(self, rooms=[replace(room) for room in self.rooms])
            trial.without_room = set(self.without_room)
            remaining = list(jobs)
            while placeable[lane.team] < MAX_TOKENS_WANTED:
                if trial.place_first(remaining) is None:
                    break
                placeable[lane.team] += 1
        return placeable

    def _choose(self, job: Job, sizes: Sizes) -> HostRoom | None:
        if sizes in self.without_room:
            return None
        fresh = [room for room in self.rooms if room.host not in job.failed_on]
        room = self.placement.choose(sizes, fresh or self.rooms)
        if room is None and len(fresh) == len(self.rooms):
            self.without_room.add(sizes)
        return room

    def _grant(self, job: Job) -> Sizes:
        key = _likeness(job)
        if key not in self.grant_by_likeness:
            most_mb = max((host.memory_mb for host in self.hosts), default=0)
            granted = self.sizing.grant(self.table, job, most_mb)
            self.grant_by_likeness[key] = granted
        return self.grant_by_likeness[key]


def _likeness(job: Job) -> _Likeness:
    return job.queue, job.team, job.sizes, job.too_little_memory_mb
