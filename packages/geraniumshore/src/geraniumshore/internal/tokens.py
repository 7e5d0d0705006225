"""The holder's side of a team's limit: the tokens that a work home holds and uses.

A work home (the home of a service, or of a pool for jobs) runs a unit of a team's work
only with one of that team's tokens. It has a :class:`TokenAccount` with the home of
each team, and returns idle tokens after a short delay or when they are recalled.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass

from geraniumshore.internal.homes import LedgerKey, team_ledger
from geraniumshore.internal.ledger import Holding, UnitKind
from geraniumshore.internal.messages import Demand, GrantNotice, HolderReport
from geraniumshore.internal.repeats import Repeat
from geraniumshore.internal.timing import IDLE_TOKEN_SECONDS

__all__ = ["TeamTerms", "TokenAccount", "TokenHolder"]


@dataclass(frozen=True, slots=True)
class TeamTerms:
    """What a work home needs to know about a team.

    ``epoch`` is the epoch of the team's home, ``limit`` the upper limit in force.
    """

    share: float
    epoch: int
    limit: int


class TokenHolder(ABC):
    """A work home as seen by the homes of teams."""

    @abstractmethod
    def on_tokens(self, team: str, notice: GrantNotice, now: float) -> None:
        """Process a notice from a team's home."""

    @abstractmethod
    def token_reports(self, repeat: Repeat, now: float) -> Iterator[HolderReport]:
        """Yield reports to the teams' homes: changed ones and those to repeat.

        Implementations must yield nothing until all work that uses tokens is known.
        """


@dataclass(slots=True)
class TokenAccount:
    """A holder's account with the home of one team."""

    team: str
    holder: LedgerKey
    holding: Holding
    elsewhere: int = 0
    recall: bool = False
    exceeded: bool = False
    limit_seen: int | None = None
    changed: bool = True
    _sequence: int = 0
    _idle_since: float | None = None
    _reported_wanted: tuple[int, int] = (0, 0)

    @classmethod
    def opened(
        cls, team: str, holder: LedgerKey, holder_epoch: int, epoch: int, in_use: int
    ) -> TokenAccount:
        """Open an account with the team's home of ``epoch`` for the work in use."""
        held = {UnitKind(team): in_use}
        return cls(team, holder, Holding.opened(epoch, held, holder_epoch))

    def reopened(self, epoch: int, in_use: int) -> TokenAccount:
        """Return a new account with the next home of the same team."""
        holder_epoch = self.holding.holder_epoch
        account = self.opened(self.team, self.holder, holder_epoch, epoch, in_use)
        account.limit_seen = self.limit_seen
        account.exceeded = self.exceeded
        return account

    @property
    def held(self) -> int:
        """The number of tokens held, whether in use or idle."""
        return self.holding.held_of_kind(UnitKind(self.team))

    def may_start(self, in_use: int, limit: int) -> bool:
        """Return whether another unit of work may start in addition to ``in_use``.

        After the limit was lowered, nothing starts until the team's home has applied
        the new limit.
        """
        if self.exceeded or self.limit_seen is None or self.limit_seen > limit:
            return False
        return in_use < self.held

    def receive(self, notice: GrantNotice) -> bool:
        """Apply a notice of the team's home; return whether anything changed.

        A notice of another epoch is ignored.
        """
        account = (self.holding.epoch, self.holding.holder_epoch)
        if (notice.epoch, notice.holder_epoch) != account:
            return False
        before = self._terms()
        fresh = any(True for _ in self.holding.receive(notice))
        self.changed = self.changed or fresh
        self.elsewhere = notice.elsewhere
        self.recall = notice.recall
        self.exceeded = notice.exceeded
        self.limit_seen = notice.limit
        return fresh or self._terms() != before

    def _terms(self) -> tuple[int, bool, bool, int | None]:
        return self.elsewhere, self.recall, self.exceeded, self.limit_seen

    def return_idle(self, in_use: int, keep: int, now: float) -> None:
        """Return idle tokens: all if recalled, otherwise those beyond ``keep``.

        Without a recall they are returned only after ``IDLE_TOKEN_SECONDS``, since
        new work may need them in the meantime.
        """
        if self.recall or self.exceeded:
            keep = 0
        surplus = self.held - in_use - keep
        if surplus <= 0:
            self._idle_since = None
            return
        if self._idle_since is None:
            self._idle_since = now
        expired = now - self._idle_since >= IDLE_TOKEN_SECONDS
        if self.recall or self.exceeded or expired:
            self.holding.give_back(UnitKind(self.team), surplus)
            self.changed = True
            self._idle_since = None

    def report(
        self,
        wanted: int,
        complete: bool,
        repeat: Repeat,
        prefetch: int = 0,
        in_use: int = 0,
    ) -> HolderReport | None:
        """Return the report to the team's home, or None if none is due.

        ``wanted`` counts tokens needed beyond those held by work that could start
        immediately, and ``prefetch`` more to save time later; ``in_use`` counts running
        work. ``complete`` means that no work of an earlier home of the same ledger can
        be unknown here.
        """
        has_changes = self.changed or (wanted, prefetch) != self._reported_wanted
        idle = self.holding.is_idle and not (wanted or prefetch)
        if not has_changes and (
            repeat is Repeat.NOTHING or (repeat is Repeat.BUSY and idle)
        ):
            return None
        self.changed = False
        self._reported_wanted = (wanted, prefetch)
        self._sequence += 1
        if has_changes:
            self.holding.changed_sequence = self._sequence
        return HolderReport(
            ledger=team_ledger(self.team),
            epoch=self.holding.epoch,
            holder=self.holder,
            holder_epoch=self.holding.holder_epoch,
            sequence=self._sequence,
            lanes=self.holding.unit_reports(self._sequence),
            demand=tuple(
                Demand(self.team, immediate, count)
                for immediate, count in ((True, wanted), (False, prefetch))
                if count
            ),
            complete=complete,
            in_use=in_use,
        )
