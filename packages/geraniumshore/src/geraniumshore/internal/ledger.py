"""Ledgers of conserved units: who may use how many of what.

A *home* keeps a :class:`Ledger`; each *holder* keeps a :class:`Holding`. Both count
what was granted and what was returned in all, never differences, so a message that
is lost, doubled or late does no harm: the larger count is the newer one. Units move
on *lanes*, one for each team and minion.

A unit is in the holder's hands from the moment that the home counts it as granted
until the home learns that it was returned. So the home never counts too few. When a
ledger moves to a new home, each holder *seals* its holding: it keeps what it has,
starts new counts for the new epoch, and drops whatever the old home still sends.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from geraniumshore.internal.messages import (
    GrantNotice,
    LaneGrant,
    LaneReport,
    QuarantinedUnits,
)

__all__ = ["HolderAccount", "Holding", "Lane", "Ledger", "Quarantine"]


class Lane(NamedTuple):
    """The kind of unit: a team's, on a minion (empty for a unit of a team's limit)."""

    team: str
    minion: str = ""


@dataclass(slots=True)
class LaneCounts:
    """Counts of one lane since the account began; they only grow."""

    granted: int = 0
    seen: int = 0
    returned: int = 0

    @property
    def held(self) -> int:
        """Units that the holder has or may be about to receive."""
        return self.granted - self.returned

    @property
    def in_flight(self) -> int:
        """Units granted that the holder has not yet confirmed."""
        return self.granted - self.seen


@dataclass(slots=True)
class HolderAccount:
    """A home's counts for one holder.

    ``active`` has the lanes with units held or on their way: all that the home's
    decisions look at. The others are kept for their counts alone.
    """

    holder_epoch: int
    sequence: int = -1
    by_lane: dict[Lane, LaneCounts] = field(default_factory=dict)
    active: dict[Lane, LaneCounts] = field(default_factory=dict)

    def update(self, lanes: Iterable[LaneReport]) -> bool:
        """Take in a report; tell whether it said anything new."""
        changed = False
        for report in lanes:
            lane = Lane(report.team, report.minion)
            counts = self.by_lane.setdefault(lane, LaneCounts())
            changed |= report.seen > counts.seen or report.returned > counts.returned
            counts.granted = max(counts.granted, report.seen)
            counts.seen = max(counts.seen, report.seen)
            counts.returned = max(counts.returned, report.returned)
            self._note_active(lane, counts)
        return changed

    def grant(self, lane: Lane, count: int) -> None:
        """Count units as granted."""
        counts = self.by_lane.setdefault(lane, LaneCounts())
        counts.granted += count
        self._note_active(lane, counts)

    def held(self) -> int:
        """Return how many units the holder has on all lanes."""
        return sum(counts.held for counts in self.active.values())

    def _note_active(self, lane: Lane, counts: LaneCounts) -> None:
        if counts.held or counts.in_flight:
            self.active[lane] = counts
        else:
            self.active.pop(lane, None)


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Units that a departed holder may still use until ``until``.

    ``source`` names the holder that will know better before, if there is one.
    """

    lane: Lane
    count: int
    until: float
    source: str = ""


@dataclass(slots=True)
class Ledger:
    """The home's side: accounts by holder, and what departed holders may still use."""

    epoch: int
    by_holder: dict[str, HolderAccount] = field(default_factory=dict)
    quarantined: list[Quarantine] = field(default_factory=list)

    def open(self, holder: str, holder_epoch: int) -> HolderAccount:
        """Return the holder's account, opened empty where it is new."""
        account = self.by_holder.get(holder)
        if account is None:
            account = HolderAccount(holder_epoch)
            self.by_holder[holder] = account
        return account

    def grant(self, holder: str, lane: Lane, count: int = 1) -> None:
        """Count units as the holder's. Raises KeyError for an unknown holder."""
        self.by_holder[holder].grant(lane, count)

    def close(self, holder: str, until: float) -> None:
        """Quarantine all that a departed holder has."""
        account = self.by_holder.pop(holder, None)
        if account is None:
            return
        for lane, counts in account.active.items():
            self.quarantine(lane, counts.held, until)

    def quarantine(
        self, lane: Lane, count: int, until: float, source: str = ""
    ) -> None:
        """Count units as in use until ``until``, on nobody's account."""
        if count > 0:
            self.quarantined.append(Quarantine(lane, count, until, source))

    def lift(self, source: str) -> None:
        """Free what was quarantined until ``source`` would know better."""
        self.quarantined = [q for q in self.quarantined if q.source != source]

    def expire(self, now: float) -> bool:
        """Free quarantined units whose time is over; tell whether there were any."""
        kept = [units for units in self.quarantined if units.until > now]
        freed = len(kept) != len(self.quarantined)
        self.quarantined = kept
        return freed

    def in_use(self) -> Iterator[tuple[Lane, int]]:
        """Yield the units in use, lane by lane; a lane may come more than once."""
        for account in self.by_holder.values():
            for lane, counts in account.active.items():
                if counts.held:
                    yield lane, counts.held
        for units in self.quarantined:
            yield units.lane, units.count

    def total(self) -> int:
        """Return how many units are in use on all lanes."""
        return sum(count for _, count in self.in_use())

    def quarantined_units(self, now: float) -> tuple[QuarantinedUnits, ...]:
        """Return the quarantined units in the form in which they are handed over."""
        return tuple(
            QuarantinedUnits(q.lane.team, q.lane.minion, q.count, q.until - now)
            for q in self.quarantined
            if q.until > now
        )


@dataclass(slots=True)
class Holding:
    """The holder's side of an account.

    ``unconfirmed`` names the lanes that the home may not know in their present form,
    each with the first report that gave it, or None before there is one. ``news`` is
    the newest report that said anything new, ``acknowledged`` the newest that the home
    has confirmed.
    """

    epoch: int
    holder_epoch: int = 0
    by_lane: dict[Lane, LaneCounts] = field(default_factory=dict)
    unconfirmed: dict[Lane, int | None] = field(default_factory=dict)
    news: int = -1
    acknowledged: int = -1

    @property
    def settled(self) -> bool:
        """Tell whether nothing is held and the home is known to know all."""
        confirmed = not self.unconfirmed and self.acknowledged >= self.news
        return confirmed and not any(c.held for c in self.by_lane.values())

    @classmethod
    def sealed(
        cls, epoch: int, held: Mapping[Lane, int], holder_epoch: int = 0
    ) -> Holding:
        """Begin a new account that takes over what is held already."""
        by_lane = {
            lane: LaneCounts(granted=count, seen=count)
            for lane, count in held.items()
            if count > 0
        }
        return cls(epoch, holder_epoch, by_lane, dict.fromkeys(by_lane))

    def receive(self, notice: GrantNotice) -> Iterator[tuple[Lane, int]]:
        """Take in a grant and yield the units that are new, lane by lane.

        A notice of another epoch yields nothing: its home no longer decides, or
        does not yet.
        """
        if (notice.epoch, notice.holder_epoch) != (self.epoch, self.holder_epoch):
            return
        self._confirm(notice.acknowledged)
        for grant in notice.lanes:
            lane = Lane(grant.team, grant.minion)
            counts = self.by_lane.setdefault(lane, LaneCounts())
            fresh = grant.granted - counts.granted
            if fresh > 0:
                counts.granted = counts.seen = grant.granted
                self.unconfirmed[lane] = None
                yield lane, fresh

    def give_back(self, lane: Lane, count: int = 1) -> None:
        """Return units. Raises ValueError for more than are held."""
        counts = self.by_lane.setdefault(lane, LaneCounts())
        if count > counts.held:
            raise ValueError(f"got {count} units to return, want at most {counts.held}")
        counts.returned += count
        self.unconfirmed[lane] = None

    def held(self) -> dict[Lane, int]:
        """Return the units in hand by lane, without empty lanes."""
        return {lane: c.held for lane, c in self.by_lane.items() if c.held}

    def held_by(self, lane: Lane) -> int:
        """Return the units in hand on one lane."""
        counts = self.by_lane.get(lane)
        return counts.held if counts is not None else 0

    def lane_reports(self, sequence: int) -> tuple[LaneReport, ...]:
        """Return the lanes that the home may not know, for the report ``sequence``."""
        for lane, first in self.unconfirmed.items():
            if first is None:
                self.unconfirmed[lane] = sequence
        return tuple(
            LaneReport(
                lane.team,
                lane.minion,
                self.by_lane[lane].seen,
                self.by_lane[lane].returned,
            )
            for lane in self.unconfirmed
        )

    def _confirm(self, acknowledged: int) -> None:
        self.acknowledged = max(self.acknowledged, acknowledged)
        known = [
            lane
            for lane, first in self.unconfirmed.items()
            if first is not None and first <= acknowledged
        ]
        for lane in known:
            del self.unconfirmed[lane]


def lane_grants(account: HolderAccount) -> tuple[LaneGrant, ...]:
    """Return the counts of the lanes that the holder has not confirmed."""
    return tuple(
        LaneGrant(lane.team, lane.minion, counts.granted)
        for lane, counts in account.active.items()
        if counts.in_flight
    )
