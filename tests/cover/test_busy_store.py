"""A store that is busy refuses appends while it answers reads.

Callers were told "the store is away" within milliseconds, 287 in one outage, although
the store took the next append a few hundred milliseconds later.
"""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from geraniumshore_scheduler import PlatformUnavailableError
from geraniumshored.node.appender import BUSY_RETRY_S, Appender, AppendOutcome
from geraniumshored.node.ports import Record

JOBS = 20
CALLER_WAITS_S = 2.5


class BusyStore:
    """Refuses so many appends, then accepts all."""

    def __init__(self, refusals: int) -> None:
        self.refusals = refusals
        self.attempts = 0
        self.appended: list[Record] = []

    def append(self, stream, records, writer=None):
        self.attempts += 1
        if self.attempts <= self.refusals:
            raise PlatformUnavailableError("over 2 s of appends wait")
        self.appended.extend(records)


class BusyNode:
    """The appender of a node whose reads are answered or not."""

    def __init__(self, refusals: int, store_answers: bool = True) -> None:
        self.store = BusyStore(refusals)
        self.appender = Appender(
            self.store,  # type: ignore[arg-type]
            time.monotonic,
            store_answers=lambda: store_answers,
        )
        self.appender.start()

    def append(self, number: int = 0) -> AppendOutcome:
        deadline = time.monotonic() + CALLER_WAITS_S
        return self.appender.append(Record(f"j/{number}", b"x"), deadline)

    def append_all(self) -> list[AppendOutcome]:
        with ThreadPoolExecutor(JOBS) as pool:
            return list(pool.map(self.append, range(JOBS)))


def test_jobs_that_a_busy_store_refuses_are_recorded_by_a_later_append():
    node = BusyNode(refusals=3)
    assert node.append_all() == [AppendOutcome.DONE] * JOBS
    assert {record.key for record in node.store.appended} == {
        f"j/{number}" for number in range(JOBS)
    }


def test_jobs_that_wait_for_a_busy_store_share_an_append():
    node = BusyNode(refusals=3)
    node.append_all()
    # The first one or two appends began before the other jobs had arrived.
    assert node.store.attempts <= node.store.refusals + 3


def test_a_job_is_refused_at_once_while_the_store_turns_the_node_away():
    node = BusyNode(refusals=1, store_answers=False)
    assert node.append() is AppendOutcome.NOT_DONE
    assert node.store.attempts == 1


def test_a_job_that_is_refused_for_long_is_given_up_and_never_appended():
    """The answer says that the job does not run, so it may not be appended later."""
    node = BusyNode(refusals=1_000)
    began = time.monotonic()
    assert node.append() is AppendOutcome.NOT_DONE
    assert time.monotonic() < began + CALLER_WAITS_S
    node.store.refusals = 0
    assert node.append(1) is AppendOutcome.DONE
    assert [record.key for record in node.store.appended] == ["j/1"]


def test_a_caller_that_gives_up_while_its_append_is_open_is_uncertain():
    """An append that is under way may still be carried out."""
    opened, answered = threading.Event(), threading.Event()

    def append(stream, records, writer=None):
        opened.set()
        answered.wait(CALLER_WAITS_S)

    store = SimpleNamespace(append=append)
    appender = Appender(store, time.monotonic, store_answers=lambda: True)  # type: ignore[arg-type]
    appender.start()
    outcome = appender.append(Record("j/1", b"x"), time.monotonic() + BUSY_RETRY_S / 4)
    assert opened.is_set()
    assert outcome is AppendOutcome.UNKNOWN
    answered.set()
