"""How silent members are taken out of the view.

An endorsement of an eviction is a promise not to attest the target while the view
that it names stands. A majority of such promises leaves too few members to attest the
target, so its authority has ended ``AUTHORITY_SECONDS`` after the record at latest.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from geraniumshore.internal.homes import rank_members
from geraniumshore.internal.messages import Endorsement, EndorseRequest
from geraniumshore.internal.records import Evict
from geraniumshore.internal.view import View, is_majority

__all__ = ["Evictions"]

ATTEMPT_SECONDS = 0.5
# An append under way is given this long before the eviction is proposed again.
APPEND_SECONDS = 2.0
# Members propose one after another, so that mostly one of them appends.
STAGGER_SECONDS = 0.3


@dataclass(slots=True)
class Evictions:
    """One member's proposals and promises. ``new_id`` makes the ids of records."""

    own: str
    new_id: Callable[[], str]
    promised_view: dict[str, int] = field(default_factory=dict)
    _target: str = ""
    _view: int = -1
    _endorsers: set[str] = field(default_factory=set)
    _next_attempt: float = float("-inf")
    _attempts: int = 0

    def propose(
        self, view: View, silent: Sequence[str], longest: float, now: float
    ) -> Iterator[tuple[str, EndorseRequest]]:
        """Yield whom to ask to endorse the eviction of one of ``silent``.

        ``longest`` is for how many seconds beyond the limit they have been silent.
        """
        if not silent or self.own not in view.members:
            self._target = ""
            return
        if now < self._next_attempt and self._view == view.number:
            return
        if longest < self._turn(view, silent) * STAGGER_SECONDS:
            return
        self._begin_attempt(view, silent, now)
        for member in view.members:
            if member not in {self.own, self._target}:
                yield member, EndorseRequest("evict", self._target, view.number)

    def endorse(
        self, request: EndorseRequest, view: View, silent: Sequence[str]
    ) -> Endorsement | None:
        """Promise not to attest the target, where this member finds it silent too."""
        if request.view != view.number or self.own not in view.members:
            return None
        if request.member not in silent:
            return None
        self._promise(request.member, view)
        return Endorsement("evict", request.member, request.view, self.own)

    def on_endorsement(self, endorsement: Endorsement) -> None:
        """Count a promise."""
        if endorsement.change != "evict":
            return
        if (endorsement.member, endorsement.view) == (self._target, self._view):
            self._endorsers.add(endorsement.endorser)

    def record(self, view: View, gone: set[str], now: float) -> Evict | None:
        """Return the eviction to append once a majority has promised."""
        if not self._target or self._view != view.number:
            return None
        endorsers = (self._endorsers | gone) - {self._target}
        if not is_majority(len(endorsers & set(view.members)), view):
            return None
        target, self._target = self._target, ""
        self._next_attempt = now + APPEND_SECONDS
        return Evict(
            id=self.new_id(),
            view=view.number,
            member=target,
            endorsed_by=tuple(sorted(self._endorsers)),
            gone=tuple(sorted(gone - {target})),
        )

    def may_attest(self, member: str, view: View) -> bool:
        """Tell whether this member has made no promise against attesting another."""
        if not {member, self.own} <= set(view.members):
            return False
        return self.promised_view.get(member) != view.number

    def _turn(self, view: View, silent: Sequence[str]) -> int:
        live = set(view.members) - set(silent)
        return rank_members(f"evict {silent[0]}", live).index(self.own)

    def _begin_attempt(self, view: View, silent: Sequence[str], now: float) -> None:
        target = silent[self._attempts % len(silent)]
        if (target, view.number) != (self._target, self._view):
            self._endorsers = {self.own}
        self._target = target
        self._view = view.number
        self._attempts += 1
        self._next_attempt = now + ATTEMPT_SECONDS
        self._promise(target, view)

    def _promise(self, target: str, view: View) -> None:
        self.promised_view[target] = view.number
