"""Group commit of what callers hand in: one append at a time carries all that wait."""

from __future__ import annotations

import enum
import logging
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, TimeoutError as FutureTimeout
from dataclasses import dataclass, field

from geraniumshore_scheduler import PlatformUnavailableError, UnknownOutcomeError
from geraniumshored.node.logs import log_event
from geraniumshored.node.ports import Record, Store, Stream

__all__ = ["AppendOutcome", "Appender"]

logger = logging.getLogger(__name__)

# A refused or unanswered append is tried again after this time; a few round trips.
RETRY_S = 0.05
MOST_IN_BATCH = 200
# Several appends may be open, so that one lost answer does not hold up all callers. The
# next one is made when the last is overdue, by so many times what appends take of late:
# more of them would only queue in a slow store.
COMMITTERS = 3
OVERDUE_FACTOR = 3.0
SHORTEST_OVERDUE_S = 0.15
# The weight of the newest append in what appends take of late.
NEWEST_WEIGHT = 0.3


class AppendOutcome(enum.Enum):
    """What became of a record. UNKNOWN: it may be in the log, or come there yet."""

    DONE = "done"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _Waiting:
    record: Record
    deadline: float
    outcome: Future[AppendOutcome] = field(default_factory=Future)


class Appender:
    """Appends records that may be appended twice without harm."""

    def __init__(self, store: Store, now: Callable[[], float]) -> None:
        self._store = store
        self._now = now
        self._condition = threading.Condition()
        self._waiting: list[_Waiting] = []
        self._open_since: list[float] = []
        self._usual_s = 0.0
        self._threads = [
            threading.Thread(target=self._run, name=f"append-{number}", daemon=True)
            for number in range(COMMITTERS)
        ]

    def start(self) -> None:
        """Begin to append."""
        for thread in self._threads:
            thread.start()

    def append(self, record: Record, deadline: float) -> AppendOutcome:
        """Append a record and wait for the outcome, at most until ``deadline``."""
        waiting = _Waiting(record, deadline)
        with self._condition:
            self._waiting.append(waiting)
            self._condition.notify()
        try:
            return waiting.outcome.result(max(0.0, deadline - self._now()))
        except FutureTimeout:
            with self._condition:
                if waiting in self._waiting:
                    self._waiting.remove(waiting)
                    return AppendOutcome.NOT_DONE
            return AppendOutcome.UNKNOWN

    def _run(self) -> None:
        while True:
            with self._condition:
                while not self._waiting or (left := self._overdue_in()) > 0:
                    self._condition.wait(left if self._waiting else None)
                batch = self._waiting[:MOST_IN_BATCH]
                del self._waiting[:MOST_IN_BATCH]
                began = self._now()
                self._open_since.append(began)
            try:
                outcome = self._commit(batch)
            except Exception:
                logger.exception("fault while appending %d records", len(batch))
                outcome = AppendOutcome.UNKNOWN
            with self._condition:
                self._open_since.remove(began)
                took = self._now() - began
                self._usual_s += NEWEST_WEIGHT * (took - self._usual_s)
                self._condition.notify()
            for waiting in batch:
                waiting.outcome.set_result(outcome)

    def _overdue_in(self) -> float:
        """Return for how long the append opened last may still be waited for."""
        if not self._open_since:
            return 0.0
        patience = max(SHORTEST_OVERDUE_S, OVERDUE_FACTOR * self._usual_s)
        return self._open_since[-1] + patience - self._now()

    def _commit(self, batch: list[_Waiting]) -> AppendOutcome:
        """Append until an answer comes or no one waits any more.

        After one unanswered try a refusal of the next says nothing about the first.
        """
        records = [waiting.record for waiting in batch]
        deadline = max(waiting.deadline for waiting in batch)
        unanswered = False
        while True:
            try:
                self._store.append(Stream.ACCEPTED, records)
                return AppendOutcome.DONE
            except PlatformUnavailableError as error:
                if not unanswered:
                    log_event(logger, "append refused", cause=str(error))
                    return AppendOutcome.NOT_DONE
            except UnknownOutcomeError as error:
                unanswered = True
                log_event(logger, "append unanswered", cause=str(error))
            if self._now() + RETRY_S >= deadline:
                return AppendOutcome.UNKNOWN
            time.sleep(RETRY_S)
