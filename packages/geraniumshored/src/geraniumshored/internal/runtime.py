"""Thread-safe access to one member, with all decisions made under a single lock."""

from __future__ import annotations

import contextlib
import logging
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future, InvalidStateError
from typing import Protocol, TypeVar

from geraniumshore import (
    Answer,
    Claim,
    Decision,
    Effects,
    JobRecord,
    LogEntry,
    LogRead,
    Member,
    Message,
    Record,
    SlotRequest,
    SnapshotPart,
    Standing,
    Verdict,
)
from geraniumshored.internal.metrics import Metrics

__all__ = ["RecordAppender", "Messenger", "Runtime"]

logger = logging.getLogger(__name__)

T = TypeVar("T")

# Frequent records that do not change the configuration are counted but not logged.
UNLOGGED_RECORDS = Claim | Answer | SnapshotPart | JobRecord

MAJORITY_POLL_SECONDS = 0.02


class Messenger(Protocol):
    """Sends messages to other members."""

    def send(self, member: str, messages: list[Message]) -> None:
        """Queue messages without blocking."""


class RecordAppender(Protocol):
    """Appends records to the log."""

    def submit(self, record: Record) -> Future[Verdict]:
        """Append a record whose verdict is not waited for."""

    def append(self, record: Record) -> Future[Verdict]:
        """Append a record; the future returns its verdict."""


class Runtime:
    """Makes a member usable from several threads.

    Every input goes through :meth:`perform`. It reads the clock, calls the member under
    the lock, and carries out the effects before it releases the lock, so that effects
    are carried out in the order of the decisions.
    """

    def __init__(self, member: Member, metrics: Metrics) -> None:
        self.member = member
        self.metrics = metrics
        self._lock = threading.Lock()
        self._decision_by_ticket: dict[str, Future[Decision]] = {}
        self._verdict_by_record: dict[str, Future[Verdict]] = {}
        self._messenger: Messenger | None = None
        self._appender: RecordAppender | None = None
        self._had_authority = False
        self._standing = Standing.JOINING

    def connect(self, messenger: Messenger, appends: RecordAppender) -> None:
        """Set what carries out the effects; call it once, before the first input."""
        self._messenger = messenger
        self._appender = appends

    def perform(self, action: Callable[[Member, float], T]) -> T:
        """Run ``action(member, now)`` under the lock and carry out the effects."""
        with self._lock:
            now = time.monotonic()
            result = action(self.member, now)
            self._carry_out(self.member.drain_effects())
            self._log_authority_change(now)
            self._log_standing_change()
            return result

    def has_authority(self) -> bool:
        """Return whether this member has authority now."""
        return self.member.has_authority(time.monotonic())

    def on_read(
        self,
        requested_offset: int,
        read: LogRead,
        entries: list[LogEntry],
        sent_at: float,
    ) -> None:
        """Process a read of the log from ``requested_offset``, sent at ``sent_at``."""
        self.perform(
            lambda member, now: member.on_read(
                requested_offset, read.first, read.tail, entries, sent_at, now
            )
        )

    def wait_until_folded_by_majority(self, offset: int, seconds: float) -> bool:
        """Wait until a majority has folded ``offset``; return False on timeout."""
        deadline = time.monotonic() + seconds
        while True:
            with self._lock:
                agreement, state = self.member.agreement, self.member.state
                if agreement.folded_by_majority(offset, state):
                    return True
            if time.monotonic() >= deadline:
                return False
            time.sleep(MAJORITY_POLL_SECONDS)

    def deliver(self, sender: str, messages: list[Message]) -> None:
        """Process a batch of messages from another member."""
        self.perform(lambda member, now: member.on_messages(sender, messages, now))

    def request_slot(self, request: SlotRequest) -> Future[Decision]:
        """Request a slot; the future returns the decision."""
        future: Future[Decision] = Future()

        def submit(member: Member, now: float) -> None:
            self._decision_by_ticket[request.ticket] = future
            member.submit(request, now)

        self.perform(submit)
        return future

    def finish(self, ticket: str) -> None:
        """Release a slot."""
        self.perform(lambda member, now: member.finish(ticket, now))

    def append(self, record: Record) -> Future[Verdict]:
        """Append a record; the future returns its verdict once it is folded here."""
        assert self._appender is not None
        return self._appender.append(record)

    def await_verdict(self, record: Record) -> Future[Verdict]:
        """Return a future for the verdict on a record that is about to be appended."""
        future: Future[Verdict] = Future()
        with self._lock:
            self._verdict_by_record[record.id] = future
        return future

    def forget_verdict(self, record: Record) -> None:
        """Drop the future for the verdict on a record that was not appended."""
        with self._lock:
            self._verdict_by_record.pop(record.id, None)

    def _on_verdict(self, verdict: Verdict) -> None:
        label = "accepted" if verdict.accepted else "void"
        self.metrics.log_records.labels(label).inc()
        future = self._verdict_by_record.pop(verdict.record.id, None)
        if future is not None:
            # The record may have been abandoned before it was folded.
            with contextlib.suppress(InvalidStateError):
                future.set_result(verdict)
        if verdict.accepted and not isinstance(verdict.record, UNLOGGED_RECORDS):
            logger.info(
                "record accepted",
                extra={"record": verdict.record.kind, "offset": verdict.offset},
            )

    def _carry_out(self, effects: Effects) -> None:
        assert self._messenger is not None
        assert self._appender is not None
        for member, messages in effects.messages_by_member.items():
            self._messenger.send(member, messages)
        for record in effects.appends:
            self._appender.submit(record)
        for verdict in effects.verdicts:
            self._on_verdict(verdict)
        for decision in effects.decisions:
            future = self._decision_by_ticket.pop(decision.ticket, None)
            if future is not None:
                future.set_result(decision)

    def _log_standing_change(self) -> None:
        standing = self.member.agreement.standing(self.member.state)
        if standing != self._standing:
            self._standing = standing
            logger.warning("standing", extra={"standing": standing.value})

    def _log_authority_change(self, now: float) -> None:
        has_authority = self.member.has_authority(now)
        if has_authority == self._had_authority:
            return
        self._had_authority = has_authority
        self.metrics.authority.set(int(has_authority))
        logger.warning("authority", extra={"authority": has_authority})
