"""Failure attribution: decides whether a failed job or its host is at fault."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = ["HostHealth", "JobKind"]

OUTCOMES_PER_KIND = 32
# This many failures in a row, of kinds that succeed elsewhere, make a host suspect.
SUSPECT_AFTER_FAILURES = 2
FIRST_AVOID_SECONDS = 5.0
MAX_AVOID_SECONDS = 300.0


class JobKind(NamedTuple):
    """Jobs of one team on one queue, which are expected to behave similarly."""

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
    """The health of a pool's hosts, judged by the outcomes of their jobs.

    A failure is attributed to the host if jobs of the same kind succeed on other hosts
    and not on this one. If a kind fails everywhere, its jobs are at fault. After a host
    was avoided, it gets one job at a time until one succeeds.
    """

    outcomes_by_kind: dict[JobKind, deque[_Outcome]] = field(default_factory=dict)
    by_host: dict[str, _HostRecord] = field(default_factory=dict)

    def on_succeeded(self, host: str, kind: JobKind) -> None:
        """Record a job that succeeded."""
        self._record_outcome(host, kind, succeeded=True)
        self.by_host.pop(host, None)

    def on_failed(self, host: str, kind: JobKind, now: float) -> bool:
        """Record a failed job; return whether its host is at fault."""
        self._record_outcome(host, kind, succeeded=False)
        record = self.by_host.setdefault(host, _HostRecord())
        record.failures_in_row += 1
        suspect = (
            record.failures_in_row >= SUSPECT_AFTER_FAILURES or record.on_probation
        )
        if not (suspect and self._fails_only_here(host, kind)):
            return False
        if record.avoid_until <= now:
            record.avoid_until = now + record.avoid_seconds
            record.avoid_seconds = min(2 * record.avoid_seconds, MAX_AVOID_SECONDS)
            record.on_probation = True
        return True

    def accepts(self, host: str, running: int, now: float) -> bool:
        """Return whether a host that runs ``running`` jobs may get another one."""
        record = self.by_host.get(host)
        if record is None:
            return True
        if record.avoid_until > now:
            return False
        return not record.on_probation or running == 0

    def avoided(self, now: float) -> list[str]:
        """Return the hosts that currently get no jobs, for operators."""
        return sorted(h for h, r in self.by_host.items() if r.avoid_until > now)

    def _record_outcome(self, host: str, kind: JobKind, succeeded: bool) -> None:
        outcomes = self.outcomes_by_kind.setdefault(
            kind, deque(maxlen=OUTCOMES_PER_KIND)
        )
        outcomes.append(_Outcome(host, succeeded))

    def _fails_only_here(self, host: str, kind: JobKind) -> bool:
        outcomes = self.outcomes_by_kind[kind]
        here = any(o.succeeded for o in outcomes if o.host == host)
        elsewhere = any(o.succeeded for o in outcomes if o.host != host)
        return elsewhere and not here
