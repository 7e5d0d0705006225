"""Splits the blame for failed jobs between the job and its host."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["HostHealth", "JobKind"]

REMEMBERED_OUTCOMES = 32
# Failures in a row, by jobs that succeed elsewhere, that make a host suspect.
SUSPECT_FAILURES = 2
FIRST_AVOID_SECONDS = 5.0
LONGEST_AVOID_SECONDS = 300.0


class JobKind(NamedTuple):
    """Jobs of one team on one queue; they are expected to behave alike."""

    queue: str
    team: str


@dataclass(frozen=True, slots=True)
class _Outcome:
    host: str
    succeeded: bool


@dataclass(slots=True)
class _HostRecord:
    failures_in_row: int = 0
    avoid_seconds: float = FIRST_AVOID_SECONDS
    avoid_until: float = float("-inf")
    on_probation: bool = False


@dataclass(slots=True)
class HostHealth:
    """What one home has seen of the pool's hosts.

    A failure is the host's where jobs of the same kind succeed on other hosts and not
    on this one; where a kind fails everywhere, its jobs are at fault. A host that was
    avoided comes back with one job at a time until one succeeds.
    """

    outcomes_by_kind: dict[JobKind, deque[_Outcome]] = field(default_factory=dict)
    by_host: dict[str, _HostRecord] = field(default_factory=dict)

    def on_succeeded(self, host: str, kind: JobKind) -> None:
        """Note a job that succeeded."""
        self._remember(host, kind, succeeded=True)
        self.by_host.pop(host, None)

    def on_failed(self, host: str, kind: JobKind, now: float) -> bool:
        """Note a job that failed; tell whether the host is to blame."""
        self._remember(host, kind, succeeded=False)
        record = self.by_host.setdefault(host, _HostRecord())
        record.failures_in_row += 1
        suspect = record.failures_in_row >= SUSPECT_FAILURES or record.on_probation
        if not (suspect and self._stands_out(host, kind)):
            return False
        if record.avoid_until <= now:
            record.avoid_until = now + record.avoid_seconds
            record.avoid_seconds = min(2 * record.avoid_seconds, LONGEST_AVOID_SECONDS)
            record.on_probation = True
        return True

    def accepts(self, host: str, running: int, now: float) -> bool:
        """Tell whether a host that runs so many jobs may get one more."""
        record = self.by_host.get(host)
        if record is None:
            return True
        if record.avoid_until > now:
            return False
        return not record.on_probation or running == 0

    def avoided(self, now: float) -> list[str]:
        """Return the hosts that get no jobs just now, for the operators."""
        return sorted(h for h, r in self.by_host.items() if r.avoid_until > now)

    def _remember(self, host: str, kind: JobKind, succeeded: bool) -> None:
        outcomes = self.outcomes_by_kind.setdefault(
            kind, deque(maxlen=REMEMBERED_OUTCOMES)
        )
        outcomes.append(_Outcome(host, succeeded))

    def _stands_out(self, host: str, kind: JobKind) -> bool:
        outcomes = self.outcomes_by_kind[kind]
        here = any(o.succeeded for o in outcomes if o.host == host)
        elsewhere = any(o.succeeded for o in outcomes if o.host != host)
        return elsewhere and not here
