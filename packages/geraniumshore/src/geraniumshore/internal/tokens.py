"""The holder's side of a team's limit: tokens that a home of work keeps and uses.

A home of work (a service's, or a pool's for jobs) runs a unit of a team's work only
with one of that team's tokens. It keeps a :class:`TokenAccount` for each team with
the team's home, and gives idle tokens back after a moment or on request.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from dataclasses import dataclass

from geraniumshore.internal.homes import LedgerKey, team_ledger
from geraniumshore.internal.ledger import Holding, Lane
from geraniumshore.internal.messages import Demand, GrantNotice, HolderReport
from geraniumshore.internal.repeats import Repeat
from geraniumshore.internal.timing import IDLE_TOKEN_SECONDS

__all__ = ["TeamTerms", "TokenAccount", "TokenHolder"]


@dataclass(frozen=True, slots=True)
class TeamTerms:
    """What a home of work needs to know of a team.

    ``epoch`` is that of the team's home, ``limit`` the upper limit now in force.
    """

    share: float
    epoch: int
    limit: int


class TokenHolder(ABC):
    """A home of work, as the homes of teams see it."""

    @abstractmethod
    def on_tokens(self, team: str, notice: GrantNotice, now: float) -> None:
        """Take in a notice of a team's home."""

    @abstractmethod
    def token_reports(self, repeat: Repeat, now: float) -> Iterator[HolderReport]:
        """Yield the accounts with the teams' homes: changed ones, and those to repeat.

        Nothing may be yielded before all of the work that uses tokens is known.
        """


@dataclass(slots=True)
class TokenAccount:
    """One holder's account with one team's home."""

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
    def sealed(
        cls, team: str, holder: LedgerKey, holder_epoch: int, epoch: int, in_use: int
    ) -> TokenAccount:
        """Open an account with the team's home of ``epoch`` that covers work in use."""
        held = {Lane(team): in_use}
        return cls(team, holder, Holding.sealed(epoch, held, holder_epoch))

    def resealed(self, epoch: int, in_use: int) -> TokenAccount:
        """Return the account with the next home of the same team."""
        holder_epoch = self.holding.holder_epoch
        account = self.sealed(self.team, self.holder, holder_epoch, epoch, in_use)
        account.limit_seen = self.limit_seen
        account.exceeded = self.exceeded
        return account

    @property
    def held(self) -> int:
        """Tokens in hand, in use or idle."""
        return self.holding.held_by(Lane(self.team))

    def may_start(self, in_use: int, limit: int) -> bool:
        """Tell whether one more unit of work may start, beyond ``in_use``.

        After a limit was lowered that waits until the team's home has counted by it.
        """
        if self.exceeded or self.limit_seen is None or self.limit_seen > limit:
            return False
        return in_use < self.held

    def receive(self, notice: GrantNotice) -> bool:
        """Take in a notice of the team's home; tell whether it said anything new.

        A notice of another epoch is dropped.
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
        """Give idle tokens back: all when asked to, else those beyond ``keep``.

        The latter only after a moment, in which other work may come for them.
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
            self.holding.give_back(Lane(self.team), surplus)
            self.changed = True
            self._idle_since = None

    def report(
        self,
        wanted: int,
        complete: bool,
        repeat: Repeat,
        ahead: int = 0,
        in_use: int = 0,
    ) -> HolderReport | None:
        """Return the account for the team's home, or None where nothing changed.

        ``wanted`` counts tokens wanted beyond those in hand by work that could start
        at once, and ``ahead`` more that would save time later; ``in_use`` counts work
        that runs. ``complete`` says that no work of an earlier home of the same ledger
        can be unknown here.
        """
        news = self.changed or (wanted, ahead) != self._reported_wanted
        idle = self.holding.settled and not (wanted or ahead)
        if not news and (repeat is Repeat.NOTHING or (repeat is Repeat.BUSY and idle)):
            return None
        self.changed = False
        self._reported_wanted = (wanted, ahead)
        self._sequence += 1
        if news:
            self.holding.news = self._sequence
        return HolderReport(
            ledger=team_ledger(self.team),
            epoch=self.holding.epoch,
            holder=self.holder,
            holder_epoch=self.holding.holder_epoch,
            sequence=self._sequence,
            lanes=self.holding.lane_reports(self._sequence),
            demand=tuple(
                Demand(self.team, at_once, count)
                for at_once, count in ((True, wanted), (False, ahead))
                if count
            ),
            complete=complete,
            in_use=in_use,
        )
