"""Estimates how long a request would wait, from how fast others were started."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["Flow", "WaitEstimator"]

STARTS_KEPT = 32
# Fewer starts than this, or none for so long, say nothing about the rate.
STARTS_NEEDED = 8
STALE_SECONDS = 2.0
# Waits vary: a request is let in only where so many times the estimate would do.
MARGIN = 1.3


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests that are started in turn: one team's in one queue."""

    queue: str
    team: str


@dataclass(slots=True)
class _FlowRecord:
    waiting: int = 0
    starts: deque[float] = field(default_factory=lambda: deque(maxlen=STARTS_KEPT))


@dataclass(slots=True)
class WaitEstimator:
    """Tells work that would expire while it waits, so that it is refused at once."""

    by_flow: dict[Flow, _FlowRecord] = field(default_factory=dict)

    def enter(self, flow: Flow, now: float, deadline: float) -> bool:
        """Count a request that begins to wait; False: it would wait for too long."""
        record = self.by_flow.setdefault(flow, _FlowRecord())
        expected = self._expected_wait(record, now)
        if expected is not None and now + expected > deadline:
            return False
        record.waiting += 1
        return True

    def leave(self, flow: Flow, now: float, started: bool) -> None:
        """Count a request that waits no longer."""
        record = self.by_flow[flow]
        record.waiting -= 1
        if not record.waiting:
            # The pause to the next start is then the callers', not the minions'.
            record.starts.clear()
        elif started:
            record.starts.append(now)

    @staticmethod
    def _expected_wait(record: _FlowRecord, now: float) -> float | None:
        starts = record.starts
        if len(starts) < STARTS_NEEDED or now - starts[-1] > STALE_SECONDS:
            return None
        return MARGIN * record.waiting * (now - starts[0]) / len(starts)
