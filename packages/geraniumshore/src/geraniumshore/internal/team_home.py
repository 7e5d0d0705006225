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
from geraniumshore.internal.repeats import Repeat
from geraniumshore.internal.timing import quarantine_until

__all__ = ["TeamHome"]

# Names the quarantine of all that no holder accounts for.
UNACCOUNTED = "unaccounted"


@dataclass(slots=True)
class Wanted:
    """Tokens that a holder asks for: to start work at once, and ahead of need."""

    at_once: int = 0
    ahead: int = 0


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
    incomplete: set[str] = field(default_factory=set)
    settled: bool = False
    unaccounted_until: float = float("-inf")
    wanted_by_holder: dict[str, Wanted] = field(default_factory=dict)
    use_by_holder: dict[str, int] = field(default_factory=dict)
    recalled: set[str] = field(default_factory=set)
    exceeded: bool = False
    changed: set[str] = field(default_factory=set)
    notified_by_holder: dict[str, int] = field(default_factory=dict)
    dirty: bool = True

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
        self.dirty = True
        if limit != self.limit:
            self._change_limit(limit, now)
        self.run_limit = run_limit
        for holder in set(self.epoch_by_holder) - set(epoch_by_holder):
            self.ledger.close(holder, quarantine_until(now, run_limit))
            self.wanted_by_holder.pop(holder, None)
            self.use_by_holder.pop(holder, None)
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
        self.dirty |= account.update(report.lanes)
        if report.sequence > account.sequence:
            account.sequence = report.sequence
            self._note_demand(holder, report)
        self._note_complete(report)

    def grant(self, now: float) -> None:
        """Grant free tokens, one at a time to the holder that holds fewest.

        Work that could start at once comes before tokens asked for ahead of need.
        """
        self.dirty = False
        self.ledger.expire(now)
        if not self.ready:
            return
        self._settle(now)
        free = self.limit - self.ledger.total()
        at_once = {name: self._unmet_at_once(name) for name in self.wanted_by_holder}
        free = self._grant_fewest_first(at_once, free)
        ahead = {name: self._unmet(name) for name in self.wanted_by_holder}
        self._grant_fewest_first(ahead, free)
        self._note_pressure(free, at_once)

    def notices(self, repeat: Repeat) -> Iterator[GrantNotice]:
        """Yield what the holders should hear: changed accounts, and some again."""
        due = {holder for holder in self.ledger.by_holder if self._due(holder, repeat)}
        holders = sorted(self.changed | due)
        self.changed.clear()
        for holder in holders:
            account = self.ledger.by_holder.get(holder)
            if account is not None:
                self.notified_by_holder[holder] = account.sequence
                yield self._notice(holder)

    def _due(self, holder: str, repeat: Repeat) -> bool:
        if repeat is not Repeat.BUSY:
            return repeat is Repeat.ALL
        account = self.ledger.by_holder[holder]
        told = self.notified_by_holder.get(holder, -1)
        return account.held() > 0 or told < account.sequence

    def _change_limit(self, limit: int, now: float) -> None:
        if now < self.unaccounted_until:
            # What is unaccounted for may be as much as the limit, old or new.
            self._quarantine_unaccounted(limit - self.limit)
        self.limit = limit
        self.changed.update(self.ledger.by_holder)

    def _grant_fewest_first(self, unmet: dict[str, int], free: int) -> int:
        """Grant up to ``free`` tokens for ``unmet`` wants; return how many are left."""
        while free > 0 and any(count > 0 for count in unmet.values()):
            holder = min(
                (name for name, count in unmet.items() if count > 0),
                key=lambda name: (self.ledger.by_holder[name].held(), name),
            )
            self.ledger.grant(holder, Lane(self.team))
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
        """Open the account of a holder's next home.

        What the last one held and this one does not is free, unless this one may not
        know all of its predecessor's grants: then it is quarantined.
        """
        del self.ledger.by_holder[report.holder]
        self.changed.add(report.holder)
        self.dirty = True
        account = self.ledger.open(report.holder, report.holder_epoch)
        account.update(report.lanes)
        if not report.complete:
            missing = old.held() - account.held()
            until = quarantine_until(now, self.run_limit)
            self.ledger.quarantine(Lane(self.team), missing, until, report.holder)
        return account

    def _note_demand(self, holder: LedgerKey, report: HolderReport) -> None:
        wanted = Wanted(
            at_once=sum(d.waiting for d in report.demand if d.urgent),
            ahead=sum(d.waiting for d in report.demand if not d.urgent),
        )
        self.dirty |= wanted != self.wanted_by_holder.get(holder)
        self.use_by_holder[holder] = report.in_use
        self.wanted_by_holder[holder] = wanted

    def _note_complete(self, report: HolderReport) -> None:
        if report.holder in self.unreported:
            self.dirty = True
            self.unreported.discard(report.holder)
        if report.complete:
            self.incomplete.discard(report.holder)
            self.ledger.lift(report.holder)
        elif not self.settled:
            self.incomplete.add(report.holder)
        if self.settled and not self.incomplete:
            self.unaccounted_until = float("-inf")
            self.ledger.lift(UNACCOUNTED)

    def _settle(self, now: float) -> None:
        """Set aside, once, what a holder's predecessor may have had unaccounted."""
        if self.settled:
            return
        self.settled = True
        if self.incomplete:
            self.unaccounted_until = quarantine_until(now, self.run_limit)
            self._quarantine_unaccounted(self.limit - self.ledger.total())

    def _quarantine_unaccounted(self, count: int) -> None:
        lane = Lane(self.team)
        self.ledger.quarantine(lane, count, self.unaccounted_until, UNACCOUNTED)

    def _note_pressure(self, free: int, at_once: Mapping[str, int]) -> None:
        """Ask for idle tokens back wherever another holder lacks some."""
        lacking = {name for name, count in at_once.items() if count > 0 and free <= 0}
        recalled = {name for name in self.ledger.by_holder if lacking - {name}}
        self.changed |= recalled ^ (self.recalled & set(self.ledger.by_holder))
        self.recalled = recalled
        exceeded = self.ledger.total() > self.limit
        if exceeded != self.exceeded:
            self.exceeded = exceeded
            self.changed.update(self.ledger.by_holder)

    def _unmet_at_once(self, holder: str) -> int:
        return self._unmet(holder) - self.wanted_by_holder[holder].ahead

    def _unmet(self, holder: str) -> int:
        account = self.ledger.by_holder[holder]
        if account.holder_epoch != self.epoch_by_holder.get(LedgerKey(holder)):
            return 0
        in_flight = sum(counts.in_flight for counts in account.active.values())
        wanted = self.wanted_by_holder[holder]
        return wanted.at_once + wanted.ahead - in_flight

    def _notice(self, holder: str) -> GrantNotice:
        account = self.ledger.by_holder[holder]
        return GrantNotice(
            ledger=team_ledger(self.team),
            epoch=self.epoch,
            holder=holder,
            holder_epoch=account.holder_epoch,
            lanes=lane_grants(account),
            acknowledged=account.sequence,
            recall=holder in self.recalled,
            elsewhere=sum(self.use_by_holder.values()) - self.use_by_holder[holder],
            limit=self.limit,
            exceeded=self.exceeded,
        )
