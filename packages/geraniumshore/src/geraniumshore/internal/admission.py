"""Limits on the open calls of one entry host, so that it can always respond."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["Admission"]

# Threads reserved for refusals, health probes and operators.
RESERVED_THREADS = 16
# Fractions of the open calls that deferrable work and any single team may use.
DEFERRABLE_FRACTION = 0.75
TEAM_FRACTION = 0.75


@dataclass(slots=True)
class Admission:
    """Counts open calls and enforces their limits. Not thread-safe."""

    limit: int
    open: int = 0
    open_deferrable: int = 0
    open_by_team: Counter[str] = field(default_factory=Counter)

    @classmethod
    def from_threads(cls, threads: int) -> Admission:
        """Limit open calls to fewer than the number of server threads."""
        return cls(max(1, threads - RESERVED_THREADS, threads // 2))

    def enter(self, team: str, urgent: bool) -> bool:
        """Count a new call; return False if it must be refused."""
        if self.open >= self.limit:
            return False
        if self.open_by_team[team] >= max(1, int(self.limit * TEAM_FRACTION)):
            return False
        if not urgent:
            if self.open_deferrable >= max(1, int(self.limit * DEFERRABLE_FRACTION)):
                return False
            self.open_deferrable += 1
        self.open += 1
        self.open_by_team[team] += 1
        return True

    def leave(self, team: str, urgent: bool) -> None:
        """Count the end of a call."""
        self.open -= 1
        self.open_deferrable -= not urgent
        self.open_by_team[team] -= 1
        if not self.open_by_team[team]:
            del self.open_by_team[team]
