"""Discrete-event simulation of requests and of the schedulers that start them."""

from __future__ import annotations

import heapq
import itertools
import random
from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from geraniumshore import (
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
    coalescing_key,
)

__all__ = [
    "SCHEDULER_BY_SUBJECT",
    "CentralQueue",
    "FleetShape",
    "MemberScheduler",
    "Scheduler",
    "Simulation",
    "StaticSplit",
    "Work",
]

TICK_SECONDS = 0.05
NETWORK_LATENCY_SECONDS = 0.001
SEND_INTERVAL_SECONDS = 0.002
WARM_UP_SECONDS = 5.0


@dataclass(slots=True, eq=False)
class Work:
    """One request, from its arrival to its completion."""

    ticket: str
    service: str
    team: str
    urgent: bool
    arrived: float
    seconds: float
    wait_limit: float
    started: float | None = None
    ended: float | None = None


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Simulated fleet: services of equal size, and teams with shares and a limit."""

    hosts: int
    services: tuple[str, ...]
    minions: int
    slots: int
    share_by_team: dict[str, float]
    limit: int

    @property
    def slots_of_service(self) -> int:
        """Number of slots of each service."""
        return self.minions * self.slots

    @property
    def all_slots(self) -> int:
        """Number of slots of all services."""
        return self.slots_of_service * len(self.services)

    def fair_slots(self, team: str) -> float:
        """Return the team's share of all slots when every team has demand."""
        shares = sum(self.share_by_team.values())
        return self.all_slots * self.share_by_team[team] / shares


class Simulation:
    """Event queue with a simulated clock and a seeded random generator."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action ``seconds`` from now."""
        event = (self.now + seconds, next(self._event_numbers), action)
        heapq.heappush(self._events, event)

    def run_until(self, end: float) -> None:
        """Run the events up to ``end`` and set the clock to it."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end


class Scheduler(ABC):
    """Base class of schedulers, which decide when and where work starts."""

    def __init__(self, simulation: Simulation, shape: FleetShape) -> None:
        self.simulation = simulation
        self.shape = shape
        self.waiting: dict[str, Work] = {}
        self.running: dict[str, Work] = {}
        self.all_work: list[Work] = []
        self._host_by_ticket: dict[str, int] = {}

    def submit(self, work: Work) -> None:
        """Submit work at a random host, as through a load balancer."""
        host = self.simulation.random.randrange(self.shape.hosts)
        self.all_work.append(work)
        self.waiting[work.ticket] = work
        self._host_by_ticket[work.ticket] = host
        self.simulation.call_later(work.wait_limit, lambda: self._time_out(work))
        self._submit(host, work)

    def begin(self, ticket: str) -> None:
        """Start waiting work."""
        work = self.waiting.pop(ticket)
        work.started = self.simulation.now
        self.running[ticket] = work
        self.simulation.call_later(work.seconds, lambda: self._end(work))

    def _end(self, work: Work) -> None:
        work.ended = self.simulation.now
        del self.running[work.ticket]
        self._finish(self._host_by_ticket.pop(work.ticket), work)

    def _time_out(self, work: Work) -> None:
        if self.waiting.pop(work.ticket, None) is not None:
            self._cancel(self._host_by_ticket.pop(work.ticket), work)

    @abstractmethod
    def _submit(self, host: int, work: Work) -> None:
        """Handle new work at a host."""

    @abstractmethod
    def _finish(self, host: int, work: Work) -> None:
        """Handle the completion of work at a host."""

    @abstractmethod
    def _cancel(self, host: int, work: Work) -> None:
        """Handle the timeout of waiting work at a host."""


class CentralQueue(Scheduler):
    """Baseline: one first-come-first-served queue for each service of the fleet."""

    def __init__(self, simulation: Simulation, shape: FleetShape) -> None:
        super().__init__(simulation, shape)
        self._queue_by_service: dict[str, deque[Work]] = {
            service: deque() for service in shape.services
        }
        self._used: Counter[str] = Counter()
        self._used_by_team: Counter[str] = Counter()

    def _submit(self, host: int, work: Work) -> None:
        self._queue_by_service[work.service].append(work)
        self._start(work.service)

    def _finish(self, host: int, work: Work) -> None:
        self._used[work.service] -= 1
        self._used_by_team[work.team] -= 1
        for service in self.shape.services:
            self._start(service)

    def _cancel(self, host: int, work: Work) -> None:
        self._queue_by_service[work.service].remove(work)

    def _start(self, service: str) -> None:
        queue = self._queue_by_service[service]
        for work in list(queue):
            if self._used[service] >= self.shape.slots_of_service:
                return
            if self._used_by_team[work.team] < self.shape.limit:
                queue.remove(work)
                self._used[service] += 1
                self._used_by_team[work.team] += 1
                self.begin(work.ticket)


class StaticSplit(Scheduler):
    """Baseline: a fixed part of slots and limits per host, round robin over teams."""

    def __init__(self, simulation: Simulation, shape: FleetShape) -> None:
        super().__init__(simulation, shape)
        self._slots_per_host = shape.slots_of_service // shape.hosts
        self._limit = max(1, shape.limit // shape.hosts)
        self._queues: dict[tuple[int, str, str], deque[Work]] = {
            (host, service, team): deque()
            for host in range(shape.hosts)
            for service in shape.services
            for team in shape.share_by_team
        }
        self._next_team_index: Counter[tuple[int, str]] = Counter()
        self._used: Counter[tuple[int, str]] = Counter()
        self._used_by_team: Counter[tuple[int, str]] = Counter()

    def _submit(self, host: int, work: Work) -> None:
        self._queues[host, work.service, work.team].append(work)
        self._start(host, work.service)

    def _finish(self, host: int, work: Work) -> None:
        self._used[host, work.service] -= 1
        self._used_by_team[host, work.team] -= 1
        for service in self.shape.services:
            self._start(host, service)

    def _cancel(self, host: int, work: Work) -> None:
        self._queues[host, work.service, work.team].remove(work)

    def _start(self, host: int, service: str) -> None:
        teams = list(self.shape.share_by_team)
        idle_turns = 0
        while self._used[host, service] < self._slots_per_host and idle_turns < len(
            teams
        ):
            team = teams[self._next_team_index[host, service] % len(teams)]
            self._next_team_index[host, service] += 1
            queue = self._queues[host, service, team]
            if not queue or self._used_by_team[host, team] >= self._limit:
                idle_turns += 1
                continue
            idle_turns = 0
            self._used[host, service] += 1
            self._used_by_team[host, team] += 1
            self.begin(queue.popleft().ticket)


@dataclass(slots=True)
class Link:
    """Pending messages from one member to another, coalesced into one batch."""

    by_key: dict[str, Message] = field(default_factory=dict)
    next_send_at: float = 0.0


class MemberScheduler(Scheduler):
    """The project's own scheduler: real members on a simulated log and network."""

    def __init__(self, simulation: Simulation, shape: FleetShape) -> None:
        super().__init__(simulation, shape)
        self._ids = itertools.count()
        self._entries: list[LogEntry] = []
        self._links: dict[tuple[str, str], Link] = {}
        self.messages = 0
        self.members = [self._new_member(f"e{host}") for host in range(shape.hosts)]
        self._by_id = {member.id: member for member in self.members}
        for member in self.members:
            simulation.call_later(0.0, lambda member=member: self._tick(member))  # type: ignore[misc]
        simulation.run_until(WARM_UP_SECONDS - 1.0)
        self._append(
            Release(f"id{next(self._ids)}", self._release_note(), "experiment")
        )
        simulation.run_until(WARM_UP_SECONDS)

    def _new_member(self, name: str) -> Member:
        info = MemberInfo(name, name, "dc1", "127.0.0.1:1", "127.0.0.1:2")
        return Member(info, lambda: f"id{next(self._ids)}")

    def _release_note(self) -> ReleaseNote:
        shape = self.shape
        return ReleaseNote(
            base=0,
            note="experiment",
            added=Items(
                services={name: Service() for name in shape.services},
                minions={
                    f"{service}-{i}": Minion(service, "127.0.0.1:1", slots=shape.slots)
                    for service in shape.services
                    for i in range(shape.minions)
                },
                teams={
                    team: Team(share, shape.limit)
                    for team, share in shape.share_by_team.items()
                },
                queues={name: Queue(service=name) for name in shape.services},
            ),
        )

    def _append(self, *records: Record) -> None:
        at_ms = int(self.simulation.now * 1000)
        self._entries.append(LogEntry(len(self._entries), at_ms, records))

    def _tick(self, member: Member) -> None:
        now = self.simulation.now
        member.on_entries(self._entries[member.state.position :], now)
        member.on_tail(now, now)
        member.on_tick(now)
        self._apply_effects(member)
        self.simulation.call_later(TICK_SECONDS, lambda: self._tick(member))

    def _submit(self, host: int, work: Work) -> None:
        request = SlotRequest(
            ticket=work.ticket,
            queue=work.service,
            service=work.service,
            team=work.team,
            urgent=work.urgent,
            deadline=self.simulation.now + work.wait_limit,
        )
        self.members[host].submit(request, self.simulation.now)
        self._apply_effects(self.members[host])

    def _finish(self, host: int, work: Work) -> None:
        self.members[host].finish(work.ticket, self.simulation.now)
        self._apply_effects(self.members[host])

    def _cancel(self, host: int, work: Work) -> None:
        self.members[host].cancel(work.ticket, self.simulation.now)
        self._apply_effects(self.members[host])

    def _apply_effects(self, member: Member) -> None:
        effects = member.drain_effects()
        for record in effects.appends:
            self._append(record)
        for decision in effects.decisions:
            if isinstance(decision, Start):
                self.begin(decision.ticket)
        for target, messages in effects.messages_by_member.items():
            self._send(member.id, target, messages)

    def _send(self, sender: str, target: str, messages: list[Message]) -> None:
        link = self._links.setdefault((sender, target), Link())
        idle = not link.by_key
        link.by_key.update({coalescing_key(m): m for m in messages})
        if idle:
            wait = max(0.0, link.next_send_at - self.simulation.now)
            self.simulation.call_later(wait, lambda: self._flush(sender, target, link))

    def _flush(self, sender: str, target: str, link: Link) -> None:
        messages = list(link.by_key.values())
        link.by_key.clear()
        link.next_send_at = self.simulation.now + SEND_INTERVAL_SECONDS
        self.messages += len(messages)
        self.simulation.call_later(
            NETWORK_LATENCY_SECONDS, lambda: self._deliver(sender, target, messages)
        )

    def _deliver(self, sender: str, target: str, messages: list[Message]) -> None:
        member = self._by_id[target]
        member.on_messages(sender, messages, self.simulation.now)
        self._apply_effects(member)


# The project's own policy first, then its baselines.
SCHEDULER_BY_SUBJECT: dict[str, Callable[[Simulation, FleetShape], Scheduler]] = {
    "weighted shares": MemberScheduler,
    "first come first served": CentralQueue,
    "round robin per host": StaticSplit,
}
