"""Hedged writes to the store: a write is repeated while its answer is overdue.

Up to a third of the writes may be carried out without an answer, or answered seconds
late. Waiting for each timeout would delay everything that comes after the write.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from queue import Empty, SimpleQueue
from typing import Any, Generic, TypeVar

from geraniumshore_scheduler import PlatformUnavailableError, UnknownOutcomeError
from geraniumshored.node.logs import log_event
from geraniumshored.node.page_turns import PageTurns
from geraniumshored.node.ports import (
    Appended,
    Membership,
    NewestPage,
    Page,
    Record,
    Store,
    Stream,
    Writer,
)
from geraniumshored.node.workers import WorkerThreads

__all__ = ["HedgedCall", "HedgingStore"]

logger = logging.getLogger(__name__)

T = TypeVar("T")

# An answer is overdue after this time, about ten times the usual latency.
HEDGE_DELAY_S = 0.15
# A write is repeated once it has taken this many times as long as a read that was made
# meanwhile: a slow store also answers reads slowly, and repeated writes would only
# queue up in it.
PROBE_LATENCY_FACTOR = 8.0
# Open attempts of one call. If two of five answers are lost, all six are lost once in
# 250 calls.
MAX_OPEN_ATTEMPTS = 6
# Delay before a refused or disconnected attempt is retried; a few round trips.
RETRY_S = 0.05
# Time limit of all attempts of an append together: as long as for a single one.
APPEND_TIMEOUT_S = 2.0
# A join that takes longer would leave no time for the next one.
JOIN_TIMEOUT_S = 0.8
NEVER = float("inf")
# Idle threads kept for the next calls: a join, and the appends of owner and callers.
MAX_IDLE_WORKERS = 6


def start_thread(run: Callable[[], None]) -> None:
    """Run an attempt in a new thread."""
    threading.Thread(target=run, name="attempt", daemon=True).start()


@dataclass(frozen=True, slots=True)
class _Outcome(Generic[T]):
    """Outcome of an attempt or of a probe."""

    took_s: float
    probe: bool = False
    result: T | None = None
    error: Exception | None = None


class HedgedCall(Generic[T]):
    """An idempotent call that is repeated while its answer is overdue.

    The first answer to any attempt is the result. ``probe`` is a cheap call that shows,
    while an answer is overdue, whether the server answers and how fast. ``name`` is
    the call's name in the log. ``start`` runs an attempt without blocking the caller.
    """

    def __init__(
        self,
        name: str,
        attempt: Callable[[], T],
        probe: Callable[[], object],
        now: Callable[[], float],
        start: Callable[[Callable[[], None]], object] = start_thread,
    ) -> None:
        self._name = name
        self._attempt = attempt
        self._probe = probe
        self._now = now
        self._start = start
        self._outcomes: SimpleQueue[_Outcome[T]] = SimpleQueue()
        self._open_attempts = 0
        self._attempt_count = 0
        self._began_at = 0.0
        self._repeat_at = NEVER
        self._probe_at = NEVER
        self._last_unknown_outcome: UnknownOutcomeError | None = None

    def make(self, deadline: float) -> T:
        """Return the first answer to any attempt.

        Unanswered attempts end by their own timeouts. Raises PlatformUnavailableError
        if every attempt was refused, UnknownOutcomeError if no answer came before
        ``deadline`` and some attempt may have been carried out. Any other error of an
        attempt is raised at once.
        """
        self._repeat_at = self._now()
        while (now := self._now()) < deadline:
            self._start_due_calls(now)
            until = min(self._repeat_at, self._probe_at, deadline)
            try:
                outcome = self._outcomes.get(timeout=max(0.0, until - now))
            except Empty:
                continue
            if outcome.probe:
                self._on_probe(outcome)
            elif outcome.error is None:
                self._log_attempts()
                return outcome.result  # type: ignore[return-value]
            else:
                self._on_failure(outcome.error)
        raise self._last_unknown_outcome or UnknownOutcomeError("no answer in time")

    def _start_due_calls(self, now: float) -> None:
        if now >= self._repeat_at:
            self._repeat_at = NEVER
            if self._open_attempts < MAX_OPEN_ATTEMPTS:
                self._open_attempts += 1
                self._attempt_count += 1
                self._began_at = now
                self._probe_at = now + HEDGE_DELAY_S
                self._start_call(self._attempt, probe=False)
        if now >= self._probe_at:
            self._probe_at = NEVER
            self._start_call(self._probe, probe=True)

    def _log_attempts(self) -> None:
        if self._attempt_count > 1:
            cause = (
                None
                if self._last_unknown_outcome is None
                else str(self._last_unknown_outcome)
            )
            log_event(
                logger,
                "answer overdue",
                call=self._name,
                attempts=self._attempt_count,
                cause=cause,
            )

    def _on_probe(self, outcome: _Outcome[T]) -> None:
        now = self._now()
        if outcome.error is not None:
            self._probe_at = now + RETRY_S
        else:
            self._repeat_at = max(
                now, self._began_at + PROBE_LATENCY_FACTOR * outcome.took_s
            )

    def _on_failure(self, error: Exception) -> None:
        self._open_attempts -= 1
        if isinstance(error, UnknownOutcomeError):
            self._last_unknown_outcome = error
        elif not isinstance(error, PlatformUnavailableError):
            raise error
        if not self._open_attempts and self._last_unknown_outcome is None:
            raise error
        self._repeat_at = self._now() + RETRY_S

    def _start_call(self, call: Callable[[], Any], probe: bool) -> None:
        began = self._now()

        def run() -> None:
            result, failure = None, None
            try:
                result = call()
            except Exception as error:
                failure = error
            took_s = self._now() - began
            self._outcomes.put(_Outcome(took_s, probe, result, failure))

        self._start(run)


class HedgingStore(Store):
    """A store whose appends and joins are repeated while their answers are overdue.

    All of them are idempotent. The store applies an append by a writer once, however
    often it is sent. Accepted jobs and status records may be appended twice without
    harm, and a join may be repeated. Pages of newest records pass one at a time.
    """

    def __init__(self, store: Store, now: Callable[[], float]) -> None:
        self._store = store
        self._now = now
        self._page_turns = PageTurns()
        self._workers = WorkerThreads("attempt", MAX_IDLE_WORKERS)

    def append(
        self, stream: Stream, records: Sequence[Record], writer: Writer | None = None
    ) -> Appended:
        """Append records; see ``Store.append``."""
        return self._repeat(
            f"append {stream.value}",
            lambda: self._store.append(stream, records, writer),
            APPEND_TIMEOUT_S,
        )

    def read(self, stream: Stream, offset: int, wait_ms: int, max_kb: int) -> Page:
        """Read records from an offset on."""
        return self._store.read(stream, offset, wait_ms, max_kb)

    def newest(self, stream: Stream, after: str | None) -> NewestPage:
        """Read a page of newest records once no other page passes the link."""
        with self._page_turns.turn(stream):
            return self._store.newest(stream, after)

    def join(self, member: str, generation: int) -> Membership:
        """Join the group, or stay in it."""
        return self._repeat(
            "join", lambda: self._store.join(member, generation), JOIN_TIMEOUT_S
        )

    def members(self) -> frozenset[str]:
        """Return the group's members."""
        return self._store.members()

    def leave(self, member: str) -> None:
        """Leave the group."""
        self._store.leave(member)

    def _repeat(self, name: str, attempt: Callable[[], T], within_s: float) -> T:
        call = HedgedCall(
            name, attempt, self._store.members, self._now, self._workers.run
        )
        return call.make(self._now() + within_s)
