"""Ledgers of granted units: which holder may use how many units of which kind.

A *home* keeps a :class:`Ledger`; each *holder* keeps a :class:`Holding`. Both store
cumulative totals of granted and returned units, never differences, so lost, duplicated
and late messages are harmless: the larger total is the newer one. Totals are kept for
each *unit kind*, which is a team and a minion.

The home counts a unit as held from the moment it grants the unit until it learns that
the unit was returned, so it never counts too few. When a ledger moves to a new home,
each holder opens a new holding for the new epoch: it keeps the units it has, restarts
the totals, and ignores later notices of the old home.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from geraniumshore.internal.messages import (
    GrantNotice,
    QuarantinedUnits,
    UnitGrant,
    UnitReport,
)

__all__ = ["HolderAccount", "Holding", "UnitKind", "Ledger", "Quarantine"]


class UnitKind(NamedTuple):
    """A team and a minion; ``minion`` is empty for tokens of the team's limit."""

    team: str
    minion: str = ""


@dataclass(slots=True)
class UnitCounts:
    """Cumulative totals of one unit kind in an account; they only grow."""

    granted: int = 0
    seen: int = 0
    returned: int = 0

    @property
    def held(self) -> int:
        """Units that the holder has or that are on their way to it."""
        return self.granted - self.returned

    @property
    def in_flight(self) -> int:
        """Units granted that the holder has not yet confirmed."""
        return self.granted - self.seen


@dataclass(slots=True)
class HolderAccount:
    """A home's counts for one holder.

    ``active`` contains the unit kinds with units held or in flight, which are the only
    ones that decisions depend on. The others are kept for their cumulative totals.
    """

    holder_epoch: int
    sequence: int = -1
    counts_by_kind: dict[UnitKind, UnitCounts] = field(default_factory=dict)
    active: dict[UnitKind, UnitCounts] = field(default_factory=dict)

    def update(self, reports: Iterable[UnitReport]) -> bool:
        """Apply a report; return whether any total changed."""
        changed = False
        for report in reports:
            unit_kind = UnitKind(report.team, report.minion)
            counts = self.counts_by_kind.setdefault(unit_kind, UnitCounts())
            changed |= report.seen > counts.seen or report.returned > counts.returned
            counts.granted = max(counts.granted, report.seen)
            counts.seen = max(counts.seen, report.seen)
            counts.returned = max(counts.returned, report.returned)
            self._update_active(unit_kind, counts)
        return changed

    def grant(self, unit_kind: UnitKind, count: int) -> None:
        """Count units as granted."""
        counts = self.counts_by_kind.setdefault(unit_kind, UnitCounts())
        counts.granted += count
        self._update_active(unit_kind, counts)

    def held(self) -> int:
        """Return how many units of all kinds the holder has."""
        return sum(counts.held for counts in self.active.values())

    def _update_active(self, unit_kind: UnitKind, counts: UnitCounts) -> None:
        if counts.held or counts.in_flight:
            self.active[unit_kind] = counts
        else:
            self.active.pop(unit_kind, None)


@dataclass(frozen=True, slots=True)
class Quarantine:
    """Units that a departed holder may still use until ``until``.

    ``source`` names the holder whose complete report ends the quarantine early, if
    there is one.
    """

    unit_kind: UnitKind
    count: int
    until: float
    source: str = ""


@dataclass(slots=True)
class Ledger:
    """The home's side: an account for each holder, and quarantined units."""

    epoch: int
    by_holder: dict[str, HolderAccount] = field(default_factory=dict)
    quarantined: list[Quarantine] = field(default_factory=list)

    def open(self, holder: str, holder_epoch: int) -> HolderAccount:
        """Return the holder's account, creating an empty one if there is none."""
        account = self.by_holder.get(holder)
        if account is None:
            account = HolderAccount(holder_epoch)
            self.by_holder[holder] = account
        return account

    def grant(self, holder: str, unit_kind: UnitKind, count: int = 1) -> None:
        """Grant units to a holder. Raises KeyError for an unknown holder."""
        self.by_holder[holder].grant(unit_kind, count)

    def close(self, holder: str, until: float) -> None:
        """Close a departed holder's account and quarantine its units."""
        account = self.by_holder.pop(holder, None)
        if account is None:
            return
        for unit_kind, counts in account.active.items():
            self.quarantine(unit_kind, counts.held, until)

    def quarantine(
        self, unit_kind: UnitKind, count: int, until: float, source: str = ""
    ) -> None:
        """Count units as in use until ``until`` without charging them to a holder."""
        if count > 0:
            self.quarantined.append(Quarantine(unit_kind, count, until, source))

    def end_quarantine(self, source: str) -> None:
        """Free the units that were quarantined on behalf of ``source``."""
        self.quarantined = [q for q in self.quarantined if q.source != source]

    def expire(self, now: float) -> bool:
        """Free units whose quarantine is over; return whether there were any."""
        kept = [units for units in self.quarantined if units.until > now]
        freed = len(kept) != len(self.quarantined)
        self.quarantined = kept
        return freed

    def in_use(self) -> Iterator[tuple[UnitKind, int]]:
        """Yield the units in use by kind; a kind may occur more than once."""
        for account in self.by_holder.values():
            for unit_kind, counts in account.active.items():
                if counts.held:
                    yield unit_kind, counts.held
        for units in self.quarantined:
            yield units.unit_kind, units.count

    def total(self) -> int:
        """Return how many units of all kinds are in use."""
        return sum(count for _, count in self.in_use())

    def quarantined_units(self, now: float) -> tuple[QuarantinedUnits, ...]:
        """Return the quarantined units in the form used by a handover."""
        return tuple(
            QuarantinedUnits(
                q.unit_kind.team, q.unit_kind.minion, q.count, q.until - now
            )
            for q in self.quarantined
            if q.until > now
        )


@dataclass(slots=True)
class Holding:
    """The holder's side of an account.

    ``unconfirmed`` maps each unit kind whose totals the home may not have yet to the
    sequence number of the first report that contained them, or to None if there was
    none yet. ``changed_sequence`` is the newest report with a change, ``acknowledged``
    the newest that the home has confirmed.
    """

    epoch: int
    holder_epoch: int = 0
    counts_by_kind: dict[UnitKind, UnitCounts] = field(default_factory=dict)
    unconfirmed: dict[UnitKind, int | None] = field(default_factory=dict)
    changed_sequence: int = -1
    acknowledged: int = -1

    @property
    def is_idle(self) -> bool:
        """Whether nothing is held and the home has confirmed every change."""
        confirmed = not self.unconfirmed and self.acknowledged >= self.changed_sequence
        return confirmed and not any(c.held for c in self.counts_by_kind.values())

    @classmethod
    def opened(
        cls, epoch: int, held: Mapping[UnitKind, int], holder_epoch: int = 0
    ) -> Holding:
        """Open an account for a new epoch that starts with the units already held."""
        counts_by_kind = {
            unit_kind: UnitCounts(granted=count, seen=count)
            for unit_kind, count in held.items()
            if count > 0
        }
        return cls(epoch, holder_epoch, counts_by_kind, dict.fromkeys(counts_by_kind))

    def receive(self, notice: GrantNotice) -> Iterator[tuple[UnitKind, int]]:
        """Apply a notice and yield the newly granted units by kind.

        A notice of another epoch is ignored: its home is no longer, or not yet, the
        home of this ledger.
        """
        if (notice.epoch, notice.holder_epoch) != (self.epoch, self.holder_epoch):
            return
        self._confirm(notice.acknowledged)
        for grant in notice.lanes:
            unit_kind = UnitKind(grant.team, grant.minion)
            counts = self.counts_by_kind.setdefault(unit_kind, UnitCounts())
            fresh = grant.granted - counts.granted
            if fresh > 0:
                counts.granted = counts.seen = grant.granted
                self.unconfirmed[unit_kind] = None
                yield unit_kind, fresh

    def give_back(self, unit_kind: UnitKind, count: int = 1) -> None:
        """Return units to the home. Raises ValueError for more than are held."""
        counts = self.counts_by_kind.setdefault(unit_kind, UnitCounts())
        if count > counts.held:
            raise ValueError(
                f"cannot return {count} units, only {counts.held} are held"
            )
        counts.returned += count
        self.unconfirmed[unit_kind] = None

    def held(self) -> dict[UnitKind, int]:
        """Return the number of units held of each kind that has any."""
        return {
            unit_kind: c.held for unit_kind, c in self.counts_by_kind.items() if c.held
        }

    def held_of_kind(self, unit_kind: UnitKind) -> int:
        """Return how many units of one kind are held."""
        counts = self.counts_by_kind.get(unit_kind)
        return counts.held if counts is not None else 0

    def unit_reports(self, sequence: int) -> tuple[UnitReport, ...]:
        """Return the totals to include in report ``sequence``: all unconfirmed ones."""
        for unit_kind, first in self.unconfirmed.items():
            if first is None:
                self.unconfirmed[unit_kind] = sequence
        return tuple(
            UnitReport(
                unit_kind.team,
                unit_kind.minion,
                self.counts_by_kind[unit_kind].seen,
                self.counts_by_kind[unit_kind].returned,
            )
            for unit_kind in self.unconfirmed
        )

    def _confirm(self, acknowledged: int) -> None:
        self.acknowledged = max(self.acknowledged, acknowledged)
        known = [
            unit_kind
            for unit_kind, first in self.unconfirmed.items()
            if first is not None and first <= acknowledged
        ]
        for unit_kind in known:
            del self.unconfirmed[unit_kind]


def unconfirmed_grants(account: HolderAccount) -> tuple[UnitGrant, ...]:
    """Return the granted totals that the holder has not confirmed yet."""
    return tuple(
        UnitGrant(unit_kind.team, unit_kind.minion, counts.granted)
        for unit_kind, counts in account.active.items()
        if counts.in_flight
    )
