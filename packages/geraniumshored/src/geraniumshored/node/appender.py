"""Group commit: records from many callers share one append to the store."""

from __future__ import annotations

import enum
import logging
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, TimeoutError as FutureTimeout
from dataclasses import dataclass, field
from itertools import accumulate

from geraniumshore_scheduler import PlatformUnavailableError, UnknownOutcomeError
from geraniumshored.node.append_latency import AppendLatency
from geraniumshored.node.logs import log_event
from geraniumshored.node.ports import Record, Store, Stream

__all__ = ["AppendOutcome", "Appender"]

logger = logging.getLogger(__name__)

# Delay before a refused or unanswered append is retried; a few round trips.
RETRY_S = 0.05
# Refusals in a row double the delay up to this: the store refuses appends while others
# have to wait for over 2 s, and records that wait here share the next append.
MAX_RETRY_S = 0.4
# A record that a busy store has refused for this long is given up: its caller may reach
# the store through another node, and a refusal is worth little to a caller that waited.
BUSY_RETRY_S = 0.5
MAX_BATCH_RECORDS = 200
MAX_APPEND_BYTES = 2_097_152
# Several appends may be open, so that one lost answer does not delay all callers. The
# next one starts only when the last is overdue, that is after a multiple of the recent
# latency: more open appends would only queue up in a slow store.
MAX_OPEN_APPENDS = 3
OVERDUE_FACTOR = 3.0
MIN_OVERDUE_S = 0.15
# Weight of the newest append in the moving average of append latencies.
LATENCY_EWMA_WEIGHT = 0.3


class AppendOutcome(enum.Enum):
    """Outcome of an append. UNKNOWN: the record may be in the log now or later."""

    DONE = "done"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class _PendingRecord:
    """A record that waits to be appended.

    Its caller waits until ``deadline``, and for another append after a refused one only
    until ``retry_until``.
    """

    record: Record
    deadline: float
    retry_until: float
    outcome: Future[AppendOutcome] = field(default_factory=Future)


class Appender:
    """Appends idempotent records in batches; a retry may append them twice.

    ``store_answers`` tells whether reads show that the store serves this node. While
    they do, a refused append only shows that the store is busy, so its records wait for
    the next one, as long as their callers do. Otherwise they are given up at once.
    """

    def __init__(
        self,
        store: Store,
        now: Callable[[], float],
        max_append_bytes: int = MAX_APPEND_BYTES,
        store_answers: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store_answers = store_answers
        self.latency = AppendLatency(now)
        self._store = store
        self._max_append_bytes = max_append_bytes
        self._now = now
        self._condition = threading.Condition()
        self._pending: list[_PendingRecord] = []
        self._open_since: list[float] = []
        self._average_latency_s = 0.0
        self._retry_at = float("-inf")
        self._retry_delay_s = RETRY_S
        self._threads = [
            threading.Thread(target=self._run, name=f"append-{number}", daemon=True)
            for number in range(MAX_OPEN_APPENDS)
        ]

    def start(self) -> None:
        """Start the threads that append."""
        for thread in self._threads:
            thread.start()

    def append(self, record: Record, deadline: float) -> AppendOutcome:
        """Append a record and wait for the outcome, at most until ``deadline``."""
        pending = _PendingRecord(record, deadline, self._now() + BUSY_RETRY_S)
        with self._condition:
            self._pending.append(pending)
            self._condition.notify()
        try:
            return pending.outcome.result(max(0.0, deadline - self._now()))
        except FutureTimeout:
            with self._condition:
                if pending in self._pending:
                    self._pending.remove(pending)
                    return AppendOutcome.NOT_DONE
            return AppendOutcome.UNKNOWN

    def _run(self) -> None:
        while True:
            with self._condition:
                while not self._pending or (left := self._next_append_in()) > 0:
                    self._condition.wait(left if self._pending else None)
                batch = self._next_batch()
                del self._pending[: len(batch)]
                began = self._now()
                self._open_since.append(began)
            measured_from = self.latency.begin()
            try:
                outcome = self._commit(batch)
            except Exception:
                logger.exception("fault while appending %d records", len(batch))
                outcome = AppendOutcome.UNKNOWN
            self.latency.end(measured_from, outcome is AppendOutcome.NOT_DONE)
            requeued = outcome is AppendOutcome.NOT_DONE and self._store_answers()
            with self._condition:
                self._on_outcome(outcome)
                if requeued:
                    self._requeue(batch)
                self._open_since.remove(began)
                took = self._now() - began
                self._average_latency_s += LATENCY_EWMA_WEIGHT * (
                    took - self._average_latency_s
                )
                self._condition.notify()
            if requeued:
                continue
            for pending in batch:
                pending.outcome.set_result(outcome)

    def _on_outcome(self, outcome: AppendOutcome) -> None:
        if outcome is AppendOutcome.NOT_DONE:
            self._retry_at = self._now() + self._retry_delay_s
            self._retry_delay_s = min(MAX_RETRY_S, 2 * self._retry_delay_s)
        else:
            self._retry_at = float("-inf")
            self._retry_delay_s = RETRY_S

    def _requeue(self, batch: list[_PendingRecord]) -> None:
        """Let refused records wait for the next append, before newer ones."""
        next_append_at = self._retry_at
        for pending in batch:
            if pending.retry_until <= next_append_at:
                pending.outcome.set_result(AppendOutcome.NOT_DONE)
        self._pending[:0] = [p for p in batch if p.retry_until > next_append_at]

    def _next_batch(self) -> list[_PendingRecord]:
        """Return the first pending records that the store accepts together."""
        sizes = accumulate(p.record.size for p in self._pending[:MAX_BATCH_RECORDS])
        fitting = sum(size <= self._max_append_bytes for size in sizes)
        return self._pending[: max(1, fitting)]

    def _next_append_in(self) -> float:
        """Return the time in seconds until the next append may begin.

        It waits for the open ones until the newest is overdue, and after a refusal.
        """
        retry_in_s = self._retry_at - self._now()
        if not self._open_since:
            return max(0.0, retry_in_s)
        overdue_after_s = max(MIN_OVERDUE_S, OVERDUE_FACTOR * self._average_latency_s)
        return max(retry_in_s, self._open_since[-1] + overdue_after_s - self._now())

    def _commit(self, batch: list[_PendingRecord]) -> AppendOutcome:
        """Retry until an append is answered or the last caller's deadline has passed.

        Once an attempt was unanswered, a later refusal does not prove that the records
        are not in the log: the unanswered attempt may have been carried out.
        """
        records = [pending.record for pending in batch]
        deadline = max(pending.deadline for pending in batch)
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
