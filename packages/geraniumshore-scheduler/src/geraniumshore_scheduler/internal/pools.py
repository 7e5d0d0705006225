"""How many machines each pool gets, for queues whose bursts come by turns.

A burst asks for more than its pool holds while other pools stand idle, and a machine
costs as long as it stands in a pool, busy or not. So idle machines wait in the standby
pool, and move to where work comes faster than it is done.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from geraniumshore_scheduler.internal.contention import Contender, share_by_want
from geraniumshore_scheduler.internal.model import MachineListing

__all__ = [
    "Empty",
    "Keep",
    "Move",
    "PoolLoad",
    "PoolMachines",
    "PoolOrder",
    "PoolPolicy",
    "PoolRates",
]


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """What a pool's tasks ask for and what it has, in whole machines.

    ``room`` is what the tasks that end by themselves have or could have, ``offered``
    the work that came of late, in machines that it keeps busy. ``backlog`` is the work
    of the tasks that wait and for which no minion has room, in seconds of a machine;
    all at once they would fill ``parallel`` machines. ``lasting`` machines are wanted
    for lasting tasks that found no minion. ``timely_backlog`` and ``timely_parallel``
    count only jobs that would still be of worth to their callers. ``busy`` pools have
    tasks that wait, ``used`` ones have had some job.
    """

    pool: str
    room: float = 0.0
    offered: float = 0.0
    backlog: float = 0.0
    parallel: float = 0.0
    lasting: float = 0.0
    timely_backlog: float = 0.0
    timely_parallel: float = 0.0
    busy: bool = False
    used: bool = True


@dataclass(frozen=True, slots=True)
class Move:
    """Moves a machine to a pool."""

    machine: str
    pool: str


@dataclass(frozen=True, slots=True)
class Empty:
    """Gives a machine no more work, so that it can move soon."""

    machine: str


@dataclass(frozen=True, slots=True)
class Keep:
    """Gives a machine work again that was being emptied."""

    machine: str


PoolOrder = Move | Empty | Keep


@dataclass(frozen=True, slots=True)
class PoolMachines:
    """The machines as they stand, by pool and as far as they may be moved.

    Nothing runs on ``idle`` ones. ``busy`` ones may be emptied; those that are free
    soonest come first. ``coming`` counts those on their way to a pool, ``emptying``
    names those that take no work, so that they can move.
    """

    size_by_pool: Mapping[str, int] = field(default_factory=dict)
    idle_by_pool: Mapping[str, Sequence[MachineListing]] = field(default_factory=dict)
    busy_by_pool: Mapping[str, Sequence[MachineListing]] = field(default_factory=dict)
    coming_by_pool: Mapping[str, int] = field(default_factory=dict)
    emptying_by_name: Mapping[str, MachineListing] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PoolRates:
    """When to move; times in seconds, amounts in machines.

    A move takes ``lead_s`` until tasks start, and a backlog should be done ``clear_s``
    after that. ``least`` of a machine must be lacking to move one. A machine stays at
    least ``stay_s``, as a move costs about what a second of a machine in a pool does.
    A pool gives one up after ``idle_s`` without waiting tasks, if it keeps ``spare``
    times what work comes, and ``keep_share`` of an equal part of all machines for the
    onset of the next burst.
    """

    lead_s: float = 2.0
    clear_s: float = 0.8
    least: float = 0.4
    stay_s: float = 2.5
    idle_s: float = 0.8
    spare: float = 1.3
    keep_share: float = 0.8


@dataclass(slots=True)
class PoolPolicy:
    """Decides on moves between pools."""

    rates: PoolRates = field(default_factory=PoolRates)
    _joined_at: dict[str, float] = field(default_factory=dict)
    _busy_at: dict[str, float] = field(default_factory=dict)

    def note_moved(self, machine: str, now: float) -> None:
        """Note that a machine was moved."""
        self._joined_at[machine] = now

    def plan(
        self,
        loads: Iterable[PoolLoad],
        machines: PoolMachines,
        standby: str | None,
        now: float,
    ) -> Iterator[PoolOrder]:
        """Yield what to do with machines now, at most one order for each of them."""
        load_by_pool = {load.pool: load for load in loads}
        for load in load_by_pool.values():
            if load.busy:
                self._busy_at[load.pool] = now
        size_by_pool = machines.size_by_pool
        pools = len(load_by_pool) + (standby is not None)
        onset = self.rates.keep_share * sum(size_by_pool.values()) / max(1, pools)
        idle_by_pool = {
            pool: [m for m in idle if m.machine not in machines.emptying_by_name]
            for pool, idle in machines.idle_by_pool.items()
        }
        spares = list(idle_by_pool.get(standby, ())) if standby is not None else []
        for pool, idle in idle_by_pool.items():
            if pool != standby and pool in load_by_pool:
                releasable = self._releasable(
                    load_by_pool[pool], idle, size_by_pool.get(pool, 0), onset, now
                )
                spares.extend(releasable)
        taken: set[str] = set()
        given = dict(machines.coming_by_pool)
        yield from self._fill(load_by_pool, given, spares, taken)
        yield from self._share(load_by_pool, given, machines, now)
        if standby is None:
            return
        for machine in spares:
            if machine.machine not in taken and machine.pool != standby:
                yield Move(machine.machine, standby)

    def lacking(self, load: PoolLoad, coming: int) -> float:
        """Return how many machines a pool lacks beside those that are coming.

        Work that comes faster than it is done needs machines for as long as it does; a
        backlog, with what it grows by until a machine is there, only for a while.
        """
        short = load.offered - load.room - coming
        backlog = max(0.0, load.backlog + short * self.rates.lead_s)
        return (
            max(0.0, load.lasting - coming)
            + max(0.0, short)
            + min(max(0.0, load.parallel - coming), backlog / self.rates.clear_s)
        )

    def _fill(
        self,
        load_by_pool: dict[str, PoolLoad],
        given: dict[str, int],
        spares: list[MachineListing],
        taken: set[str],
    ) -> Iterator[Move]:
        """Give spare machines to the pool that lacks most, one at a time.

        ``given`` counts the machines that come to each pool.
        """
        for machine in spares:
            needs = {
                pool: self.lacking(load, given.get(pool, 0))
                for pool, load in load_by_pool.items()
                if pool != machine.pool
            }
            pool = max(needs, key=lambda name: needs[name], default=None)
            if pool is None or needs[pool] < self.rates.least:
                continue
            given[pool] = given.get(pool, 0) + 1
            taken.add(machine.machine)
            yield Move(machine.machine, pool)

    def _share(
        self,
        load_by_pool: dict[str, PoolLoad],
        given: dict[str, int],
        machines: PoolMachines,
        now: float,
    ) -> Iterator[PoolOrder]:
        """Share machines that are busy, where timely work waits for want of them."""
        emptying = machines.emptying_by_name
        idle = {m.machine for idle in machines.idle_by_pool.values() for m in idle}
        contenders = [
            Contender(pool, self._timely_want(load), load.room + given.get(pool, 0))
            for pool, load in load_by_pool.items()
        ]
        movable_by_pool = {
            pool: [m for m in busy if self._has_stayed(m, now)]
            for pool, busy in machines.busy_by_pool.items()
        }
        transfers = share_by_want(contenders, list(emptying.values()), movable_by_pool)
        for transfer in transfers:
            name = transfer.machine.machine
            if name not in emptying:
                yield Empty(name)
            elif transfer.pool == transfer.machine.pool:
                yield Keep(name)
            elif name in idle:
                yield Move(name, transfer.pool)

    def _timely_want(self, load: PoolLoad) -> float:
        """Return how many machines a pool's timely work would fill."""
        backlog = load.timely_backlog / self.rates.clear_s
        waiting = min(load.timely_parallel, backlog)
        return load.lasting + max(load.offered, min(load.room, load.offered) + waiting)

    def _has_stayed(self, machine: MachineListing, now: float) -> bool:
        joined_at = self._joined_at.get(machine.machine, float("-inf"))
        return now - joined_at >= self.rates.stay_s

    def _releasable(
        self,
        load: PoolLoad,
        idle: Sequence[MachineListing],
        size: int,
        onset: float,
        now: float,
    ) -> Iterator[MachineListing]:
        # A pool that has had no work yet is left as the operators made it.
        idle_since = self._busy_at.get(load.pool, float("-inf"))
        if not load.used or now - idle_since < self.rates.idle_s:
            return
        kept = max(self.rates.spare * load.offered, onset)
        room = load.room
        for machine in idle:
            if not self._has_stayed(machine, now):
                continue
            if size <= 1 or room - 1 < kept:
                return
            room -= 1
            size -= 1
            yield machine
