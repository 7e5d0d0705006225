"""Measures the demand and the capacity of each pool, in machines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from functools import reduce

from geraniumshore_scheduler.internal.caps import CapUse
from geraniumshore_scheduler.internal.durations import DurationEstimates
from geraniumshore_scheduler.internal.evacuation import find_lost_labels
from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.model import Job, Resources, Step
from geraniumshore_scheduler.internal.ordering import JobOrder
from geraniumshore_scheduler.internal.pools import PoolLoad
from geraniumshore_scheduler.internal.runs import (
    DECLARED,
    OpenJob,
    critical_path_s,
)

__all__ = ["Arrivals", "PoolMeter"]

# The work of a job is spread over the length of its longest chain of steps, within
# these bounds: long enough that a few jobs of a burst yield a rate, short enough that
# the onset of the burst is detected.
MIN_SPREAD_S = 0.5
MAX_SPREAD_S = 2.0
# This many jobs within this time are the onset of a burst. The rate of these jobs alone
# is then a lower bound of the offered load.
BURST_ONSET_JOBS = 6
BURST_ONSET_S = 0.4


@dataclass(frozen=True, slots=True)
class _Arrival:
    at: float
    until: float
    team: str | None
    work: Resources
    mean_use: Resources


@dataclass(slots=True)
class Arrivals:
    """Recently accepted jobs, and the resources that their work uses on average."""

    _jobs: dict[str, list[_Arrival]] = field(default_factory=dict)

    def insert(
        self, job: Job, at: float, durations: DurationEstimates = DECLARED
    ) -> None:
        """Record an accepted job."""
        estimates_s = [
            durations.estimate_s(job.queue, number, step)
            for number, step in enumerate(job.steps)
        ]
        chain_s = critical_path_s(job.steps, estimates_s=estimates_s)
        duration = min(MAX_SPREAD_S, max(MIN_SPREAD_S, chain_s))
        work = _sum(
            _scaled(step.room, step.count * estimate_s)
            for step, estimate_s in zip(job.steps, estimates_s, strict=True)
            if not step.lasting
        )
        mean_use = _scaled(work, 1 / duration)
        arrival = _Arrival(at, at + duration, job.team, work, mean_use)
        self._jobs.setdefault(job.service, []).append(arrival)

    def recent_jobs(self, service: str, now: float) -> int:
        """Return the number of jobs that the recent work of a service comes from."""
        return sum(1 for job in self._jobs.get(service, ()) if job.until > now)

    def offered_resources(
        self, service: str, cap_by_team: Mapping[str, Resources], now: float
    ) -> Resources:
        """Return the resources that the recent work of a service uses on average.

        The use of a team is limited by its cap, however much work it submits.
        """
        jobs = [job for job in self._jobs.get(service, ()) if job.until > now]
        self._jobs[service] = jobs
        uses_by_team: dict[str | None, list[Resources]] = {}
        for job in jobs:
            uses_by_team.setdefault(job.team, []).append(job.mean_use)
        mean_use = _sum(
            _scaled_to_limit(_sum(uses), cap_by_team.get(team or ""))
            for team, uses in uses_by_team.items()
        )
        latest = jobs[-BURST_ONSET_JOBS:]
        if len(latest) < BURST_ONSET_JOBS or now - latest[0].at > BURST_ONSET_S:
            return mean_use
        span = max(now - latest[0].at, BURST_ONSET_S / BURST_ONSET_JOBS)
        onset = _scaled(_sum(job.work for job in latest), 1 / span)
        if len({job.team for job in latest}) == 1:
            onset = _scaled_to_limit(onset, cap_by_team.get(latest[0].team or ""))
        return Resources(*map(max, mean_use, onset))


@dataclass(slots=True)
class _Backlog:
    """Tasks that found no minion.

    ``parallelism`` is the number of machines that they would fill all at once,
    ``machine_s`` their work in machine-seconds. ``indivisible`` is the number of
    machines for the largest task or gang that its team's cap lets start now.
    """

    parallelism: float = 0.0
    machine_s: float = 0.0
    indivisible: float = 0.0

    def add(self, machines: float, estimate_s: float, indivisible: float) -> None:
        """Add tasks that together use a number of machines."""
        self.parallelism += machines
        self.machine_s += machines * estimate_s
        self.indivisible = max(self.indivisible, indivisible)


class PoolMeter:
    """Sums the capacity of minions and the demand of waiting jobs by pool."""

    def __init__(
        self, views: Iterable[MinionView], jobs: Iterable[OpenJob], order: JobOrder
    ) -> None:
        self._order = order
        views = list(views)
        self._lost_labels = find_lost_labels(views)
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
        self._machine_capacity = max(capacities, default=Resources(1, 1, 1))

    def load(
        self,
        pool: str,
        offered_use: Resources,
        cap_use_by_team: Mapping[str, CapUse],
        has_had_jobs: bool,
        recent_jobs: int,
        now: float,
        moving_out: Sequence[Step] = (),
    ) -> PoolLoad:
        """Return the load of one pool.

        ``cap_use_by_team`` has the teams with a cap. Work beyond it waits for other
        work of the same team, so more machines would not help it.
        ``moving_out`` has the step of each long-running task in an evacuated data
        centre for which no other minion has room.
        """
        long_running_machines = sum(map(self._long_running_share, moving_out))
        has_unplaced_tasks = bool(moving_out)
        all_by_team: dict[str | None, _Backlog] = {}
        timely_by_team: dict[str | None, _Backlog] = {}
        for job in self._jobs.get(pool, []):
            team = job.job.team
            cap_use = cap_use_by_team.get(team or "")
            backlogs = [all_by_team.setdefault(team, _Backlog())]
            if self._order.is_timely(job, now):
                backlogs.append(timely_by_team.setdefault(team, _Backlog()))
            for (occurrence, number), tasks in job.waiting.count_by_step().items():
                if not tasks or (occurrence, number) not in job.unplaced:
                    continue
                step = job.job.steps[number]
                if step.label in self._lost_labels:
                    continue
                has_unplaced_tasks = True
                if step.lasting:
                    long_running_machines += tasks * self._long_running_share(step)
                    continue
                share = self._machine_share(step.room)
                together = step.count if step.gang else 1
                allowed = cap_use is None or cap_use.allows(step.size, together)
                indivisible = together * share if allowed else 0.0
                for backlog in backlogs:
                    backlog.add(tasks * share, job.estimate_s(number), indivisible)
        everything = self._within_caps(all_by_team, cap_use_by_team)
        timely = self._within_caps(timely_by_team, cap_use_by_team)
        return PoolLoad(
            pool,
            batch_capacity=self._batch_capacity(pool, now),
            offered_load=self._machine_share(offered_use),
            backlog=everything.machine_s,
            parallelism=everything.parallelism,
            long_running_machines=long_running_machines,
            timely_backlog=timely.machine_s,
            timely_parallelism=timely.parallelism,
            has_unplaced_tasks=has_unplaced_tasks,
            has_had_jobs=has_had_jobs,
            batch_use=self._batch_use(self._views.get(pool, [])),
            recent_jobs=recent_jobs,
            evacuated_capacity=self._evacuated_capacity(pool),
        )

    def _long_running_share(self, step: Step) -> float:
        """Return the part of a machine that a long-running task needs."""
        return 1.0 if step.most_per_minion == 1 else self._machine_share(step.room)

    def _within_caps(
        self,
        backlog_by_team: Mapping[str | None, _Backlog],
        cap_use_by_team: Mapping[str, CapUse],
    ) -> _Backlog:
        """Return the sum of the backlogs, as far as the caps of teams let them run."""
        total = _Backlog()
        for team, backlog in backlog_by_team.items():
            cap_use = cap_use_by_team.get(team or "")
            wanted = allowed = backlog.parallelism
            if cap_use is not None:
                headroom = self._min_machine_share(cap_use.headroom)
                allowed = max(backlog.indivisible, headroom)
            part = min(1.0, allowed / wanted) if wanted else 1.0
            total.parallelism += part * wanted
            total.machine_s += part * backlog.machine_s
        return total

    def _batch_use(self, views: Iterable[MinionView]) -> float:
        """Return what running tasks that end by themselves use."""
        return sum(
            self._machine_share(run.step.room)
            for view in views
            for run in view.runs.values()
            if not run.step.lasting
        )

    def _batch_capacity(self, pool: str, now: float) -> float:
        """Return what tasks that end by themselves use or could use."""
        accepting = [v for v in self._views.get(pool, []) if v.accepts(now)]
        free = sum(max(0.0, self._min_machine_share(view.free)) for view in accepting)
        return self._batch_use(accepting) + free

    def _evacuated_capacity(self, pool: str) -> float:
        """Return the capacity for such tasks that the pool has lost to evacuations."""
        lost = [v for v in self._views.get(pool, []) if v.evacuated and not v.unlisted]
        free = sum(max(0.0, self._min_machine_share(view.free)) for view in lost)
        return self._batch_use(lost) + free

    def _machine_share(self, amount: Resources) -> float:
        """Return the largest share of a machine that any of the resources takes."""
        share = 0.0
        for wanted, had in zip(amount, self._machine_capacity, strict=True):
            if had and wanted > share * had:
                share = wanted / had
        return share

    def _min_machine_share(self, amount: Resources) -> float:
        return min(
            left / had
            for left, had in zip(amount, self._machine_capacity, strict=True)
            if had
        )


def _sum(amounts: Iterable[Resources]) -> Resources:
    return reduce(Resources.plus, amounts, Resources())


def _scaled_to_limit(amount: Resources, limit: Resources | None) -> Resources:
    """Scale an amount down so that no resource exceeds its limit."""
    if limit is None:
        return amount
    pairs = zip(amount, limit, strict=True)
    part = min((cap / wanted for wanted, cap in pairs if wanted), default=1.0)
    return _scaled(amount, max(0.0, min(1.0, part)))


def _scaled(amount: Resources, factor: float) -> Resources:
    return Resources(*(int(part * factor) for part in amount))
