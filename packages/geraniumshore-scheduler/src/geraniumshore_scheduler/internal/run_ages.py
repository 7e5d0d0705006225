"""When runs were recorded, from their numbers, which rise across owners."""

from __future__ import annotations

import math
from collections import deque

from geraniumshore_scheduler.internal.records import Progress

__all__ = ["RunAges"]

# Runs that were recorded within this time of each other share an entry.
RESOLUTION_S = 0.5
# The entries cover 20 s. Older runs count as recorded when the oldest one was made.
MAX_ENTRIES = 40


class RunAges:
    """The times by which runs had certainly been recorded, as far as this node read.

    An owner numbers its runs in the order in which it records them, and those of a
    later epoch have higher numbers. So a node that has read of one run knows that all
    with lower numbers are no younger.
    """

    def __init__(self) -> None:
        # Each entry is a time and the highest number that had been read by then.
        self._entries: deque[tuple[float, int]] = deque(maxlen=MAX_ENTRIES)
        self._highest = 0

    def observe(self, progress: Progress, now: float) -> None:
        """Note the runs that a record names, read at ``now``."""
        highest = max(
            (place.run for places in progress.placed.values() for place in places),
            default=0,
        )
        if highest <= self._highest:
            return
        self._highest = highest
        if (
            self._entries
            and now // RESOLUTION_S == self._entries[-1][0] // RESOLUTION_S
        ):
            self._entries.pop()
        self._entries.append((now, highest))

    def recorded_by(self, number: int) -> float:
        """Return a time by which a run had been recorded, infinity if unknown."""
        return next(
            (at for at, highest in self._entries if highest >= number), math.inf
        )
