"""The home of a team: enforces the team's upper limit across the whole fleet.

Its holders are the homes of services and pools, named by their own ledgers. A holder
needs one token for each unit of the team's work that it runs. The home grants a token
only while all tokens in use, including quarantined ones, stay within the limit.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from geraniumshore.internal.homes import LedgerKey, team_ledger
from geraniumshore.internal.ledger import (
    HolderAccount,
    Ledger,
    UnitKind,
    unconfirmed_grants,
)
from geraniumshore.internal.messages import GrantNotice, HolderReport
from geraniumshore.internal.repeats import Repeat
from geraniumshore.internal.timing import quarantine_until

__all__ = ["TeamHome"]

# Source of the quarantine for units that no holder accounts for.
UNACCOUNTED = "unaccounted"


@dataclass(slots=True)
class TokenDemand:
    """Tokens that a holder requests: for work that can start now, and in advance."""

    immediate: int = 0
    prefetch: int = 0


@dataclass(slots=True)
class TeamHome:
    """Grants a team's tokens to the homes that run its work.

    Nothing is granted until every holder has reported what it holds.
    """

    team: str
    epoch: int
    limit: int
    run_limit: float
    epoch_by_holder: dict[LedgerKey, int]
    ledger: Ledger = field(init=False)
    unreported: set[str] = field(init=False)
    incomplete: set[str] = field(default_factory=set)
    startup_quarantine_done: bool = False
    unaccounted_until: float = float("-inf")
    demand_by_holder: dict[str, TokenDemand] = field(default_factory=dict)
    use_by_holder: dict[str, int] = field(default_factory=dict)
    recalled: set[str] = field(default_factory=set)
    exceeded: bool = False
    changed: set[str] = field(default_factory=set)
    acknowledged_by_holder: dict[str, int] = field(default_factory=dict)
    dirty: bool = True

    def __post_init__(self) -> None:
        self.ledger = Ledger(self.epoch)
        self.unreported = set(self.epoch_by_holder)

    @property
    def ready(self) -> bool:
        """Whether every holder has reported what it holds."""
        return not self.unreported

    def configure(
        self,
        limit: int,
        run_limit: float,
        epoch_by_holder: Mapping[LedgerKey, int],
        now: float,
    ) -> None:
        """Set the limit, the run limit and the holders with their epochs."""
        self.dirty = True
        if limit != self.limit:
            self._change_limit(limit, now)
        self.run_limit = run_limit
        for holder in set(self.epoch_by_holder) - set(epoch_by_holder):
            self.ledger.close(holder, quarantine_until(now, run_limit))
            self.demand_by_holder.pop(holder, None)
            self.use_by_holder.pop(holder, None)
            self.unreported.discard(holder)
        self.epoch_by_holder = dict(epoch_by_holder)

    def on_report(self, report: HolderReport, now: float) -> None:
        """Process a holder's account and demand."""
        holder = LedgerKey(report.holder)
        if report.epoch != self.epoch or holder not in self.epoch_by_holder:
            return
        account = self._account(report, now)
        if account is None:
            return
        self.dirty |= account.update(report.lanes)
        if report.sequence > account.sequence:
            account.sequence = report.sequence
            self._record_demand(holder, report)
        self._record_completeness(report)

    def grant(self, now: float) -> None:
        """Grant free tokens one by one, each to the holder with the fewest.

        Work that can start immediately is served before tokens requested in advance.
        """
        self.dirty = False
        self.ledger.expire(now)
        if not self.ready:
            return
        self._quarantine_at_startup(now)
        free = self.limit - self.ledger.total()
        immediate = {
            name: self._unmet_immediate(name) for name in self.demand_by_holder
        }
        free = self._grant_fewest_first(immediate, free)
        prefetch = {name: self._unmet(name) for name in self.demand_by_holder}
        self._grant_fewest_first(prefetch, free)
        self._update_recalls(free, immediate)

    def notices(self, repeat: Repeat) -> Iterator[GrantNotice]:
        """Yield notices for changed accounts and for those that ``repeat`` covers."""
        due = {holder for holder in self.ledger.by_holder if self._due(holder, repeat)}
        holders = sorted(self.changed | due)
        self.changed.clear()
        for holder in holders:
            account = self.ledger.by_holder.get(holder)
            if account is not None:
                self.acknowledged_by_holder[holder] = account.sequence
                yield self._notice(holder)

    def _due(self, holder: str, repeat: Repeat) -> bool:
        if repeat is not Repeat.BUSY:
            return repeat is Repeat.ALL
        account = self.ledger.by_holder[holder]
        last_acknowledged = self.acknowledged_by_holder.get(holder, -1)
        return account.held() > 0 or last_acknowledged < account.sequence

    def _change_limit(self, limit: int, now: float) -> None:
        if now < self.unaccounted_until:
            # Unaccounted units may number up to the old or the new limit, so a higher
            # limit adds the difference to the quarantine.
            self._quarantine_unaccounted(limit - self.limit)
        self.limit = limit
        self.changed.update(self.ledger.by_holder)

    def _grant_fewest_first(self, unmet: dict[str, int], free: int) -> int:
        """Grant up to ``free`` tokens for ``unmet`` demand; return the number left."""
        while free > 0 and any(count > 0 for count in unmet.values()):
            holder = min(
                (name for name, count in unmet.items() if count > 0),
                key=lambda name: (self.ledger.by_holder[name].held(), name),
            )
            self.ledger.grant(holder, UnitKind(self.team))
            self.changed.add(holder)
            unmet[holder] -= 1
            free -= 1
        return free

    def _account(self, report: HolderReport, now: float) -> HolderAccount | None:
        holder = LedgerKey(report.holder)
        account = self.ledger.by_holder.get(holder)
        if account is None:
            self.changed.add(holder)
            self.dirty = True
            return self.ledger.open(holder, report.holder_epoch)
        if report.holder_epoch < account.holder_epoch:
            return None
        if report.holder_epoch == account.holder_epoch:
            return account
        return self._replace_account(account, report, now)

    def _replace_account(
        self, old: HolderAccount, report: HolderReport, now: float
    ) -> HolderAccount:
        """Open an account for a holder whose home has moved.

        Units that the previous home held and the new one does not report are free,
        unless the new home may not know all of its predecessor's grants: then they
        are quarantined.
        """
        del self.ledger.by_holder[report.holder]
        self.changed.add(report.holder)
        self.dirty = True
        account = self.ledger.open(report.holder, report.holder_epoch)
        account.update(report.lanes)
        if not report.complete:
            missing = old.held() - account.held()
            until = quarantine_until(now, self.run_limit)
            self.ledger.quarantine(UnitKind(self.team), missing, until, report.holder)
        return account

    def _record_demand(self, holder: LedgerKey, report: HolderReport) -> None:
        demand = TokenDemand(
            immediate=sum(d.waiting for d in report.demand if d.urgent),
            prefetch=sum(d.waiting for d in report.demand if not d.urgent),
        )
        self.dirty |= demand != self.demand_by_holder.get(holder)
        self.use_by_holder[holder] = report.in_use
        self.demand_by_holder[holder] = demand

    def _record_completeness(self, report: HolderReport) -> None:
        if report.holder in self.unreported:
            self.dirty = True
            self.unreported.discard(report.holder)
        if report.complete:
            self.incomplete.discard(report.holder)
            self.ledger.end_quarantine(report.holder)
        elif not self.startup_quarantine_done:
            self.incomplete.add(report.holder)
        if self.startup_quarantine_done and not self.incomplete:
            self.unaccounted_until = float("-inf")
            self.ledger.end_quarantine(UNACCOUNTED)

    def _quarantine_at_startup(self, now: float) -> None:
        """Quarantine, once, what predecessors of incomplete holders may still use."""
        if self.startup_quarantine_done:
            return
        self.startup_quarantine_done = True
        if self.incomplete:
            self.unaccounted_until = quarantine_until(now, self.run_limit)
            self._quarantine_unaccounted(self.limit - self.ledger.total())

    def _quarantine_unaccounted(self, count: int) -> None:
        unit_kind = UnitKind(self.team)
        self.ledger.quarantine(unit_kind, count, self.unaccounted_until, UNACCOUNTED)

    def _update_recalls(self, free: int, immediate: Mapping[str, int]) -> None:
        """Recall idle tokens from holders while another holder lacks some."""
        lacking = {name for name, count in immediate.items() if count > 0 and free <= 0}
        recalled = {name for name in self.ledger.by_holder if lacking - {name}}
        self.changed |= recalled ^ (self.recalled & set(self.ledger.by_holder))
        self.recalled = recalled
        exceeded = self.ledger.total() > self.limit
        if exceeded != self.exceeded:
            self.exceeded = exceeded
            self.changed.update(self.ledger.by_holder)

    def _unmet_immediate(self, holder: str) -> int:
        return self._unmet(holder) - self.demand_by_holder[holder].prefetch

    def _unmet(self, holder: str) -> int:
        account = self.ledger.by_holder[holder]
        if account.holder_epoch != self.epoch_by_holder.get(LedgerKey(holder)):
            return 0
        in_flight = sum(counts.in_flight for counts in account.active.values())
        demand = self.demand_by_holder[holder]
        return demand.immediate + demand.prefetch - in_flight

    def _notice(self, holder: str) -> GrantNotice:
        account = self.ledger.by_holder[holder]
        return GrantNotice(
            ledger=team_ledger(self.team),
            epoch=self.epoch,
            holder=holder,
            holder_epoch=account.holder_epoch,
            lanes=unconfirmed_grants(account),
            acknowledged=account.sequence,
            recall=holder in self.recalled,
            elsewhere=sum(self.use_by_holder.values()) - self.use_by_holder[holder],
            limit=self.limit,
            exceeded=self.exceeded,
        )
