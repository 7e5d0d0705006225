"""Collects evidence of interference from minions' reports and completed runs."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from geraniumshore_scheduler.errors import InvalidInputError
from geraniumshore_scheduler.internal.interference import (
    MAX_RECORD_BYTES,
    NO_LOSSES,
    InterferenceEstimator,
    PairChange,
)
from geraniumshore_scheduler.internal.minion_view import MinionView
from geraniumshore_scheduler.internal.runs import FULL_PACE, Run

__all__ = ["InterferenceMonitor"]

# A report's figure covers this time before it.
REPORT_WINDOW_S = 0.5
# A pace is in effect this long after its order, and in the figure after the window.
PACE_EFFECT_S = 0.1
# Reports of one task within seconds show the same load of it, so each counts less than
# a completed run.
REPORT_WEIGHT = 0.25
RUN_WEIGHT = 1.0
# Runs that ended on a minion and may still have been beside one that completes later.
MAX_ENDED_RUNS = 32
# The longest that the end of a run is kept for runs that it was beside.
ENDED_RETENTION_S = 60.0
FORGET_INTERVAL_S = 5.0
# The time between two records. Every node reads each of them, so one that only has more
# evidence for the same effects waits for half of the evidence's half-life.
CHANGE_RECORD_INTERVAL_S = 5.0
RECORD_INTERVAL_S = 30.0


@dataclass(frozen=True, slots=True)
class _EndedRun:
    """A run of an image that has ended on a minion, with its pace as a share."""

    image: str
    began_at: float
    ended_at: float
    pace: float


class InterferenceMonitor:
    """The estimate of an owner and the runs from which it learns.

    It does nothing until a job names an image. A record has at most
    ``max_record_bytes``.
    """

    def __init__(self) -> None:
        self.estimator = InterferenceEstimator()
        self.enabled = False
        self.max_record_bytes = MAX_RECORD_BYTES
        self._ended_by_minion: dict[str, deque[_EndedRun]] = {}
        self._sampled_at_by_run: dict[int, float] = {}
        self._recorded_at = float("-inf")
        self._effects_changed = False
        self._forgot_at = float("-inf")

    def restore(self, value: bytes, now: float) -> str | None:
        """Load a former owner's record; return why it was ignored, None if not."""
        try:
            self.estimator = InterferenceEstimator.from_record(value, now)
        except InvalidInputError as error:
            return str(error)
        return None

    def on_report(self, view: MinionView, now: float) -> None:
        """Add the tail latencies that a minion has just reported."""
        if not self.enabled:
            return
        for run in view.runs.values():
            step = run.step
            if not (step.image and step.tail_target_ms) or step.filler:
                continue
            if not run.at_work or run.measured <= 0 or run.stop_wanted:
                continue
            sampled_at = self._sampled_at_by_run.get(run.number, float("-inf"))
            if now < sampled_at + REPORT_WINDOW_S or _pace_just_changed(view, now):
                continue
            self._sampled_at_by_run[run.number] = now
            self.estimator.observe(
                step.image,
                run.measured / step.tail_target_ms,
                self._exposures(view, run, now - REPORT_WINDOW_S, now),
                REPORT_WEIGHT,
                now,
            )

    def on_completed(self, view: MinionView, run: Run, how: str, now: float) -> None:
        """Add the run time of a run that completed on a minion."""
        if not (self.enabled and run.step.image):
            return
        began_at = run.confirmed_at
        # A former owner's run began at an unknown time.
        if began_at is None or run.foreign_until is not None:
            return
        step = run.step
        # A gang waits for its slowest member, and a run that resumes is shorter.
        measurable = not (step.lasting or step.gang or step.checkpointing)
        if how == "done" and measurable and not step.tail_target_ms and now > began_at:
            exposure_by_image = self._exposures(view, run, began_at, now)
            self.estimator.observe_run_time(
                step.image, now - began_at, exposure_by_image, RUN_WEIGHT, now
            )
        ended = self._ended_by_minion.setdefault(
            view.minion_id, deque(maxlen=MAX_ENDED_RUNS)
        )
        ended.append(_EndedRun(step.image, began_at, now, _pace(run)))

    def solve(self, now: float) -> list[PairChange]:
        """Update the estimate; return the effects that became certain or ceased."""
        if not self.enabled:
            return []
        if now >= self._forgot_at + FORGET_INTERVAL_S:
            self._forgot_at = now
            self._forget_old(now)
        changes = self.estimator.solve(now)
        self._effects_changed |= bool(changes)
        return changes

    def record_due(self, now: float) -> bytes | None:
        """Return the record for the next owner if it is time to write it."""
        interval_s = (
            CHANGE_RECORD_INTERVAL_S if self._effects_changed else RECORD_INTERVAL_S
        )
        if not self.estimator.changed or now < self._recorded_at + interval_s:
            return None
        self._recorded_at = now
        self._effects_changed = False
        return self.estimator.to_record(now, self.max_record_bytes)

    @property
    def has_detected(self) -> bool:
        """Whether any effect is certain, while jobs name images."""
        return self.enabled and self.estimator.has_detected

    def losses(self, image: str) -> Mapping[str, float]:
        """Return the losses of a task of ``image`` beside one of each other image."""
        return self.estimator.losses(image) if self.enabled and image else NO_LOSSES

    def _exposures(
        self, view: MinionView, measured: Run, since: float, now: float
    ) -> dict[str, float]:
        """Return how much of the time tasks of each image were beside a run."""
        exposure_by_image: dict[str, float] = {}
        for image, began_at, ended_at, pace in self._neighbours(view, measured, now):
            overlap = min(ended_at, now) - max(began_at, since)
            if overlap > 0 and pace > 0:
                exposure = pace * overlap / (now - since)
                exposure_by_image[image] = exposure_by_image.get(image, 0.0) + exposure
        return exposure_by_image

    def _neighbours(
        self, view: MinionView, measured: Run, now: float
    ) -> Iterator[tuple[str, float, float, float]]:
        """Yield image, start, end and pace of the runs beside a run until now."""
        for run in view.runs.values():
            if run is measured or not run.step.image:
                continue
            if run.confirmed_at is not None:
                yield run.step.image, run.confirmed_at, now, _pace(run)
        for ended in self._ended_by_minion.get(view.minion_id, ()):
            yield ended.image, ended.began_at, ended.ended_at, ended.pace

    def _forget_old(self, now: float) -> None:
        """Drop what can no longer be beside a run that is measured."""
        kept_after = now - ENDED_RETENTION_S
        self._ended_by_minion = {
            minion_id: ended
            for minion_id, ended in self._ended_by_minion.items()
            if ended[-1].ended_at > kept_after
        }
        self._sampled_at_by_run = {
            number: at
            for number, at in self._sampled_at_by_run.items()
            if at > now - REPORT_WINDOW_S
        }


def _pace(run: Run) -> float:
    """Return a run's pace as a share, for an unknown one whether it works at all."""
    if run.pace is None:
        return 0.0 if run.step.filler and not run.measured else 1.0
    return run.pace / FULL_PACE


def _pace_just_changed(view: MinionView, now: float) -> bool:
    """Return whether a figure covers times of different paces."""
    after = now - REPORT_WINDOW_S - PACE_EFFECT_S
    return any(run.paced_at > after for run in view.runs.values())
