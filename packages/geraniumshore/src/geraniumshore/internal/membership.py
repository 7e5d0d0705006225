"""How a process becomes a member: with endorsements of most present members.

A process that listens on the host and peer address of a member has proved by its bind
that the member's process has ended. It takes that member's place, and stands in for it
when others ask for an endorsement: so a fleet whose every process was restarted heals
by itself.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from geraniumshore.internal.messages import Endorsement, EndorseRequest
from geraniumshore.internal.records import Join, MemberInfo
from geraniumshore.internal.view import View, is_majority, predecessor

__all__ = ["Membership"]

JOIN_RETRY_SECONDS = 0.5
# An append under way is given this long before another one is tried.
JOIN_APPEND_SECONDS = 2.0


@dataclass(slots=True)
class Membership:
    """One process's way into the view. ``new_id`` makes the ids of its records."""

    info: MemberInfo
    new_id: Callable[[], str]
    joined: bool = False
    endorsers: set[str] = field(default_factory=set)
    endorsed_view: int = -1
    next_attempt: float = float("-inf")
    asked: bool = False

    def follow(self, view: View) -> bool:
        """Take in the view; tell whether this process has lost its membership."""
        present = self.info.member in view.members
        lost = self.joined and not present
        self.joined = self.joined or present
        return lost

    def requests(
        self, view: View, gone: set[str], now: float
    ) -> Iterator[tuple[str, EndorseRequest]]:
        """Yield whom to ask for an endorsement of this process's join."""
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
        """Count a member's endorsement of the view that was asked about."""
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
        self.next_attempt = now + JOIN_APPEND_SECONDS
        return Join(
            id=self.new_id(),
            view=view.number,
            info=self.info,
            endorsed_by=tuple(sorted(self.endorsers)),
            replaces=replaced,
            gone=tuple(sorted(gone)),
        )

    def endorse(self, request: EndorseRequest, view: View) -> Endorsement | None:
        """Return an endorsement of another's join, or None where there can be none."""
        if request.view != view.number:
            return None
        own = self.info.member
        endorser = own if own in view.members else predecessor(view, self.info)
        if endorser is None:
            return None
        return Endorsement(request.change, request.member, request.view, endorser)
