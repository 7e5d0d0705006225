"""Tells from the latest appends whether the store is too slow for single appends.

A partition of the store carries out one append after the other. When each takes a
tenth of a second or more, a few dozen nodes that append single jobs fill its queue, and
it refuses what would wait for over 2 s. The same jobs fit into a few large appends.
"""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["AppendLatency"]

# An append usually takes 10 to 20 ms. Relaying a call to another node takes less than
# what is above that.
SLOW_APPEND_S = 0.1
# Weight of the newest observation. Two slow appends in a row show a slow store, a
# single late answer does not.
EWMA_WEIGHT = 0.4
# Without newer appends the store counts as slow for this long; then a caller's append
# shows whether it still is.
OBSERVATION_VALID_S = 3.0


class AppendLatency:
    """The moving average of the time that appends take, as callers see it."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._average_s = 0.0
        self._observed_at = float("-inf")

    def observe(self, took_s: float) -> None:
        """Record how long an append took, here or at the node that it was relayed to.

        An observation that follows a long pause counts alone.
        """
        fresh = self._now() < self._observed_at + OBSERVATION_VALID_S
        weight = EWMA_WEIGHT if fresh else 1.0
        self._average_s += weight * (took_s - self._average_s)
        self._observed_at = self._now()

    @property
    def expected_s(self) -> float:
        """How long an append that begins now takes, 0 if that is not known."""
        if self._now() >= self._observed_at + OBSERVATION_VALID_S:
            return 0.0
        return self._average_s

    @property
    def slow(self) -> bool:
        """Whether jobs should share appends with those of other nodes."""
        return self.expected_s >= SLOW_APPEND_S
