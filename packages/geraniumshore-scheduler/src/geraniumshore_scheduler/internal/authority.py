"""Until when a process may act as the owner of the schedule."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Authority", "OwnershipTimes"]


@dataclass(frozen=True, slots=True)
class OwnershipTimes:
    """Times of ownership, in seconds.

    ``ttl`` is how long the group keeps a silent member. ``grace`` is how long an owner
    acts on after that, to ride out an outage of the store. ``longest_lease`` is the
    platform's upper bound on a lease, and ``clock_rate`` how far a steady clock may be
    off. ``order_delay`` is how late an order without an answer may still be carried
    out.
    """

    ttl: float
    grace: float
    longest_lease: float
    clock_rate: float = 0.02
    order_delay: float = 12.0

    @property
    def lapse(self) -> float:
        """The longest that a lease lasts by our clock, both clocks being off."""
        return self.longest_lease * (1 + 2 * self.clock_rate)


@dataclass(slots=True)
class Authority:
    """An owner's epoch and the joins that confirm it.

    A successor takes over once the group has not heard of the owner for ``ttl``, so
    the owner's orders have ended ``grace`` after that. All times come from one clock
    that also counts while the machine is suspended. With ``after_own_process`` the
    owner before was another process on this host, which has ended.
    """

    epoch: int
    taken_at: float
    confirmed_at: float
    after_own_process: bool = False

    def confirm(self, sent_at: float) -> None:
        """Note a join, sent at ``sent_at``, that showed this process as the owner."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def holds(self, now: float, times: OwnershipTimes) -> bool:
        """Tell whether orders that a fence guards may be sent."""
        return now < self.confirmed_at + times.ttl + times.grace

    def holds_unfenced(self, now: float, times: OwnershipTimes) -> bool:
        """Tell whether orders may be sent that no fence guards."""
        return now < self.confirmed_at + times.ttl
