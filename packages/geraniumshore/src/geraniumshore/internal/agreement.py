"""One member's part in the agreement protocol: views, authority, relay and snapshots.

:class:`Agreement` decides what to ask peers, what to answer and what to append to the
log. The :class:`Member` that owns it folds the log and delivers the effects. See
docs/DESIGN.md for the safety argument.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import takewhile

from geraniumshore.internal.authority import Authority
from geraniumshore.internal.bridge import Bridging, diverges
from geraniumshore.internal.eviction import Evictions
from geraniumshore.internal.fold import ControlState
from geraniumshore.internal.liveness import UNRESPONSIVE_AFTER_SECONDS, Liveness
from geraniumshore.internal.membership import Membership
from geraniumshore.internal.messages import (
    Attestation,
    AttestRequest,
    Endorsement,
    EndorseRequest,
    Heartbeat,
    Message,
    Relay,
    StateTransfer,
)
from geraniumshore.internal.records import LogEntry, MemberInfo, Record, SnapshotPart
from geraniumshore.internal.snapshot import (
    CatchUp,
    SnapshotSchedule,
    encode_state,
    snapshot_parts,
)
from geraniumshore.internal.view import is_majority

__all__ = ["Agreement", "Standing"]

LIVENESS_HEARTBEAT_SECONDS = 1.0
# Peers are asked for attestations while the authority from the log expires within this
# time. It never gets this low as long as the log answers every long poll.
ATTEST_BELOW_SECONDS = 1.2
ATTEST_RETRY_SECONDS = 0.3
RECENT_ENTRIES_KEPT = 1_000
MAX_ENTRIES_PER_RELAY = 100
STATE_TRANSFER_INTERVAL_SECONDS = 1.0


class Standing(StrEnum):
    """The membership status of a process, as shown to operators."""

    JOINING = "joining"
    MEMBER = "member"
    EVICTED = "evicted"
    NO_SNAPSHOT = "no-snapshot"
    LOG_RESET = "log-reset"


@dataclass(slots=True)
class Agreement:
    """The agreement decisions of one process. ``new_id`` makes the ids of records."""

    info: MemberInfo
    new_id: Callable[[], str]
    authority: Authority = field(default_factory=Authority)
    catch_up: CatchUp | None = None
    log_reset: bool = False
    lost_membership: bool = False
    membership: Membership = field(init=False)
    evictions: Evictions = field(init=False)
    bridging: Bridging = field(init=False)
    liveness: Liveness = field(init=False)
    snapshots: SnapshotSchedule = field(init=False)
    folded_by_member: dict[str, int] = field(default_factory=dict)
    _recent: deque[LogEntry] = field(
        default_factory=lambda: deque(maxlen=RECENT_ENTRIES_KEPT)
    )
    _next_heartbeat: float = float("-inf")
    _next_attest: float = float("-inf")
    _transferred_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.membership = Membership(self.info, self.new_id)
        self.evictions = Evictions(self.info.member, self.new_id)
        self.bridging = Bridging(self.own, self.new_id)
        self.liveness = Liveness(self.info)
        self.snapshots = SnapshotSchedule(self.info.member)

    @property
    def own(self) -> str:
        """The id of this process incarnation."""
        return self.info.member

    def holds_authority(self, state: ControlState, now: float) -> bool:
        """Return whether this process may act at ``now``."""
        if self.log_reset:
            return False
        return self.authority.holds(now, state.view, self.own)

    def standing(self, state: ControlState) -> Standing:
        """Return the membership status of this process."""
        if self.log_reset:
            return Standing.LOG_RESET
        if self.lost_membership:
            return Standing.EVICTED
        if self.catch_up is not None:
            return Standing.NO_SNAPSHOT
        joined = self.own in state.view.members
        return Standing.MEMBER if joined else Standing.JOINING

    def on_folded(
        self, entries: Iterable[LogEntry], state: ControlState, now: float
    ) -> None:
        """Process entries that were just folded into ``state``."""
        for entry in entries:
            self._recent.append(entry)
            for record in entry.records:
                if isinstance(record, SnapshotPart):
                    whole = self.snapshots.on_part(record, now)
                    if whole is not None:
                        self.lost_membership |= diverges(whole, state)
        self.authority.on_folded(state.position)
        self.lost_membership |= self.membership.follow(state.view)

    def on_state_replaced(self, state: ControlState) -> None:
        """Process that the folded state was replaced by the newer ``state``."""
        self._recent.clear()
        self.catch_up = None
        self.authority.on_folded(state.position)
        self.lost_membership |= self.membership.follow(state.view)

    def on_message(
        self, sender: str, message: Message, state: ControlState, now: float
    ) -> Iterator[tuple[str, Message]]:
        """Yield the replies to a message of the agreement protocol."""
        self.liveness.observe(state.view.members, now)
        self.liveness.on_heard(sender, now)
        match message:
            case Heartbeat():
                self._record_folded_position(sender, message.position, state)
            case EndorseRequest():
                endorsement = self._endorse(message, state, now)
                if endorsement is not None:
                    yield sender, endorsement
            case AttestRequest():
                yield from self._answer_attest(sender, message, state, now)
            case Attestation():
                self.authority.attest(
                    sender, message.sent_at, message.position, state.position
                )
                self._record_folded_position(sender, message.position, state)

    def on_endorsement(self, endorsement: Endorsement) -> None:
        """Process an endorsement of a change that this member proposed."""
        self.membership.on_endorsement(endorsement)
        self.evictions.on_endorsement(endorsement)
        self.bridging.on_endorsement(endorsement)

    def on_tick(self, state: ControlState, now: float) -> Iterator[tuple[str, Message]]:
        """Yield the messages that are due at ``now``."""
        self.liveness.observe(state.view.members, now)
        if self.log_reset or self.lost_membership:
            return
        yield from self._due_heartbeats(state, now)
        yield from self._ask_attestations(state, now)
        if self.catch_up is not None:
            yield from self.bridging.requests(state, self.catch_up, now)
        if not self._log_is_current(now):
            return
        gone = self.liveness.gone(state.view.members, now)
        yield from self.membership.requests(state.view, gone, now)
        unresponsive = self.liveness.unresponsive(now)
        longest = max(
            (self.liveness.seconds_since_heard(member, now) for member in unresponsive),
            default=0.0,
        )
        yield from self.evictions.propose(
            state.view, unresponsive, longest - UNRESPONSIVE_AFTER_SECONDS, now
        )

    def records(self, state: ControlState, now: float) -> Iterator[Record]:
        """Yield the records to append now."""
        if self.log_reset:
            return
        if self.catch_up is not None:
            yield from self.bridging.records(state, self.catch_up, now)
        if not self._log_is_current(now):
            return
        gone = self.liveness.gone(state.view.members, now)
        join = self.membership.join_record(state.view, gone, now)
        if join is not None:
            yield join
        eviction = self.evictions.record(state.view, gone, now)
        if eviction is not None:
            yield eviction
        if self.snapshots.due(state.view.members, state.position, now):
            yield from snapshot_parts(state, self.new_id)

    def folded_by_majority(self, offset: int, state: ControlState) -> bool:
        """Return whether a majority of the view is known to have folded ``offset``.

        From then on every member either has folded it or loses its authority within
        ``AUTHORITY_SECONDS``.
        """
        if state.position <= offset or self.own not in state.view.members:
            return False
        acknowledged = {self.own} | {
            member
            for member, position in self.folded_by_member.items()
            if member in state.view.members and offset < position <= state.position
        }
        return is_majority(len(acknowledged), state.view)

    def _record_folded_position(
        self, sender: str, position: int, state: ControlState
    ) -> None:
        # A position ahead of this member's own is stored but counts only once this
        # member has reached it, since it may belong to a view not known here yet.
        self.folded_by_member = {
            member: folded
            for member, folded in self.folded_by_member.items()
            if member in state.view.members
        }
        if sender in state.view.members:
            known = self.folded_by_member.get(sender, 0)
            self.folded_by_member[sender] = max(known, position)

    def _endorse(
        self, request: EndorseRequest, state: ControlState, now: float
    ) -> Endorsement | None:
        if self.lost_membership:
            return None
        if request.change == "bridge":
            if self.catch_up is None:
                return None
            return self.bridging.endorse(request, state)
        if not self._log_is_current(now):
            return None
        if request.change == "join":
            return self.membership.endorse(request, state.view)
        unresponsive = self.liveness.unresponsive(now)
        return self.evictions.endorse(request, state.view, unresponsive)

    def _answer_attest(
        self, sender: str, request: AttestRequest, state: ControlState, now: float
    ) -> Iterator[tuple[str, Message]]:
        if self.evictions.may_attest(sender, state.view):
            yield sender, Attestation(request.sent_at, state.position)
        if request.position < state.position:
            relay = self._relay(sender, request.position, state, now)
            if relay is not None:
                yield sender, relay

    def _relay(
        self, member: str, position: int, state: ControlState, now: float
    ) -> Relay | StateTransfer | None:
        if self._recent and self._recent[0].offset <= position:
            newest_first = takewhile(
                lambda entry: entry.offset >= position, reversed(self._recent)
            )
            entries = tuple(reversed(tuple(newest_first)))
            return Relay(entries[:MAX_ENTRIES_PER_RELAY])
        last = self._transferred_at.get(member, float("-inf"))
        if now - last < STATE_TRANSFER_INTERVAL_SECONDS:
            return None
        self._transferred_at[member] = now
        return StateTransfer(state.position, encode_state(state))

    def _due_heartbeats(
        self, state: ControlState, now: float
    ) -> Iterator[tuple[str, Heartbeat]]:
        if now < self._next_heartbeat or self.own not in state.view.members:
            return
        self._next_heartbeat = now + LIVENESS_HEARTBEAT_SECONDS
        yield from self.heartbeats(state)

    def heartbeats(self, state: ControlState) -> Iterator[tuple[str, Heartbeat]]:
        """Yield a heartbeat to each other member."""
        for member in state.view.members:
            if member != self.own:
                yield member, Heartbeat(state.position)

    def _ask_attestations(
        self, state: ControlState, now: float
    ) -> Iterator[tuple[str, AttestRequest]]:
        if self.authority.log_until - now >= ATTEST_BELOW_SECONDS:
            return
        if now < self._next_attest or self.own not in state.view.members:
            return
        self._next_attest = now + ATTEST_RETRY_SECONDS
        for member in state.view.members:
            if member != self.own:
                yield member, AttestRequest(now, state.position)

    def _log_is_current(self, now: float) -> bool:
        """Return whether the log was read to its tail within the authority period."""
        return now < self.authority.log_until
