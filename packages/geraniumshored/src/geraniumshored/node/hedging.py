"""Writes to the store that are made again while an answer is overdue.

A store may carry a third of the writes out without an answer, or seconds late. Waiting
for each of them until its time is up would hold up everything that comes after it.
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
from geraniumshored.node.ports import (
    Appended,
    Membership,
    Page,
    Record,
    Store,
    Stream,
    Writer,
)
from geraniumshored.node.workers import WorkerThreads

__all__ = ["RepeatedCall", "RepeatingStore"]

logger = logging.getLogger(__name__)

T = TypeVar("T")

# An answer is overdue after this time, some ten times what one takes as a rule.
OVERDUE_S = 0.15
# A write is made again once it has taken so many times as long as a read that was made
# meanwhile: a slow store answers reads slowly too, and repeated writes queue up in it.
READ_FACTOR = 8.0
# So many attempts of one call are open at a time: where two of five answers are lost,
# all of them are once in 250 calls.
MOST_OPEN = 6
# What was refused or cut is made again after this time; a few round trips.
RETRY_S = 0.05
# How long all attempts of an append have together: as long as one of them.
APPEND_S = 2.0
# A join that comes later than this leaves no time for the next one.
JOIN_S = 0.8
NEVER = float("inf")
# Threads that wait for the next call: a join, and the appends of owner and callers.
MOST_IDLE_WORKERS = 6


def start_thread(run: Callable[[], None]) -> None:
    """Run an attempt in a thread of its own."""
    threading.Thread(target=run, name="attempt", daemon=True).start()


@dataclass(frozen=True, slots=True)
class _Outcome(Generic[T]):
    """How an attempt ended, or a probe."""

    took_s: float
    probe: bool = False
    result: T | None = None
    error: Exception | None = None


class RepeatedCall(Generic[T]):
    """One call that may be carried out several times; its first answer is taken.

    While an answer is overdue, ``probe`` tells whether the other side answers at all,
    and how fast. ``name`` says in the log what was made again. ``start`` lets attempts
    run beside the caller.
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
        self._open = 0
        self._made = 0
        self._began_at = 0.0
        self._repeat_at = NEVER
        self._probe_at = NEVER
        self._unanswered: UnknownOutcomeError | None = None

    def make(self, give_up_at: float) -> T:
        """Return the first answer to any attempt.

        Attempts whose answers do not come end by their own timeouts. Raises
        PlatformUnavailableError where every attempt was refused, UnknownOutcomeError
        where no answer came until ``give_up_at`` and some attempt may have been carried
        out, and any other error of an attempt at once.
        """
        self._repeat_at = self._now()
        while (now := self._now()) < give_up_at:
            self._begin_what_is_due(now)
            until = min(self._repeat_at, self._probe_at, give_up_at)
            try:
                outcome = self._outcomes.get(timeout=max(0.0, until - now))
            except Empty:
                continue
            if outcome.probe:
                self._note_probe(outcome)
            elif outcome.error is None:
                self._note_repeats()
                return outcome.result  # type: ignore[return-value]
            else:
                self._note_failure(outcome.error)
        raise self._unanswered or UnknownOutcomeError("no answer in time")

    def _begin_what_is_due(self, now: float) -> None:
        if now >= self._repeat_at:
            self._repeat_at = NEVER
            if self._open < MOST_OPEN:
                self._open += 1
                self._made += 1
                self._began_at = now
                self._probe_at = now + OVERDUE_S
                self._begin(self._attempt, probe=False)
        if now >= self._probe_at:
            self._probe_at = NEVER
            self._begin(self._probe, probe=True)

    def _note_repeats(self) -> None:
        if self._made > 1:
            cause = None if self._unanswered is None else str(self._unanswered)
            log_event(
                logger,
                "answer overdue",
                call=self._name,
                attempts=self._made,
                cause=cause,
            )

    def _note_probe(self, outcome: _Outcome[T]) -> None:
        now = self._now()
        if outcome.error is not None:
            self._probe_at = now + RETRY_S
        else:
            self._repeat_at = max(now, self._began_at + READ_FACTOR * outcome.took_s)

    def _note_failure(self, error: Exception) -> None:
        self._open -= 1
        if isinstance(error, UnknownOutcomeError):
            self._unanswered = error
        elif not isinstance(error, PlatformUnavailableError):
            raise error
        if not self._open and self._unanswered is None:
            raise error
        self._repeat_at = self._now() + RETRY_S

    def _begin(self, call: Callable[[], Any], probe: bool) -> None:
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


class RepeatingStore(Store):
    """A store whose appends and joins are made again while their answers are overdue.

    An append by a writer is applied once however often it is sent; accepted jobs and
    what operators are told may be appended twice without harm, and so may a join.
    """

    def __init__(self, store: Store, now: Callable[[], float]) -> None:
        self._store = store
        self._now = now
        self._workers = WorkerThreads("attempt", MOST_IDLE_WORKERS)

    def append(
        self, stream: Stream, records: Sequence[Record], writer: Writer | None = None
    ) -> Appended:
        """Append records; see ``Store``."""
        return self._repeat(
            f"append {stream.value}",
            lambda: self._store.append(stream, records, writer),
            APPEND_S,
        )

    def read(self, stream: Stream, offset: int, wait_ms: int) -> Page:
        """Read on from an offset."""
        return self._store.read(stream, offset, wait_ms)

    def newest(self, stream: Stream) -> Page:
        """Read the newest record of each key."""
        return self._store.newest(stream)

    def join(self, member: str, generation: int) -> Membership:
        """Join the group, or stay in it."""
        return self._repeat(
            "join", lambda: self._store.join(member, generation), JOIN_S
        )

    def members(self) -> frozenset[str]:
        """Return the group's members."""
        return self._store.members()

    def leave(self, member: str) -> None:
        """Leave the group."""
        self._store.leave(member)

    def _repeat(self, name: str, attempt: Callable[[], T], within_s: float) -> T:
        call = RepeatedCall(
            name, attempt, self._store.members, self._now, self._workers.run
        )
        return call.make(self._now() + within_s)
