"""Periodic repetition of reports and notices that have not changed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from geraniumshore.internal.timing import HEARTBEAT_SECONDS, IDLE_HEARTBEAT_SECONDS

__all__ = ["HeartbeatSchedule", "Repeat"]


class Repeat(IntEnum):
    """Which accounts are repeated; each value includes the previous ones."""

    NOTHING = 0
    BUSY = 1
    ALL = 2


@dataclass(slots=True)
class HeartbeatSchedule:
    """Decides when accounts are repeated.

    Accounts with units, waiting work or unconfirmed changes are repeated at each
    heartbeat. Idle ones are repeated less often, since a lost message about them only
    delays the information.
    """

    _next_busy: float = float("-inf")
    _next_all: float = float("-inf")

    def due(self, now: float) -> Repeat:
        """Return what is due at ``now`` and schedule the next repetition."""
        if now < self._next_busy:
            return Repeat.NOTHING
        self._next_busy = now + HEARTBEAT_SECONDS
        if now < self._next_all:
            return Repeat.BUSY
        self._next_all = now + IDLE_HEARTBEAT_SECONDS
        return Repeat.ALL
