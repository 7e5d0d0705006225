"""Pauses between the starts of a task that keeps ending, or being refused, at once.

A pause ends with the next restart round of the task's team. So each task starts at most
once a round, and all that a team's tasks in a crash loop start shares a record.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

__all__ = [
    "FIRST_REFUSAL_PAUSE_S",
    "MAX_REFUSAL_PAUSE_S",
    "MAX_RESTART_PAUSE_S",
    "RESTARTS_PER_ROUND",
    "RESTART_ROUND_S",
    "SETTLED_RUN_S",
    "TASK_ENDS",
    "RestartBackoff",
]

# Ends that a task causes itself. All others come from the system or the minion.
TASK_ENDS = ("done", "failed")
# A run that lasted this long was at work: its end is none of those that cause a pause.
SETTLED_RUN_S = 2.0
# The interval between rounds after the second short run in a row; it doubles with each
# further one up to the longest.
RESTART_ROUND_S = 0.25
MAX_RESTART_PAUSE_S = 2.0
# So many tasks of a step restart together; those of a larger one take turns.
RESTARTS_PER_ROUND = 32
# The delay after a start was refused. After further refusals in a row the task waits
# for rounds, whose interval doubles up to the longest.
FIRST_REFUSAL_PAUSE_S = 0.2
MAX_REFUSAL_PAUSE_S = 1.0


@dataclass(slots=True)
class RestartBackoff:
    """The short runs and refused starts of one task in a row, and its pause.

    ``ends`` counts the short runs by how they ended, up to that of ``last_run``. The
    task does not start before ``retry_at``.
    """

    ends: Counter[str] = field(default_factory=Counter)
    last_run: int = 0
    refusals: int = 0
    retry_at: float = 0.0

    @property
    def growing(self) -> bool:
        """Whether the next short run makes the pause longer."""
        return self.ends.total() > 1

    @property
    def cause(self) -> str:
        """The ends that led to the pause, for the log."""
        return ", ".join(f"{count} {how}" for how, count in self.ends.items())

    def on_short_run(self, how: str, run: int, now: float, phase_s: float) -> None:
        """Count a run that the task ended soon after its start; pause from the second.

        The members of a gang share the number of their run, which counts once. Rounds
        begin ``phase_s`` after multiples of their interval.
        """
        if run <= self.last_run:
            return
        self.last_run = run
        self.ends[how] += 1
        self.refusals = 0
        if self.growing:
            interval_s = _doubled(self.ends.total() - 2, MAX_RESTART_PAUSE_S)
            self.retry_at = _next_round(now, interval_s, phase_s)

    def on_refusal(self, now: float, phase_s: float) -> None:
        """Count a refused start and pause."""
        self.refusals += 1
        self.retry_at = now + FIRST_REFUSAL_PAUSE_S
        if self.refusals > 1:
            interval_s = _doubled(self.refusals - 1, MAX_REFUSAL_PAUSE_S)
            self.retry_at = max(self.retry_at, _next_round(now, interval_s, phase_s))

    def on_started(self) -> None:
        """Forget refused starts, as one was accepted."""
        self.refusals = 0

    def end_pause(self) -> None:
        """Let the task start at once; the next pause is as long as before."""
        self.retry_at = 0.0


def _doubled(times: int, longest_s: float) -> float:
    """Return the interval between rounds after so many doublings."""
    most = round(math.log2(longest_s / RESTART_ROUND_S))
    return RESTART_ROUND_S * 2.0 ** min(times, most)


def _next_round(now: float, interval_s: float, phase_s: float) -> float:
    rounds = math.floor((now - phase_s) / interval_s) + 1
    return phase_s + rounds * interval_s
