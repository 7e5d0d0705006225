"""Who may give orders to which machine, where the platform checks no fence for them.

Orders of two owners to one machine must lie a duty lease apart. Waiting that long after
every takeover would leave a burst without machines, so an owner writes down in the log
which machines it is about to order. What a former owner did not announce it cannot
order any more: its later announcements are fenced.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ["ANNOUNCED_S", "AnnouncedOrder", "MachineOrders"]

# An announcement is good for orders that are sent within this time; a batch of moves
# takes about 30 ms a machine.
ANNOUNCED_S = 1.0
# How much later than its sending an order may reach the platform, which is a round trip
# in which it is slow, and how far both clocks may be off.
HANDOVER_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class AnnouncedOrder:
    """A host's announcement to order a machine; ``at`` is on the reader's clock.

    The reader learns of it after it was written, so ``at`` is never too early.
    """

    host: str
    at: float


@dataclass(slots=True)
class MachineOrders:
    """What one owner knows of orders to machines, its own and those of others.

    ``duty_lease_s`` is how far orders of two owners to one machine must lie apart.
    """

    host: str
    duty_lease_s: float
    order_by_machine: dict[str, AnnouncedOrder] = field(default_factory=dict)
    _former: dict[str, AnnouncedOrder] = field(default_factory=dict)
    _sendable_until: dict[str, float] = field(default_factory=dict)

    @property
    def kept_s(self) -> float:
        """How long an announcement matters to others."""
        return ANNOUNCED_S + self.duty_lease_s + HANDOVER_MARGIN_S

    def _matters(self, order: AnnouncedOrder, now: float) -> bool:
        return now < order.at + self.kept_s

    def take_over(self, order_by_machine: Mapping[str, AnnouncedOrder]) -> None:
        """Take in what the log says of former owners."""
        self.order_by_machine = dict(order_by_machine)
        self._former = dict(order_by_machine)

    def formerly_ordered(self, now: float) -> set[str]:
        """Return the machines that a former owner may have ordered just now.

        That includes a former process of this host.
        """
        return {
            machine
            for machine, order in self._former.items()
            if self._matters(order, now)
        }

    def is_free(self, machine: str, now: float) -> bool:
        """Tell whether no other host's order to a machine may be too close."""
        order = self.order_by_machine.get(machine)
        if order is None or order.host == self.host:
            return True
        return not self._matters(order, now)

    def announce(
        self, machines: Iterable[str], now: float
    ) -> dict[str, AnnouncedOrder]:
        """Return what to write down before machines are ordered; all must be free."""
        for machine in machines:
            self.order_by_machine[machine] = AnnouncedOrder(self.host, now)
        self.order_by_machine = {
            machine: order
            for machine, order in self.order_by_machine.items()
            if self._matters(order, now)
        }
        return self.order_by_machine

    def note_written(self, machines: Iterable[str], announced_at: float) -> None:
        """Note that the log has an announcement that was made at ``announced_at``."""
        for machine in machines:
            self._sendable_until[machine] = announced_at + ANNOUNCED_S

    def may_send(self, machine: str, now: float) -> bool:
        """Tell whether an order to a machine may be sent now."""
        return now < self.sendable_until(machine)

    def sendable_until(self, machine: str) -> float:
        """Return until when the announcement of orders to a machine is good."""
        return self._sendable_until.get(machine, float("-inf"))
