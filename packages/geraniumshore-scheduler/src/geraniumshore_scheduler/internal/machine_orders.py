"""Decides which machines an owner may order, as the platform checks no fencing token.

Orders of two owners to the same machine must be an ownership lease apart. Waiting that
long after every takeover would leave a burst without machines. Instead, an owner
records in the log which machines it is about to order. A former owner can no longer
order machines that it has not announced, because its later announcements are fenced.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ["ANNOUNCEMENT_VALID_S", "AnnouncedOrder", "MachineOrders"]

# An announcement is valid for orders that are sent within this time. A batch of moves
# takes about 30 ms per machine.
ANNOUNCEMENT_VALID_S = 1.0
# Covers the delay between sending an order and its arrival at the platform, which is a
# slow round trip, and the error of both clocks.
HANDOVER_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class AnnouncedOrder:
    """A host's announcement of orders to a machine; ``at`` is on the reader's clock.

    It is read after it was written, so ``at`` is never too early.
    """

    host: str
    at: float


@dataclass(slots=True)
class MachineOrders:
    """Orders to machines that an owner knows of: its own and those of other hosts.

    ``ownership_lease_s`` is the minimum time between orders of two owners to the same
    machine.
    """

    host: str
    ownership_lease_s: float
    order_by_machine: dict[str, AnnouncedOrder] = field(default_factory=dict)
    _former_order_by_machine: dict[str, AnnouncedOrder] = field(default_factory=dict)
    _sendable_until_by_machine: dict[str, float] = field(default_factory=dict)

    @property
    def retention_s(self) -> float:
        """How long an announcement restricts other hosts."""
        return ANNOUNCEMENT_VALID_S + self.ownership_lease_s + HANDOVER_MARGIN_S

    def _is_recent(self, order: AnnouncedOrder, now: float) -> bool:
        return now < order.at + self.retention_s

    def take_over(self, order_by_machine: Mapping[str, AnnouncedOrder]) -> None:
        """Process the announcements of former owners from the log."""
        self.order_by_machine = dict(order_by_machine)
        self._former_order_by_machine = dict(order_by_machine)

    def maybe_ordered_by_former_owner(self, now: float) -> set[str]:
        """Return the machines that a former owner may have ordered recently.

        A former process of this host counts as a former owner.
        """
        return {
            machine
            for machine, order in self._former_order_by_machine.items()
            if self._is_recent(order, now)
        }

    def may_announce(self, machine: str, now: float) -> bool:
        """Return whether no recent order of another host restricts a machine."""
        order = self.order_by_machine.get(machine)
        if order is None or order.host == self.host:
            return True
        return not self._is_recent(order, now)

    def announce(
        self, machines: Iterable[str], now: float
    ) -> dict[str, AnnouncedOrder]:
        """Return what to record before orders are sent; all machines must be free."""
        for machine in machines:
            self.order_by_machine[machine] = AnnouncedOrder(self.host, now)
        self.order_by_machine = {
            machine: order
            for machine, order in self.order_by_machine.items()
            if self._is_recent(order, now)
        }
        return self.order_by_machine

    def on_announcement_durable(
        self, machines: Iterable[str], announced_at: float
    ) -> None:
        """Record that an announcement made at ``announced_at`` is in the log."""
        for machine in machines:
            self._sendable_until_by_machine[machine] = (
                announced_at + ANNOUNCEMENT_VALID_S
            )

    def may_send(self, machine: str, now: float) -> bool:
        """Return whether an order to a machine may be sent now."""
        return now < self.sendable_until(machine)

    def sendable_until(self, machine: str) -> float:
        """Return until when announced orders to a machine may be sent."""
        return self._sendable_until_by_machine.get(machine, float("-inf"))
