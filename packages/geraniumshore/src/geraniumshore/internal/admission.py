"""Bounds on the calls that one entry host has open, so that it always answers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["Admission"]

# Threads that no open call may take: they refuse, and serve probes and operators.
RESERVED_THREADS = 16
# The parts of the open calls that deferrable work, and any one team, may take.
DEFERRABLE_PART = 0.75
TEAM_PART = 0.75


@dataclass(slots=True)
class Admission:
    """Counts open calls against their bounds. Not safe for several threads."""

    limit: int
    open: int = 0
    open_deferrable: int = 0
    open_by_team: Counter[str] = field(default_factory=Counter)

    @classmethod
    def from_threads(cls, threads: int) -> Admission:
        """Bound open calls below the number of threads that serve."""
        return cls(max(1, threads - RESERVED_THREADS, threads // 2))

    def enter(self, team: str, urgent: bool) -> bool:
        """Count a call that opens; False means that it has to be refused."""
        if self.open >= self.limit:
            return False
        if self.open_by_team[team] >= max(1, int(self.limit * TEAM_PART)):
            return False
        if not urgent:
            if self.open_deferrable >= max(1, int(self.limit * DEFERRABLE_PART)):
                return False
            self.open_deferrable += 1
        self.open += 1
        self.open_by_team[team] += 1
        return True

    def leave(self, team: str, urgent: bool) -> None:
        """Count a call that has ended."""
        self.open -= 1
        self.open_deferrable -= not urgent
        self.open_by_team[team] -= 1
        if not self.open_by_team[team]:
            del self.open_by_team[team]
