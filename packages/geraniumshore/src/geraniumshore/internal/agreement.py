"""One member's part in the agreement: views, authority, relay and snapshots.

It decides what to ask, answer and append; the member that owns it folds the log and
carries the effects. See docs/DESIGN.md for why the rules are safe together.
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
from geraniumshore.internal.liveness import SILENCE_SECONDS, Liveness
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

PRESENCE_SECONDS = 1.0
# While the authority from the log has less than this left, peers are asked as well. A
# log that answers every long poll never lets it sink so low.
ATTEST_BELOW_SECONDS = 1.2
ATTEST_RETRY_SECONDS = 0.3
RELAYED_ENTRIES = 1_000
MAX_ENTRIES_PER_RELAY = 100
STATE_TRANSFER_SECONDS = 1.0


class Standing(StrEnum):
    """What a process is with respect to the others, in words for operators."""

    JOINING = "joining"
    MEMBER = "member"
    EVICTED = "evicted"
    NO_SNAPSHOT = "no-snapshot"
    LOG_RESET = "log-reset"


@dataclass(slots=True)
class Agreement:
    """Decisions of one process. ``new_id`` makes the ids of records."""

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
        default_factory=lambda: deque(maxlen=RELAYED_ENTRIES)
    )
    _next_presence: float = float("-inf")
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
        """This process incarnation's id."""
        return self.info.member

    def holds_authority(self, state: ControlState, now: float) -> bool:
        """Tell whether this process may act at ``now``."""
        if self.log_reset:
            return False
        return self.authority.holds(now, state.view, self.own)

    def standing(self, state: ControlState) -> Standing:
        """Return what this process is to the others."""
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
        """Take in entries that were folded just now."""
        for entry in entries:
            self._recent.append(entry)
            for record in entry.records:
                if isinstance(record, SnapshotPart):
                    whole = self.snapshots.on_part(record, now)
                    if whole is not None:
                        self.lost_membership |= diverges(whole, state)
        self.authority.on_folded(state.position)
        self.lost_membership |= self.membership.follow(state.view)

    def on_adopted(self, state: ControlState) -> None:
        """Take in that the folded state was replaced by a newer one."""
        self._recent.clear()
        self.catch_up = None
        self.authority.on_folded(state.position)
        self.lost_membership |= self.membership.follow(state.view)

    def on_message(
        self, sender: str, message: Message, state: ControlState, now: float
    ) -> Iterator[tuple[str, Message]]:
        """Yield what to answer to a message about the agreement."""
        self.liveness.observe(state.view.members, now)
        self.liveness.heard(sender, now)
        match message:
            case Heartbeat():
                self._note_folded(sender, message.position, state)
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
                self._note_folded(sender, message.position, state)

    def on_endorsement(self, endorsement: Endorsement) -> None:
        """Count an endorsement of what this member has proposed."""
        self.membership.on_endorsement(endorsement)
        self.evictions.on_endorsement(endorsement)
        self.bridging.on_endorsement(endorsement)

    def on_tick(self, state: ControlState, now: float) -> Iterator[tuple[str, Message]]:
        """Yield what to tell and ask others by time alone."""
        self.liveness.observe(state.view.members, now)
        if self.log_reset or self.lost_membership:
            return
        yield from self._presence(state, now)
        yield from self._ask_attestations(state, now)
        if self.catch_up is not None:
            yield from self.bridging.requests(state, self.catch_up, now)
        if not self._log_answers(now):
            return
        gone = self.liveness.gone(state.view.members, now)
        yield from self.membership.requests(state.view, gone, now)
        silent = self.liveness.silent(now)
        longest = max(
            (self.liveness.silent_for(member, now) for member in silent), default=0.0
        )
        yield from self.evictions.propose(
            state.view, silent, longest - SILENCE_SECONDS, now
        )

    def records(self, state: ControlState, now: float) -> Iterator[Record]:
        """Yield what to append now."""
        if self.log_reset:
            return
        if self.catch_up is not None:
            yield from self.bridging.records(state, self.catch_up, now)
        if not self._log_answers(now):
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
        """Tell whether a majority of the view is known to have folded ``offset``.

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

    def _note_folded(self, sender: str, position: int, state: ControlState) -> None:
        # A position ahead of this member's own counts once this member is there: it
        # may stand for a view that this member does not know yet.
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
        if not self._log_answers(now):
            return None
        if request.change == "join":
            return self.membership.endorse(request, state.view)
        silent = self.liveness.silent(now)
        return self.evictions.endorse(request, state.view, silent)

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
        if now - last < STATE_TRANSFER_SECONDS:
            return None
        self._transferred_at[member] = now
        return StateTransfer(state.position, encode_state(state))

    def _presence(
        self, state: ControlState, now: float
    ) -> Iterator[tuple[str, Heartbeat]]:
        if now < self._next_presence or self.own not in state.view.members:
            return
        self._next_presence = now + PRESENCE_SECONDS
        yield from self.heartbeats(state)

    def heartbeats(self, state: ControlState) -> Iterator[tuple[str, Heartbeat]]:
        """Yield a sign of life to each other member."""
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

    def _log_answers(self, now: float) -> bool:
        """Tell whether the log was read to its tail of late."""
        return now < self.authority.log_until
