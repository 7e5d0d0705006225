"""Reads the control log and appends records to it."""

from __future__ import annotations

import logging
import queue
import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future
from dataclasses import dataclass

from result import Err

from geraniumshore import (
    ControlLog,
    Evict,
    Join,
    LogEntry,
    LogRead,
    PlatformUnavailableError,
    RawEntry,
    Record,
    SnapshotPart,
    UnknownOutcomeError,
    Verdict,
    decode_records,
    encode_records,
)
from geraniumshored.internal.runtime import Runtime

__all__ = ["LogAppender", "LogFollower"]

logger = logging.getLogger(__name__)

LONG_POLL_SECONDS = 0.8
RETRY_SECONDS = 0.2
# How long an append waits for further records, to reduce the number of appends.
BATCH_WINDOW_SECONDS = 0.005
MAX_RECORDS_PER_APPEND = 200
# Snapshot parts have about this size. A larger part ends its batch, so that an append
# holds at most one of them.
LARGE_SNAPSHOT_PART_CHARACTERS = 32 * 1024
# A record whose append does not succeed is abandoned after this time.
APPEND_TIMEOUT_SECONDS = 10.0
# Shorter for a change of the view, which is proposed again if it is still needed: a
# member that was unresponsive before an outage of the log must not be evicted for that
# after the outage.
VIEW_CHANGE_TIMEOUT_SECONDS = 2.0


class LogFollower(threading.Thread):
    """Thread that reads the log by long polling and folds its entries."""

    def __init__(self, log: ControlLog, runtime: Runtime) -> None:
        super().__init__(name="log-follower", daemon=True)
        self._log = log
        self._runtime = runtime
        self._stop_requested = threading.Event()

    def run(self) -> None:
        """Follow until stopped."""
        # The first read, and the first one after a failure, returns without waiting.
        wait_seconds = 0.0
        while not self._stop_requested.is_set():
            requested_offset = self._runtime.member.next_offset()
            sent_at = time.monotonic()
            try:
                read = self._log.read(requested_offset, wait_seconds)
            except PlatformUnavailableError:
                self._runtime.metrics.log_reads.labels("failed").inc()
                self._stop_requested.wait(RETRY_SECONDS)
                wait_seconds = 0.0
                continue
            wait_seconds = LONG_POLL_SECONDS
            self._runtime.metrics.log_reads.labels("answered").inc()
            self._fold(requested_offset, read, sent_at)

    def stop(self) -> None:
        """Ask the thread to end after its current read."""
        self._stop_requested.set()

    def _fold(self, requested_offset: int, read: LogRead, sent_at: float) -> None:
        entries = list(decode_entries(read.entries))
        self._runtime.on_read(requested_offset, read, entries, sent_at)


def decode_entries(raw_entries: tuple[RawEntry, ...]) -> Iterator[LogEntry]:
    """Yield decoded entries; one that cannot be decoded has no records."""
    for raw in raw_entries:
        decoded = decode_records(raw.document, f"offset {raw.offset}")
        if isinstance(decoded, Err):
            logger.warning(
                "log entry cannot be decoded",
                extra={"findings": [str(f) for f in decoded.err_value]},
            )
            yield LogEntry(raw.offset, raw.appended_at_ms, ())
        else:
            yield LogEntry(raw.offset, raw.appended_at_ms, decoded.ok_value)


def _is_large(record: Record) -> bool:
    return (
        isinstance(record, SnapshotPart)
        and len(record.document) > LARGE_SNAPSHOT_PART_CHARACTERS
    )


@dataclass(frozen=True, slots=True)
class _Pending:
    record: Record
    give_up_at: float
    verdict: Future[Verdict]


class LogAppender(threading.Thread):
    """Thread that appends records in batches, one append at a time.

    If a reply is lost, the batch is appended again; the fold voids the duplicate
    records by their ids.
    """

    def __init__(self, log: ControlLog, runtime: Runtime) -> None:
        super().__init__(name="log-appender", daemon=True)
        self._log = log
        self._runtime = runtime
        self._queue: queue.SimpleQueue[_Pending | None] = queue.SimpleQueue()

    def submit(self, record: Record) -> Future[Verdict]:
        """Append a record whose verdict is only counted."""
        return self._enqueue(record, Future())

    def append(self, record: Record) -> Future[Verdict]:
        """Append a record; the future returns its verdict once it is folded here.

        The future raises UnknownOutcomeError if the append was abandoned.
        """
        return self._enqueue(record, self._runtime.await_verdict(record))

    def stop(self) -> None:
        """Ask the thread to end after the queued records."""
        self._queue.put(None)

    def run(self) -> None:
        """Append until stopped."""
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            self._append(batch)

    def _enqueue(self, record: Record, verdict: Future[Verdict]) -> Future[Verdict]:
        view_change = isinstance(record, Evict | Join)
        timeout_seconds = (
            VIEW_CHANGE_TIMEOUT_SECONDS if view_change else APPEND_TIMEOUT_SECONDS
        )
        give_up_at = time.monotonic() + timeout_seconds
        self._queue.put(_Pending(record, give_up_at, verdict))
        return verdict

    def _next_batch(self) -> list[_Pending] | None:
        first = self._queue.get()
        if first is None:
            return None
        batch = [first]
        if _is_large(first.record):
            return batch
        deadline = time.monotonic() + BATCH_WINDOW_SECONDS
        while len(batch) < MAX_RECORDS_PER_APPEND:
            try:
                pending = self._queue.get(timeout=max(0, deadline - time.monotonic()))
            except queue.Empty:
                break
            if pending is None:
                self._queue.put(None)
                break
            batch.append(pending)
            if _is_large(pending.record):
                break
        return batch

    def _append(self, batch: list[_Pending]) -> None:
        while batch:
            document = encode_records(tuple(pending.record for pending in batch))
            try:
                self._log.append(document)
                self._runtime.metrics.log_appends.labels("acknowledged").inc()
                return
            except (PlatformUnavailableError, UnknownOutcomeError):
                self._runtime.metrics.log_appends.labels("failed").inc()
                time.sleep(RETRY_SECONDS)
                batch = self._drop_expired(batch)

    def _drop_expired(self, batch: list[_Pending]) -> list[_Pending]:
        now = time.monotonic()
        wanted = []
        for pending in batch:
            if pending.verdict.done():
                continue
            if pending.give_up_at > now:
                wanted.append(pending)
                continue
            self._runtime.forget_verdict(pending.record)
            pending.verdict.set_exception(
                UnknownOutcomeError(f"record {pending.record.id} was not acknowledged")
            )
        return wanted
