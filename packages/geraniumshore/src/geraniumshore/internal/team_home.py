"""The home of a team: keeps the team's upper limit across the whole fleet.

Its holders are the homes of services and of pools, named by their own ledgers. Each
asks for tokens; a unit of work runs only with one. The home grants a token only while
all tokens in use, quarantined ones included, stay within the limit.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from geraniumshore.internal.homes import LedgerKey, team_ledger
from geraniumshore.internal.ledger import HolderAccount, Lane, Ledger, lane_grants
from geraniumshore.internal.messages import GrantNotice, HolderReport
from geraniumshore.internal.timing import quarantine_until

__all__ = ["TeamHome"]


@dataclass(slots=True)
class TeamHome:
    """Decides which holder gets how many of a team's tokens."""

    team: str
    epoch: int
    limit: int
    run_limit: float
    epoch_by_holder: dict[LedgerKey, int]
    ledger: Ledger = field(init=False)
    unreported: set[str] = field(init=False)
    incomplete: bool = False
    wanted_by_holder: dict[str, int] = field(default_factory=dict)
    recalled: set[str] = field(default_factory=set)
    changed: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.ledger = Ledger(self.epoch)
        self.unreported = set(self.epoch_by_holder)

    @property
    def ready(self) -> bool:
        """Tell whether every holder has reported what it holds."""
        return not self.unreported

    def configure(
        self,
        limit: int,
        run_limit: float,
        epoch_by_holder: Mapping[LedgerKey, int],
        now: float,
    ) -> None:
        """Take in a changed limit, run limit, or set of holders."""
        self.limit = limit
        self.run_limit = run_limit
        for holder in set(self.epoch_by_holder) - set(epoch_by_holder):
            self.ledger.close(holder, quarantine_until(now, run_limit))
            self.wanted_by_holder.pop(holder, None)
            self.unreported.discard(holder)
        self.epoch_by_holder = dict(epoch_by_holder)

    def on_report(self, report: HolderReport, now: float) -> None:
        """Take in the account of a holder."""
        holder = LedgerKey(report.holder)
        if report.epoch != self.epoch or holder not in self.epoch_by_holder:
            return
        account = self._account(report, now)
        if account is None:
            return
        account.update(report.lanes)
        if report.sequence > account.sequence:
            account.sequence = report.sequence
            wanted = sum(demand.waiting for demand in report.demand)
            self.wanted_by_holder[holder] = wanted
        self._note_reported(report, now)

    def grant(self, now: float) -> None:
        """Grant free tokens, one at a time to the holder that holds fewest."""
        self.ledger.expire(now)
        if not self.ready:
            return
        free = self.limit - self.ledger.total()
        unmet = {holder: self._unmet(holder) for holder in self.wanted_by_holder}
        while free > 0 and any(count > 0 for count in unmet.values()):
            holder = min(
                (name for name, count in unmet.items() if count > 0),
                key=lambda name: (self.ledger.by_holder[name].held(), name),
            )
            self.ledger.grant(holder, Lane(self.team))
            self.changed.add(holder)
            unmet[holder] -= 1
            free -= 1
        self._update_recalls(free, unmet)

    def notices(self, everyone: bool) -> Iterator[GrantNotice]:
        """Yield what the holders should hear, changed accounts or all."""
        holders = list(self.ledger.by_holder) if everyone else sorted(self.changed)
        self.changed.clear()
        for holder in holders:
            yield self._notice(holder)

    def _account(self, report: HolderReport, now: float) -> HolderAccount | None:
        holder = LedgerKey(report.holder)
        account = self.ledger.by_holder.get(holder)
        if account is None:
            return self.ledger.open(holder, report.holder_epoch)
        if report.holder_epoch < account.holder_epoch:
            return None
        if report.holder_epoch == account.holder_epoch:
            return account
        return self._replace_account(account, report, now)

    def _replace_account(
        self, old: HolderAccount, report: HolderReport, now: float
    ) -> HolderAccount:
        """Open the account of a holder's next home.

        What the last one held and this one does not is free, unless this one may not
        know all of its predecessor's grants: then it is quarantined.
        """
        del self.ledger.by_holder[report.holder]
        account = self.ledger.open(report.holder, report.holder_epoch)
        account.update(report.lanes)
        if not report.complete:
            missing = old.held() - account.held()
            until = quarantine_until(now, self.run_limit)
            self.ledger.quarantine(Lane(self.team), missing, until)
        return account

    def _note_reported(self, report: HolderReport, now: float) -> None:
        if report.holder not in self.unreported:
            return
        self.unreported.discard(report.holder)
        self.incomplete = self.incomplete or not report.complete
        if self.ready and self.incomplete:
            # A holder's predecessor may have had any part of what is not accounted.
            missing = self.limit - self.ledger.total()
            until = quarantine_until(now, self.run_limit)
            self.ledger.quarantine(Lane(self.team), missing, until)

    def _update_recalls(self, free: int, unmet: Mapping[str, int]) -> None:
        """Ask for idle tokens back wherever another holder lacks some."""
        lacking = {name for name, count in unmet.items() if count > 0 and free <= 0}
        recalled = {name for name in self.ledger.by_holder if lacking - {name}}
        self.changed |= recalled ^ (self.recalled & set(self.ledger.by_holder))
        self.recalled = recalled

    def _unmet(self, holder: str) -> int:
        account = self.ledger.by_holder[holder]
        if account.holder_epoch != self.epoch_by_holder.get(LedgerKey(holder)):
            return 0
        in_flight = sum(counts.in_flight for counts in account.by_lane.values())
        return self.wanted_by_holder.get(holder, 0) - in_flight

    def _notice(self, holder: str) -> GrantNotice:
        account = self.ledger.by_holder[holder]
        return GrantNotice(
            ledger=team_ledger(self.team),
            epoch=self.epoch,
            holder=holder,
            holder_epoch=account.holder_epoch,
            lanes=lane_grants(account),
            recall=holder in self.recalled,
            elsewhere=self.ledger.total() - account.held(),
        )
