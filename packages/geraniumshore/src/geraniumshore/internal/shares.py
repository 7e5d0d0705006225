"""Policies that choose which team gets the next free slot."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

__all__ = [
    "Candidate",
    "FirstComeFirstServed",
    "RecentUse",
    "SharePolicy",
    "WeightedShares",
]

# How far back the memory of a team's use reaches.
MEMORY_SECONDS = 2.0
# The weight of remembered use against use just now.
MEMORY_WEIGHT = 0.5
# Urgent work goes first until its team is this far above the mean level of the teams
# that wait.
URGENT_HEADROOM = 1.25
# One grant in so many goes by shares alone, whether urgent work waits or not.
SHARE_TURN = 8


@dataclass(frozen=True, slots=True)
class Candidate:
    """A team with work that waits and a token to run it.

    ``in_use`` counts what the team has running in the whole fleet, and ``recent`` is
    its mean over the last moments; ``waiting_since`` is the monotonic time at which
    its oldest demand was first seen.
    """

    team: str
    share: float
    in_use: int
    urgent: bool
    waiting_since: float
    recent: float = 0.0

    @property
    def level(self) -> float:
        """Use over share, just now and of late."""
        remembered = MEMORY_WEIGHT * self.recent
        return (remembered + (1 - MEMORY_WEIGHT) * self.in_use) / self.share


@dataclass(slots=True)
class RecentUse:
    """Exponentially decaying means of the teams' use."""

    updated_at: float | None = None
    by_team: dict[str, float] = field(default_factory=dict)

    def update(self, use_by_team: Mapping[str, int], now: float) -> None:
        """Count the present use for the time since the last update."""
        elapsed = 0.0 if self.updated_at is None else now - self.updated_at
        kept = math.exp(-elapsed / MEMORY_SECONDS)
        self.updated_at = now
        self.by_team = {
            team: kept * self.by_team.get(team, count) + (1 - kept) * count
            for team, count in use_by_team.items()
        }


class SharePolicy(ABC):
    """Chooses among teams that all have waiting work."""

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate], turn: int) -> Candidate:
        """Return the candidate that gets the slot.

        ``candidates`` is not empty; ``turn`` counts the grants of this home.
        """


class WeightedShares(SharePolicy):
    """Weighted max-min: the lowest fleet-wide use over share goes first.

    Urgent work goes before other work, within bounds: its team must not be far above
    the mean level, and every eighth grant goes by shares alone. So a flood of urgent
    work leaves at least an eighth of the grants to the teams furthest below their
    shares.
    """

    def choose(self, candidates: Sequence[Candidate], turn: int) -> Candidate:
        """Return the team that is furthest below its share."""
        if turn % SHARE_TURN == SHARE_TURN - 1:
            return min(candidates, key=lambda c: (c.level, not c.urgent, c.team))
        highest = self._headroom(candidates)
        return min(
            candidates,
            key=lambda c: (
                not (c.urgent and c.level <= highest),
                c.level,
                not c.urgent,
                c.team,
            ),
        )

    @staticmethod
    def _headroom(candidates: Sequence[Candidate]) -> float:
        by_team = {candidate.team: candidate for candidate in candidates}
        used = sum(candidate.in_use for candidate in by_team.values())
        shares = sum(candidate.share for candidate in by_team.values())
        return URGENT_HEADROOM * (used + 1) / shares


class FirstComeFirstServed(SharePolicy):
    """The baseline that knows no teams: whoever waits longest goes first."""

    def choose(self, candidates: Sequence[Candidate], turn: int) -> Candidate:
        """Return the team whose demand is oldest."""
        return min(candidates, key=lambda c: (c.waiting_since, c.team))
