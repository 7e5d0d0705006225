"""Measures what the tasks of a pool ask for and what the pool has, in machines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import reduce

from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import Job, Resources
from geraniumshore_scheduler.internal.ordering import JobOrder
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
    team: str | None
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
        busy = _scaled(work, 1 / duration)
        arrival = _Arrival(at, at + duration, job.team, work, busy)
        self._jobs.setdefault(job.service, []).append(arrival)

    def busy(
        self, service: str, cap_by_team: Mapping[str, Resources], now: float
    ) -> Resources:
        """Return what the work keeps busy that came for a service.

        A team at its cap keeps no more busy than that, whatever it sends.
        """
        jobs = [job for job in self._jobs.get(service, ()) if job.until > now]
        self._jobs[service] = jobs
        busy_by_team: dict[str | None, list[Resources]] = {}
        for job in jobs:
            busy_by_team.setdefault(job.team, []).append(job.busy)
        usual = _sum(
            _at_most(_sum(busy), cap_by_team.get(team or ""))
            for team, busy in busy_by_team.items()
        )
        latest = jobs[-ONSET_JOBS:]
        if len(latest) < ONSET_JOBS or now - latest[0].at > ONSET_S:
            return usual
        span = max(now - latest[0].at, ONSET_S / ONSET_JOBS)
        onset = _scaled(_sum(job.work for job in latest), 1 / span)
        if len({job.team for job in latest}) == 1:
            onset = _at_most(onset, cap_by_team.get(latest[0].team or ""))
        return Resources(*map(max, usual, onset))


@dataclass(slots=True)
class _Waiting:
    """Tasks that found no minion: machines for all at once, and machine-seconds."""

    parallel: float = 0.0
    backlog: float = 0.0

    def add(self, share: float, estimate_s: float) -> None:
        """Add a task that takes a share of a machine."""
        self.parallel += share
        self.backlog += share * estimate_s


class PoolMeter:
    """Adds up what minions have and what jobs wait for, by pool."""

    def __init__(
        self, views: Iterable[MinionView], jobs: Iterable[OpenJob], order: JobOrder
    ) -> None:
        self._order = order
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

    def load(
        self,
        pool: str,
        offered: Resources,
        room_by_team: Mapping[str, Resources],
        used: bool,
        now: float,
    ) -> PoolLoad:
        """Return one pool's load.

        ``room_by_team`` is what teams with a cap may still start: work beyond it waits
        for the team's other work, and no machine helps it.
        """
        lasting = 0.0
        lacking = False
        all_by_team: dict[str | None, _Waiting] = {}
        timely_by_team: dict[str | None, _Waiting] = {}
        for job in self._jobs.get(pool, []):
            team = job.job.team
            counts = [all_by_team.setdefault(team, _Waiting())]
            if self._order.is_timely(job, now):
                counts.append(timely_by_team.setdefault(team, _Waiting()))
            for task in job.waiting:
                if (task.occurrence, task.step) not in job.unplaced:
                    continue
                lacking = True
                step = job.job.steps[task.step]
                share = self._share(step.room)
                if step.lasting:
                    lasting += 1 if step.most_per_minion == 1 else share
                    continue
                for count in counts:
                    count.add(share, step.estimate_ms / MS)
        everything = self._within_caps(all_by_team, room_by_team)
        timely = self._within_caps(timely_by_team, room_by_team)
        return PoolLoad(
            pool,
            room=self._room(pool, now),
            offered=self._share(offered),
            backlog=everything.backlog,
            parallel=everything.parallel,
            lasting=lasting,
            timely_backlog=timely.backlog,
            timely_parallel=timely.parallel,
            busy=lacking,
            used=used,
        )

    def _within_caps(
        self,
        waiting_by_team: Mapping[str | None, _Waiting],
        room_by_team: Mapping[str, Resources],
    ) -> _Waiting:
        """Return the sum of what waits, as far as the teams' caps let it run."""
        total = _Waiting()
        for team, waiting in waiting_by_team.items():
            room = room_by_team.get(team or "")
            wanted = waiting.parallel
            allowed = wanted if room is None else max(0.0, self._least_share(room))
            part = min(1.0, allowed / wanted) if wanted else 1.0
            total.parallel += part * wanted
            total.backlog += part * waiting.backlog
        return total

    def _room(self, pool: str, now: float) -> float:
        """Return what the tasks that end by themselves have, or could have."""
        room = 0.0
        for view in self._views.get(pool, []):
            if view.accepts(now):
                for run in view.runs.values():
                    if not run.step.lasting:
                        room += self._share(run.step.room)
                room += max(0.0, self._least_share(view.free))
        return room

    def _share(self, amount: Resources) -> float:
        """Return the part of a machine that an amount takes."""
        share = 0.0
        for wanted, had in zip(amount, self._machine, strict=True):
            if had and wanted > share * had:
                share = wanted / had
        return share

    def _least_share(self, amount: Resources) -> float:
        return min(
            left / had for left, had in zip(amount, self._machine, strict=True) if had
        )


def _sum(amounts: Iterable[Resources]) -> Resources:
    return reduce(Resources.plus, amounts, Resources())


def _at_most(amount: Resources, limit: Resources | None) -> Resources:
    """Return the part of an amount that stays within a limit in every respect."""
    if limit is None:
        return amount
    pairs = zip(amount, limit, strict=True)
    part = min((most / wanted for wanted, most in pairs if wanted), default=1.0)
    return _scaled(amount, max(0.0, min(1.0, part)))


def _scaled(amount: Resources, factor: float) -> Resources:
    return Resources(*(int(part * factor) for part in amount))
