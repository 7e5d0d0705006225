"""The home of a pool: places jobs on its hosts and follows them to their end.

All that runs is in the log before the platform is asked, so the next home needs no
handover: it reads the fold, renews the leases and goes on.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from geraniumshore.internal.configuration import Configuration
from geraniumshore.internal.fleet_state import FleetState
from geraniumshore.internal.homes import pool_ledger
from geraniumshore.internal.items import Host
from geraniumshore.internal.job_batches import EndBatches, StartBatches
from geraniumshore.internal.job_records import (
    JobEnd,
    JobsEnded,
    JobsStarted,
    JobStart,
)
from geraniumshore.internal.jobs import Job, JobTable, WaitingLane
from geraniumshore.internal.messages import GrantNotice, HolderReport
from geraniumshore.internal.placement import BestFit, HostRoom, Placement
from geraniumshore.internal.placement_round import PlacementRound
from geraniumshore.internal.platform_tasks import TaskReports
from geraniumshore.internal.pool_hosts import hosts_of_pool
from geraniumshore.internal.repeats import Repeat
from geraniumshore.internal.shares import Candidate, SharePolicy, WeightedShares
from geraniumshore.internal.sizing import LearnedSizes, Sizing
from geraniumshore.internal.task_watch import TaskWatch, TaskWork
from geraniumshore.internal.tokens import TeamTerms, TokenAccount, TokenHolder

__all__ = ["PoolHome", "PoolTerms"]

DECISION_SECONDS = 0.1
MAX_STARTS_PER_BATCH = 100
# Jobs of one team and urgency that one decision looks at.
LOOKAHEAD = 32
FIRST_BACKOFF_SECONDS = 0.5
LONGEST_BACKOFF_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class PoolTerms:
    """What the folded state says to a pool's home."""

    table: JobTable
    configuration: Configuration
    fleet: FleetState
    terms_by_team: dict[str, TeamTerms]
    unusable: frozenset[str] = frozenset()

    def hosts(self, pool: str) -> dict[str, Host]:
        """Return the pool's hosts, drained ones too."""
        return hosts_of_pool(self.configuration, self.fleet, pool)


@dataclass(slots=True)
class PoolHome(TokenHolder):
    """Decides which waiting job starts on which host of one pool."""

    pool: str
    epoch: int
    new_id: Callable[[], str]
    terms: PoolTerms
    policy: SharePolicy = field(default_factory=WeightedShares)
    placement: Placement = field(default_factory=BestFit)
    sizing: Sizing = field(default_factory=LearnedSizes)
    starts: StartBatches = field(init=False)
    watch: TaskWatch = field(init=False)
    ends: EndBatches = field(default_factory=EndBatches)
    tokens_by_team: dict[str, TokenAccount] = field(default_factory=dict)
    wanted_by_team: Counter[str] = field(default_factory=Counter)
    retry_at_by_job: dict[str, float] = field(default_factory=dict)
    decide_at: float = float("-inf")
    reports_due: bool = True
    grants: int = 0

    def __post_init__(self) -> None:
        self.starts = StartBatches(self.pool, self.epoch)
        self.watch = TaskWatch(self.pool)
        self.configure(self.terms)

    def configure(self, terms: PoolTerms) -> None:
        """Take in the folded state, and turn to homes of teams that moved."""
        self.terms = terms
        for team in set(self.tokens_by_team) - set(terms.terms_by_team):
            del self.tokens_by_team[team]
        in_use = self._in_use_by_team()
        for team, team_terms in terms.terms_by_team.items():
            account = self.tokens_by_team.get(team)
            if account is not None and account.holding.epoch != team_terms.epoch:
                resealed = account.resealed(team_terms.epoch, in_use[team])
                self.tokens_by_team[team] = resealed
            elif account is None:
                self.tokens_by_team[team] = TokenAccount.sealed(
                    team,
                    pool_ledger(self.pool),
                    self.epoch,
                    team_terms.epoch,
                    in_use[team],
                )

    def on_tokens(self, team: str, notice: GrantNotice, now: float) -> None:
        """Take in tokens of a team's home."""
        account = self.tokens_by_team.get(team)
        if account is not None:
            account.receive(notice)
            self.reports_due = True

    def token_reports(self, repeat: Repeat, now: float) -> Iterator[HolderReport]:
        """Yield the accounts with the teams' homes, changed ones and others."""
        if not (repeat or self.reports_due):
            return
        self.reports_due = False
        in_use = self._in_use_by_team()
        for team, account in self.tokens_by_team.items():
            wanted = self.wanted_by_team[team]
            account.return_idle(in_use[team], wanted, now)
            report = account.report(
                wanted, complete=True, repeat=repeat, in_use=in_use[team]
            )
            if report is not None:
                yield report

    def decide(self, now: float) -> Iterator[JobsStarted | JobsEnded]:
        """Yield the records that are due: starts to be made, ends that were seen."""
        if now < self.decide_at:
            return
        self.decide_at = now + DECISION_SECONDS
        self.reports_due = True
        table = self.terms.table
        self.starts.settle(table)
        self.ends.settle(table)
        self._forget_retries(now)
        started = self.starts.batch(self._place(now), self.new_id, now)
        if started is not None:
            yield started
        ended = self.ends.batch(self.new_id, now)
        if ended is not None:
            yield ended

    def work(self, now: float) -> TaskWork:
        """Return the calls to the platform that are due."""
        hosts = self.terms.hosts(self.pool)
        return self.watch.work(self.terms.table, hosts, self.terms.unusable, now)

    def on_reports(self, reports: TaskReports, now: float) -> None:
        """Take in what the platform says of tasks."""
        for end in self.watch.on_reports(self.terms.table, reports, now):
            self.ends.add(end)
            self._back_off(end, now)
        self.decide_at = min(self.decide_at, now)

    def _place(self, now: float) -> list[JobStart]:
        """Choose hosts for waiting jobs, as the share policy orders their teams."""
        placing = self._placement_round(now)
        in_use = self._in_use_by_team()
        lanes = self._waiting_by_lane(placing, now)
        starts: list[JobStart] = []
        while len(starts) < MAX_STARTS_PER_BATCH:
            candidates = list(self._candidates(lanes, in_use))
            if not candidates:
                break
            chosen = self.policy.choose(candidates, self.grants)
            lane = WaitingLane(chosen.team, chosen.urgent)
            start = placing.place_first(lanes[lane])
            if start is None:
                del lanes[lane]
                continue
            self.grants += 1
            starts.append(start)
            in_use[chosen.team] += 1
        self.wanted_by_team = placing.placeable(lanes)
        return starts

    def _placement_round(self, now: float) -> PlacementRound:
        hosts = self.terms.hosts(self.pool)
        return PlacementRound(
            table=self.terms.table,
            sizing=self.sizing,
            placement=self.placement,
            hosts=list(hosts.values()),
            rooms=list(self._rooms(hosts, now)),
            new_id=self.new_id,
        )

    def _candidates(
        self, lanes: Mapping[WaitingLane, list[Job]], in_use: Counter[str]
    ) -> Iterator[Candidate]:
        for lane, jobs in lanes.items():
            account = self.tokens_by_team.get(lane.team)
            if not jobs or account is None:
                continue
            limit = self.terms.terms_by_team[lane.team].limit
            if not account.may_start(in_use[lane.team], limit):
                continue
            used = in_use[lane.team] + account.elsewhere
            yield Candidate(
                team=lane.team,
                share=self.terms.terms_by_team[lane.team].share,
                in_use=used,
                recent=used,
                urgent=lane.urgent,
                waiting_since=jobs[0].accepted_at_ms / 1000,
            )

    def _waiting_by_lane(
        self, placing: PlacementRound, now: float
    ) -> dict[WaitingLane, list[Job]]:
        """Return the first waiting jobs of each lane; set aside what can never run."""
        table = self.terms.table
        most = LOOKAHEAD + len(self.starts.by_job) + len(self.retry_at_by_job)
        lanes: dict[WaitingLane, list[Job]] = {}
        for lane in table.waiting_lanes(self.pool):
            jobs = table.waiting(self.pool, lane, most)
            lanes[lane] = [job for job in jobs if self._may_start(job, placing, now)]
        return lanes

    def _may_start(self, job: Job, placing: PlacementRound, now: float) -> bool:
        if job.id in self.starts.by_job or self.retry_at_by_job.get(job.id, now) > now:
            return False
        reason = placing.fault(job) or self._orphaned(job)
        if reason is not None:
            self.ends.add(JobEnd(job.id, job.attempt, "impossible", reason))
        return reason is None

    def _orphaned(self, job: Job) -> str | None:
        if job.team not in self.terms.configuration.teams:
            return f"the team {job.team} was withdrawn"
        return None

    def _back_off(self, end: JobEnd, now: float) -> None:
        self.retry_at_by_job.pop(end.job, None)
        if end.ending in {"failed", "interrupted", "out-of-memory", "not-run"}:
            wait = FIRST_BACKOFF_SECONDS * 2 ** min(end.attempt, 10)
            self.retry_at_by_job[end.job] = now + min(wait, LONGEST_BACKOFF_SECONDS)

    def _forget_retries(self, now: float) -> None:
        due = [job for job, at in self.retry_at_by_job.items() if at <= now]
        for job in due:
            del self.retry_at_by_job[job]

    def _rooms(self, hosts: Mapping[str, Host], now: float) -> Iterator[HostRoom]:
        """Yield what is free on each host that takes jobs."""
        running = Counter(job.host for job in self.terms.table.running(self.pool))
        running.update(start.host for start in self.starts.by_job.values())
        rooms = {
            name: HostRoom.of_empty(name, host)
            for name, host in hosts.items()
            if name not in self.terms.unusable
            and self.watch.health.accepts(name, running[name], now)
        }
        for job in self.terms.table.running(self.pool):
            if job.host in rooms:
                rooms[job.host].take(self.watch.in_use(job))
        for start in self.starts.by_job.values():
            if start.host in rooms:
                rooms[start.host].take(start.sizes)
        yield from rooms.values()

    def _in_use_by_team(self) -> Counter[str]:
        """Count what runs or may start, by team."""
        table = self.terms.table
        in_use = Counter(job.team for job in table.running(self.pool))
        for start in self.starts.by_job.values():
            job = table.by_id.get(start.job)
            if job is not None and job.attempt < start.attempt:
                in_use[job.team] += 1
        return in_use
