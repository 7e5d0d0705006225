"""How long a call may stay without a byte before it is abandoned."""

from __future__ import annotations

__all__ = ["GROWING_ANSWER_TIMEOUT_S", "IdleTimeout"]

# The upper bound on a call whose answer grows. The largest one, 1 MB of values in
# base64, takes 6 s over the slowest link of 2 Mbit/s, and 25 s if four of them share
# it. A peer that sends a few bytes at a time holds a thread no longer than this.
GROWING_ANSWER_TIMEOUT_S = 60.0


class IdleTimeout:
    """The time without a byte after which a call fails, doubled after each failure.

    All nodes share the store's read bandwidth, so after a power loss its first byte may
    be late. Repeating the call after the same short time would only add to that.
    """

    def __init__(self, initial_s: float, max_s: float) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self.seconds = initial_s

    def on_answered(self) -> None:
        """Return to the initial time."""
        self.seconds = self._initial_s

    def on_unanswered(self) -> None:
        """Allow twice the time."""
        self.seconds = min(self._max_s, self.seconds * 2)
