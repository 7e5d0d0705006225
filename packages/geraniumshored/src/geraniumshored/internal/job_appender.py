"""Appends records of callers' job commands to the log, failing fast."""

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

# Limit on appends of callers' records per second, over all members together.
APPENDS_PER_SECOND = 60
# After a failed append, records are refused without an attempt for this time.
FAILURE_BACKOFF_SECONDS = 0.5
# While an append takes longer than this, further records are refused.
SLOW_APPEND_SECONDS = 1.0
MAX_CHARACTERS_PER_APPEND = 512 * 1024
# How long to wait for a record to be folded after its append, also when the log did
# not confirm the append.
FOLD_TIMEOUT_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class _Pending:
    record: Record
    verdict: Future[Verdict]
    acknowledged: Future[None]


class JobAppender(threading.Thread):
    """Thread that appends records in batches, each batch once.

    Failed appends are not retried, because a caller must learn quickly whether its job
    is accepted. A record that the log refused was certainly not accepted.
    """

    def __init__(self, log: ControlLog, runtime: Runtime) -> None:
        super().__init__(name="job-appender", daemon=True)
        self._log = log
        self._runtime = runtime
        self._queue: queue.SimpleQueue[_Pending | None] = queue.SimpleQueue()
        self._failed_at = float("-inf")
        self._append_started_at: float | None = None

    def append(self, record: Record) -> Verdict:
        """Append a record and return its verdict once this member has folded it.

        Raises PlatformUnavailableError if it was certainly not appended, and
        UnknownOutcomeError if it may have been.
        """
        if not self._available():
            raise PlatformUnavailableError(
                "a recent append to the log failed or is slow"
            )
        pending = _Pending(record, self._runtime.await_verdict(record), Future())
        self._queue.put(pending)
        try:
            pending.acknowledged.result()
            return pending.verdict.result(FOLD_TIMEOUT_SECONDS)
        except FutureTimeoutError as error:
            raise UnknownOutcomeError(f"record {record.id} was not folded") from error
        except PlatformUnavailableError:
            self._runtime.forget_verdict(record)
            raise

    def stop(self) -> None:
        """Ask the thread to end after the queued records."""
        self._queue.put(None)

    def run(self) -> None:
        """Append until stopped."""
        while (batch := self._next_batch()) is not None:
            began = time.monotonic()
            self._append(batch)
            members = max(1, len(self._runtime.member.state.view.members))
            due = began + members / APPENDS_PER_SECOND
            time.sleep(max(0.0, due - time.monotonic()))

    def _available(self) -> bool:
        """Return whether to attempt an append, judging by the previous ones."""
        now = time.monotonic()
        append_started_at = self._append_started_at
        if (
            append_started_at is not None
            and now - append_started_at > SLOW_APPEND_SECONDS
        ):
            return False
        return now - self._failed_at >= FAILURE_BACKOFF_SECONDS

    def _next_batch(self) -> list[_Pending] | None:
        """Wait for a record and return it with the records queued behind it."""
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
        self._append_started_at = time.monotonic()
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
            self._append_started_at = None
        for pending in batch:
            pending.acknowledged.set_result(None)


def _size(pending: _Pending) -> int:
    return len(encode_records((pending.record,)))
