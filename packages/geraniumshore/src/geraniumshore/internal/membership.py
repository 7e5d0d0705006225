"""Joining the view with endorsements by a majority of the present members.

A process that has bound the host and peer address of a member has thereby proved that
the member's process has ended. It replaces that member in the view, and until then
answers requests for endorsement in its place. A fleet in which every process was
restarted can therefore recover without an operator.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from geraniumshore.internal.messages import Endorsement, EndorseRequest
from geraniumshore.internal.records import Join, MemberInfo
from geraniumshore.internal.view import View, is_majority, predecessor

__all__ = ["Membership"]

JOIN_RETRY_SECONDS = 0.5
# Time for a pending append to appear before another one is tried.
JOIN_APPEND_GRACE_SECONDS = 2.0


@dataclass(slots=True)
class Membership:
    """The join of one process into the view. ``new_id`` makes the ids of records."""

    info: MemberInfo
    new_id: Callable[[], str]
    joined: bool = False
    endorsers: set[str] = field(default_factory=set)
    endorsed_view: int = -1
    next_attempt: float = float("-inf")
    asked: bool = False

    def follow(self, view: View) -> bool:
        """Process a new view; return whether this process has lost its membership."""
        present = self.info.member in view.members
        lost = self.joined and not present
        self.joined = self.joined or present
        return lost

    def requests(
        self, view: View, gone: set[str], now: float
    ) -> Iterator[tuple[str, EndorseRequest]]:
        """Yield requests to endorse the join of this process."""
        if self.joined:
            return
        if self.endorsed_view == view.number and now < self.next_attempt:
            return
        if self.endorsed_view != view.number:
            self.endorsers.clear()
            self.endorsed_view = view.number
        self.next_attempt = now + JOIN_RETRY_SECONDS
        self.asked = True
        for member in view.members:
            if member != predecessor(view, self.info) and member not in gone:
                yield (
                    member,
                    EndorseRequest("join", self.info.member, view.number, self.info),
                )

    def on_endorsement(self, endorsement: Endorsement) -> None:
        """Record an endorsement of this process's join into the requested view."""
        if endorsement.member != self.info.member or endorsement.change != "join":
            return
        if endorsement.view == self.endorsed_view:
            self.endorsers.add(endorsement.endorser)

    def join_record(self, view: View, gone: set[str], now: float) -> Join | None:
        """Return the join to append once a majority has endorsed it."""
        if self.joined or not self.asked or self.endorsed_view != view.number:
            return None
        replaced = predecessor(view, self.info)
        endorsers = (self.endorsers | gone | {replaced}) & set(view.members)
        if view.members and not is_majority(len(endorsers), view):
            return None
        self.asked = False
        self.next_attempt = now + JOIN_APPEND_GRACE_SECONDS
        return Join(
            id=self.new_id(),
            view=view.number,
            info=self.info,
            endorsed_by=tuple(sorted(self.endorsers)),
            replaces=replaced,
            gone=tuple(sorted(gone)),
        )

    def endorse(self, request: EndorseRequest, view: View) -> Endorsement | None:
        """Return an endorsement of a join, or None if it cannot be endorsed."""
        if request.view != view.number:
            return None
        own = self.info.member
        endorser = own if own in view.members else predecessor(view, self.info)
        if endorser is None:
            return None
        return Endorsement(request.change, request.member, request.view, endorser)
