"""Until when a process may act as the owner of the schedule."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Authority", "OwnershipTimes"]


@dataclass(frozen=True, slots=True)
class OwnershipTimes:
    """Times of ownership, in seconds.

    ``ttl`` is how long the group keeps a silent member, and how long an owner acts on
    what the log last said. ``grace`` is how much longer it sends orders that a fence
    guards, to ride out an outage of the store. ``longest_lease`` is the
    platform's upper bound on a lease, and ``clock_rate`` how far a steady clock may be
    off. ``order_delay`` is how late an order without an answer may still be carried
    out. ``longest_stop`` is how long a run goes on after its stop was accepted.
    """

    ttl: float
    grace: float
    longest_lease: float
    clock_rate: float = 0.02
    order_delay: float = 12.0
    longest_stop: float = 1.0

    @property
    def lapse(self) -> float:
        """The longest that a lease lasts by our clock, both clocks being off."""
        return self.longest_lease * (1 + 2 * self.clock_rate)

    @property
    def former_owner(self) -> float:
        """How long after a newer epoch was opened a former owner sends orders."""
        return self.ttl + self.grace


@dataclass(slots=True)
class Authority:
    """An owner's epoch, and when the log last showed it to be the newest.

    ``taken_at`` is when the epoch was surely open, ``confirmed_at`` when a read of the
    log was begun that showed no newer one. Membership of the group alone confirms
    nothing: who was dropped and joined again would not know of an owner in between. So
    an owner's orders have ended ``ttl`` + ``grace`` after a newer epoch was opened. All
    times come from one clock that also counts while the machine is suspended.
    """

    epoch: int
    taken_at: float
    confirmed_at: float

    def confirm(self, read_begun_at: float) -> None:
        """Note a read of the log that showed no newer epoch."""
        self.confirmed_at = max(self.confirmed_at, read_begun_at)

    def holds(self, now: float, times: OwnershipTimes) -> bool:
        """Tell whether orders that a fence guards may be sent."""
        return now < self.confirmed_at + times.ttl + times.grace

    def holds_unfenced(self, now: float, times: OwnershipTimes) -> bool:
        """Tell whether orders may be sent that no fence guards."""
        return now < self.unfenced_until(times)

    def unfenced_until(self, times: OwnershipTimes) -> float:
        """Return until when orders that no fence guards may be sent."""
        return self.confirmed_at + times.ttl
