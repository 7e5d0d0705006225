"""Eviction of unresponsive members from the view.

An endorsement of an eviction is a promise not to attest the target as long as the
named view is in force. After a majority of such promises, too few members are left to
attest the target, so its authority ends at most ``AUTHORITY_SECONDS`` after the record.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from geraniumshore.internal.homes import rank_members
from geraniumshore.internal.messages import Endorsement, EndorseRequest
from geraniumshore.internal.records import Evict
from geraniumshore.internal.view import View, is_majority

__all__ = ["Evictions"]

RETRY_SECONDS = 0.5
# Time for a pending append to appear before the eviction is proposed again.
APPEND_GRACE_SECONDS = 2.0
# Members propose in turn at this interval, so that usually only one of them appends.
STAGGER_SECONDS = 0.3


@dataclass(slots=True)
class Evictions:
    """One member's eviction proposals and promises. ``new_id`` makes record ids."""

    own: str
    new_id: Callable[[], str]
    promised_view: dict[str, int] = field(default_factory=dict)
    _target: str = ""
    _view: int = -1
    _endorsers: set[str] = field(default_factory=set)
    _next_attempt: float = float("-inf")
    _attempts: int = 0

    def propose(
        self,
        view: View,
        unresponsive: Sequence[str],
        overdue_seconds: float,
        now: float,
    ) -> Iterator[tuple[str, EndorseRequest]]:
        """Yield requests to endorse the eviction of one of ``unresponsive``.

        ``overdue_seconds`` is how far the longest unresponsive member is over the
        limit.
        """
        if not unresponsive or self.own not in view.members:
            self._target = ""
            return
        if now < self._next_attempt and self._view == view.number:
            return
        if overdue_seconds < self._stagger_rank(view, unresponsive) * STAGGER_SECONDS:
            return
        self._begin_attempt(view, unresponsive, now)
        for member in view.members:
            if member not in {self.own, self._target}:
                yield member, EndorseRequest("evict", self._target, view.number)

    def endorse(
        self, request: EndorseRequest, view: View, unresponsive: Sequence[str]
    ) -> Endorsement | None:
        """Endorse an eviction if the target is unresponsive for this member too."""
        if request.view != view.number or self.own not in view.members:
            return None
        if request.member not in unresponsive:
            return None
        self._promise(request.member, view)
        return Endorsement("evict", request.member, request.view, self.own)

    def on_endorsement(self, endorsement: Endorsement) -> None:
        """Record an endorsement of this member's current proposal."""
        if endorsement.change != "evict":
            return
        if (endorsement.member, endorsement.view) == (self._target, self._view):
            self._endorsers.add(endorsement.endorser)

    def record(self, view: View, gone: set[str], now: float) -> Evict | None:
        """Return the eviction to append once a majority has endorsed it."""
        if not self._target or self._view != view.number:
            return None
        endorsers = (self._endorsers | gone) - {self._target}
        if not is_majority(len(endorsers & set(view.members)), view):
            return None
        target, self._target = self._target, ""
        self._next_attempt = now + APPEND_GRACE_SECONDS
        return Evict(
            id=self.new_id(),
            view=view.number,
            member=target,
            endorsed_by=tuple(sorted(self._endorsers)),
            gone=tuple(sorted(gone - {target})),
        )

    def may_attest(self, member: str, view: View) -> bool:
        """Return whether this member is free to attest ``member``."""
        if not {member, self.own} <= set(view.members):
            return False
        return self.promised_view.get(member) != view.number

    def _stagger_rank(self, view: View, unresponsive: Sequence[str]) -> int:
        live = set(view.members) - set(unresponsive)
        return rank_members(f"evict {unresponsive[0]}", live).index(self.own)

    def _begin_attempt(
        self, view: View, unresponsive: Sequence[str], now: float
    ) -> None:
        target = unresponsive[self._attempts % len(unresponsive)]
        if (target, view.number) != (self._target, self._view):
            self._endorsers = {self.own}
        self._target = target
        self._view = view.number
        self._attempts += 1
        self._next_attempt = now + RETRY_SECONDS
        self._promise(target, view)

    def _promise(self, target: str, view: View) -> None:
        self.promised_view[target] = view.number
