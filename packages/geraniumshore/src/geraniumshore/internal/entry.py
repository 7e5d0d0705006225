"""The entry side of a member: callers' requests that wait for or hold a slot."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from geraniumshore.internal.homes import LedgerKey
from geraniumshore.internal.ledger import Holding, UnitKind
from geraniumshore.internal.messages import Demand, GrantNotice, Handover, HolderReport
from geraniumshore.internal.repeats import Repeat
from geraniumshore.internal.shares import SHARE_ONLY_PERIOD_GRANTS

__all__ = [
    "Decision",
    "Entry",
    "Refusal",
    "Refuse",
    "SlotRequest",
    "Start",
]


class Refusal(Enum):
    """Why a request was refused. In every case nothing was run."""

    EXPIRED = "expired"
    NO_AUTHORITY = "no-authority"
    NO_SERVICE = "no-service"
    QUEUE_FULL = "queue-full"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for one slot of a service, for one team, before a deadline.

    It is refused immediately if its queue, which holds up to ``max_waiting`` waiting
    requests, has no place left for its team. ``avoid`` names minions not to use.
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
    """The request may now be sent to the minion."""

    ticket: str
    minion: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request was not started and will never be."""

    ticket: str
    refusal: Refusal


Decision = Start | Refuse

# A team may have this many waiting requests for each place that is still free. One team
# alone can fill at most four fifths of a queue, so others still find a place.
WAITING_PER_FREE_PLACE = 4


@dataclass(slots=True)
class _ServiceEntry:
    holding: Holding
    waiting_by_ticket: dict[str, SlotRequest] = field(default_factory=dict)
    sequence: int = 0
    changed: bool = True
    starts_by_team: Counter[str] = field(default_factory=Counter)
    suspects: frozenset[str] = frozenset()

    def report_due(self, repeat: Repeat) -> bool:
        """Return whether a report to the service's home is due."""
        if self.changed or repeat is Repeat.ALL:
            return True
        idle = self.holding.is_idle and not self.waiting_by_ticket
        return repeat is Repeat.BUSY and not idle


@dataclass(slots=True)
class Entry:
    """The requests of this host's callers, by service."""

    member: str
    by_service: dict[str, _ServiceEntry] = field(default_factory=dict)
    started_by_ticket: dict[str, tuple[str, UnitKind]] = field(default_factory=dict)
    _waiting: Counter[str] = field(default_factory=Counter)
    _waiting_of_team: Counter[tuple[str, str]] = field(default_factory=Counter)

    def switch_home(self, service: str, epoch: int) -> None:
        """Switch to a home's epoch: keep held units, ignore the old home's notices."""
        entry = self.by_service.get(service)
        if entry is None:
            self.by_service[service] = _ServiceEntry(Holding(epoch))
        elif entry.holding.epoch != epoch:
            entry.holding = Holding.opened(epoch, entry.holding.held())
            entry.changed = True

    def retain_services(self, services: Iterable[str]) -> None:
        """Drop services that no longer have a home; their work has ended."""
        for service in set(self.by_service) - set(services):
            if not self.by_service[service].waiting_by_ticket:
                del self.by_service[service]

    def submit(self, request: SlotRequest) -> None:
        """Queue a request; a decision follows.

        Raises KeyError if the service has no home.
        """
        entry = self.by_service[request.service]
        entry.waiting_by_ticket[request.ticket] = request
        self._waiting[request.queue] += 1
        self._waiting_of_team[request.queue, request.team] += 1
        entry.changed = True

    def can_queue(self, request: SlotRequest) -> bool:
        """Return whether the request's queue has a place left for its team."""
        free = request.max_waiting - self._waiting[request.queue]
        of_team = self._waiting_of_team[request.queue, request.team]
        return of_team < WAITING_PER_FREE_PLACE * free

    def set_suspects(self, service: str, minions: frozenset[str]) -> None:
        """Set the minions of a service that this host suspects of failing."""
        entry = self.by_service.get(service)
        if entry is not None and entry.suspects != minions:
            entry.suspects = minions
            entry.changed = True

    def on_notice(
        self, service: str, notice: GrantNotice, may_start: bool
    ) -> Iterator[Decision]:
        """Start waiting requests on newly granted units, and return the other units."""
        entry = self.by_service[service]
        for unit_kind, count in entry.holding.receive(notice):
            entry.changed = True
            for _ in range(count):
                request = self._next_waiting(entry, unit_kind) if may_start else None
                if request is None:
                    entry.holding.give_back(unit_kind)
                    continue
                self._remove_waiting(entry, request)
                entry.starts_by_team[request.team] += 1
                self.started_by_ticket[request.ticket] = (service, unit_kind)
                yield Start(request.ticket, unit_kind.minion)

    def finish(self, ticket: str) -> None:
        """Return the slot of a completed request. Unknown tickets are ignored."""
        started = self.started_by_ticket.pop(ticket, None)
        if started is None:
            return
        service, unit_kind = started
        entry = self.by_service.get(service)
        if entry is None:
            return
        entry.holding.give_back(unit_kind)
        entry.changed = True

    def cancel(self, ticket: str) -> bool:
        """Remove a waiting request; return whether it was still waiting."""
        for entry in self.by_service.values():
            request = entry.waiting_by_ticket.get(ticket)
            if request is not None:
                self._remove_waiting(entry, request)
                return True
        return False

    def expire(self, now: float) -> Iterator[Decision]:
        """Refuse waiting requests whose deadline has passed."""
        for entry in self.by_service.values():
            expired = [
                request
                for request in entry.waiting_by_ticket.values()
                if request.deadline <= now
            ]
            for request in expired:
                self._remove_waiting(entry, request)
                yield Refuse(request.ticket, Refusal.EXPIRED)

    def report(
        self, service: str, ledger: LedgerKey, handover: Handover | None
    ) -> HolderReport:
        """Return the report of this host's account to the home of ``service``."""
        entry = self.by_service[service]
        entry.sequence += 1
        if entry.changed:
            entry.holding.changed_sequence = entry.sequence
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
            lanes=entry.holding.unit_reports(entry.sequence),
            demand=tuple(
                Demand(team, urgent, count) for (team, urgent), count in counts.items()
            ),
            handover=handover,
            suspects=tuple(sorted(entry.suspects)),
        )

    @staticmethod
    def _next_waiting(entry: _ServiceEntry, unit_kind: UnitKind) -> SlotRequest | None:
        fitting = (
            request
            for request in entry.waiting_by_ticket.values()
            if request.team == unit_kind.team and unit_kind.minion not in request.avoid
        )
        if (
            entry.starts_by_team[unit_kind.team] % SHARE_ONLY_PERIOD_GRANTS
            == SHARE_ONLY_PERIOD_GRANTS - 1
        ):
            return next(fitting, None)
        return min(fitting, key=lambda request: not request.urgent, default=None)

    def _remove_waiting(self, entry: _ServiceEntry, request: SlotRequest) -> None:
        """Remove a request from its queue."""
        del entry.waiting_by_ticket[request.ticket]
        entry.changed = True
        self._waiting[request.queue] -= 1
        self._waiting_of_team[request.queue, request.team] -= 1
