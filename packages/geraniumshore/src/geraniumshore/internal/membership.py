"""How a process becomes a member: with endorsements of most present members."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from geraniumshore.internal.messages import Endorsement, EndorseRequest
from geraniumshore.internal.records import Join, MemberInfo
from geraniumshore.internal.view import View, is_majority

__all__ = ["Membership"]

JOIN_RETRY_SECONDS = 0.5


@dataclass(slots=True)
class Membership:
    """One process's way into the view. ``new_id`` makes the ids of its records."""

    info: MemberInfo
    new_id: Callable[[], str]
    endorsers: set[str] = field(default_factory=set)
    endorsed_view: int = -1
    next_attempt: float = float("-inf")
    asked: bool = False

    def requests(self, view: View, now: float) -> Iterator[tuple[str, EndorseRequest]]:
        """Yield whom to ask for an endorsement of this process's join."""
        if self.info.member in view.members or now < self.next_attempt:
            return
        if self.endorsed_view != view.number:
            self.endorsers.clear()
            self.endorsed_view = view.number
        self.next_attempt = now + JOIN_RETRY_SECONDS
        self.asked = True
        for member in view.members:
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

    def join_record(self, view: View) -> Join | None:
        """Return the join to append once a majority has endorsed it, at most once."""
        if self.info.member in view.members or self.endorsed_view != view.number:
            return None
        enough = not view.members or is_majority(len(self.endorsers), view)
        if not (enough and self.asked):
            return None
        self.asked = False
        return Join(
            id=self.new_id(),
            view=view.number,
            info=self.info,
            endorsed_by=tuple(sorted(self.endorsers)),
        )

    @staticmethod
    def endorse(request: EndorseRequest, view: View, own: str) -> Endorsement | None:
        """Return this member's endorsement, or None where it cannot give one."""
        if request.view != view.number or own not in view.members:
            return None
        return Endorsement(request.change, request.member, request.view, own)
