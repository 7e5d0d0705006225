"""The entry side of a member: callers' requests that wait for a slot, or have one."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from geraniumshore.internal.homes import LedgerKey
from geraniumshore.internal.ledger import Holding, Lane
from geraniumshore.internal.messages import Demand, GrantNotice, Handover, HolderReport
from geraniumshore.internal.repeats import Repeat
from geraniumshore.internal.shares import SHARE_TURN

__all__ = [
    "Decision",
    "Entry",
    "Refusal",
    "Refuse",
    "SlotRequest",
    "Start",
]


class Refusal(Enum):
    """Why a request was not started. Each means that nothing was run."""

    EXPIRED = "expired"
    NO_AUTHORITY = "no-authority"
    NO_SERVICE = "no-service"
    QUEUE_FULL = "queue-full"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request that needs one slot of a service, for one team, before a deadline.

    It is refused at once where its queue's waiting room, which holds ``max_waiting``,
    has no place for its team.
    """

    ticket: str
    queue: str
    service: str
    team: str
    urgent: bool
    deadline: float
    max_waiting: int = 1_000_000
    avoid: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Start:
    """The request may be sent to the minion now."""

    ticket: str
    minion: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request was not started and will not be."""

    ticket: str
    refusal: Refusal


Decision = Start | Refuse

# A team may have so many times as many requests waiting as places are still free. So
# one team alone fills four fifths of a waiting room, and a newcomer finds a place.
WAITING_PER_FREE_PLACE = 4


@dataclass(slots=True)
class _ServiceEntry:
    holding: Holding
    waiting_by_ticket: dict[str, SlotRequest] = field(default_factory=dict)
    sequence: int = 0
    changed: bool = True
    starts_by_team: Counter[str] = field(default_factory=Counter)
    suspects: frozenset[str] = frozenset()

    def due(self, repeat: Repeat) -> bool:
        """Tell whether a report is due."""
        if self.changed or repeat is Repeat.ALL:
            return True
        idle = self.holding.settled and not self.waiting_by_ticket
        return repeat is Repeat.BUSY and not idle


@dataclass(slots=True)
class Entry:
    """Requests of this host's callers, by service."""

    member: str
    by_service: dict[str, _ServiceEntry] = field(default_factory=dict)
    lane_by_ticket: dict[str, tuple[str, Lane]] = field(default_factory=dict)
    _waiting: Counter[str] = field(default_factory=Counter)
    _waiting_of_team: Counter[tuple[str, str]] = field(default_factory=Counter)

    def seal(self, service: str, epoch: int) -> None:
        """Turn to a new home: keep what is held, drop what the old one still sends."""
        entry = self.by_service.get(service)
        if entry is None:
            self.by_service[service] = _ServiceEntry(Holding(epoch))
        elif entry.holding.epoch != epoch:
            entry.holding = Holding.sealed(epoch, entry.holding.held())
            entry.changed = True

    def forget_all_but(self, services: Iterable[str]) -> None:
        """Forget services that have no home any more; their work has ended."""
        for service in set(self.by_service) - set(services):
            if not self.by_service[service].waiting_by_ticket:
                del self.by_service[service]

    def submit(self, request: SlotRequest) -> None:
        """Queue a request; a decision follows. Raises KeyError without a home."""
        entry = self.by_service[request.service]
        entry.waiting_by_ticket[request.ticket] = request
        self._waiting[request.queue] += 1
        self._waiting_of_team[request.queue, request.team] += 1
        entry.changed = True

    def has_room(self, request: SlotRequest) -> bool:
        """Tell whether the queue's waiting room has a place for the request's team."""
        free = request.max_waiting - self._waiting[request.queue]
        of_team = self._waiting_of_team[request.queue, request.team]
        return of_team < WAITING_PER_FREE_PLACE * free

    def suspect(self, service: str, minions: frozenset[str]) -> None:
        """Name the minions of a service that fail this host's work."""
        entry = self.by_service.get(service)
        if entry is not None and entry.suspects != minions:
            entry.suspects = minions
            entry.changed = True

    def on_notice(
        self, service: str, notice: GrantNotice, may_start: bool
    ) -> Iterator[Decision]:
        """Use newly granted units, and give back those that nothing waits for."""
        entry = self.by_service[service]
        for lane, count in entry.holding.receive(notice):
            entry.changed = True
            for _ in range(count):
                request = self._next_waiting(entry, lane) if may_start else None
                if request is None:
                    entry.holding.give_back(lane)
                    continue
                self._drop(entry, request)
                entry.starts_by_team[request.team] += 1
                self.lane_by_ticket[request.ticket] = (service, lane)
                yield Start(request.ticket, lane.minion)

    def finish(self, ticket: str) -> None:
        """Give back the slot of a request that ended. Unknown tickets are ignored."""
        started = self.lane_by_ticket.pop(ticket, None)
        if started is None:
            return
        service, lane = started
        entry = self.by_service.get(service)
        if entry is None:
            return
        entry.holding.give_back(lane)
        entry.changed = True

    def cancel(self, ticket: str) -> bool:
        """Drop a request that still waits; tell whether it did."""
        for entry in self.by_service.values():
            request = entry.waiting_by_ticket.get(ticket)
            if request is not None:
                self._drop(entry, request)
                return True
        return False

    def expire(self, now: float) -> Iterator[Decision]:
        """Refuse the requests whose deadline has passed while they waited."""
        for entry in self.by_service.values():
            expired = [
                request
                for request in entry.waiting_by_ticket.values()
                if request.deadline <= now
            ]
            for request in expired:
                self._drop(entry, request)
                yield Refuse(request.ticket, Refusal.EXPIRED)

    def report(
        self, service: str, ledger: LedgerKey, handover: Handover | None
    ) -> HolderReport:
        """Return this host's whole account with the home of ``service``."""
        entry = self.by_service[service]
        entry.sequence += 1
        if entry.changed:
            entry.holding.news = entry.sequence
        entry.changed = False
        counts = Counter(
            (request.team, request.urgent)
            for request in entry.waiting_by_ticket.values()
        )
        return HolderReport(
            ledger=ledger,
            epoch=entry.holding.epoch,
            holder=self.member,
            holder_epoch=0,
            sequence=entry.sequence,
            lanes=entry.holding.lane_reports(entry.sequence),
            demand=tuple(
                Demand(team, urgent, count) for (team, urgent), count in counts.items()
            ),
            handover=handover,
            suspects=tuple(sorted(entry.suspects)),
        )

    @staticmethod
    def _next_waiting(entry: _ServiceEntry, lane: Lane) -> SlotRequest | None:
        fitting = (
            request
            for request in entry.waiting_by_ticket.values()
            if request.team == lane.team and lane.minion not in request.avoid
        )
        if entry.starts_by_team[lane.team] % SHARE_TURN == SHARE_TURN - 1:
            return next(fitting, None)
        return min(fitting, key=lambda request: not request.urgent, default=None)

    def _drop(self, entry: _ServiceEntry, request: SlotRequest) -> None:
        """Take a request out of its waiting room."""
        del entry.waiting_by_ticket[request.ticket]
        entry.changed = True
        self._waiting[request.queue] -= 1
        self._waiting_of_team[request.queue, request.team] -= 1
