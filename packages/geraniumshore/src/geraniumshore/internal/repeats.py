"""Which accounts are sent again although nothing changed in them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from geraniumshore.internal.timing import HEARTBEAT_SECONDS, IDLE_HEARTBEAT_SECONDS

__all__ = ["HeartbeatSchedule", "Repeat"]


class Repeat(IntEnum):
    """How much is repeated: each value includes those before it."""

    NOTHING = 0
    BUSY = 1
    ALL = 2


@dataclass(slots=True)
class HeartbeatSchedule:
    """When what is due, by the time alone.

    Accounts with units, waiting work or news that is not confirmed are repeated at
    each heartbeat; idle ones seldom, since all that a lost message of theirs costs is
    that its news comes later.
    """

    _next_busy: float = float("-inf")
    _next_all: float = float("-inf")

    def due(self, now: float) -> Repeat:
        """Return what is due at ``now``, and count it as done."""
        if now < self._next_busy:
            return Repeat.NOTHING
        self._next_busy = now + HEARTBEAT_SECONDS
        if now < self._next_all:
            return Repeat.BUSY
        self._next_all = now + IDLE_HEARTBEAT_SECONDS
        return Repeat.ALL
