"""The pool homes that one member runs."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from geraniumshore.internal.fold import ControlState
from geraniumshore.internal.homes import LedgerKey, pool_ledger
from geraniumshore.internal.job_records import JobsEnded, JobsStarted
from geraniumshore.internal.platform_tasks import TaskReports
from geraniumshore.internal.pool_home import PoolHome, PoolInputs
from geraniumshore.internal.pool_hosts import hosts_refusing_jobs
from geraniumshore.internal.shares import SharePolicy
from geraniumshore.internal.task_watch import TaskCalls
from geraniumshore.internal.tokens import TeamTerms

__all__ = ["JobHomes"]


@dataclass(slots=True)
class JobHomes:
    """Creates, updates and removes a member's pool homes as the state assigns them."""

    member: str
    new_id: Callable[[], str]
    policy: SharePolicy
    by_pool: dict[str, PoolHome] = field(default_factory=dict)

    def follow(
        self,
        state: ControlState,
        terms_by_team: Mapping[str, TeamTerms],
        unusable_hosts: frozenset[str],
    ) -> None:
        """Apply the folded state."""
        inputs = PoolInputs(
            table=state.jobs,
            configuration=state.configuration,
            fleet=state.fleet,
            terms_by_team=dict(terms_by_team),
            unusable=unusable_hosts.union(hosts_refusing_jobs(state.fleet)),
        )
        pools = state.configuration.job_pools()
        homes = {pool: state.homes.get(pool_ledger(pool)) for pool in pools}
        epoch_by_pool = {
            pool: home.epoch
            for pool, home in homes.items()
            if home is not None and home.member == self.member
        }
        for pool in set(self.by_pool) - set(epoch_by_pool):
            del self.by_pool[pool]
        for pool, epoch in epoch_by_pool.items():
            current = self.by_pool.get(pool)
            if current is not None and current.epoch == epoch:
                current.configure(inputs)
            else:
                self.by_pool[pool] = PoolHome(
                    pool, epoch, self.new_id, inputs, self.policy
                )

    def holders(self) -> dict[LedgerKey, PoolHome]:
        """Return the pool homes by ledger key; team homes treat them as holders."""
        return {pool_ledger(pool): home for pool, home in self.by_pool.items()}

    def decide(self, now: float) -> Iterator[JobsStarted | JobsEnded]:
        """Yield the records that are due in all pool homes."""
        for home in self.by_pool.values():
            yield from home.decide(now)

    def due_calls(self, now: float) -> list[TaskCalls]:
        """Return the platform calls that are due, by pool."""
        return [home.due_calls(now) for home in self.by_pool.values()]

    def on_reports(self, pool: str, reports: TaskReports, now: float) -> None:
        """Process the platform's reports on a pool's tasks."""
        home = self.by_pool.get(pool)
        if home is not None:
            home.on_reports(reports, now)
