"""Which jobs lie within their team's share: one team sends many times its usual.

When all is full, first come first served would give the room to whoever sends most. So
a team's jobs beyond its weight, in jobs a second, wait behind those of teams that keep
to theirs. While there is room nobody waits.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["TeamShares"]

# A team may send so many seconds' worth of its share at once, as bursts last some
# seconds and a team does not know of the others.
BURST_S = 2.0


@dataclass(slots=True)
class _Bucket:
    left: float
    at: float


@dataclass(slots=True)
class TeamShares:
    """Counts the jobs of each team against its share, as token buckets."""

    _bucket_by_team: dict[str, _Bucket] = field(default_factory=dict)

    def is_beyond(self, team: str, weight: float, at: float) -> bool:
        """Count one job that came at ``at``; tell whether it is beyond the share.

        A team without a weight has no share to go beyond.
        """
        if weight <= 0:
            return False
        most = weight * BURST_S
        bucket = self._bucket_by_team.setdefault(team, _Bucket(most, at))
        bucket.left = min(most, bucket.left + max(0.0, at - bucket.at) * weight)
        bucket.at = max(bucket.at, at)
        if bucket.left < 1:
            return True
        bucket.left -= 1
        return False
