"""Estimates the wait of a request from the rate at which others were started."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["Flow", "WaitEstimator"]

START_WINDOW = 32
# With fewer starts than this, or none for this time, the rate is unknown.
MIN_STARTS = 8
STALE_SECONDS = 2.0
# Waits vary, so a request is admitted only if this multiple of the estimate fits.
WAIT_MARGIN_FACTOR = 1.3


@dataclass(frozen=True, slots=True)
class Flow:
    """The requests of one team in one queue, which are started in order."""

    queue: str
    team: str


@dataclass(slots=True)
class _FlowRecord:
    waiting: int = 0
    starts: deque[float] = field(default_factory=lambda: deque(maxlen=START_WINDOW))


@dataclass(slots=True)
class WaitEstimator:
    """Detects requests that would expire while waiting, to refuse them at once."""

    by_flow: dict[Flow, _FlowRecord] = field(default_factory=dict)

    def enter(self, flow: Flow, now: float, deadline: float) -> bool:
        """Count a waiting request; return False if it would miss its deadline."""
        record = self.by_flow.setdefault(flow, _FlowRecord())
        expected = self._expected_wait(record, now)
        if expected is not None and now + expected > deadline:
            return False
        record.waiting += 1
        return True

    def leave(self, flow: Flow, now: float, started: bool) -> None:
        """Count a request that no longer waits."""
        record = self.by_flow[flow]
        record.waiting -= 1
        if not record.waiting:
            # The time until the next start then depends on callers, not on minions.
            record.starts.clear()
        elif started:
            record.starts.append(now)

    @staticmethod
    def _expected_wait(record: _FlowRecord, now: float) -> float | None:
        starts = record.starts
        if len(starts) < MIN_STARTS or now - starts[-1] > STALE_SECONDS:
            return None
        return WAIT_MARGIN_FACTOR * record.waiting * (now - starts[0]) / len(starts)
