"""Tells from the latest appends whether the store is too slow for single appends.

A partition of the store carries out one append after the other. When each takes a
tenth of a second or more, a few dozen nodes that append single jobs fill its queue, and
it refuses what would wait for over 2 s. The same jobs fit into a few large appends.
"""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["SLOW_APPEND_S", "AppendLatency"]

# An append usually takes 10 to 20 ms. Relaying a call to another node takes less than
# what is above that.
SLOW_APPEND_S = 0.1
# Weight of the newest observation. Two slow appends in a row show a slow store, a
# single late answer does not.
EWMA_WEIGHT = 0.4
# What a refused append counts as: the store refuses when 2 s of appends wait.
REFUSED_APPEND_S = 2.0
# Without newer appends the store counts as slow for this long; then a caller's append
# shows whether it still is.
OBSERVATION_VALID_S = 3.0


class AppendLatency:
    """The moving average of the time that appends take, as callers see it."""

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._average_s = 0.0
        self._observed_at = float("-inf")
        # When the appends that are under way began, the oldest first.
        self._open_since: list[float] = []

    def begin(self) -> float:
        """Record that an append begins; return the value to end it with."""
        began = self._now()
        self._open_since.append(began)
        return began

    def end(self, began: float, refused: bool) -> None:
        """Record that an append has ended.

        The store refuses at once what would wait for too long in its queue.
        """
        self._open_since.remove(began)
        took_s = self._now() - began
        self.observe(max(took_s, REFUSED_APPEND_S) if refused else took_s)

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
        """How long an append that begins now takes at least, 0 if that is not known."""
        now = self._now()
        fresh = now < self._observed_at + OBSERVATION_VALID_S
        open_for_s = max((now - began for began in self._open_since), default=0.0)
        return max(self._average_s if fresh else 0.0, open_for_s)

    @property
    def slow(self) -> bool:
        """Whether jobs should share appends with those of other nodes."""
        return self.expected_s >= SLOW_APPEND_S
