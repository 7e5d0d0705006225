"""Successive owners never order one machine within an ownership lease."""

from __future__ import annotations

from hypothesis import given, strategies as st

from geraniumshore_scheduler import (
    MACHINE_ORDERS_KEY,
    JobRegistry,
    MachineOrders,
    encode_machine_orders,
)

LEASE_S = 3.0
MACHINES = ("m-0", "m-1")

# What one owner does: it waits, announces a machine and sends the order after a delay.
# The flag says whether the owner is replaced between announcement and order.
actions = st.tuples(
    st.floats(0, 2), st.sampled_from(MACHINES), st.floats(0, 1.5), st.booleans()
)
# The actions of an owner, and how late it reads the log.
epochs = st.lists(
    st.tuples(st.lists(actions, max_size=5), st.floats(0, 0.5)), max_size=5
)


class Log:
    """A log that rejects appends of all but the newest owner."""

    def __init__(self) -> None:
        self.value = b"{}"
        self.owner = -1

    def append(self, owner: int, value: bytes) -> bool:
        if owner != self.owner:
            return False
        self.value = value
        return True


@given(epochs, st.booleans())
def test_orders_of_two_owners_are_a_lease_apart(epochs, overlap):
    now = 0.0
    log = Log()
    sent: dict[str, list[tuple[float, int]]] = {name: [] for name in MACHINES}
    for number, (actions_of_owner, read_delay) in enumerate(epochs):
        log.owner = number
        registry = JobRegistry()
        registry.fold(MACHINE_ORDERS_KEY, log.value, number, now + read_delay)
        orders = MachineOrders(f"h{number}", LEASE_S)
        orders.take_over(registry.order_by_machine)
        if not overlap:
            now += read_delay
        for wait, machine, delay, fenced_meanwhile in actions_of_owner:
            now += wait
            if not orders.may_send(machine, now) and orders.may_announce(machine, now):
                announced = orders.announce([machine], now)
                if log.append(number, encode_machine_orders(announced, now)):
                    orders.on_announcement_durable([machine], now)
            if fenced_meanwhile:
                # The owner sends before it learns that it was replaced.
                if orders.may_send(machine, now + delay):
                    sent[machine].append((now + delay, number))
            else:
                now += delay
                if orders.may_send(machine, now):
                    sent[machine].append((now, number))
    for times in sent.values():
        for at, owner in times:
            for other_at, other in times:
                assert owner == other or abs(at - other_at) >= LEASE_S


def test_a_host_does_not_wait_for_its_own_former_process():
    orders = MachineOrders("h1", LEASE_S)
    value = encode_machine_orders(
        MachineOrders("h1", LEASE_S).announce(["m"], 1.0), 1.0
    )
    registry = JobRegistry()
    registry.fold(MACHINE_ORDERS_KEY, value, 0, 9.0)
    orders.take_over(registry.order_by_machine)
    assert orders.may_announce("m", 9.0)


def test_announcements_that_restrict_no_host_are_dropped():
    orders = MachineOrders("h1", LEASE_S)
    orders.announce(["m-0"], 0.0)
    assert set(orders.announce(["m-1"], 1.0)) == {"m-0", "m-1"}
    assert set(orders.announce([], orders.retention_s + 0.1)) == {"m-1"}
