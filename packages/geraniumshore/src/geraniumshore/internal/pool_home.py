"""The home of a pool: places jobs on its hosts and tracks them to completion.

Every start is in the log before the platform is asked for it. The next home therefore
needs no handover: it reads the folded state and continues to renew the leases.
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
from geraniumshore.internal.jobs import Job, JobTable, WaitingGroup
from geraniumshore.internal.messages import GrantNotice, HolderReport
from geraniumshore.internal.placement import BestFit, FreeCapacity, Placement
from geraniumshore.internal.placement_round import PlacementRound
from geraniumshore.internal.platform_tasks import TaskReports
from geraniumshore.internal.pool_hosts import hosts_of_pool
from geraniumshore.internal.repeats import Repeat
from geraniumshore.internal.shares import Candidate, SharePolicy, WeightedShares
from geraniumshore.internal.sizing import LearnedSizes, Sizing
from geraniumshore.internal.task_watch import TaskCalls, TaskWatch
from geraniumshore.internal.tokens import TeamTerms, TokenAccount, TokenHolder

__all__ = ["PoolHome", "PoolInputs"]

DECISION_SECONDS = 0.1
MAX_STARTS_PER_BATCH = 100
# Waiting jobs of one team and urgency that one decision considers.
LOOKAHEAD_JOBS = 32
FIRST_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class PoolInputs:
    """The parts of the folded state that a pool's home decides on."""

    table: JobTable
    configuration: Configuration
    fleet: FleetState
    terms_by_team: dict[str, TeamTerms]
    unusable: frozenset[str] = frozenset()

    def hosts(self, pool: str) -> dict[str, Host]:
        """Return the pool's hosts, including drained ones."""
        return hosts_of_pool(self.configuration, self.fleet, pool)


@dataclass(slots=True)
class PoolHome(TokenHolder):
    """Decides which waiting job starts on which host of one pool."""

    pool: str
    epoch: int
    new_id: Callable[[], str]
    inputs: PoolInputs
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
        self.configure(self.inputs)

    def configure(self, inputs: PoolInputs) -> None:
        """Apply the folded state; reopen the accounts of teams whose home changed."""
        self.inputs = inputs
        for team in set(self.tokens_by_team) - set(inputs.terms_by_team):
            del self.tokens_by_team[team]
        in_use = self._in_use_by_team()
        for team, team_terms in inputs.terms_by_team.items():
            account = self.tokens_by_team.get(team)
            if account is not None and account.holding.epoch != team_terms.epoch:
                reopened = account.reopened(team_terms.epoch, in_use[team])
                self.tokens_by_team[team] = reopened
            elif account is None:
                self.tokens_by_team[team] = TokenAccount.opened(
                    team,
                    pool_ledger(self.pool),
                    self.epoch,
                    team_terms.epoch,
                    in_use[team],
                )

    def on_tokens(self, team: str, notice: GrantNotice, now: float) -> None:
        """Process a grant of tokens by a team's home."""
        account = self.tokens_by_team.get(team)
        if account is not None:
            account.receive(notice)
            self.reports_due = True

    def token_reports(self, repeat: Repeat, now: float) -> Iterator[HolderReport]:
        """Yield reports on token accounts to the teams' homes, when they are due."""
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
        """Yield the records that are due: new starts and reported completions."""
        if now < self.decide_at:
            return
        self.decide_at = now + DECISION_SECONDS
        self.reports_due = True
        table = self.inputs.table
        self.starts.discard_folded(table)
        self.ends.discard_folded(table)
        self._drop_due_retries(now)
        started = self.starts.batch(self._place_jobs(now), self.new_id, now)
        if started is not None:
            yield started
        ended = self.ends.batch(self.new_id, now)
        if ended is not None:
            yield ended

    def due_calls(self, now: float) -> TaskCalls:
        """Return the platform calls that are due."""
        hosts = self.inputs.hosts(self.pool)
        return self.watch.due_calls(self.inputs.table, hosts, self.inputs.unusable, now)

    def on_reports(self, reports: TaskReports, now: float) -> None:
        """Process the platform's reports on tasks."""
        for end in self.watch.on_reports(self.inputs.table, reports, now):
            self.ends.add(end)
            self._schedule_retry(end, now)
        self.decide_at = min(self.decide_at, now)

    def _place_jobs(self, now: float) -> list[JobStart]:
        """Choose hosts for waiting jobs, in the order that the share policy gives."""
        current_round = self._placement_round(now)
        in_use = self._in_use_by_team()
        groups = self._waiting_by_group(current_round, now)
        starts: list[JobStart] = []
        while len(starts) < MAX_STARTS_PER_BATCH:
            candidates = list(self._candidates(groups, in_use))
            if not candidates:
                break
            chosen = self.policy.choose(candidates, self.grants)
            group = WaitingGroup(chosen.team, chosen.urgent)
            start = current_round.place_first(groups[group])
            if start is None:
                del groups[group]
                continue
            self.grants += 1
            starts.append(start)
            in_use[chosen.team] += 1
        self.wanted_by_team = current_round.count_placeable(groups)
        return starts

    def _placement_round(self, now: float) -> PlacementRound:
        hosts = self.inputs.hosts(self.pool)
        return PlacementRound(
            table=self.inputs.table,
            sizing=self.sizing,
            placement=self.placement,
            hosts=list(hosts.values()),
            capacities=list(self._free_capacities(hosts, now)),
            new_id=self.new_id,
        )

    def _candidates(
        self, groups: Mapping[WaitingGroup, list[Job]], in_use: Counter[str]
    ) -> Iterator[Candidate]:
        for group, jobs in groups.items():
            account = self.tokens_by_team.get(group.team)
            if not jobs or account is None:
                continue
            limit = self.inputs.terms_by_team[group.team].limit
            if not account.may_start(in_use[group.team], limit):
                continue
            used = in_use[group.team] + account.elsewhere
            yield Candidate(
                team=group.team,
                share=self.inputs.terms_by_team[group.team].share,
                in_use=used,
                recent=used,
                urgent=group.urgent,
                waiting_since=jobs[0].accepted_at_ms / 1000,
            )

    def _waiting_by_group(
        self, current_round: PlacementRound, now: float
    ) -> dict[WaitingGroup, list[Job]]:
        """Return the first waiting jobs of each group.

        Jobs that can never run are set aside.
        """
        table = self.inputs.table
        max_jobs = LOOKAHEAD_JOBS + len(self.starts.by_job) + len(self.retry_at_by_job)
        groups: dict[WaitingGroup, list[Job]] = {}
        for group in table.waiting_groups(self.pool):
            jobs = table.waiting(self.pool, group, max_jobs)
            groups[group] = [
                job for job in jobs if self._may_start(job, current_round, now)
            ]
        return groups

    def _may_start(self, job: Job, current_round: PlacementRound, now: float) -> bool:
        if job.id in self.starts.by_job or self.retry_at_by_job.get(job.id, now) > now:
            return False
        reason = current_round.oversize_reason(job) or self._withdrawn_team_reason(job)
        if reason is not None:
            self.ends.add(JobEnd(job.id, job.attempt, "impossible", reason))
        return reason is None

    def _withdrawn_team_reason(self, job: Job) -> str | None:
        if job.team not in self.inputs.configuration.teams:
            return f"the team {job.team} was withdrawn"
        return None

    def _schedule_retry(self, end: JobEnd, now: float) -> None:
        self.retry_at_by_job.pop(end.job, None)
        if end.ending in {"failed", "interrupted", "out-of-memory", "not-run"}:
            wait = FIRST_BACKOFF_SECONDS * 2 ** min(end.attempt, 10)
            self.retry_at_by_job[end.job] = now + min(wait, MAX_BACKOFF_SECONDS)

    def _drop_due_retries(self, now: float) -> None:
        due = [job for job, at in self.retry_at_by_job.items() if at <= now]
        for job in due:
            del self.retry_at_by_job[job]

    def _free_capacities(
        self, hosts: Mapping[str, Host], now: float
    ) -> Iterator[FreeCapacity]:
        """Yield the free capacity of each host that takes jobs."""
        running = Counter(job.host for job in self.inputs.table.running(self.pool))
        running.update(start.host for start in self.starts.by_job.values())
        capacities = {
            name: FreeCapacity.of_idle_host(name, host)
            for name, host in hosts.items()
            if name not in self.inputs.unusable
            and self.watch.health.accepts(name, running[name], now)
        }
        for job in self.inputs.table.running(self.pool):
            if job.host in capacities:
                capacities[job.host].reserve(self.watch.in_use(job))
        for start in self.starts.by_job.values():
            if start.host in capacities:
                capacities[start.host].reserve(start.sizes)
        yield from capacities.values()

    def _in_use_by_team(self) -> Counter[str]:
        """Count by team the jobs that run or whose start is not folded yet."""
        table = self.inputs.table
        in_use = Counter(job.team for job in table.running(self.pool))
        for start in self.starts.by_job.values():
            job = table.by_id.get(start.job)
            if job is not None and job.attempt < start.attempt:
                in_use[job.team] += 1
        return in_use
