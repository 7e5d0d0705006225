"""Reassigns busy machines when bursts of several pools need more than there are.

A pool with any work keeps its machines, even where results of the work would come too
late to be useful. Meanwhile jobs that could finish in time may wait in a pool that
released its machines in a quiet period. So machines are cordoned in the pool that has
most of them relative to its timely work, and move to the one that has fewest.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from geraniumshore_scheduler.internal.model import MachineListing

__all__ = ["PoolDemand", "Transfer", "reassign_by_demand"]

# A machine changes pools only if the demand ratio of the recipient is then still at
# least this many times that of the donor: cordoning and moving a machine costs both
# pools some seconds of its work.
MIN_RATIO_GAIN = 1.5
# A pool without capacity counts as having this part of a machine.
MIN_AVAILABLE_MACHINES = 0.5


@dataclass(slots=True)
class PoolDemand:
    """A pool with the machines that its timely work needs and those that it has."""

    pool: str
    needed: float
    available: float

    @property
    def ratio(self) -> float:
        """The needed machines for each available one."""
        return self.ratio_with(0)

    def ratio_with(self, change: float) -> float:
        """Return the ratio if the available machines change by ``change``."""
        return self.needed / max(self.available + change, MIN_AVAILABLE_MACHINES)


@dataclass(frozen=True, slots=True)
class Transfer:
    """Assigns a machine to a pool, which may be the one that it is in."""

    machine: MachineListing
    pool: str


def reassign_by_demand(
    demands: Iterable[PoolDemand],
    cordoned: Sequence[MachineListing],
    movable_by_pool: Mapping[str, Sequence[MachineListing]],
) -> Iterator[Transfer]:
    """Yield pools for cordoned machines, then further machines to cordon and move.

    ``cordoned`` machines take no new work and count for no pool. ``movable_by_pool``
    has the machines that may be cordoned, soonest free first.
    """
    by_pool = {demand.pool: demand for demand in demands}
    for machine in cordoned:
        recipient = max(by_pool.values(), key=lambda d: d.ratio, default=None)
        current = by_pool.get(machine.pool)
        if (
            recipient is None
            or recipient.ratio <= 1.0
            or not _should_leave(current, recipient)
        ):
            recipient = current
        if recipient is not None:
            recipient.available += 1
        yield Transfer(machine, machine.pool if recipient is None else recipient.pool)
    movable = {pool: iter(machines) for pool, machines in movable_by_pool.items()}
    while by_pool:
        recipient = max(by_pool.values(), key=lambda d: d.ratio)
        donors = sorted(by_pool.values(), key=lambda d: d.ratio_with(-1))
        donor = next(
            (d for d in donors if d.pool in movable and d.available >= 2), None
        )
        if donor is None or donor is recipient or recipient.ratio <= 1.0:
            return
        if donor.ratio_with(-1) * MIN_RATIO_GAIN > recipient.ratio_with(1):
            return
        cordoned_machine = next(movable[donor.pool], None)
        if cordoned_machine is None:
            del movable[donor.pool]
            continue
        donor.available -= 1
        recipient.available += 1
        yield Transfer(cordoned_machine, recipient.pool)


def _should_leave(current: PoolDemand | None, recipient: PoolDemand) -> bool:
    """Return whether a cordoned machine should still leave its current pool."""
    return current is None or current.ratio < recipient.ratio
