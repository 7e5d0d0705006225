"""Decides what a team may start within its cap.

A task cannot be divided. One that is larger than what its team's cap leaves would wait
for as long as the team's other tasks run, and long-running ones run for good. So a team
that uses less than half of its cap may start one task that exceeds it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

from geraniumshore_scheduler.internal.model import Resources
from geraniumshore_scheduler.internal.spare_room import count_slots

__all__ = ["CapUse"]


@dataclass(frozen=True, slots=True)
class CapUse:
    """A team's cap, with unlimited resources as large amounts, and what it uses."""

    limit: Resources
    use: Resources

    @property
    def headroom(self) -> Resources:
        """What the cap leaves; negative for a resource beyond it."""
        return self.limit.minus(self.use)

    @property
    def exceeded(self) -> bool:
        """Whether the team uses more than its cap of any resource."""
        return not self.use.fits_in(self.limit)

    def allows(self, size: Resources, count: int = 1) -> bool:
        """Return whether the team may start ``count`` tasks of a size together.

        Each resource stays within the cap, or exceeds it by at most one of the tasks
        if less than half of it was in use.
        """
        return all(
            used + count * part <= limit
            or (2 * used < limit and used + (count - 1) * part <= limit)
            for used, part, limit in zip(self.use, size, self.limit, strict=True)
        )

    def count_startable(self, size: Resources, wanted: int) -> int:
        """Return how many tasks of a size may start one by one, at most ``wanted``."""
        fitting = min(wanted, count_slots(self.headroom, size, wanted))
        if fitting == wanted:
            return fitting
        return fitting + self.with_tasks(size, fitting).allows(size)

    def allows_restart(self, size: Resources) -> bool:
        """Return whether a running task of a size could start again after its stop.

        A team within its cap leaves each of its tasks the room to start again.
        """
        return not self.exceeded or self.with_tasks(size, -1).allows(size)

    def with_tasks(self, size: Resources, count: int) -> Self:
        """Return the use with ``count`` more tasks of a size, or fewer if negative."""
        added = Resources(*(count * part for part in size))
        return type(self)(self.limit, self.use.plus(added))
