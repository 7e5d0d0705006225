"""Appends claims and their answers to the log, in rate-limited batches."""

from __future__ import annotations

import contextlib
import queue
import threading
import time
from concurrent.futures import Future, InvalidStateError
from dataclasses import dataclass

from geraniumshore import (
    Answer,
    Claim,
    ControlLog,
    PlatformUnavailableError,
    UnknownOutcomeError,
    Verdict,
    encode_records,
)
from geraniumshored.internal.runtime import Runtime

__all__ = ["ClaimLog"]

# Limit on appends of claims per second, over all members together.
APPENDS_PER_SECOND = 100
MAX_RECORDS_PER_APPEND = 200
# After a failed append, claims are refused without an attempt for this time.
FAILURE_BACKOFF_SECONDS = 1.0
# While an append takes longer than this, further claims are refused.
SLOW_APPEND_SECONDS = 2.5
# With no new records for this time, unrecorded answers are appended again.
RESEND_INTERVAL_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class _Pending:
    record: Claim | Answer
    verdict: Future[Verdict]


class ClaimLog(threading.Thread):
    """Thread that appends one member's claims and answers.

    Unlike other records, a claim fails as soon as its append fails: its caller gets an
    error and may retry. An answer is appended again until it is in the log.
    """

    def __init__(self, log: ControlLog, runtime: Runtime) -> None:
        super().__init__(name="claim-log", daemon=True)
        self._log = log
        self._runtime = runtime
        self._queue: queue.SimpleQueue[_Pending | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._unrecorded_answer_by_id: dict[str, _Pending] = {}
        self._failed_at = float("-inf")
        self._append_started_at: float | None = None
        self._next_append_at = float("-inf")

    def available(self) -> bool:
        """Return whether to attempt an append, judging by the previous ones."""
        now = time.monotonic()
        append_started_at = self._append_started_at
        if (
            append_started_at is not None
            and now - append_started_at > SLOW_APPEND_SECONDS
        ):
            return False
        return now - self._failed_at >= FAILURE_BACKOFF_SECONDS

    def claim(self, record: Claim) -> Future[Verdict]:
        """Append a claim; the future returns its verdict once it is folded here.

        It raises PlatformUnavailableError if the claim is certainly not in the log,
        and UnknownOutcomeError if it may be.
        """
        pending = self._new_pending(record)
        self._queue.put(pending)
        return pending.verdict

    def record_answer(self, record: Answer) -> None:
        """Append the outcome of a claim, with retries until it is in the log."""
        pending = self._new_pending(record)
        with self._lock:
            self._unrecorded_answer_by_id[record.id] = pending
        pending.verdict.add_done_callback(lambda _: self._forget_answer(record.id))
        self._queue.put(pending)

    def wait_until_recorded(self, seconds: float) -> bool:
        """Wait until every answer is in the log; return False on timeout."""
        deadline = time.monotonic() + seconds
        while self._unrecorded_answer_by_id and time.monotonic() < deadline:
            time.sleep(0.02)
        return not self._unrecorded_answer_by_id

    def stop(self) -> None:
        """Ask the thread to end after the queued records."""
        self._queue.put(None)

    def run(self) -> None:
        """Append until stopped."""
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            if batch:
                self._append(batch)

    def _new_pending(self, record: Claim | Answer) -> _Pending:
        verdict: Future[Verdict] = Future()

        def forward_verdict(folded: Future[Verdict]) -> None:
            with contextlib.suppress(InvalidStateError):
                verdict.set_result(folded.result())

        self._runtime.await_verdict(record).add_done_callback(forward_verdict)
        return _Pending(record, verdict)

    def _forget_answer(self, record_id: str) -> None:
        with self._lock:
            self._unrecorded_answer_by_id.pop(record_id, None)

    def _next_batch(self) -> list[_Pending] | None:
        """Collect records until this member's next append is due.

        Returns the unrecorded answers if no record arrives, and None to stop.
        """
        try:
            first = self._queue.get(timeout=RESEND_INTERVAL_SECONDS)
        except queue.Empty:
            return self._unrecorded_answers()
        if first is None:
            return None
        batch = [first]
        while len(batch) < MAX_RECORDS_PER_APPEND:
            pause = max(0.0, self._next_append_at - time.monotonic())
            try:
                pending = self._queue.get(timeout=pause)
            except queue.Empty:
                break
            if pending is None:
                self._queue.put(None)
                break
            batch.append(pending)
        return batch

    def _unrecorded_answers(self) -> list[_Pending]:
        with self._lock:
            return list(self._unrecorded_answer_by_id.values())[:MAX_RECORDS_PER_APPEND]

    def _append(self, batch: list[_Pending]) -> None:
        members = max(1, len(self._runtime.member.state.view.members))
        document = encode_records(tuple(pending.record for pending in batch))
        self._append_started_at = time.monotonic()
        self._next_append_at = self._append_started_at + members / APPENDS_PER_SECOND
        try:
            self._append_with_retry(document)
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            self._failed_at = time.monotonic()
            self._runtime.metrics.log_appends.labels("failed").inc()
            self._fail_claims(batch, error)
        else:
            self._failed_at = float("-inf")
            self._runtime.metrics.log_appends.labels("acknowledged").inc()
        finally:
            self._append_started_at = None

    def _append_with_retry(self, document: str) -> None:
        """Append, and repeat the append once if its reply is lost.

        Should both be in the log, the fold voids the second.
        """
        try:
            self._log.append(document)
        except UnknownOutcomeError as lost:
            try:
                self._log.append(document)
            except PlatformUnavailableError:
                raise lost from None

    def _fail_claims(
        self,
        batch: list[_Pending],
        error: PlatformUnavailableError | UnknownOutcomeError,
    ) -> None:
        for pending in batch:
            if isinstance(pending.record, Claim):
                self._runtime.forget_verdict(pending.record)
                with contextlib.suppress(InvalidStateError):
                    pending.verdict.set_exception(error)
