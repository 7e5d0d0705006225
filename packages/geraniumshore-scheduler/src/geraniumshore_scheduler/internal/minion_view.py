"""What an owner knows of one minion: its life, its leases, its runs, its room."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from geraniumshore_scheduler.internal.authority import OwnershipTimes
from geraniumshore_scheduler.internal.model import MinionListing, Resources, TaskKey
from geraniumshore_scheduler.internal.runs import Run

__all__ = ["HoldRequest", "MinionView"]

MS = 1000.0


@dataclass(frozen=True, slots=True)
class HoldRequest:
    """A look at a minion, with ``until_ms`` a renewal of all leases on it."""

    minion_id: str
    address: str
    fence: int
    acked_upto: int
    until_ms: int | None
    wait_ms: int
    sent_at: float


@dataclass(slots=True)
class MinionView:
    """One minion. ``life`` is None until it has answered this owner.

    ``granted_at`` is when a lease was last sent, answered or not. A lease that got no
    answer, though the minion answered later, may be carried out late: it counts until
    ``late_grant_until``. ``answered_since`` is when it first answered this owner: it
    takes no orders of a former one since. ``unlisted`` means that the platform's list
    lacks the minion, which may live all the same. No lease is sent before the batch
    ``grants_after_batch`` is durable, which says that this owner sends them.
    ``stopping`` says that stops may have to be sent. ``ends_since`` is when it last
    listed a new end, ``silent_since`` when the first look was sent that got no answer.
    """

    minion_id: str
    listing: MinionListing | None = None
    life: int | None = None
    clock_ms: float = 0.0
    clock_at: float = 0.0
    granted_at: float | None = None
    unanswered_grant_at: float | None = None
    late_grant_until: float = 0.0
    answered_since: float = math.inf
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    strays: dict[str, int] = field(default_factory=dict)
    used: Resources = Resources()
    seen_end: int = 0
    acked_upto: int = 0
    unacked: deque[tuple[int, int]] = field(default_factory=deque)
    remaining_ms: int | None = None
    avoid_until: float = 0.0
    faults: int = 0
    cordoned: bool = False
    reached: bool = False
    unlisted: bool = False
    grants_after_batch: int = 0
    stopping: bool = False
    ends_since: float | None = None
    silent_since: float | None = None

    @property
    def draining(self) -> bool:
        """Whether the minion is leaving."""
        listed = self.listing is not None and self.listing.draining
        return listed or self.remaining_ms is not None

    def accepts(self, now: float) -> bool:
        """Tell whether new work may be placed here."""
        return (
            self.listing is not None
            and self.reached
            and self.life is not None
            and self.listing.life == self.life
            and not self.draining
            and not self.cordoned
            and not self.unlisted
            and not self.strays
            and now >= self.avoid_until
        )

    @property
    def free(self) -> Resources:
        """The capacity that nothing uses or may use."""
        if self.listing is None:
            return Resources()
        return self.listing.capacity.minus(self.used)

    def has_room(self, room: Resources) -> bool:
        """Tell whether ``free`` covers ``room``, without building a new value.

        A pass over a full pool asks this of each minion for each waiting task.
        """
        if self.listing is None:
            return False
        capacity, used = self.listing.capacity, self.used
        return (
            room.cpu_milli <= capacity.cpu_milli - used.cpu_milli
            and room.memory_mb <= capacity.memory_mb - used.memory_mb
            and room.accelerators <= capacity.accelerators - used.accelerators
        )

    def attach(self, run: Run) -> None:
        """Count a run as there."""
        self.runs[run.task] = run
        self.used = self.used.plus(run.room)

    def detach(self, run: Run) -> None:
        """Count a run as gone."""
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
            self.used = self.used.minus(run.room)

    def want_stop(self, run: Run) -> None:
        """Ask for the end of a run that counts as there."""
        run.stop_wanted = True
        self.stopping = True

    def lease_until_ms(self, now: float, times: OwnershipTimes) -> int:
        """Return the end of the longest lease from now, on the minion's clock."""
        return int(self.clock_ms + (now - self.clock_at + times.longest_lease) * MS)

    def note_unanswered_grant(self, sent_at: float) -> None:
        """Note that a lease sent at ``sent_at`` got no answer."""
        if self.unanswered_grant_at is None:
            self.unanswered_grant_at = sent_at

    def note_answer(self, same_life: bool, times: OwnershipTimes) -> None:
        """Note an answer to a look: the minion lives and is within reach."""
        if same_life and self.unanswered_grant_at is not None:
            late = self.unanswered_grant_at + times.order_delay + times.lapse
            self.late_grant_until = max(self.late_grant_until, late)
        self.unanswered_grant_at = None
        self.silent_since = None
        self.reached = True

    def lapsed_at(self, run: Run, times: OwnershipTimes) -> float:
        """Return when the lease of a run has certainly ended, without any contact."""
        renewed_until = run.since
        if run.foreign_until is not None:
            renewed_until = run.foreign_until
        if self.granted_at is not None:
            renewed_until = max(renewed_until, self.granted_at)
        return max(renewed_until + times.lapse, self.late_grant_until)

    def may_be_stopping(self, run: Run, now: float, times: OwnershipTimes) -> bool:
        """Tell whether a former owner may have stopped a run that still goes on."""
        former = run.foreign_until is not None
        return former and now < self.answered_since + times.longest_stop

    def release_acks(self, durable_batch: int) -> None:
        """Let the ends be acknowledged that are recorded."""
        while self.unacked and self.unacked[0][1] <= durable_batch:
            self.acked_upto = self.unacked.popleft()[0]
