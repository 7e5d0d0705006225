"""Task sizes for which no minion of a pool has room, remembered during one pass.

In a burst hundreds of jobs wait for a full pool, and a pass would try each of them on
each minion. Minions only fill up during a pass, so a size that found no room finds none
later in the pass, and neither does a larger one.
"""

from __future__ import annotations

from geraniumshore_scheduler.internal.model import Resources

__all__ = ["UnplaceableSizes"]


class UnplaceableSizes:
    """The sizes that found no room in one pass over the jobs of a pool."""

    def __init__(self) -> None:
        self._sizes: list[Resources] = []

    def add(self, room: Resources) -> None:
        """Record that no minion has ``room``, even for a task without constraints."""
        self._sizes = [r for r in self._sizes if not room.fits_in(r)]
        self._sizes.append(room)

    def covers(self, room: Resources) -> bool:
        """Return whether it is known that no minion has ``room``."""
        return any(size.fits_in(room) for size in self._sizes)
