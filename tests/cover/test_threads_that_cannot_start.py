"""A machine without threads left must not end what needs them until it has some again.

300 nodes exhausted the threads of one machine. What failed to start a thread then took
it for a running one, so requests, polls and claims stopped for good.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator
from unittest import mock

import pytest

from geraniumshored.internal.task_dispatcher import OnDemandDispatcher
from geraniumshored.node.session_threads import SessionThreads
from geraniumshored.platform.http_multiplexer import HttpMultiplexer
from tests.cover.test_ownership import Bench

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
LONG_S = 10.0


@contextlib.contextmanager
def no_threads() -> Iterator[None]:
    fault = RuntimeError("can't start new thread")
    with mock.patch.object(threading.Thread, "start", side_effect=fault):
        yield


class Request:
    """A request that is answered at once."""

    def __init__(self) -> None:
        self.served = threading.Event()

    def service(self) -> None:
        self.served.set()

    def cancel(self) -> None:
        raise NotImplementedError


def test_a_server_serves_the_next_request_after_a_thread_could_not_start() -> None:
    """A server with one thread, as that for probes, answered no more."""
    dispatcher = OnDemandDispatcher(1)
    with no_threads(), pytest.raises(RuntimeError):
        dispatcher.add_task(Request())
    request = Request()
    dispatcher.add_task(request)
    assert request.served.wait(LONG_S)


def test_a_request_is_served_by_the_threads_that_there_are() -> None:
    dispatcher = OnDemandDispatcher(2)
    released, begun = threading.Event(), threading.Event()
    first, second = Request(), Request()
    first.service = lambda: begun.set() or released.wait(LONG_S)  # type: ignore[method-assign,func-returns-value,assignment]
    dispatcher.add_task(first)
    assert begun.wait(LONG_S)
    with no_threads():
        dispatcher.add_task(second)
    released.set()
    assert second.served.wait(LONG_S)


def test_polls_go_on_after_a_thread_could_not_start() -> None:
    threads = SessionThreads()
    first, later = threading.Event(), threading.Event()
    with no_threads():
        threads.run_report(first.set)
        with contextlib.suppress(RuntimeError):
            threads.run_later(0.01, later.set)
    threads.run_later(0.02, lambda: None)
    assert first.wait(LONG_S)
    assert later.wait(LONG_S)
    threads.close()


def test_timers_go_on_after_a_thread_for_reports_could_not_start() -> None:
    threads = SessionThreads()
    due, second = threading.Event(), threading.Event()
    threads.run_later(0.3, due.set)
    with no_threads():
        assert not due.wait(1.0)
    threads.run_later(0.01, second.set)
    assert second.wait(LONG_S)
    assert due.wait(LONG_S)
    threads.close()


def test_minions_are_polled_after_the_thread_for_polls_could_not_start() -> None:
    client = HttpMultiplexer()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with no_threads(), pytest.raises(RuntimeError):
            client.request(address, "POST", "/v1/hold", LONG_S, b"{}", {})
        answer = client.request(address, "POST", "/v1/hold", LONG_S, b"{}", {})
        listener.settimeout(LONG_S)
        connection, _ = listener.accept()
        with connection:
            connection.recv(65_536)
            connection.sendall(ANSWER)
            assert answer.result(LONG_S).status == 200


def test_a_node_claims_again_after_its_owner_could_not_start() -> None:
    """It stayed the first member, and no other node claims before that one."""
    bench = Bench()

    def fail() -> None:
        raise RuntimeError("can't start new thread")

    make_owner = bench.ownership._make_owner

    def make_failing_owner(epoch: int) -> object:
        owner = make_owner(epoch)
        owner.start = fail  # type: ignore[method-assign]
        return owner

    bench.ownership._make_owner = make_failing_owner  # type: ignore[assignment]
    with pytest.raises(RuntimeError):
        bench.step()
    bench.ownership._make_owner = make_owner
    bench.step(1.0)
    bench.store.generation += 1
    assert len(bench.step(1.0)) == 2
