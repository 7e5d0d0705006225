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

# Nine members that append at this pace stay below 200 appends a second.
APPEND_INTERVAL_SECONDS = 0.06
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

    def append(self, record: Record) -> Verdict:
        """Append a record and return its verdict once it is folded here.

        Raises PlatformUnavailableError where it was certainly not appended, and
        UnknownOutcomeError where it may have been.
        """
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
            rest = began + APPEND_INTERVAL_SECONDS - time.monotonic()
            time.sleep(max(0.0, rest))

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
        try:
            self._log.append(document)
        except PlatformUnavailableError as error:
            counter.labels("failed").inc()
            for pending in batch:
                pending.acknowledged.set_exception(error)
            return
        except UnknownOutcomeError:
            counter.labels("failed").inc()
        else:
            counter.labels("acknowledged").inc()
        for pending in batch:
            pending.acknowledged.set_result(None)


def _size(pending: _Pending) -> int:
    return len(encode_records((pending.record,)))
