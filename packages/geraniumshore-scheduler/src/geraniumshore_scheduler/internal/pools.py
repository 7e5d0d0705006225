"""How many machines each pool gets, for queues whose bursts come by turns.

A burst asks for more than its pool holds while other pools stand idle, and a machine
costs as long as it stands in a pool, busy or not. So idle machines wait in the standby
pool, and move to where tasks wait.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from geraniumshore_scheduler.internal.model import MachineListing, Resources

__all__ = ["Move", "PoolLoad", "PoolPolicy", "PoolRates"]


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """What a pool's tasks ask for and what it has.

    ``unplaced`` is what the tasks need that wait and for which no minion of the pool
    has room; ``apart`` of them each want a minion of their own. ``free`` is what
    nothing uses on the minions that accept work, and ``demand`` what tasks that end by
    themselves use or wait for. ``busy`` pools have tasks that wait, ``used`` ones have
    had some job.
    """

    pool: str
    unplaced: Resources = Resources()
    apart: int = 0
    free: Resources = Resources()
    busy: bool = False
    used: bool = True
    demand: Resources = Resources()

    def machines_wanted(self, size: Resources, growth: float) -> float:
        """Return how many machines of a size the pool lacks.

        They would hold the unplaced tasks, and what comes while a machine moves:
        ``growth`` times the present demand, as far as free room does not hold it.
        """
        wanted = float(self.apart)
        for unplaced, free, demand, had in zip(
            self.unplaced, self.free, self.demand, size, strict=True
        ):
            if had:
                coming = unplaced + growth * demand - max(0, free)
                wanted = max(wanted, unplaced / had, coming / had)
        return wanted


@dataclass(frozen=True, slots=True)
class Move:
    """Moves a machine to a pool."""

    machine: str
    pool: str


@dataclass(frozen=True, slots=True)
class PoolRates:
    """When to move, in seconds and in shares of a machine.

    ``least_share`` of a machine must be asked for to move one in. A machine stays at
    least ``stay_s``, as a move costs about what a second of a machine in a pool does.
    A pool gives one up after ``idle_s`` without waiting tasks if ``reserve_share`` of
    a machine's processors stays free on each of the others. Demand is taken to grow on
    as it did over ``trend_s``, for the ``lead_s`` that a move takes, by ``most_growth``
    times what it is at most.
    """

    least_share: float = 0.3
    stay_s: float = 2.5
    idle_s: float = 1.0
    reserve_share: float = 0.4
    trend_s: float = 0.8
    lead_s: float = 2.0
    most_growth: float = 1.0


@dataclass(slots=True)
class PoolPolicy:
    """Decides on moves between pools."""

    rates: PoolRates = field(default_factory=PoolRates)
    _joined_at: dict[str, float] = field(default_factory=dict)
    _busy_at: dict[str, float] = field(default_factory=dict)
    _demands: dict[str, deque[tuple[float, Resources]]] = field(default_factory=dict)

    def note_moved(self, machine: str, now: float) -> None:
        """Note that a machine was moved."""
        self._joined_at[machine] = now

    def plan(
        self,
        loads: Iterable[PoolLoad],
        idle_by_pool: dict[str, Sequence[MachineListing]],
        size_by_pool: dict[str, int],
        coming_by_pool: dict[str, int],
        standby: str | None,
        now: float,
    ) -> Iterator[Move]:
        """Yield the moves to make now.

        ``idle_by_pool`` has the machines on which nothing runs and which may be moved;
        ``coming_by_pool`` counts the machines on their way to a pool.
        """
        load_by_pool = {load.pool: load for load in loads}
        for load in load_by_pool.values():
            if load.busy:
                self._busy_at[load.pool] = now
            history = self._demands.setdefault(load.pool, deque())
            history.append((now, load.demand))
            while history[0][0] < now - self.rates.trend_s:
                history.popleft()
        spares = list(idle_by_pool.get(standby, ())) if standby is not None else []
        for pool, idle in idle_by_pool.items():
            if pool != standby and pool in load_by_pool:
                releasable = self._releasable(
                    load_by_pool[pool], idle, size_by_pool.get(pool, 0), now
                )
                spares.extend(releasable)
        taken: set[str] = set()
        yield from self._fill(load_by_pool, coming_by_pool, spares, taken)
        if standby is None:
            return
        for machine in spares:
            if machine.machine not in taken and machine.pool != standby:
                yield Move(machine.machine, standby)

    def _growth(self, load: PoolLoad) -> float:
        """Return by how much of itself the demand will have grown after a move."""
        history = self._demands[load.pool]
        then, before = history[0]
        elapsed = history[-1][0] - then
        if not elapsed:
            return 0.0
        rates = [
            (amount - earlier) / elapsed / amount
            for amount, earlier in zip(load.demand, before, strict=True)
            if amount
        ]
        growth = max(rates, default=0.0) * self.rates.lead_s
        return min(self.rates.most_growth, max(0.0, growth))

    def _fill(
        self,
        load_by_pool: dict[str, PoolLoad],
        coming_by_pool: dict[str, int],
        spares: list[MachineListing],
        taken: set[str],
    ) -> Iterator[Move]:
        """Give spare machines to the pool that lacks most, one at a time."""
        given = dict(coming_by_pool)
        growths = {pool: self._growth(load) for pool, load in load_by_pool.items()}
        for machine in spares:
            needs = {
                pool: load.machines_wanted(machine.capacity, growths[pool])
                - given.get(pool, 0)
                for pool, load in load_by_pool.items()
                if pool != machine.pool
            }
            pool = max(needs, key=lambda name: needs[name], default=None)
            if pool is None or needs[pool] < self.rates.least_share:
                continue
            given[pool] = given.get(pool, 0) + 1
            taken.add(machine.machine)
            yield Move(machine.machine, pool)

    def _releasable(
        self, load: PoolLoad, idle: Sequence[MachineListing], size: int, now: float
    ) -> Iterator[MachineListing]:
        # A pool that has had no work yet is left as the operators made it.
        busy_at = self._busy_at.get(load.pool, -math.inf)
        if not load.used or now - busy_at < self.rates.idle_s:
            return
        free = load.free
        for machine in idle:
            if (
                now - self._joined_at.get(machine.machine, -math.inf)
                < self.rates.stay_s
            ):
                continue
            free = free.minus(machine.capacity)
            size -= 1
            reserve = self.rates.reserve_share * size
            if size < 1 or any(
                left < reserve * had
                for left, had in zip(free, machine.capacity, strict=True)
            ):
                return
            yield machine
