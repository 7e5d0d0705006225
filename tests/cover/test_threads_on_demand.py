"""A server of an idle node holds no threads for calls that do not come.

300 nodes with 24 threads each for callers exhausted the threads of a test machine, and
no owner could start the threads that it needs.
"""

from __future__ import annotations

import threading

from geraniumshore_standins.internal.fleet import wait_for
from geraniumshored.internal.task_dispatcher import OnDemandDispatcher

MAX_THREADS = 4
LONG_S = 20.0


class Request:
    """A request that is served until it is released."""

    def __init__(self) -> None:
        self.served_by: threading.Thread | None = None
        self.begun = threading.Event()
        self.released = threading.Event()
        self.done = threading.Event()

    def service(self) -> None:
        self.served_by = threading.current_thread()
        self.begun.set()
        self.released.wait(LONG_S)
        self.done.set()

    def cancel(self) -> None:
        self.released.set()


def add(dispatcher: OnDemandDispatcher) -> Request:
    request = Request()
    dispatcher.add_task(request)
    return request


def test_no_thread_is_started_before_the_first_request():
    assert not OnDemandDispatcher(MAX_THREADS).threads


def test_requests_that_wait_do_not_hold_up_others():
    dispatcher = OnDemandDispatcher(MAX_THREADS)
    requests = [add(dispatcher) for _ in range(MAX_THREADS)]
    assert all(request.begun.wait(LONG_S) for request in requests)
    queued = add(dispatcher)
    assert len(dispatcher.threads) == MAX_THREADS
    assert not queued.begun.is_set()
    requests[0].released.set()
    assert queued.begun.wait(LONG_S)
    for request in (*requests, queued):
        request.released.set()


def test_requests_one_after_the_other_share_a_thread():
    dispatcher = OnDemandDispatcher(MAX_THREADS)
    for _ in range(3):
        request = add(dispatcher)
        request.released.set()
        assert request.done.wait(LONG_S)
        wait_for(lambda: not dispatcher.active_count, "the thread is idle", LONG_S)
    assert len(dispatcher.threads) == 1
