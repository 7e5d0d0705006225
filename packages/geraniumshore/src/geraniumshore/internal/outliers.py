"""Outlier ejection: which minions fail more than their work explains.

A failure is blamed on the minion at first. Where the same piece of work fails on a
second minion too, the work is taken to be bad and both minions are cleared of it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ["OutlierDetector", "ejected_minions"]

RESULTS_KEPT = 20
FAILURES_IN_A_ROW = 3
FAILURES_OF_MANY = 8
WORK_KEPT = 1_000
# An outlier fails at more than so many times the rate of the others together.
TIMES_THE_OTHERS = 2
MINIONS_FOR_BAD_WORK = 2
AVOID_SECONDS = 0.3
FIRST_EJECTION_SECONDS = 1.0
LONGEST_EJECTION_SECONDS = 30.0
# So many good results after re-entry end the time in which one failure ejects again.
PROBATION_RESULTS = 5
# No more than this part of a service's minions is ejected, rounded down.
MAX_EJECTED_FRACTION = 0.5


@dataclass(slots=True)
class _Result:
    work: str
    good: bool


@dataclass(slots=True)
class _MinionRecord:
    results: deque[_Result] = field(default_factory=lambda: deque(maxlen=RESULTS_KEPT))
    ejections: int = 0
    ejected_until: float | None = None
    probation: int = 0
    avoided_until: float = float("-inf")

    @property
    def failures(self) -> int:
        return sum(not result.good for result in self.results)

    def is_ejected(self, now: float) -> bool:
        return self.ejected_until is not None and now < self.ejected_until

    def re_enter(self) -> None:
        """Begin anew once an ejection has ended."""
        self.ejected_until = None
        self.results.clear()

    def eject(self, now: float) -> None:
        seconds = FIRST_EJECTION_SECONDS * 2**self.ejections
        self.ejected_until = now + min(seconds, LONGEST_EJECTION_SECONDS)
        self.ejections += 1
        self.probation = PROBATION_RESULTS

    def take_back_ejection(self) -> None:
        self.ejected_until = None
        self.ejections -= 1
        self.probation = PROBATION_RESULTS if self.ejections else 0

    def on_success(self) -> None:
        if self.probation > 0:
            self.probation -= 1
            if self.probation == 0:
                self.ejections = 0

    def fails_often(self) -> bool:
        latest = list(self.results)[-FAILURES_IN_A_ROW:]
        in_a_row = len(latest) == FAILURES_IN_A_ROW and not any(r.good for r in latest)
        return in_a_row or self.failures >= FAILURES_OF_MANY


@dataclass(slots=True)
class OutlierDetector:
    """What one entry host has seen of one service's minions."""

    by_minion: dict[str, _MinionRecord] = field(default_factory=dict)
    failed_on_by_work: dict[str, set[str]] = field(default_factory=dict)

    def on_result(self, minion: str, work: str, good: bool, now: float) -> None:
        """Take in what an attempt at ``work`` gave."""
        record = self.by_minion.setdefault(minion, _MinionRecord())
        if record.ejected_until is not None and not record.is_ejected(now):
            record.re_enter()
        if not good and self._is_bad_work(minion, work):
            return
        record.results.append(_Result(work, good))
        if good:
            record.on_success()
        elif record.ejected_until is None and self._is_outlier(minion):
            record.eject(now)

    def suspects(self, now: float) -> frozenset[str]:
        """Return the minions that should get no work now."""
        return frozenset(
            minion
            for minion, record in self.by_minion.items()
            if record.is_ejected(now) or now < record.avoided_until
        )

    def avoid(self, minion: str, now: float) -> None:
        """Keep off a minion for a moment, so that a retry goes to another one."""
        record = self.by_minion.setdefault(minion, _MinionRecord())
        record.avoided_until = now + AVOID_SECONDS

    def keep_only(self, minions: Iterable[str]) -> None:
        """Forget the minions that are in the configuration no longer."""
        for minion in set(self.by_minion) - set(minions):
            del self.by_minion[minion]

    def _is_outlier(self, minion: str) -> bool:
        """Tell whether a minion fails often, and far more often than the others."""
        record = self.by_minion[minion]
        if not (record.probation > 0 or record.fails_often()):
            return False
        others = [r for name, r in self.by_minion.items() if name != minion]
        seen_by_others = sum(len(r.results) for r in others)
        failed_on_others = sum(r.failures for r in others)
        rate = record.failures / len(record.results)
        return rate * seen_by_others > TIMES_THE_OTHERS * failed_on_others or (
            not seen_by_others
        )

    def _is_bad_work(self, minion: str, work: str) -> bool:
        """Remember a failure; tell whether it is the work's own."""
        failed_on = self.failed_on_by_work.setdefault(work, set())
        failed_on.add(minion)
        if len(self.failed_on_by_work) > WORK_KEPT:
            del self.failed_on_by_work[next(iter(self.failed_on_by_work))]
        if len(failed_on) < MINIONS_FOR_BAD_WORK:
            return False
        for other in failed_on & set(self.by_minion):
            self._clear(self.by_minion[other], work)
        return True

    @staticmethod
    def _clear(record: _MinionRecord, work: str) -> None:
        """Take back what bad work was blamed on a minion for."""
        kept = [result for result in record.results if result.work != work]
        if len(kept) == len(record.results):
            return
        record.results = deque(kept, maxlen=RESULTS_KEPT)
        if record.ejected_until is not None and not record.fails_often():
            record.take_back_ejection()


def ejected_minions(
    minions: Iterable[str], suspects_by_holder: Mapping[str, Iterable[str]]
) -> frozenset[str]:
    """Return the minions to give no slots of: those that most holders suspect first.

    Never more than ``MAX_EJECTED_FRACTION`` of ``minions``, so that a fault of the
    whole service, or of the work, does not take the service away.
    """
    known = set(minions)
    accusers = {
        minion: sum(minion in suspects for suspects in suspects_by_holder.values())
        for minion in known
    }
    accused = sorted(
        (minion for minion in known if accusers[minion]),
        key=lambda minion: (-accusers[minion], minion),
    )
    return frozenset(accused[: int(len(known) * MAX_EJECTED_FRACTION)])
