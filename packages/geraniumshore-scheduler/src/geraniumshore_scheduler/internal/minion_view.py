"""An owner's view of one minion: its incarnation, leases, runs and free capacity."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from geraniumshore_scheduler.internal.authority import OwnershipTimes
from geraniumshore_scheduler.internal.model import (
    CompletedRun,
    MinionListing,
    Resources,
    TaskKey,
)
from geraniumshore_scheduler.internal.runs import Run

__all__ = ["PollRequest", "MinionView"]

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class PollRequest:
    """A poll of a minion; with ``until_ms`` it renews all leases there until then.

    The minion may hold the answer back for up to ``wait_ms`` until a run completes; it
    counts as unanswered ``answer_s`` after that.
    """

    minion_id: str
    address: str
    fence: int
    acked_upto: int
    until_ms: int | None
    wait_ms: int
    sent_at: float
    answer_s: float


@dataclass(slots=True)
class MinionView:
    """What an owner of the schedule knows of a minion and of the runs on it.

    ``incarnation`` is None until the minion has answered this owner;
    ``reported_incarnation`` is that of its last answer. ``granted_at`` is when a lease
    was last sent, answered or not. A lease that got no answer may take effect late,
    even when the minion has answered since: it counts until ``late_grant_until``.
    ``first_answered_at`` is when the minion first answered this owner; since then it
    refuses orders from former owners. An ``unlisted`` minion is missing from the
    platform's list but may still be up. No lease is sent until the batch
    ``grants_after_batch`` is durable, which records that this owner sends leases. Until
    ``over_leased_until`` the minion may hold a lease for longer than its owners grant.
    ``stopping`` means that stops may have to be sent. ``unacked`` maps the completions
    that are not acknowledged yet, in the order of their numbers, to the batch that
    records them; those without a batch are in ``deferred``, as their jobs are not read
    yet. ``completions_listed_at`` is when the minion last listed a new completion.
    ``faults`` counts the failures in a row, of different jobs, up to ``last_fault_at``.
    ``unresponsive_since`` is when the first of the latest unanswered polls was sent.
    While its data centre is ``evacuated`` the minion gets no new work. A ``reopened``
    minion was evacuated before. It is slow until ``cold_until``.
    ``untracked_runs`` are runs on the minion that this owner does not know; they are to
    be stopped, unless their jobs are not read yet.
    """

    minion_id: str
    listing: MinionListing | None = None
    incarnation: int | None = None
    clock_ms: float = 0.0
    clock_at: float = 0.0
    granted_at: float | None = None
    unanswered_grant_at: float | None = None
    late_grant_until: float = 0.0
    first_answered_at: float = math.inf
    runs: dict[TaskKey, Run] = field(default_factory=dict)
    untracked_runs: dict[str, int] = field(default_factory=dict)
    used: Resources = Resources()
    last_seen_completion: int = 0
    acked_upto: int = 0
    unacked: dict[int, int | None] = field(default_factory=dict)
    deferred: dict[int, CompletedRun] = field(default_factory=dict)
    remaining_ms: int | None = None
    avoid_until: float = 0.0
    over_leased_until: float = 0.0
    reported_incarnation: int | None = None
    faults: int = 0
    last_fault_at: float = 0.0
    cordoned: bool = False
    responsive: bool = False
    unlisted: bool = False
    grants_after_batch: int = 0
    stopping: bool = False
    completions_listed_at: float | None = None
    unresponsive_since: float | None = None
    evacuated: bool = False
    reopened: bool = False
    cold_until: float = 0.0

    @property
    def draining(self) -> bool:
        """Whether the minion is shutting down."""
        listed = self.listing is not None and self.listing.draining
        return listed or self.remaining_ms is not None

    def accepts(self, now: float) -> bool:
        """Return whether new work may be placed on the minion."""
        return (
            self.listing is not None
            and self.responsive
            and self.incarnation is not None
            and self.listing.incarnation == self.incarnation
            and not self.draining
            and not self.cordoned
            and not self.evacuated
            and not self.unlisted
            and not self.untracked_runs
            and now >= max(self.avoid_until, self.over_leased_until)
        )

    def set_listing(self, listing: MinionListing, now: float) -> None:
        """Apply the minion's entry, read at ``now`` if it is another object."""
        if listing is not self.listing:
            self.cold_until = now + listing.cold_left_ms / MS_PER_S
        self.listing = listing

    def set_evacuated(self, evacuated: bool) -> None:
        """Begin or end the evacuation of the minion's data centre."""
        self.reopened = not evacuated and (self.evacuated or self.reopened)
        self.evacuated = evacuated

    def is_warming_up(self, now: float) -> bool:
        """Return whether the minion is cold after an evacuation."""
        return self.reopened and now < self.cold_until

    @property
    def free(self) -> Resources:
        """The capacity that no run uses or may use."""
        if self.listing is None:
            return Resources()
        return self.listing.capacity.minus(self.used)

    def has_room(self, room: Resources) -> bool:
        """Return whether ``free`` covers ``room``, without building a new value.

        Placing tasks in a full pool checks this for each minion and waiting task.
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
        """Add a run and reserve its capacity."""
        self.runs[run.task] = run
        self.used = self.used.plus(run.room)

    def detach(self, run: Run) -> None:
        """Remove a run and release its capacity."""
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
            self.used = self.used.minus(run.room)

    def request_stop(self, run: Run) -> None:
        """Request that a run on the minion is stopped."""
        run.stop_wanted = True
        self.stopping = True

    def lease_until_ms(self, now: float, times: OwnershipTimes) -> int:
        """Return the end of a lease that is granted now, on the minion's clock."""
        return int(
            self.clock_ms + (now - self.clock_at + times.granted_lease) * MS_PER_S
        )

    def record_unanswered_grant(self, sent_at: float) -> None:
        """Record that a lease sent at ``sent_at`` got no answer."""
        if self.unanswered_grant_at is None:
            self.unanswered_grant_at = sent_at

    def record_first_report(self, now: float, times: OwnershipTimes) -> None:
        """Record that a minion reports to this owner for the first time.

        If it restarted under its ID only just now, a former owner may have sent it a
        lease on the clock of the former incarnation.
        """
        longest = times.lapse_of(None)
        if self.clock_ms / MS_PER_S < longest:
            self.late_grant_until = max(self.late_grant_until, now + longest)

    def record_incarnation(
        self, polled_at: float, now: float, times: OwnershipTimes
    ) -> None:
        """Record an incarnation's first report, with its clock since ``polled_at``.

        A lease that was sent since its start was computed on the clock of the former
        one, and may be as long as the platform allows. Work that starts before its
        excess has passed would outlive what owners expect of their own leases.
        """
        clock_s = self.clock_ms / MS_PER_S
        started_at = polled_at - clock_s * (1 + 2 * times.clock_rate)
        if self.granted_at is None or self.granted_at < started_at:
            return
        lapsed_at = now + times.lapse_of(None)
        self.late_grant_until = max(self.late_grant_until, lapsed_at)
        self.over_leased_until = lapsed_at - times.lapse

    def record_answer(self, same_incarnation: bool, times: OwnershipTimes) -> None:
        """Record an answer to a poll, which shows that the minion is reachable."""
        if same_incarnation and self.unanswered_grant_at is not None:
            late = self.unanswered_grant_at + times.order_delay + times.lapse
            self.late_grant_until = max(self.late_grant_until, late)
        self.unanswered_grant_at = None
        self.unresponsive_since = None
        self.responsive = True

    def lapsed_at(self, run: Run, times: OwnershipTimes) -> float:
        """Return when a run's lease has certainly lapsed if no poll is answered.

        Until it was reported, a run that this owner started may be on an incarnation on
        whose clock its lease is the longest.
        """
        ends = [self.late_grant_until]
        lapse = times.lapse
        if run.foreign_until is not None:
            unheard_until = min(run.foreign_until, run.foreign_unheard_until)
            ends.append(run.foreign_until + times.lapse_of(run.foreign_lease))
            ends.append(unheard_until + times.lapse_of(None))
        elif run.reported:
            ends.append(run.since + lapse)
        else:
            lapse = times.lapse_of(None)
            ends.append(run.since + lapse)
        if self.granted_at is not None:
            ends.append(self.granted_at + lapse)
        return max(ends)

    def may_be_stopping(self, run: Run, now: float, times: OwnershipTimes) -> bool:
        """Return whether a former owner may have stopped a run that still executes."""
        former = run.foreign_until is not None
        return former and now < self.first_answered_at + times.longest_stop

    def release_acks(self, durable_batch: int) -> None:
        """Allow the completions that are recorded to be acknowledged."""
        while self.unacked:
            number, batch = next(iter(self.unacked.items()))
            if batch is None or batch > durable_batch:
                return
            del self.unacked[number]
            self.acked_upto = number
