"""Plans moves of machines between pools, for queues whose bursts alternate.

A burst needs more machines than its pool holds while other pools are idle. A machine
costs money while it is in a pool, busy or not, so idle machines are kept in the standby
pool and move to a pool where work arrives faster than it is done.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace

from geraniumshore_scheduler.internal.burst_history import BurstHistory
from geraniumshore_scheduler.internal.contention import PoolDemand, reassign_by_demand
from geraniumshore_scheduler.internal.model import MachineListing

__all__ = [
    "CordonMachine",
    "UncordonMachine",
    "MoveMachine",
    "PoolLoad",
    "PoolMachines",
    "PoolOrder",
    "PoolPolicy",
    "PoolThresholds",
]


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """The demand and the capacity of a pool, in machines.

    Attributes:
        batch_capacity: What tasks that end by themselves use or could use.
        offered_load: Recently arrived work, as the machines that it keeps busy.
        backlog: Work of waiting tasks that found no minion, in machine-seconds.
        parallelism: Machines that the tasks of the backlog would fill all at once.
        long_running_machines: Machines needed for long-running tasks without a minion.
        timely_backlog: Like ``backlog``, for jobs that are still useful to callers.
        timely_parallelism: Like ``parallelism``, for the same jobs.
        has_unplaced_tasks: Whether some waiting task found no minion.
        has_had_jobs: Whether the owner knows a job of the pool, ended or not.
        batch_use: What running tasks that end by themselves use.
        recent_jobs: Number of jobs that the offered load comes from.
        evacuated_capacity: What the pool has lost with evacuated data centres.
    """

    pool: str
    batch_capacity: float = 0.0
    offered_load: float = 0.0
    backlog: float = 0.0
    parallelism: float = 0.0
    long_running_machines: float = 0.0
    timely_backlog: float = 0.0
    timely_parallelism: float = 0.0
    has_unplaced_tasks: bool = False
    has_had_jobs: bool = True
    batch_use: float = 0.0
    recent_jobs: int = 0
    evacuated_capacity: float = 0.0


@dataclass(frozen=True, slots=True)
class MoveMachine:
    """Moves a machine to a pool."""

    machine: str
    pool: str


@dataclass(frozen=True, slots=True)
class CordonMachine:
    """Stops placing work on a machine, so that it becomes free to move."""

    machine: str


@dataclass(frozen=True, slots=True)
class UncordonMachine:
    """Allows new work on a machine that was cordoned for a move."""

    machine: str


PoolOrder = MoveMachine | CordonMachine | UncordonMachine


@dataclass(frozen=True, slots=True)
class PoolMachines:
    """The machines of each pool and whether they may be moved.

    Attributes:
        size_by_pool: Number of machines, without those that are being moved. Machines
            in evacuated data centres are left out here and in the following.
        idle_by_pool: Machines on which nothing runs.
        cordonable_by_pool: Busy machines that may be cordoned, soonest free first.
        inbound_by_pool: Number of machines that are being moved to the pool.
        cordoned_by_name: Machines that take no new work, so that they can move.
    """

    size_by_pool: Mapping[str, int] = field(default_factory=dict)
    idle_by_pool: Mapping[str, Sequence[MachineListing]] = field(default_factory=dict)
    cordonable_by_pool: Mapping[str, Sequence[MachineListing]] = field(
        default_factory=dict
    )
    inbound_by_pool: Mapping[str, int] = field(default_factory=dict)
    cordoned_by_name: Mapping[str, MachineListing] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PoolThresholds:
    """Thresholds for moves; times in seconds, amounts in machines.

    Attributes:
        lead_s: Time from the order of a move until tasks start on the machine.
        clear_s: Time after that in which a backlog should be done.
        min_shortfall: Shortfall of a pool, in machines, from which one is moved to it.
        min_stay_s: Minimum time between two moves of a machine. A move costs about as
            much as one second of a machine in a pool.
        release_after_s: Time without unplaced tasks after which a pool may release
            machines.
        headroom_factor: A releasing pool keeps this many times its offered load.
        reserve_share: A releasing pool keeps this share of an equal part of all
            machines, for the onset of the next burst.
    """

    lead_s: float = 2.0
    clear_s: float = 0.8
    min_shortfall: float = 0.4
    min_stay_s: float = 2.5
    release_after_s: float = 0.8
    headroom_factor: float = 1.3
    reserve_share: float = 0.8


@dataclass(slots=True)
class PoolPolicy:
    """Decides which machines are moved between pools or cordoned for a move."""

    thresholds: PoolThresholds = field(default_factory=PoolThresholds)
    _moved_at: dict[str, float] = field(default_factory=dict)
    _last_unplaced_at: dict[str, float] = field(default_factory=dict)
    _bursts: BurstHistory = field(default_factory=BurstHistory)

    def record_move(self, machine: str, now: float) -> None:
        """Record that a machine was moved."""
        self._moved_at[machine] = now

    def plan(
        self,
        loads: Iterable[PoolLoad],
        machines: PoolMachines,
        standby: str | None,
        now: float,
    ) -> Iterator[PoolOrder]:
        """Yield the orders to give now, at most one for each machine."""
        load_by_pool = {load.pool: self._anticipated(load, now) for load in loads}
        for load in load_by_pool.values():
            if load.has_unplaced_tasks:
                self._last_unplaced_at[load.pool] = now
        size_by_pool = machines.size_by_pool
        pools = len(load_by_pool) + (standby is not None)
        burst_reserve = (
            self.thresholds.reserve_share * sum(size_by_pool.values()) / max(1, pools)
        )
        idle_by_pool = {
            pool: [m for m in idle if m.machine not in machines.cordoned_by_name]
            for pool, idle in machines.idle_by_pool.items()
        }
        spare_machines = (
            list(idle_by_pool.get(standby, ())) if standby is not None else []
        )
        spare_machines.extend(
            self._releasable_machines(
                load_by_pool, idle_by_pool, size_by_pool, burst_reserve, now
            )
        )
        assigned: set[str] = set()
        inbound_by_pool = dict(machines.inbound_by_pool)
        yield from self._assign_spare_machines(
            load_by_pool, inbound_by_pool, spare_machines, assigned
        )
        # The reserve for a burst to come yields to a pool whose jobs wait now.
        short = {p: load for p, load in load_by_pool.items() if load.timely_backlog > 0}
        if short:
            spare = {machine.machine for machine in spare_machines}
            beyond_use = self._releasable_machines(
                load_by_pool, idle_by_pool, size_by_pool, 0.0, now
            )
            reserve = [
                machine for machine in beyond_use if machine.machine not in spare
            ]
            yield from self._assign_spare_machines(
                short, inbound_by_pool, reserve, assigned
            )
        yield from self._reassign_busy_machines(
            load_by_pool, inbound_by_pool, machines, now
        )
        if standby is None:
            return
        yield from self._replace_evacuated(
            load_by_pool, inbound_by_pool, spare_machines, assigned, burst_reserve
        )
        for machine in spare_machines:
            if machine.machine not in assigned and machine.pool != standby:
                yield MoveMachine(machine.machine, standby)

    def _anticipated(self, load: PoolLoad, now: float) -> PoolLoad:
        """Return a load with the offered load that former bursts let expect."""
        demand = load.batch_use + load.parallelism
        offered = self._bursts.anticipate(
            load.pool, demand, load.offered_load, load.recent_jobs, now
        )
        return replace(load, offered_load=offered)

    def shortfall(self, load: PoolLoad, inbound: int) -> float:
        """Return how many machines a pool needs beyond the inbound ones.

        Work that arrives faster than it is done needs machines as long as that goes on.
        A backlog, including its growth until a machine arrives, needs them only until
        it is cleared. Long-running tasks need whole ones, as they may be all that a
        pool has to do, and a part of a machine cannot be moved.
        """
        rate_shortfall = load.offered_load - load.batch_capacity - inbound
        backlog = max(0.0, load.backlog + rate_shortfall * self.thresholds.lead_s)
        return (
            max(0.0, math.ceil(load.long_running_machines) - inbound)
            + max(0.0, rate_shortfall)
            + min(
                max(0.0, load.parallelism - inbound), backlog / self.thresholds.clear_s
            )
        )

    def _assign_spare_machines(
        self,
        load_by_pool: dict[str, PoolLoad],
        inbound_by_pool: dict[str, int],
        spare_machines: list[MachineListing],
        assigned: set[str],
    ) -> Iterator[MoveMachine]:
        """Move each spare machine to the pool with the largest shortfall.

        ``inbound_by_pool`` counts the machines that are moved to each pool and is
        updated.
        """
        for machine in spare_machines:
            shortfalls = {
                pool: self.shortfall(load, inbound_by_pool.get(pool, 0))
                for pool, load in load_by_pool.items()
                if pool != machine.pool
            }
            pool = max(shortfalls, key=lambda name: shortfalls[name], default=None)
            if pool is None or shortfalls[pool] < self.thresholds.min_shortfall:
                continue
            inbound_by_pool[pool] = inbound_by_pool.get(pool, 0) + 1
            assigned.add(machine.machine)
            yield MoveMachine(machine.machine, pool)

    def _replace_evacuated(
        self,
        load_by_pool: dict[str, PoolLoad],
        inbound_by_pool: dict[str, int],
        spare_machines: list[MachineListing],
        assigned: set[str],
        burst_reserve: float,
    ) -> Iterator[MoveMachine]:
        """Replace evacuated capacity up to what a pool would not release.

        Work that waits now has taken its machines before. More would be released again
        at once.
        """
        for machine in spare_machines:
            if machine.machine in assigned:
                continue
            lacking_by_pool = {
                pool: self._lacking_replacements(
                    load, inbound_by_pool.get(pool, 0), burst_reserve
                )
                for pool, load in load_by_pool.items()
                if pool != machine.pool and load.evacuated_capacity
            }
            pool = max(
                lacking_by_pool, key=lambda name: lacking_by_pool[name], default=None
            )
            if pool is None or lacking_by_pool[pool] < self.thresholds.min_shortfall:
                continue
            inbound_by_pool[pool] = inbound_by_pool.get(pool, 0) + 1
            assigned.add(machine.machine)
            yield MoveMachine(machine.machine, pool)

    def _lacking_replacements(
        self, load: PoolLoad, inbound: int, burst_reserve: float
    ) -> float:
        kept = max(self.thresholds.headroom_factor * load.offered_load, burst_reserve)
        return min(load.evacuated_capacity, kept - load.batch_capacity) - inbound

    def _reassign_busy_machines(
        self,
        load_by_pool: dict[str, PoolLoad],
        inbound_by_pool: dict[str, int],
        machines: PoolMachines,
        now: float,
    ) -> Iterator[PoolOrder]:
        """Reassign busy machines to pools whose timely work lacks capacity."""
        cordoned = machines.cordoned_by_name
        idle = {m.machine for idle in machines.idle_by_pool.values() for m in idle}
        demands = [
            PoolDemand(
                pool,
                self._timely_demand(load),
                load.batch_capacity + inbound_by_pool.get(pool, 0),
            )
            for pool, load in load_by_pool.items()
        ]
        movable_by_pool = {
            pool: [m for m in busy if self._has_min_stay(m, now)]
            for pool, busy in machines.cordonable_by_pool.items()
        }
        transfers = reassign_by_demand(
            demands, list(cordoned.values()), movable_by_pool
        )
        for transfer in transfers:
            name = transfer.machine.machine
            if name not in cordoned:
                yield CordonMachine(name)
            elif transfer.pool == transfer.machine.pool:
                yield UncordonMachine(name)
            elif name in idle:
                yield MoveMachine(name, transfer.pool)

    def _timely_demand(self, load: PoolLoad) -> float:
        """Return how many machines the timely work of a pool would fill."""
        backlog = load.timely_backlog / self.thresholds.clear_s
        waiting = min(load.timely_parallelism, backlog)
        return load.long_running_machines + max(
            load.offered_load, min(load.batch_capacity, load.offered_load) + waiting
        )

    def _has_min_stay(self, machine: MachineListing, now: float) -> bool:
        moved_at = self._moved_at.get(machine.machine, float("-inf"))
        return now - moved_at >= self.thresholds.min_stay_s

    def _releasable_machines(
        self,
        load_by_pool: Mapping[str, PoolLoad],
        idle_by_pool: Mapping[str, Sequence[MachineListing]],
        size_by_pool: Mapping[str, int],
        burst_reserve: float,
        now: float,
    ) -> Iterator[MachineListing]:
        """Yield idle machines that their pools need neither now nor as a reserve."""
        for pool, load in load_by_pool.items():
            idle, size = idle_by_pool.get(pool, ()), size_by_pool.get(pool, 0)
            yield from self._releasable_from(load, idle, size, burst_reserve, now)

    def _releasable_from(
        self,
        load: PoolLoad,
        idle: Sequence[MachineListing],
        size: int,
        burst_reserve: float,
        now: float,
    ) -> Iterator[MachineListing]:
        # A pool without any jobs so far keeps the size that the operators gave it.
        last_unplaced_at = self._last_unplaced_at.get(load.pool, float("-inf"))
        if (
            not load.has_had_jobs
            or now - last_unplaced_at < self.thresholds.release_after_s
        ):
            return
        kept = max(self.thresholds.headroom_factor * load.offered_load, burst_reserve)
        capacity = load.batch_capacity
        for machine in idle:
            if not self._has_min_stay(machine, now):
                continue
            if size <= 1 or capacity - 1 < kept:
                return
            capacity -= 1
            size -= 1
            yield machine
