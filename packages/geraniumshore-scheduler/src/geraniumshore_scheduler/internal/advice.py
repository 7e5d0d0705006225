"""Advice on which minions may run a step, for queues with an external policy."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from geraniumshore_scheduler.internal.minion_view import MinionView

__all__ = ["AdviceRegistry", "AdviceRequest", "StepKey"]

# An answer takes time for each minion that is asked about. This many minions have room
# for most steps.
MAX_MINIONS_PER_REQUEST = 30
# A ticket that expires sooner than this may have expired when it reaches the minion.
MIN_REMAINING_VALIDITY_S = 0.5


class StepKey(NamedTuple):
    """Identifies a step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}"


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request for advice on which of these minions may run a step."""

    step: StepKey
    incarnation_by_minion: dict[str, int]


@dataclass(frozen=True, slots=True)
class _Answer:
    ticket: str | None
    incarnation: int
    expires_at: float

    def is_valid(self, view: MinionView, now: float) -> bool:
        """Return whether the answer is valid for the minion's current incarnation."""
        return (
            self.incarnation == view.incarnation
            and self.expires_at > now + MIN_REMAINING_VALIDITY_S
        )


@dataclass(slots=True)
class AdviceRegistry:
    """The answers so far.

    A ticket is valid for one incarnation of a minion and for a limited time.
    """

    _answers: dict[StepKey, dict[str, _Answer]] = field(default_factory=dict)

    def request(
        self, step: StepKey, views: Iterable[MinionView], now: float
    ) -> AdviceRequest | None:
        """Return the next request, None if the answers for all minions are known.

        Minions with the most room are asked about first.
        """
        unknown = [view for view in views if self._answer(step, view, now) is None]
        if not unknown:
            return None
        unknown.sort(key=lambda view: (-view.free.cpu_milli, view.minion_id))
        asked = unknown[:MAX_MINIONS_PER_REQUEST]
        return AdviceRequest(
            step, {view.minion_id: view.incarnation or 0 for view in asked}
        )

    def insert(
        self,
        request: AdviceRequest,
        ticket_by_minion: Mapping[str, str],
        valid_s: float,
        asked_at: float,
    ) -> None:
        """Process an answer; minions without a ticket in it may not run the step."""
        answers = self._answers.setdefault(request.step, {})
        for minion_id, incarnation in request.incarnation_by_minion.items():
            ticket = ticket_by_minion.get(minion_id)
            expires_at = float("inf") if ticket is None else asked_at + valid_s
            answers[minion_id] = _Answer(ticket, incarnation, expires_at)

    def ticket(self, step: StepKey, view: MinionView, now: float) -> str | None:
        """Return a ticket that is valid for a start now, if there is one."""
        answer = self._answer(step, view, now)
        return None if answer is None else answer.ticket

    def drop_ticket(self, step: StepKey, minion_id: str) -> None:
        """Remove a ticket that a minion did not accept."""
        self._answers.get(step, {}).pop(minion_id, None)

    def forget_job(self, job_id: str) -> None:
        """Remove all answers for a job that has ended."""
        for step in [step for step in self._answers if step.job_id == job_id]:
            del self._answers[step]

    def eligible(
        self, step: StepKey, views: Iterable[MinionView], now: float
    ) -> Iterator[MinionView]:
        """Yield the minions with a valid ticket."""
        return (view for view in views if self.ticket(step, view, now) is not None)

    def _answer(self, step: StepKey, view: MinionView, now: float) -> _Answer | None:
        """Return the valid answer for a minion, None if advice has to be requested."""
        answer = self._answers.get(step, {}).get(view.minion_id)
        return answer if answer is not None and answer.is_valid(view, now) else None
