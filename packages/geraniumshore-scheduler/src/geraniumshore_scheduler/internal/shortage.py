"""What no minion of a pool has room for: bursts in which hundreds of jobs wait.

While a pool is full, every pass over the waiting jobs would try each of them on each
minion. Within a pass minions only fill up, so what found no room once finds none
later, nor does anything that is larger.
"""

from __future__ import annotations

from geraniumshore_scheduler.internal.model import Resources

__all__ = ["Shortage"]


class Shortage:
    """The sizes that found no room in one pass over the jobs of a pool."""

    def __init__(self) -> None:
        self._lacking: list[Resources] = []

    def note(self, room: Resources) -> None:
        """Note that no minion has ``room``, whatever else is asked of it."""
        self._lacking = [r for r in self._lacking if not room.fits_in(r)]
        self._lacking.append(room)

    def covers(self, room: Resources) -> bool:
        """Tell whether it is known that no minion has ``room``."""
        return any(lacking.fits_in(room) for lacking in self._lacking)
