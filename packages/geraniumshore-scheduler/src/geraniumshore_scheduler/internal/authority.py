"""Validity of a process's ownership of the schedule, and the times it depends on."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["Authority", "OwnershipTimes"]


@dataclass(frozen=True, slots=True)
class OwnershipTimes:
    """Durations in seconds, and one clock error, that ownership depends on.

    ``ttl`` is how long the group keeps a member without heartbeats, and how long an
    owner acts on its last read of the log. For another ``grace`` it sends orders that
    carry a fencing token, to bridge an outage of the store. ``longest_lease`` is the
    platform's upper bound on a lease. ``lease`` is the length of the leases that an
    owner grants, if that is shorter: the runs on a minion that falls silent are started
    elsewhere only after it. ``clock_rate`` is the largest relative error of a steady
    clock. ``order_delay`` is how late an unanswered order may still take effect.
    ``longest_stop`` is the longest that a run executes after its stop was accepted.
    ``unheard`` is the longest from the record of a run until its owner has had a report
    of the incarnation that it runs on, or sends that minion no more leases.
    """

    ttl: float
    grace: float
    longest_lease: float
    clock_rate: float = 0.02
    order_delay: float = 12.0
    longest_stop: float = 1.0
    lease: float = math.inf
    unheard: float = 5.0

    @property
    def lapse(self) -> float:
        """The longest that a lease of this owner lasts, if both clocks are wrong."""
        return self.lapse_of(self.lease)

    @property
    def granted_lease(self) -> float:
        """The length of the leases that an owner grants."""
        return min(self.lease, self.longest_lease)

    def lapse_of(self, lease: float | None) -> float:
        """Return how long a lease may last on this clock.

        None stands for a lease of unknown length, such as a former owner's.
        """
        length = self.longest_lease if lease is None else min(lease, self.longest_lease)
        return length * (1 + 2 * self.clock_rate)

    @property
    def former_owner_overlap(self) -> float:
        """How long a former owner may send orders after a newer epoch was opened."""
        return self.ttl + self.grace


@dataclass(slots=True)
class Authority:
    """An owner's epoch, and when the log last showed that it is the newest.

    ``taken_at`` is when the epoch was certainly open. ``confirmed_at`` is the start of
    the latest read of the log that showed no newer epoch. Group membership alone is no
    confirmation: a member that was dropped and has joined again does not know of an
    owner in between. So an owner sends its last order at most ``ttl`` + ``grace`` after
    a newer epoch was opened. All times are from one clock that also counts while the
    machine is suspended.
    """

    epoch: int
    taken_at: float
    confirmed_at: float

    def confirm(self, read_begun_at: float) -> None:
        """Record a read of the log that showed no newer epoch."""
        self.confirmed_at = max(self.confirmed_at, read_begun_at)

    def holds(self, now: float, times: OwnershipTimes) -> bool:
        """Return whether orders that carry a fencing token may be sent."""
        return now < self.confirmed_at + times.ttl + times.grace

    def holds_unfenced(self, now: float, times: OwnershipTimes) -> bool:
        """Return whether orders without a fencing token may be sent."""
        return now < self.unfenced_until(times)

    def unfenced_until(self, times: OwnershipTimes) -> float:
        """Return until when orders without a fencing token may be sent."""
        return self.confirmed_at + times.ttl
