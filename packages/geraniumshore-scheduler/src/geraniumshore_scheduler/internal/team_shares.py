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

    def exceeds_share(self, team: str, weight: float, at: float) -> bool:
        """Count one job that arrived at ``at``; return whether it exceeds the share.

        A team without a weight has no share, so none of its jobs exceeds one.
        """
        if weight <= 0:
            return False
        max_tokens = weight * BURST_ALLOWANCE_S
        bucket = self._bucket_by_team.setdefault(team, _Bucket(max_tokens, at))
        bucket.tokens = min(
            max_tokens, bucket.tokens + max(0.0, at - bucket.updated_at) * weight
        )
        bucket.updated_at = max(bucket.updated_at, at)
        if bucket.tokens < 1:
            return True
        bucket.tokens -= 1
        return False
