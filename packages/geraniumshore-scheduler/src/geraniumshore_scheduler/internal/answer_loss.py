"""Tells whether minions that work leave many calls unanswered.

For seconds at a time, a few in a hundred calls to healthy minions may get no answer and
be carried out late. A busy minion answers some ten polls a second, so nearly each one
then loses an answer per second, and its completions stay unseen until that poll times
out. A poll that may be held back for a second times out late. With shorter polls and
time limits the same losses cost a fifth of the time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["AnswerLoss", "CallTimes"]

# Time after which an observation counts half.
HALF_LIFE_S = 2.0
# Calls are lossy if this share of them stays unanswered. Single losses are normal, such
# as those of a minion that goes down.
LOSSY_SHARE = 0.01
# The unanswered calls that it takes at least: a rack of minions that goes dark leaves
# one unanswered poll each, and is not polled in the same way afterwards.
MIN_UNANSWERED = 3.0


@dataclass(frozen=True, slots=True)
class CallTimes:
    """How long minions may hold a poll back, and how long an answer may take then.

    Minions respond within a few ms, slow ones in up to ten times as long.
    """

    poll_wait_ms: int = 1000
    answer_s: float = 0.7


USUAL_TIMES = CallTimes()
LOSSY_TIMES = CallTimes(poll_wait_ms=200, answer_s=0.25)


class AnswerLoss:
    """The recent share of calls to responsive minions that were not answered."""

    def __init__(self) -> None:
        self._answered = 0.0
        self._unanswered = 0.0
        self._observed_at = -math.inf

    def observe(self, answered: bool, now: float) -> None:
        """Record a call to a minion that had answered the call before."""
        decay = self._decay(now)
        self._answered = self._answered * decay + answered
        self._unanswered = self._unanswered * decay + (not answered)
        self._observed_at = max(now, self._observed_at)

    def is_lossy(self, now: float) -> bool:
        """Return whether many calls have been left unanswered lately."""
        if self._unanswered * self._decay(now) < MIN_UNANSWERED:
            return False
        total = self._answered + self._unanswered
        return self._unanswered >= LOSSY_SHARE * total

    def call_times(self, now: float) -> CallTimes:
        """Return the times for calls that are made now."""
        return LOSSY_TIMES if self.is_lossy(now) else USUAL_TIMES

    def _decay(self, now: float) -> float:
        return math.exp2(min(0.0, self._observed_at - now) / HALF_LIFE_S)
