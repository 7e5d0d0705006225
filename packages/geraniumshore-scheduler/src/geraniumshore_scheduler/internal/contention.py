"""Bursts of several pools that together ask for more machines than there are.

A pool that is busy keeps its machines while it has work at all, also work whose worth
is gone. Meanwhile jobs that could still be done in time wait in a pool that gave its
machines away in a quiet moment. So machines are emptied in the pool that has most of
them for its timely work, and move to the one that has fewest.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from geraniumshore_scheduler.internal.model import MachineListing

__all__ = ["Contender", "Transfer", "share_by_want"]

# A machine changes pools only if the taker stays this much shorter of machines than the
# giver becomes: emptying and moving it costs both some seconds of its work.
LEAST_GAIN = 1.5
# A pool without room counts as having this part of a machine.
LEAST_ROOM = 0.5


@dataclass(slots=True)
class Contender:
    """A pool, and how many machines its timely work wants and has."""

    pool: str
    want: float
    have: float

    @property
    def shortage(self) -> float:
        """How many machines are wanted for each that is there."""
        return self.shortage_with(0)

    def shortage_with(self, more: float) -> float:
        """Return the shortage with so many more machines, or fewer."""
        return self.want / max(self.have + more, LEAST_ROOM)


@dataclass(frozen=True, slots=True)
class Transfer:
    """Takes a machine out of its pool for another; it stays where both are the same."""

    machine: MachineListing
    pool: str


def share_by_want(
    contenders: Iterable[Contender],
    emptying: Sequence[MachineListing],
    movable_by_pool: Mapping[str, Sequence[MachineListing]],
) -> Iterator[Transfer]:
    """Yield where machines should go that are being emptied, and others to empty.

    ``emptying`` machines take no work and count for no pool. ``movable_by_pool`` has
    the machines that may be emptied, those that are free soonest first.
    """
    by_pool = {contender.pool: contender for contender in contenders}
    for machine in emptying:
        taker = max(by_pool.values(), key=lambda c: c.shortage, default=None)
        own = by_pool.get(machine.pool)
        if taker is None or taker.shortage <= 1.0 or not _gains(own, taker):
            taker = own
        if taker is not None:
            taker.have += 1
        yield Transfer(machine, machine.pool if taker is None else taker.pool)
    movable = {pool: iter(machines) for pool, machines in movable_by_pool.items()}
    while by_pool:
        taker = max(by_pool.values(), key=lambda c: c.shortage)
        givers = sorted(by_pool.values(), key=lambda c: c.shortage_with(-1))
        giver = next((g for g in givers if g.pool in movable and g.have >= 2), None)
        if giver is None or giver is taker or taker.shortage <= 1.0:
            return
        if giver.shortage_with(-1) * LEAST_GAIN > taker.shortage_with(1):
            return
        emptied = next(movable[giver.pool], None)
        if emptied is None:
            del movable[giver.pool]
            continue
        giver.have -= 1
        taker.have += 1
        yield Transfer(emptied, taker.pool)


def _gains(own: Contender | None, taker: Contender) -> bool:
    """Tell whether a machine on its way out should still go."""
    return own is None or own.shortage < taker.shortage
