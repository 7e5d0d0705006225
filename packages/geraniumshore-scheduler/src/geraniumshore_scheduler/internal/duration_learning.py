"""Which runs an owner learns durations from, and when it records them."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping

from geraniumshore_scheduler.internal.durations import (
    DurationKey,
    LearnedDuration,
    LearnedDurations,
)
from geraniumshore_scheduler.internal.durations_record import encode_durations
from geraniumshore_scheduler.internal.orders import Decision
from geraniumshore_scheduler.internal.records import MAX_LEARNED_BYTES
from geraniumshore_scheduler.internal.runs import FULL_PACE, Run

__all__ = ["DurationLearning"]

MS_PER_S = 1000.0
# Shortest interval between two records.
RECORD_INTERVAL_S = 5.0
# The largest corrections are named in a log line; the others are only counted.
LOGGED_CORRECTIONS = 6


class DurationLearning:
    """Passes the durations of comparable runs on, and records them for successors.

    A record has at most ``max_record_bytes``.
    """

    def __init__(self) -> None:
        self.durations = LearnedDurations()
        self.max_record_bytes = MAX_LEARNED_BYTES
        # Completed runs, by whether their duration was used.
        self._runs_by_use: Counter[str] = Counter()
        self._recorded_at = -math.inf
        self._recorded_revision = self.durations.revision

    def restore(self, entries: Iterable[LearnedDuration], now: float) -> None:
        """Start from what a former owner recorded."""
        self.durations.restore(entries, now)
        self._recorded_revision = self.durations.revision

    def on_done(self, queue: str | None, run: Run, now: float) -> None:
        """Process a run that was listed as done; ``queue`` is None if unknown."""
        used = False
        if queue is not None and run.confirmed_at is not None and _is_comparable(run):
            measured_s = now - run.confirmed_at
            used = self.durations.observe(
                queue, run.task.step, run.step, measured_s, now
            )
        self._runs_by_use["used" if used else "left out"] += 1

    def estimate_s(self, queue: str | None, run: Run) -> float:
        """Return the estimated duration of a run; the declared one if unknown."""
        if queue is None:
            return run.step.estimate_ms / MS_PER_S
        return self.durations.estimate_s(queue, run.task.step, run.step)

    def take_counts(self) -> Mapping[str, int]:
        """Return and clear how many completed runs were used and left out."""
        counts, self._runs_by_use = self._runs_by_use, Counter()
        return counts

    def take_record(self, now: float) -> bytes | None:
        """Return a record for the log if what was learned has changed noticeably."""
        self.durations.refresh(now)
        if (
            self.durations.revision == self._recorded_revision
            or now < self._recorded_at + RECORD_INTERVAL_S
        ):
            return None
        self._recorded_at = now
        self._recorded_revision = self.durations.revision
        return encode_durations(self.durations.to_record(now), self.max_record_bytes)

    def decision(self) -> Decision:
        """Return what was learned, for a log line."""
        correction_by_key = self.durations.correction_by_key
        ranked = sorted(
            correction_by_key.items(),
            key=lambda item: abs(math.log(item[1])),
            reverse=True,
        )
        details: dict[str, object] = {
            "entries": len(self.durations),
            "corrected": len(correction_by_key),
            "largest": {
                _name(key): round(factor, 2)
                for key, factor in ranked[:LOGGED_CORRECTIONS]
            },
        }
        return Decision("durations learned", "", details=details)


def _is_comparable(run: Run) -> bool:
    """Return whether a run's time from start to end shows how long its task takes.

    The start of a run that a former owner recorded, or whose start was not answered, is
    not known. A pace order that got no answer may still have slowed the run.
    """
    never_paced = (
        run.pace == FULL_PACE
        and run.paced_at == -math.inf
        and run.pace_doubtful_until is None
    )
    return (
        never_paced
        and run.foreign_until is None
        and run.unanswered_at is None
        and not run.resumed
        and not run.stop_wanted
    )


def _name(key: DurationKey) -> str:
    return f"image {key.image}" if key.image else f"{key.queue} step {key.step}"
