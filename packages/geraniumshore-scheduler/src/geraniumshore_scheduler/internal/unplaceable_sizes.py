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

    def add(self, size: Resources) -> None:
        """Record that ``size`` finds no room, even for a task without constraints."""
        self._sizes = [known for known in self._sizes if not size.fits_in(known)]
        self._sizes.append(size)

    def covers(self, size: Resources) -> bool:
        """Return whether it is known that no minion has room for ``size``."""
        return any(known.fits_in(size) for known in self._sizes)
