"""Counts good and bad calls, and appends the counts to the log periodically."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Mapping
from concurrent.futures import Future
from uuid import uuid4

from geraniumshore import (
    Queue,
    QueueCounts,
    Record,
    ServiceLevels,
    Verdict,
    is_good_call,
)
from geraniumshored.internal.runtime import Runtime

__all__ = ["ServiceLevelCounter"]


class ServiceLevelCounter:
    """Counts of this member since its last record. Thread-safe.

    A record whose append is not confirmed is appended again with the same id, so that
    no call is counted twice or lost while the process lives.
    """

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._lock = threading.Lock()
        self._good: Counter[str] = Counter()
        self._bad: Counter[str] = Counter()
        self._unconfirmed: Record | None = None
        self._verdict: Future[Verdict] | None = None

    def count(self, queue_name: str, status: int, seconds: float) -> None:
        """Count one answered call. Calls of unknown queues are not counted."""
        queue = self._queues().get(queue_name)
        if queue is None:
            return
        good = is_good_call(status, seconds, queue.objective_ms)
        if good is None:
            return
        with self._lock:
            (self._good if good else self._bad)[queue_name] += 1

    def append(self, member: str) -> None:
        """Append the counts since the last record; call it about once a minute."""
        if self._verdict is not None and not self._verdict.done():
            return
        if self._verdict is None or self._verdict.exception() is None:
            self._unconfirmed = self._next_record(member)
        if self._unconfirmed is not None:
            self._verdict = self._runtime.append(self._unconfirmed)

    def pending(self) -> tuple[QueueCounts, ...]:
        """Return the counts that are not in the log yet."""
        with self._lock:
            counted = tuple(self._counts())
        unconfirmed = self._unconfirmed
        if self._verdict is not None and self._verdict.done():
            unconfirmed = None if self._verdict.exception() is None else unconfirmed
        if isinstance(unconfirmed, ServiceLevels):
            return counted + unconfirmed.counts
        return counted

    def _queues(self) -> Mapping[str, Queue]:
        return self._runtime.member.state.configuration.queues

    def _counts(self) -> list[QueueCounts]:
        queues = sorted(set(self._good) | set(self._bad))
        return [QueueCounts(q, self._good[q], self._bad[q]) for q in queues]

    def _next_record(self, member: str) -> ServiceLevels | None:
        with self._lock:
            counts = tuple(self._counts())
            self._good.clear()
            self._bad.clear()
        self._verdict = None
        return ServiceLevels(uuid4().hex, member, counts) if counts else None
