"""Applies one budget to the connections of all HTTP servers of a process."""

from __future__ import annotations

import logging
import threading
import time
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable

from geraniumshored.internal.client_budget import (
    BudgetLimits,
    ClientBudget,
    ClientTimeouts,
    CloseReason,
    Holder,
    Phase,
)

__all__ = ["ClientGuard", "ClientMetrics", "GuardedConnection"]

logger = logging.getLogger(__name__)

# One line counts all connections that were closed since the one before.
LOG_INTERVAL_S = 10.0


class GuardedConnection(ABC):
    """A connection that the guard may close."""

    holder: Holder

    @abstractmethod
    def close_for(self, reason: CloseReason) -> None:
        """Close the connection soon. Called from any thread."""


class ClientMetrics(ABC):
    """Counts closed connections."""

    @abstractmethod
    def count_closed(self, reason: str) -> None:
        """Count a connection that was closed or a request that was refused."""


class ClientGuard:
    """The budget of a process. Thread-safe."""

    def __init__(self, limits: BudgetLimits, metrics: ClientMetrics) -> None:
        self._limits = limits
        self._budget = ClientBudget(limits)
        self._metrics = metrics
        self._lock = threading.Lock()
        self._connection_by_holder: dict[Holder, GuardedConnection] = {}
        self._unlogged: Counter[str] = Counter()
        self._logged_at = -LOG_INTERVAL_S

    @property
    def held_bytes(self) -> int:
        """Bytes held by all connections."""
        return self._budget.held_bytes

    @property
    def connections(self) -> int:
        """Number of connections."""
        return self._budget.connections

    def admit(self, connection: GuardedConnection) -> None:
        """Add a connection. It may be closed at once."""
        with self._lock:
            self._connection_by_holder[connection.holder] = connection
            full = self._budget.connections >= self._limits.connections
            victims = self._budget.admit(connection.holder, time.monotonic())
            closing = self._forget(victims)
        reason = CloseReason.DESCRIPTORS if full else CloseReason.MEMORY
        self._close(closing, reason)

    def update(
        self, connection: GuardedConnection, phase: Phase, held_bytes: int
    ) -> None:
        """Note what a connection holds, and close those that do not fit."""
        now = time.monotonic()
        with self._lock:
            victims = self._budget.update(connection.holder, phase, held_bytes, now)
            closing = self._forget(victims)
        self._close(closing, CloseReason.MEMORY)

    def begin_serving(self, connection: GuardedConnection, held_bytes: int) -> bool:
        """Return whether a queued request may be served; otherwise it is refused."""
        now = time.monotonic()
        holder = connection.holder
        with self._lock:
            if holder not in self._budget:
                return False
            victims = self._budget.begin_serving(holder, held_bytes, now)
            may_serve = holder in self._budget
            closing = self._forget(victims)
        self._close(closing, CloseReason.MEMORY)
        return may_serve

    def release(self, connection: GuardedConnection) -> None:
        """Remove a closed connection."""
        with self._lock:
            self._budget.release(connection.holder)
            self._connection_by_holder.pop(connection.holder, None)

    def close_overdue(
        self, connections: Iterable[GuardedConnection], timeouts: ClientTimeouts
    ) -> None:
        """Close connections that exceed a time limit."""
        now = time.monotonic()
        for connection in connections:
            with self._lock:
                holder = connection.holder
                held = holder in self._budget
                reason = timeouts.exceeded(holder, now) if held else None
                closing = [] if reason is None else self._forget([holder])
            if reason is not None:
                self._close(closing, reason)
        self._log()

    def count_refused(self, reason: str) -> None:
        """Count a request that was refused for what it contains."""
        self._metrics.count_closed(reason)
        with self._lock:
            self._unlogged[reason] += 1

    def _forget(self, holders: Iterable[Holder]) -> list[GuardedConnection]:
        closing = []
        for holder in holders:
            self._budget.release(holder)
            connection = self._connection_by_holder.pop(holder, None)
            if connection is not None:
                closing.append(connection)
        return closing

    def _close(
        self, connections: Iterable[GuardedConnection], reason: CloseReason
    ) -> None:
        for connection in connections:
            connection.close_for(reason)
            self.count_refused(reason.value)

    def _log(self) -> None:
        """Log what was closed, at most once in ``LOG_INTERVAL_S``."""
        now = time.monotonic()
        with self._lock:
            if not self._unlogged or now - self._logged_at < LOG_INTERVAL_S:
                return
            closed, self._unlogged = self._unlogged, Counter()
            self._logged_at = now
        fields = {
            "closed": dict(closed),
            "connections": self.connections,
            "held_bytes": self.held_bytes,
            "limit_bytes": self._limits.held_bytes,
            "limit_connections": self._limits.connections,
        }
        logger.info("clients closed", extra={"fields": fields})
