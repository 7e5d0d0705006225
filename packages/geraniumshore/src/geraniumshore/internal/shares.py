"""Policies that choose which team gets the next free slot."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = ["Candidate", "FirstComeFirstServed", "SharePolicy", "WeightedShares"]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A team with work that waits and a token to run it.

    ``in_use`` counts what the team has running in the whole fleet; ``waiting_since``
    is the monotonic time at which its oldest demand was first seen.
    """

    team: str
    share: float
    in_use: int
    urgent: bool
    waiting_since: float


class SharePolicy(ABC):
    """Chooses among teams that all have waiting work."""

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate that gets the slot. ``candidates`` is not empty."""


class WeightedShares(SharePolicy):
    """Weighted max-min: the lowest fleet-wide use over share goes first.

    Urgent work goes before other work; the name settles ties.
    """

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the team that is furthest below its share."""
        return min(
            candidates,
            key=lambda c: (not c.urgent, (c.in_use + 1) / c.share, c.team),
        )


class FirstComeFirstServed(SharePolicy):
    """The baseline that knows no teams: whoever waits longest goes first."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the team whose demand is oldest."""
        return min(candidates, key=lambda c: (c.waiting_since, c.team))
