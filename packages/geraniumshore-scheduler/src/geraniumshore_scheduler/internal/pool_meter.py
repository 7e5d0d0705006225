"""Measures what the tasks of a pool ask for and what the pool has, in machines."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import reduce

from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import Job, Resources
from geraniumshore_scheduler.internal.pools import PoolLoad
from geraniumshore_scheduler.internal.runs import OpenJob, longest_chain_s

__all__ = ["Arrivals", "PoolMeter"]

MS = 1000.0
# A job's work is spread over the time that its steps take one after the other, within
# these bounds: long enough for a few jobs of a burst to make a rate, short enough to
# see the burst begin.
SHORTEST_SPREAD_S = 0.5
LONGEST_SPREAD_S = 2.0


# So many jobs within this time are the onset of a burst, and make a rate by themselves.
ONSET_JOBS = 6
ONSET_S = 0.4


@dataclass(frozen=True, slots=True)
class _Arrival:
    at: float
    until: float
    work: Resources
    busy: Resources


@dataclass(slots=True)
class Arrivals:
    """The work of the jobs that came of late, as what it keeps busy on average."""

    _jobs: dict[str, list[_Arrival]] = field(default_factory=dict)

    def note(self, job: Job, at: float) -> None:
        """Note a job that was accepted."""
        chain_s = longest_chain_s(job.steps)
        duration = min(LONGEST_SPREAD_S, max(SHORTEST_SPREAD_S, chain_s))
        work = _sum(
            _scaled(step.room, step.count * step.estimate_ms / MS)
            for step in job.steps
            if not step.lasting
        )
        arrival = _Arrival(at, at + duration, work, _scaled(work, 1 / duration))
        self._jobs.setdefault(job.service, []).append(arrival)

    def busy(self, service: str, now: float) -> Resources:
        """Return what the work keeps busy that came for a service."""
        jobs = [job for job in self._jobs.get(service, ()) if job.until > now]
        self._jobs[service] = jobs
        usual = _sum(job.busy for job in jobs)
        latest = jobs[-ONSET_JOBS:]
        if len(latest) < ONSET_JOBS or now - latest[0].at > ONSET_S:
            return usual
        span = max(now - latest[0].at, ONSET_S / ONSET_JOBS)
        onset = _scaled(_sum(job.work for job in latest), 1 / span)
        return Resources(*map(max, usual, onset))


class PoolMeter:
    """Adds up what minions have and what jobs wait for, by pool."""

    def __init__(self, views: Iterable[MinionView], jobs: Iterable[OpenJob]) -> None:
        self._views: dict[str, list[MinionView]] = {}
        for view in views:
            if view.listing is not None:
                self._views.setdefault(view.listing.service, []).append(view)
        self._jobs: dict[str, list[OpenJob]] = {}
        for job in jobs:
            if job.waiting:
                self._jobs.setdefault(job.service, []).append(job)
        capacities = (
            v.listing.capacity for vs in self._views.values() for v in vs if v.listing
        )
        self._machine = max(capacities, default=Resources(1, 1, 1))

    def load(self, pool: str, offered: Resources, used: bool, now: float) -> PoolLoad:
        """Return one pool's load."""
        backlog = parallel = lasting = 0.0
        jobs = self._jobs.get(pool, [])
        for job in jobs:
            for task in job.waiting:
                if (task.occurrence, task.step) not in job.unplaced:
                    continue
                step = job.job.steps[task.step]
                share = self._share(step.room)
                if step.lasting:
                    lasting += 1 if step.most_per_minion == 1 else share
                else:
                    parallel += share
                    backlog += share * step.estimate_ms / MS
        return PoolLoad(
            pool,
            room=self._room(pool, now),
            offered=self._share(offered),
            backlog=backlog,
            parallel=parallel,
            lasting=lasting,
            busy=bool(jobs),
            used=used,
        )

    def _room(self, pool: str, now: float) -> float:
        """Return what the tasks that end by themselves have, or could have."""
        room = 0.0
        for view in self._views.get(pool, []):
            if view.accepts(now):
                ending = (r.room for r in view.runs.values() if not r.step.lasting)
                had = sum(self._share(amount) for amount in ending)
                room += had + max(0.0, self._least_share(view.free))
        return room

    def _share(self, amount: Resources) -> float:
        """Return the part of a machine that an amount takes."""
        return max(
            wanted / had
            for wanted, had in zip(amount, self._machine, strict=True)
            if had
        )

    def _least_share(self, amount: Resources) -> float:
        return min(
            left / had for left, had in zip(amount, self._machine, strict=True) if had
        )


def _sum(amounts: Iterable[Resources]) -> Resources:
    return reduce(Resources.plus, amounts, Resources())


def _scaled(amount: Resources, factor: float) -> Resources:
    return Resources(*(int(part * factor) for part in amount))
