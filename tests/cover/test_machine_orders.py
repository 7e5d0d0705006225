"""Owners that follow each other never order one machine within a duty lease."""

from __future__ import annotations

from hypothesis import given, strategies as st

from geraniumshore_scheduler import (
    MACHINE_ORDERS_KEY,
    JobBook,
    MachineOrders,
    encode_machine_orders,
)

LEASE_S = 3.0
MACHINES = ("m-0", "m-1")

# What one owner does: it waits, then announces a machine, and sends after a delay.
acts = st.tuples(
    st.floats(0, 2), st.sampled_from(MACHINES), st.floats(0, 1.5), st.booleans()
)
# An owner's acts, and how late its successor reads the log.
epochs = st.lists(st.tuples(st.lists(acts, max_size=5), st.floats(0, 0.5)), max_size=5)


class Log:
    """A log that refuses whoever is not the newest owner."""

    def __init__(self) -> None:
        self.value = b"{}"
        self.owner = -1

    def append(self, owner: int, value: bytes) -> bool:
        if owner != self.owner:
            return False
        self.value = value
        return True


@given(epochs, st.booleans())
def test_orders_of_two_owners_lie_a_lease_apart(epochs, overlap):
    now = 0.0
    log = Log()
    sent: dict[str, list[tuple[float, int]]] = {name: [] for name in MACHINES}
    for number, (orders_of_one, read_late) in enumerate(epochs):
        log.owner = number
        book = JobBook()
        book.fold(MACHINE_ORDERS_KEY, log.value, number, now + read_late)
        orders = MachineOrders(f"h{number}", LEASE_S)
        orders.take_over(book.order_by_machine)
        if not overlap:
            now += read_late
        for wait, machine, delay, fenced_meanwhile in orders_of_one:
            now += wait
            if not orders.may_send(machine, now) and orders.is_free(machine, now):
                announced = orders.announce([machine], now)
                if log.append(number, encode_machine_orders(announced, now)):
                    orders.note_written([machine], now)
            if fenced_meanwhile:
                # The order of an owner that does not know yet that it is replaced.
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
    book = JobBook()
    book.fold(MACHINE_ORDERS_KEY, value, 0, 9.0)
    orders.take_over(book.order_by_machine)
    assert orders.is_free("m", 9.0)


def test_announcements_are_dropped_once_they_matter_to_nobody():
    orders = MachineOrders("h1", LEASE_S)
    orders.announce(["m-0"], 0.0)
    assert set(orders.announce(["m-1"], 1.0)) == {"m-0", "m-1"}
    assert set(orders.announce([], orders.kept_s + 0.1)) == {"m-1"}
