"""The home of a service: grants the slots of its minions to teams by their shares.

Entry members report their demand and the slots they hold. The home obtains tokens of
each team's limit from the team's home and grants a slot only together with a token,
so an entry member needs a single answer before it starts a request.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from geraniumshore.internal.homes import Home, service_ledger
from geraniumshore.internal.ledger import Ledger, UnitKind, unconfirmed_grants
from geraniumshore.internal.messages import GrantNotice, Handover, HolderReport
from geraniumshore.internal.outliers import ejected_minions
from geraniumshore.internal.repeats import Repeat
from geraniumshore.internal.shares import Candidate, RecentUse, SharePolicy
from geraniumshore.internal.timing import quarantine_until
from geraniumshore.internal.tokens import TeamTerms, TokenAccount, TokenHolder

__all__ = ["ServiceHome"]

# Tokens requested beyond the slots that are free now, so that the next free slot can
# be granted without waiting for a token.
TOKEN_LOOKAHEAD = 2


@dataclass(slots=True)
class _HolderDemand:
    sequence: int = -1
    waiting: dict[tuple[str, bool], int] = field(default_factory=dict)
    since: dict[tuple[str, bool], float] = field(default_factory=dict)
    suspects: tuple[str, ...] = ()

    def update(self, report: HolderReport, now: float) -> bool:
        """Apply a report; return whether demand or suspects changed."""
        if report.sequence <= self.sequence:
            return False
        before = (self.suspects, self.waiting)
        self.sequence = report.sequence
        self.suspects = report.suspects
        self.waiting = {(d.team, d.urgent): d.waiting for d in report.demand}
        self.since = {key: self.since.get(key, now) for key in self.waiting}
        return before != (self.suspects, self.waiting)


@dataclass(slots=True)
class ServiceHome(TokenHolder):
    """Grants the slots of one service to entry members, team by team.

    Nothing is granted until every member has reported what it holds.
    """

    service: str
    home: Home
    policy: SharePolicy
    members: set[str]
    created_at: float
    run_limit: float = 30.0
    slots_by_minion: dict[str, int] = field(default_factory=dict)
    terms_by_team: dict[str, TeamTerms] = field(default_factory=dict)
    ledger: Ledger = field(init=False)
    unreported: set[str] = field(init=False)
    predecessor_work_until: float = field(init=False)
    departed_work_until: float = float("-inf")
    demand_by_holder: dict[str, _HolderDemand] = field(default_factory=dict)
    tokens_by_team: dict[str, TokenAccount] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)
    acknowledged_by_holder: dict[str, int] = field(default_factory=dict)
    recent_use: RecentUse = field(default_factory=RecentUse)
    grants: int = 0
    dirty: bool = True
    reports_due: bool = True
    last_grant_by_minion: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.ledger = Ledger(self.home.epoch)
        self.unreported = set(self.members)
        self.predecessor_work_until = float("-inf")
        if self.home.previous is not None:
            self.predecessor_work_until = quarantine_until(
                self.created_at, self.run_limit
            )

    @property
    def ready(self) -> bool:
        """Whether every member has reported what it holds."""
        return not self.unreported

    def complete(self, now: float) -> bool:
        """Return whether all work granted by earlier homes is known or has ended."""
        return now >= max(self.predecessor_work_until, self.departed_work_until)

    def configure(
        self,
        slots_by_minion: Mapping[str, int],
        terms_by_team: Mapping[str, TeamTerms],
        run_limit: float,
    ) -> None:
        """Set the slots of the usable minions, the teams' terms and the run limit."""
        self.slots_by_minion = dict(slots_by_minion)
        self.terms_by_team = dict(terms_by_team)
        self.run_limit = run_limit
        self.dirty = True
        self._open_token_accounts()

    def on_members(self, members: Iterable[str], now: float) -> None:
        """Update the members; quarantine the units of those that left the view."""
        current = set(members)
        for member in self.members - current:
            self.ledger.close(member, quarantine_until(now, self.run_limit))
            self.demand_by_holder.pop(member, None)
            if member in self.unreported:
                self.unreported.discard(member)
                self.departed_work_until = quarantine_until(now, self.run_limit)
        self.members = current
        self._open_token_accounts()

    def on_report(self, report: HolderReport, now: float) -> None:
        """Process an entry member's account and demand."""
        if report.epoch != self.home.epoch or report.holder not in self.members:
            return
        account = self.ledger.open(report.holder, report.holder_epoch)
        self.dirty |= account.update(report.lanes)
        demand = self.demand_by_holder.setdefault(report.holder, _HolderDemand())
        self.dirty |= demand.update(report, now)
        if report.holder in self.unreported:
            self.dirty = True
            self._apply_handover(report.handover, now)
            self.unreported.discard(report.holder)
            self._open_token_accounts()

    def on_tokens(self, team: str, notice: GrantNotice, now: float) -> None:
        """Process a grant of tokens from a team's home."""
        tokens = self.tokens_by_team.get(team)
        if tokens is not None:
            self.dirty |= tokens.receive(notice)

    def grant(self, now: float) -> None:
        """Grant free slots to waiting teams with tokens, in the policy's order."""
        self.dirty = False
        self.reports_due = True
        self.ledger.expire(now)
        if not self.ready:
            return
        use_by_minion, use_by_team = self._count_in_use()
        unmet = self._unmet_demand()
        self._update_recent_use(use_by_team, now)
        ejected = self._ejected()
        while True:
            minion = self._select_minion(use_by_minion, ejected)
            candidates = list(self._candidates(unmet, use_by_team))
            if minion is None or not candidates:
                break
            chosen = self.policy.choose(candidates, self.grants)
            holder = self._longest_waiting(unmet, chosen.team, chosen.urgent)
            self.ledger.grant(holder, UnitKind(chosen.team, minion))
            self.grants += 1
            self.last_grant_by_minion[minion] = self.grants
            self.changed.add(holder)
            use_by_minion[minion] += 1
            use_by_team[chosen.team] += 1
            unmet[holder, chosen.team, chosen.urgent] -= 1
        self._return_idle_tokens(use_by_minion, use_by_team, unmet, now)

    def notices(self, repeat: Repeat) -> Iterator[GrantNotice]:
        """Yield notices for changed accounts and for those that ``repeat`` covers."""
        due = {holder for holder in self.ledger.by_holder if self._due(holder, repeat)}
        holders = sorted(self.changed | due)
        self.changed.clear()
        for holder in holders:
            account = self.ledger.by_holder.get(holder)
            if account is not None:
                self.acknowledged_by_holder[holder] = self._acknowledged(holder)
                yield GrantNotice(
                    ledger=service_ledger(self.service),
                    epoch=self.home.epoch,
                    holder=holder,
                    holder_epoch=account.holder_epoch,
                    lanes=unconfirmed_grants(account),
                    acknowledged=self._acknowledged(holder),
                )

    def token_reports(self, repeat: Repeat, now: float) -> Iterator[HolderReport]:
        """Yield reports to the teams' homes: changed ones and those to repeat."""
        if not self.ready or not (repeat or self.reports_due):
            return
        self.reports_due = False
        use_by_minion, use_by_team = self._count_in_use()
        waiting_by_team = _by_team(self._unmet_demand())
        free = self._free_slots(use_by_minion)
        for team, tokens in self.tokens_by_team.items():
            waiting = waiting_by_team[team]
            idle = tokens.held - use_by_team[team]
            wanted = max(0, min(waiting, free) - idle)
            report = tokens.report(
                wanted,
                self.complete(now),
                repeat=repeat,
                prefetch=max(0, self._idle_tokens_to_keep(waiting, free) - idle)
                - wanted,
                in_use=use_by_team[team],
            )
            if report is not None:
                yield report

    def handover(self, now: float) -> Handover:
        """Return the state that the next home cannot get from the holders."""
        return Handover(
            epoch=self.home.epoch,
            ready=self.ready and self.complete(now),
            quarantined=self.ledger.quarantined_units(now),
        )

    def _update_recent_use(self, use_by_team: Mapping[str, int], now: float) -> None:
        use = {
            team: use_by_team.get(team, 0) + tokens.elsewhere
            for team, tokens in self.tokens_by_team.items()
        }
        self.recent_use.update(use, now)

    def _due(self, holder: str, repeat: Repeat) -> bool:
        if repeat is not Repeat.BUSY:
            return repeat is Repeat.ALL
        account = self.ledger.by_holder[holder]
        last_acknowledged = self.acknowledged_by_holder.get(holder, -1)
        return account.held() > 0 or last_acknowledged < self._acknowledged(holder)

    def _acknowledged(self, holder: str) -> int:
        demand = self.demand_by_holder.get(holder)
        return demand.sequence if demand is not None else -1

    def _apply_handover(self, handover: Handover | None, now: float) -> None:
        if handover is None:
            return
        for units in handover.quarantined:
            unit_kind = UnitKind(units.team, units.minion)
            self.ledger.quarantine(unit_kind, units.count, now + units.remaining)
        if handover.ready:
            self.predecessor_work_until = float("-inf")

    def _open_token_accounts(self) -> None:
        """Open an account with each team's home that is new or has moved."""
        if not self.ready:
            return
        use_by_team = self._count_in_use()[1]
        for team in set(self.tokens_by_team) - set(self.terms_by_team):
            del self.tokens_by_team[team]
        for team, terms in self.terms_by_team.items():
            tokens = self.tokens_by_team.get(team)
            if tokens is not None and tokens.holding.epoch != terms.epoch:
                self.tokens_by_team[team] = tokens.reopened(
                    terms.epoch, use_by_team[team]
                )
            elif tokens is None:
                self.tokens_by_team[team] = TokenAccount.opened(
                    team,
                    service_ledger(self.service),
                    self.home.epoch,
                    terms.epoch,
                    use_by_team[team],
                )

    def _count_in_use(self) -> tuple[Counter[str], Counter[str]]:
        use_by_minion: Counter[str] = Counter()
        use_by_team: Counter[str] = Counter()
        for unit_kind, count in self.ledger.in_use():
            use_by_minion[unit_kind.minion] += count
            use_by_team[unit_kind.team] += count
        return use_by_minion, use_by_team

    def _unmet_demand(self) -> Counter[tuple[str, str, bool]]:
        """Count waiting requests that grants already in flight will not start."""
        unmet: Counter[tuple[str, str, bool]] = Counter()
        for holder, demand in self.demand_by_holder.items():
            account = self.ledger.by_holder[holder]
            in_flight: Counter[str] = Counter()
            for unit_kind, counts in account.active.items():
                in_flight[unit_kind.team] += counts.in_flight
            for team, urgent in sorted(demand.waiting, key=lambda k: (k[0], not k[1])):
                waiting = demand.waiting[team, urgent]
                met = min(waiting, in_flight[team])
                in_flight[team] -= met
                unmet[holder, team, urgent] = waiting - met
        return unmet

    def _candidates(
        self,
        unmet: Mapping[tuple[str, str, bool], int],
        use_by_team: Counter[str],
    ) -> Iterator[Candidate]:
        for (holder, team, urgent), count in unmet.items():
            tokens = self.tokens_by_team.get(team)
            if count <= 0 or tokens is None:
                continue
            terms = self.terms_by_team[team]
            if not tokens.may_start(use_by_team[team], terms.limit):
                continue
            yield Candidate(
                team=team,
                share=terms.share,
                in_use=use_by_team[team] + tokens.elsewhere,
                urgent=urgent,
                waiting_since=self.demand_by_holder[holder].since[team, urgent],
                recent=self.recent_use.by_team.get(team, 0.0),
            )

    def _longest_waiting(
        self, unmet: Mapping[tuple[str, str, bool], int], team: str, urgent: bool
    ) -> str:
        holders = [
            holder
            for (holder, t, u), count in unmet.items()
            if (t, u) == (team, urgent) and count > 0
        ]
        return max(holders, key=lambda holder: (unmet[holder, team, urgent], holder))

    def _ejected(self) -> frozenset[str]:
        suspects = {
            holder: demand.suspects
            for holder, demand in self.demand_by_holder.items()
            if demand.suspects
        }
        return ejected_minions(self.slots_by_minion, suspects)

    def _select_minion(
        self, use_by_minion: Counter[str], ejected: frozenset[str]
    ) -> str | None:
        """Return the minion with the most free slots.

        Ties go to the least recently granted minion, so that a retry, which returns
        its slot first, is sent to another one.
        """
        free = {
            minion: slots - use_by_minion[minion]
            for minion, slots in self.slots_by_minion.items()
            if use_by_minion[minion] < slots and minion not in ejected
        }
        return max(
            free,
            key=lambda minion: (
                free[minion],
                -self.last_grant_by_minion.get(minion, 0),
                minion,
            ),
            default=None,
        )

    def _return_idle_tokens(
        self,
        use_by_minion: Counter[str],
        use_by_team: Counter[str],
        unmet: Mapping[tuple[str, str, bool], int],
        now: float,
    ) -> None:
        waiting = _by_team(unmet)
        free = self._free_slots(use_by_minion)
        for team, tokens in self.tokens_by_team.items():
            keep = self._idle_tokens_to_keep(waiting[team], free)
            tokens.return_idle(use_by_team[team], keep, now)
            # Idle tokens are returned after a delay, so a later tick must check again.
            self.dirty = self.dirty or tokens.held > use_by_team[team]

    def _idle_tokens_to_keep(self, waiting: int, free: int) -> int:
        """Return how many idle tokens of a team to keep for its waiting work."""
        return min(waiting, free + TOKEN_LOOKAHEAD) if self.slots_by_minion else 0

    def _free_slots(self, use_by_minion: Counter[str]) -> int:
        return sum(
            max(0, slots - use_by_minion[minion])
            for minion, slots in self.slots_by_minion.items()
        )


def _by_team(unmet: Mapping[tuple[str, str, bool], int]) -> Counter[str]:
    """Sum the waiting requests by team."""
    waiting: Counter[str] = Counter()
    for (_, team, _), count in unmet.items():
        waiting[team] += max(0, count)
    return waiting
