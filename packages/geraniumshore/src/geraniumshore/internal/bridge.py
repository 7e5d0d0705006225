"""Bridging a gap in the log that was left by records that expired unread.

An append may take effect although its reply is lost, and then expire during an outage
of the log before any member reads it. No member can continue folding after that. A
majority that is stuck at the same gap agrees to skip the lost records. No accepted
record can be among them, because a majority would have folded it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from result import Err

from geraniumshore.internal.fold import ControlState, start_new_home_epochs
from geraniumshore.internal.messages import Endorsement, EndorseRequest
from geraniumshore.internal.records import SnapshotPart
from geraniumshore.internal.snapshot import (
    CatchUp,
    WholeSnapshot,
    decode_state,
    snapshot_parts,
)
from geraniumshore.internal.view import is_majority

__all__ = ["Bridging", "bridged_state", "diverges"]

# During this time a peer or a snapshot in the log may still close the gap.
GAP_WAIT_SECONDS = 5.0
RETRY_SECONDS = 1.0
APPEND_GRACE_SECONDS = 5.0
# A bridge raises the view number beyond any that the lost records may have created.
VIEW_NUMBER_STEP = 1_000_000


def bridged_state(whole: WholeSnapshot, state: ControlState) -> ControlState | None:
    """Return the state that replaces ``state``, or None if the bridge is not valid."""
    decoded = decode_state(whole.document)
    if isinstance(decoded, Err) or whole.bridges is None:
        return None
    bridged = decoded.ok_value
    endorsers = set(whole.endorsed_by) & set(bridged.view.members)
    if not is_majority(len(endorsers), bridged.view):
        return None
    if bridged.position < state.position:
        return None
    bridged.position = whole.bridges
    bridged.view = replace(bridged.view, number=bridged.view.number + VIEW_NUMBER_STEP)
    start_new_home_epochs(bridged)
    return bridged


def diverges(whole: WholeSnapshot, state: ControlState) -> bool:
    """Return whether ``state`` includes records that a bridge has skipped."""
    if whole.bridges is None:
        return False
    decoded = decode_state(whole.document)
    if isinstance(decoded, Err):
        return False
    return state.view.number < decoded.ok_value.view.number + VIEW_NUMBER_STEP


@dataclass(slots=True)
class Bridging:
    """One member's bridge proposals and promises. ``new_id`` makes record ids."""

    own: str
    new_id: Callable[[], str]
    promised_view: int = -1
    _view: int = -1
    _endorsers: set[str] = field(default_factory=set)
    _next_attempt: float = float("-inf")

    def may_fold_peer_records(self, state: ControlState) -> bool:
        """Return whether peers' records may be folded: not after an endorsement."""
        return self.promised_view != state.view.number

    def requests(
        self, state: ControlState, catch_up: CatchUp, now: float
    ) -> Iterator[tuple[str, EndorseRequest]]:
        """Yield requests for endorsement once the gap has lasted long enough."""
        number = state.view.number
        stuck_since = catch_up.stuck_since
        if stuck_since is None or now - stuck_since < GAP_WAIT_SECONDS:
            return
        if self.own not in state.view.members or now < self._next_attempt:
            return
        self._next_attempt = now + RETRY_SECONDS
        self._view = self.promised_view = number
        self._endorsers = {self.own}
        for member in state.view.members:
            if member != self.own:
                yield (
                    member,
                    EndorseRequest("bridge", self.own, number, position=state.position),
                )

    def endorse(
        self, request: EndorseRequest, state: ControlState
    ) -> Endorsement | None:
        """Endorse a bridge unless this member has folded further than the requester.

        The endorsement is a promise to fold nothing more before the bridge. Call this
        only for a member that is itself stuck at a gap.
        """
        view = state.view
        if request.view != view.number or self.own not in view.members:
            return None
        if state.position > request.position:
            return None
        self.promised_view = view.number
        return Endorsement("bridge", request.member, request.view, self.own)

    def on_endorsement(self, endorsement: Endorsement) -> None:
        """Record an endorsement of this member's own proposal."""
        if (endorsement.change, endorsement.member) != ("bridge", self.own):
            return
        if endorsement.view == self._view:
            self._endorsers.add(endorsement.endorser)

    def records(
        self, state: ControlState, catch_up: CatchUp, now: float
    ) -> tuple[SnapshotPart, ...]:
        """Return the bridge to append once a majority has endorsed it."""
        if self._view != state.view.number:
            return ()
        endorsers = self._endorsers & set(state.view.members)
        if not is_majority(len(endorsers), state.view):
            return ()
        self._view = -1
        self._next_attempt = now + APPEND_GRACE_SECONDS
        return snapshot_parts(
            state, self.new_id, catch_up.first, tuple(sorted(endorsers))
        )
