"""Appends what callers ask about jobs, and says at once where that is impossible."""

from __future__ import annotations

import queue
import threading
import time
from concurrent.futures import Future, TimeoutError as FutureTimeoutError
from dataclasses import dataclass

from geraniumshore import (
    ControlLog,
    PlatformUnavailableError,
    Record,
    UnknownOutcomeError,
    Verdict,
    encode_records,
)
from geraniumshored.internal.runtime import Runtime

__all__ = ["JobAppender"]

# All members together stay below this many appends of callers' records a second.
APPENDS_PER_SECOND = 60
# After a failed append, records are refused without a try for this time.
PAUSE_SECONDS = 0.5
# Records behind an append that takes longer than this are refused.
SLOW_SECONDS = 1.0
MAX_CHARACTERS_PER_APPEND = 512 * 1024
# Where the log did not answer, the fold is given that long to show the record.
READ_BACK_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class _Pending:
    record: Record
    verdict: Future[Verdict]
    acknowledged: Future[None]


class JobAppender(threading.Thread):
    """Appends records in batches, each batch once.

    A caller must hear soon whether its job is accepted, so nothing is tried again:
    what was refused by the log was certainly not accepted.
    """

    def __init__(self, log: ControlLog, runtime: Runtime) -> None:
        super().__init__(name="job-appender", daemon=True)
        self._log = log
        self._runtime = runtime
        self._queue: queue.SimpleQueue[_Pending | None] = queue.SimpleQueue()
        self._failed_at = float("-inf")
        self._busy_since: float | None = None

    def append(self, record: Record) -> Verdict:
        """Append a record and return its verdict once it is folded here.

        Raises PlatformUnavailableError where it was certainly not appended, and
        UnknownOutcomeError where it may have been.
        """
        if not self._available():
            raise PlatformUnavailableError("the log has failed just now")
        pending = _Pending(record, self._runtime.await_verdict(record), Future())
        self._queue.put(pending)
        try:
            pending.acknowledged.result()
            return pending.verdict.result(READ_BACK_SECONDS)
        except FutureTimeoutError as error:
            raise UnknownOutcomeError(f"record {record.id} was not folded") from error
        except PlatformUnavailableError:
            self._runtime.forget_verdict(record)
            raise

    def stop(self) -> None:
        """Ask the thread to end after what is queued."""
        self._queue.put(None)

    def run(self) -> None:
        """Append until stopped."""
        while (batch := self._gather()) is not None:
            began = time.monotonic()
            self._append(batch)
            members = max(1, len(self._runtime.member.state.view.members))
            due = began + members / APPENDS_PER_SECOND
            time.sleep(max(0.0, due - time.monotonic()))

    def _available(self) -> bool:
        """Tell whether an append may be tried, by what the last ones gave."""
        now = time.monotonic()
        busy_since = self._busy_since
        if busy_since is not None and now - busy_since > SLOW_SECONDS:
            return False
        return now - self._failed_at >= PAUSE_SECONDS

    def _gather(self) -> list[_Pending] | None:
        """Wait for one record, and take what has gathered behind it."""
        first = self._queue.get()
        if first is None:
            return None
        batch = [first]
        size = _size(first)
        while size < MAX_CHARACTERS_PER_APPEND and not self._queue.empty():
            pending = self._queue.get()
            if pending is None:
                self._queue.put(None)
                break
            batch.append(pending)
            size += _size(pending)
        return batch

    def _append(self, batch: list[_Pending]) -> None:
        document = encode_records(tuple(pending.record for pending in batch))
        counter = self._runtime.metrics.log_appends
        self._busy_since = time.monotonic()
        try:
            self._log.append(document)
        except PlatformUnavailableError as error:
            self._failed_at = time.monotonic()
            counter.labels("failed").inc()
            for pending in batch:
                pending.acknowledged.set_exception(error)
            return
        except UnknownOutcomeError:
            self._failed_at = time.monotonic()
            counter.labels("failed").inc()
        else:
            counter.labels("acknowledged").inc()
        finally:
            self._busy_since = None
        for pending in batch:
            pending.acknowledged.set_result(None)


def _size(pending: _Pending) -> int:
    return len(encode_records((pending.record,)))
