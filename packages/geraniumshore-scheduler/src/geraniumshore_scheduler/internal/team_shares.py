"""Decides which jobs are within the share of their team.

When all minions are full, first come, first served would give the capacity to the team
that submits most. So a team's jobs beyond its weight, in jobs per second, wait behind
the jobs of teams that stay within theirs. While there is capacity no job waits.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["TeamShares"]

# A team may submit its share of this many seconds at once: bursts last a few seconds,
# and a team does not know the load of the others.
BURST_ALLOWANCE_S = 2.0


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_at: float


@dataclass(slots=True)
class TeamShares:
    """Counts the jobs of each team against its share, with one token bucket each."""

    _bucket_by_team: dict[str, _Bucket] = field(default_factory=dict)

    def would_exceed_share(self, team: str, weight: float, at: float) -> bool:
        """Return whether a job that arrives at ``at`` exceeds the share.

        It is not counted. A team without a weight has no share, so none of its jobs
        exceeds one.
        """
        return weight > 0 and self._tokens(team, weight, at) < 1

    def exceeds_share(self, team: str, weight: float, at: float) -> bool:
        """Count one job that arrived at ``at``; return whether it exceeds the share."""
        if weight <= 0:
            return False
        tokens = self._tokens(team, weight, at)
        bucket = self._bucket_by_team.setdefault(team, _Bucket(tokens, at))
        bucket.tokens = tokens
        bucket.updated_at = max(bucket.updated_at, at)
        if tokens < 1:
            return True
        bucket.tokens -= 1
        return False

    def _tokens(self, team: str, weight: float, at: float) -> float:
        """Return how many jobs a team may submit at ``at`` within its share."""
        max_tokens = weight * BURST_ALLOWANCE_S
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            return max_tokens
        gained = max(0.0, at - bucket.updated_at) * weight
        return min(max_tokens, bucket.tokens + gained)
