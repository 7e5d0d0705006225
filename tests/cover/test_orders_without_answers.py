"""A minion that leaves some orders unanswered during a burst of starts.

An unanswered start must not delay other orders until it times out.
"""

from __future__ import annotations

import threading
import time
from concurrent.futures import Future
from dataclasses import replace
from types import SimpleNamespace

import pytest

from geraniumshore_scheduler import JobRegistry, PaceOrder, StartOrder
from geraniumshore_standins.internal.fleet import wait_for
from geraniumshored.node.members import member_name
from geraniumshored.node.metrics import NodeMetrics
from geraniumshored.node.owner import Owner
from geraniumshored.node.session_threads import SessionThreads
from geraniumshored.node.sessions import (
    MAX_CONCURRENT_STARTS,
    MinionSession,
    Poll,
    SessionOwner,
)
from geraniumshored.node.settings import NodeSettings
from tests.common.schedule_parts import TIMES, listing

LONG_S = 30.0


class BlockingOwner(SessionOwner):
    """Blocks on some orders, as an owner does when a minion does not answer."""

    def __init__(self, held) -> None:
        self.held = held
        self.released = threading.Event()
        self.done: list[object] = []
        self.all_done = threading.Event()
        self.expected_count = 0
        self.polls = 0

    @property
    def stopped(self) -> bool:
        return self.released.is_set()

    def stop(self, why: str) -> None:
        raise NotImplementedError

    def begin_poll(self, minion_id: str) -> Poll:
        # The minion holds every poll back.
        self.polls += 1
        return Poll(None, Future())  # type: ignore[arg-type]

    def finish_poll(self, poll: Poll) -> float:
        raise NotImplementedError

    def execute(self, order) -> None:
        if order in self.held:
            self.released.wait(LONG_S)
            return
        self.done.append(order)
        if len(self.done) == self.expected_count:
            self.all_done.set()

    def on_minion_replaced(self, minion_id: str) -> None:
        raise NotImplementedError


def start(number: int) -> StartOrder:
    run = SimpleNamespace(number=number, minion_id="i-0", task="task")
    return StartOrder(run, "a:1", "spec", "", 1, None)  # type: ignore[arg-type]


def pace(percent: int) -> PaceOrder:
    return PaceOrder("i-0", "a:1", "task", 1, percent, 1, 0.0)


@pytest.fixture
def send_all():
    """Return a function that sends orders, some of which stay unanswered."""
    owners: list[BlockingOwner] = []
    threads = SessionThreads()

    def send(orders, held):
        owner = BlockingOwner(held)
        owners.append(owner)
        owner.expected_count = len(orders) - len(held)
        session = MinionSession(owner, "i-0", threads)
        session.start()
        for order in orders:
            session.send(order)
        assert owner.all_done.wait(LONG_S)
        return owner.done

    yield send
    for owner in owners:
        owner.released.set()
    threads.close()


def test_starts_are_sent_while_others_are_unanswered(send_all):
    starts = [start(number) for number in range(12)]
    done = send_all(starts, starts[: MAX_CONCURRENT_STARTS - 1])
    assert sorted(order.run.number for order in done) == list(
        range(MAX_CONCURRENT_STARTS - 1, 12)
    )


def test_paces_are_sent_in_sequence_and_do_not_wait_for_starts(send_all):
    starts = [start(number) for number in range(MAX_CONCURRENT_STARTS)]
    paces = [pace(percent) for percent in (100, 50, 75, 100)]
    assert send_all([*starts, *paces], starts) == paces


class IdleMinionOwner(BlockingOwner):
    """Polls an idle minion of a large fleet at long intervals."""

    def begin_poll(self, minion_id: str) -> Poll | float:  # type: ignore[override]
        self.polls += 1
        return LONG_S if not self.done else Poll(None, Future())  # type: ignore[arg-type]


def test_an_idle_minion_is_polled_once_it_has_a_run():
    """With 3,004 minions the end of a task was seen up to 1.5 s late."""
    owner, threads = IdleMinionOwner([]), SessionThreads()
    session = MinionSession(owner, "i-0", threads)
    session.start()
    wait_for(lambda: owner.polls == 1, "the first poll", LONG_S)
    began = time.monotonic()
    for number in range(5):
        session.send(start(number))
    wait_for(lambda: owner.polls == 2, "the next poll", LONG_S)
    assert time.monotonic() - began < LONG_S / 2
    wait_for(lambda: len(owner.done) == 5, "all starts", LONG_S)
    time.sleep(0.1)
    assert owner.polls == 2, "one poll at a time"
    owner.released.set()
    threads.close()


def session_threads() -> list[str]:
    names = ("reports", "orders", "poll-timers")
    return [t.name for t in threading.enumerate() if t.name.startswith(names)]


def test_thousands_of_sessions_share_a_few_threads():
    """3,004 minions took two threads each, and a process may have 2,000."""
    owner = BlockingOwner([])
    threads = SessionThreads()
    before = len(session_threads())
    for number in range(3_004):
        MinionSession(owner, f"i-{number}", threads).start()
    wait_for(lambda: owner.polls == 3_004, "all minions are polled", LONG_S)
    assert len(session_threads()) - before < 20
    owner.released.set()
    threads.close()


def test_a_stopped_owner_leaves_no_threads():
    minion_id = "i-left"
    entry = replace(listing(0), minion_id=minion_id)
    jobs = SimpleNamespace(registry=JobRegistry(), on_job=None, on_progress_read=None)
    owner = Owner(
        NodeSettings("n", "a", TIMES, 6, 3, 120, 1.0),
        SimpleNamespace(),  # type: ignore[arg-type]
        (
            SimpleNamespace(),  # type: ignore[arg-type]
            SimpleNamespace(listing_by_id={minion_id: entry}),
            jobs,
        ),
        member_name("n", "1", 1.0),
        128,
        NodeMetrics(),
        time.monotonic,
    )
    wait_for(lambda: not session_threads(), "those of other tests have ended", LONG_S)
    owner._on_minions()
    for number in range(MAX_CONCURRENT_STARTS):
        owner._session_by_minion[minion_id].send(start(number))
    wait_for(lambda: bool(session_threads()), "its threads have begun", LONG_S)
    owner.stop("test")
    wait_for(lambda: not session_threads(), "its threads have ended", LONG_S)
