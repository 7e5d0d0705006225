"""Outlier ejection: detects minions that fail more often than their work explains.

A failure is first attributed to the minion. If the same work also fails on a second
minion, it is attributed to the work instead and removed from both minions' records.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ["OutlierDetector", "ejected_minions"]

RESULT_WINDOW = 20
CONSECUTIVE_FAILURES = 3
FAILURES_IN_WINDOW = 8
MAX_FAILED_WORK_KEPT = 1_000
# An outlier fails at more than this multiple of the others' combined failure rate.
OUTLIER_RATE_FACTOR = 2
MINIONS_FOR_BAD_WORK = 2
AVOID_SECONDS = 0.3
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
# After readmission a single failure ejects again until this many results were good.
PROBATION_RESULTS = 5
# At most this fraction of a service's minions is ejected, rounded down.
MAX_EJECTED_FRACTION = 0.5


@dataclass(slots=True)
class _Result:
    work: str
    good: bool


@dataclass(slots=True)
class _MinionRecord:
    results: deque[_Result] = field(default_factory=lambda: deque(maxlen=RESULT_WINDOW))
    ejections: int = 0
    ejected_until: float | None = None
    probation: int = 0
    avoided_until: float = float("-inf")

    @property
    def failures(self) -> int:
        return sum(not result.good for result in self.results)

    def is_ejected(self, now: float) -> bool:
        return self.ejected_until is not None and now < self.ejected_until

    def readmit(self) -> None:
        """Reset the results after an ejection has ended."""
        self.ejected_until = None
        self.results.clear()

    def eject(self, now: float) -> None:
        seconds = FIRST_EJECTION_SECONDS * 2**self.ejections
        self.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        self.ejections += 1
        self.probation = PROBATION_RESULTS

    def revoke_ejection(self) -> None:
        self.ejected_until = None
        self.ejections -= 1
        self.probation = PROBATION_RESULTS if self.ejections else 0

    def on_success(self) -> None:
        if self.probation > 0:
            self.probation -= 1
            if self.probation == 0:
                self.ejections = 0

    def fails_often(self) -> bool:
        latest = list(self.results)[-CONSECUTIVE_FAILURES:]
        in_a_row = len(latest) == CONSECUTIVE_FAILURES and not any(
            r.good for r in latest
        )
        return in_a_row or self.failures >= FAILURES_IN_WINDOW


@dataclass(slots=True)
class OutlierDetector:
    """Tracks the results of one service's minions as seen by one entry host."""

    by_minion: dict[str, _MinionRecord] = field(default_factory=dict)
    failed_on_by_work: dict[str, set[str]] = field(default_factory=dict)

    def on_result(self, minion: str, work: str, good: bool, now: float) -> None:
        """Record the result of an attempt to run ``work`` on a minion."""
        record = self.by_minion.setdefault(minion, _MinionRecord())
        if record.ejected_until is not None and not record.is_ejected(now):
            record.readmit()
        if not good and self._is_bad_work(minion, work):
            return
        record.results.append(_Result(work, good))
        if good:
            record.on_success()
        elif record.ejected_until is None and self._is_outlier(minion):
            record.eject(now)

    def suspects(self, now: float) -> frozenset[str]:
        """Return the minions that should currently get no work."""
        return frozenset(
            minion
            for minion, record in self.by_minion.items()
            if record.is_ejected(now) or now < record.avoided_until
        )

    def avoid(self, minion: str, now: float) -> None:
        """Avoid a minion for ``AVOID_SECONDS``, so that a retry goes to another one."""
        record = self.by_minion.setdefault(minion, _MinionRecord())
        record.avoided_until = now + AVOID_SECONDS

    def retain_minions(self, minions: Iterable[str]) -> None:
        """Drop all minions that are not in ``minions``."""
        for minion in set(self.by_minion) - set(minions):
            del self.by_minion[minion]

    def _is_outlier(self, minion: str) -> bool:
        """Return whether a minion fails often, and far more often than the others."""
        record = self.by_minion[minion]
        if not (record.probation > 0 or record.fails_often()):
            return False
        others = [r for name, r in self.by_minion.items() if name != minion]
        results_of_others = sum(len(r.results) for r in others)
        failures_of_others = sum(r.failures for r in others)
        rate = record.failures / len(record.results)
        return rate * results_of_others > OUTLIER_RATE_FACTOR * failures_of_others or (
            not results_of_others
        )

    def _is_bad_work(self, minion: str, work: str) -> bool:
        """Record a failure; return whether it is attributed to the work."""
        failed_on = self.failed_on_by_work.setdefault(work, set())
        failed_on.add(minion)
        if len(self.failed_on_by_work) > MAX_FAILED_WORK_KEPT:
            del self.failed_on_by_work[next(iter(self.failed_on_by_work))]
        if len(failed_on) < MINIONS_FOR_BAD_WORK:
            return False
        for other in failed_on & set(self.by_minion):
            self._discard_results(self.by_minion[other], work)
        return True

    @staticmethod
    def _discard_results(record: _MinionRecord, work: str) -> None:
        """Remove the results of bad work from a minion's record."""
        kept = [result for result in record.results if result.work != work]
        if len(kept) == len(record.results):
            return
        record.results = deque(kept, maxlen=RESULT_WINDOW)
        if record.ejected_until is not None and not record.fails_often():
            record.revoke_ejection()


def ejected_minions(
    minions: Iterable[str], suspects_by_holder: Mapping[str, Iterable[str]]
) -> frozenset[str]:
    """Return the minions whose slots must not be granted.

    Minions suspected by more holders come first. At most ``MAX_EJECTED_FRACTION`` of
    ``minions`` are ejected, so that a fault of the whole service or of the work does
    not make the service unavailable.
    """
    if not suspects_by_holder:
        return frozenset()
    known = set(minions)
    suspicion_counts = {
        minion: sum(minion in suspects for suspects in suspects_by_holder.values())
        for minion in known
    }
    by_suspicion = sorted(
        (minion for minion in known if suspicion_counts[minion]),
        key=lambda minion: (-suspicion_counts[minion], minion),
    )
    return frozenset(by_suspicion[: int(len(known) * MAX_EJECTED_FRACTION)])
