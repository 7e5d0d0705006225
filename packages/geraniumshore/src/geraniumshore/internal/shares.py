"""Share policies: which of the waiting teams gets the next free slot."""

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

# Time constant of the moving average of a team's use.
USE_DECAY_SECONDS = 2.0
# Weight of the moving average; current use has the rest.
RECENT_USE_WEIGHT = 0.5
# Urgent work goes first until the relative use of its team exceeds the mean of the
# waiting teams by this factor.
URGENT_HEADROOM_FACTOR = 1.25
# One grant in this many ignores urgency and goes by shares alone.
SHARE_ONLY_PERIOD_GRANTS = 8


@dataclass(frozen=True, slots=True)
class Candidate:
    """A team that has waiting work and a token to run it.

    ``in_use`` is the number of units that the team uses in the whole fleet, ``recent``
    its moving average. ``waiting_since`` is the monotonic time at which the oldest
    demand was first seen.
    """

    team: str
    share: float
    in_use: int
    urgent: bool
    waiting_since: float
    recent: float = 0.0

    @property
    def relative_use(self) -> float:
        """Weighted mean of current and recent use, divided by the share."""
        remembered = RECENT_USE_WEIGHT * self.recent
        return (remembered + (1 - RECENT_USE_WEIGHT) * self.in_use) / self.share


@dataclass(slots=True)
class RecentUse:
    """Exponential moving averages of the teams' use."""

    updated_at: float | None = None
    by_team: dict[str, float] = field(default_factory=dict)

    def update(self, use_by_team: Mapping[str, int], now: float) -> None:
        """Add the current use, weighted by the time since the last update."""
        elapsed = 0.0 if self.updated_at is None else now - self.updated_at
        kept = math.exp(-elapsed / USE_DECAY_SECONDS)
        self.updated_at = now
        self.by_team = {
            team: kept * self.by_team.get(team, count) + (1 - kept) * count
            for team, count in use_by_team.items()
        }


class SharePolicy(ABC):
    """Chooses among teams that all have waiting work."""

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate], grant_number: int) -> Candidate:
        """Return the candidate that gets the slot.

        ``candidates`` is not empty; ``grant_number`` counts the grants of this home.
        """


class WeightedShares(SharePolicy):
    """Weighted max-min fairness over fleet-wide use.

    The team with the lowest use relative to its share goes first. Urgent work takes
    precedence within bounds: its team must not be far above the mean relative use, and
    every eighth grant goes by shares alone. A flood of urgent work therefore leaves at
    least an eighth of the grants to the teams furthest below their shares.
    """

    def choose(self, candidates: Sequence[Candidate], grant_number: int) -> Candidate:
        """Return the team that is furthest below its share."""
        if grant_number % SHARE_ONLY_PERIOD_GRANTS == SHARE_ONLY_PERIOD_GRANTS - 1:
            return min(candidates, key=lambda c: (c.relative_use, not c.urgent, c.team))
        highest = self._headroom(candidates)
        return min(
            candidates,
            key=lambda c: (
                not (c.urgent and c.relative_use <= highest),
                c.relative_use,
                not c.urgent,
                c.team,
            ),
        )

    @staticmethod
    def _headroom(candidates: Sequence[Candidate]) -> float:
        by_team = {candidate.team: candidate for candidate in candidates}
        used = sum(candidate.in_use for candidate in by_team.values())
        shares = sum(candidate.share for candidate in by_team.values())
        return URGENT_HEADROOM_FACTOR * (used + 1) / shares


class FirstComeFirstServed(SharePolicy):
    """A baseline policy that ignores shares: the oldest demand goes first."""

    def choose(self, candidates: Sequence[Candidate], grant_number: int) -> Candidate:
        """Return the team whose demand is oldest."""
        return min(candidates, key=lambda c: (c.waiting_since, c.team))
