"""Follows the control log and appends to it."""

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

POLL_SECONDS = 0.8
RETRY_SECONDS = 0.2
# Appends of one member wait this long for company, so that few go to the log.
GATHER_SECONDS = 0.005
MAX_RECORDS_PER_APPEND = 200
# A part of a snapshot is about this large; each goes into an append of its own.
MAX_PART_CHARACTERS = 32 * 1024
# A record whose append never succeeds is given up after this time.
APPEND_PATIENCE_SECONDS = 10.0
# A change of the view is proposed anew by then, if it is still wanted: a member that
# was silent before an outage of the log must not be evicted for it afterwards.
VIEW_PATIENCE_SECONDS = 2.0


class LogFollower(threading.Thread):
    """Reads the log by long poll and folds what it gives."""

    def __init__(self, log: ControlLog, runtime: Runtime) -> None:
        super().__init__(name="log-follower", daemon=True)
        self._log = log
        self._runtime = runtime
        self._stop_requested = threading.Event()

    def run(self) -> None:
        """Follow until stopped."""
        # The first read, and the first one after a failure, asks for an answer at once.
        wait_seconds = 0.0
        while not self._stop_requested.is_set():
            asked = self._runtime.member.next_offset()
            sent_at = time.monotonic()
            try:
                read = self._log.read(asked, wait_seconds)
            except PlatformUnavailableError:
                self._runtime.metrics.log_reads.labels("failed").inc()
                self._stop_requested.wait(RETRY_SECONDS)
                wait_seconds = 0.0
                continue
            wait_seconds = POLL_SECONDS
            self._runtime.metrics.log_reads.labels("answered").inc()
            self._take_in(asked, read, sent_at)

    def stop(self) -> None:
        """Ask the thread to end after its present read."""
        self._stop_requested.set()

    def _take_in(self, asked: int, read: LogRead, sent_at: float) -> None:
        entries = list(decode_entries(read.entries))
        self._runtime.on_read(asked, read, entries, sent_at)


def decode_entries(raw_entries: tuple[RawEntry, ...]) -> Iterator[LogEntry]:
    """Yield the entries; one that is not ours folds as an entry without records."""
    for raw in raw_entries:
        decoded = decode_records(raw.document, f"offset {raw.offset}")
        if isinstance(decoded, Err):
            logger.warning(
                "foreign log entry",
                extra={"findings": [str(f) for f in decoded.err_value]},
            )
            yield LogEntry(raw.offset, raw.appended_at_ms, ())
        else:
            yield LogEntry(raw.offset, raw.appended_at_ms, decoded.ok_value)


def _is_large(record: Record) -> bool:
    return (
        isinstance(record, SnapshotPart) and len(record.document) > MAX_PART_CHARACTERS
    )


@dataclass(frozen=True, slots=True)
class _Pending:
    record: Record
    give_up_at: float
    verdict: Future[Verdict]


class LogAppender(threading.Thread):
    """Appends records in batches, one append at a time.

    A lost reply is harmless: the batch is appended again, and the fold voids the
    record that came second, by its id.
    """

    def __init__(self, log: ControlLog, runtime: Runtime) -> None:
        super().__init__(name="log-appender", daemon=True)
        self._log = log
        self._runtime = runtime
        self._queue: queue.SimpleQueue[_Pending | None] = queue.SimpleQueue()

    def submit(self, record: Record) -> Future[Verdict]:
        """Append a record nobody waits for; its verdict is only counted."""
        return self._enqueue(record, Future())

    def append(self, record: Record) -> Future[Verdict]:
        """Append a record; the future gives its verdict once it is folded here.

        The future raises UnknownOutcomeError where the append was given up.
        """
        return self._enqueue(record, self._runtime.await_verdict(record))

    def stop(self) -> None:
        """Ask the thread to end after what is queued."""
        self._queue.put(None)

    def run(self) -> None:
        """Append until stopped."""
        while True:
            batch = self._gather()
            if batch is None:
                return
            self._append(batch)

    def _enqueue(self, record: Record, verdict: Future[Verdict]) -> Future[Verdict]:
        view_change = isinstance(record, Evict | Join)
        patience = VIEW_PATIENCE_SECONDS if view_change else APPEND_PATIENCE_SECONDS
        give_up_at = time.monotonic() + patience
        self._queue.put(_Pending(record, give_up_at, verdict))
        return verdict

    def _gather(self) -> list[_Pending] | None:
        first = self._queue.get()
        if first is None:
            return None
        batch = [first]
        if _is_large(first.record):
            return batch
        deadline = time.monotonic() + GATHER_SECONDS
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
                batch = self._still_wanted(batch)

    def _still_wanted(self, batch: list[_Pending]) -> list[_Pending]:
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
