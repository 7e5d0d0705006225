"""Simulation of members on a faulty network that tracks all work that runs."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from geraniumshore import (
    Evict,
    Items,
    LogEntry,
    Member,
    MemberInfo,
    Message,
    Minion,
    Queue,
    Record,
    Release,
    ReleaseNote,
    Service,
    SlotRequest,
    Start,
    Team,
    Withdrawn,
    decode_message,
    encode_message,
)
from geraniumshore.internal.homes import Home, LedgerKey, service_ledger
from geraniumshore.internal.ledger import UnitKind
from geraniumshore.internal.service_home import ServiceHome
from geraniumshore.internal.timing import AUTHORITY_SECONDS, CLOCK_MARGIN_SECONDS

TICK_SECONDS = 0.1
RUN_LIMIT_SECONDS = 4.0
MAX_AUTHORITY_SECONDS = AUTHORITY_SECONDS + CLOCK_MARGIN_SECONDS
LIMITS = {"acme": 3, "bolt": 5}
SERVICES = ("cutting", "sorting")


@dataclass(slots=True)
class RunningWork:
    """Work on a minion, which ends at ``ends_at`` even if its member has ended."""

    member: str
    team: str
    ends_at: float


@dataclass(slots=True)
class DriftingClock:
    """A member's monotonic clock, whose rate may deviate slightly."""

    offset: float
    rate: float

    def at(self, now: float) -> float:
        return self.offset + now * self.rate


@dataclass(slots=True)
class QueuedMessage:
    sender: str
    target: str
    message: Message
    due: float


@dataclass(slots=True)
class Faults:
    """The network and log faults in effect."""

    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    cut_pairs: set[frozenset[str]] = field(default_factory=set)
    without_log: set[str] = field(default_factory=set)


def service_items(*services: str, teams: dict[str, Team] | None = None) -> Items:
    """Return ``services`` with two minions and one queue each, and ``teams``."""
    limit_ms = int(RUN_LIMIT_SECONDS * 1000)
    return Items(
        services={name: Service() for name in services},
        minions={
            f"{service}-{i}": Minion(service, f"127.0.0.1:{9000 + i}", slots=2)
            for service in services
            for i in range(2)
        },
        queues={s: Queue(service=s, run_limit_ms=limit_ms) for s in services},
        teams=teams or {},
    )


class LedgerWorld:
    """Real members over a fake log and network; only ``advance`` moves the time."""

    def __init__(self, members: int, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.entries: list[LogEntry] = []
        self.ids = itertools.count()
        self.members: dict[str, Member] = {}
        self.clock_by_member: dict[str, DriftingClock] = {}
        self.paused: set[str] = set()
        self.packets: list[QueuedMessage] = []
        self.faults = Faults()
        self.running: dict[str, RunningWork] = {}
        self.started: set[str] = set()
        self.version = 0
        self.limit_history: dict[str, list[tuple[float, int]]] = {}
        for _ in range(members):
            self.spawn()
        self.advance(4.0)
        teams = {name: Team(1.0, limit) for name, limit in LIMITS.items()}
        self.release(added=service_items(*SERVICES, teams=teams))
        self.advance(2.0)

    def spawn(self) -> str:
        name = f"n{next(self.ids)}"
        info = MemberInfo(name, name, "dc1", "127.0.0.1:1", "127.0.0.1:2")
        self.members[name] = Member(info, lambda: f"id{next(self.ids)}")
        rate = self.random.choice((0.999, 1.0, 1.001))
        self.clock_by_member[name] = DriftingClock(self.random.uniform(0, 100), rate)
        return name

    def append(self, *records: Record) -> None:
        entry = LogEntry(len(self.entries), int(self.now * 1000), records)
        self.entries.append(entry)

    def release(self, **parts) -> None:
        note = ReleaseNote(base=self.version, note="", **parts)
        self.append(Release(f"id{next(self.ids)}", note, "tester"))
        self.version += 1
        for items in (note.added, note.changed):
            for name, team in items.teams.items():
                self._record_limit(name, team.limit)
        for name in note.withdrawn.teams:
            self._record_limit(name, 0)

    def withdraw_service(self, service: str) -> None:
        items = service_items(service)
        self.release(
            withdrawn=Withdrawn(
                services=[service],
                minions=list(items.minions),
                queues=list(items.queues),
            )
        )

    def add_service(self, service: str) -> None:
        self.release(added=service_items(service))

    def crash(self, name: str) -> None:
        """End a process; the work that it started keeps running."""
        del self.members[name]
        self.paused.discard(name)

    def evict(self, name: str, view: int) -> None:
        record = Evict(f"id{next(self.ids)}", view, name, forced_by="tester")
        self.append(record)

    def submit(self, name: str, service: str, team: str, seconds: float) -> str:
        ticket = f"t{next(self.ids)}"
        now = self.clock_by_member[name].at(self.now)
        request = SlotRequest(ticket, service, service, team, False, now + seconds)
        self.members[name].submit(request, now)
        self.apply_effects(name)
        return ticket

    def end_run(self, ticket: str) -> None:
        """End work and tell the member that started it, if it still runs."""
        run = self.running.pop(ticket)
        if run.member in self.members:
            now = self.clock_by_member[run.member].at(self.now)
            self.members[run.member].finish(ticket, now)
            if run.member not in self.paused:
                self.apply_effects(run.member)

    def advance(self, seconds: float, tick: float = TICK_SECONDS) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += tick
            self._end_due_runs()
            for name in self.active():
                self._tick(name)
            self.deliver()

    def active(self) -> list[str]:
        return [name for name in self.members if name not in self.paused]

    def deliver(self) -> None:
        """Deliver due messages in random order until there are none."""
        for _ in range(50):
            due = [p for p in self.packets if p.due <= self.now]
            if not due:
                return
            self.packets = [p for p in self.packets if p.due > self.now]
            self.random.shuffle(due)
            for packet in due:
                self._receive(packet)

    def _receive(self, packet: QueuedMessage) -> None:
        if packet.target not in self.members:
            return
        if packet.target in self.paused:
            packet.due = self.now + TICK_SECONDS
            self.packets.append(packet)
            return
        now = self.clock_by_member[packet.target].at(self.now)
        self.members[packet.target].on_message(packet.sender, packet.message, now)
        self.apply_effects(packet.target)

    def _tick(self, name: str) -> None:
        member = self.members[name]
        now = self.clock_by_member[name].at(self.now)
        if name not in self.faults.without_log:
            member.on_entries(self.entries[member.state.position :], now)
            member.on_tail(now, now)
        member.on_tick(now)
        self.apply_effects(name)
        if member.agreement.lost_membership:
            # The daemon exits in this case and its host starts the next incarnation.
            self.crash(name)
            self.spawn()

    def apply_effects(self, name: str) -> None:
        effects = self.members[name].drain_effects()
        if effects.appends and name not in self.faults.without_log:
            self.append(*effects.appends)
        for decision in effects.decisions:
            if isinstance(decision, Start):
                self._start(name, decision)
        for target, messages in effects.messages_by_member.items():
            for message in messages:
                self._post(name, target, message)

    def _post(self, sender: str, target: str, message: Message) -> None:
        pair = frozenset((sender, target))
        if pair in self.faults.cut_pairs or self.random.random() < self.faults.lost:
            return
        decoded = decode_message(encode_message(message)).unwrap()
        copies = 2 if self.random.random() < self.faults.doubled else 1
        for _ in range(copies):
            late = self.random.random() < self.faults.late
            delay = self.random.uniform(0.1, 6.0) if late else 0.0
            self.packets.append(
                QueuedMessage(sender, target, decoded, self.now + delay)
            )

    def _start(self, name: str, start: Start) -> None:
        member = self.members[name]
        assert member.has_authority(self.clock_by_member[name].at(self.now))
        service, unit_kind = member.entry.started_by_ticket[start.ticket]
        assert unit_kind.minion.startswith(service)
        assert start.ticket not in self.started, "started twice"
        self.started.add(start.ticket)
        self.running[start.ticket] = RunningWork(
            name, unit_kind.team, self.now + RUN_LIMIT_SECONDS
        )
        count = self.running_of(unit_kind.team)
        allowed = self.allowed(unit_kind.team)
        assert count <= allowed, (
            f"{unit_kind.team}: got {count} running, want {allowed}"
        )

    def _end_due_runs(self) -> None:
        for ticket in [t for t, run in self.running.items() if run.ends_at <= self.now]:
            self.end_run(ticket)

    def running_of(self, team: str) -> int:
        return sum(run.team == team for run in self.running.values())

    def allowed(self, team: str) -> int:
        """Return the highest limit that a member with authority may still apply."""
        history = self.limit_history[team]
        began = self.now - MAX_AUTHORITY_SECONDS
        recent = [limit for at, limit in history if at > began]
        before = [limit for at, limit in history if at <= began][-1:]
        return max(recent + before)

    def limit(self, team: str) -> int:
        return self.limit_history[team][-1][1]

    def _record_limit(self, team: str, limit: int) -> None:
        self.limit_history.setdefault(team, []).append((self.now, limit))

    def check_ledgers_cover_holdings(self) -> None:
        """Check that each ledger counts at least the units that its holders have."""
        for member in self.members.values():
            for service, home in member.service_homes.items():
                if home.ready:
                    self._check_service(service, home)
            for team, team_home in member.team_homes.items():
                if team_home.ready:
                    self._check_team(team, team_home)

    def _check_service(self, service: str, home: ServiceHome) -> None:
        for name, account in home.ledger.by_holder.items():
            entry = self.members.get(name)
            if entry is None:
                continue
            holding = entry.entry.by_service[service].holding
            if holding.epoch != home.home.epoch:
                continue
            for unit_kind, held in holding.held().items():
                counts = account.counts_by_kind.get(unit_kind)
                assert counts is not None, (unit_kind, held)
                assert counts.held >= held, (unit_kind, counts, held)

    def _check_team(self, team: str, team_home) -> None:
        unit_kind = UnitKind(team)
        for member in self.members.values():
            for service, home in member.service_homes.items():
                tokens = home.tokens_by_team.get(team)
                account = team_home.ledger.by_holder.get(service_ledger(service))
                if tokens is None or account is None:
                    continue
                epochs = (tokens.holding.epoch, tokens.holding.holder_epoch)
                if epochs == (team_home.epoch, account.holder_epoch):
                    counts = account.counts_by_kind.get(unit_kind)
                    assert (counts.held if counts else 0) >= tokens.held

    def home_of(self, ledger: LedgerKey) -> Home:
        """Return the ledger's home in the newest folded state."""
        newest = max(self.members.values(), key=lambda m: m.state.position)
        return newest.state.homes[ledger]

    def move_home(self, ledger: LedgerKey) -> Home:
        """Add members until the ledger's home moves; return the old home."""
        before = self.home_of(ledger)
        for _ in range(40):
            self.spawn()
            self.advance(2.0)
            if self.home_of(ledger).epoch != before.epoch:
                return before
        raise AssertionError(f"{ledger} does not move")

    def heal(self) -> None:
        """End all faults and evict crashed members, so that the others can act."""
        self.faults = Faults()
        self.paused.clear()
        for _ in range(10):
            self.advance(1.0)
            newest = max(self.members.values(), key=lambda m: m.state.position)
            view = newest.state.view
            gone = [name for name in view.members if name not in self.members]
            if not gone:
                return
            self.evict(gone[0], view.number)

    def check_work_starts(self, seconds: float) -> None:
        """Check that each team can use its whole limit again within ``seconds``."""
        for team in self.limit_history:
            if self.limit(team) == 0:
                continue
            tickets = self._submit_for_limit(team)
            self.advance(seconds)
            missing = [ticket for ticket in tickets if ticket not in self.started]
            assert not missing, f"{team}: {len(missing)} of {len(tickets)} not started"
            for ticket in tickets:
                if ticket in self.running:
                    self.end_run(ticket)
            self.advance(1.0)

    def _submit_for_limit(self, team: str) -> list[str]:
        names = list(self.members)
        services = list(self.members[names[0]].state.configuration.services)
        slots = dict.fromkeys(services, 4)
        count = min(self.limit(team), sum(slots.values()))
        used: Counter[str] = Counter()
        tickets = []
        for i in range(count):
            service = min(services, key=lambda s: used[s])
            used[service] += 1
            name = names[i % len(names)]
            tickets.append(self.submit(name, service, team, 1000.0))
        return tickets
