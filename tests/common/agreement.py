"""Simulation of real members on a faulty log and network, with invariant checks."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

from geraniumshore import (
    ControlState,
    EndorseRequest,
    Evict,
    Join,
    LogEntry,
    Member,
    MemberInfo,
    Message,
    Record,
    Relay,
    Release,
    ReleaseNote,
    SnapshotPart,
    Standing,
    StateTransfer,
    fold_entry,
    predecessor,
)
from geraniumshore.internal.bridge import bridged_state, diverges
from geraniumshore.internal.snapshot import WholeSnapshot

AUTHORITY_SECONDS = 3.0
CLOCK_MARGIN_SECONDS = 0.3
# The clock rates for which the margin just suffices: AUTHORITY_SECONDS / SLOW_RATE
# <= (AUTHORITY_SECONDS + CLOCK_MARGIN_SECONDS) / FAST_RATE.
FAST_RATE, SLOW_RATE = 1.047, 0.953
STEP_SECONDS = 0.25
SNAPSHOT_PERIOD_SECONDS = 15.0
SUSPECTED_SECONDS = 10.0


@dataclass
class Process:
    """A process incarnation whose clock has an arbitrary offset and its own rate."""

    member: Member
    rate: float
    offset: float
    paused: bool = False
    log_reachable: bool = True
    reads_held: bool = False
    sent_at: float | None = None
    reply: tuple[int, int, int, list[LogEntry]] | None = None
    version: int = 0


@dataclass
class World:
    """A fleet with at most one process at each place (an entry host and address).

    ``truth`` is the fold of every record that was ever appended, whether or not a
    member could read it, except for records that a bridge has skipped.
    """

    now: float = 0.0
    entries: list[LogEntry] = field(default_factory=list)
    first: int = 0
    log_up: bool = True
    appends_held: bool = False
    doubled_appends: bool = False
    doubled_messages: bool = False
    relays_lost: bool = False
    process_by_place: dict[str, Process | None] = field(default_factory=dict)
    cut: set[frozenset[str]] = field(default_factory=set)
    held: set[frozenset[str]] = field(default_factory=set)
    undelivered: list[tuple[str, str, str, str, Message]] = field(default_factory=list)
    # Pairs of a place and a suspect that the place considers unresponsive anyway.
    suspected: set[tuple[str, str]] = field(default_factory=set)
    pending: list[tuple[Process, Record]] = field(default_factory=list)
    truth: ControlState = field(default_factory=ControlState)
    true_states: list[tuple[dict[str, MemberInfo], int]] = field(
        default_factory=lambda: [({}, 0)]
    )
    # True states before each bridge; a member still in one must have no authority.
    states_before_bridges: list[list[tuple[dict[str, MemberInfo], int]]] = field(
        default_factory=list
    )
    removed_at: dict[str, float] = field(default_factory=dict)
    notes: dict[int, int] = field(default_factory=dict)
    accepted_at: dict[int, float] = field(default_factory=dict)
    ids: itertools.count[int] = field(default_factory=itertools.count)

    def new_id(self) -> str:
        return f"id{next(self.ids)}"

    def live(self) -> list[tuple[str, Process]]:
        return [
            (place, p) for place, p in self.process_by_place.items() if p is not None
        ]

    def start(self, place: str, rate: float = 1.0) -> Process:
        """Start a process at a free place; its bind proves that no other runs there."""
        assert self.process_by_place.get(place) is None
        name = f"{place}-{self.new_id()}"
        info = MemberInfo(name, place, "dc1", f"{place}:1", f"{place}:2")
        member = Member(info, self.new_id)
        member.agreement.snapshots.period = SNAPSHOT_PERIOD_SECONDS
        process = Process(member, rate, offset=1000.0 * next(self.ids))
        self.process_by_place[place] = process
        return process

    def clock(self, process: Process) -> float:
        return process.offset + process.rate * self.now

    def send_release(self, place: str) -> None:
        process = self.process_by_place[place]
        assert process is not None
        base = process.member.state.configuration.version
        record = Release(self.new_id(), ReleaseNote(base=base), "tester")
        self.pending.append((process, record))

    def expire_log(self) -> None:
        self.first = len(self.entries)

    def trim_log(self) -> None:
        """Trim the entries that the newest whole snapshot replaces."""
        seen: dict[str, set[int]] = {}
        for entry in self.entries[self.first :]:
            for part in entry.records:
                if isinstance(part, SnapshotPart):
                    parts = seen.setdefault(part.snapshot, set())
                    parts.add(part.part)
                    if len(parts) == part.parts:
                        self.first = max(self.first, part.position)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for place, process in self.live():
                if not process.paused:
                    self._step(place, process)
            self._append_pending()
            self._deliver()
            self._record_acceptance()
            self.check()

    def majority_lives(self) -> bool:
        members = self.truth.view.members
        live = {process.member.id for _, process in self.live()}
        return 2 * len(live & set(members)) > len(members)

    def heal(self) -> None:
        """Undo every fault, restart ended processes and let the fleet recover."""
        self.log_up, self.appends_held, self.relays_lost = True, False, False
        self.suspected.clear()
        self.cut.clear()
        self.held.clear()
        for _, process in self.live():
            process.paused = process.reads_held = False
            process.log_reachable = True
        for _ in range(8):
            for place, present in self.process_by_place.items():
                if present is None:
                    self.start(place)
            self.run(3.0)

    def _step(self, place: str, process: Process) -> None:
        now = self.clock(process)
        self._suspect(place, process, now)
        self._read(process, now)
        process.member.on_tick(now)
        self._collect(place, process)
        if process.member.agreement.lost_membership:
            self.process_by_place[place] = None

    def _suspect(self, place: str, process: Process, now: float) -> None:
        last_heard_at = process.member.agreement.liveness.last_heard_at
        for member in last_heard_at:
            if (place, member.partition("-")[0]) in self.suspected:
                last_heard_at[member] = now - SUSPECTED_SECONDS

    def _read(self, process: Process, now: float) -> None:
        member = process.member
        if process.sent_at is None:
            process.sent_at = now
        if process.reply is None and self.log_up and process.log_reachable:
            asked = member.next_offset()
            entries = self.entries[max(asked, self.first) :]
            process.reply = (asked, self.first, len(self.entries), entries)
        if process.reply is not None and not process.reads_held:
            sent_at, process.sent_at = process.sent_at, None
            reply, process.reply = process.reply, None
            member.on_read(*reply, sent_at, now)

    def _collect(self, place: str, process: Process) -> None:
        effects = process.member.drain_effects()
        self.pending.extend((process, record) for record in effects.appends)
        for target, messages in effects.messages_by_member.items():
            there = target.partition("-")[0]
            for message in messages:
                self.undelivered.append(
                    (process.member.id, place, target, there, message)
                )

    def log_goes_down(self, appends_take_effect: bool) -> None:
        """Start an outage; pending appends may take effect without a reply."""
        if appends_take_effect and self.log_up:
            self._append_all()
        self.log_up = False

    def _append_pending(self) -> None:
        if self.log_up and not self.appends_held:
            self._append_all()

    def _append_all(self) -> None:
        pending, self.pending = self.pending, []
        for process, record in pending:
            if process.log_reachable:
                for _ in range(2 if self.doubled_appends else 1):
                    self._append(record)
            else:
                self.pending.append((process, record))

    def _append(self, record: Record) -> None:
        entry = LogEntry(len(self.entries), int(self.now * 1000), (record,))
        self.entries.append(entry)
        if isinstance(record, SnapshotPart) and record.bridges is not None:
            self._bridge(record)
        else:
            self._fold(entry, record)

    def _bridge(self, part: SnapshotPart) -> None:
        """Remove the skipped records from the truth, unless a bridge already did."""
        assert part.parts == 1
        whole = WholeSnapshot(
            part.position, part.document, part.bridges, part.endorsed_by
        )
        state = bridged_state(whole, ControlState())
        assert state is not None
        if not diverges(whole, self.truth):
            self._fold(self.entries[-1], part)
            return
        newest = max(self.accepted_at, default=0)
        assert state.configuration.version >= newest, (
            "a bridge skipped an accepted note"
        )
        self.truth = state
        self.states_before_bridges.append(self.true_states)
        self.true_states = self.true_states[: state.position]
        self.true_states.append((dict(state.view.members), state.configuration.version))
        for offset in range(part.position, len(self.entries)):
            self.notes.pop(offset, None)
        for entry in self.entries[state.position :]:
            self._fold(entry, entry.records[0])
        for member in self.truth.view.members:
            self.removed_at.pop(member, None)

    def _fold(self, entry: LogEntry, record: Record) -> None:
        before = set(self.truth.view.members)
        for verdict in fold_entry(self.truth, entry):
            if verdict.accepted and isinstance(record, Release):
                self.notes[entry.offset] = self.truth.configuration.version
            if verdict.accepted and isinstance(record, Evict | Join):
                for gone in before - set(self.truth.view.members):
                    self.removed_at[gone] = self.now
        view = dict(self.truth.view.members)
        self.true_states.append((view, self.truth.configuration.version))

    def _deliver(self) -> None:
        undelivered, self.undelivered = self.undelivered, []
        for item in undelivered:
            sender, origin, target, place, message = item
            link = frozenset((origin, place))
            process = self.process_by_place.get(place)
            if process is None or link in self.cut:
                continue
            if self.relays_lost and isinstance(message, Relay | StateTransfer):
                continue
            if link in self.held or process.paused:
                self.undelivered.append(item)
                continue
            is_successor = isinstance(
                message, EndorseRequest
            ) and target == predecessor(process.member.state.view, process.member.info)
            if process.member.id == target or is_successor:
                for _ in range(2 if self.doubled_messages else 1):
                    process.member.on_message(sender, message, self.clock(process))
                self._collect(place, process)

    def _record_acceptance(self) -> None:
        for offset, version in self.notes.items():
            if version in self.accepted_at:
                continue
            for _, process in self.live():
                member = process.member
                if member.agreement.folded_by_majority(offset, member.state):
                    self.accepted_at[version] = self.now

    def check(self) -> None:
        for _, process in self.live():
            self._check_state(process)
            self._check_authority(process)

    def _check_state(self, process: Process) -> None:
        state = process.member.state
        assert not process.member.agreement.log_reset, "the log was never reset"
        assert state.configuration.version >= process.version, "the version decreased"
        process.version = state.configuration.version
        own = (state.view.members, state.configuration.version)
        if own != self.true_states[state.position]:
            before = [states[state.position] for states in self.states_before_bridges]
            authority = process.member.has_authority(self.clock(process))
            assert own in before and not authority, (
                f"{process.member.id} disagrees with the log at {state.position}"
            )
        places = [info.host for info in state.view.members.values()]
        assert len(places) == len(set(places)), "two members have the same place"

    def _check_authority(self, process: Process) -> None:
        member = process.member
        if not member.has_authority(self.clock(process)):
            return
        removed = self.removed_at.get(member.id, self.now)
        assert (
            self.now - removed <= (AUTHORITY_SECONDS + CLOCK_MARGIN_SECONDS) / FAST_RATE
        ), f"{member.id} has authority, and was evicted {self.now - removed} s ago"
        for version, accepted in self.accepted_at.items():
            if self.now - accepted > AUTHORITY_SECONDS / SLOW_RATE:
                assert member.state.configuration.version >= version, (
                    f"{member.id} has authority without version {version}"
                )

    def check_healed(self) -> None:
        assert all(
            process.member.agreement.standing(process.member.state) == Standing.MEMBER
            and process.member.has_authority(self.clock(process))
            for _, process in self.live()
        ), "not every process is a member again"
        assert len(self.truth.view.members) == len(self.process_by_place)
