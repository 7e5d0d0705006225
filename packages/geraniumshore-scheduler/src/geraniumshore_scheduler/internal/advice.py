"""Advice on which minions may run a step, for queues whose policy is kept elsewhere."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from geraniumshore_scheduler.internal.minion_view import MinionView

__all__ = ["AdviceBook", "AdviceRequest", "StepKey"]

# Asking takes time for each minion named. So many minions hold most steps.
MOST_ASKED = 30
# A ticket that runs out sooner than this may be late at the minion.
LEAST_VALID_S = 0.5


class StepKey(NamedTuple):
    """Names a step of a job's occurrence."""

    job_id: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}"


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A question: which of these minions may run the step."""

    step: StepKey
    life_by_minion: dict[str, int]


@dataclass(frozen=True, slots=True)
class _Ticket:
    ticket: str | None
    life: int
    expires_at: float

    def holds(self, view: MinionView, now: float) -> bool:
        """Tell whether the answer still stands for the minion's present life."""
        return self.life == view.life and self.expires_at > now + LEAST_VALID_S


@dataclass(slots=True)
class AdviceBook:
    """The answers so far. A ticket holds for one life of a minion, for a while."""

    _tickets: dict[StepKey, dict[str, _Ticket]] = field(default_factory=dict)

    def request(
        self, step: StepKey, views: Iterable[MinionView], now: float
    ) -> AdviceRequest | None:
        """Return what to ask, minions with most room first; None if all is known."""
        unknown = [view for view in views if self._answer(step, view, now) is None]
        if not unknown:
            return None
        unknown.sort(key=lambda view: (-view.free.cpu_milli, view.minion_id))
        asked = unknown[:MOST_ASKED]
        return AdviceRequest(step, {view.minion_id: view.life or 0 for view in asked})

    def note(
        self,
        request: AdviceRequest,
        ticket_by_minion: Mapping[str, str],
        valid_s: float,
        asked_at: float,
    ) -> None:
        """Take in an answer; minions that it leaves out may not run the step."""
        tickets = self._tickets.setdefault(request.step, {})
        for minion_id, life in request.life_by_minion.items():
            ticket = ticket_by_minion.get(minion_id)
            expires_at = float("inf") if ticket is None else asked_at + valid_s
            tickets[minion_id] = _Ticket(ticket, life, expires_at)

    def ticket(self, step: StepKey, view: MinionView, now: float) -> str | None:
        """Return a ticket that is good for a start now."""
        answer = self._answer(step, view, now)
        return None if answer is None else answer.ticket

    def drop_ticket(self, step: StepKey, minion_id: str) -> None:
        """Forget a ticket that a minion did not accept."""
        self._tickets.get(step, {}).pop(minion_id, None)

    def forget_job(self, job_id: str) -> None:
        """Forget a job that has ended."""
        for step in [step for step in self._tickets if step.job_id == job_id]:
            del self._tickets[step]

    def eligible(
        self, step: StepKey, views: Iterable[MinionView], now: float
    ) -> Iterator[MinionView]:
        """Yield the minions with a good ticket."""
        return (view for view in views if self.ticket(step, view, now) is not None)

    def _answer(self, step: StepKey, view: MinionView, now: float) -> _Ticket | None:
        """Return what is known of a minion, None where it is to be asked."""
        answer = self._tickets.get(step, {}).get(view.minion_id)
        return answer if answer is not None and answer.holds(view, now) else None
