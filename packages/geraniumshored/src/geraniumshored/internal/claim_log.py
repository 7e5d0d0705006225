"""Appends claims and answers to the log: in batches, paced, and failing at once."""

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

# All members together stay below this many appends of claims a second.
APPENDS_PER_SECOND = 100
MAX_RECORDS_PER_APPEND = 200
# After a failed append, claims are refused without a try for this time.
PAUSE_SECONDS = 1.0
# An append that takes longer than this counts as failed for the claims behind it.
SLOW_SECONDS = 2.5
IDLE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class _Pending:
    record: Claim | Answer
    verdict: Future[Verdict]


class ClaimLog(threading.Thread):
    """One member's appends of claims and answers.

    Unlike other records, a claim whose append fails is failed at once: its caller is
    told so and may come back. An answer is appended again until it is in the log.
    """

    def __init__(self, log: ControlLog, runtime: Runtime) -> None:
        super().__init__(name="claim-log", daemon=True)
        self._log = log
        self._runtime = runtime
        self._queue: queue.SimpleQueue[_Pending | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._owed_by_id: dict[str, _Pending] = {}
        self._failed_at = float("-inf")
        self._busy_since: float | None = None
        self._next_append_at = float("-inf")

    def available(self) -> bool:
        """Tell whether an append may be tried now, by what the last ones gave."""
        now = time.monotonic()
        busy_since = self._busy_since
        if busy_since is not None and now - busy_since > SLOW_SECONDS:
            return False
        return now - self._failed_at >= PAUSE_SECONDS

    def claim(self, record: Claim) -> Future[Verdict]:
        """Append a claim; the future gives its verdict once it is folded here.

        It raises PlatformUnavailableError where the claim is certainly not in the
        log, and UnknownOutcomeError where it may be.
        """
        pending = self._pending(record)
        self._queue.put(pending)
        return pending.verdict

    def settle(self, record: Answer) -> None:
        """Append what became of a claim, as often as it takes."""
        pending = self._pending(record)
        with self._lock:
            self._owed_by_id[record.id] = pending
        pending.verdict.add_done_callback(lambda _: self._forget(record.id))
        self._queue.put(pending)

    def wait_until_settled(self, seconds: float) -> bool:
        """Wait until no answer is owed; tell whether that was reached in time."""
        deadline = time.monotonic() + seconds
        while self._owed_by_id and time.monotonic() < deadline:
            time.sleep(0.02)
        return not self._owed_by_id

    def stop(self) -> None:
        """Ask the thread to end after what is queued."""
        self._queue.put(None)

    def run(self) -> None:
        """Append until stopped."""
        while True:
            batch = self._gather()
            if batch is None:
                return
            if batch:
                self._append(batch)

    def _pending(self, record: Claim | Answer) -> _Pending:
        verdict: Future[Verdict] = Future()

        def pass_on(folded: Future[Verdict]) -> None:
            with contextlib.suppress(InvalidStateError):
                verdict.set_result(folded.result())

        self._runtime.await_verdict(record).add_done_callback(pass_on)
        return _Pending(record, verdict)

    def _forget(self, record_id: str) -> None:
        with self._lock:
            self._owed_by_id.pop(record_id, None)

    def _gather(self) -> list[_Pending] | None:
        """Wait for records, and until this member's next append is due."""
        try:
            first = self._queue.get(timeout=IDLE_SECONDS)
        except queue.Empty:
            return self._owed()
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

    def _owed(self) -> list[_Pending]:
        with self._lock:
            return list(self._owed_by_id.values())[:MAX_RECORDS_PER_APPEND]

    def _append(self, batch: list[_Pending]) -> None:
        members = max(1, len(self._runtime.member.state.view.members))
        document = encode_records(tuple(pending.record for pending in batch))
        self._busy_since = time.monotonic()
        self._next_append_at = self._busy_since + members / APPENDS_PER_SECOND
        try:
            self._append_twice(document)
        except (PlatformUnavailableError, UnknownOutcomeError) as error:
            self._failed_at = time.monotonic()
            self._runtime.metrics.log_appends.labels("failed").inc()
            self._fail_claims(batch, error)
        else:
            self._failed_at = float("-inf")
            self._runtime.metrics.log_appends.labels("acknowledged").inc()
        finally:
            self._busy_since = None

    def _append_twice(self, document: str) -> None:
        """Append, and once more where the reply was lost: the fold voids the second."""
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
