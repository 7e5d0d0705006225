"""Decides which client connections to close when memory or descriptors run short.

Pure: the time is passed in. All times are in seconds, on one monotonic clock.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Self

__all__ = [
    "BudgetLimits",
    "ClientBudget",
    "ClientTimeouts",
    "CloseReason",
    "Holder",
    "Phase",
]

# Callers' share of the memory. In a day at 300 nodes the busiest node used 129 MB
# itself; the smallest machine has 200 MB, and memory that Python has freed is not
# returned at once.
MEMORY_SHARE = 5
# The other half of the descriptors is for the store, peers, minions and files.
DESCRIPTOR_SHARE = 2
MAX_CONNECTIONS = 2_000
# A connection's objects in Python and in the kernel.
CONNECTION_BYTES = 8_192
# Connections without a request may take at most this part of the bytes.
CONNECTIONS_SHARE = 2
# Closing frees this part more than needed: each selection looks at all holders.
SPARE_SHARE = 16
# Among bytes that have just arrived, the larger holder counts as the older one.
MIN_AGE_S = 0.1


class Phase(enum.Enum):
    """What a connection is waiting for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    QUEUED = "queued"
    SERVED = "served"
    ANSWER = "answer"

    def continues(self, former: Phase) -> bool:
        """Whether this phase belongs to the same request as the former one."""
        receiving = (Phase.HEAD, Phase.BODY)
        return self is former or (
            former in (*receiving, Phase.QUEUED)
            and self in (*receiving, Phase.QUEUED, Phase.SERVED)
        )


class CloseReason(enum.Enum):
    """Why a connection is closed before its request is answered."""

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
    IDLE = "idle"
    SILENT = "silent"
    SLOW_HEAD = "slow head"
    SLOW_BODY = "slow body"
    SLOW_READER = "slow reader"


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """What all client connections of a process may hold together."""

    held_bytes: int
    connections: int

    @classmethod
    def from_machine(cls, memory_bytes: int, descriptors: int) -> Self:
        """Return the callers' share of what the process may use."""
        held_bytes = memory_bytes // MEMORY_SHARE
        connections = min(
            MAX_CONNECTIONS,
            descriptors // DESCRIPTOR_SHARE,
            held_bytes // CONNECTIONS_SHARE // CONNECTION_BYTES,
        )
        return cls(held_bytes, max(1, connections))


@dataclass(frozen=True, slots=True)
class ClientTimeouts:
    """Limits that apply even while the budget is not exhausted.

    The largest body takes 1 s on the slowest link (2 Mbit/s), and callers wait 3 s for
    an answer, so no client within the documented limits reaches them.
    """

    idle_s: float = 60.0
    silent_s: float = 20.0
    head_s: float = 20.0
    body_s: float = 120.0
    answer_s: float = 120.0

    def exceeded(self, holder: Holder, now: float) -> CloseReason | None:
        """Return the limit that the connection exceeds, if any."""
        age = now - holder.since
        silent = now - holder.moved_at > self.silent_s
        match holder.phase:
            case Phase.IDLE:
                return CloseReason.IDLE if age > self.idle_s else None
            case Phase.HEAD if age > self.head_s:
                return CloseReason.SLOW_HEAD
            case Phase.BODY if age > self.body_s:
                return CloseReason.SLOW_BODY
            case Phase.ANSWER if silent or age > self.answer_s:
                return CloseReason.SLOW_READER
            case Phase.HEAD | Phase.BODY if silent:
                return CloseReason.SILENT
            case _:
                return None


@dataclass(slots=True, eq=False)
class Holder:
    """What one connection holds, since when, and when a byte last moved."""

    since: float
    moved_at: float
    phase: Phase = Phase.IDLE
    held_bytes: int = 0
    answered: bool = False

    @classmethod
    def opened(cls, now: float) -> Self:
        """Return the holder of a connection that was just opened."""
        return cls(now, now)

    def enter(self, phase: Phase, now: float) -> None:
        """Continue in a phase, which may be the present one."""
        if self.phase is Phase.SERVED and phase is Phase.QUEUED:
            # Reported by another thread before serving began.
            return
        if not phase.continues(self.phase):
            self.since = now
            # An answer that is sent at once has no phase of its own.
            self.answered = self.answered or self.phase is Phase.SERVED
        self.phase = phase

    def byte_seconds(self, now: float) -> float:
        """How much has been held for how long."""
        return self.held_bytes * (now - self.since + MIN_AGE_S)


class ClientBudget:
    """The connections of a process, and what they hold together.

    A connection that is selected to be closed no longer counts. A request that is
    being served is never selected, as its outcome would be unknown to its caller.
    """

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        # In the order of admission, which decides among equals.
        self._holders: dict[Holder, None] = {}
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes held, including those of the connections themselves."""
        return self._held_bytes + len(self._holders) * CONNECTION_BYTES

    @property
    def connections(self) -> int:
        """Number of connections."""
        return len(self._holders)

    def __contains__(self, holder: Holder) -> bool:
        return holder in self._holders

    def admit(self, holder: Holder, now: float) -> list[Holder]:
        """Add a connection and return those to close, which may include it.

        Those that have never been answered go first, the oldest before others.
        """
        victims = []
        if len(self._holders) >= self._limits.connections:
            oldest = min(
                self._closable(),
                key=lambda h: (h.phase is Phase.QUEUED, h.answered, h.since),
                default=None,
            )
            if oldest is None:
                return [holder]
            self.release(oldest)
            victims.append(oldest)
        self._holders[holder] = None
        return [*victims, *self._shrink(now)]

    def update(
        self, holder: Holder, phase: Phase, held_bytes: int, now: float
    ) -> list[Holder]:
        """Note what a connection holds and return those to close.

        The result may include the connection itself, whatever its phase.
        """
        if holder not in self._holders:
            return []
        holder.enter(phase, now)
        self._held_bytes += held_bytes - holder.held_bytes
        holder.held_bytes = held_bytes
        return self._shrink(now)

    def begin_serving(
        self, holder: Holder, held_bytes: int, now: float
    ) -> list[Holder]:
        """Let a queued request be served and return the connections to close.

        The result includes the connection itself if there is not enough memory.
        """
        victims = self.update(holder, Phase.SERVED, held_bytes, now)
        if self.held_bytes > self._limits.held_bytes:
            self.release(holder)
            return [*victims, holder]
        return victims

    def release(self, holder: Holder) -> None:
        """Remove a connection that is closed; without effect if it is removed."""
        if holder in self._holders:
            del self._holders[holder]
            self._held_bytes -= holder.held_bytes

    def _closable(self) -> Iterator[Holder]:
        return (h for h in self._holders if h.phase is not Phase.SERVED)

    def _shrink(self, now: float) -> list[Holder]:
        if self.held_bytes <= self._limits.held_bytes:
            return []
        target = self._limits.held_bytes - self._limits.held_bytes // SPARE_SHARE
        return list(self._release_until(target, self._slowest_first(now)))

    def _slowest_first(self, now: float) -> list[Holder]:
        return sorted(
            self._closable(),
            key=lambda h: (h.phase is Phase.QUEUED, -h.byte_seconds(now), h.since),
        )

    def _release_until(
        self, target: int, candidates: Iterable[Holder]
    ) -> Iterator[Holder]:
        for holder in candidates:
            if self.held_bytes <= target:
                return
            self.release(holder)
            yield holder
